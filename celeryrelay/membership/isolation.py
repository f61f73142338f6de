"""Whether a daemon is cut off, so that its callers do better elsewhere.

Pure code. Answers partitions that separate a daemon both from the store and
from a primary: it can't learn who leads, and other daemons can serve its
callers. A dead primary alone does not count, since no daemon reaches it.
"""

import dataclasses

# Ages from which a loss is not taken for a short disturbance.
STORE_LOST_S = 0.5
NO_PRIMARY_S = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class ConnectivityLoss:
    """What a daemon has lost; ages in seconds, None for what it has.

    Attributes:
        store_lost_s: Time since the store first did not answer.
        no_primary_s: Longest time for which a group's primary was not reached.
    """

    store_lost_s: float | None = None
    no_primary_s: float | None = None


def is_isolated(facts: ConnectivityLoss) -> bool:
    """Return whether callers should use other daemons."""
    if facts.store_lost_s is None or facts.no_primary_s is None:
        return False
    return (
        facts.store_lost_s >= STORE_LOST_S
        and facts.no_primary_s >= NO_PRIMARY_S
    )
