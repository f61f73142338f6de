"""Callers of a soak and what they were told."""

import asyncio
import contextlib
import dataclasses
import itertools
import random
import time

from standins.kvstore import local_deployment
from standins.linedb import client as clients

RETRY_S = 0.05
THINK_S = 0.02
# Part of the transactions that are committed.
COMMIT_PART = 0.8
# Answers that promise that nothing of the statement is kept.
PROMISES = frozenset(
    ('BUSY', 'ABORTED', 'LAGGING', 'READONLY', 'MISROUTED', 'MAXCONN', 'NODB'),
)


@dataclasses.dataclass(slots=True)
class Write:
    """A write and what its caller was told.

    Attributes:
        request_id: Its id.
        content: Data that was written.
        code: Error code; empty for a success.
        answered_at: Time in seconds of the answer, of a transaction's end if
            it is part of one; None without an answer.
    """

    request_id: str
    content: str
    code: str = 'CLOSED'
    answered_at: float | None = None


@dataclasses.dataclass(slots=True)
class Read:
    """A read of the caller's own item that was served.

    Attributes:
        request_id: Its id.
        content: What it returned.
        sent_at: Time in seconds at which it was sent.
        writes: Number of the caller's writes that were sent before.
    """

    request_id: str
    content: str
    sent_at: float
    writes: int


class Caller:
    """One caller with an item of its own and sessions one after the other."""

    def __init__(
        self,
        number: int,
        daemons: list[local_deployment.DaemonProcess],
        seed: int,
    ) -> None:
        """Use `daemons`, and choose operations from `seed`."""
        self.item = f'item{number}'
        self.variables = {'caller': f'c{number}'}
        self.writes: list[Write] = []
        self.reads: list[Read] = []
        self.sessions = 0
        self._number = number
        self._daemons = daemons
        self._random = random.Random(seed * 1000 + number)
        self._ids = itertools.count()
        # Callers of `bookings` read at the primary; those of `logs` may read
        # at replicas, but see their own writes.
        self.database = 'bookings' if number % 2 else 'logs'

    async def run(self, until: asyncio.Event) -> None:
        """Use sessions until the event is set."""
        while not until.is_set():
            daemon = self._random.choice(self._daemons)
            with contextlib.suppress(OSError, TimeoutError):
                await self._use_session(daemon, until)
            await asyncio.sleep(RETRY_S)

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
            while not until.is_set() and await self._operate(client):
                await asyncio.sleep(self._random.uniform(0, THINK_S))
        finally:
            client.close()

    async def _operate(self, client: clients.Client) -> bool:
        """Run one operation; return whether the session goes on."""
        match self._random.randrange(4):
            case 0:
                return await self._transaction(client)
            case 1:
                return await self._read(client)
        write = self._new_write()
        answer = await client.query(
            f'WRITE {self.item} {write.content}',
            write.request_id,
        )
        self._note(write, answer.code)
        return answer.state == 'I'

    async def _read(self, client: clients.Client) -> bool:
        request_id = self._new_id()
        sent_at = time.monotonic()
        answer = await client.query(f'READ {self.item}', request_id)
        if answer.ok:
            self.reads.append(
                Read(request_id, answer.rows[0], sent_at, len(self.writes)),
            )
        return answer.state == 'I'

    async def _transaction(self, client: clients.Client) -> bool:
        if not (await client.query('BEGIN')).ok:
            return False
        write = self._new_write()
        answer = await client.query(
            f'WRITE {self.item} {write.content}',
            write.request_id,
        )
        commits = self._random.random() < COMMIT_PART
        if answer.ok and commits:
            answer = await client.query('COMMIT', self._new_id())
            self._note(write, answer.code)
            return answer.state == 'I'
        # What was not committed must not be kept, whatever the answer was.
        self._note(write, 'ABORTED')
        return (await client.query('ROLLBACK')).state == 'I'

    def _new_id(self) -> str:
        return f'r{self._number}x{next(self._ids)}'

    def _new_write(self) -> Write:
        request_id = self._new_id()
        write = Write(request_id, f'v-{request_id}')
        self.writes.append(write)
        return write

    def _note(self, write: Write, code: str) -> None:
        write.code = code
        if code != 'CLOSED':
            write.answered_at = time.monotonic()
