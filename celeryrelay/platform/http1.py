"""HTTP/1.1 client and server over asyncio streams, with h11 as codec."""

import asyncio
import dataclasses
import functools
import socket
import typing
from collections import abc

import h11
import result

from celeryrelay.adapters import acceptor, connection_guard, socket_options
from celeryrelay.core import addresses

READ_BYTES = 65536
# Longer response bodies are an error. A page of the store has about 1 MB.
MAX_BODY_BYTES = 32 * 1024 * 1024
# Longest time for a request to the server, from the response before it until its
# own response is written.
REQUEST_TIMEOUT_S = 15.0


@dataclasses.dataclass(frozen=True, slots=True)
class Response:
    """A completely received response.

    Attributes:
        status: Status code.
        body: The body.
        headers: Header fields by name in lower case.
    """

    status: int
    body: bytes
    headers: abc.Mapping[bytes, bytes] = dataclasses.field(default_factory=dict)


class RequestError(typing.NamedTuple):
    """A request that failed before its response was complete.

    Attributes:
        message: Cause of the failure.
        sent: Whether the server may have received the request.
    """

    message: str
    sent: bool


class ClientConnection:
    """A keep-alive connection to a server, with one request at a time.

    It connects on the first call and again after a failure.
    """

    def __init__(self, address: str) -> None:
        """Create an unopened connection to `address` (`host:port`)."""
        self._address = address
        self._lock = asyncio.Lock()
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None
        self._codec: h11.Connection | None = None

    async def call(
        self,
        request: h11.Request,
        body: bytes,
        timeout_s: float,
    ) -> result.Result[Response, RequestError]:
        """Send a request and return its response.

        Args:
            request: Method, target and headers.
            body: Body of the request.
            timeout_s: Time limit in seconds for the whole call: waiting for
                the request before it, connecting and receiving the response.
        """
        sent = False
        try:
            async with asyncio.timeout(timeout_s), self._lock:
                await self._connect()
                sent = True
                return result.Ok(await self._exchange(request, body))
        except TimeoutError as error:
            # The kernel reports a dead connection with the same exception
            # class (ETIMEDOUT); only that one has an error text.
            problem = error.strerror or (
                'no response within {0:.1f} s'.format(timeout_s)
            )
        except (OSError, h11.ProtocolError, EOFError) as error:
            problem = '{0}: {1}'.format(type(error).__name__, error)
        except asyncio.CancelledError:
            self.close()
            raise
        self.close()
        return result.Err(RequestError(problem, sent))

    def close(self) -> None:
        """Abort the connection; the next call opens a new one."""
        if self._writer is not None:
            self._writer.transport.abort()
        self._writer = None

    async def _connect(self) -> None:
        if self._writer is not None and not self._writer.is_closing():
            if self._codec is not None and _is_reusable(self._codec):
                return
            self.close()
        reader, writer = await asyncio.open_connection(
            *addresses.parse(self._address),
            family=socket.AF_INET,
        )
        self._reader = reader
        self._writer = writer
        socket_options.set_tcp_options(self._writer.transport)
        self._codec = h11.Connection(h11.CLIENT)

    async def _exchange(self, request: h11.Request, body: bytes) -> Response:
        codec = self._codec
        if codec.their_state is not h11.IDLE:
            codec.start_next_cycle()
        parts = [codec.send(request)]
        if body:
            parts.append(codec.send(h11.Data(data=body)))
        parts.append(codec.send(h11.EndOfMessage()))
        self._writer.write(b''.join(parts))
        status = 0
        headers: dict[bytes, bytes] = {}
        received: list[bytes] = []
        size_bytes = 0
        while True:
            event = await self._next_event()
            match event:
                case h11.Response():
                    status = event.status_code
                    headers = dict(event.headers)
                case h11.Data():
                    received.append(bytes(event.data))
                    size_bytes += len(event.data)
                    if size_bytes > MAX_BODY_BYTES:
                        raise h11.RemoteProtocolError('response body too long')
                case h11.EndOfMessage():
                    return Response(status, b''.join(received), headers)
                case h11.ConnectionClosed():
                    raise EOFError('connection closed by the server')

    async def _next_event(self) -> h11.Event | type[h11.PAUSED]:
        event = self._codec.next_event()
        while event is h11.NEED_DATA:
            self._codec.receive_data(await self._reader.read(READ_BYTES))
            event = self._codec.next_event()
        return event


def _is_reusable(codec: h11.Connection) -> bool:
    idle = codec.our_state is h11.IDLE
    done = codec.our_state is h11.DONE and codec.their_state is h11.DONE
    return idle or done


def make_request(
    address: str,
    method: str,
    target: str,
    body: bytes,
    headers: abc.Sequence[tuple[str, str]] = (),
) -> h11.Request:
    """Return a request with `Host` and the headers for JSON bodies."""
    fields = [('Host', address), ('Accept', 'application/json'), *headers]
    if body or method == 'POST':
        fields.append(('Content-Type', 'application/json'))
        fields.append(('Content-Length', str(len(body))))
    return h11.Request(method=method, target=target, headers=fields)


RequestHandler = abc.Callable[[str], tuple[int, str, bytes]]


class HttpServer:
    """HTTP server for readiness probes and metrics."""

    def __init__(self, handler: RequestHandler) -> None:
        """Answer each request with what `handler` returns.

        Args:
            handler: Returns status, content type and body for a request
                target.
        """
        self._handler = handler

    async def listen(
        self,
        address: str,
        guard: connection_guard.ConnectionGuard,
    ) -> acceptor.Acceptor:
        """Listen for connections on `address` (`host:port`)."""
        serve = functools.partial(self._serve_connection, guard)
        return await acceptor.listen(
            lambda: asyncio.StreamReaderProtocol(asyncio.StreamReader(), serve),
            address,
        )

    async def _serve_connection(
        self,
        guard: connection_guard.ConnectionGuard,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        transport = writer.transport
        if not guard.admit(transport):
            transport.abort()
            return
        try:
            await self._serve_requests(guard, reader, writer)
        except (OSError, h11.ProtocolError):
            # The client sees its connection close and sends the request again.
            transport.abort()
        finally:
            guard.discard(transport)
            writer.close()

    async def _serve_requests(
        self,
        guard: connection_guard.ConnectionGuard,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        codec = h11.Connection(h11.SERVER)
        while await self._serve_next(codec, reader, writer):
            guard.touch(writer.transport)
            codec.start_next_cycle()

    async def _serve_next(
        self,
        codec: h11.Connection,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        """Serve a request in time; return whether another one may follow."""
        async with asyncio.timeout(REQUEST_TIMEOUT_S):
            is_open = await self._serve_request(codec, reader, writer)
            await writer.drain()
        # Pipelined requests let other tasks run in between.
        await asyncio.sleep(0)
        return is_open

    async def _serve_request(
        self,
        codec: h11.Connection,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        target = ''
        has_body = True
        event = codec.next_event()
        while not isinstance(event, h11.EndOfMessage):
            match event:
                case h11.Request():
                    target = event.target.decode('ascii')
                    has_body = event.method != b'HEAD'
                case h11.ConnectionClosed():
                    return False
            if event is h11.NEED_DATA:
                codec.receive_data(await reader.read(READ_BYTES))
            event = codec.next_event()
        status, content_type, body = self._handler(target)
        headers = [
            ('Content-Type', content_type),
            ('Content-Length', str(len(body))),
        ]
        head = codec.send(h11.Response(status_code=status, headers=headers))
        tail = codec.send(h11.Data(data=body)) if body and has_body else b''
        writer.write(head + tail + codec.send(h11.EndOfMessage()))
        return codec.our_state is h11.DONE
