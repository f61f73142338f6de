"""Connections to the databases."""

import asyncio
import collections
import socket
from collections import abc

import result

from celeryrelay.core import positions
from celeryrelay.gateway import catalog, commands
from celeryrelay.adapters import sockets
from celeryrelay.platform import line_protocol
from celeryrelay.sessions import statements

_ERROR_KINDS = {
    'BUSY': commands.ErrorKind.busy,
    'LAGGING': commands.ErrorKind.lagging,
    'READONLY': commands.ErrorKind.not_primary,
    'NOSTMT': commands.ErrorKind.unprepared,
}
_CONNECT_PROBLEMS = {
    'MAXCONN': commands.ConnectError.full,
    'MISROUTED': commands.ConnectError.other_server,
}
# Fields of a status row: role, term, position received, term held, lag in
# milliseconds, busy slots, connections.
_STATUS_FIELDS = 7


def format_command(command: commands.Command) -> bytes:
    """Return the line of a command."""
    request_id = line_protocol.OWN_ID
    match command:
        case commands.Run():
            request_id = command.request_id
            text = _after(command.bound) + _run_text(command)
        case commands.Begin(read_only):
            mode = ' READ' if read_only else ''
            text = '{0}BEGIN{1}'.format(_after(command.bound), mode)
        case _:
            text = _own_text(command)
    return 'QUERY {0} {1}\r\n'.format(request_id, text).encode(
        line_protocol.ENCODING
    )


def _own_text(command: commands.Command) -> str:
    match command:
        case commands.Rollback():
            text = 'ROLLBACK'
        case commands.Reset():
            text = 'RESET'
        case commands.SetVariable():
            text = 'SET {0} {1}'.format(command.name, command.value)
        case commands.Prepare():
            text = 'PREPARE {0} {1} {2}'.format(
                command.name,
                'WRITE' if command.template.writes else 'READ',
                command.template.shape,
            )
        case commands.AskStatus():
            text = 'STATUS'
        case commands.StepDown():
            text = 'STEPDOWN {0}'.format(command.term)
    return text


def _after(bound: positions.Position | None) -> str:
    if bound is None:
        return ''
    return 'AFTER {0} '.format(line_protocol.format_position(bound))


def _run_text(command: commands.Run) -> str:
    match command.statement:
        case statements.RunPrepared():
            return 'EXEC {0} {1}'.format(
                command.prepared_name,
                command.statement.arguments,
            )
        case statements.Run() | statements.Commit():
            return command.statement.text


class BackendConnection(asyncio.Protocol):
    """One connection; replies come in the order of the commands."""

    def __init__(self, group: str) -> None:
        """Prepare a connection to a database of `group`."""
        self.first_position: positions.Position | None = None
        self._group = group
        self._splitter = line_protocol.LineSplitter()
        self._transport: asyncio.Transport | None = None
        self._waiting: collections.deque[asyncio.Future] = collections.deque()
        self._lines: list[bytes] = []
        self._started = False
        self._closed_for = ''

    @property
    def closed(self) -> bool:
        """Whether the connection has ended."""
        return bool(self._closed_for)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        self._transport = transport

    def data_received(self, received: bytes) -> None:
        """Complete the replies whose last line has come."""
        match self._splitter.feed(received):
            case result.Ok(lines):
                for line in lines:
                    self._on_line(line)
            case result.Err(problem):
                self.close(problem)

    def connection_lost(self, error: Exception | None) -> None:
        """Answer all waiting commands."""
        self._end(str(error) if error else 'closed by the database')

    def start(
        self,
        server: catalog.Server,
        own_name: str,
    ) -> asyncio.Future:
        """Send the session start and return the future of its reply."""
        line = 'START {0} {1} {2}\r\n'.format(
            server.group,
            own_name,
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
        """End the connection; waiting commands are answered `Lost`."""
        if self._transport is not None:
            self._transport.abort()
        self._end(reason)

    def _write(self, lines: list[bytes]) -> list[asyncio.Future]:
        loop = asyncio.get_running_loop()
        futures = [loop.create_future() for _ in lines]
        if self.closed or self._transport is None:
            for future in futures:
                future.set_result(commands.Lost(self._closed_for))
            return futures
        self._waiting.extend(futures)
        self._transport.write(b''.join(lines))
        return futures

    def _on_line(self, line: bytes) -> None:
        self._lines.append(line)
        if line.startswith(b'READY'):
            self._complete(line.decode(line_protocol.ENCODING))
        elif line.startswith(b'ERR') and not self._started:
            # A refused session start has no further line.
            self._complete('READY I -')

    def _complete(self, ready: str) -> None:
        lines = self._lines
        self._lines = []
        if not self._waiting:
            self.close('reply without a command')
            return
        reply = parse_reply(lines, ready, self._group)
        if not self._started:
            self._started = True
            self.first_position = reply.position
        elif not lines[:-1]:
            self.close('reply without an end')
            return
        future = self._waiting.popleft()
        if not future.done():
            future.set_result(reply)

    def _end(self, reason: str) -> None:
        if self.closed:
            return
        self._closed_for = reason or 'closed'
        while self._waiting:
            future = self._waiting.popleft()
            if not future.done():
                future.set_result(commands.Lost(self._closed_for))


def parse_reply(lines: list[bytes], ready: str, group: str) -> commands.Reply:
    """Return the reply of a database.

    Args:
        lines: All lines of the reply.
        ready: The last one, with the state and the position.
        group: Database group, for the position.
    """
    _, _, rest = ready.partition(' ')
    state, _, position = rest.partition(' ')
    content = [line for line in lines if not line.startswith(b'READY')]
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


def _error_kind(last: str) -> commands.ErrorKind | None:
    word, _, rest = last.partition(' ')
    if word == 'DONE' or not word:
        return None
    code, _, _ = rest.partition(' ')
    return _ERROR_KINDS.get(code, commands.ErrorKind.ran)


class Connector:
    """Opens connections to databases."""

    def __init__(self, own_name: str) -> None:
        """Tell the databases that `own_name` connects."""
        self._own_name = own_name

    async def open(
        self,
        server: catalog.Server,
        timeout_s: float,
    ) -> result.Result[BackendConnection, commands.ConnectError]:
        """Connect to `server` and check that it is the one expected."""
        connection = BackendConnection(server.group)
        try:
            async with asyncio.timeout(timeout_s):
                await self._connect(server.address, connection)
                reply = await connection.start(server, self._own_name)
        except TimeoutError:
            connection.close('no answer to the session start')
            return result.Err(commands.ConnectError.silent)
        except OSError:
            return result.Err(commands.ConnectError.refused)
        match reply:
            case commands.Reply(error=None):
                return result.Ok(connection)
            case commands.Reply():
                connection.close('session start refused')
                return result.Err(_connect_problem(reply))
        return result.Err(commands.ConnectError.refused)

    def status(self, reply: commands.Reply) -> commands.Status | None:
        """Return the status in a reply to `AskStatus`, None if unreadable."""
        fields = reply.last_row.split(' ')
        if len(fields) < _STATUS_FIELDS or not fields[1].isdecimal():
            return None
        position = line_protocol.parse_position(fields[2], '')
        if position is None:
            return None
        return commands.Status(fields[0] == 'primary', int(fields[1]), position)

    async def _connect(
        self,
        address: str,
        connection: BackendConnection,
    ) -> None:
        host, _, port = address.rpartition(':')
        loop = asyncio.get_running_loop()
        transport, _ = await loop.create_connection(
            lambda: connection,
            host,
            int(port),
            family=socket.AF_INET,
        )
        sockets.detect_silence(transport)


def _connect_problem(reply: commands.Reply) -> commands.ConnectError:
    words = reply.payload.decode(line_protocol.ENCODING).split()
    code = words[1] if len(words) > 1 else ''
    return _CONNECT_PROBLEMS.get(code, commands.ConnectError.rejected)
