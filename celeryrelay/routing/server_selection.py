"""Selection of the backend server that runs a read.

Reads go to the server that is expected to answer first, with a preference for
near servers. This spreads floods of reads and bypasses replicas that are slow,
overloaded or lagging.
"""

import dataclasses
from collections import abc

# Penalties of distant servers, in milliseconds of expected response time.
# Traffic between regions is charged for, and a remote server helps only if the
# near ones are fully used.
OTHER_ZONE_PENALTY_MS = 3.0
OTHER_REGION_PENALTY_MS = 45.0
# Keeps reads off the primary, whose capacity is needed for the statements that
# only it can run.
PRIMARY_PENALTY_MS = 40.0
# Time constant, in seconds, with which an estimate decays to the default, so
# that a server that was slow is tried again.
DECAY_S = 2.0
SAMPLE_WEIGHT = 0.15
DEFAULT_RESPONSE_MS = 15.0


class ResponseTimeEstimate:
    """Estimate of the time that a server takes for a read.

    It is a moving average of the samples that decays to a default.
    """

    def __init__(self, default_ms: float = DEFAULT_RESPONSE_MS) -> None:
        """Expect `default_ms` milliseconds until the first sample."""
        self._default_ms = default_ms
        self._excess_ms: float = 0
        self._updated: float = 0

    def on_sample(self, duration_ms: float, now: float) -> None:
        """Record that a read took `duration_ms` milliseconds."""
        excess_ms = duration_ms - self._default_ms
        previous_ms = self._decayed_ms(now)
        self._excess_ms = (
            previous_ms + (excess_ms - previous_ms) * SAMPLE_WEIGHT
        )
        self._updated = now

    def expected_ms(self, now: float) -> float:
        """Return the expected response time in milliseconds."""
        return self._default_ms + self._decayed_ms(now)

    def _decayed_ms(self, now: float) -> float:
        elapsed = max(now - self._updated, 0)
        return self._excess_ms * max(1 - elapsed / DECAY_S, 0)


@dataclasses.dataclass(frozen=True, slots=True)
class Candidate:
    """A backend server that could run a read.

    Attributes:
        server_id: Id of the server.
        same_zone: Whether it is in the daemon's availability zone.
        same_region: Whether it is in the daemon's region.
        is_primary: Whether it is presumed to be the primary.
        expected_ms: Expected response time of a read.
        waiting: Statements of this daemon that wait for a connection to it.
        limit: Connections to it that this daemon may open.
        running: Connections to it that this daemon is using.
        avoided: Whether it recently failed, was full or lagged behind.
    """

    server_id: str
    same_zone: bool
    same_region: bool
    is_primary: bool
    expected_ms: float
    waiting: int = 0
    limit: int = 1
    running: int = 0
    avoided: bool = False


def cost_ms(candidate: Candidate) -> float:
    """Return the expected time of a read, with waiting time and penalties."""
    distance_penalty_ms = OTHER_REGION_PENALTY_MS
    if candidate.same_zone:
        distance_penalty_ms = 0
    elif candidate.same_region:
        distance_penalty_ms = OTHER_ZONE_PENALTY_MS
    limit = max(candidate.limit, 1)
    excess = max(candidate.running + candidate.waiting + 1 - limit, 0)
    wait_ms = candidate.expected_ms * excess / limit
    primary_penalty_ms = PRIMARY_PENALTY_MS if candidate.is_primary else 0
    return (
        candidate.expected_ms
        + wait_ms
        + distance_penalty_ms
        + primary_penalty_ms
    )


def choose(candidates: abc.Iterable[Candidate]) -> Candidate | None:
    """Return the candidate with the lowest cost, None if there is none.

    Avoided servers are chosen only if there are no others.
    """
    return min(
        candidates,
        key=lambda candidate: (candidate.avoided, cost_ms(candidate)),
        default=None,
    )
