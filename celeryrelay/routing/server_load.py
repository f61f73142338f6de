"""Load of a backend server, as one daemon knows it from its own reads.

Answers a load that changes faster than a daemon's reads report it. Beside the
response times of earlier reads, the age of a read without a reply counts, so
that a server that is overloaded or fails is noticed before it replies.
"""

import collections
import dataclasses
import itertools

DEFAULT_RESPONSE_MS = 15.0
# Time in seconds after which an observed load counts no more, so that a server
# that was overloaded is tried again.
DECAY_S = 4.0
# The same for the response time of a server without load.
UNLOADED_DECAY_S = 10.0
# Time constant in seconds with which the response time without load rises.
# Overload is shorter than that.
UNLOADED_RISE_S = 20.0
# A sample's weight grows with the time since the previous one, up to 1.
MIN_SAMPLE_WEIGHT = 0.15
SAMPLE_INTERVAL_S = 2.0
# The least of the latest samples is used: some statements take several times
# longer than others, but a queue delays all of them.
RECENT_SAMPLES = 3
RECENT_S = 2.0
# Highest age that counts for the only read in flight. It may be a long statement,
# and other reads show whether the server has a queue.
LONE_READ_MS = 150.0
# Load that a refusal stands for, at least.
REFUSED_EXCESS_MS = 250.0


@dataclasses.dataclass(frozen=True, slots=True)
class _Sample:
    duration_ms: float
    at: float


class ServerLoad:
    """Estimate of the response time of a server.

    It consists of the response time without load and of an excess, which
    decays.
    """

    def __init__(self, default_ms: float = DEFAULT_RESPONSE_MS) -> None:
        """Expect `default_ms` milliseconds until the first sample."""
        self._default_ms = default_ms
        self._unloaded_ms = default_ms
        self._excess_ms: float = 0
        self._updated: float | None = None
        self._recent: collections.deque[_Sample] = collections.deque(
            maxlen=RECENT_SAMPLES
        )
        self._numbers = itertools.count()
        self._sent_at: dict[int, float] = {}
        self._started: set[int] = set()

    @property
    def in_flight(self) -> int:
        """Number of this daemon's reads without a reply."""
        return len(self._sent_at)

    def on_sent(self, now: float) -> int:
        """Record that a read was sent; return its number."""
        number = next(self._numbers)
        self._sent_at[number] = now
        return number

    def on_ended(self, number: int) -> None:
        """Record that a read got a reply, or was given up."""
        self._sent_at.pop(number, None)
        # Servers start statements in the order of their arrival, so the
        # earlier reads don't wait any more; they only take long.
        self._started = {
            earlier
            for earlier in self._sent_at
            if earlier < number or earlier in self._started
        }

    def on_sample(self, duration_ms: float, now: float) -> None:
        """Record that a read took `duration_ms` milliseconds."""
        self._recent.append(_Sample(duration_ms, now))
        least_ms = min(
            sample.duration_ms
            for sample in self._recent
            if now - sample.at <= RECENT_S
        )
        elapsed_s = self._elapsed_s(now)
        before_ms = self._estimate_ms(now)
        # A sample that is no faster confirms the earlier value.
        unloaded_ms = min(self._unloaded_ms, least_ms)
        rise = min(elapsed_s / UNLOADED_RISE_S, MIN_SAMPLE_WEIGHT)
        unloaded_ms += (least_ms - unloaded_ms) * rise
        weight = min(max(elapsed_s / SAMPLE_INTERVAL_S, MIN_SAMPLE_WEIGHT), 1)
        estimate_ms = before_ms + (least_ms - before_ms) * weight
        self._set(unloaded_ms, estimate_ms - unloaded_ms, now)

    def on_refused(self, now: float) -> None:
        """Record that the server refused a read or did not reply.

        The estimate decays afterwards, so the server's share of the reads grows
        slowly when it is used again.
        """
        unloaded_ms = self.unloaded_ms(now)
        excess_ms = self._estimate_ms(now) - unloaded_ms
        self._set(unloaded_ms, max(excess_ms, REFUSED_EXCESS_MS), now)

    def on_restarted(self, now: float) -> None:
        """Record that the server restarted, so it gets few reads at first."""
        self._recent.clear()
        self._sent_at.clear()
        self._started.clear()
        self._set(self._default_ms, REFUSED_EXCESS_MS, now)

    def expected_ms(self, now: float) -> float:
        """Return the expected response time in milliseconds."""
        return max(self._estimate_ms(now), self._oldest_age_ms(now))

    def unloaded_ms(self, now: float) -> float:
        """Return the response time in milliseconds without load."""
        remaining = max(1 - self._elapsed_s(now) / UNLOADED_DECAY_S, 0)
        difference_ms = self._unloaded_ms - self._default_ms
        return self._default_ms + difference_ms * remaining

    def _estimate_ms(self, now: float) -> float:
        remaining = max(1 - self._elapsed_s(now) / DECAY_S, 0)
        return self.unloaded_ms(now) + self._excess_ms * remaining

    def _set(self, unloaded_ms: float, excess_ms: float, now: float) -> None:
        self._unloaded_ms = unloaded_ms
        self._excess_ms = max(excess_ms, 0)
        self._updated = now

    def _elapsed_s(self, now: float) -> float:
        """Return the time since the latest update, 0 before the first one."""
        return max(now - self._updated, 0) if self._updated is not None else 0

    def _oldest_age_ms(self, now: float) -> float:
        """Return the age of the oldest read that may wait in a queue."""
        sent_at = [
            at
            for number, at in self._sent_at.items()
            if number not in self._started
        ]
        if not sent_at:
            return 0
        age_ms = (now - sent_at[0]) * 1000
        return min(age_ms, LONE_READ_MS) if len(sent_at) == 1 else age_ms
