"""Selection of the backend server that runs a read.

Answers reads of many daemons that know the servers' load only from earlier
replies. If all of them chose the server that seems best, they would overload
one server after the other. So each chooses at random, with probabilities that
follow the expected costs: a near server gets all reads while it is not loaded,
and the more loaded the servers are, the more evenly the reads are spread.
"""

import dataclasses
import math
import random
import statistics
from collections import abc

# Penalties in milliseconds of expected response time. Traffic between zones is
# charged for, and a remote server helps only if the near ones are loaded.
OTHER_ZONE_PENALTY_MS = 10.0
OTHER_REGION_PENALTY_MS = 30.0
# Keeps reads off the primary, whose capacity is needed for the statements that
# only it can run.
PRIMARY_PENALTY_MS = 20.0
# Least response time that is expected of a server, by its distance. Without it,
# a distant server of which nothing is known would seem fast.
NEAR_RESPONSE_MS = 25.0
OTHER_REGION_RESPONSE_MS = 50.0
# Differences of cost that are disregarded: a fixed part, a part of the load
# that most servers have, and one of the load of the most loaded server. Under
# load, what is known is outdated when the read arrives.
MIN_SPREAD_MS = 5.0
COMMON_LOAD_SPREAD = 2.0
HIGHEST_LOAD_SPREAD = 0.25
# Servers that cost more than the best one by this multiple of the spread get no
# reads.
CUTOFF_SPREADS = 2.0


@dataclasses.dataclass(frozen=True, slots=True)
class Candidate:
    """A backend server that could run a read.

    Attributes:
        server_id: Id of the server.
        same_zone: Whether it is in the daemon's availability zone.
        same_region: Whether it is in the daemon's region.
        is_primary: Whether it is presumed to be the primary.
        expected_ms: Expected response time of a read.
        unloaded_ms: The same without load.
        in_flight: Reads of this daemon that the server has not answered.
        slots: Number of statements that the server runs concurrently.
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
    unloaded_ms: float = math.inf
    in_flight: int = 0
    slots: int = 1
    waiting: int = 0
    limit: int = 1
    running: int = 0
    avoided: bool = False


def least_response_ms(same_region: bool) -> float:
    """Return the least response time to expect of a server."""
    return NEAR_RESPONSE_MS if same_region else OTHER_REGION_RESPONSE_MS


def cost_ms(candidate: Candidate) -> float:
    """Return the expected time of a read, with waiting time and penalties."""
    distance_penalty_ms = OTHER_REGION_PENALTY_MS
    if candidate.same_zone:
        distance_penalty_ms = 0
    elif candidate.same_region:
        distance_penalty_ms = OTHER_ZONE_PENALTY_MS
    limit = max(candidate.limit, 1)
    excess = max(candidate.running + candidate.waiting + 1 - limit, 0)
    # Replies to the reads in flight are not part of the estimate yet.
    own_load = candidate.in_flight / max(candidate.slots, 1)
    primary_penalty_ms = PRIMARY_PENALTY_MS if candidate.is_primary else 0
    return (
        candidate.expected_ms * (1 + excess / limit + own_load)
        + distance_penalty_ms
        + primary_penalty_ms
    )


def choose(
    candidates: abc.Iterable[Candidate],
    random_source: random.Random,
) -> Candidate | None:
    """Return the candidate that runs a read, None if there is none.

    Avoided servers are chosen only if there are no others.
    """
    found = tuple(candidates)
    usable = [one for one in found if not one.avoided] or found
    if len(usable) < 2:
        return usable[0] if usable else None
    spread_ms = _spread_ms(usable)
    costs_ms = [cost_ms(candidate) for candidate in usable]
    lowest_ms = min(costs_ms)
    weights = [
        _weight((cost - lowest_ms) / spread_ms) * max(candidate.slots, 1)
        for candidate, cost in zip(usable, costs_ms, strict=True)
    ]
    return random_source.choices(usable, weights)[0]


def _spread_ms(candidates: abc.Sequence[Candidate]) -> float:
    loads_ms = [
        max(candidate.expected_ms - candidate.unloaded_ms, 0)
        for candidate in candidates
    ]
    return (
        MIN_SPREAD_MS
        + COMMON_LOAD_SPREAD * statistics.median_low(loads_ms)
        + HIGHEST_LOAD_SPREAD * max(loads_ms)
    )


def _weight(spreads: float) -> float:
    return math.exp(-spreads) if spreads <= CUTOFF_SPREADS else 0
