"""Which daemons hold the connections to a backend server.

Pure code. Answers fleets with more daemons than a server has connections:
while each daemon can have a few connections of its own, it does. Beyond that
the connections are divided among the availability zones, and in each of them
among few daemons, the holders, which run the statements of the others.
"""

import collections
import dataclasses
import functools
import itertools
from collections import abc

from celeryrelay.core import rendezvous
from celeryrelay.membership import connection_quota

# Connections below which a daemon does not work alone: one transaction would
# stop all its other statements for the server.
LEAST_OWN = 2
# Connections of a holder; a zone has as many holders as get this number.
HOLDER_CONNECTIONS = 3
# Part of the connections that stays free for daemons that replace a holder
# while its own connections still count.
SPARE_PART = 0.12


@dataclasses.dataclass(frozen=True, slots=True)
class Daemon:
    """A registered daemon.

    Attributes:
        name: Name of its instance.
        availability_zone: Where it runs.
        capacity: Processor cores that it may use.
    """

    name: str
    availability_zone: str
    capacity: float = 1


@dataclasses.dataclass(frozen=True, slots=True)
class ConnectionPlan:
    """How the daemons of one availability zone reach a server.

    Attributes:
        limit: Connections that one daemon may have open.
        ranked_daemons: Daemons of the zone, the holders first; empty while each daemon
            works with connections of its own.
        holder_count: Number of holders.
    """

    limit: int
    ranked_daemons: tuple[str, ...] = ()
    holder_count: int = 0

    @property
    def is_direct(self) -> bool:
        """Whether each daemon works with connections of its own."""
        return not self.ranked_daemons

    @property
    def holders(self) -> tuple[str, ...]:
        """Daemons that share the zone's work for the server."""
        return self.ranked_daemons[: self.holder_count]


def is_direct(connection_limit: int, daemon_count: int) -> bool:
    """Return whether each daemon works with connections of its own.

    Args:
        connection_limit: Connections that a server accepts in all.
        daemon_count: Daemons that may have connections, registered or not.
    """
    return (
        connection_quota.per_daemon(connection_limit, daemon_count) >= LEAST_OWN
    )


class Fleet:
    """The registered daemons, as they were at one moment."""

    def __init__(self, daemons: abc.Iterable[Daemon]) -> None:
        """Plan for `daemons`."""
        self._zones: dict[str, dict[str, float]]
        self._zones = collections.defaultdict(dict)
        for daemon in daemons:
            capacity = max(daemon.capacity, 0.01)
            self._zones[daemon.availability_zone][daemon.name] = capacity
        self._zone_plan = functools.cache(self._plan_zone)

    @property
    def names(self) -> frozenset[str]:
        """Names of all daemons."""
        return frozenset(itertools.chain.from_iterable(self._zones.values()))

    def plan(
        self,
        server_id: str,
        connection_limit: int,
        daemon_count: int,
        availability_zone: str,
    ) -> ConnectionPlan:
        """Return how the daemons of a zone reach a server.

        Args:
            server_id: The server.
            connection_limit: Connections that it accepts in all.
            daemon_count: Daemons that may have connections, registered or not.
            availability_zone: The daemons' zone.
        """
        is_alone = availability_zone not in self._zones
        if is_alone or is_direct(connection_limit, daemon_count):
            return ConnectionPlan(
                connection_quota.per_daemon(connection_limit, daemon_count)
            )
        return self._zone_plan(server_id, connection_limit, availability_zone)

    def holders(
        self,
        server_id: str,
        connection_limit: int,
    ) -> frozenset[str]:
        """Return the holders of all zones for a server."""
        found: set[str] = set()
        for zone in self._zones:
            plan = self._zone_plan(server_id, connection_limit, zone)
            found.update(plan.holders)
        return frozenset(found)

    def _plan_zone(
        self,
        server_id: str,
        connection_limit: int,
        availability_zone: str,
    ) -> ConnectionPlan:
        members = self._zones[availability_zone]
        usable = (connection_limit - connection_quota.RESERVED) * (
            1 - SPARE_PART
        )
        of_zone = max(int(usable / len(self._zones)), 1)
        holder_count = min(max(of_zone // HOLDER_CONNECTIONS, 1), len(members))
        return ConnectionPlan(
            limit=max(of_zone // holder_count, 1),
            ranked_daemons=rendezvous.by_capacity(server_id, members),
            holder_count=holder_count,
        )
