import asyncio
import decimal
import time

import pymysql
import pytest

INSERT = "INSERT INTO items (name) VALUES ('a')"
NAMES = 'SELECT name FROM items ORDER BY id'


def error_code(raised):
    return raised.value.args[0]


async def follow(replica, term, port):
    await replica.run(f"CALL group_follow({term}, '127.0.0.1', {port})")


async def wait_applied(client, term, offset):
    rows = await client.run(f'CALL group_wait({term}, {offset}, 5000)')
    assert rows == [(term, term, offset)]


async def test_write_of_an_old_term_is_refused_at_execution(
    start_slot, connect
):
    """Guards against a replaced primary that still accepts writes."""
    port = await start_slot()
    writer = await connect(port, term=1)
    await writer.run('CALL group_raise_term(2)')
    with pytest.raises(pymysql.OperationalError) as raised:
        await writer.run(INSERT)
    assert error_code(raised) == 1290
    await writer.run('CALL group_promote(2)')
    with pytest.raises(pymysql.OperationalError):
        await writer.run(INSERT)
    assert await writer.run(NAMES) == []


async def test_write_without_a_term_is_refused(start_slot, connect):
    """Guards against writes that bypass the check of the term."""
    writer = await connect(await start_slot())
    with pytest.raises(pymysql.OperationalError) as raised:
        await writer.run(INSERT)
    assert error_code(raised) == 1290


@pytest.mark.parametrize('promoted', [False, True])
async def test_write_of_an_old_term_is_refused_at_commit(
    start_slot, connect, promoted
):
    """Guards against the commit of a transaction begun in an older term."""
    port = await start_slot()
    writer = await connect(port, term=1)
    other = await connect(port)
    await writer.run('BEGIN')
    await writer.run(INSERT)
    await other.run('CALL group_raise_term(2)')
    if promoted:
        await other.run('CALL group_promote(2)')
    with pytest.raises(pymysql.OperationalError) as raised:
        await writer.run('COMMIT')
    assert error_code(raised) == 1290
    assert await writer.run(NAMES) == []
    assert await other.run('CALL standin_dump_log()') == []


async def test_term_never_goes_down(start_slot, connect):
    """Guards against a delayed command of an earlier failover."""
    client = await connect(await start_slot('slot', '--term=5'))
    for command in (
        'group_raise_term(4)',
        'group_promote(4)',
        "group_follow(4, '127.0.0.1', 1)",
    ):
        with pytest.raises(pymysql.OperationalError) as raised:
            await client.run(f'CALL {command}')
        assert error_code(raised) == 1290
    assert await client.run('CALL group_status()') == [
        ('slot', 5, 'primary', 0, 0),
    ]


async def test_follow_drops_entries_that_the_new_primary_lacks(
    start_slot, connect
):
    """Guards against a former primary that keeps entries lost in a failover."""
    old_port = await start_slot('old')
    new_port = await start_slot('new', '--role=replica')
    old = await connect(old_port, term=1)
    new = await connect(new_port, term=2)
    await follow(new, 1, old_port)
    await old.run("INSERT INTO items (name) VALUES ('kept')")
    await wait_applied(new, 1, 1)
    await new.run('CALL group_raise_term(2)')
    await old.run("INSERT INTO items (name) VALUES ('lost')")
    await new.run('CALL group_promote(2)')
    await new.run("INSERT INTO items (name) VALUES ('new')")
    await new.run("INSERT INTO items (name) VALUES ('newer')")
    await follow(old, 2, new_port)
    await wait_applied(old, 2, 3)
    assert await old.run(NAMES) == [('kept',), ('new',), ('newer',)]
    assert await old.run('CALL standin_dump_log()') == await new.run(
        'CALL standin_dump_log()',
    )


async def test_replica_applies_after_its_lag(start_slot, connect):
    """Guards against a lag without effect, on which staleness tests rely."""
    port = await start_slot('primary')
    replica = await connect(
        await start_slot('replica', '--role=replica', '--lag_ms=300'),
    )
    writer = await connect(port, term=1)
    await follow(replica, 1, port)
    sent_at = time.monotonic()
    await writer.run(INSERT)
    await wait_applied(replica, 1, 1)
    assert time.monotonic() - sent_at >= 0.3
    await replica.run("CALL standin_set('lag_ms', 60000)")
    await writer.run("INSERT INTO items (name) VALUES ('b')")
    assert await replica.run('CALL group_wait(1, 2, 100)') == [(1, 1, 1)]
    await replica.run("CALL standin_set('lag_ms', 0)")
    await wait_applied(replica, 1, 2)


async def test_connection_limit(start_slot, connect):
    """Guards against replicas or closed connections that count as clients."""
    port = await start_slot('primary', '--connection_limit=1')
    replica = await connect(await start_slot('replica', '--role=replica'))
    await follow(replica, 1, port)
    first = await connect(port, term=1)
    with pytest.raises(pymysql.OperationalError) as raised:
        await connect(port)
    assert error_code(raised) == 1040
    await first.run(INSERT)
    await wait_applied(replica, 1, 1)
    first.connection.close()
    async with asyncio.timeout(5):
        while True:
            try:
                await connect(port)
                break
            except pymysql.OperationalError:
                await asyncio.sleep(0.01)


async def test_results_of_writes(start_slot, connect):
    """Guards against OK packets without the fields that clients read."""
    client = await connect(await start_slot(), term=1)
    await client.run(INSERT)
    assert (client.cursor.rowcount, client.cursor.lastrowid) == (1, 1)
    assert client.message == 'term=1;offset=1'
    await client.run('BEGIN')
    assert client.connection._result.server_status & 1
    await client.run("UPDATE items SET name = 'b'")
    assert client.message == ''
    await client.run('COMMIT')
    assert client.message == 'term=1;offset=2'
    assert not client.connection._result.server_status & 1
    with pytest.raises(pymysql.IntegrityError) as raised:
        await client.run("INSERT INTO items (name) VALUES ('b')")
    assert error_code(raised) == 1062
    with pytest.raises(pymysql.ProgrammingError) as raised:
        await client.run('SELEC 1')
    assert error_code(raised) == 1064


async def test_values_survive_the_round_trip(start_slot, connect):
    """Guards against literals that SQLite interprets unlike MySQL."""
    client = await connect(await start_slot(), term=1)
    text = 'it\'s "ž"\\ %_\n\0; -- # /* */ ?'
    sql = "INSERT INTO items VALUES (7, %s, x'00ff27', %s)"
    await client.run(sql, (text, decimal.Decimal('10.55')))
    await client.run('INSERT INTO items VALUES (8, NULL, 0xabc, NULL)')
    assert await client.run('SELECT * FROM items') == [
        (7, text, b'\x00\xff\x27', decimal.Decimal('10.55')),
        (8, None, b'\x0a\xbc', None),
    ]


async def test_readers_see_committed_data_only(start_slot, connect):
    """Guards against dirty reads and against readers that wait for writers."""
    port = await start_slot()
    writer = await connect(port, term=1)
    reader = await connect(port)
    await writer.run('BEGIN')
    await writer.run(INSERT)
    assert await reader.run(NAMES) == []
    assert await writer.run(NAMES) == [('a',)]
    await writer.run('ROLLBACK')
    assert await writer.run(NAMES) == []


async def test_one_write_transaction_at_a_time(start_slot, connect):
    """Guards against a closed connection that keeps the write lock."""
    port = await start_slot()
    first = await connect(port, term=1)
    second = await connect(port, term=1)
    await first.run('BEGIN')
    await first.run(INSERT)
    waiting = asyncio.create_task(second.run(INSERT))
    done, _ = await asyncio.wait({waiting}, timeout=0.1)
    assert not done
    first.connection.close()
    await waiting
    assert await second.run(NAMES) == [('a',)]


async def test_savepoints_are_replicated(start_slot, connect):
    """Guards against a replica that applies rolled back statements."""
    port = await start_slot('primary')
    replica = await connect(await start_slot('replica', '--role=replica'))
    await follow(replica, 1, port)
    writer = await connect(port, term=1)
    await writer.run('SET autocommit = 0')
    for sql in (
        'SAVEPOINT first',
        INSERT,
        'SAVEPOINT second',
        'DELETE FROM items',
        'ROLLBACK TO SAVEPOINT second',
        "INSERT INTO items (name) VALUES ('b')",
        'ROLLBACK TO second',
        'COMMIT',
    ):
        await writer.run(sql)
    await wait_applied(replica, 1, 1)
    assert await replica.run(NAMES) == [('a',)]


async def test_replaced_replication_task_applies_nothing(start_slot, connect):
    """Guards against entries applied twice, by an old and a new task.

    `asyncio.wait_for` may swallow the cancellation of the replaced task.
    """
    port = await start_slot('a')
    replica_port = await start_slot('b', '--role=replica', '--lag_ms=2')
    writer = await connect(port, term=1)
    replica = await connect(replica_port)
    stop = asyncio.Event()

    async def write():
        while not stop.is_set():
            await writer.run('INSERT INTO items (body) VALUES (NULL)')

    writing = asyncio.create_task(write())
    for _ in range(400):
        await follow(replica, 1, port)
        await asyncio.sleep(0.005)
    stop.set()
    await writing
    await asyncio.sleep(1.5)
    (primary_status,) = await writer.run('CALL group_status()')
    (replica_status,) = await replica.run('CALL group_status()')
    assert replica_status[1:] == (1, 'replica', *primary_status[3:])
