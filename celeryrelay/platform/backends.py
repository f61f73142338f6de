"""Connections to backend servers, which speak the line protocol."""

import asyncio
import collections
import socket
from collections import abc

import result

from celeryrelay.core import addresses, positions
from celeryrelay.gateway import catalog, commands
from celeryrelay.adapters import socket_options
from celeryrelay.platform import line_protocol
from celeryrelay.sessions import statements

_ERROR_KIND_BY_CODE = {
    'BUSY': commands.ErrorKind.busy,
    'LAGGING': commands.ErrorKind.lagging,
    'READONLY': commands.ErrorKind.not_primary,
    'NOSTMT': commands.ErrorKind.unprepared,
}
_CONNECT_ERROR_BY_CODE = {
    'MAXCONN': commands.ConnectError.full,
    'MISROUTED': commands.ConnectError.other_server,
}
# No transaction, an open one, a failed one.
_TRANSACTION_STATES = frozenset('ITE')
# Fields of a status row: role, newest term, log position received, term held,
# replication lag in milliseconds, busy slots, open connections.
_STATUS_FIELD_COUNT = 7


def format_command(command: commands.Command) -> bytes:
    """Return the request line for a command."""
    request_id = line_protocol.INTERNAL_REQUEST_ID
    match command:
        case commands.Run():
            request_id = command.request_id
            text = _after_clause(command.bound) + _statement_text(command)
        case commands.Begin(read_only):
            mode = ' READ' if read_only else ''
            text = '{0}BEGIN{1}'.format(_after_clause(command.bound), mode)
        case _:
            text = _internal_command_text(command)
    return 'QUERY {0} {1}\r\n'.format(request_id, text).encode(
        line_protocol.ENCODING
    )


def _internal_command_text(command: commands.Command) -> str:
    match command:
        case commands.Rollback():
            return 'ROLLBACK'
        case commands.Reset():
            return 'RESET'
        case commands.SetVariable():
            return 'SET {0} {1}'.format(command.name, command.value)
        case commands.Prepare():
            return 'PREPARE {0} {1} {2}'.format(
                command.name,
                'WRITE' if command.template.writes else 'READ',
                command.template.shape,
            )
    return _replication_command_text(command)


def _replication_command_text(command: commands.Command) -> str:
    match command:
        case commands.AskStatus():
            text = 'STATUS'
        case commands.StepDown(term):
            text = 'STEPDOWN {0}'.format(term)
        case commands.PauseReplication(term):
            text = 'PAUSE {0}'.format(term)
        case commands.ResumeReplication():
            text = 'RESUME'
    return text


def _after_clause(bound: positions.Position | None) -> str:
    if bound is None:
        return ''
    return 'AFTER {0} '.format(line_protocol.format_position(bound))


def _statement_text(command: commands.Run) -> str:
    match command.statement:
        case statements.RunPrepared():
            return 'EXEC {0} {1}'.format(
                command.prepared_name,
                command.statement.arguments,
            )
        case statements.Run() | statements.Commit():
            return command.statement.text


class BackendConnection(asyncio.Protocol):
    """A connection to a backend server.

    Commands are pipelined: the server replies to them in the order in which
    they were sent.
    """

    def __init__(self, group: str) -> None:
        """Create an unconnected protocol for a server of database `group`."""
        self.first_position: positions.Position | None = None
        self._group = group
        self._splitter = line_protocol.LineSplitter()
        self._transport: asyncio.Transport | None = None
        self._pending: collections.deque[asyncio.Future] = collections.deque()
        self._reply_lines: list[bytes] = []
        self._reply_bytes = 0
        self._session_started = False
        self._close_reason = ''

    @property
    def closed(self) -> bool:
        """Whether the connection has ended."""
        return bool(self._close_reason)

    @property
    def _has_result(self) -> bool:
        """Whether the reply is complete but for its READY line."""
        lines = self._reply_lines
        return bool(lines) and not lines[-1].startswith(b'ROW')

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport for later writes."""
        self._transport = transport

    def data_received(self, received: bytes) -> None:
        """Complete the commands whose replies have been received in full."""
        match self._splitter.feed(received):
            case result.Ok(lines):
                for line in lines:
                    self._on_line(line)
            case result.Err(problem):
                self.close(problem)

    def connection_lost(self, error: Exception | None) -> None:
        """Complete all pending commands with `Lost`."""
        self._mark_closed(
            str(error) if error else 'connection closed by the backend server'
        )

    def start_session(
        self,
        server: catalog.Server,
        caller: str,
    ) -> asyncio.Future:
        """Send the session start of `caller`; return a future for the reply."""
        line = 'START {0} {1} {2}\r\n'.format(
            server.group,
            caller,
            server.server_id,
        )
        return self._write([line.encode(line_protocol.ENCODING)])[0]

    def send(
        self,
        batch: abc.Sequence[commands.Command],
    ) -> list[asyncio.Future]:
        """Send commands in one write and return a future for each reply."""
        return self._write([format_command(command) for command in batch])

    def close(self, reason: str) -> None:
        """Abort the connection and complete pending commands with `Lost`."""
        if self._transport is not None:
            self._transport.abort()
        self._mark_closed(reason)

    def _write(self, lines: list[bytes]) -> list[asyncio.Future]:
        loop = asyncio.get_running_loop()
        futures = [loop.create_future() for _ in lines]
        if self.closed or self._transport is None:
            for future in futures:
                future.set_result(commands.Lost(self._close_reason))
            return futures
        self._pending.extend(futures)
        self._transport.write(b''.join(lines))
        return futures

    def _on_line(self, line: bytes) -> None:
        if self.closed:
            return
        if not self._pending:
            self.close('protocol error: line without a pending command')
            return
        keyword, _, _ = line.partition(b' ')
        match keyword:
            case b'READY' if self._has_result or not self._session_started:
                self._complete_reply(line.decode(line_protocol.ENCODING))
            case b'ERR' if not self._session_started:
                self._add_line(line)
                # The server sends no READY line after it refuses a session
                # start.
                self._complete_reply('READY I -')
            case b'ROW' | b'DONE' | b'ERR' if not self._has_result:
                self._add_line(line)
            case _:
                self.close('protocol error: unexpected line')

    def _add_line(self, line: bytes) -> None:
        self._reply_lines.append(line)
        self._reply_bytes += len(line) + len(line_protocol.LINE_END)
        if self._reply_bytes > commands.MAX_REPLY_BYTES:
            self.close(
                'reply longer than {0} bytes'.format(commands.MAX_REPLY_BYTES)
            )

    def _complete_reply(self, ready: str) -> None:
        lines = self._reply_lines
        self._reply_lines = []
        self._reply_bytes = 0
        reply = parse_reply(lines, ready, self._group)
        if reply is None:
            self.close('protocol error: READY line without a state')
            return
        if not self._session_started:
            self._session_started = True
            self.first_position = reply.position
        future = self._pending.popleft()
        if not future.done():
            future.set_result(reply)

    def _mark_closed(self, reason: str) -> None:
        if self.closed:
            return
        self._close_reason = reason or 'closed'
        while self._pending:
            future = self._pending.popleft()
            if not future.done():
                future.set_result(commands.Lost(self._close_reason))


def parse_reply(
    content: list[bytes], ready: str, group: str
) -> commands.Reply | None:
    """Parse the reply of a backend server; None if its state is invalid.

    Args:
        content: Lines of the reply before the READY line.
        ready: The READY line, which carries the transaction state and the log
            position.
        group: Database group to which the log position belongs.
    """
    _, _, rest = ready.partition(' ')
    state, _, position = rest.partition(' ')
    if state not in _TRANSACTION_STATES:
        return None
    last = content[-1].decode(line_protocol.ENCODING) if content else ''
    rows = [line for line in content if line.startswith(b'ROW ')]
    return commands.Reply(
        payload=b''.join(line + line_protocol.LINE_END for line in content),
        error=_error_kind(last),
        position=line_protocol.parse_position(position, group),
        in_transaction=state == 'T',
        failed_transaction=state == 'E',
        last_row=rows[-1][4:].decode(line_protocol.ENCODING) if rows else '',
    )


def _error_kind(last_line: str) -> commands.ErrorKind | None:
    keyword, _, rest = last_line.partition(' ')
    if keyword == 'DONE' or not keyword:
        return None
    code, _, _ = rest.partition(' ')
    return _ERROR_KIND_BY_CODE.get(code, commands.ErrorKind.ran)


class Connector:
    """Opens connections to backend servers."""

    def __init__(self, instance: str) -> None:
        """Identify this daemon to backend servers as `instance`."""
        self._instance = instance

    async def open(
        self,
        server: catalog.Server,
        timeout_s: float,
        account: str = '',
    ) -> result.Result[BackendConnection, commands.ConnectError]:
        """Connect to `server` and start a session.

        The session start names the server id, so that another server that
        answers at the same address refuses it.

        Args:
            server: The backend server.
            timeout_s: Time limit in seconds.
            account: Client account whose statements will run on the
                connection; empty to identify as this daemon.
        """
        caller = account or self._instance
        connection = BackendConnection(server.group)
        try:
            async with asyncio.timeout(timeout_s):
                await self._connect(server.address, connection)
                reply = await connection.start_session(server, caller)
        except TimeoutError:
            connection.close('no reply to the session start in time')
            return result.Err(commands.ConnectError.silent)
        except OSError:
            return result.Err(commands.ConnectError.refused)
        except asyncio.CancelledError:
            connection.close('opening the connection was cancelled')
            raise
        match reply:
            case commands.Reply(error=None):
                return result.Ok(connection)
            case commands.Reply():
                connection.close('session start refused by the backend server')
                return result.Err(_to_connect_error(reply))
        return result.Err(commands.ConnectError.refused)

    def status(self, reply: commands.Reply) -> commands.Status | None:
        """Parse the reply to `AskStatus`; None if it is malformed."""
        fields = reply.last_row.split(' ')
        if len(fields) < _STATUS_FIELD_COUNT:
            return None
        term = line_protocol.parse_term(fields[1])
        position = line_protocol.parse_position(fields[2], '')
        if term is None or position is None:
            return None
        return commands.Status(fields[0] == 'primary', term, position)

    async def _connect(
        self,
        address: str,
        connection: BackendConnection,
    ) -> None:
        loop = asyncio.get_running_loop()
        transport, _ = await loop.create_connection(
            lambda: connection,
            *addresses.parse(address),
            family=socket.AF_INET,
        )
        socket_options.set_tcp_options(transport)


def _to_connect_error(reply: commands.Reply) -> commands.ConnectError:
    words = reply.payload.decode(line_protocol.ENCODING).split()
    code = words[1] if len(words) > 1 else ''
    return _CONNECT_ERROR_BY_CODE.get(code, commands.ConnectError.rejected)
