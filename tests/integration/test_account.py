"""The account after failures, compared with callers and databases.

Each caller uses only one entry instance, so that the results from the killed
instance can be separated from the others.
"""

import asyncio
import collections
import dataclasses
import json
import sys
import time

import aiomysql
import pymysql
import pytest

from celeryrelay.accounting import reports
from celeryrelay.core import outcomes
from standins.deployment import cluster, processes, specs
from tests.integration import connections, workload

GROUP = 'group-1'
RANKS = ('bookings', 'checks', 'reports')
SHAPE = specs.DeploymentSpec(
    groups=(GROUP,),
    entries_per_zone=2,
    init_sql=workload.INIT_SQL,
)
# A caller may receive its answer shortly before or after the entry counts it.
ANSWER_MARGIN_MS = 100
# A read whose session position was lost in a failover is refused as well; the
# account counts it as `lost_position`.
NOT_RUN_CODES = frozenset(
    {workload.NOT_RUN, outcomes.ERROR_LOST_POSITION},
)
CTL = 'from celeryrelay.management.commands import ctl; ctl.run()'


class Caller:
    """A caller of one rank that counts the answers of one entry instance."""

    def __init__(self, entry, rank, number):
        self.entry = entry
        self.rank = rank
        self.name = f'{rank}-{entry.program.name}-{number}'
        self.seen = collections.Counter()
        self.codes = collections.Counter()
        self.served_at_ms = []
        self.acknowledged = []
        self.refused = []
        self._connection = None

    async def call_until(self, stop):
        number = 0
        while not stop.is_set() and self.entry.program.running:
            number += 1
            await self._call(number)
            await asyncio.sleep(0.02)
        if self._connection is not None:
            self._connection.close()

    async def _call(self, number):
        key = f'{self.name}-{number}'
        # Bookings only write, checks alternate writes and reads, reports only
        # read.
        writes = self.rank == 'bookings' or self.rank == 'checks' and number % 2
        sql = 'SELECT COUNT(*) FROM bookings'
        if writes:
            sql = f"INSERT INTO bookings VALUES ('{key}', {number})"
        try:
            await self._connect()
        except (OSError, asyncio.TimeoutError, pymysql.MySQLError):
            return
        outcome = await self._execute(sql)
        self.seen[outcome] += 1
        if outcome == 'served':
            self.served_at_ms.append(time.time() * 1000)
        if writes and outcome == 'served':
            self.acknowledged.append(key)
        if writes and outcome == 'refused':
            self.refused.append(key)

    async def _execute(self, sql):
        try:
            async with self._connection.cursor() as cursor:
                await asyncio.wait_for(
                    cursor.execute(sql),
                    workload.STATEMENT_TIMEOUT_S,
                )
                await cursor.fetchall()
            return 'served'
        except pymysql.MySQLError as error:
            code = error.args[0] if error.args else 0
            self.codes[code] += 1
            if code in NOT_RUN_CODES:
                return 'refused'
            if code == workload.UNKNOWN:
                return 'unknown'
            if code and not 2000 <= code < 3000:
                return 'failed'
        except (OSError, asyncio.TimeoutError):
            """Handled below like a connection that the entry closed."""
        self._connection.close()
        self._connection = None
        # After a connection that ends before the answer, the outcome is
        # unknown to the caller.
        return 'unknown'

    async def _connect(self):
        if self._connection is None:
            self._connection = await aiomysql.connect(
                host=specs.HOST,
                port=self.entry.mysql_port,
                user=specs.user_name(GROUP, self.rank),
                autocommit=None,
                connect_timeout=3,
            )


@pytest.fixture
async def deployment():
    async with cluster.Cluster(SHAPE) as started:
        await started.wait_healthy()
        yield started


def make_callers(deployment):
    return [
        Caller(entry, rank, number)
        for entry in deployment.entries
        for rank in RANKS
        for number in range(2 if rank == 'bookings' else 1)
    ]


@pytest.fixture
async def small_deployment():
    shape = dataclasses.replace(SHAPE, zones=('zone-1',), entries_per_zone=1)
    async with cluster.Cluster(shape) as started:
        await started.wait_healthy()
        yield started


async def account_values(deployment):
    found = await deployment.platform.get('/v1/range?prefix=accounts/&since=0')
    return [entry['value'] for entry in found['entries']]


async def account_command(deployment):
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        '-c',
        CTL,
        'account',
        '--json',
        f'--platform_url={deployment.platform.url}',
        stdout=asyncio.subprocess.PIPE,
    )
    output, _ = await process.communicate()
    assert process.returncode == 0
    return json.loads(output)


async def stop_all(deployment):
    """Stop all daemons at once and return their exit codes."""
    running = [one for one in deployment.entries if one.program.running]
    return await processes.gather_or_cancel(
        one.program.stop() for one in running
    )


def count(callers, rank):
    return sum(
        (caller.seen for caller in callers if caller.rank == rank),
        collections.Counter(),
    )


def counted(report, rank):
    total = report.totals('rank')[(rank,)]
    return collections.Counter(
        served=total.served,
        failed=total.failed,
        refused=sum(total.refused.values()),
        unknown=sum(total.unknown.values()),
    )


def check_rank(report, rank, callers, killed, last_sent_ms):
    """Compare the account of a rank with the answers of its callers.

    The account may lack only statements that the killed instance counted
    after its last batch; the report shows when that was sent.
    """
    survivors = count([one for one in callers if one.entry != killed], rank)
    at_killed = [
        caller
        for caller in callers
        if caller.entry == killed and caller.rank == rank
    ]
    extra = counted(report, rank) - survivors
    codes = sum((one.codes for one in callers), collections.Counter())
    assert not survivors - counted(report, rank), f'{rank}: {codes}'
    most = count(at_killed, rank).total()
    assert extra.total() <= most, f'{rank}: counted twice'
    due = sum(
        at_ms < last_sent_ms - ANSWER_MARGIN_MS
        for caller in at_killed
        for at_ms in caller.served_at_ms
    )
    assert extra['served'] >= due, f'{rank}: lost although it was sent'


async def check_stored(deployment, callers):
    stored = await workload.stored_bookings(deployment)
    assert set(stored.values()) == {1}
    for caller in callers:
        assert not [key for key in caller.refused if key in stored]
        if caller.rank == 'bookings':
            missing = [key for key in caller.acknowledged if key not in stored]
            assert not missing, missing[:5]


async def test_account_agrees_after_failures_and_a_planned_stop(deployment):
    """Guards against statements that are lost or counted twice.

    A primary and an entry instance are killed, and the store is down for a
    while and loses answers to writes of the account.
    """
    callers = make_callers(deployment)
    killed = deployment.entries[0]
    stop = asyncio.Event()
    tasks = [asyncio.create_task(one.call_until(stop)) for one in callers]
    await asyncio.sleep(2.5)
    await deployment.slots[GROUP, 'slot-0'].program.kill()
    await workload.wait_for_term(deployment, 2)
    await asyncio.sleep(1)
    await killed.program.kill()
    await deployment.register_instances()
    await asyncio.sleep(2)
    await deployment.platform.set_faults(down=True)
    await asyncio.sleep(3)
    await deployment.platform.set_faults(down=False, lose_answers=True)
    await asyncio.sleep(2)
    await deployment.platform.set_faults(lose_answers=False)
    await asyncio.sleep(0.5)
    stop.set()
    await asyncio.gather(*tasks)
    assert set(await stop_all(deployment)) == {0}

    report = reports.build(await account_values(deployment))
    assert not report.unreadable
    gaps = [source for source in report.sources if not source.complete]
    assert len(report.sources) == len(deployment.entries)
    assert [one.source.split('/')[0] for one in gaps] == [killed.address]
    assert not (gaps[0].missing or gaps[0].repeated or gaps[0].missing_parts)
    for rank in RANKS:
        check_rank(report, rank, callers, killed, gaps[0].last_sent_ms)
    (failover,) = report.failovers
    assert failover.term == 2
    # Probes have to fail for 600 ms before a primary may be replaced.
    assert 600 <= failover.detection_ms < 6000
    await check_stored(deployment, callers)
    printed = await account_command(deployment)
    assert printed.pop('result') == 'ok'
    assert printed == json.loads(reports.to_json(report))


async def test_planned_stop_of_a_whole_zone_stores_all_batches(deployment):
    """Guards against batches that are left on relays that stop as well.

    The store is down until shortly before the stop, so that batches of
    several periods are pending.
    """
    callers = make_callers(deployment)
    stop = asyncio.Event()
    tasks = [asyncio.create_task(one.call_until(stop)) for one in callers]
    await asyncio.sleep(1)
    await deployment.platform.set_faults(down=True)
    await asyncio.sleep(21)
    stop.set()
    await asyncio.gather(*tasks)
    await deployment.platform.set_faults(down=False)
    assert set(await stop_all(deployment)) == {0}
    report = reports.build(await account_values(deployment))
    assert report.complete, report.sources
    for rank in RANKS:
        assert counted(report, rank) == count(callers, rank)
    await check_stored(deployment, callers)


async def test_refusals_by_the_entry_itself_are_counted(small_deployment):
    """Guards against refusals that leave no record in the account."""
    (entry,) = small_deployment.entries
    caller = Caller(entry, 'checks', 0)
    await caller._connect()
    expected = [
        ('LOCK TABLES bookings READ', 1235),
        ("SET @@celeryrelay_token = 'forged'", 0),
        ('SELECT COUNT(*) FROM bookings', 9204),
        ('SELECT COUNT(*) FROM bookings', 0),
    ]
    for sql, code in expected:
        assert await error_code(caller, sql) == code
    await entry.peer.post('/admin/drain')
    assert await error_code(caller, 'SELECT COUNT(*) FROM bookings') == 9201
    assert await entry.program.stop() == 0
    report = reports.build(await account_values(small_deployment))
    assert report.complete
    total = report.totals('rank')[('checks',)]
    assert total.refused == {'unsupported': 1, 'bad_token': 1, 'draining': 1}
    assert total.served == 1


async def error_code(caller, sql):
    try:
        async with caller._connection.cursor() as cursor:
            await cursor.execute(sql)
    except pymysql.MySQLError as error:
        return error.args[0]
    return 0


async def test_read_of_a_lost_write_is_counted_as_refused(deployment):
    """Guards against counting 9203 as anything but a refusal.

    After a failover that loses a write of local durability, the next read of
    its session is answered with 9203. On a busy machine the replica lags often
    enough that the test of the account after failures meets it as well.
    """
    caller = Caller(deployment.entries[0], 'checks', 0)
    await caller._connect()
    await connections.set_tuning(deployment, GROUP, lag_ms=60000)
    insert = "INSERT INTO bookings VALUES ('lost', 1)"
    assert await caller._execute(insert) == 'served'
    await deployment.slots[GROUP, 'slot-0'].program.kill()
    await workload.wait_for_term(deployment, 2)
    assert await caller._execute('SELECT n FROM bookings') == 'refused'
    assert caller.codes == {outcomes.ERROR_LOST_POSITION: 1}
    caller._connection.close()
    assert set(await stop_all(deployment)) == {0}
    report = reports.build(await account_values(deployment))
    total = report.totals('rank')[('checks',)]
    assert total.refused == {'lost_position': 1}
    assert (total.served, total.failed) == (1, 0)
