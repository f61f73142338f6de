"""Plans which daemons open connections to a backend server, and how many.

As long as the server accepts a few connections per daemon, each daemon opens
its own. In a larger fleet, the connections are divided among the availability
zones, and in each zone among a few daemons, the holders. The holders run the
statements of the other daemons of their zone.

This module does no I/O.
"""

import collections
import dataclasses
import functools
import itertools
from collections import abc

from celeryrelay.core import rendezvous
from celeryrelay.membership import connection_quota

# Minimum number of connections with which each daemon uses its own. With a
# single connection, one transaction would block all other statements of the
# daemon for that server.
MIN_DIRECT_CONNECTIONS = 2
# Number of connections per holder, from which the number of holders in a zone
# follows.
CONNECTIONS_PER_HOLDER = 3
# Fraction of the connections that is kept free for daemons that replace a
# holder while the holder's connections are still open.
SPARE_FRACTION = 0.12


@dataclasses.dataclass(frozen=True, slots=True)
class Daemon:
    """A registered daemon.

    Attributes:
        name: Name of its instance.
        availability_zone: Name of the availability zone in which it runs.
        capacity: Number of processor cores that it may use.
    """

    name: str
    availability_zone: str
    capacity: float = 1


@dataclasses.dataclass(frozen=True, slots=True)
class ConnectionPlan:
    """How the daemons of one availability zone connect to a server.

    Attributes:
        limit: Number of connections that one daemon may open; if there are
            holders, that one holder may open.
        ranked_daemons: Daemons of the zone in order of preference, the holders
            first; empty if each daemon uses its own connections.
        holder_count: Number of holders.
        substitute_limit: Number of connections that a daemon of the zone may
            open that is not a holder, while it takes the place of one.
    """

    limit: int
    ranked_daemons: tuple[str, ...] = ()
    holder_count: int = 0
    substitute_limit: int = 1

    @property
    def is_direct(self) -> bool:
        """Whether each daemon uses its own connections."""
        return not self.ranked_daemons

    @property
    def holders(self) -> tuple[str, ...]:
        """Daemons that run the statements of the zone for the server."""
        return self.ranked_daemons[: self.holder_count]

    def limit_of(self, name: str) -> int:
        """Return the number of connections that a daemon may open."""
        if self.is_direct or name in self.holders:
            return self.limit
        return self.substitute_limit


def is_direct(connection_limit: int, daemon_count: int) -> bool:
    """Return whether each daemon uses its own connections to a server.

    Args:
        connection_limit: Total number of connections that the server accepts.
        daemon_count: Number of daemons that may have open connections,
            registered or not.
    """
    return (
        connection_quota.per_daemon(connection_limit, daemon_count)
        >= MIN_DIRECT_CONNECTIONS
    )


class Fleet:
    """Snapshot of the registered daemons, from which plans are computed."""

    def __init__(self, daemons: abc.Iterable[Daemon]) -> None:
        """Compute plans for `daemons`."""
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
        """Return how the daemons of a zone connect to a server.

        Args:
            server_id: Id of the server.
            connection_limit: Total number of connections that it accepts.
            daemon_count: Number of daemons that may have open connections,
                registered or not.
            availability_zone: Zone of the daemons. If no daemon of the zone is
                registered, the plan is direct.
        """
        is_unregistered = availability_zone not in self._zones
        if is_unregistered or is_direct(connection_limit, daemon_count):
            return ConnectionPlan(
                connection_quota.per_daemon(connection_limit, daemon_count)
            )
        return self._zone_plan(server_id, connection_limit, availability_zone)

    def holders(
        self,
        server_id: str,
        connection_limit: int,
    ) -> frozenset[str]:
        """Return the holders for a server in all zones."""
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
        usable = (connection_limit - connection_quota.RESERVED_CONNECTIONS) * (
            1 - SPARE_FRACTION
        )
        zone_connections = max(int(usable / len(self._zones)), 1)
        holder_count = min(
            max(zone_connections // CONNECTIONS_PER_HOLDER, 1), len(members)
        )
        spare = connection_limit * SPARE_FRACTION / len(self._zones)
        return ConnectionPlan(
            limit=max(zone_connections // holder_count, 1),
            substitute_limit=max(int(spare), 1),
            ranked_daemons=rendezvous.order_by_capacity(server_id, members),
            holder_count=holder_count,
        )
