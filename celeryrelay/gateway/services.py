"""Services that the sessions and background tasks of a daemon share."""

import collections
import dataclasses
import random

from celeryrelay.admission import busy_retries as retries
from celeryrelay.core import clock as clocks
from celeryrelay.core import ranks
from celeryrelay.gateway import (
    account_metrics,
    catalog,
    directory,
    interfaces,
    primaries,
    settings,
)
from celeryrelay.gateway.connections import connection_source, pool
from celeryrelay.gateway.links import peer_fallback, peer_registry
from celeryrelay.gateway import metrics as gateway_metrics
from celeryrelay.gateway.quotas import quota_service
from celeryrelay.gateway.sessions import authorization
from celeryrelay.membership import connection_plans
from celeryrelay.routing import server_load

# After a start, other daemons may be starting and not registered yet. During
# this time at least this number of daemons is assumed to share connections.
STARTUP_S = 4.0
STARTUP_MEMBERS = 9


class ConnectionSources:
    """Connection sources of all backend servers, created on first use.

    Attributes:
        read_loads: Load of each server as this daemon's reads show it, by
            server id.
        account_metrics: Counts the connections by client account, None if
            nothing does.
    """

    def __init__(
        self,
        options: settings.Settings,
        server_directory: directory.Directory,
        connector: interfaces.Connector,
        peers: peer_registry.PeerRegistry,
        clock: clocks.Clock,
    ) -> None:
        """Create an empty collection.

        Args:
            options: Settings of the daemon.
            server_directory: Registered servers and daemons.
            connector: Opens connections of this daemon.
            peers: Leases connections that other daemons hold.
            clock: Source of the time.
        """
        self._options = options
        self._directory = server_directory
        self._connector = connector
        self._peers = peers
        self._clock = clock
        self.account_metrics: account_metrics.AccountMetrics | None = None
        self._started_at = clock.monotonic()
        self._sources: dict[str, connection_source.ConnectionSource] = {}
        self._fallback = peer_fallback.PeerFallback(
            options,
            server_directory,
            peers,
            clock,
        )
        self.read_loads: dict[str, server_load.ServerLoad]
        self.read_loads = collections.defaultdict(server_load.ServerLoad)

    def get(self, server: catalog.Server) -> connection_source.ConnectionSource:
        """Return the connection source of a server.

        A server that restarted or moved gets a new one.
        """
        found = self._sources.get(server.server_id)
        if found is not None and _is_same_process(found.server, server):
            return found
        if found is not None:
            found.local_pool.close()
            self.read_loads[server.server_id].on_restarted(
                self._clock.monotonic()
            )
        created = connection_source.ConnectionSource(
            pool.ConnectionPool(
                server,
                self._connector,
                self._clock,
                limit=1,
                metrics=self.account_metrics,
            ),
            self._options.instance,
            self._peers,
            self._clock,
        )
        self._apply_plan(created)
        self._sources[server.server_id] = created
        return created

    def local_pool(self, server_id: str) -> pool.ConnectionPool | None:
        """Return this daemon's own pool for a server, None if unknown."""
        known = self._directory.find_server(server_id)
        return self.get(known.server).local_pool if known else None

    def maintain(self) -> None:
        """Adapt to changes of the fleet and close idle connections.

        Called periodically.
        """
        self._directory.remove_missing_members()
        for server_id in self._directory.remove_gone_servers():
            gone = self._sources.pop(server_id, None)
            self.read_loads.pop(server_id, None)
            if gone is not None:
                gone.local_pool.close()
        for found in self._sources.values():
            self._apply_plan(found)
            found.local_pool.close_idle()
            if self._options.client_accounts:
                found.local_pool.close_unknown(self._is_known_account)
        self._peers.maintain()

    def opened_total(self) -> int:
        """Return the number of connections opened so far to known servers."""
        return sum(
            found.local_pool.opened_total for found in self._sources.values()
        )

    def connected_daemons(
        self,
        server_id: str,
        group_name: str,
    ) -> frozenset[str]:
        """Return the daemons that hold connections of their own to a server."""
        configuration = self._directory.configuration
        group = configuration.groups.get(group_name) if configuration else None
        if group is None:
            return frozenset((self._options.instance,))
        fleet = self._directory.fleet
        daemon_count = self._daemon_count()
        limit = group.connection_limit
        if connection_plans.is_direct(limit, daemon_count):
            return fleet.names | {self._options.instance}
        return fleet.holders(server_id, limit)

    async def acquire_fallback(
        self,
        server: catalog.Server,
        rank: ranks.Rank,
        deadline: float,
        account: str | None = None,
    ) -> connection_source.AcquireResult:
        """Acquire a connection to a server that another daemon holds.

        Args:
            server: The backend server.
            rank: Rank of the statement.
            deadline: Time in seconds at which the wait ends.
            account: Client account of the statement, None for commands that may
                run on a connection of any account.
        """
        return await self._fallback.acquire(
            server,
            self.connected_daemons(server.server_id, server.group),
            rank,
            deadline,
            account,
        )

    def _plan(self, server: catalog.Server) -> connection_plans.ConnectionPlan:
        configuration = self._directory.configuration
        group = (
            configuration.groups.get(server.group) if configuration else None
        )
        if group is None:
            return connection_plans.ConnectionPlan(limit=1)
        return self._directory.fleet.plan(
            server.server_id,
            group.connection_limit,
            self._daemon_count(),
            self._options.availability_zone,
        )

    def _apply_plan(self, source: connection_source.ConnectionSource) -> None:
        source.apply_plan(
            self._plan(source.server), self._options.client_accounts
        )

    def _is_known_account(self, account: str) -> bool:
        configuration = self._directory.configuration
        return (
            not account
            or configuration is None
            or configuration.accounts.named(account) is not None
        )

    def _daemon_count(self) -> int:
        """Return the number of daemons assumed to hold connections."""
        now = self._clock.monotonic()
        daemon_count = self._directory.member_tracker.effective_count(now)
        if now - self._started_at < STARTUP_S:
            return max(daemon_count, STARTUP_MEMBERS)
        return daemon_count


def _is_same_process(left: catalog.Server, right: catalog.Server) -> bool:
    return (left.address, left.started_ms, left.group) == (
        right.address,
        right.started_ms,
        right.group,
    )


@dataclasses.dataclass(frozen=True, slots=True)
class Services:
    """Services that sessions and background tasks share.

    Attributes:
        options: Settings of the daemon.
        clock: Source of the time.
        directory: Configuration, backend servers and daemons from the store.
        connection_sources: Connections to the backend servers.
        primaries: Finds the primary of each group.
        authorizer: Finds the client account of each statement.
        quotas: Limits the operations of client accounts.
        metrics: Metrics of the daemon.
        random_source: Source of the random choices of servers.
        busy_retries: Whether statements that a server rejected are sent again.
    """

    options: settings.Settings
    clock: clocks.Clock
    directory: directory.Directory
    connection_sources: ConnectionSources
    primaries: primaries.PrimaryLocator
    authorizer: authorization.Authorizer
    quotas: quota_service.QuotaService
    metrics: gateway_metrics.Metrics
    random_source: random.Random
    busy_retries: retries.BusyRetries = dataclasses.field(
        default_factory=lambda: retries.BusyRetries(random.Random()),
    )
