"""Line protocol client for tests."""

import asyncio
import dataclasses
import itertools

_IDS = itertools.count(1)


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """Complete answer to one request, up to its READY line.

    Attributes:
        rows: Contents of the ROW lines, in order.
        code: Code of the ERR line; empty for a success, `CLOSED` if the
            connection was closed before the READY line.
        proof: Token of the DONE line, empty for an error.
        state: Session state of the READY line: `I` for idle, `T` in a
            transaction, `E` in a failed transaction.
        position: Log position of the READY line.
    """

    rows: tuple[str, ...]
    code: str
    proof: str
    state: str
    position: str

    @property
    def ok(self) -> bool:
        """Return whether the request succeeded."""
        return not self.code


class Client:
    """Connection to a daemon with one session."""

    def __init__(self, port: int) -> None:
        """Create a client of the daemon at `port` of 127.0.0.1."""
        self._port = port
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None

    async def open_session(
        self, database: str, api_key: str = 'user'
    ) -> Answer:
        """Connect and open a session on `database` with an API key."""
        reader, writer = await asyncio.open_connection('127.0.0.1', self._port)
        self._reader = reader
        self._writer = writer
        self.send_line(f'START {database} {api_key}')
        return await self._read_answer()

    async def query(self, text: str, request_id: str = '') -> Answer:
        """Run a statement; an empty request id is replaced by a new one."""
        request_id = request_id or 'q{0:x}'.format(next(_IDS))
        self.send_line(f'QUERY {request_id} {text}')
        return await self._read_answer()

    def send_line(self, line: str) -> None:
        """Send one protocol line."""
        self._writer.write(f'{line}\r\n'.encode('latin-1'))

    def close(self) -> None:
        """Close the connection."""
        if self._writer is not None:
            self._writer.close()

    async def _read_answer(self) -> Answer:
        rows: list[str] = []
        code = ''
        proof = ''
        async with asyncio.timeout(10):
            while raw := await self._read_line():
                fields = raw.decode('latin-1').rstrip('\r\n').split(' ')
                match fields:
                    case ['ROW', *row]:
                        rows.append(' '.join(row))
                    case ['DONE', proof]:
                        continue
                    case ['ERR', code, *_]:
                        continue
                    case ['READY', state, position]:
                        return Answer(
                            tuple(rows),
                            code,
                            proof,
                            state,
                            position,
                        )
        return Answer(tuple(rows), code or 'CLOSED', proof, '', '')

    async def _read_line(self) -> bytes:
        """Return the next line, empty once the daemon closed or reset."""
        try:
            return await self._reader.readline()
        except ConnectionResetError:
            return b''
