"""Estimation of the age of the data on a replica."""

import bisect

DEFAULT_CAPACITY = 256


class ReplicaAgeEstimator:
    """Estimates the age of replicas from samples of the primary's offset.

    The age of a replica is the age of the newest sample whose offset it has
    applied. A sample is dropped if a newer one has the same or a lower offset,
    because it can never be the newest that a replica has reached. The remaining
    samples increase in time and offset. When the capacity is exceeded, every
    second sample of the older half is dropped. Ages that are computed from that
    half may then be too high, but never too low.
    """

    def __init__(self, capacity: int = DEFAULT_CAPACITY) -> None:
        """Keep at most `capacity` samples, at least 4."""
        self._capacity = max(capacity, 4)
        self._times: list[float] = []
        self._offsets: list[int] = []

    def __len__(self) -> int:
        """Return the number of samples held."""
        return len(self._times)

    def on_sample(self, sent_at: float, primary_offset: int) -> None:
        """Record that the primary answered `primary_offset`.

        Args:
            sent_at: Monotonic time in seconds at which the request was sent.
            primary_offset: Offset in the answer.
        """
        end = bisect.bisect_right(self._times, sent_at)
        if end < len(self) and self._offsets[end] <= primary_offset:
            return
        start = bisect.bisect_left(self._offsets, primary_offset, hi=end)
        del self._times[start:end]
        del self._offsets[start:end]
        self._times.insert(start, sent_at)
        self._offsets.insert(start, primary_offset)
        if len(self) > self._capacity:
            self._thin()

    def age_ms(self, applied: int, now: float) -> float | None:
        """Return the age in milliseconds of a replica at offset `applied`.

        Returns None if the replica has not reached the offset of any sample.
        """
        reached = bisect.bisect_right(self._offsets, applied)
        if not reached:
            return None
        return max(now - self._times[reached - 1], 0) * 1000

    def _thin(self) -> None:
        half = self._capacity // 2
        del self._times[1:half:2]
        del self._offsets[1:half:2]
