"""Connections to MySQL backend servers, based on aiomysql.

Errors are returned as values. After `Lost` the connection has been aborted and
can't be used any more.
"""

import asyncio
import dataclasses
import re
import typing
from collections import abc

import aiomysql
import result

ERROR_TOO_MANY_CONNECTIONS = 1040
BINARY_CHARSET = 63
_LOG_POSITION = re.compile(rb'term=(\d+);offset=(\d+)')
_MS_PER_S = 1000


@dataclasses.dataclass(frozen=True, slots=True)
class ConnectionParameters:
    """Address of a backend server and credentials for it.

    Attributes:
        host: IP address.
        port: TCP port.
        user: MySQL user name.
        password: Password of the user.
        schema: Default schema; may be empty.
    """

    host: str
    port: int
    user: str
    password: str = dataclasses.field(repr=False)
    schema: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class Column:
    """A result column; its values are bytes if `binary`, otherwise text."""

    name: str
    type_code: int
    binary: bool


@dataclasses.dataclass(frozen=True, slots=True)
class ResultSet:
    """The statement returns rows, which `fetch` reads."""

    columns: tuple[Column, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Ok:
    """The statement ran and returns no rows.

    After a committed write, `term` and `offset` are its log position.
    """

    affected_rows: int
    last_insert_id: int
    in_transaction: bool
    term: int | None = None
    offset: int | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class ServerError:
    """The backend server returned an error for the statement."""

    code: int
    sqlstate: str
    message: str
    in_transaction: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Lost:
    """The connection failed or timed out; the outcome is unknown."""

    message: str


@dataclasses.dataclass(frozen=True, slots=True)
class ConnectFailure:
    """A connection could not be opened.

    Attributes:
        code: Error code of the server; 0 if it sent none.
        message: Cause of the failure.
    """

    code: int
    message: str


Row = tuple[str | bytes | None, ...]
Answer = typing.TypeVar('Answer')
Reply = ResultSet | Ok | ServerError | Lost


class BackendConnection:
    """A connection to a backend server; not safe for concurrent use.

    Attributes:
        term: Term that was set on the connection; 0 if none was.
        healthy: Whether the state of the connection is known.
        last_used: Monotonic time of the last reply, in seconds.
    """

    def __init__(self, connection: aiomysql.Connection) -> None:
        """Wrap an open connection of aiomysql."""
        self.term = 0
        self.healthy = True
        self.last_used = float(0)
        self._connection = connection
        self._cursor: aiomysql.SSCursor | None = None

    @property
    def closed_by_server(self) -> bool:
        """Return whether the server has closed the idle connection."""
        # aiomysql has no public way to check for the end of its input stream.
        reader = self._connection._reader  # noqa: SLF001, WPS437
        return reader is None or reader.at_eof()

    @property
    def in_transaction(self) -> bool:
        """Return whether the server reported an open transaction."""
        return bool(self._connection.get_transaction_status())

    async def execute(self, sql: str, timeout_ms: float) -> Reply:
        """Run a statement and return its reply, without any rows."""
        return await self._run_with_timeout(self._execute(sql), timeout_ms)

    async def fetch(
        self,
        count: int,
        timeout_ms: float,
    ) -> list[Row] | ServerError | Lost:
        """Return up to `count` further rows; an empty list after the last."""
        return await self._run_with_timeout(self._fetch(count), timeout_ms)

    async def query(
        self,
        sql: str,
        timeout_ms: float,
    ) -> result.Result[list[Row], ServerError | Lost]:
        """Run a statement and return all its rows, which should be few."""
        match await self.execute(sql, timeout_ms):
            case ResultSet():
                return await self._fetch_all(timeout_ms)
            case Ok():
                return result.Ok([])
            case failure:
                return result.Err(failure)

    def abort(self) -> None:
        """Close the socket; the server rolls back an open transaction."""
        self.healthy = False
        self._connection.close()

    async def _run_with_timeout(
        self,
        call: abc.Coroutine[None, None, Answer],
        timeout_ms: float,
    ) -> Answer | ServerError | Lost:
        try:
            async with asyncio.timeout(timeout_ms / _MS_PER_S):
                return await call
        except aiomysql.MySQLError as error:
            return self._to_server_error(error)
        except _CONNECTION_ERRORS as error:
            return self._abort_as_lost(error)
        except asyncio.CancelledError:
            self.abort()
            raise

    async def _fetch_all(
        self,
        timeout_ms: float,
    ) -> result.Result[list[Row], ServerError | Lost]:
        collected: list[Row] = []
        while True:
            rows = await self.fetch(100, timeout_ms)
            if not isinstance(rows, list):
                return result.Err(rows)
            if not rows:
                return result.Ok(collected)
            collected.extend(rows)

    async def _execute(self, sql: str) -> Reply:
        cursor = await self._connection.cursor(aiomysql.SSCursor)
        await cursor.execute(sql)
        if cursor.description:
            self._cursor = cursor
            return ResultSet(_columns(cursor))
        reply = self._to_ok(cursor)
        await cursor.close()
        return reply

    async def _fetch(self, count: int) -> list[Row]:
        if self._cursor is None:
            return []
        rows = await self._cursor.fetchmany(count)
        if not rows:
            cursor = self._cursor
            self._cursor = None
            await cursor.close()
        return rows

    def _to_ok(self, cursor: aiomysql.SSCursor) -> Ok:
        # aiomysql provides the text of the OK packet only in its result object.
        message = cursor._result.message or b''  # noqa: SLF001, WPS437
        found = _LOG_POSITION.search(message)
        return Ok(
            affected_rows=max(cursor.rowcount, 0),
            last_insert_id=cursor.lastrowid or 0,
            in_transaction=self.in_transaction,
            term=int(found.group(1)) if found else None,
            offset=int(found.group(2)) if found else None,
        )

    def _to_server_error(
        self, error: aiomysql.MySQLError
    ) -> ServerError | Lost:
        self._cursor = None
        code = error.args[0] if error.args else 0
        if (
            not isinstance(code, int)
            or code == 0
            or _is_client_error_code(code)
        ):
            return self._abort_as_lost(error)
        return ServerError(
            code=code,
            sqlstate=_sqlstate(code),
            message=str(error.args[-1]),
            in_transaction=self.in_transaction,
        )

    def _abort_as_lost(self, error: BaseException) -> Lost:
        self.abort()
        return Lost('{0}: {1}'.format(type(error).__name__, error))


async def connect(
    parameters: ConnectionParameters,
    timeout_ms: float,
) -> result.Result[BackendConnection, ConnectFailure]:
    """Open a connection to a backend server."""
    try:
        async with asyncio.timeout(timeout_ms / _MS_PER_S):
            connection = await aiomysql.connect(
                host=parameters.host,
                port=parameters.port,
                user=parameters.user,
                password=parameters.password,
                db=parameters.schema or None,
                charset='utf8mb4',
                conv={},
                autocommit=None,
            )
    except aiomysql.MySQLError as error:
        return result.Err(_to_connect_failure(error))
    except _CONNECTION_ERRORS as error:
        message = '{0}: {1}'.format(type(error).__name__, error)
        return result.Err(ConnectFailure(0, message))
    return result.Ok(BackendConnection(connection))


def _to_connect_failure(error: aiomysql.MySQLError) -> ConnectFailure:
    code = error.args[0] if error.args else 0
    if not isinstance(code, int) or _is_client_error_code(code):
        return ConnectFailure(0, str(error))
    return ConnectFailure(code, str(error.args[-1]))


def _is_client_error_code(code: int) -> bool:
    return 2000 <= code < 3000


def _columns(cursor: aiomysql.SSCursor) -> tuple[Column, ...]:
    fields = cursor._result.fields  # noqa: SLF001, WPS437
    return tuple(
        Column(
            name=field.name,
            type_code=field.type_code,
            binary=field.charsetnr == BINARY_CHARSET
            and field.type_code in _BINARY_TYPES,
        )
        for field in fields
    )


def _sqlstate(code: int) -> str:
    return _SQLSTATES.get(code, 'HY000')


_BINARY_TYPES = frozenset((15, 249, 250, 251, 252, 253, 254))

_SQLSTATES: typing.Mapping[int, str] = {
    1040: '08004',
    1045: '28000',
    1062: '23000',
    1064: '42000',
    1146: '42S02',
    1205: 'HY000',
    1213: '40001',
    1290: 'HY000',
}

_CONNECTION_ERRORS = (
    OSError,
    EOFError,
    TimeoutError,
    asyncio.IncompleteReadError,
    RuntimeError,
    AssertionError,
    AttributeError,
    IndexError,
    ValueError,
)
