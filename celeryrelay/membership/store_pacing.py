"""How often the daemons of a fleet call the platform's store.

Pure code. Answers fleets that grow faster than the store's rates: each event
wakes the watch of every daemon, and every daemon renews its lease.
"""

# Time between two watches for each daemon, and at most. Events that come
# meanwhile are answered to one call.
WATCH_PAUSE_S = 0.002
MAX_WATCH_PAUSE_S = 0.2
# The same after an answer that told of other daemons only: while daemons are
# replaced one after the other, each of them would wake all others twice.
CHURN_PAUSE_S = 0.008
MAX_CHURN_PAUSE_S = 0.6
# Lease time for each daemon, and its limits. A longer lease keeps a daemon
# that died in the plans of others for longer.
LEASE_MS = 200
MIN_LEASE_MS = 2000
MAX_LEASE_MS = 6000
# A lease is replaced by a longer one only if that saves many renewals.
LEASE_GROWTH = 1.5


def watch_pause_s(members: int, is_churn: bool = False) -> float:
    """Return the time in seconds between two watches of a daemon.

    Args:
        members: Number of registered daemons.
        is_churn: Whether the last answer told of other daemons only.
    """
    if is_churn:
        return min(members * CHURN_PAUSE_S, MAX_CHURN_PAUSE_S)
    return min(members * WATCH_PAUSE_S, MAX_WATCH_PAUSE_S)


def lease_ttl_ms(members: int) -> int:
    """Return the time in milliseconds after which a lease ends."""
    return max(min(members * LEASE_MS, MAX_LEASE_MS), MIN_LEASE_MS)


def should_replace_lease(ttl_ms: int, members: int) -> bool:
    """Return whether a lease is too short for the fleet's size.

    Args:
        ttl_ms: Time after which the present lease ends.
        members: Number of registered daemons.
    """
    return lease_ttl_ms(members) >= ttl_ms * LEASE_GROWTH
