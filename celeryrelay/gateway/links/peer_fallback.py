"""Access to a primary through other daemons that still reach it.

A network partition can separate some daemons from a primary that still serves
the others. The separated daemons then run their callers' statements on
connections of the others, with one more hop, instead of refusing them until the
partition ends.
"""

import itertools
from collections import abc

import result

from celeryrelay.core import clock as clocks
from celeryrelay.core import outcomes, ranks, rendezvous
from celeryrelay.gateway import catalog, directory, settings
from celeryrelay.gateway.connections import connection_source
from celeryrelay.gateway.links import peer_registry

# Number of daemons that are asked, one after the other, for one statement.
MAX_ATTEMPTS = 2
# Time in which each of them has to grant a connection: enough to wait in its
# queue, but not for a connection attempt that gets no answer.
ATTEMPT_TIMEOUT_S = 0.4


class PeerFallback:
    """Leases connections from daemons that can reach a server."""

    def __init__(
        self,
        options: settings.Settings,
        server_directory: directory.Directory,
        peers: peer_registry.PeerRegistry,
        clock: clocks.Clock,
    ) -> None:
        """Lease from the daemons of `server_directory` through `peers`."""
        self._options = options
        self._directory = server_directory
        self._peers = peers
        self._clock = clock
        self._last_used: dict[str, str] = {}

    async def acquire(
        self,
        server: catalog.Server,
        names: abc.Iterable[str],
        rank: ranks.Rank,
        deadline: float,
        account: str | None = None,
    ) -> connection_source.AcquireResult:
        """Request a lease of a connection to `server` from other daemons.

        Args:
            server: The backend server.
            names: Daemons that have connections of their own to it.
            rank: Rank of the statement.
            deadline: Time in seconds at which the wait ends.
            account: Client account of the statement, None for commands that may
                run on a connection of any account.
        """
        refusal = outcomes.NotRun(
            outcomes.Reason.connections,
            'no other daemon can reach the backend server',
        )
        usable = filter(
            lambda name: self._is_usable(server.server_id, name),
            self.ordered_candidates(server.server_id, names),
        )
        for name in itertools.islice(usable, MAX_ATTEMPTS):
            peer = self._peers.peer(name)
            until = min(self._clock.monotonic() + ATTEMPT_TIMEOUT_S, deadline)
            match await peer.acquire(server, rank, until, account):
                case result.Ok(lease):
                    lease.is_fallback = True
                    self._last_used[server.server_id] = name
                    return result.Ok(lease)
                case result.Err(refusal):
                    peer.on_server_unreachable(server.server_id)
        return result.Err(refusal)

    def ordered_candidates(
        self,
        server_id: str,
        names: abc.Iterable[str],
    ) -> list[str]:
        """Return the daemons to ask, best first.

        The daemon that last granted a connection to the server comes first,
        then those of the same availability zone and of the same region.
        """
        last = self._last_used.get(server_id)
        own_instance = self._options.instance
        return sorted(
            (name for name in names if name != own_instance),
            key=lambda name: (
                name != last,
                self._distance(name),
                rendezvous.weight(own_instance, name),
            ),
        )

    def _is_usable(self, server_id: str, name: str) -> bool:
        peer = self._peers.peer(name)
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
