"""Guards against daemons that end, or don't start, without need."""

import asyncio
import contextlib
import os
import pathlib
import signal
import socket

import pytest

POLL_S = 0.005
START_TIMEOUT_S = 15
GRACE_S = 6
# Longer than daemons once waited, within the time that a start may take.
LONG_HOLD_S = 10.5


STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)


@pytest.fixture
async def site(start_site):
    """A site without daemons and the settings of one."""
    started = await start_site(daemons=0)
    started.add_daemon(0, started.store_service.address)
    return started


def ignores_hangup(process):
    """Return whether a process ignores SIGHUP; its end counts as no."""
    path = pathlib.Path('/proc', str(process.pid), 'status')
    try:
        lines = path.read_text().splitlines()
    except OSError:
        return False
    masks = [line.split()[1] for line in lines if line.startswith('SigIgn')]
    bit = 1 << (signal.SIGHUP - 1)
    return bool(masks) and bool(int(masks[0], 16) & bit)


async def test_hangup_during_the_start_does_not_end_the_daemon(site):
    """Guards against the default action of SIGHUP, which ends a process."""
    (daemon,) = site.daemons
    starting = asyncio.create_task(daemon.start())
    sent = 0
    async with asyncio.timeout(START_TIMEOUT_S):
        while not starting.done():
            if daemon.process and ignores_hangup(daemon.process):
                daemon.send_signal(signal.SIGHUP)
                sent += 1
            await asyncio.sleep(POLL_S)
    await starting
    assert sent > 0
    daemon.send_signal(signal.SIGHUP)
    await asyncio.sleep(0.2)
    assert await daemon.probe() == 200


@pytest.mark.parametrize('lines', [0, 4])
async def test_daemon_reads_a_settings_file_that_is_being_replaced(site, lines):
    """Guards against an end because the file is incomplete for a moment."""
    (daemon,) = site.daemons
    complete = daemon.settings_path.read_text()
    partial = ''.join(complete.splitlines(keepends=True)[:lines])
    daemon.settings_path.write_text(partial)
    starting = asyncio.create_task(daemon.start())
    # The program has begun once it ignores the signal.
    async with asyncio.timeout(START_TIMEOUT_S):
        while not (daemon.process and ignores_hangup(daemon.process)):
            await asyncio.sleep(POLL_S)
    await asyncio.sleep(0.5)
    daemon.settings_path.write_text(complete)
    await starting


@contextlib.contextmanager
def occupied(port):
    with socket.socket() as holder:
        holder.bind(('127.0.0.1', port))
        yield holder


@pytest.mark.parametrize('name', ['port', 'probe_port'])
async def test_daemon_waits_for_a_port_that_is_in_use(site, name):
    """Guards against an end because of a port that is free a moment later."""
    (daemon,) = site.daemons
    with occupied(getattr(daemon, name)) as holder:
        asyncio.get_running_loop().call_later(2, holder.close)
        await daemon.start()
    assert await daemon.probe() == 200


@pytest.mark.parametrize('name', ['link_port', 'metrics_port'])
async def test_daemon_serves_without_its_link_or_metrics_port(
    site, connect, name
):
    """Guards against a daemon that doesn't start for want of a minor port."""
    (daemon,) = site.daemons
    port = getattr(daemon, name)
    with occupied(port):
        await daemon.start()
        client = await connect(daemon, 'bookings')
        assert (await client.query('WRITE i1 v1')).ok
    async with asyncio.timeout(START_TIMEOUT_S):
        while not await accepts(port):
            await asyncio.sleep(0.1)


async def accepts(port):
    try:
        _, writer = await asyncio.open_connection('127.0.0.1', port)
    except OSError:
        return False
    writer.close()
    return True


async def test_daemon_logs_why_it_did_not_start(site):
    """Guards against a start that fails without a line in the log."""
    (daemon,) = site.daemons
    daemon.settings_path.write_text('node=front-0\n')
    with pytest.raises(TimeoutError):
        async with asyncio.timeout(4):
            await daemon.start()
    assert await daemon.wait_for_exit() == 1
    (line,) = daemon.log()
    assert line['event'] == 'daemon not started'
    assert 'required fields are missing' in line['problem']


async def test_daemon_waits_longer_than_a_closed_connection_holds_a_port(site):
    """Guards against ends in series while a port stays in use."""
    (daemon,) = site.daemons
    with occupied(daemon.port) as holder:
        asyncio.get_running_loop().call_later(LONG_HOLD_S, holder.close)
        await daemon.start()
    assert await daemon.probe() == 200


async def test_stop_of_a_daemon_that_waits_for_a_port_is_graceful(site):
    """Guards against a planned stop that ends with a failure."""
    (daemon,) = site.daemons
    with occupied(daemon.port):
        starting = asyncio.create_task(daemon.start())
        async with asyncio.timeout(START_TIMEOUT_S):
            while not (daemon.log_path.exists() and daemon.log()):
                await asyncio.sleep(POLL_S)
        daemon.send_signal(signal.SIGTERM)
        async with asyncio.timeout(GRACE_S):
            assert await daemon.wait_for_exit() == 0
        starting.cancel()


@pytest.mark.parametrize('name', ['port', 'probe_port'])
async def test_daemon_that_waits_for_a_port_takes_no_callers(site, name):
    """Guards against callers that wait for a daemon that can't start yet."""
    (daemon,) = site.daemons
    with occupied(getattr(daemon, name)):
        starting = asyncio.create_task(daemon.start())
        async with asyncio.timeout(START_TIMEOUT_S):
            while not (daemon.log_path.exists() and daemon.log()):
                await asyncio.sleep(POLL_S)
        assert not await accepts(daemon.port)
        expected = 503 if name == 'port' else 0
        assert await daemon.probe() == expected
    await starting


async def test_daemon_whose_metrics_port_is_its_port_for_callers_serves(
    site, connect
):
    """Guards against a daemon that waits for a port that it uses itself."""
    (daemon,) = site.daemons
    settings = daemon.settings_path.read_text()
    daemon.settings_path.write_text(
        settings.replace(f':{daemon.port}', f':{daemon.metrics_port}')
    )
    daemon.port = daemon.metrics_port
    await daemon.start()
    client = await connect(daemon, 'bookings')
    assert (await client.query('WRITE i1 v1')).ok


async def test_signals_in_series_leave_a_stop_graceful(site):
    """Guards against an exit by a signal after a graceful stop."""
    (daemon,) = site.daemons
    await daemon.start()
    descriptor = os.pidfd_open(daemon.process.pid)
    async with asyncio.timeout(START_TIMEOUT_S):
        while daemon.process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                for number in STOP_SIGNALS:
                    signal.pidfd_send_signal(descriptor, number)
            await asyncio.sleep(POLL_S)
    os.close(descriptor)
    assert daemon.process.returncode == 0
