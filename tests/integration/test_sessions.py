"""Sessions: read-your-writes, lost positions, tokens and stale reads."""

import asyncio
import itertools
import time

import pymysql
import pytest
import pytest_asyncio

from standins.deployment import cluster, specs
from tests.integration import connections, workload

SHAPE = specs.DeploymentSpec(
    groups=('group-1', 'group-2'),
    entries_per_zone=1,
    init_sql=workload.INIT_SQL,
)
MAX_AGE_MS = 400
LOST_POSITION = 9203
BAD_TOKEN = 9204
KEYS = itertools.count()

pytestmark = pytest.mark.asyncio(loop_scope='module')


@pytest_asyncio.fixture(scope='module', loop_scope='module')
async def deployment():
    async with cluster.Cluster(SHAPE) as started:
        await started.wait_healthy()
        await connections.change_objects(started, _shorten_max_age)
        yield started


def _shorten_max_age(objects):
    objects['stale_read_rules'][0]['max_age_ms'] = MAX_AGE_MS


async def _sees(connection, key):
    sql = f"SELECT n FROM bookings WHERE id = '{key}'"
    return bool(await connections.run(connection, sql))


async def _insert(connection):
    key = f'key-{next(KEYS)}'
    await connections.run(
        connection, f"INSERT INTO bookings VALUES ('{key}', 0)"
    )
    return key


async def _assert_seen(writer, other, rank, key):
    """Read a write in its own session and in sessions that continue it."""
    assert await _sees(writer, key), 'same connection'
    token = await connections.token_of(writer)
    async with connections.connected(other, rank) as reader:
        assert await _sees(reader, key), 'plain reconnect'
    async with connections.connected(other, rank, token=token) as reader:
        assert await _sees(reader, key), 'token as connection attribute'
    async with connections.connected(other, rank) as reader:
        await connections.run(reader, f"SET @@celeryrelay_token = '{token}'")
        assert await _sees(reader, key), 'token set by a statement'


@pytest.mark.parametrize('lag_ms', [0, 100, 1000])
async def test_session_reads_its_writes(deployment, lag_ms):
    """Guards against a read on a replica that has not applied the write."""
    await connections.set_tuning(deployment, 'group-1', lag_ms=lag_ms)
    before = await connections.total(deployment, 'reads_replica')
    pairs = itertools.permutations(deployment.entries, 2)
    for rank, (entry, other) in itertools.product(('checks',), pairs):
        async with connections.connected(entry, rank) as writer:
            key = await _insert(writer)
            await _assert_seen(writer, other, rank, key)
    async with connections.connected(deployment.entries[0]) as writer:
        key = await _insert(writer)
        await _assert_seen(writer, deployment.entries[1], 'bookings', key)
    after = await connections.total(deployment, 'reads_replica')
    assert lag_ms or after > before, 'no read was served by a replica'


async def test_forged_and_truncated_tokens_are_refused(deployment):
    """Guards against accepting a forged, damaged or foreign session token."""
    entry = deployment.entries[0]
    async with connections.connected(entry) as writer:
        await _insert(writer)
        token = await connections.token_of(writer)
    middle = len(token) // 2
    other = 'A' if token[middle] != 'A' else 'B'
    forged = token[:middle] + other + token[middle + 1 :]
    for bad in (forged, token[:-1], token[:8], 'x', token + 'AAAA'):
        async with connections.connected(entry, token=bad) as reader:
            sql = 'SELECT n FROM bookings'
            assert await connections.error_code(reader, sql) == BAD_TOKEN
            await connections.run(reader, f"SET @@celeryrelay_token = '{bad}'")
            assert await connections.error_code(reader, sql) == BAD_TOKEN
    async with connections.connected(
        entry, group='group-2', token=token
    ) as reader:
        assert await connections.error_code(reader, sql) == BAD_TOKEN


async def _tick(connection, times, stop):
    while not stop.is_set():
        number = len(times)
        await connections.run(
            connection, f"INSERT INTO bookings VALUES ('tick-{number}', -1)"
        )
        times.append(time.monotonic())
        await asyncio.sleep(0.02)


async def _assert_fresh(connection, times, reads):
    sql = "SELECT COUNT(*) FROM bookings WHERE id LIKE 'tick-%'"
    for _ in range(reads):
        sent_at = time.monotonic()
        seen = int((await connections.run(connection, sql))[0][0])
        limit = sent_at - MAX_AGE_MS / 1000
        due = sum(at < limit for at in times)
        assert seen >= due, f'{due - seen} writes older than the rule allows'
        await asyncio.sleep(0.01)


async def test_stale_reads_keep_their_largest_age(deployment):
    """Guards against reads on a replica staler than the stale-read rule.

    The lag grows and shrinks; replicas serve only while they are within the
    rule.
    """
    times = []
    stop = asyncio.Event()
    entry = deployment.entries[1]
    await connections.set_tuning(deployment, 'group-1', lag_ms=50)
    async with (
        connections.connected(entry, 'checks') as writer,
        connections.connected(entry, 'reports') as reader,
    ):
        ticking = asyncio.create_task(_tick(writer, times, stop))
        before = await connections.total(deployment, 'reads_replica')
        await _assert_fresh(reader, times, 60)
        assert await connections.total(deployment, 'reads_replica') > before
        for lag_ms in (2000, 0, 600):
            await connections.set_tuning(deployment, 'group-1', lag_ms=lag_ms)
            await _assert_fresh(reader, times, 60)
        stop.set()
        await ticking
    await connections.set_tuning(deployment, 'group-1', lag_ms=0)


async def _read_through(entry, key, stop, refused):
    """Read one key repeatedly; collect refusals and fail if it is absent."""
    async with connections.connected(entry, 'checks') as reader:
        while not stop.is_set():
            try:
                assert await _sees(reader, key)
            except pymysql.MySQLError as error:
                refused.append(str(error))
            await asyncio.sleep(0.01)


async def test_session_reads_its_writes_across_a_failover(deployment):
    """Guards against a read bound that is dropped or stays in the old term.

    Readers continue while the primary is replaced: the bound of a read that
    waits for the new primary has to be converted to the new term.
    """
    await connections.set_tuning(deployment, 'group-1', lag_ms=0)
    stop = asyncio.Event()
    refused = []
    first, second, _ = deployment.entries
    async with connections.connected(first) as writer:
        key = await _insert(writer)
        readers = [
            asyncio.create_task(_read_through(entry, key, stop, refused))
            for entry in deployment.entries
        ]
        await asyncio.sleep(0.5)
        await deployment.slots['group-1', 'slot-0'].program.kill()
        await workload.wait_for_term(deployment, 2)
        await _assert_seen(writer, second, 'bookings', key)
        stop.set()
        await asyncio.gather(*readers)
        assert not refused
        key = await _insert(writer)
        await _assert_seen(writer, second, 'bookings', key)


async def test_lost_write_is_told(deployment):
    """Guards against a read that hides the loss of a write of its session.

    A rank with local durability writes; the primary is killed before any
    replica has applied the write.
    """
    group = 'group-2'
    sql = 'SELECT n FROM bookings'
    entry = deployment.entries[0]
    async with connections.connected(entry, 'checks', group) as writer:
        await connections.set_tuning(deployment, group, lag_ms=60000)
        await _insert(writer)
        token = await connections.token_of(writer)
        await deployment.slots[group, 'slot-0'].program.kill()
        await workload.wait_for_term(deployment, 2, group)
        assert await connections.error_code(writer, sql) == LOST_POSITION
        assert await connections.error_code(writer, sql) == LOST_POSITION
    for other in deployment.entries:
        async with connections.connected(
            other, 'checks', group, token=token
        ) as reader:
            assert await connections.error_code(reader, sql) == LOST_POSITION
    async with connections.connected(entry, 'checks', group) as reader:
        assert not await connections.run(reader, sql)
