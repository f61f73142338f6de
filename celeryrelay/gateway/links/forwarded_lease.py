"""Lease of a connection that belongs to another daemon."""

import asyncio
import typing
from collections import abc

import result

from celeryrelay.core import outcomes
from celeryrelay.gateway import catalog, commands
from celeryrelay.gateway.connections import connection_state
from celeryrelay.gateway.links import link_messages


class LeaseChannel(typing.Protocol):
    """Sends the messages of a lease to the daemon that granted it."""

    def send(self, message: link_messages.Message) -> None:
        """Send a message; without an open link it is discarded."""

    def release(self, lease_id: int, usable: bool) -> None:
        """Give a lease back."""


class ForwardedLease:
    """The right to use a connection of another daemon until `release`.

    Attributes:
        busy_ms: Time for which its commands kept the server busy.
        is_fallback: Whether it was requested because this daemon can't reach
            the server itself.
        granted: The holder's decision about the request.
        confirmed: Done once the holder has received the request.
        lease_id: Number of the lease on the link.
    """

    def __init__(
        self,
        channel: LeaseChannel,
        lease_id: int,
        server: catalog.Server,
    ) -> None:
        """Create a lease that the holder has not granted yet."""
        loop = asyncio.get_running_loop()
        self.busy_ms: float = 0
        self.is_fallback = False
        self.granted: asyncio.Future[result.Result[None, outcomes.NotRun]]
        self.granted = loop.create_future()
        self.confirmed = loop.create_future()
        self._channel = channel
        self.lease_id = lease_id
        self._server = server
        self._calls: dict[int, asyncio.Future] = {}
        self._next_call = 0
        self._lost: commands.Lost | None = None

    @property
    def server(self) -> catalog.Server:
        """The backend server."""
        return self._server

    @property
    def is_waiting(self) -> bool:
        """Whether the holder has yet to answer the request or a command."""
        return bool(self._calls) or not self.granted.done()

    def send(
        self,
        batch: abc.Sequence[commands.Command],
        needs: connection_state.RequiredSessionState | None = None,
    ) -> list[asyncio.Future]:
        """Send commands in one message; return a future for each reply."""
        loop = asyncio.get_running_loop()
        futures = [loop.create_future() for _ in batch]
        if self._lost is not None:
            for future in futures:
                future.set_result(self._lost)
            return futures
        first = self._next_call
        self._next_call += len(futures)
        self._calls.update(enumerate(futures, first))
        self._channel.send(
            link_messages.Execute(self.lease_id, first, tuple(batch), needs),
        )
        return futures

    def release(self, usable: bool = True) -> None:
        """Give the connection back; the holder closes an unusable one."""
        self._channel.release(self.lease_id, usable)

    def on_reply(self, call: int, reply: commands.Reply) -> None:
        """Resolve the future of a command with its reply."""
        self._resolve(self._calls.pop(call, None), reply)

    def on_lost(self, lost: commands.Lost) -> None:
        """Answer all waiting and later commands with `lost`."""
        self._lost = lost
        while self._calls:
            _, future = self._calls.popitem()
            self._resolve(future, lost)

    def on_confirmed(self) -> None:
        """Record that the holder has received the request."""
        self._resolve(self.confirmed, None)

    def on_decision(
        self,
        decision: result.Result[None, outcomes.NotRun],
    ) -> None:
        """Record whether the holder granted the request."""
        self.on_confirmed()
        self._resolve(self.granted, decision)

    def _resolve(
        self,
        future: asyncio.Future | None,
        answer: typing.Any,
    ) -> None:
        if future is not None and not future.done():
            future.set_result(answer)
