"""Structured log lines on standard output, bounded and never blocking."""

import collections
import os
import sys
import time
import typing

import logbook
import orjson

# Lines a second that are written, and the burst above that. What exceeds them
# is counted and reported in one line.
LINES_PER_S = 120
BURST_LINES = 600
# Lines of the burst that are kept for more than routine.
ROUTINE_RESERVE_LINES = 300
# Bytes that wait for a slow reader of standard output.
MAX_PENDING_BYTES = 256 * 1024


class LineBudget:
    """Token bucket for log lines."""

    def __init__(self, per_s: float, burst: float) -> None:
        """Permit `per_s` lines a second and bursts of `burst` lines."""
        self._per_s = per_s
        self._burst = burst
        self._tokens = burst
        self._at: float | None = None
        self.dropped = 0

    def take(self, now: float, reserve: float = 0) -> bool:
        """Return whether a line may be written, and count it.

        Args:
            now: Time in seconds.
            reserve: Tokens that have to be left for more important lines.
        """
        elapsed = 0 if self._at is None else max(now - self._at, 0)
        self._at = now
        self._tokens = min(self._tokens + elapsed * self._per_s, self._burst)
        if self._tokens < 1 + reserve:
            self.dropped += 1
            return False
        self._tokens -= 1
        return True


class LineHandler(logbook.Handler):
    """Writes each record as a JSON object to a file descriptor."""

    def __init__(self, descriptor: int, level: str) -> None:
        """Write records of `level` and above to `descriptor`."""
        super().__init__(level=level)
        self._descriptor = descriptor
        self._pending: collections.deque[bytes] = collections.deque()
        self._pending_bytes = 0
        self.budget = LineBudget(LINES_PER_S, BURST_LINES)

    def emit(self, record: logbook.LogRecord) -> None:
        """Write a record, or count it as dropped."""
        reserve = 0
        if record.level <= logbook.DEBUG:
            reserve = ROUTINE_RESERVE_LINES
        if not self.budget.take(time.monotonic(), reserve):
            return
        dropped = self.budget.dropped
        if dropped:
            self.budget.dropped = 0
            self._write(_encode({'event': 'lines dropped', 'count': dropped}))
        self._write(_encode(_fields(record)))

    def _write(self, line: bytes) -> None:
        if self._pending_bytes + len(line) > MAX_PENDING_BYTES:
            self.budget.dropped += 1
            return
        self._pending.append(line)
        self._pending_bytes += len(line)
        while self._pending:
            try:
                written = os.write(self._descriptor, self._pending[0])
            except BlockingIOError:
                return
            self._pending_bytes -= written
            rest = self._pending.popleft()[written:]
            if rest:
                self._pending.appendleft(rest)


def _fields(record: logbook.LogRecord) -> dict[str, typing.Any]:
    fields = {
        'time': record.time.isoformat(timespec='milliseconds'),
        'level': record.level_name.lower(),
        'part': record.channel,
        'event': record.message,
    }
    fields.update(record.kwargs)
    if record.formatted_exception:
        fields['exception'] = record.formatted_exception
    return fields


def _encode(fields: dict[str, typing.Any]) -> bytes:
    return orjson.dumps(
        fields,
        default=str,
        option=orjson.OPT_APPEND_NEWLINE,
    )


def configure(level: str) -> None:
    """Write records of `level` and above to standard output."""
    logbook.set_datetime_format('utc')
    descriptor = sys.stdout.fileno()
    os.set_blocking(descriptor, False)
    logbook.NestedSetup(
        [logbook.NullHandler(), LineHandler(descriptor, level)],
    ).push_application()


def get(part: str) -> logbook.Logger:
    """Return the logger of the component called `part`."""
    return logbook.Logger(part)
