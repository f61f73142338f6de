"""What the tasks of one daemon share."""

import collections
import dataclasses

from celeryrelay.core import clock as clocks
from celeryrelay.core import ranks
from celeryrelay.gateway import (
    catalog,
    connection_source,
    directory,
    interfaces,
    peer_fallback,
    peer_links,
    pool,
    primaries,
    settings,
)
from celeryrelay.gateway import metrics as gateway_metrics
from celeryrelay.membership import connection_plans
from celeryrelay.routing import server_selection

# Time after the start until which more daemons may register, and the number
# that is assumed meanwhile.
SETTLE_S = 4.0
UNSETTLED_MEMBERS = 9


class ConnectionSources:
    """Ways to all servers, created when they are first used."""

    def __init__(
        self,
        options: settings.Settings,
        known: directory.Directory,
        connector: interfaces.Connector,
        forwarder: peer_links.PeerRegistry,
        clock: clocks.Clock,
    ) -> None:
        """Open connections with `connector`, or use those of holders."""
        self._options = options
        self._directory = known
        self._connector = connector
        self._forwarder = forwarder
        self._clock = clock
        self._started = clock.monotonic()
        self._accesses: dict[str, connection_source.ConnectionSource] = {}
        self._detours = peer_fallback.PeerFallback(
            options, known, forwarder, clock
        )
        self.expected_times = collections.defaultdict(
            server_selection.ResponseTimeEstimate
        )

    def get(self, server: catalog.Server) -> connection_source.ConnectionSource:
        """Return the way to a server; a restarted server gets a new one."""
        found = self._accesses.get(server.server_id)
        if found is not None and _is_same(found.server, server):
            return found
        if found is not None:
            found.local_pool.close()
        created = connection_source.ConnectionSource(
            pool.ConnectionPool(server, self._connector, self._clock, limit=1),
            self._options.instance,
            self._forwarder,
            self._clock,
        )
        created.apply_plan(self._plan(server))
        self._accesses[server.server_id] = created
        return created

    def own_pool(self, server_id: str) -> pool.ConnectionPool | None:
        """Return the own connections to a server, None if it is unknown."""
        known = self._directory.find_server(server_id)
        return self.get(known.server).local_pool if known else None

    def maintain(self) -> None:
        """Follow the fleet's changes and close idle connections."""
        for server_id in self._directory.remove_gone_servers():
            gone = self._accesses.pop(server_id, None)
            if gone is not None:
                gone.local_pool.close()
        for found in self._accesses.values():
            found.apply_plan(self._plan(found.server))
            found.local_pool.close_idle()
        self._forwarder.maintain()

    def opened_total(self) -> int:
        """Return the connections opened so far to the present servers."""
        return sum(
            found.local_pool.opened_total for found in self._accesses.values()
        )

    def connected_daemons(
        self,
        server_id: str,
        group_name: str,
    ) -> frozenset[str]:
        """Return the daemons that have connections of their own to a server."""
        known = self._directory.configuration
        group = known.groups.get(group_name) if known else None
        if group is None:
            return frozenset((self._options.instance,))
        fleet = self._directory.fleet
        counted = self._counted()
        limit = group.connection_limit
        if connection_plans.is_direct(limit, counted):
            return fleet.names | {self._options.instance}
        return fleet.holders(server_id, limit)

    async def acquire_detour(
        self,
        server: catalog.Server,
        rank: ranks.Rank,
        deadline: float,
    ) -> connection_source.AcquireResult:
        """Ask other daemons for a connection to a server.

        Args:
            server: The backend server.
            rank: Rank of the statement.
            deadline: Time in seconds at which waiting is of no use.
        """
        return await self._detours.acquire(
            server,
            self.connected_daemons(server.server_id, server.group),
            rank,
            deadline,
        )

    def _plan(self, server: catalog.Server) -> connection_plans.ConnectionPlan:
        known = self._directory.configuration
        group = known.groups.get(server.group) if known else None
        if group is None:
            return connection_plans.ConnectionPlan(limit=1)
        return self._directory.fleet.plan(
            server.server_id,
            group.connection_limit,
            self._counted(),
            self._options.availability_zone,
        )

    def _counted(self) -> int:
        """Return the number of daemons that may have connections."""
        now = self._clock.monotonic()
        counted = self._directory.member_count.effective_count(now)
        if now - self._started < SETTLE_S:
            return max(counted, UNSETTLED_MEMBERS)
        return counted


def _is_same(left: catalog.Server, right: catalog.Server) -> bool:
    return (left.address, left.started_ms, left.group) == (
        right.address,
        right.started_ms,
        right.group,
    )


@dataclasses.dataclass(frozen=True, slots=True)
class Services:
    """What sessions and control tasks share."""

    options: settings.Settings
    clock: clocks.Clock
    directory: directory.Directory
    connection_sources: ConnectionSources
    primaries: primaries.PrimaryTracker
    metrics: gateway_metrics.Metrics
