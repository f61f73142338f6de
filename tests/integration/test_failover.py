"""Acknowledged writes under failures of primaries, zones and daemons.

The tests run real processes behind the fault proxy, and in the end compare the
outcomes that callers received with the contents of the databases.
"""

import asyncio
import time

import pytest

from standins.deployment import cluster, partitions, specs
from tests.integration import workload

SHAPE = specs.DeploymentSpec(
    groups=('group-1',),
    entries_per_zone=2,
    init_sql=workload.INIT_SQL,
)


@pytest.fixture
async def deployment():
    async with cluster.Cluster(SHAPE) as started:
        await started.wait_healthy()
        yield started


@pytest.fixture
async def zones():
    async with partitions.PartitionedCluster(SHAPE) as started:
        await started.wait_healthy()
        yield started


async def test_killed_primary_loses_no_acknowledged_booking(deployment):
    """Guards against acknowledging a write before another slot has it."""
    tally = workload.Tally()
    callers = workload.make_callers(deployment, tally, 8)
    async with workload.booking_load(deployment, callers):
        await asyncio.sleep(1)
        killed_at = time.time()
        await deployment.slots['group-1', 'slot-0'].program.kill()
        await workload.wait_for_term(deployment, 2)
        served = await workload.acknowledged_after(tally, time.time(), 20)
    # Target: writes are served again within 6 s of the primary's failure.
    assert min(served) - killed_at < 6
    await workload.assert_bookings(deployment, tally)


async def test_isolated_zone_with_primary_acknowledges_nothing_lost(zones):
    """Guards against a replaced primary that still acknowledges writes.

    The zone of the primary is cut off together with half of the callers.
    """
    tally = workload.Tally()
    callers = workload.make_callers(zones, tally, 8)
    local = workload.Tally()
    checks = workload.make_callers(zones, local, 4, rank='checks')
    inside = [one for one in zones.entries if one.zone == 'zone-1']
    for caller in (*callers[:4], *checks[:2]):
        caller.entries = inside
    async with workload.booking_load(zones, (*callers, *checks)):
        await asyncio.sleep(1)
        await zones.isolate('zone-1')
        opened = await workload.wait_for_term(zones, 2)
        opened_at = time.time()
        await asyncio.sleep(1)
        await zones.heal('zone-1')
        await asyncio.sleep(3)
    assert opened['primary'] != 'slot-0'
    await workload.assert_bookings(zones, tally)
    # A write of a rank with local durability may be lost, but not one that
    # was acknowledged after the next term had opened.
    stored = await workload.stored_bookings(zones)
    late = [
        key
        for key, at in local.acknowledged.items()
        if key not in stored and at > opened_at
    ]
    assert not late
    assert not [key for key in local.not_run if key in stored]


async def test_store_outage_neither_stops_bookings_nor_promotes(deployment):
    """Guards against a store outage that stops writes or starts a failover."""
    tally = workload.Tally()
    callers = workload.make_callers(deployment, tally, 6)
    checks = workload.make_callers(deployment, tally, 3, rank='checks')
    async with workload.booking_load(deployment, (*callers, *checks)):
        await asyncio.sleep(1)
        await deployment.platform.set_faults(down=True)
        await asyncio.sleep(2)
        before = len(tally.acknowledged)
        await asyncio.sleep(2)
        during = len(tally.acknowledged) - before
        await deployment.platform.set_faults(down=False)
        await asyncio.sleep(1)
    found = await workload.record(deployment)
    assert found['term'] == 1
    assert during > 50
    assert not tally.not_run
    await workload.assert_bookings(deployment, tally)


async def test_paused_holders_wake_up_without_false_acknowledgements(
    deployment,
):
    """Guards against acknowledgements under an expired permission.

    All entry instances of the primary's zone, which include its holders, are
    suspended for longer than the acknowledgement window while the primary is
    replaced.
    """
    tally = workload.Tally()
    callers = workload.make_callers(deployment, tally, 8)
    paused = [one for one in deployment.entries if one.zone == 'zone-1']
    async with workload.booking_load(deployment, callers):
        await asyncio.sleep(1)
        for entry in paused:
            entry.program.suspend()
        await deployment.slots['group-1', 'slot-0'].program.kill()
        await workload.wait_for_term(deployment, 2)
        for entry in paused:
            entry.program.resume()
        await asyncio.sleep(3)
    await workload.assert_bookings(deployment, tally)


async def test_killed_holders_hand_over(deployment):
    """Guards against losing service or bookings when holders crash."""
    tally = workload.Tally()
    callers = workload.make_callers(deployment, tally, 8)
    survivors = [one for one in deployment.entries if one.zone != 'zone-1']
    for caller in callers:
        caller.entries = survivors
    async with workload.booking_load(deployment, callers):
        await asyncio.sleep(1)
        for entry in deployment.entries:
            if entry.zone == 'zone-1':
                await entry.program.kill()
        await deployment.register_instances()
        await asyncio.sleep(3)
        before = len(tally.acknowledged)
        await asyncio.sleep(1)
    assert len(tally.acknowledged) - before > 20
    found = await workload.record(deployment)
    assert found['term'] == 1
    await workload.assert_bookings(deployment, tally)
