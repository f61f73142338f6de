"""Concurrency limits of a backend server, fixed or adaptive."""

import collections

# Shortest window, in seconds, over which samples are averaged before the limit
# is adjusted.
WINDOW_S = 0.25
# Minimum number of samples in a window without failures. Averages of fewer
# samples vary so much that a healthy server appears slow.
MIN_WINDOW_SAMPLES = 50
# The baseline is the lower quartile of the averages of the last windows, which
# cover 15 s of busy time. The minimum would be too low by chance.
BASELINE_WINDOWS = 60
BASELINE_DIVISOR = 4
# Ratio of a window's average to the baseline above which the limit is lowered.
# At 1.3 the limit dropped under the simulated normal load, without any fault.
SLOWDOWN_THRESHOLD = 1.5
# The limit is multiplied by these factors after a slow window and after a
# window with failures.
SLOW_FACTOR = 0.8
FAILURE_FACTOR = 0.5


class AdaptiveLimit:
    """Concurrency limit with additive increase and multiplicative decrease.

    The limit starts at its maximum, the configured number of connections,
    because the backend server is expected to sustain that many.
    """

    def __init__(self, minimum: int, maximum: int) -> None:
        """Keep the limit between `minimum` and `maximum`, both at least 1."""
        self._minimum = max(minimum, 1)
        self._maximum = max(maximum, self._minimum)
        self._limit = float(self._maximum)
        self._averages: collections.deque[float] = collections.deque(
            maxlen=BASELINE_WINDOWS,
        )
        self._window_start: float | None = None
        self._total_ms: float = 0
        self._samples = 0
        self._failures = 0

    @property
    def current(self) -> int:
        """Return the number of tickets that may run at the same time."""
        return int(self._limit)

    @property
    def maximum(self) -> int:
        """Return the largest limit, the number of connections."""
        return self._maximum

    def permits(self, running: int, now: float) -> bool:
        """Return whether one more ticket than `running` may start."""
        return running < self.current

    def on_sample(self, service_ms: float, ok: bool, now: float) -> None:
        """Record the service time of one ticket.

        Args:
            service_ms: Service time in milliseconds. Samples of different
                ranks must be comparable, so the queue passes times that are
                normalized by the rank's long-term mean.
            ok: False if the backend server refused the connection, closed it
                or did not answer in time.
            now: Monotonic time in seconds.
        """
        if self._window_start is None:
            self._window_start = now
        self._total_ms += service_ms
        self._samples += 1
        self._failures += not ok
        elapsed = now - self._window_start
        if elapsed >= WINDOW_S and self._is_window_conclusive():
            self._adjust()
            self._window_start = now

    def _is_window_conclusive(self) -> bool:
        return self._failures > 0 or self._samples >= MIN_WINDOW_SAMPLES

    def _adjust(self) -> None:
        average_ms = self._total_ms / self._samples
        if self._failures:
            self._scale(FAILURE_FACTOR)
        else:
            self._averages.append(average_ms)
            if average_ms > SLOWDOWN_THRESHOLD * self._baseline_ms():
                self._scale(SLOW_FACTOR)
            else:
                self._limit = min(self._limit + 1, self._maximum)
        self._total_ms = 0
        self._samples = 0
        self._failures = 0

    def _baseline_ms(self) -> float:
        ordered = sorted(self._averages)
        return ordered[len(ordered) // BASELINE_DIVISOR]

    def _scale(self, factor: float) -> None:
        self._limit = max(self._limit * factor, self._minimum)


class FixedLimit:
    """Concurrency limit that changes only by `resize`."""

    def __init__(self, limit: int) -> None:
        """Start with `limit`; a value below 1 counts as 1."""
        self.current = max(limit, 1)

    @property
    def maximum(self) -> int:
        """Return the limit."""
        return self.current

    def permits(self, running: int, now: float) -> bool:
        """Return whether one more ticket than `running` may start."""
        return running < self.current

    def resize(self, limit: int) -> None:
        """Set the limit; a value below 1 counts as 1."""
        self.current = max(limit, 1)

    def on_sample(self, service_ms: float, ok: bool, now: float) -> None:
        """Ignore the sample: a fixed limit does not adapt."""
