"""Log lines that tell why a daemon ended, or why it did not respond."""

import asyncio
import contextlib
import dataclasses
import faulthandler
import sys
import time
import typing

from celeryrelay.adapters import json_log

# A timer of the event loop that is later than this means a stalled daemon.
STALL_THRESHOLD_S = 1.0


def dump_traces_of_crashes() -> None:
    """Write the stack to standard error if the interpreter crashes."""
    if sys.stderr is not None:
        with contextlib.suppress(OSError, ValueError):
            # Standard error need not be a file of the operating system.
            faulthandler.enable()


def log_unhandled_error(
    _loop: asyncio.AbstractEventLoop,
    context: dict[str, typing.Any],
) -> None:
    """Log an error that no task or callback of the event loop handled."""
    error = context.get('exception')
    json_log.get('daemon').error(
        'unhandled error in the event loop',
        problem=context.get('message'),
        error=repr(error),
        exc_info=(type(error), error, error.__traceback__) if error else None,
    )


@dataclasses.dataclass(frozen=True, slots=True)
class Stall:
    """Time in which the event loop ran no timer.

    Attributes:
        duration_s: Delay of the timer in seconds.
        processor_s: Processor time in seconds that the daemon used meanwhile.
            Next to none means that it did not run: it was suspended, or the
            machine was busy. Otherwise its own work blocked the event loop.
    """

    duration_s: float
    processor_s: float


class StallMonitor:
    """Finds stalls of the event loop from the delay of a regular timer."""

    def __init__(self, interval_s: float) -> None:
        """Expect the timer each `interval_s` seconds."""
        self._interval_s = interval_s
        self._last: tuple[float, float] | None = None

    def on_timer(self, now: float, processor_s: float) -> Stall | None:
        """Return the stall that delayed the timer, if there was one.

        Args:
            now: Monotonic time in seconds.
            processor_s: Processor time of the daemon since its start.
        """
        last = self._last
        self._last = (now, processor_s)
        if last is None:
            return None
        delay_s = now - last[0] - self._interval_s
        if delay_s < STALL_THRESHOLD_S:
            return None
        return Stall(delay_s, processor_s - last[1])

    def log_stall(self) -> Stall | None:
        """Log a stall, if there was one; called by the timer."""
        stall = self.on_timer(time.monotonic(), time.process_time())
        if stall is not None:
            json_log.get('daemon').warning(
                'event loop stalled',
                duration_s=round(stall.duration_s, 2),
                processor_s=round(stall.processor_s, 2),
            )
        return stall
