"""Callers that generate the load of a soak and record all answers."""

import asyncio
import contextlib
import dataclasses
import itertools
import random
import time

from standins.kvstore import local_deployment
from standins.linedb import client as clients

RECONNECT_DELAY_S = 0.05
MAX_THINK_TIME_S = 0.02
# Fraction of transactions that are committed; the others are rolled back.
COMMIT_FRACTION = 0.8
# Error codes which guarantee that the statement changed nothing.
NOT_APPLIED_CODES = frozenset(
    ('BUSY', 'ABORTED', 'LAGGING', 'READONLY', 'MISROUTED', 'MAXCONN', 'NODB'),
)


@dataclasses.dataclass(slots=True)
class Write:
    """A write and the answer that its caller got.

    Attributes:
        request_id: Request id of the statement.
        content: Data that was written.
        code: Error code; empty if the write succeeded, CLOSED if the caller
            got no answer.
        answered_at: Monotonic time in seconds at which the answer arrived; for
            a write in a transaction, at which the transaction's outcome was
            known. None without an answer.
    """

    request_id: str
    content: str
    code: str = 'CLOSED'
    answered_at: float | None = None


@dataclasses.dataclass(slots=True)
class Read:
    """A successful read of the caller's own item.

    Attributes:
        request_id: Request id of the statement.
        content: Data that was returned.
        sent_at: Monotonic time in seconds at which the read was sent.
        writes: Number of writes that the caller had sent before the read.
    """

    request_id: str
    content: str
    sent_at: float
    writes: int


class Caller:
    """A caller that writes and reads its own item, in one session at a time."""

    def __init__(
        self,
        number: int,
        daemons: list[local_deployment.DaemonProcess],
        seed: int,
    ) -> None:
        """Connect to `daemons` and choose operations by `seed` and `number`."""
        self.item = f'item{number}'
        self.variables = {'caller': f'c{number}'}
        self.writes: list[Write] = []
        self.reads: list[Read] = []
        self.sessions = 0
        self._number = number
        self._daemons = daemons
        self._random = random.Random(seed * 1000 + number)
        self._ids = itertools.count()
        # Reads in `bookings` go to the primary. Reads in `logs` may go to a
        # replica, but have to return the writes of the same session.
        self.database = 'bookings' if number % 2 else 'logs'

    async def run(self, until: asyncio.Event) -> None:
        """Open one session after the other until `until` is set."""
        while not until.is_set():
            daemon = self._random.choice(self._daemons)
            with contextlib.suppress(OSError, TimeoutError):
                await self._use_session(daemon, until)
            await asyncio.sleep(RECONNECT_DELAY_S)

    async def _use_session(
        self,
        daemon: local_deployment.DaemonProcess,
        until: asyncio.Event,
    ) -> None:
        client = clients.Client(daemon.port)
        try:
            if (await client.open_session(self.database)).state != 'I':
                return
            self.sessions += 1
            for name, setting in self.variables.items():
                if not (await client.query(f'SET {name} {setting}')).ok:
                    return
            while not until.is_set() and await self._run_operation(client):
                await asyncio.sleep(self._random.uniform(0, MAX_THINK_TIME_S))
        finally:
            client.close()

    async def _run_operation(self, client: clients.Client) -> bool:
        """Run one operation; return whether the session can still be used."""
        match self._random.randrange(4):
            case 0:
                return await self._run_transaction(client)
            case 1:
                return await self._run_read(client)
        write = self._new_write()
        answer = await client.query(
            f'WRITE {self.item} {write.content}',
            write.request_id,
        )
        self._record_answer(write, answer.code)
        return answer.state == 'I'

    async def _run_read(self, client: clients.Client) -> bool:
        request_id = self._new_request_id()
        sent_at = time.monotonic()
        answer = await client.query(f'READ {self.item}', request_id)
        if answer.ok:
            self.reads.append(
                Read(request_id, answer.rows[0], sent_at, len(self.writes)),
            )
        return answer.state == 'I'

    async def _run_transaction(self, client: clients.Client) -> bool:
        if not (await client.query('BEGIN')).ok:
            return False
        write = self._new_write()
        answer = await client.query(
            f'WRITE {self.item} {write.content}',
            write.request_id,
        )
        commits = self._random.random() < COMMIT_FRACTION
        if answer.ok and commits:
            answer = await client.query('COMMIT', self._new_request_id())
            self._record_answer(write, answer.code)
            return answer.state == 'I'
        # A write that was not committed must have no effect, whatever its own
        # answer was.
        self._record_answer(write, 'ABORTED')
        return (await client.query('ROLLBACK')).state == 'I'

    def _new_request_id(self) -> str:
        return f'r{self._number}x{next(self._ids)}'

    def _new_write(self) -> Write:
        request_id = self._new_request_id()
        write = Write(request_id, f'v-{request_id}')
        self.writes.append(write)
        return write

    def _record_answer(self, write: Write, code: str) -> None:
        write.code = code
        if code != 'CLOSED':
            write.answered_at = time.monotonic()
