"""How often the daemons of a fleet call the platform's store.

Pure code. Answers fleets that grow faster than the store's rates: each event
wakes the watch of every daemon, and every daemon renews its lease.
"""

# Time between two watches for each daemon, and at most. Events that come
# meanwhile are answered to one call.
WATCH_PAUSE_S = 0.002
MAX_WATCH_PAUSE_S = 0.2
# Lease time for each daemon, and its limits. A longer lease keeps a daemon
# that died in the plans of others for longer.
LEASE_MS = 200
MIN_LEASE_MS = 2000
MAX_LEASE_MS = 6000
# A lease is replaced by a longer one only if that saves many renewals.
LEASE_GROWTH = 1.5


def watch_pause_s(members: int) -> float:
    """Return the time in seconds between two watches of a daemon."""
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
