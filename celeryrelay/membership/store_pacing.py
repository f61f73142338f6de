"""Rate at which the daemons of a fleet call the platform's store.

Each change in the store wakes the watch of every daemon, and every daemon
renews its lease. The load on the store would therefore grow faster than the
fleet, so daemons of a larger fleet call it less often.

This module does no I/O.
"""

# Pause between two watches per member of the fleet, and its maximum, in
# seconds. The next watch returns all changes of the pause at once.
WATCH_PAUSE_PER_MEMBER_S = 0.002
MAX_WATCH_PAUSE_S = 0.2
# The same after a watch that returned only changes of other daemons. During a
# rolling replacement, each replaced daemon would otherwise wake all others
# twice.
CHURN_PAUSE_PER_MEMBER_S = 0.008
MAX_CHURN_PAUSE_S = 0.6
# The same for a daemon without callers, per member and at most.
IDLE_PAUSE_PER_MEMBER_S = 0.02
MAX_IDLE_PAUSE_S = 1.0
# Bounds of the time for which the store may hold a watch without a change, in
# milliseconds.
MIN_WATCH_WAIT_MS = 1000
MAX_WATCH_WAIT_MS = 28000
# Time to give up a watch that is overdue, connect again and read the changes,
# with the longest pause between two watches, in milliseconds.
WATCH_RECOVERY_MS = 3000
# Time between two reads of the record of promotion orders by a daemon, per
# member of the fleet, and its bounds, in seconds. A daemon reads it for the
# replies of a primary while another server of the group is down.
RECORD_READ_PER_MEMBER_S = 0.004
MIN_RECORD_READ_S = 0.05
MAX_RECORD_READ_S = 0.4
# Time per member of the fleet over which new registrations are spread after the
# store has lost them, and its maximum, in seconds. A registration takes two
# writes. It has to be written before the others count its daemon as gone.
REGISTRATION_PER_MEMBER_S = 0.008
MAX_REGISTRATION_DELAY_S = 1.5
# Time between two reads of the configuration as evidence, and age from which on
# a daemon that gets none from others reads the store itself, as fractions of the
# time in which a withdrawn key has to be known. Two attempts may fail.
EVIDENCE_INTERVAL_FRACTION = 0.2
EVIDENCE_FRESH_FRACTION = 0.3
MIN_EVIDENCE_INTERVAL_S = 0.1
# Time over which the daemons spread their own reads when no reader answers, per
# member, and its maximum as a fraction of the same time.
EVIDENCE_SPREAD_PER_MEMBER_S = 0.004
MAX_EVIDENCE_SPREAD_FRACTION = 0.16
# Pause after an attempt without evidence, in intervals, and its maximum. It
# doubles with each further attempt.
EVIDENCE_RETRY_INTERVALS = 0.25
MAX_EVIDENCE_RETRY_INTERVALS = 1
# The same between the reads of a daemon that isn't a reader. While the store
# refuses all, it only asks the readers more often, which costs no store call.
EVIDENCE_READ_INTERVALS = 1
MAX_EVIDENCE_READ_INTERVALS = 4
# Time to live of a store lease per member of the fleet, and its bounds, in
# milliseconds. With a longer lease, a daemon that died stays longer in the
# connection plans of the others.
LEASE_MS_PER_MEMBER = 200
MIN_LEASE_MS = 2000
MAX_LEASE_MS = 6000
# Minimum ratio of the new time to live to the present one for which a lease is
# replaced; a smaller gain would save too few renewals.
MIN_LEASE_GROWTH = 1.5


def watch_pause_s(
    members: int,
    is_churn: bool = False,
    is_idle: bool = False,
) -> float:
    """Return the pause in seconds between two watches of a daemon.

    Answers the load of many changes in a row, such as the start of a whole
    deployment, when all daemons and servers register within seconds.

    Args:
        members: Number of registered daemons.
        is_churn: Whether the last watch returned only changes of other
            daemons.
        is_idle: Whether the daemon has a configuration, but no callers.
    """
    if is_idle:
        return min(members * IDLE_PAUSE_PER_MEMBER_S, MAX_IDLE_PAUSE_S)
    if is_churn:
        return min(members * CHURN_PAUSE_PER_MEMBER_S, MAX_CHURN_PAUSE_S)
    return min(members * WATCH_PAUSE_PER_MEMBER_S, MAX_WATCH_PAUSE_S)


def watch_wait_ms(max_delay_s: float) -> int:
    """Return how long the store may hold a watch without a change.

    A watch whose response was lost hides all changes until it is given up, and
    nothing else shows the loss: other connections may work all the time.

    Args:
        max_delay_s: Time from the loss in seconds after which the daemon must
            know the changes.
    """
    wait_ms = round(max_delay_s * 1000) - WATCH_RECOVERY_MS
    return min(max(wait_ms, MIN_WATCH_WAIT_MS), MAX_WATCH_WAIT_MS)


def record_read_interval_s(members: int) -> float:
    """Return the least time between two reads of the record of orders.

    Replies of a primary wait for the next read meanwhile, so the interval stays
    below the latency target of urgent statements.

    Args:
        members: Number of registered daemons.
    """
    interval_s = members * RECORD_READ_PER_MEMBER_S
    return min(max(interval_s, MIN_RECORD_READ_S), MAX_RECORD_READ_S)


def max_registration_delay_s(members: int) -> float:
    """Return the time over which daemons spread their new registrations.

    Answers the load after the store was restored from an older copy, when all
    daemons have lost their leases at the same moment.

    Args:
        members: Number of registered daemons.
    """
    delay_s = members * REGISTRATION_PER_MEMBER_S
    return min(delay_s, MAX_REGISTRATION_DELAY_S)


def lease_ttl_ms(members: int) -> int:
    """Return the time to live of a store lease in milliseconds."""
    return max(min(members * LEASE_MS_PER_MEMBER, MAX_LEASE_MS), MIN_LEASE_MS)


def should_replace_lease(ttl_ms: int, members: int) -> bool:
    """Return whether a store lease is much too short for the fleet's size.

    Args:
        ttl_ms: Time to live of the present lease.
        members: Number of registered daemons.
    """
    return lease_ttl_ms(members) >= ttl_ms * MIN_LEASE_GROWTH


def evidence_interval_s(revoke_s: float) -> float:
    """Return the time between two reads of the configuration in seconds.

    Answers the load of the daemons that need evidence of the newest
    configuration all the time.

    Args:
        revoke_s: Time in seconds in which a withdrawn key has to be known.
    """
    return max(revoke_s * EVIDENCE_INTERVAL_FRACTION, MIN_EVIDENCE_INTERVAL_S)


def evidence_spread_s(members: int, revoke_s: float) -> float:
    """Return the time over which daemons spread reads that no reader makes.

    Args:
        members: Number of registered daemons.
        revoke_s: Time in seconds in which a withdrawn key has to be known.
    """
    return min(
        members * EVIDENCE_SPREAD_PER_MEMBER_S,
        revoke_s * MAX_EVIDENCE_SPREAD_FRACTION,
    )


def evidence_retry_s(failures: int, revoke_s: float) -> float:
    """Return the pause after attempts without evidence, in seconds.

    Args:
        failures: Number of attempts in a row without evidence, 1 or more.
        revoke_s: Time in seconds in which a withdrawn key has to be known.
    """
    intervals = EVIDENCE_RETRY_INTERVALS * 2 ** min(failures - 1, 10)
    return evidence_interval_s(revoke_s) * min(
        intervals, MAX_EVIDENCE_RETRY_INTERVALS
    )


def evidence_read_pause_s(failures: int, revoke_s: float) -> float:
    """Return the pause after failed reads of a daemon that isn't a reader.

    Args:
        failures: Number of failed reads in a row, 1 or more.
        revoke_s: Time in seconds in which a withdrawn key has to be known.
    """
    intervals = EVIDENCE_READ_INTERVALS * 2 ** min(failures - 1, 10)
    return evidence_interval_s(revoke_s) * min(
        intervals, MAX_EVIDENCE_READ_INTERVALS
    )
