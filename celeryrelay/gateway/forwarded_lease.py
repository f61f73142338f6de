"""Lease of a connection that another daemon holds."""

import asyncio
import typing
from collections import abc

import result

from celeryrelay.core import outcomes
from celeryrelay.gateway import (
    catalog,
    commands,
    connection_state,
    link_messages,
)


class LeaseOwner(typing.Protocol):
    """Passes the messages of a lease to the daemon that granted it."""

    def send(self, message: link_messages.Message) -> None:
        """Send a message; one on an ended link is dropped."""

    def release(self, lease_id: int, usable: bool) -> None:
        """Give a lease back."""


class ForwardedLease:
    """The right to use a connection of a holder until `release`."""

    def __init__(
        self,
        peer: LeaseOwner,
        lease_id: int,
        server: catalog.Server,
    ) -> None:
        """Wait for the holder's answer."""
        loop = asyncio.get_running_loop()
        self.busy_ms: float = 0
        self.is_fallback = False
        self.granted: asyncio.Future[result.Result[None, outcomes.NotRun]]
        self.granted = loop.create_future()
        self.confirmed = loop.create_future()
        self._peer = peer
        self.lease_id = lease_id
        self._server = server
        self._calls: dict[int, asyncio.Future] = {}
        self._next_call = 0
        self._ended_for: commands.Lost | None = None

    @property
    def server(self) -> catalog.Server:
        """Server of the connection."""
        return self._server

    @property
    def is_waiting(self) -> bool:
        """Whether the holder owes an answer."""
        return bool(self._calls) or not self.granted.done()

    def send(
        self,
        batch: abc.Sequence[commands.Command],
        needs: connection_state.RequiredSessionState | None = None,
    ) -> list[asyncio.Future]:
        """Send commands in one message; return a future for each reply."""
        loop = asyncio.get_running_loop()
        futures = [loop.create_future() for _ in batch]
        if self._ended_for is not None:
            for future in futures:
                future.set_result(self._ended_for)
            return futures
        first = self._next_call
        self._next_call += len(futures)
        self._calls.update(enumerate(futures, first))
        self._peer.send(
            link_messages.Execute(self.lease_id, first, tuple(batch), needs),
        )
        return futures

    def release(self, usable: bool = True) -> None:
        """Give the connection back; the holder closes an unusable one."""
        self._peer.release(self.lease_id, usable)

    def on_reply(self, call: int, reply: commands.Reply) -> None:
        """Take the reply to a command."""
        self._settle(self._calls.pop(call, None), reply)

    def on_lost(self, lost: commands.Lost) -> None:
        """Note that the connection can't be used any longer."""
        self._ended_for = lost
        while self._calls:
            _, future = self._calls.popitem()
            self._settle(future, lost)

    def on_confirmed(self) -> None:
        """Note that the holder has received the request."""
        self._settle(self.confirmed, None)

    def on_decided(
        self,
        decision: result.Result[None, outcomes.NotRun],
    ) -> None:
        """Take the holder's answer to the request."""
        self.on_confirmed()
        self._settle(self.granted, decision)

    def _settle(
        self,
        future: asyncio.Future | None,
        answer: typing.Any,
    ) -> None:
        if future is not None and not future.done():
            future.set_result(answer)
