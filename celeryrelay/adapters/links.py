"""Links, the TCP connections between daemons."""

import asyncio
import dataclasses
import functools
import socket
from collections import abc

import result

from celeryrelay.adapters import (
    acceptor,
    connection_guard,
    link_codec,
    socket_options,
)
from celeryrelay.core import addresses
from celeryrelay.gateway import interfaces
from celeryrelay.gateway.links import link_messages

HandlerFactory = abc.Callable[[interfaces.Link], interfaces.LinkHandler]


class LinkConnection(asyncio.Protocol):
    """One end of a link, which passes received messages to a handler."""

    def __init__(self, make_handler: HandlerFactory) -> None:
        """Create an unconnected protocol.

        Args:
            make_handler: Returns the handler once the link is connected.
        """
        self._make_handler = make_handler
        self._handler: interfaces.LinkHandler | None = None
        self._splitter = link_codec.FrameSplitter()
        self._transport: asyncio.Transport | None = None
        self._close_reason = ''

    @property
    def closed(self) -> bool:
        """Whether the link has ended."""
        return bool(self._close_reason)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport, set its TCP options and create the handler."""
        self._transport = transport
        socket_options.set_tcp_options(transport)
        self._handler = self._make_handler(self)

    def data_received(self, received: bytes) -> None:
        """Handle the messages that have been received in full."""
        match self._splitter.feed(received):
            case result.Ok(bodies):
                for body in bodies:
                    self._handle_frame(body)
            case result.Err(problem):
                self.close(problem)

    def connection_lost(self, error: Exception | None) -> None:
        """Notify the handler that the link has closed."""
        # The link and its handler refer to each other, so a garbage collection
        # frees them, and that may be much later.
        self._splitter = link_codec.FrameSplitter()
        self._mark_closed(
            str(error) if error else 'link closed by the other daemon'
        )

    def send(self, message: link_messages.Message) -> None:
        """Send a message; it is dropped if the link has ended."""
        if self._transport is not None and not self.closed:
            self._transport.write(link_codec.encode(message))

    def close(self, problem: str) -> None:
        """Abort the link without sending buffered messages."""
        if self._transport is not None:
            self._transport.abort()
        self._mark_closed(problem)

    def _handle_frame(self, body: bytes) -> None:
        if self.closed:
            return
        match link_codec.decode(body):
            case result.Ok(message):
                self._handler.on_message(message)
            case result.Err(problem):
                self.close(problem)

    def _mark_closed(self, problem: str) -> None:
        if self.closed:
            return
        self._close_reason = problem or 'closed'
        if self._handler is not None:
            self._handler.on_closed(self._close_reason)


class _AcceptedLink(LinkConnection):
    """A link that another daemon opened."""

    def __init__(
        self,
        make_handler: HandlerFactory,
        guard: connection_guard.ConnectionGuard,
    ) -> None:
        super().__init__(make_handler)
        self._guard = guard

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        if self._guard.admit(transport):
            super().connection_made(transport)
        else:
            transport.abort()

    def connection_lost(self, error: Exception | None) -> None:
        if self._transport is not None:
            self._guard.discard(self._transport)
        super().connection_lost(error)

    def data_received(self, received: bytes) -> None:
        super().data_received(received)
        if not self.closed:
            held = self._transport.get_write_buffer_size()
            self._guard.hold(self._transport, held + len(self._splitter))

    def _handle_frame(self, body: bytes) -> None:
        super()._handle_frame(body)
        if not self.closed:
            self._guard.keep(self._transport)


@dataclasses.dataclass(frozen=True, slots=True)
class _FixedHandlerFactory:
    """Factory that returns the handler with which it was created."""

    handler: interfaces.LinkHandler

    def __call__(self, link: interfaces.Link) -> interfaces.LinkHandler:
        return self.handler


class LinkConnector:
    """Opens links to other daemons."""

    async def open(
        self,
        address: str,
        handler: interfaces.LinkHandler,
        timeout_s: float,
    ) -> result.Result[LinkConnection, str]:
        """Connect to the daemon at `address` (`host:port`)."""
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(timeout_s):
                _, link = await loop.create_connection(
                    functools.partial(
                        LinkConnection, _FixedHandlerFactory(handler)
                    ),
                    *addresses.parse(address),
                    family=socket.AF_INET,
                )
        except (OSError, ValueError) as error:
            return result.Err('{0}: {1}'.format(type(error).__name__, error))
        return result.Ok(link)


async def listen(
    make_handler: HandlerFactory,
    address: str,
    guard: connection_guard.ConnectionGuard,
) -> acceptor.Acceptor:
    """Listen for links on `address` (`host:port`)."""
    return await acceptor.listen(
        functools.partial(_AcceptedLink, make_handler, guard), address
    )
