"""Retries of writes with and without a request id of the caller."""

import asyncio
import collections
import itertools
import random

import pymysql
import pytest
import pytest_asyncio

from standins.deployment import cluster, specs
from tests.integration import connections, workload

# The table has no unique column that would refuse a second run.
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
    """Guards against a retry that runs again or returns another outcome."""
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
    """Guards against a retry that runs while its first attempt runs."""
    for _ in range(5):
        name = next(NAMES)
        answers = await asyncio.gather(
            *(
                _write(entry, _hinted(name))
                for entry in (*deployment.entries, *deployment.entries)
            ),
            return_exceptions=True,
        )
        received = {one for one in answers if isinstance(one, tuple)}
        assert len(received) == 1, answers
        refused = [one for one in answers if not isinstance(one, tuple)]
        assert {one.args[0] for one in refused} <= {9201}, refused
        assert (await _counts(deployment))[name] == 1


async def test_request_id_in_a_transaction_is_refused(deployment):
    """Guards against a request id that is accepted but not stored.

    The id is stored only with a statement outside of a transaction; nothing
    would stop a statement of a transaction from running again.
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
    """Guards against running a booking again after its answer was lost."""
    name = next(NAMES)
    # With the delay, the answer to COMMIT is in transit when the row appears.
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


async def _write_many(deployment, prefix, stop, received):
    """Write rows without a request id; record the error code or 0 for each."""
    chooser = random.Random(f'{SEED}-{prefix}')
    for number in itertools.count():
        if stop.is_set():
            return
        name = f'{prefix}-{number}'
        entry = chooser.choice(deployment.entries)
        try:
            await _write(entry, _plain(name))
        except pymysql.MySQLError as error:
            received[name] = error.args[0]
        else:
            received[name] = 0


async def test_statements_without_request_id_run_once_at_most(deployment):
    """Guards against a daemon that sends a write twice of its own accord.

    The primary's connections drop bytes in either direction or stop answering
    while callers write.
    """
    stop = asyncio.Event()
    received = {}
    writers = [
        asyncio.create_task(
            _write_many(deployment, f'{next(NAMES)}-{number}', stop, received)
        )
        for number in range(8)
    ]
    faults = ('cut_to_client', 'cut_to_target', 'silent', 'cut_to_client')
    # On a busy machine no statement may be in transit during a round.
    for _ in range(MAX_FAULT_ROUNDS):
        for fault in faults:
            await asyncio.sleep(0.5)
            await deployment.proxy.set_faults(LINK, **{fault: True})
            await asyncio.sleep(0.15)
            await deployment.proxy.set_faults(LINK, **{fault: False})
        await asyncio.sleep(0.5)
        if UNKNOWN in received.values():
            break
    stop.set()
    await asyncio.gather(*writers)
    counts = await _counts(deployment)
    codes = collections.Counter(received.values())
    assert codes[0] > 50, codes
    assert codes[UNKNOWN], 'no statement was cut off'
    assert set(codes) <= {0, 9201, UNKNOWN}
    for name, code in received.items():
        expected = {0: {1}, 9201: {0}, UNKNOWN: {0, 1}}[code]
        assert counts[name] in expected, (name, code)


async def _write_until_answered(deployment, name, chooser):
    """Retry a request on random entries until success; return the answer."""
    while True:
        try:
            return await _write(
                chooser.choice(deployment.entries), _hinted(name), 'bookings'
            )
        except (pymysql.MySQLError, OSError, asyncio.TimeoutError):
            await asyncio.sleep(0.02)


async def _book(deployment, prefix, stop, received):
    chooser = random.Random(f'{SEED}-{prefix}')
    for number in itertools.count():
        if stop.is_set():
            return
        name = f'{prefix}-{number}'
        received[name] = await _write_until_answered(deployment, name, chooser)


async def test_retries_across_a_failover_run_once(deployment):
    """Guards against a promoted slot without the stored request ids."""
    before = next(NAMES)
    chooser = random.Random(SEED)
    answer = await _write_until_answered(deployment, before, chooser)
    stop = asyncio.Event()
    received = {}
    callers = [
        asyncio.create_task(
            _book(deployment, f'{next(NAMES)}-{number}', stop, received),
        )
        for number in range(6)
    ]
    await asyncio.sleep(0.5)
    await deployment.slots['group-1', 'slot-0'].program.kill()
    await workload.wait_for_term(deployment, 2)
    await asyncio.sleep(0.5)
    # A busy machine needs longer for this many answers.
    async with asyncio.timeout(20):
        while len(received) <= 30:
            await asyncio.sleep(0.05)
    stop.set()
    await asyncio.gather(*callers)
    counts = await _counts(deployment)
    assert len(received) > 30
    assert {counts[name] for name in received} == {1}
    for entry in deployment.entries:
        assert await _write(entry, _hinted(before), 'bookings') == answer
        name = next(iter(received))
        assert await _write(entry, _hinted(name), 'bookings') == received[name]
    assert counts[before] == 1
