"""Which daemon grants the operations of an account.

All daemons order the registered daemons by rendezvous hashing on the account's
name, weighted by processor cores, and ask them in that order. The first one is
the account's owner. A daemon that has registered only recently doesn't grant yet,
and the next one does, until all daemons know the new one.

This module does no I/O.
"""

import dataclasses
import enum
import math
from collections import abc

from celeryrelay.core import rendezvous

# Time in seconds after which all daemons know a registration: pauses between
# watches of up to 1 s, and the delays of the store and the network.
SETTLE_S = 2.5
# Time in seconds after which a daemon takes another one to be in charge. It is
# longer, as the other one may see its own registration later. All daemons ask
# the new one first by then, so only one of them decides.
SETTLE_OTHER_S = 4.0
# Daemons of an account that are ordered; the others never grant or are asked.
ORDERED_DAEMONS = 6


@dataclasses.dataclass(frozen=True, slots=True)
class Registration:
    """A registered daemon.

    Attributes:
        name: Its name.
        start: Random value that differs for each start of its process.
        capacity: Number of processor cores that it may use.
    """

    name: str
    start: str
    capacity: float = 1


class Position(enum.Enum):
    """Position of a daemon among those that may grant an account's operations.

    Attributes:
        owner: It is in charge of the account.
        deputy: It would be in charge if the owner failed.
        other: Neither.
    """

    owner = 'owner'
    deputy = 'deputy'
    other = 'other'


class Ownership:
    """The order of the daemons for each account, as one daemon sees it."""

    def __init__(self, own_name: str) -> None:
        """Start without any registered daemon."""
        self._own_name = own_name
        self._seen_at: dict[Registration, float] = {}
        self._settle_at: dict[str, float] = {}
        self._capacities: dict[str, float] = {}
        self._orders: dict[str, tuple[str, ...]] = {}
        self._is_first_view = True
        self._unchanged_since: float = math.inf
        self._claimed: set[str] = set()

    @property
    def daemons(self) -> int:
        """Number of registered daemons."""
        return len(self._settle_at)

    def on_members(
        self, members: abc.Iterable[Registration], now: float
    ) -> None:
        """Replace the registered daemons."""
        before = self._seen_at
        self._seen_at = {member: before.get(member, now) for member in members}
        if self._seen_at.keys() == before.keys():
            return
        if self._is_first_view:
            self._is_first_view = False
            self._mark_known()
        self._orders.clear()
        self._settle_at = {
            member.name: seen_at + self._settle_s(member)
            for member, seen_at in self._seen_at.items()
        }
        self._capacities = {
            member.name: member.capacity for member in self._seen_at
        }
        own_settle_at = self._settle_at.get(self._own_name, math.inf)
        self._unchanged_since = max(own_settle_at, now)

    def order(self, account: str) -> tuple[str, ...]:
        """Return the daemons to ask about an account, the owner first."""
        if account not in self._orders:
            order = rendezvous.order_by_capacity(account, self._capacities)
            self._orders[account] = order[:ORDERED_DAEMONS]
        return self._orders[account]

    def position(
        self,
        account: str,
        now: float,
        has_ended: abc.Callable[[str], bool] | None = None,
    ) -> Position:
        """Return this daemon's own position.

        Args:
            account: Name of the account.
            now: Time in seconds.
            has_ended: Returns whether the process of a daemon has certainly
                ended.
        """
        settled = [
            name
            for name in self.order(account)
            if self._is_settled(name, account, now)
            and not (has_ended and has_ended(name))
        ]
        if self._own_name in settled[:1]:
            return Position.owner
        return (
            Position.deputy if self._own_name in settled[:2] else Position.other
        )

    def may_claim(self, account: str, now: float) -> bool:
        """Return whether it is the first one, but not yet known to all."""
        is_first = self.order(account)[:1] == (self._own_name,)
        return is_first and not self._is_settled(self._own_name, account, now)

    def claim(self, account: str) -> None:
        """Take charge of an account as no other daemon is in charge of it.

        All daemons are new when a deployment starts.
        """
        self._claimed.add(account)

    def owner_for_s(self, now: float) -> float:
        """Return for how long an owner has certainly been in charge.

        It counts from the last change of the registered daemons.
        """
        return max(now - self._unchanged_since, 0)

    def _is_settled(self, name: str, account: str, now: float) -> bool:
        if name == self._own_name and account in self._claimed:
            return True
        return self._settle_at[name] <= now

    def _settle_s(self, member: Registration) -> float:
        return SETTLE_S if member.name == self._own_name else SETTLE_OTHER_S

    def _mark_known(self) -> None:
        """Regard the daemons of the first view as known to all daemons.

        This daemon itself is new, unless there is no other one.
        """
        for member in self._seen_at:
            if member.name != self._own_name or len(self._seen_at) == 1:
                self._seen_at[member] = -math.inf
