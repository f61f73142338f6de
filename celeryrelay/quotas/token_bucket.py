"""A token bucket.

This module does no I/O. The caller passes in the time, in seconds of a
monotonic clock.
"""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class BucketSize:
    """Size of a token bucket.

    In a window of `w` seconds the bucket permits at most
    `rate_per_s * w + capacity` operations.

    Attributes:
        rate_per_s: Tokens that are added per second.
        capacity: Most tokens that are kept.
    """

    rate_per_s: float
    capacity: float


class TokenBucket:
    """Permits one operation per token."""

    def __init__(self, size: BucketSize, level: float, now: float) -> None:
        """Start with `level` tokens."""
        self._size = size
        self._level = min(level, size.capacity)
        self._filled_at = now

    def resize(self, size: BucketSize, now: float) -> None:
        """Use a new size from now on; tokens beyond it are discarded."""
        self._fill(now)
        self._size = size
        self._level = min(self._level, size.capacity)

    def take(self, count: int, now: float) -> int:
        """Take up to `count` tokens and return how many were there."""
        self._fill(now)
        taken = max(min(count, int(self._level)), 0)
        self._level -= taken
        return taken

    def wait_s(self, now: float) -> float:
        """Return the time in seconds until the next whole token is there."""
        self._fill(now)
        missing = max(1 - self._level, 0)
        if not missing:
            return 0
        return (
            missing / self._size.rate_per_s
            if self._size.rate_per_s
            else (float('inf'))
        )

    def _fill(self, now: float) -> None:
        elapsed_s = max(now - self._filled_at, 0)
        self._filled_at = max(now, self._filled_at)
        self._level = min(
            self._level + elapsed_s * self._size.rate_per_s,
            self._size.capacity,
        )
