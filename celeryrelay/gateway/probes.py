"""Questions to a server whether it leads its group."""

import asyncio
import typing

import result

from celeryrelay.core import clock as clocks
from celeryrelay.core import positions, ranks
from celeryrelay.gateway import (
    catalog,
    commands,
    interfaces,
    statement_exchange,
)

if typing.TYPE_CHECKING:
    from celeryrelay.gateway import services

PROBE_TIMEOUT_S = 0.25


class Observer(typing.Protocol):
    """Takes what probes find out."""

    def on_primary_confirmed(
        self,
        lease: interfaces.ConnectionLease,
        sent_at: float,
        position: positions.Position | None,
    ) -> None:
        """Note an answer that only a primary gives."""

    def on_not_primary(self, server: catalog.Server) -> None:
        """Note that a server does not lead."""

    def on_unreachable(self, server: catalog.Server) -> None:
        """Note that a server was not reached."""

    def on_no_reply(
        self,
        lease: interfaces.ConnectionLease,
        outcome: statement_exchange.Outcome,
    ) -> None:
        """Note that a server did not reply to a command."""


class Prober:
    """Asks servers to open a transaction, which only the primary does.

    That needs no slot, so it is answered at once even under load.
    """

    def __init__(
        self,
        connection_sources: 'services.ConnectionSources',
        observer: Observer,
        clock: clocks.Clock,
    ) -> None:
        """Tell `observer` what the servers of `connection_sources` answer."""
        self._connection_sources = connection_sources
        self._observer = observer
        self._clock = clock

    async def probe(self, server: catalog.Server) -> bool:
        """Return whether a server proves that it leads."""
        begun = self._clock.monotonic()
        way = self._connection_sources.get(server)
        acquired: result.Result[interfaces.ConnectionLease, typing.Any]
        try:
            async with asyncio.timeout(PROBE_TIMEOUT_S):
                acquired = await way.acquire(
                    ranks.Rank.bookings,
                    begun + PROBE_TIMEOUT_S,
                )
        except TimeoutError:
            acquired = result.Err('no connection in time')
        match acquired:
            case result.Ok(lease):
                return await self._ask(lease)
        # A server whose connections are all in use replies to some of them.
        if way.local_pool.replied_at <= begun:
            self._observer.on_unreachable(server)
        return False

    async def probe_detour(self, server: catalog.Server) -> bool:
        """Return whether a server proves through another daemon that it leads.

        A failure says nothing of the server: the daemon may not reach it.
        """
        match await self._connection_sources.acquire_detour(
            server,
            ranks.Rank.bookings,
            self._clock.monotonic() + PROBE_TIMEOUT_S,
        ):
            case result.Ok(lease):
                return await self._ask(lease)
        return False

    async def _ask(self, lease: interfaces.ConnectionLease) -> bool:
        sent_at = self._clock.monotonic()
        opened, ended = lease.send([commands.Begin(), commands.Rollback()])
        try:
            async with asyncio.timeout(PROBE_TIMEOUT_S):
                reply = await opened
                await ended
        except TimeoutError:
            lease.release(usable=False)
            self._observer.on_no_reply(lease, statement_exchange.Late())
            return False
        except asyncio.CancelledError:
            lease.release(usable=False)
            raise
        return self._judge(lease, reply, sent_at)

    def _judge(
        self,
        lease: interfaces.ConnectionLease,
        reply: commands.Reply | commands.Lost,
        sent_at: float,
    ) -> bool:
        lease.release(usable=isinstance(reply, commands.Reply))
        match reply:
            case commands.Reply(error=None):
                self._observer.on_primary_confirmed(
                    lease, sent_at, reply.position
                )
                return True
            case commands.Reply(error=commands.ErrorKind.not_primary):
                self._observer.on_not_primary(lease.server)
            case commands.Lost():
                self._observer.on_no_reply(lease, reply)
        return False
