"""Age of the data on a replica."""

import bisect

DEFAULT_CAPACITY = 256


class ReplicaAgeEstimator:
    """Samples of the primary's offset, from which a replica's age follows.

    A sample that is older than another one with the same or a lower offset can
    never be the newest that a replica has reached and is dropped. The rest
    increases in time and offset. Beyond the capacity, every second sample of
    the older half is dropped; ages found there are too high, never too low.
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
        """Note that the primary answered `primary_offset`.

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

        None means that the replica has not reached any sample.
        """
        reached = bisect.bisect_right(self._offsets, applied)
        if not reached:
            return None
        return max(now - self._times[reached - 1], 0) * 1000

    def _thin(self) -> None:
        half = self._capacity // 2
        del self._times[1:half:2]
        del self._offsets[1:half:2]
