"""Line protocol server of a stand-in database server."""

import asyncio
import contextlib
import functools
import itertools

from standins.linedb import group as groups

CONCURRENT_STATEMENTS = 3
ACKNOWLEDGEMENT_CHECK_S = 0.005
_CONNECTION_NUMBERS = itertools.count(1)


class StatementRefused(Exception):
    """Refusal of a statement; the message is the code of the ERR line."""


class _Connection:
    """One connection with its session state.

    The session state is that of the READY line: `I` for idle, `T` in a
    transaction, `E` in a failed transaction.
    """

    def __init__(
        self,
        server: groups.Server,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        self._server = server
        self._reader = reader
        self._writer = writer
        self._variables: dict[str, str] = {}
        self._prepared: dict[str, str] = {}
        self._state = 'I'
        self._daemon = ''
        self._number = next(_CONNECTION_NUMBERS)
        self._read_write = False
        self._writes: list[tuple[str, str, str]] = []

    async def run(self) -> None:
        if not await self._start_session():
            return
        while line := await self._read_line():
            keyword, _, rest = line.partition(' ')
            if keyword != 'QUERY':
                return
            request_id, _, text = rest.partition(' ')
            if not await self._run_query(request_id, text):
                return

    async def _read_line(self) -> str:
        raw = await self._reader.readline()
        faults = self._server.faults
        while faults.unresponsive or self._daemon in faults.ignored_daemons:
            await asyncio.sleep(0.02)
        return raw.decode('latin-1').rstrip('\r\n')

    async def _start_session(self) -> bool:
        server = self._server
        fields = (await self._read_line()).split(' ')
        self._daemon = fields[2] if len(fields) > 2 else ''
        if self._daemon in server.faults.ignored_daemons:
            await asyncio.Event().wait()
        if fields[:2] != ['START', server.group.name]:
            return self._refuse('MISROUTED')
        if len(fields) > 3 and fields[3] != server.server_id:
            return self._refuse('MISROUTED')
        if server.connections > server.group.max_connections:
            server.group.refused_connections += 1
            return self._refuse('MAXCONN')
        self._send_ready()
        return True

    def _refuse(self, code: str) -> bool:
        self._writer.write('ERR {0} refused\r\n'.format(code).encode())
        return False

    def _send_ready(self) -> None:
        term, number = self._server.position
        line = 'READY {0} {1}.{2}\r\n'.format(self._state, term, number)
        self._writer.write(line.encode('latin-1'))

    async def _run_query(self, request_id: str, text: str) -> bool:
        try:
            rows = await self._execute(request_id, text)
        except StatementRefused as error:
            if self._state == 'T' and str(error) != 'BUSY':
                self._state = 'E'
            self._writer.write('ERR {0} refused\r\n'.format(error).encode())
        else:
            if self._server.faults.lose_answers and request_id != '-':
                return False
            proof = '-' if request_id == '-' else self._server.group.new_proof()
            lines = ['ROW {0}\r\n'.format(row) for row in rows]
            lines.append('DONE {0}\r\n'.format(proof))
            self._writer.write(''.join(lines).encode('latin-1'))
        self._send_ready()
        return True

    async def _execute(self, request_id: str, text: str) -> list[str]:
        keyword, _, rest = text.partition(' ')
        if keyword == 'AFTER':
            position, _, text = rest.partition(' ')
            keyword, _, rest = text.partition(' ')
            term, _, number = position.partition('.')
            if self._server.position < (int(term), int(number)):
                raise StatementRefused('LAGGING')
        if self._state == 'E' and keyword != 'ROLLBACK':
            raise StatementRefused('MALFORMED')
        if keyword in {'READ', 'WRITE', 'EXEC', 'COMMIT'}:
            return await self._execute_data_statement(
                request_id, keyword, rest, text
            )
        if keyword == 'STEPDOWN':
            self._step_down(int(rest))
        if keyword == 'PAUSE':
            self._server.is_paused = int(rest) > self._server.term
        if keyword == 'RESUME':
            self._server.group.resume(self._server)
        if keyword in {'STATUS', 'STEPDOWN', 'PAUSE', 'RESUME'}:
            return [self._status_row()]
        self._change_session(keyword, rest)
        return []

    def _change_session(self, keyword: str, rest: str) -> None:
        name, _, setting = rest.partition(' ')
        match keyword:
            case 'BEGIN':
                self._begin(rest)
            case 'ROLLBACK':
                self._end_transaction()
            case 'SET':
                self._variables[name] = setting
            case 'PREPARE':
                self._prepared[name] = setting
            case 'RESET':
                self._variables.clear()
                self._prepared.clear()
            case _:
                raise StatementRefused('MALFORMED')

    def _begin(self, mode: str) -> None:
        if not mode and not self._server.is_primary:
            raise StatementRefused('READONLY')
        self._state = 'T'
        self._read_write = not mode

    def _end_transaction(self) -> None:
        self._state = 'I'
        self._writes = []

    def _step_down(self, term: int) -> None:
        if self._server.is_primary and term > self._server.term:
            self._server.group.step_down(self._server)

    def _status_row(self) -> str:
        server = self._server
        term, number = server.position
        return '{0} {1} {2}.{3} 0 0 0 {4}'.format(
            'primary' if server.is_primary else 'replica',
            server.term,
            term,
            number,
            server.connections,
        )

    async def _execute_data_statement(
        self,
        request_id: str,
        keyword: str,
        rest: str,
        text: str,
    ) -> list[str]:
        server = self._server
        if server.faults.busy:
            raise StatementRefused('BUSY')
        if keyword == 'EXEC':
            name, _, rest = rest.partition(' ')
            if name not in self._prepared:
                raise StatementRefused('NOSTMT')
            keyword, _, _ = self._prepared[name].partition(' ')
        self._check_role(keyword)
        await asyncio.sleep(server.faults.execution_s)
        # The server may have stepped down meanwhile.
        self._check_role(keyword)
        server.group.executed.append(
            groups.ExecutedStatement(
                server.server_id,
                request_id,
                text,
                dict(self._variables),
                self._state == 'T',
                self._daemon,
                self._number,
                frozenset(self._prepared),
            ),
        )
        return await self._apply_data_statement(request_id, keyword, rest)

    def _check_role(self, keyword: str) -> None:
        commits_nothing = keyword == 'COMMIT' and not self._writes
        may_write = self._server.is_primary or commits_nothing
        if not may_write and (
            keyword == 'WRITE' or self._in_read_write_transaction()
        ):
            raise StatementRefused('READONLY')

    def _in_read_write_transaction(self) -> bool:
        return self._state == 'T' and self._read_write

    async def _apply_data_statement(
        self, request_id: str, keyword: str, rest: str
    ) -> list[str]:
        key, _, content = rest.partition(' ')
        if keyword == 'READ':
            return [self._server.read(key)]
        if keyword == 'WRITE':
            self._writes.append((key, content, request_id))
        if keyword == 'COMMIT' or self._state == 'I':
            if self._writes:
                await self._commit()
            self._end_transaction()
        return []

    async def _commit(self) -> None:
        group = self._server.group
        position = group.commit(self._writes, self._server)
        while not group.is_acknowledged(position):
            if group.primary is not self._server:
                raise ConnectionError('replaced before the commit was received')
            await asyncio.sleep(ACKNOWLEDGEMENT_CHECK_S)


async def _handle(
    server: groups.Server,
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
) -> None:
    server.connections += 1
    try:
        # The event loop cancels this task when the stand-in stops.
        with contextlib.suppress(ConnectionError, asyncio.CancelledError):
            await _Connection(server, reader, writer).run()
    finally:
        server.connections -= 1
        writer.close()


async def serve(server: groups.Server) -> asyncio.Server:
    """Listen for `server` on a free port of 127.0.0.1."""
    listener = await asyncio.start_server(
        functools.partial(_handle, server),
        '127.0.0.1',
        0,
    )
    host, port = listener.sockets[0].getsockname()
    server.address = f'{host}:{port}'
    return listener
