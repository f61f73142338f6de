"""In-memory SQLite databases that hold the data of a slot."""

import decimal
import sqlite3
import typing
from collections import abc

_CONNECTION_OPTIONS = {
    'isolation_level': None,
    'detect_types': sqlite3.PARSE_DECLTYPES,
}


def _decimal_from(raw: bytes) -> decimal.Decimal:
    return decimal.Decimal(raw.decode())


sqlite3.register_converter('DECIMAL', _decimal_from)
sqlite3.register_converter('NUMERIC', _decimal_from)


class Storage:
    """Two databases: committed data, and a copy for the write transaction.

    Other connections read from the first one, so they see only committed data
    and don't wait for the write transaction.
    """

    def __init__(self, init_sql: str) -> None:
        """Create both databases by running the script `init_sql`."""
        self._init_sql = init_sql
        self.rebuild(())

    def rebuild(self, entries: abc.Iterable[abc.Sequence[str]]) -> None:
        """Recreate the databases and rerun the statements of `entries`."""
        self._committed = self._open()
        self._working = self._open()
        for statements in entries:
            self.apply(statements)

    def apply(self, statements: abc.Sequence[str]) -> None:
        """Run and commit the statements of one log entry."""
        self.begin()
        for statement in statements:
            self._working.execute(statement)
        self.commit(statements)

    def begin(self) -> None:
        """Open the write transaction."""
        self._working.execute('BEGIN')

    def commit(self, statements: abc.Sequence[str]) -> None:
        """Commit the write transaction and replay it on the committed data.

        `statements` are all statements of the transaction.
        """
        self._working.execute('COMMIT')
        self._committed.execute('PRAGMA query_only = OFF')
        self._committed.execute('BEGIN')
        for statement in statements:
            self._committed.execute(statement)
        self._committed.execute('COMMIT')
        self._committed.execute('PRAGMA query_only = ON')

    def rollback(self) -> None:
        """Roll back the write transaction."""
        self._working.execute('ROLLBACK')

    def write(self, statement: str) -> sqlite3.Cursor:
        """Run a statement inside the write transaction."""
        return self._working.execute(statement)

    def read(self, statement: str) -> sqlite3.Cursor:
        """Run a query on the committed data."""
        return self._committed.execute(statement)

    def _open(self) -> sqlite3.Connection:
        connection = sqlite3.connect(
            ':memory:',
            **typing.cast(typing.Any, _CONNECTION_OPTIONS),
        )
        connection.executescript(self._init_sql)
        return connection
