"""Choice of the server that runs a read.

Answers floods of reads and replicas that are slow, full or behind: the load
goes to the servers that are expected to answer first, nearest ones preferred.
"""

import dataclasses
from collections import abc

# Preference for near servers, in milliseconds of expected time: bytes between
# regions are paid for, and a remote server helps only if near ones are full.
OTHER_ZONE_MS = 3.0
OTHER_REGION_MS = 45.0
# Reads leave the primary to the statements that only it can run.
PRIMARY_MS = 40.0
# Time constant with which a measured time returns to the usual one, so that a
# server that was slow is tried again.
FORGET_S = 2.0
SAMPLE_WEIGHT = 0.15
USUAL_MS = 15.0


class ResponseTimeEstimate:
    """Moving average of the time that a server takes for a read."""

    def __init__(self, usual_ms: float = USUAL_MS) -> None:
        """Expect `usual_ms` milliseconds until a sample comes."""
        self._usual_ms = usual_ms
        self._excess_ms: float = 0
        self._updated: float = 0

    def on_sample(self, duration_ms: float, now: float) -> None:
        """Note that a statement took `duration_ms` milliseconds."""
        excess_ms = duration_ms - self._usual_ms
        known_ms = self._decayed_ms(now)
        self._excess_ms = known_ms + (excess_ms - known_ms) * SAMPLE_WEIGHT
        self._updated = now

    def expected_ms(self, now: float) -> float:
        """Return the expected time in milliseconds."""
        return self._usual_ms + self._decayed_ms(now)

    def _decayed_ms(self, now: float) -> float:
        elapsed = max(now - self._updated, 0)
        return self._excess_ms * max(1 - elapsed / FORGET_S, 0)


@dataclasses.dataclass(frozen=True, slots=True)
class Candidate:
    """A server that could run a read.

    Attributes:
        server_id: The server.
        same_zone: Whether it is in the daemon's availability zone.
        same_region: Whether it is in the daemon's region.
        is_primary: Whether it is taken as the primary.
        expected_ms: Time that it takes for a statement.
        waiting: Statements of this daemon that wait for a connection to it.
        limit: Connections that this daemon may use.
        running: Connections of this daemon in use.
        avoided: Whether it failed, was full or was behind a moment ago.
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
    """Return the expected time of a read, with preferences added."""
    distance_ms = OTHER_REGION_MS
    if candidate.same_zone:
        distance_ms = 0
    elif candidate.same_region:
        distance_ms = OTHER_ZONE_MS
    limit = max(candidate.limit, 1)
    beyond = max(candidate.running + candidate.waiting + 1 - limit, 0)
    wait_ms = candidate.expected_ms * beyond / limit
    primary_ms = PRIMARY_MS if candidate.is_primary else 0
    return candidate.expected_ms + wait_ms + distance_ms + primary_ms


def choose(candidates: abc.Iterable[Candidate]) -> Candidate | None:
    """Return the best candidate, None if there is none.

    Servers to be avoided are used only if no other is left.
    """
    return min(
        candidates,
        key=lambda candidate: (candidate.avoided, cost_ms(candidate)),
        default=None,
    )
