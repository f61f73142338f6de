"""What the tasks of one daemon share."""

import collections
import dataclasses

from celeryrelay.core import clock as clocks
from celeryrelay.gateway import (
    catalog,
    directory,
    pool,
    ports,
    primaries,
    settings,
)
from celeryrelay.gateway import metrics as gateway_metrics
from celeryrelay.membership import connections as shares
from celeryrelay.routing import placement

# Time after the start until which more daemons may register, and the number
# that is assumed meanwhile.
SETTLE_S = 4.0
UNSETTLED_MEMBERS = 9


class Pools:
    """Pools of all servers, created when they are first used."""

    def __init__(
        self,
        known: directory.Directory,
        connector: ports.Connector,
        clock: clocks.Clock,
    ) -> None:
        """Open connections with `connector`."""
        self._directory = known
        self._connector = connector
        self._clock = clock
        self._started = clock.monotonic()
        self._pools: dict[str, pool.ServerPool] = {}
        self.expected = collections.defaultdict(placement.ExpectedTime)

    def get(self, server: catalog.Server) -> pool.ServerPool:
        """Return the pool of a server; a restarted server gets a new one."""
        found = self._pools.get(server.server_id)
        if found is not None and _is_same(found.server, server):
            return found
        if found is not None:
            found.close()
        created = pool.ServerPool(
            server,
            self._connector,
            self._clock,
            self._limit(server.group),
        )
        self._pools[server.server_id] = created
        return created

    def maintain(self) -> None:
        """Apply the share of connections and close idle ones."""
        for server_id in self._directory.forget_gone():
            gone = self._pools.pop(server_id, None)
            if gone is not None:
                gone.close()
        for server_pool in self._pools.values():
            limit = self._limit(server_pool.server.group)
            if limit != server_pool.limit:
                server_pool.resize(limit)
            server_pool.close_idle()

    def opened_total(self) -> int:
        """Return the connections opened so far to the present servers."""
        return sum(found.opened_total for found in self._pools.values())

    def _limit(self, group_name: str) -> int:
        known = self._directory.catalog
        group = known.groups.get(group_name) if known else None
        if group is None:
            return 1
        now = self._clock.monotonic()
        counted = self._directory.members.counted(now)
        if now - self._started < SETTLE_S:
            counted = max(counted, UNSETTLED_MEMBERS)
        return shares.share(group.connection_limit, counted)


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
    pools: Pools
    primaries: primaries.Primaries
    metrics: gateway_metrics.Metrics
