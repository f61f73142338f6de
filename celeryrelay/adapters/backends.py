"""Connections to backend servers, on aiomysql.

All faults come back as values: a connection whose state is unknown reports
`Lost` and has to be closed by its owner.
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
_OK_INFO = re.compile(rb'term=(\d+);offset=(\d+)')
_MS_PER_S = 1000


@dataclasses.dataclass(frozen=True, slots=True)
class ConnectionParameters:
    """Where and as whom to connect.

    Attributes:
        host: IP number of the backend server.
        port: Its TCP port.
        user: MySQL user name.
        password: That user's password.
        schema: Default schema; may be empty.
    """

    host: str
    port: int
    user: str
    password: str = dataclasses.field(repr=False)
    schema: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class Column:
    """A result column; `binary` values are bytes, others are text."""

    name: str
    type_code: int
    binary: bool


@dataclasses.dataclass(frozen=True, slots=True)
class ResultSet:
    """The statement returns rows, to be read with `fetch`."""

    columns: tuple[Column, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Ok:
    """The statement ran; term and offset are set after a committed write."""

    affected_rows: int
    last_insert_id: int
    in_transaction: bool
    term: int | None = None
    offset: int | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class ServerError:
    """The backend server refused the statement."""

    code: int
    sqlstate: str
    message: str
    in_transaction: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Lost:
    """The connection broke or went silent; its state is unknown."""

    message: str


@dataclasses.dataclass(frozen=True, slots=True)
class ConnectFailure:
    """No connection could be made.

    Attributes:
        code: Server's error code; 0 if the server did not answer.
        message: What went wrong.
    """

    code: int
    message: str


Row = tuple[str | bytes | None, ...]
Answer = typing.TypeVar('Answer')
Reply = ResultSet | Ok | ServerError | Lost


class BackendConnection:
    """One connection to one backend server; not safe for concurrent use.

    Attributes:
        term: Term set on the connection, 0 if none.
        healthy: Whether the connection's state is known.
        last_used: Monotonic time of the last reply, in seconds.
    """

    def __init__(self, raw: aiomysql.Connection) -> None:
        """Wrap an open aiomysql connection."""
        self.term = 0
        self.healthy = True
        self.last_used = float(0)
        self._raw = raw
        self._cursor: aiomysql.SSCursor | None = None

    @property
    def closed_by_server(self) -> bool:
        """Return whether the server has closed the idle connection."""
        # The library has no public way to see the end of its input.
        reader = self._raw._reader  # noqa: SLF001, WPS437
        return reader is None or reader.at_eof()

    @property
    def in_transaction(self) -> bool:
        """Return whether the server reported an open transaction."""
        return bool(self._raw.get_transaction_status())

    async def execute(self, sql: str, timeout_ms: float) -> Reply:
        """Run one statement and return the first part of its reply."""
        return await self._guarded(self._execute(sql), timeout_ms)

    async def fetch(
        self,
        count: int,
        timeout_ms: float,
    ) -> list[Row] | ServerError | Lost:
        """Return up to `count` further rows; an empty list ends the result."""
        return await self._guarded(self._fetch(count), timeout_ms)

    async def query(
        self,
        sql: str,
        timeout_ms: float,
    ) -> result.Result[list[Row], ServerError | Lost]:
        """Run a statement that returns few rows and return all of them."""
        match await self.execute(sql, timeout_ms):
            case ResultSet():
                return await self._read_all(timeout_ms)
            case Ok():
                return result.Ok([])
            case failure:
                return result.Err(failure)

    def abort(self) -> None:
        """Close the socket at once; the server rolls back."""
        self.healthy = False
        self._raw.close()

    async def _guarded(
        self,
        operation: abc.Coroutine[None, None, Answer],
        timeout_ms: float,
    ) -> Answer | ServerError | Lost:
        try:
            async with asyncio.timeout(timeout_ms / _MS_PER_S):
                return await operation
        except aiomysql.MySQLError as error:
            return self._server_error(error)
        except _CONNECTION_FAULTS as error:
            return self._lost(error)
        except asyncio.CancelledError:
            self.abort()
            raise

    async def _read_all(
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
        cursor = await self._raw.cursor(aiomysql.SSCursor)
        await cursor.execute(sql)
        if cursor.description:
            self._cursor = cursor
            return ResultSet(_columns(cursor))
        reply = self._ok(cursor)
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

    def _ok(self, cursor: aiomysql.SSCursor) -> Ok:
        # The library offers the OK packet's text only on its result object.
        message = cursor._result.message or b''  # noqa: SLF001, WPS437
        found = _OK_INFO.search(message)
        return Ok(
            affected_rows=max(cursor.rowcount, 0),
            last_insert_id=cursor.lastrowid or 0,
            in_transaction=self.in_transaction,
            term=int(found.group(1)) if found else None,
            offset=int(found.group(2)) if found else None,
        )

    def _server_error(self, error: aiomysql.MySQLError) -> ServerError | Lost:
        self._cursor = None
        code = error.args[0] if error.args else 0
        if not isinstance(code, int) or code == 0 or _is_client_code(code):
            return self._lost(error)
        return ServerError(
            code=code,
            sqlstate=_sqlstate(code),
            message=str(error.args[-1]),
            in_transaction=self.in_transaction,
        )

    def _lost(self, error: BaseException) -> Lost:
        self.abort()
        return Lost('{0}: {1}'.format(type(error).__name__, error))


async def connect(
    address: ConnectionParameters,
    timeout_ms: float,
) -> result.Result[BackendConnection, ConnectFailure]:
    """Open a connection to a backend server."""
    try:
        async with asyncio.timeout(timeout_ms / _MS_PER_S):
            raw = await aiomysql.connect(
                host=address.host,
                port=address.port,
                user=address.user,
                password=address.password,
                db=address.schema or None,
                charset='utf8mb4',
                conv={},
                autocommit=None,
            )
    except aiomysql.MySQLError as error:
        return result.Err(_connect_failure(error))
    except _CONNECTION_FAULTS as error:
        message = '{0}: {1}'.format(type(error).__name__, error)
        return result.Err(ConnectFailure(0, message))
    return result.Ok(BackendConnection(raw))


def _connect_failure(error: aiomysql.MySQLError) -> ConnectFailure:
    code = error.args[0] if error.args else 0
    if not isinstance(code, int) or _is_client_code(code):
        return ConnectFailure(0, str(error))
    return ConnectFailure(code, str(error.args[-1]))


def _is_client_code(code: int) -> bool:
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

_CONNECTION_FAULTS = (
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
