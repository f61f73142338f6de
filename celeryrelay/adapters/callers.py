"""MySQL server for callers, on mysql-mimic.

The library's own query handling parses each statement and answers OK packets
without row counts, so the connection class overrides both.
"""

import asyncio
import dataclasses
import socket
import ssl
import struct
import typing
from collections import abc

from mysql_mimic import connection as mimic_connection
from mysql_mimic import control as mimic_control
from mysql_mimic import errors as mimic_errors
from mysql_mimic import packets, results, types
from mysql_mimic import session as mimic_session
from mysql_mimic import stream as mimic_stream

from celeryrelay.adapters import caller_auth, caller_rows, caller_stream
from celeryrelay.conf import settings
from celeryrelay.core import outcomes, peer_messages

KEEPALIVE_IDLE_S = 30
KEEPALIVE_INTERVAL_S = 10
KEEPALIVE_PROBES = 3
LISTEN_BACKLOG = 1024
_MS_PER_S = 1000

COM_QUIT = b'\x01'
COM_INIT_DB = b'\x02'
COM_QUERY = b'\x03'
COM_PING = b'\x0e'

CommandHandler = abc.Callable[[bytes], abc.Awaitable[bool]]


@dataclasses.dataclass(frozen=True, slots=True)
class CloseConnection:
    """The answer must not be sent; the caller's connection is closed."""

    message: str


Part = peer_messages.ResultHeader | peer_messages.RowBatch | outcomes.Outcome
AnswerPart = Part | CloseConnection


class CallerSession(typing.Protocol):
    """Decisions for one caller connection."""

    @property
    def in_transaction(self) -> bool:
        """Return whether a transaction is open."""

    @property
    def finished(self) -> bool:
        """Return whether the connection is to be closed."""

    def open(
        self,
        user: str,
        schema: str,
        attributes: abc.Mapping[str, str],
    ) -> outcomes.Outcome:
        """Begin the session after the handshake."""

    def run(
        self,
        sql: str,
        attributes: abc.Mapping[str, str],
    ) -> abc.AsyncGenerator[AnswerPart, None]:
        """Run a statement and yield the parts of its answer."""

    async def close(self) -> None:
        """End the session and roll back its transaction."""


class Gate(typing.Protocol):
    """Opens sessions and knows callers' passwords."""

    def session(self, connection_id: int) -> CallerSession:
        """Return the session of a new connection."""

    def password_digest(self, user: str) -> str | None:
        """Return the SHA-256 hex digest, '' for none, None if unknown."""


class _Variables:
    """The few session variables that the library reads."""

    def __init__(self) -> None:
        self._named = {
            'version': '8.0.36-celeryrelay',
            'character_set_results': 'utf8mb4',
            'character_set_client': 'utf8mb4',
        }

    def get(self, name: str) -> str | None:
        return self._named.get(name)

    def set(self, name: str, text: str, force: bool = False) -> None:
        self._named[name] = text


class _Session(mimic_session.BaseSession):
    """Holds what the library keeps per connection."""

    def __init__(self) -> None:
        self.variables = _Variables()  # type: ignore[assignment]
        self.username = None
        self.database = None

    async def use(self, database: str) -> None:
        self.database = database


class _Connection(mimic_connection.Connection):
    """Answers commands from a caller session."""

    def attach(self, caller: CallerSession) -> None:
        self._caller = caller
        self._commands: abc.Mapping[bytes, CommandHandler] = {
            COM_INIT_DB: self._use,
            COM_QUERY: self._query,
            COM_PING: self._ping,
        }

    async def command_phase(self) -> None:
        opened = self._caller.open(
            self.session.username or '',
            self.session.database or '',
            self.client_connect_attrs,
        )
        if not isinstance(opened, outcomes.Done):
            await self._write_outcome(opened)
            return
        while not self._caller.finished:
            try:
                command = await self.stream.read()
            except mimic_stream.ConnectionClosed:
                return
            except mimic_errors.MysqlError as error:
                await self._write_error(int(error.code), '08S01', error.msg)
                return
            if not await self._command(command):
                return
            self.stream.reset_seq()

    async def _command(self, command: bytes) -> bool:
        """Run one command; return whether the connection goes on."""
        if command[:1] == COM_QUIT:
            return False
        run = self._commands.get(command[:1], self._unsupported)
        return await run(command[1:])

    async def _ping(self, _: bytes) -> bool:
        await self.stream.write(self.ok())
        return True

    async def _unsupported(self, _: bytes) -> bool:
        # Prepared statements are among these: the library puts parameters
        # into the statement text without escaping quotes.
        await self._write_error(
            outcomes.ERROR_UNSUPPORTED,
            outcomes.SQLSTATES[outcomes.ERROR_UNSUPPORTED],
            'command is not supported',
        )
        return True

    async def _use(self, body: bytes) -> bool:
        schema = body.decode('utf-8', 'replace')
        return await self._answer('USE `{0}`'.format(schema), {})

    async def _query(self, body: bytes) -> bool:
        try:
            query = packets.parse_com_query(
                capabilities=self.capabilities,
                client_charset=self.client_charset,
                data=body,
            )
        except (ValueError, IndexError, mimic_errors.MysqlError):
            return await self._undecodable()
        return await self._answer(query.sql, query.query_attrs)

    async def _undecodable(self) -> bool:
        await self._write_error(1064, '42000', 'statement cannot be decoded')
        return True

    async def _answer(
        self,
        sql: str,
        attributes: abc.Mapping[str, str],
    ) -> bool:
        parts = self._caller.run(sql, attributes)
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
        part: Part,
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
                self._set_status(self._caller.in_transaction)
                await self._write_error(
                    outcome.code,
                    outcomes.SQLSTATES[outcome.code],
                    outcome.message,
                )
            case outcomes.OutcomeUnknown():
                self._set_status(self._caller.in_transaction)
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


class CallerServer:
    """Accepts callers' connections."""

    def __init__(
        self,
        gate: Gate,
        options: settings.StatementSettings,
        tls: ssl.SSLContext | None = None,
    ) -> None:
        """Serve sessions of `gate`."""
        self._gate = gate
        self._options = options
        self._tls = tls
        self._identity = caller_auth.IdentityProvider(gate)
        self._control = mimic_control.LocalControl()
        self._server: asyncio.Server | None = None
        self._open: set[asyncio.StreamWriter] = set()

    @property
    def connections(self) -> int:
        """Return the number of open connections."""
        return len(self._open)

    async def start(self, host: str, port: int) -> int:
        """Listen and return the port.

        Raises:
            OSError: The address can't be listened on.
        """
        self._server = await asyncio.start_server(
            self._accept,
            host,
            port,
            backlog=LISTEN_BACKLOG,
        )
        return self._server.sockets[0].getsockname()[1]

    def stop_listening(self) -> None:
        """Accept no further connections."""
        if self._server is not None:
            self._server.close()

    def close_all(self) -> None:
        """Close all open connections."""
        for writer in tuple(self._open):
            writer.close()

    async def _accept(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        _enable_keepalive(writer)
        self._open.add(writer)
        connection = _Connection(
            stream=caller_stream.PacketStream(
                reader,
                writer,
                self._options.max_packet_bytes,
                self._options.progress_timeout_ms / _MS_PER_S,
            ),
            session=_Session(),
            control=self._control,
            identity_provider=self._identity,
            ssl=self._tls,
        )
        connection.connection_id = await self._control.add(connection)
        caller = self._gate.session(connection.connection_id)
        connection.attach(caller)
        try:
            await connection.start()
        except _CALLER_FAULTS:
            # A caller that breaks the handshake or the connection ends only
            # its own session.
            writer.close()
        finally:
            await self._forget(connection, caller)

    async def _forget(
        self,
        connection: _Connection,
        caller: CallerSession,
    ) -> None:
        writer = connection.stream.writer
        self._open.discard(writer)
        writer.close()
        await self._control.remove(connection.connection_id)
        await caller.close()


def _enable_keepalive(writer: asyncio.StreamWriter) -> None:
    sock = writer.get_extra_info('socket')
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    tcp = socket.IPPROTO_TCP
    sock.setsockopt(tcp, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    sock.setsockopt(tcp, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    sock.setsockopt(tcp, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)


_CALLER_FAULTS = (
    OSError,
    EOFError,
    ValueError,
    IndexError,
    AssertionError,
    struct.error,
    mimic_stream.ConnectionClosed,
    mimic_errors.MysqlError,
)
