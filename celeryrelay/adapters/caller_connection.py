"""A connection of a caller in the MySQL protocol, based on mysql-mimic.

The query handling of mysql-mimic parses each statement and sends OK packets
without row counts, so the connection class replaces it.
"""

import dataclasses
import struct
import typing
from collections import abc

from mysql_mimic import connection as mimic_connection
from mysql_mimic import errors as mimic_errors
from mysql_mimic import packets, results, types
from mysql_mimic import session as mimic_session
from mysql_mimic import stream as mimic_stream

from celeryrelay.adapters import caller_rows
from celeryrelay.core import outcomes, peer_messages

COM_QUIT = b'\x01'
COM_INIT_DB = b'\x02'
COM_QUERY = b'\x03'
COM_PING = b'\x0e'

CommandHandler = abc.Callable[[bytes], abc.Awaitable[bool]]


@dataclasses.dataclass(frozen=True, slots=True)
class CloseConnection:
    """Last part of an answer: close the connection without sending it."""

    message: str


ResultPart = (
    peer_messages.ResultHeader | peer_messages.RowBatch | outcomes.Outcome
)
AnswerPart = ResultPart | CloseConnection


class CallerSession(typing.Protocol):
    """The session behind a caller connection, which runs its statements."""

    @property
    def in_transaction(self) -> bool:
        """Return whether a transaction is open."""

    @property
    def finished(self) -> bool:
        """Return whether the connection has to be closed."""

    def open(
        self,
        user: str,
        schema: str,
        attributes: abc.Mapping[str, str],
    ) -> outcomes.Outcome:
        """Open the session after the handshake."""

    def run(
        self,
        sql: str,
        attributes: abc.Mapping[str, str],
    ) -> abc.AsyncGenerator[AnswerPart, None]:
        """Run a statement and yield the parts of its answer."""

    async def close(self) -> None:
        """Close the session and roll back its transaction."""


class SessionProvider(typing.Protocol):
    """Creates sessions and provides password digests."""

    def session(self, connection_id: int) -> CallerSession:
        """Create the session for a new connection."""

    def password_digest(self, user: str) -> str | None:
        """Return the SHA-256 hex digest, '' for none, None if unknown."""


class _SessionVariables:
    """The session variables that mysql-mimic reads."""

    def __init__(self) -> None:
        self._values = {
            'version': '8.0.36-celeryrelay',
            'character_set_results': 'utf8mb4',
            'character_set_client': 'utf8mb4',
        }

    def get(self, name: str) -> str | None:
        return self._values.get(name)

    def set(self, name: str, text: str, force: bool = False) -> None:
        self._values[name] = text


class SessionState(mimic_session.BaseSession):
    """Session state that mysql-mimic expects per connection."""

    def __init__(self) -> None:
        """Start without user and schema."""
        self.variables = _SessionVariables()  # type: ignore[assignment]
        self.username = None
        self.database = None

    async def use(self, database: str) -> None:
        """Select the schema."""
        self.database = database


class CallerConnection(mimic_connection.Connection):
    """A caller connection, whose statements a `CallerSession` runs."""

    def attach_session(self, caller_session: CallerSession) -> None:
        """Set the session that runs the statements."""
        self._caller_session = caller_session
        self._command_handlers: abc.Mapping[bytes, CommandHandler] = {
            COM_INIT_DB: self._run_init_db,
            COM_QUERY: self._run_query,
            COM_PING: self._run_ping,
        }

    async def command_phase(self) -> None:
        """Serve commands until the connection has to be closed."""
        opened = self._caller_session.open(
            self.session.username or '',
            self.session.database or '',
            self.client_connect_attrs,
        )
        if not isinstance(opened, outcomes.Done):
            await self._write_outcome(opened)
            return
        while not self._caller_session.finished:
            try:
                command = await self.stream.read()
            except mimic_stream.ConnectionClosed:
                return
            except mimic_errors.MysqlError as error:
                await self._write_error(int(error.code), '08S01', error.msg)
                return
            if not await self._run_command(command):
                return
            self.stream.reset_seq()

    async def _run_command(self, command: bytes) -> bool:
        """Run a command; return whether the connection stays open."""
        if command[:1] == COM_QUIT:
            return False
        run = self._command_handlers.get(command[:1], self._run_unsupported)
        return await run(command[1:])

    async def _run_ping(self, _: bytes) -> bool:
        await self.stream.write(self.ok())
        return True

    async def _run_unsupported(self, _: bytes) -> bool:
        # These include prepared statements, since mysql-mimic inserts their
        # parameters into the statement text without escaping quotes.
        await self._write_error(
            outcomes.ERROR_UNSUPPORTED,
            outcomes.SQLSTATES[outcomes.ERROR_UNSUPPORTED],
            'command is not supported',
        )
        return True

    async def _run_init_db(self, body: bytes) -> bool:
        schema = body.decode('utf-8', 'replace')
        return await self._run_statement('USE `{0}`'.format(schema), {})

    async def _run_query(self, body: bytes) -> bool:
        try:
            query = packets.parse_com_query(
                capabilities=self.capabilities,
                client_charset=self.client_charset,
                data=body,
            )
        except (ValueError, IndexError, mimic_errors.MysqlError):
            return await self._write_decode_error()
        return await self._run_statement(query.sql, query.query_attrs)

    async def _write_decode_error(self) -> bool:
        await self._write_error(1064, '42000', 'statement cannot be decoded')
        return True

    async def _run_statement(
        self,
        sql: str,
        attributes: abc.Mapping[str, str],
    ) -> bool:
        parts = self._caller_session.run(sql, attributes)
        columns: tuple[results.ResultColumn, ...] = ()
        try:
            async for part in parts:
                if isinstance(part, CloseConnection):
                    return False
                if isinstance(part, peer_messages.ResultHeader):
                    columns = tuple(map(caller_rows.column, part.columns))
                await self._write_part(part, columns)
        finally:
            await parts.aclose()
        return True

    async def _write_part(
        self,
        part: ResultPart,
        columns: abc.Sequence[results.ResultColumn],
    ) -> None:
        match part:
            case peer_messages.ResultHeader():
                await self._write_header(columns)
            case peer_messages.RowBatch():
                await self._write_rows(part, columns)
            case outcomes.Done() if columns:
                await self._write_end(part)
            case _:
                await self._write_outcome(part)

    async def _write_header(
        self,
        columns: abc.Sequence[results.ResultColumn],
    ) -> None:
        await self.stream.write(types.uint_len(len(columns)), drain=False)
        for column in columns:
            definition = packets.make_column_definition_41(
                server_charset=self.server_charset,
                name=column.name,
                column_type=column.type,
                character_set=column.character_set,
            )
            await self.stream.write(definition, drain=False)
        if not self.deprecate_eof():
            await self.stream.write(self.eof(), drain=False)

    async def _write_rows(
        self,
        batch: peer_messages.RowBatch,
        columns: abc.Sequence[results.ResultColumn],
    ) -> None:
        for row in batch.rows:
            packet = caller_rows.text_row(row, columns)
            await self.stream.write(packet, drain=False)
        await self.stream.drain()

    async def _write_end(self, done: outcomes.Done) -> None:
        self._set_status(done.in_transaction)
        await self.stream.write(self.ok_or_eof())

    async def _write_outcome(self, outcome: outcomes.Outcome) -> None:
        match outcome:
            case outcomes.Done():
                self._set_status(outcome.in_transaction)
                packet = self.ok(
                    affected_rows=outcome.affected_rows,
                    last_insert_id=outcome.last_insert_id,
                )
                await self.stream.write(packet)
            case outcomes.Failed():
                self._set_status(outcome.in_transaction)
                await self._write_error(
                    outcome.code,
                    outcome.sqlstate,
                    outcome.message,
                )
            case outcomes.NotRun():
                self._set_status(self._caller_session.in_transaction)
                await self._write_error(
                    outcome.code,
                    outcomes.SQLSTATES[outcome.code],
                    outcome.message,
                )
            case outcomes.OutcomeUnknown():
                self._set_status(self._caller_session.in_transaction)
                code = outcomes.ERROR_OUTCOME_UNKNOWN
                state = outcomes.SQLSTATES[code]
                await self._write_error(code, state, outcome.message)

    def _set_status(self, in_transaction: bool) -> None:
        self.status_flags = types.ServerStatus.SERVER_STATUS_AUTOCOMMIT
        if in_transaction:
            self.status_flags = types.ServerStatus.SERVER_STATUS_IN_TRANS

    async def _write_error(self, code: int, state: str, message: str) -> None:
        packet = b''.join(
            (
                b'\xff',
                struct.pack('<H', code),
                b'#',
                state.encode('ascii'),
                message.encode(),
            )
        )
        await self.stream.write(packet)
