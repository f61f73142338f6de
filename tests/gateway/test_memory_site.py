"""Guards against connections that use up the memory of a daemon."""

import asyncio
import pathlib

import pytest

# Memory limit of the platform for a small daemon.
LIMIT_MB = 200
CONNECTIONS = 200
MEGABYTE = b'x' * 1_000_000


def resident_mb(process):
    text = pathlib.Path('/proc', str(process.pid), 'status').read_text()
    line = next(one for one in text.splitlines() if one.startswith('VmHWM'))
    return int(line.split()[1]) / 1024


async def send_without_reading(port, content):
    reader, writer = await asyncio.open_connection('127.0.0.1', port)
    writer.transport.pause_reading()
    writer.write(content)
    return writer


@pytest.mark.parametrize(
    ('name', 'content'),
    [
        ('port', b'QUERY q READ ' + MEGABYTE),
        ('port', b'START bookings u\r\n' + b'QUERY q WRITE i x\r\n' * 60_000),
        ('port', b'START bookings u\r\nQUERY q WRITE i %b\r\n' % MEGABYTE),
        ('link_port', b'\x00\x1f\xff\xf0' + MEGABYTE),
    ],
    ids=['unfinished line', 'many statements', 'large statements', 'frame'],
)
async def test_input_stays_within_the_memory_limit(
    start_site, connect, name, content
):
    """Guards against an end by the platform for want of memory."""
    site = await start_site(daemons=1)
    (daemon,) = site.daemons
    port = getattr(daemon, name)
    writers = [
        await send_without_reading(port, content) for _ in range(CONNECTIONS)
    ]
    await asyncio.sleep(3)
    peak_mb = resident_mb(daemon.process)
    for writer in writers:
        writer.transport.abort()
    assert peak_mb < LIMIT_MB
    async with asyncio.timeout(10):
        while await daemon.probe() != 200:
            await asyncio.sleep(0.1)
        client = await connect(daemon, 'bookings')
        assert (await client.query('WRITE i1 v1')).ok
