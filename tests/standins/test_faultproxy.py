import asyncio
import time

import aiohttp
import pytest

from standins.deployment import http_clients

NO_ECHO_TIMEOUT_S = 0.2


@pytest.fixture
async def echo_port():
    async def echo(reader, writer):
        while received := await reader.read(100):
            writer.write(received)
        writer.close()

    server = await asyncio.start_server(echo, '127.0.0.1', 0)
    yield server.sockets[0].getsockname()[1]
    server.close()


@pytest.fixture
async def link(programs, echo_port):
    program = await programs.start(
        'faultproxy',
        'standins.faultproxy.command',
        f'--link=echo=127.0.0.1:{echo_port}',
    )
    async with aiohttp.ClientSession(raise_for_status=True) as session:
        proxy = http_clients.FaultProxyClient(
            session, program.listening['admin']
        )
        yield Link(proxy, program.listening['links']['echo'])


class Link:
    def __init__(self, proxy, port):
        self.proxy = proxy
        self.port = port

    async def set(self, **faults):
        await self.proxy.set_faults('echo', **faults)

    async def connect(self):
        return await asyncio.open_connection('127.0.0.1', self.port)


async def echoes(streams, timeout_s=5):
    reader, writer = streams
    writer.write(b'x')
    try:
        async with asyncio.timeout(timeout_s):
            return await reader.readexactly(1) == b'x'
    except TimeoutError:
        return False


@pytest.mark.parametrize('direction', ['cut_to_target', 'cut_to_client'])
async def test_cut_drops_silently(link, direction):
    """Guards against dropped bytes that the endpoints notice at once."""
    streams = await link.connect()
    assert await echoes(streams)
    await link.set(**{direction: True})
    assert not await echoes(streams, NO_ECHO_TIMEOUT_S)
    assert not await echoes(await link.connect(), NO_ECHO_TIMEOUT_S)
    await link.set(**{direction: False})
    assert not await echoes(streams, NO_ECHO_TIMEOUT_S)
    assert await echoes(await link.connect())


async def test_silent_affects_open_connections_only(link):
    """Guards against a fault that health checks on new connections see."""
    old = await link.connect()
    assert await echoes(old)
    await link.set(silent=True)
    assert not await echoes(old, NO_ECHO_TIMEOUT_S)
    assert await echoes(await link.connect())


async def test_delay_and_freeze_keep_the_bytes(link):
    """Guards against a delay or freeze that loses bytes."""
    streams = await link.connect()
    await link.set(delay_ms=100)
    started_at = time.monotonic()
    assert await echoes(streams)
    assert time.monotonic() - started_at >= 0.2
    await link.set(delay_ms=0, freeze=True)
    assert not await echoes(streams, NO_ECHO_TIMEOUT_S)
    await link.set(freeze=False)
    assert await streams[0].readexactly(1) == b'x'


async def test_refuse_keeps_open_connections(link):
    """Guards against refused open connections and a new port afterwards."""
    streams = await link.connect()
    assert await echoes(streams)
    await link.set(refuse=True)
    with pytest.raises(ConnectionRefusedError):
        await link.connect()
    assert await echoes(streams)
    await link.set(refuse=False)
    assert await echoes(await link.connect())
