"""Log of the daemon: JSON lines on standard output.

Logging never blocks the event loop and never fails. Its rate and the memory for
unwritten lines are bounded; lines beyond these limits, and those that can't be
written, are dropped and counted.
"""

import collections
import sys
import time
import typing

import logbook
import orjson
from logbook import compat

from celeryrelay.adapters import shared_output

# Sustained rate and burst size of the rate limiter. Lines that exceed them are
# dropped; the next line that is written is preceded by one with their number.
LINES_PER_S = 120
BURST_LINES = 600
# Tokens of the burst that debug lines can't use, so that a flood of them leaves
# room for lines of higher levels.
NON_DEBUG_RESERVE_LINES = 300
# Limit on the bytes that are buffered while the reader of standard output is
# slow.
MAX_PENDING_BYTES = 256 * 1024


class RateLimiter:
    """Token bucket for log lines."""

    def __init__(self, per_s: float, burst: float) -> None:
        """Permit `per_s` lines per second and bursts of `burst` lines."""
        self._per_s = per_s
        self._burst = burst
        self._tokens = burst
        self._refilled_at: float | None = None
        self.dropped = 0

    def try_acquire(self, now: float, reserve: float = 0) -> bool:
        """Take a token if there is one; otherwise count the line as dropped.

        Args:
            now: Monotonic time in seconds.
            reserve: Tokens that have to remain for more important lines.

        Returns:
            Whether the line may be written.
        """
        elapsed = (
            0 if self._refilled_at is None else max(now - self._refilled_at, 0)
        )
        self._refilled_at = now
        self._tokens = min(self._tokens + elapsed * self._per_s, self._burst)
        if self._tokens < 1 + reserve:
            self.dropped += 1
            return False
        self._tokens -= 1
        return True


class JsonLineHandler(logbook.Handler):
    """Writes each record as a JSON object to a file descriptor."""

    def __init__(self, descriptor: int, level: str) -> None:
        """Write records of `level` and above to a descriptor."""
        super().__init__(level=level)
        self._write_bytes = shared_output.open_writer(descriptor)
        self._pending: collections.deque[bytes] = collections.deque()
        self._pending_bytes = 0
        self.rate_limiter = RateLimiter(LINES_PER_S, BURST_LINES)

    def emit(self, record: logbook.LogRecord) -> None:
        """Write a record, unless the rate limiter or the buffer drops it."""
        reserve = 0
        if record.level <= logbook.DEBUG:
            reserve = NON_DEBUG_RESERVE_LINES
        if not self.rate_limiter.try_acquire(time.monotonic(), reserve):
            return
        dropped = self.rate_limiter.dropped
        if dropped:
            self.rate_limiter.dropped = 0
            self._write(
                _encode({'event': 'log lines dropped', 'count': dropped})
            )
        self._write(_encode(_record_fields(record)))

    def _write(self, line: bytes) -> None:
        if self._pending_bytes + len(line) > MAX_PENDING_BYTES:
            self.rate_limiter.dropped += 1
            return
        self._pending.append(line)
        self._pending_bytes += len(line)
        while self._pending:
            try:
                written = self._write_bytes(self._pending[0])
            except BlockingIOError:
                return
            except OSError:
                # The reader has gone, or the device is full.
                self._discard_pending()
                return
            self._pending_bytes -= written
            rest = self._pending.popleft()[written:]
            if rest:
                self._pending.appendleft(rest)

    def _discard_pending(self) -> None:
        self.rate_limiter.dropped += len(self._pending)
        self._pending.clear()
        self._pending_bytes = 0


def _record_fields(record: logbook.LogRecord) -> dict[str, typing.Any]:
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
    try:
        return _dump(fields)
    except orjson.JSONEncodeError:
        # Integers of more than 64 bits and texts that are not valid Unicode
        # can't be encoded.
        return _dump({name: ascii(value) for name, value in fields.items()})


def _dump(fields: dict[str, typing.Any]) -> bytes:
    return orjson.dumps(
        fields,
        default=str,
        option=orjson.OPT_APPEND_NEWLINE,
    )


def configure(level: str) -> None:
    """Write records of `level` and above to standard output.

    A process that was started without standard output writes no log.
    """
    logbook.set_datetime_format('utc')
    handlers: list[logbook.Handler] = [logbook.NullHandler()]
    if sys.stdout is not None:
        handlers.append(JsonLineHandler(sys.stdout.fileno(), level))
    logbook.NestedSetup(handlers).push_application()
    redirect_library_logs()


def redirect_library_logs() -> None:
    """Write what libraries log or warn of to the log of the daemon.

    They would write to standard error, without a limit, and wait for its
    reader.
    """
    compat.redirect_logging(set_root_logger_level=False)
    compat.redirect_warnings()


def get(component: str) -> logbook.Logger:
    """Return the logger of a component, named by the field `part`."""
    return logbook.Logger(component)
