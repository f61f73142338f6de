"""Ways to a primary through daemons that still reach it.

Answers partitions between some daemons and a primary that serves the others:
their callers' statements go on, one hop longer, instead of being refused until
the partition ends.
"""

import itertools
from collections import abc

import result

from celeryrelay.core import clock as clocks
from celeryrelay.core import outcomes, ranks, rendezvous
from celeryrelay.gateway import (
    catalog,
    connection_source,
    directory,
    peer_links,
    settings,
)

# Daemons that are asked for one statement, one after the other.
ATTEMPTS = 2
# Time that one of them gets: enough for its queue, too short for a connection
# attempt that ends in silence.
ATTEMPT_S = 0.4


class PeerFallback:
    """Finds daemons that reach a server, and uses their connections."""

    def __init__(
        self,
        options: settings.Settings,
        known: directory.Directory,
        forwarder: peer_links.PeerRegistry,
        clock: clocks.Clock,
    ) -> None:
        """Reach the daemons of `known` with `forwarder`."""
        self._options = options
        self._directory = known
        self._forwarder = forwarder
        self._clock = clock
        self._last: dict[str, str] = {}

    async def acquire(
        self,
        server: catalog.Server,
        names: abc.Iterable[str],
        rank: ranks.Rank,
        deadline: float,
    ) -> connection_source.AcquireResult:
        """Ask other daemons for a connection to `server`.

        Args:
            server: The backend server.
            names: Daemons with connections of their own to it.
            rank: Rank of the statement.
            deadline: Time in seconds at which waiting is of no use.
        """
        refusal = outcomes.NotRun(
            outcomes.Reason.connections,
            'no other daemon reaches the backend server',
        )
        usable = filter(
            lambda name: self._is_usable(server.server_id, name),
            self.order(server.server_id, names),
        )
        for name in itertools.islice(usable, ATTEMPTS):
            peer = self._forwarder.peer(name)
            until = min(self._clock.monotonic() + ATTEMPT_S, deadline)
            match await peer.acquire(server, rank, until):
                case result.Ok(lease):
                    lease.is_fallback = True
                    self._last[server.server_id] = name
                    return result.Ok(lease)
                case result.Err(refusal):
                    peer.on_unreached(server.server_id)
        return result.Err(refusal)

    def order(
        self,
        server_id: str,
        names: abc.Iterable[str],
    ) -> list[str]:
        """Return the daemons to ask: the last that worked, then near ones."""
        last = self._last.get(server_id)
        own = self._options.instance
        return sorted(
            (name for name in names if name != own),
            key=lambda name: (
                name != last,
                self._distance(name),
                rendezvous.weight(own, name),
            ),
        )

    def _is_usable(self, server_id: str, name: str) -> bool:
        peer = self._forwarder.peer(name)
        return peer is not None and not peer.is_avoided(server_id)

    def _distance(self, name: str) -> int:
        member = self._directory.daemons.get(name)
        zone = self._options.availability_zone
        region = self._options.region
        if member is None:
            return 3
        if member.availability_zone == zone:
            return 0
        return 1 if region(member.availability_zone) == region(zone) else 2
