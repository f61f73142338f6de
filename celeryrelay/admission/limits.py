"""Concurrency limit that follows measured service times."""

import collections

# Time over which samples are averaged before the limit may change, in seconds.
WINDOW_S = 0.25
# Fewest samples of a window that allow a decision. Averages of fewer samples
# vary so much that a healthy server looks slow.
WINDOW_SAMPLES = 50
# Windows of whose averages the lower quartile is the baseline, 15 s of busy
# time. The lowest average is too low by chance.
BASELINE_WINDOWS = 60
BASELINE_DIVISOR = 4
# Ratio to the baseline above which the limit falls. At 1.3 the limit fell
# without any fault in the model's normal load.
SLOWNESS = 1.5
# Factors of the limit after a slow window and after failures.
SLOW_FACTOR = 0.8
FAILURE_FACTOR = 0.5


class AdaptiveLimit:
    """Additive increase and multiplicative decrease of a concurrency limit.

    The limit starts at its maximum: the maximum is the configured number of
    connections, which the backend server is expected to bear.
    """

    def __init__(self, minimum: int, maximum: int) -> None:
        """Keep the limit from `minimum` to `maximum`, both at least 1."""
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
        """Return the number of statements that may run at once."""
        return int(self._limit)

    def on_sample(self, service_ms: float, ok: bool, now: float) -> None:
        """Note the service time of one statement.

        Args:
            service_ms: Service time in milliseconds. Samples have to be
                comparable; the queue scales them by the rank's usual time.
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
        if elapsed >= WINDOW_S and self._is_decidable():
            self._decide()
            self._window_start = now

    def _is_decidable(self) -> bool:
        return self._failures > 0 or self._samples >= WINDOW_SAMPLES

    def _decide(self) -> None:
        average_ms = self._total_ms / self._samples
        if self._failures:
            self._scale(FAILURE_FACTOR)
        else:
            self._averages.append(average_ms)
            if average_ms > SLOWNESS * self._baseline_ms():
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
    """Concurrency limit that its owner sets."""

    def __init__(self, limit: int) -> None:
        """Start with `limit`, at least 1."""
        self.current = max(limit, 1)

    def resize(self, limit: int) -> None:
        """Change the limit, at least 1."""
        self.current = max(limit, 1)

    def on_sample(self, service_ms: float, ok: bool, now: float) -> None:
        """Ignore the service time of a statement."""
