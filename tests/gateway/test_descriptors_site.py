"""Guards against callers that use up the file descriptors of a daemon."""

import asyncio
import resource
import time

import pytest

from standins.linedb import client as clients

DESCRIPTORS = 160
CONNECTIONS = 300
MAX_LOG_LINES = 300


@pytest.fixture
async def site(start_site):
    started = await start_site(daemons=0)
    started.add_daemon(0, started.store_service.address)
    (daemon,) = started.daemons
    daemon.limits = {resource.RLIMIT_NOFILE: DESCRIPTORS}
    await daemon.start()
    return started


@pytest.fixture
async def connect_silently():
    opened = []

    async def start(port):
        for _ in range(CONNECTIONS):
            opened.append(await asyncio.open_connection('127.0.0.1', port))

    yield start
    for _, writer in opened:
        writer.close()


@pytest.mark.parametrize(
    'name', ['port', 'link_port', 'probe_port', 'metrics_port']
)
async def test_silent_connections_leave_descriptors_for_sessions(
    site, connect, connect_silently, name
):
    """Guards against a daemon without descriptors for its own connections."""
    (daemon,) = site.daemons
    earlier = await connect(daemon, 'bookings')
    await connect_silently(getattr(daemon, name))
    await asyncio.sleep(1)
    assert (await earlier.query('WRITE i1 v1')).ok
    later = await connect(daemon, 'views')
    assert (await later.query('READ i1')).ok
    assert await daemon.probe() == 200
    lines = daemon.log_path.read_text().splitlines()
    assert len(lines) < MAX_LOG_LINES


async def test_sessions_beyond_the_descriptors_are_refused_at_once(site):
    """Guards against callers that wait for a session that can't be opened."""
    (daemon,) = site.daemons
    opened = [clients.Client(daemon.port) for _ in range(CONNECTIONS)]
    async with asyncio.timeout(2):
        answers = await asyncio.gather(
            *(one.open_session('bookings') for one in opened)
        )
    codes = [answer.code for answer in answers]
    assert set(codes) == {'', 'BUSY'}
    served = opened[codes.index('')]
    assert (await served.query('WRITE i1 v1')).ok
    assert await daemon.probe() == 200
    _, page = await daemon.get(daemon.metrics_port, '/metrics')
    assert 'kind="callers_refused"' in page
    for one in opened:
        one.close()


async def test_accept_without_a_descriptor_pauses(site, connect):
    """Guards against an accept loop that holds the event loop."""
    (daemon,) = site.daemons
    pid = daemon.process.pid
    lines = len(daemon.log_path.read_text().splitlines())
    # The standard streams: also what the daemon closes meanwhile is not free.
    set_soft_limit(pid, 3)
    waiting = clients.Client(daemon.port)
    opening = asyncio.create_task(waiting.open_session('bookings'))
    began = time.monotonic()
    await asyncio.sleep(1.2)
    assert not opening.done()
    logged = daemon.log_path.read_text().splitlines()[lines:]
    elapsed_s = time.monotonic() - began
    set_soft_limit(pid, DESCRIPTORS)
    assert (await opening).ok
    waiting.close()
    failed = [line for line in logged if 'connection not accepted' in line]
    assert 1 <= len(failed) <= elapsed_s + 1
    assert 'Traceback' not in ''.join(logged)


def set_soft_limit(pid, limit):
    resource.prlimit(pid, resource.RLIMIT_NOFILE, (limit, DESCRIPTORS))


async def test_caller_that_speaks_late_is_told_that_it_lost_its_place(site):
    """Guards against a caller that is closed without a reason."""
    (daemon,) = site.daemons
    reader, _ = await asyncio.open_connection('127.0.0.1', daemon.port)
    await asyncio.sleep(0.7)
    opened = [clients.Client(daemon.port) for _ in range(CONNECTIONS)]
    await asyncio.gather(*(one.open_session('bookings') for one in opened))
    async with asyncio.timeout(2):
        assert (await reader.readline()).startswith(b'ERR BUSY ')
    for one in opened:
        one.close()
