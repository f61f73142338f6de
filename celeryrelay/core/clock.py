"""Clocks that are handed to adapters and tasks."""

import time
import typing


class Clock(typing.Protocol):
    """Source of monotonic and wall time."""

    def monotonic(self) -> float:
        """Return the monotonic time in seconds."""

    def wall(self) -> float:
        """Return the Unix time in seconds."""


class SystemClock:
    """Clock of the operating system."""

    def monotonic(self) -> float:
        """Return the monotonic time in seconds."""
        return time.monotonic()

    def wall(self) -> float:
        """Return the Unix time in seconds."""
        return time.time()


class SuspendAwareClock:
    """Clock whose monotonic time includes the time of a suspended machine.

    What a process believed before a suspension has aged by its duration.
    """

    def monotonic(self) -> float:
        """Return the monotonic time in seconds."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def wall(self) -> float:
        """Return the Unix time in seconds."""
        return time.time()


class ManualClock:
    """Clock that a test moves by hand."""

    def __init__(self, now: float = 0) -> None:
        """Start at `now` seconds."""
        self._now = now

    def monotonic(self) -> float:
        """Return the set time in seconds."""
        return self._now

    def wall(self) -> float:
        """Return the set time in seconds."""
        return self._now

    def advance(self, seconds: float) -> None:
        """Move the clock forward by `seconds`."""
        self._now += seconds
