"""Connections between daemons over TCP."""

import asyncio
import dataclasses
import functools
import socket
from collections import abc

import result

from celeryrelay.adapters import link_codec, sockets
from celeryrelay.gateway import interfaces, link_messages

HandlerFactory = abc.Callable[[interfaces.Link], interfaces.LinkHandler]


class LinkConnection(asyncio.Protocol):
    """One end of a link."""

    def __init__(self, make_handler: HandlerFactory) -> None:
        """Pass messages to the handler that `make_handler` returns."""
        self._make_handler = make_handler
        self._handler: interfaces.LinkHandler | None = None
        self._splitter = link_codec.FrameSplitter()
        self._transport: asyncio.Transport | None = None
        self._closed_for = ''

    @property
    def closed(self) -> bool:
        """Whether the link has ended."""
        return bool(self._closed_for)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        self._transport = transport
        sockets.detect_silence(transport)
        self._handler = self._make_handler(self)

    def data_received(self, received: bytes) -> None:
        """Handle the messages that have come."""
        match self._splitter.feed(received):
            case result.Ok(bodies):
                for body in bodies:
                    self._on_body(body)
            case result.Err(problem):
                self.close(problem)

    def connection_lost(self, error: Exception | None) -> None:
        """Tell the handler."""
        self._end(str(error) if error else 'closed by the other side')

    def send(self, message: link_messages.Message) -> None:
        """Send a message; one on an ended link is dropped."""
        if self._transport is not None and not self.closed:
            self._transport.write(link_codec.encode(message))

    def close(self, problem: str) -> None:
        """End the link at once."""
        if self._transport is not None:
            self._transport.abort()
        self._end(problem)

    def _on_body(self, body: bytes) -> None:
        if self.closed:
            return
        match link_codec.decode(body):
            case result.Ok(message):
                self._handler.on_message(message)
            case result.Err(problem):
                self.close(problem)

    def _end(self, problem: str) -> None:
        if self.closed:
            return
        self._closed_for = problem or 'closed'
        if self._handler is not None:
            self._handler.on_closed(self._closed_for)


@dataclasses.dataclass(frozen=True, slots=True)
class _Given:
    """Factory that returns a handler that exists."""

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
        """Connect to the daemon at `address`, `host:port`."""
        host, _, port = address.rpartition(':')
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(timeout_s):
                _, link = await loop.create_connection(
                    functools.partial(LinkConnection, _Given(handler)),
                    host,
                    int(port),
                    family=socket.AF_INET,
                )
        except (OSError, ValueError) as error:
            return result.Err('{0}: {1}'.format(type(error).__name__, error))
        return result.Ok(link)


async def listen(
    make_handler: HandlerFactory,
    address: str,
) -> asyncio.Server:
    """Accept links at `address`, `host:port`."""
    host, _, port = address.rpartition(':')
    loop = asyncio.get_running_loop()
    return await loop.create_server(
        functools.partial(LinkConnection, make_handler),
        host,
        int(port),
        backlog=1024,
        reuse_address=True,
    )
