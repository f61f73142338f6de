"""Clocks that are passed to adapters and tasks."""

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
    """Clock whose monotonic time advances while the machine is suspended.

    The state that a process knew before a suspension is thus older by the
    duration of the suspension.
    """

    def monotonic(self) -> float:
        """Return the monotonic time in seconds."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def wall(self) -> float:
        """Return the Unix time in seconds."""
        return time.time()


class ManualClock:
    """Clock that a test advances explicitly."""

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


def age_s(since: float | None, now: float) -> float | None:
    """Return the time in seconds since a time in seconds, None without one."""
    return None if since is None else now - since


def age_ms(since: float | None, now: float) -> int | None:
    """Return the milliseconds since a time in seconds, None without one."""
    return None if since is None else round((now - since) * 1000)
