"""Detection of a network partition that isolates a daemon.

A daemon is isolated if it reaches neither the store nor the primary of some
database group. It then can't learn which server is the primary, and other
daemons can serve its callers. The loss of a primary alone does not count,
because a failed primary is unreachable for all daemons.

This module does no I/O.
"""

import dataclasses

# Shorter losses are regarded as transient, in seconds.
MIN_STORE_LOST_S = 0.5
MIN_NO_PRIMARY_S = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class ConnectivityLoss:
    """How long a daemon has been without the store and a primary, in seconds.

    Attributes:
        store_lost_s: Time since the store stopped answering; None if it
            answers.
        no_primary_s: Longest time for which the primary of a group has been
            unreachable; None if all are reachable.
    """

    store_lost_s: float | None = None
    no_primary_s: float | None = None


def is_isolated(loss: ConnectivityLoss) -> bool:
    """Return whether the daemon's callers should use other daemons."""
    if loss.store_lost_s is None or loss.no_primary_s is None:
        return False
    return (
        loss.store_lost_s >= MIN_STORE_LOST_S
        and loss.no_primary_s >= MIN_NO_PRIMARY_S
    )
