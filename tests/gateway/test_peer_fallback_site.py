"""Tests of daemons that a partition separates from a primary, run as processes.

In runs with a primary that some daemons could not reach, these daemons refused
all bookings of their callers until the partition ended.
"""

import asyncio
import time

import pytest

from tests.gateway import test_site


@pytest.fixture
async def site(start_site):
    return await start_site(daemons=4)


def partition(site, *daemons):
    names = frozenset(daemon.name for daemon in daemons)
    site.group.primary.faults.ignored_daemons = names


async def test_callers_of_a_partitioned_daemon_are_served(site, connect):
    """Statements are not refused while other daemons reach the primary."""
    daemon = site.daemons[0]
    client = await connect(daemon, 'bookings')
    assert (await client.query('WRITE i1 before')).ok
    primary = site.group.primary
    partition(site, daemon)
    _, gap_s = await test_site.write_until_served(client, 'i1', 'during')
    assert gap_s < 2
    begun = time.monotonic()
    for number in range(20):
        assert (await client.query(f'WRITE i1 v{number}')).ok
        assert (await client.query('READ i1')).rows == (f'v{number}',)
    assert time.monotonic() - begun < 3
    assert site.group.primary is primary
    assert site.store_service.promotion_orders == []
    assert any(
        line['event'] == 'primary is reached through other daemons'
        for line in daemon.log()
    )


async def test_direct_connections_are_used_again_after_the_partition(
    site, connect
):
    """The fallback to other daemons must end with the partition."""
    daemon = site.daemons[0]
    client = await connect(daemon, 'bookings')
    assert (await client.query('WRITE i1 before')).ok
    partition(site, daemon)
    await test_site.write_until_served(client, 'i1', 'during')
    partition(site)
    await asyncio.sleep(1.5)
    for number in range(5):
        assert (await client.query(f'WRITE i1 v{number}')).ok
    assert any(
        line['event'] == 'primary is reached again' for line in daemon.log()
    )


async def test_primary_that_most_daemons_cannot_reach_is_replaced(
    site, connect
):
    """The fallback must not hide an unreachable primary from the quorum."""
    clients = [await connect(daemon, 'bookings') for daemon in site.daemons]
    for client in clients:
        assert (await client.query('WRITE i1 before')).ok
    await asyncio.sleep(0.1)
    old = site.group.primary
    partition(site, *site.daemons[:3])

    async def write_for_a_while(client):
        for number in range(150):
            await client.query(f'WRITE i2 v{number}')
            await asyncio.sleep(0.02)

    await asyncio.gather(*map(write_for_a_while, clients))
    assert site.group.primary is not old
    for client in clients:
        assert (await client.query('WRITE i1 after')).ok


async def test_isolated_daemon_closes_its_sessions(
    start_site,
    connect,
):
    """An isolated daemon must refuse its callers instead of letting them wait.

    A partition had left two daemons without the store, the new primary and the
    other daemons. Their callers waited instead of connecting to other daemons.
    """
    site = await start_site()
    daemon = site.daemons[0]
    client = await connect(daemon, 'bookings')
    idle = await connect(daemon, 'bookings')
    assert (await client.query('WRITE i1 before')).ok
    site.store_service.faults.down = True
    partition(site, daemon)
    async with asyncio.timeout(6):
        while await daemon.probe() == 200:
            await client.query('WRITE i1 during')
    begun = time.monotonic()
    assert not (await client.query('WRITE i1 during')).ok
    assert time.monotonic() - begun < 0.3
    assert await idle._reader.read() == b''
    site.store_service.faults.down = False
    partition(site)
    async with asyncio.timeout(6):
        while await daemon.probe() != 200:
            await asyncio.sleep(0.05)
    assert (await client.query('WRITE i1 after')).ok
