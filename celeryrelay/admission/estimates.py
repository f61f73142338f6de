"""Estimates of service times and demand by rank."""

import math

INITIAL_MS = 10.0
# Weight of one sample in the mean that wait estimates use.
FAST_WEIGHT = 0.05
# Time constant of the mean to which slowness is compared, in seconds. It is in
# time and not in samples: a busy rank would otherwise take a slow server for
# the usual one within a second.
USUAL_WINDOW_S = 60.0
# Service time that `relative_ms` returns for a statement of usual duration.
REFERENCE_MS = 10.0
# Time constant of the demand, in seconds. A flood is recognised after a part
# of it; shorter ones take random bursts for floods.
DEMAND_WINDOW_S = 0.5


class ServiceEstimate:
    """Moving averages of the service time of one rank."""

    def __init__(self) -> None:
        """Start with a default that the first sample replaces."""
        self._samples = 0
        self._fast_ms = INITIAL_MS
        self._usual_ms = INITIAL_MS
        self._updated: float = 0

    @property
    def mean_ms(self) -> float:
        """Return the expected service time in milliseconds."""
        return self._fast_ms

    @property
    def usual_ms(self) -> float:
        """Return the mean service time of the last minute."""
        return self._usual_ms

    def on_sample(self, service_ms: float, now: float) -> None:
        """Note a service time in milliseconds at `now`."""
        self._samples += 1
        first = 1 / self._samples
        elapsed = min(max(now - self._updated, 0), USUAL_WINDOW_S)
        self._updated = now
        self._fast_ms += (service_ms - self._fast_ms) * max(first, FAST_WEIGHT)
        weight = max(first, elapsed / USUAL_WINDOW_S)
        self._usual_ms += (service_ms - self._usual_ms) * weight

    def relative_ms(self, service_ms: float) -> float:
        """Return a service time on a scale that all ranks share."""
        if self._usual_ms <= 0:
            return REFERENCE_MS
        return REFERENCE_MS * service_ms / self._usual_ms


class DemandEstimate:
    """Connections that the arriving work of a rank would keep busy."""

    def __init__(self) -> None:
        """Start without demand."""
        self._work_ms: float = 0
        self._updated: float = 0

    def on_arrival(self, service_ms: float, now: float) -> None:
        """Note the expected service time of an arrival."""
        self._work_ms = self._decayed_ms(now) + service_ms
        self._updated = now

    def connections(self, now: float) -> float:
        """Return the demand at `now`, in connections."""
        return self._decayed_ms(now) / (DEMAND_WINDOW_S * 1000)

    def _decayed_ms(self, now: float) -> float:
        elapsed = max(now - self._updated, 0)
        return self._work_ms * math.exp(-elapsed / DEMAND_WINDOW_S)
