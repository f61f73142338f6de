"""MySQL errors that a slot returns to its clients."""

import sqlite3

from mysql_mimic import errors

DUPLICATE_KEY = 1062
SYNTAX = 1064
UNKNOWN = 1105
LOCK_WAIT_TIMEOUT = 1205
READ_ONLY = 1290
TOO_MANY_CONNECTIONS = 1040
NO_SUCH_PROCEDURE = 1305

SQLSTATES = {
    TOO_MANY_CONNECTIONS: b'08004',
    DUPLICATE_KEY: b'23000',
    SYNTAX: b'42000',
    NO_SUCH_PROCEDURE: b'42000',
}
_DUPLICATES = frozenset(
    (
        sqlite3.SQLITE_CONSTRAINT_PRIMARYKEY,
        sqlite3.SQLITE_CONSTRAINT_UNIQUE,
        sqlite3.SQLITE_CONSTRAINT_ROWID,
    )
)


class SlotError(errors.MysqlError):
    """Error that is sent to the client with a MySQL error code."""

    def __init__(self, code: int, message: str) -> None:
        """Create an error with a MySQL error code."""
        super().__init__(message, code)  # type: ignore[arg-type]


def from_sqlite(error: sqlite3.Error) -> SlotError:
    """Return the MySQL error that corresponds to a SQLite error."""
    code = getattr(error, 'sqlite_errorcode', None)
    if code in _DUPLICATES:
        return SlotError(DUPLICATE_KEY, f'Duplicate entry: {error}')
    if 'syntax error' in str(error):
        return SlotError(SYNTAX, str(error))
    return SlotError(UNKNOWN, str(error))
