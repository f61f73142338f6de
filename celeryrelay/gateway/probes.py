"""Probes that check whether a backend server is the primary of its group."""

import asyncio
import typing

import result

from celeryrelay.core import clock as clocks
from celeryrelay.core import positions, ranks
from celeryrelay.gateway import catalog, commands, interfaces
from celeryrelay.gateway.connections import statement_exchange

if typing.TYPE_CHECKING:
    from celeryrelay.gateway import services

# Limit for acquiring a connection, and again for the replies to a probe.
PROBE_TIMEOUT_S = 0.25


class Observer(typing.Protocol):
    """Receives the results of probes."""

    def on_primary_confirmed(
        self,
        lease: interfaces.ConnectionLease,
        sent_at: float,
        position: positions.Position | None,
    ) -> None:
        """Handle a reply that only the primary of a group can give."""

    async def has_led(self, server: catalog.Server, deadline: float) -> bool:
        """Return whether a server led its group when it replied just now."""

    def on_not_primary(self, server: catalog.Server) -> None:
        """Handle a reply of a server that it is not the primary."""

    def on_unreachable(self, server: catalog.Server) -> None:
        """Handle the failure to get a connection to a server."""

    def on_no_reply(
        self,
        lease: interfaces.ConnectionLease,
        outcome: statement_exchange.Outcome,
    ) -> None:
        """Handle a lost connection or a time-out of a sent command."""


class Prober:
    """Probes servers by asking them to open a write transaction.

    Only the primary of a group does so. Opening a transaction occupies no
    statement slot, so even a loaded server answers at once.
    """

    def __init__(
        self,
        connection_sources: 'services.ConnectionSources',
        observer: Observer,
        clock: clocks.Clock,
    ) -> None:
        """Report results to `observer`."""
        self._connection_sources = connection_sources
        self._observer = observer
        self._clock = clock

    async def probe(self, server: catalog.Server) -> bool:
        """Return whether a server confirms that it is the primary."""
        started_at = self._clock.monotonic()
        source = self._connection_sources.get(server)
        acquired: result.Result[interfaces.ConnectionLease, typing.Any]
        try:
            async with asyncio.timeout(PROBE_TIMEOUT_S):
                acquired = await source.acquire(
                    ranks.Rank.bookings,
                    started_at + PROBE_TIMEOUT_S,
                )
        except TimeoutError:
            acquired = result.Err('no connection within the probe time-out')
        match acquired:
            case result.Ok(lease):
                return await self._send_probe(lease)
        # A server whose connections are all in use is reachable if one of them
        # received a reply since the probe started.
        if source.local_pool.replied_at <= started_at:
            self._observer.on_unreachable(server)
        return False

    async def probe_fallback(self, server: catalog.Server) -> bool:
        """Return whether a server confirms through a peer that it is primary.

        The failure to get a connection is not reported to the observer, since
        the other daemon may be the one that does not reach the server.
        """
        match await self._connection_sources.acquire_fallback(
            server,
            ranks.Rank.bookings,
            self._clock.monotonic() + PROBE_TIMEOUT_S,
        ):
            case result.Ok(lease):
                return await self._send_probe(lease)
        return False

    async def _send_probe(self, lease: interfaces.ConnectionLease) -> bool:
        sent_at = self._clock.monotonic()
        begin_reply, rollback_reply = lease.send(
            [commands.Begin(), commands.Rollback()]
        )
        try:
            async with asyncio.timeout(PROBE_TIMEOUT_S):
                reply = await begin_reply
                await rollback_reply
        except TimeoutError:
            lease.release(usable=False)
            self._observer.on_no_reply(lease, statement_exchange.Late())
            return False
        except asyncio.CancelledError:
            lease.release(usable=False)
            raise
        return await self._evaluate(lease, reply, sent_at)

    async def _evaluate(
        self,
        lease: interfaces.ConnectionLease,
        reply: commands.Reply | commands.Lost,
        sent_at: float,
    ) -> bool:
        lease.release(usable=isinstance(reply, commands.Reply))
        match reply:
            case commands.Reply(error=None):
                deadline = self._clock.monotonic() + PROBE_TIMEOUT_S
                if not await self._observer.has_led(lease.server, deadline):
                    return False
                self._observer.on_primary_confirmed(
                    lease,
                    sent_at,
                    reply.position,
                )
                return True
            case commands.Reply(error=commands.ErrorKind.not_primary):
                self._observer.on_not_primary(lease.server)
            case commands.Lost():
                self._observer.on_no_reply(lease, reply)
        return False
