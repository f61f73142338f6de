"""Single commands of the daemon's own to a backend server."""

import asyncio
import typing
from collections import abc

import result

from celeryrelay.core import clock as clocks
from celeryrelay.core import ranks
from celeryrelay.gateway import catalog, commands, interfaces

if typing.TYPE_CHECKING:
    from celeryrelay.gateway import services

# Only a primary opens a write transaction, and it needs no slot for that.
TRY_BEGIN = (commands.Begin(), commands.Rollback())
ASK_STATUS = commands.AskStatus()


class ServerCaller:
    """Sends commands on connections that the callers' statements share."""

    def __init__(
        self,
        connection_sources: 'services.ConnectionSources',
        connector: interfaces.Connector,
        clock: clocks.Clock,
    ) -> None:
        """Lease connections from `connection_sources`."""
        self._connection_sources = connection_sources
        self._connector = connector
        self._clock = clock

    async def send(
        self,
        server: catalog.Server,
        command: commands.Command,
        timeout_s: float,
    ) -> commands.Reply | commands.Lost:
        """Send a command and return the reply.

        Args:
            server: The backend server.
            command: Command that leaves no transaction open.
            timeout_s: Time limit for a connection, and again for the reply.
        """
        return await self._send(server, [command], timeout_s)

    async def try_begin(
        self,
        server: catalog.Server,
        timeout_s: float,
    ) -> commands.Reply | commands.Lost:
        """Return the reply to a write transaction that is ended at once."""
        holder = self._connection_sources.get(server).holder_to_ask()
        if holder is not None:
            return await holder.try_begin(server.server_id, timeout_s)
        return await self._send(server, TRY_BEGIN, timeout_s)

    async def status(
        self,
        server: catalog.Server,
        timeout_s: float,
        command: commands.Command = ASK_STATUS,
    ) -> commands.Status | None:
        """Return the status of a server, None without a valid reply.

        Args:
            server: The backend server.
            timeout_s: Time limit for a connection, and again for the reply.
            command: Command to which the server replies with its status.
        """
        match await self.send(server, command, timeout_s):
            case commands.Reply(error=None) as reply:
                return self._connector.status(reply)
        return None

    async def _send(
        self,
        server: catalog.Server,
        batch: abc.Sequence[commands.Command],
        timeout_s: float,
    ) -> commands.Reply | commands.Lost:
        source = self._connection_sources.get(server)
        deadline = self._clock.monotonic() + timeout_s
        try:
            async with asyncio.timeout(timeout_s):
                acquired = await source.acquire(ranks.Rank.bookings, deadline)
        except TimeoutError:
            return commands.Lost('no connection within the time-out')
        match acquired:
            case result.Err(refusal):
                return commands.Lost(refusal.message)
        return await run_on(acquired.ok_value, batch, timeout_s)


async def run_on(
    lease: interfaces.ConnectionLease,
    batch: abc.Sequence[commands.Command],
    timeout_s: float,
) -> commands.Reply | commands.Lost:
    """Run commands on a lease, release it and return the first reply."""
    futures = lease.send(batch)
    try:
        async with asyncio.timeout(timeout_s):
            replies = await asyncio.gather(*futures)
    except TimeoutError:
        lease.release(usable=False)
        return commands.Lost('no reply within the time-out')
    except asyncio.CancelledError:
        lease.release(usable=False)
        raise
    lease.release(usable=isinstance(replies[-1], commands.Reply))
    return replies[0]
