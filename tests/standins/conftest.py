import contextlib

import aiomysql
import pytest

from standins.deployment import processes

INIT_SQL = """
CREATE TABLE items (
    id INTEGER PRIMARY KEY AUTO_INCREMENT,
    name VARCHAR(40) UNIQUE,
    body BLOB,
    price DECIMAL(10, 2)
);
""".replace('AUTO_INCREMENT', 'AUTOINCREMENT')


@pytest.fixture
async def programs(tmp_path):
    started = processes.Programs(tmp_path)
    yield started
    await started.stop()


@pytest.fixture
async def start_slot(programs, tmp_path):
    """Return a function that starts a slot and returns its port."""
    init = tmp_path / 'init.sql'
    init.write_text(INIT_SQL)

    async def start(name='slot', *arguments):
        program = await programs.start(
            name,
            'standins.database.command',
            f'--slot={name}',
            f'--init_sql_file={init}',
            *arguments,
        )
        return program.listening['mysql']

    return start


@pytest.fixture
async def connect():
    """Return a function that opens a client connection to a slot."""
    with contextlib.ExitStack() as stack:

        async def open_connection(port, term=None):
            connection = await aiomysql.connect(
                host='127.0.0.1',
                port=port,
                user='test',
                autocommit=True,
            )
            stack.callback(connection.close)
            client = Client(connection)
            if term is not None:
                await client.run(f'SET SESSION group_term = {term}')
            return client

        yield open_connection


class Client:
    """Connection that keeps the cursor of its last statement."""

    def __init__(self, connection):
        self.connection = connection
        self.cursor = None

    async def run(self, sql, arguments=None):
        self.cursor = await self.connection.cursor()
        await self.cursor.execute(sql, arguments)
        return list(await self.cursor.fetchall())

    @property
    def message(self):
        return self.connection._result.message.decode()
