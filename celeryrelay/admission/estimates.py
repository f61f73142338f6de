"""Estimates of the service time and the demand of a rank."""

import math

INITIAL_SERVICE_MS = 10.0
# Least weight of a new sample in the recent mean, from which waiting times are
# estimated.
RECENT_WEIGHT = 0.05
# Time constant, in seconds, of the long-term mean with which recent service
# times are compared. It is a time and not a number of samples, because the mean
# of a busy rank would otherwise adapt to a slow server within a second.
LONG_TERM_WINDOW_S = 60.0
# Value that `normalized_ms` returns for a service time equal to the long-term
# mean.
REFERENCE_MS = 10.0
# Time constant of the demand estimate, in seconds. A flood is detected within a
# fraction of it; a shorter one would mistake random bursts for floods.
DEMAND_WINDOW_S = 0.5


class ServiceTimeEstimate:
    """Recent and long-term moving averages of a rank's service time."""

    def __init__(self) -> None:
        """Start with a default value, which the first sample replaces."""
        self._samples = 0
        self._recent_ms = INITIAL_SERVICE_MS
        self._long_term_ms = INITIAL_SERVICE_MS
        self._updated: float = 0

    @property
    def mean_ms(self) -> float:
        """Return the recent mean, the expected service time of a ticket."""
        return self._recent_ms

    @property
    def long_term_ms(self) -> float:
        """Return the mean service time over about the last minute."""
        return self._long_term_ms

    def on_sample(self, service_ms: float, now: float) -> None:
        """Record the service time of a ticket that ended at `now`."""
        self._samples += 1
        initial_weight = 1 / self._samples
        elapsed = min(max(now - self._updated, 0), LONG_TERM_WINDOW_S)
        self._updated = now
        self._recent_ms += (service_ms - self._recent_ms) * max(
            initial_weight, RECENT_WEIGHT
        )
        weight = max(initial_weight, elapsed / LONG_TERM_WINDOW_S)
        self._long_term_ms += (service_ms - self._long_term_ms) * weight

    def normalized_ms(self, service_ms: float) -> float:
        """Return a service time relative to the rank's long-term mean.

        The results of all ranks are comparable, however long their statements
        take.
        """
        if self._long_term_ms <= 0:
            return REFERENCE_MS
        return REFERENCE_MS * service_ms / self._long_term_ms


class DemandEstimate:
    """Number of connections that a rank's arrivals would keep busy.

    The expected service times of the arrivals decay exponentially.
    """

    def __init__(self) -> None:
        """Start without demand."""
        self._work_ms: float = 0
        self._updated: float = 0

    def on_arrival(self, service_ms: float, now: float) -> None:
        """Add an arrival with its expected service time."""
        self._work_ms = self._decayed_ms(now) + service_ms
        self._updated = now

    def connections(self, now: float) -> float:
        """Return the demand at `now` as a number of connections."""
        return self._decayed_ms(now) / (DEMAND_WINDOW_S * 1000)

    def _decayed_ms(self, now: float) -> float:
        elapsed = max(now - self._updated, 0)
        return self._work_ms * math.exp(-elapsed / DEMAND_WINDOW_S)
