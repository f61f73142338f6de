"""Generated requests to the HTTP server and responses to the client."""

import asyncio
import contextlib

import hypothesis
import pytest
from hypothesis import strategies

from celeryrelay.adapters import connection_guard
from celeryrelay.admission import input_memory
from celeryrelay.platform import http1

SETTINGS = hypothesis.settings(derandomize=True, max_examples=60, deadline=None)
PARTS = strategies.sampled_from(
    [
        *(b'GET /a HTTP/1.1\r\n', b'HEAD /a HTTP/1.1\r\n', b'PRI * HTTP/2.0'),
        *(b'CONNECT a:1 HTTP/1.1\r\n', b'POST /\xff HTTP/1.0\r\n', b'\x16\x03'),
        *(b'HTTP/1.1 200 OK\r\n', b'HTTP/1.1 100 Continue\r\n\r\n'),
        *(b'HTTP/1.1 101 Switching\r\n\r\n', b'HTTP/1.1 204 x\r\n\r\n'),
        *(b'HTTP/1.1 999 x\r\n', b'HTTP/1.1 302 x\r\nLocation: /b\r\n'),
        *(b'Host: a\r\n', b'Connection: Upgrade\r\nUpgrade: x\r\n'),
        *(b'Content-Length: 3\r\n', b'Content-Length: -1\r\n'),
        *(b'Content-Length: 99999999999999999999\r\n', b'abc', b'0\r\n\r\n'),
        *(b'Transfer-Encoding: chunked\r\n', b'3\r\nabc\r\n', b'fffffff\r\n'),
        *(b'Expect: 100-continue\r\n', b'Connection: close\r\n', b'\r\n', b''),
    ]
)
STREAMS = strategies.lists(PARTS | strategies.binary(max_size=9), max_size=9)


@contextlib.contextmanager
def no_unhandled_errors():
    errors = []
    loop = asyncio.get_running_loop()
    loop.set_exception_handler(lambda _, context: errors.append(context))
    yield
    assert not errors


class Server:
    """A real HTTP server on a free port."""

    def __init__(self, handler=lambda target: (200, 'text/plain', b'ok')):
        self._server = http1.HttpServer(handler)

    async def __aenter__(self):
        guard = connection_guard.ConnectionGuard(
            'probes', 100, input_memory.InputMemory(1 << 24), print
        )
        self._listener = await self._server.listen('127.0.0.1:0', guard)
        host, port = self._listener.sockets[0].getsockname()
        self.address = f'{host}:{port}'
        return self

    async def __aexit__(self, *_):
        self._listener.close()

    async def connect(self):
        return await asyncio.open_connection(*self.address.split(':'))

    async def get(self):
        request = http1.make_request(self.address, 'GET', '/x', b'')
        connection = http1.ClientConnection(self.address)
        response = await connection.call(request, b'', 2)
        connection.close()
        return response


async def play_to_server(parts):
    with no_unhandled_errors():
        async with Server() as server:
            reader, writer = await server.connect()
            for part in parts:
                writer.write(part)
                await asyncio.sleep(0)
            with contextlib.suppress(OSError):
                writer.write_eof()
                async with asyncio.timeout(5):
                    await reader.read()
            writer.close()
            assert (await server.get()).ok_value.body == b'ok'


@SETTINGS
@hypothesis.given(STREAMS)
def test_any_request_is_answered_or_its_connection_closed(parts):
    asyncio.run(play_to_server(parts))


async def play_to_client(parts):
    async def respond(reader, writer):
        try:
            await reader.readuntil(b'\r\n\r\n')
            for part in parts:
                writer.write(part)
                await asyncio.sleep(0)
        finally:
            writer.close()

    with no_unhandled_errors():
        listener = await asyncio.start_server(respond, '127.0.0.1', 0)
        host, port = listener.sockets[0].getsockname()
        connection = http1.ClientConnection(f'{host}:{port}')
        request = http1.make_request('a', 'GET', '/x', b'')
        async with asyncio.timeout(3):
            for _ in range(2):
                response = await connection.call(request, b'', 1)
                assert response.is_err() or response.ok_value.status
        connection.close()
        listener.close()


@SETTINGS
@hypothesis.given(STREAMS)
def test_any_response_is_returned_or_an_error(parts):
    asyncio.run(play_to_client([b'HTTP/1.1 200 OK\r\n', *parts]))
    asyncio.run(play_to_client(parts))


async def test_response_without_end_is_an_error(monkeypatch):
    """Guards against a body that uses up the daemon's memory."""
    monkeypatch.setattr(http1, 'MAX_BODY_BYTES', 2**20)
    sent = 0

    async def respond(reader, writer):
        nonlocal sent
        try:
            writer.write(b'HTTP/1.1 200 OK\r\n\r\n')
            while sent < 2**25:
                writer.write(b'x' * 65536)
                sent += 65536
                await writer.drain()
        finally:
            writer.close()

    listener = await asyncio.start_server(respond, '127.0.0.1', 0)
    host, port = listener.sockets[0].getsockname()
    request = http1.make_request('a', 'GET', '/x', b'')
    connection = http1.ClientConnection(f'{host}:{port}')
    assert (await connection.call(request, b'', 5)).is_err()
    assert sent < 2**25
    listener.close()


async def test_pipelined_requests_do_not_hold_up_other_work():
    """Guards against a client whose requests block the event loop."""
    handled = 0
    handled_between = []

    def handle(target):
        nonlocal handled
        handled += 1
        return 200, 'text/plain', b'ok'

    async def work():
        while True:
            before = handled
            await asyncio.sleep(0)
            handled_between.append(handled - before)

    async with Server(handle) as server:
        working = asyncio.create_task(work())
        reader, writer = await server.connect()
        writer.write(b'GET /x HTTP/1.1\r\nHost: a\r\n\r\n' * 500)
        writer.write_eof()
        await reader.read()
        writer.close()
        working.cancel()
    assert handled == 500
    assert max(handled_between) <= 2


async def test_client_that_reads_no_answers_gets_no_more():
    """Guards against answers that use up the daemon's memory."""
    handled = 0

    def handle(target):
        nonlocal handled
        handled += 1
        return 200, 'text/plain', b'x' * 100_000

    async with Server(handle) as server:
        _, writer = await server.connect()
        writer.write(b'GET /x HTTP/1.1\r\nHost: a\r\n\r\n' * 1000)
        await asyncio.sleep(0.5)
        assert handled < 500
        writer.transport.abort()
        await asyncio.sleep(0.01)


@pytest.mark.parametrize(
    'sent',
    [
        b'',
        b'GET / HT',
        b'POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\nabc',
    ],
)
async def test_client_that_sends_no_whole_request_is_closed(sent, monkeypatch):
    """Guards against connections that are kept until no descriptor is left."""
    monkeypatch.setattr(http1, 'REQUEST_TIMEOUT_S', 0.1, raising=False)
    async with Server() as server:
        reader, writer = await server.connect()
        writer.write(sent)
        async with asyncio.timeout(2):
            with contextlib.suppress(ConnectionError):
                await reader.read()
        writer.close()


async def test_head_request_gets_a_response():
    async with Server() as server:
        reader, writer = await server.connect()
        writer.write(
            b'HEAD /x HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n'
        )
        writer.write_eof()
        head, _, body = (await reader.read()).partition(b'\r\n\r\n')
        writer.close()
    assert head.startswith(b'HTTP/1.1 200')
    assert not body
