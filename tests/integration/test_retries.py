"""Retries with and without a request id of the caller."""

import asyncio
import collections
import itertools
import random

import pymysql
import pytest
import pytest_asyncio

from standins.deployment import cluster, specs
from tests.integration import connections, workload

# Nothing in the table itself refuses a second run.
INIT_SQL = (
    'CREATE TABLE crew_logs (id INTEGER PRIMARY KEY AUTOINCREMENT, name TEXT);'
)
SHAPE = specs.DeploymentSpec(
    groups=('group-1',),
    entries_per_zone=1,
    init_sql=INIT_SQL,
    entry_settings={'statements': {'progress_timeout_ms': 1500}},
    proxied=frozenset(('slots',)),
)
LINK = 'group-1-slot-0'
SEED = 20240611
MAX_FAULT_ROUNDS = 6
UNKNOWN = 9202
UNSUPPORTED = 1235
NAMES = (f'log-{number}' for number in itertools.count())

pytestmark = pytest.mark.asyncio(loop_scope='module')


@pytest_asyncio.fixture(scope='module', loop_scope='module')
async def deployment():
    async with cluster.Cluster(SHAPE) as started:
        await started.wait_healthy()
        yield started


def _hinted(name):
    return f'/* celeryrelay:request={name} */ {_plain(name)}'


def _plain(name):
    return f"INSERT INTO crew_logs (name) VALUES ('{name}')"


async def _write(entry, sql, rank='checks'):
    """Write on a new connection; return affected rows and insert id."""
    async with connections.connected(entry, rank) as connection:
        cursor = await connection.cursor()
        affected = await asyncio.wait_for(
            cursor.execute(sql), connections.ANSWER_TIMEOUT_S
        )
        return affected, cursor.lastrowid


async def _counts(deployment):
    found = await workload.record(deployment)
    rows = await deployment.query(
        'group-1', found['primary'], 'SELECT name FROM crew_logs'
    )
    return collections.Counter(row[0] for row in rows)


async def test_repeated_request_gets_the_first_outcome(deployment):
    """Guards against a retry that runs again or gets another outcome."""
    name = next(NAMES)
    first, *others = deployment.entries
    answer = await _write(first, _hinted(name), 'bookings')
    assert answer[0] == 1
    assert answer[1] > 0
    await _write(others[0], _hinted(next(NAMES)))
    for entry in (first, *others):
        assert await _write(entry, _hinted(name), 'bookings') == answer
    assert (await _counts(deployment))[name] == 1


async def test_concurrent_requests_run_once(deployment):
    """Guards against a retry that overtakes its first attempt."""
    for _ in range(5):
        name = next(NAMES)
        answers = await asyncio.gather(
            *(
                _write(entry, _hinted(name))
                for entry in (*deployment.entries, *deployment.entries)
            ),
            return_exceptions=True,
        )
        told = {one for one in answers if isinstance(one, tuple)}
        assert len(told) == 1, answers
        refused = [one for one in answers if not isinstance(one, tuple)]
        assert {one.args[0] for one in refused} <= {9201}, refused
        assert (await _counts(deployment))[name] == 1


async def test_request_id_in_a_transaction_is_refused(deployment):
    """Guards against a request id that is taken and not kept.

    The id is kept together with a statement that commits by itself; nothing
    would keep one of several statements from running again.
    """
    entry = deployment.entries[0]
    name = next(NAMES)
    async with connections.connected(entry) as connection:
        await connections.run(connection, 'BEGIN')
        code = await connections.error_code(connection, _hinted(name))
        assert code == UNSUPPORTED
        await connections.run(connection, _plain(name))
        code = await connections.error_code(connection, _hinted(name))
        assert code == UNSUPPORTED
        await connections.run(connection, 'COMMIT')
    assert (await _counts(deployment))[name] == 1


async def test_retry_after_a_lost_answer_finds_the_outcome(deployment):
    """Guards against running a booking again whose answer was lost."""
    name = next(NAMES)
    # With the delay, the answer to COMMIT is on its way when the row appears.
    await deployment.proxy.set_faults(LINK, delay_ms=150)
    writing = asyncio.create_task(
        _write(deployment.entries[0], _hinted(name)),
    )

    async def committed():
        return (await _counts(deployment))[name]

    await connections.until(committed)
    await deployment.proxy.set_faults(LINK, cut_to_client=True)
    await asyncio.sleep(0.3)
    await deployment.proxy.set_faults(LINK, cut_to_client=False, delay_ms=0)
    with pytest.raises(pymysql.MySQLError) as failure:
        await writing
    assert failure.value.args[0] == UNKNOWN
    answers = {
        await _write(entry, _hinted(name)) for entry in deployment.entries
    }
    assert len(answers) == 1
    assert (await _counts(deployment))[name] == 1


async def _write_many(deployment, prefix, stop, told):
    """Write rows without a request id; note what was said about each."""
    chooser = random.Random(f'{SEED}-{prefix}')
    for number in itertools.count():
        if stop.is_set():
            return
        name = f'{prefix}-{number}'
        entry = chooser.choice(deployment.entries)
        try:
            await _write(entry, _plain(name))
        except pymysql.MySQLError as error:
            told[name] = error.args[0]
        else:
            told[name] = 0


async def test_statements_without_request_id_run_once_at_most(deployment):
    """Guards against a daemon that sends a write twice by itself.

    The primary's connections lose bytes in either direction or go silent
    while callers write.
    """
    stop = asyncio.Event()
    told = {}
    writers = [
        asyncio.create_task(
            _write_many(deployment, f'{next(NAMES)}-{number}', stop, told)
        )
        for number in range(8)
    ]
    faults = ('cut_to_client', 'cut_to_target', 'silent', 'cut_to_client')
    # On a busy machine a round may find no statement on its way.
    for _ in range(MAX_FAULT_ROUNDS):
        for fault in faults:
            await asyncio.sleep(0.5)
            await deployment.proxy.set_faults(LINK, **{fault: True})
            await asyncio.sleep(0.15)
            await deployment.proxy.set_faults(LINK, **{fault: False})
        await asyncio.sleep(0.5)
        if UNKNOWN in told.values():
            break
    stop.set()
    await asyncio.gather(*writers)
    counts = await _counts(deployment)
    codes = collections.Counter(told.values())
    assert codes[0] > 50, codes
    assert codes[UNKNOWN], 'no statement was cut off'
    assert set(codes) <= {0, 9201, UNKNOWN}
    for name, code in told.items():
        expected = {0: {1}, 9201: {0}, UNKNOWN: {0, 1}}[code]
        assert counts[name] in expected, (name, code)


async def _write_until_told(deployment, name, chooser):
    """Repeat a request at any entry until it succeeds; return the answer."""
    while True:
        try:
            return await _write(
                chooser.choice(deployment.entries), _hinted(name), 'bookings'
            )
        except (pymysql.MySQLError, OSError, asyncio.TimeoutError):
            await asyncio.sleep(0.02)


async def _book(deployment, prefix, stop, told):
    chooser = random.Random(f'{SEED}-{prefix}')
    for number in itertools.count():
        if stop.is_set():
            return
        name = f'{prefix}-{number}'
        told[name] = await _write_until_told(deployment, name, chooser)


async def test_retries_across_a_failover_run_once(deployment):
    """Guards against a promoted slot that does not know the request id."""
    before = next(NAMES)
    chooser = random.Random(SEED)
    answer = await _write_until_told(deployment, before, chooser)
    stop = asyncio.Event()
    told = {}
    callers = [
        asyncio.create_task(
            _book(deployment, f'{next(NAMES)}-{number}', stop, told),
        )
        for number in range(6)
    ]
    await asyncio.sleep(0.5)
    await deployment.slots['group-1', 'slot-0'].program.kill()
    await workload.wait_for_term(deployment, 2)
    await asyncio.sleep(0.5)
    # A busy machine needs longer for as many answers.
    async with asyncio.timeout(20):
        while len(told) <= 30:
            await asyncio.sleep(0.05)
    stop.set()
    await asyncio.gather(*callers)
    counts = await _counts(deployment)
    assert len(told) > 30
    assert {counts[name] for name in told} == {1}
    for entry in deployment.entries:
        assert await _write(entry, _hinted(before), 'bookings') == answer
        name = next(iter(told))
        assert await _write(entry, _hinted(name), 'bookings') == told[name]
    assert counts[before] == 1
