"""Latency of urgent statements during a flood of the least urgent rank."""

import asyncio
import time

import pytest

from standins.deployment import cluster, specs
from tests.integration import workload

SERVICE_MS = 20
CONCURRENCY = 4
# Flooding callers per statement that a slot runs concurrently.
FLOOD = 30
# Statements per second that a slot can run.
CAPACITY = CONCURRENCY * 1000 / SERVICE_MS
SHAPE = specs.DeploymentSpec(
    groups=('group-1',),
    entries_per_zone=1,
    init_sql=workload.INIT_SQL,
    slot_flags=(
        f'--service_ms={SERVICE_MS}',
        f'--service_concurrency={CONCURRENCY}',
    ),
)


@pytest.fixture
async def deployment():
    async with cluster.Cluster(SHAPE) as started:
        await started.wait_healthy()
        yield started


async def flood(caller, stop):
    """Write reports one after the other, without a pause."""
    while not stop.is_set():
        await caller.book()


async def timed_bookings(caller, count):
    """Return the latencies of bookings at a moderate rate, in seconds."""
    latencies = []
    for _ in range(count):
        started = time.monotonic()
        await caller.book()
        latencies.append(time.monotonic() - started)
        await asyncio.sleep(0.05)
    return latencies


async def test_flood_of_reports_leaves_bookings_on_time(deployment):
    """Guards against first-come, first-served order in the holder's queue.

    30 callers for each statement that the slot runs concurrently write reports
    without a pause. Without ranks a booking would wait behind all of them for
    0.6 s.
    """
    tally = workload.Tally()
    reports_tally = workload.Tally()
    callers = workload.make_callers(deployment, tally, 2)
    floods = workload.make_callers(
        deployment,
        reports_tally,
        FLOOD * CONCURRENCY,
        rank='reports',
    )
    stop = asyncio.Event()
    tasks = [asyncio.create_task(flood(one, stop)) for one in floods]
    await asyncio.sleep(2)
    found = await asyncio.gather(
        *(timed_bookings(one, 30) for one in callers),
    )
    stop.set()
    await asyncio.gather(*tasks)
    for caller in (*callers, *floods):
        caller.disconnect()
    latencies = sorted(sum(found, []))
    served = len(tally.acknowledged)
    assert served == len(latencies)
    # Reports are still served; refused ones are checked at the end.
    assert len(reports_tally.acknowledged) > CAPACITY / 2
    # Reports occupy all connections when a booking arrives: it waits until
    # one of them ends, runs, and waits for its replication.
    median = latencies[len(latencies) // 2]
    assert median < 0.25, latencies
    await workload.assert_bookings(deployment, tally)
    await workload.assert_bookings(deployment, reports_tally)
