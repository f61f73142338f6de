"""Registered daemons, including those that only the store has lost.

Answers a store that was lost or restored: the registrations of most daemons end
at once, although the daemons run on and register again within seconds. If each
daemon ordered those that it sees meanwhile, many would take charge of the same
account.

This module does no I/O. The caller passes in the time, in seconds of a
monotonic clock.
"""

import math
from collections import abc

from celeryrelay.quotas import ownership

# Time in seconds in which removals count as one loss, and for which the lost
# daemons are kept. Daemons renew their registration every 1.8 s at most.
LOSS_S = 4.0


class Registrations:
    """The daemons that are registered or were lost together."""

    def __init__(self) -> None:
        """Start without any daemon."""
        self._registered: frozenset[ownership.Registration] = frozenset()
        self._removed_at: dict[ownership.Registration, float] = {}
        self._kept_until = -math.inf
        self._is_keeping = False

    def is_due(self, now: float) -> bool:
        """Return whether kept daemons are to be removed by `update`."""
        return self._is_keeping and now >= self._kept_until

    def update(
        self, registered: abc.Iterable[ownership.Registration], now: float
    ) -> frozenset[ownership.Registration]:
        """Return the daemons to count on, given those that are registered."""
        current = frozenset(registered)
        self._removed_at.update(dict.fromkeys(self._registered - current, now))
        self._registered = current
        names = {member.name for member in current}
        self._removed_at = {
            member: removed_at
            for member, removed_at in self._removed_at.items()
            if member.name not in names and now - removed_at < LOSS_S
        }
        is_kept = now < self._kept_until
        if len(self._removed_at) > len(current) and not is_kept:
            self._kept_until = now + LOSS_S
            is_kept = True
        self._is_keeping = is_kept
        return current | self._removed_at.keys() if is_kept else current
