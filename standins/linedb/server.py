"""Line protocol of one stand-in server."""

import asyncio
import contextlib
import functools

from standins.linedb import group as groups

SLOTS = 3


class Refused(Exception):
    """An error line of the protocol."""


class _Connection:
    """One connection with its session state."""

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
        self._caller = ''
        self._plain = False
        self._writes: list[tuple[str, str, str]] = []

    async def run(self) -> None:
        if not await self._start():
            return
        while line := await self._line():
            word, _, rest = line.partition(' ')
            if word != 'QUERY':
                return
            request_id, _, text = rest.partition(' ')
            if not await self._answer(request_id, text):
                return

    async def _line(self) -> str:
        raw = await self._reader.readline()
        faults = self._server.faults
        while faults.unresponsive or self._caller in faults.ignored_daemons:
            await asyncio.sleep(0.02)
        return raw.decode('latin-1').rstrip('\r\n')

    async def _start(self) -> bool:
        server = self._server
        fields = (await self._line()).split(' ')
        self._caller = fields[2] if len(fields) > 2 else ''
        if self._caller in server.faults.ignored_daemons:
            await asyncio.Event().wait()
        if fields[:2] != ['START', server.group.name]:
            return self._refuse('MISROUTED')
        if len(fields) > 3 and fields[3] != server.server_id:
            return self._refuse('MISROUTED')
        if server.connections > server.group.max_connections:
            server.group.refused_connections += 1
            return self._refuse('MAXCONN')
        self._ready()
        return True

    def _refuse(self, code: str) -> bool:
        self._writer.write('ERR {0} refused\r\n'.format(code).encode())
        return False

    def _ready(self) -> None:
        term, number = self._server.position
        line = 'READY {0} {1}.{2}\r\n'.format(self._state, term, number)
        self._writer.write(line.encode('latin-1'))

    async def _answer(self, request_id: str, text: str) -> bool:
        try:
            rows = await self._execute(request_id, text)
        except Refused as error:
            if self._state == 'T' and str(error) != 'BUSY':
                self._state = 'E'
            self._writer.write('ERR {0} refused\r\n'.format(error).encode())
        else:
            if self._server.faults.lose_answers and request_id != '-':
                return False
            end = '-' if request_id == '-' else self._server.group.new_proof()
            lines = ['ROW {0}\r\n'.format(row) for row in rows]
            lines.append('DONE {0}\r\n'.format(end))
            self._writer.write(''.join(lines).encode('latin-1'))
        self._ready()
        return True

    async def _execute(self, request_id: str, text: str) -> list[str]:
        word, _, rest = text.partition(' ')
        if word == 'AFTER':
            position, _, text = rest.partition(' ')
            word, _, rest = text.partition(' ')
            term, _, number = position.partition('.')
            if self._server.position < (int(term), int(number)):
                raise Refused('LAGGING')
        if self._state == 'E' and word != 'ROLLBACK':
            raise Refused('MALFORMED')
        if word in {'READ', 'WRITE', 'EXEC', 'COMMIT'}:
            return await self._work(request_id, word, rest, text)
        if word == 'STEPDOWN':
            self._step_down(int(rest))
        if word in {'STATUS', 'STEPDOWN'}:
            return [self._status()]
        self._change_session(word, rest)
        return []

    def _change_session(self, word: str, rest: str) -> None:
        name, _, setting = rest.partition(' ')
        match word:
            case 'BEGIN':
                self._begin(rest)
            case 'ROLLBACK':
                self._end()
            case 'SET':
                self._variables[name] = setting
            case 'PREPARE':
                self._prepared[name] = setting
            case 'RESET':
                self._variables.clear()
                self._prepared.clear()
            case _:
                raise Refused('MALFORMED')

    def _begin(self, mode: str) -> None:
        if not mode and not self._server.is_primary:
            raise Refused('READONLY')
        self._state = 'T'
        self._plain = not mode

    def _end(self) -> None:
        self._state = 'I'
        self._writes = []

    def _step_down(self, term: int) -> None:
        group = self._server.group
        if self._server.is_primary and term > group.term:
            group.primary = None
            group.changed.set()

    def _status(self) -> str:
        server = self._server
        term, number = server.position
        return '{0} {1} {2}.{3} 0 0 0 {4}'.format(
            'primary' if server.is_primary else 'replica',
            server.group.term,
            term,
            number,
            server.connections,
        )

    async def _work(
        self,
        request_id: str,
        word: str,
        rest: str,
        text: str,
    ) -> list[str]:
        server = self._server
        if server.faults.busy:
            raise Refused('BUSY')
        if word == 'EXEC':
            name, _, rest = rest.partition(' ')
            if name not in self._prepared:
                raise Refused('NOSTMT')
            word, _, _ = self._prepared[name].partition(' ')
        commits_nothing = word == 'COMMIT' and not self._writes
        leads = server.is_primary or commits_nothing
        if not leads and (word == 'WRITE' or self._in_plain()):
            raise Refused('READONLY')
        await asyncio.sleep(server.faults.execution_s)
        server.group.executed.append(
            groups.ExecutedStatement(
                server.server_id,
                request_id,
                text,
                dict(self._variables),
                self._state == 'T',
            ),
        )
        return self._apply(request_id, word, rest)

    def _in_plain(self) -> bool:
        return self._state == 'T' and self._plain

    def _apply(self, request_id: str, word: str, rest: str) -> list[str]:
        key, _, content = rest.partition(' ')
        if word == 'READ':
            return [self._server.read(key)]
        if word == 'WRITE':
            self._writes.append((key, content, request_id))
        if word == 'COMMIT' or self._state == 'I':
            if self._writes:
                self._server.group.commit(self._writes)
            self._end()
        return []


async def _handle(
    server: groups.Server,
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
) -> None:
    server.connections += 1
    try:
        # The task is cancelled when the stand-in stops.
        with contextlib.suppress(ConnectionError, asyncio.CancelledError):
            await _Connection(server, reader, writer).run()
    finally:
        server.connections -= 1
        writer.close()


async def serve(server: groups.Server) -> asyncio.Server:
    """Accept connections to `server` at a free port of 127.0.0.1."""
    listener = await asyncio.start_server(
        functools.partial(_handle, server),
        '127.0.0.1',
        0,
    )
    host, port = listener.sockets[0].getsockname()
    server.address = f'{host}:{port}'
    return listener
