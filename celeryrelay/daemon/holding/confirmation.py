"""Confirmation of the term and applied offset of another slot."""

import asyncio
import contextlib
import dataclasses

import result

from celeryrelay.adapters import backends
from celeryrelay.core import clock
from celeryrelay.terms import write_permission

WAIT_MS = 200
CALL_TIMEOUT_MS = 1500
RECONNECT_S = 0.2
RETRY_S = 0.005
IDLE_CHECK_S = 2


@dataclasses.dataclass(slots=True)
class _Waiter:
    term: int
    offset: int
    future: asyncio.Future[write_permission.Confirmation]


class SlotConfirmer:
    """Asks one slot for its term and applied offset for many waiters at once.

    Every waiter of a round is added before the call of that round is sent, so
    the reply describes the slot after the commits of all these waiters.

    Attributes:
        slot: Name of the slot.
        healthy: Whether a connection to the slot is open.
    """

    def __init__(
        self,
        slot: str,
        address: backends.ConnectionParameters,
        ticker: clock.Clock,
    ) -> None:
        """Create a confirmer; `run` has to be started as a task."""
        self._clock = ticker
        self.slot = slot
        self.healthy = False
        self._address = address
        self._waiters: list[_Waiter] = []
        self._wake = asyncio.Event()

    def request(
        self,
        term: int,
        offset: int,
    ) -> asyncio.Future[write_permission.Confirmation]:
        """Return a future for the slot's state once it has applied `offset`.

        With offset 0 the next reply of the slot is enough. A reply with
        another term also ends the wait.
        """
        future = asyncio.get_running_loop().create_future()
        self._waiters.append(_Waiter(term, offset, future))
        self._wake.set()
        return future

    async def run(self) -> None:
        """Keep a connection to the slot and serve waiters until cancelled."""
        try:
            while True:
                await self._connect_and_serve()
                self.healthy = False
                await asyncio.sleep(RECONNECT_S)
        finally:
            self.healthy = False

    async def _connect_and_serve(self) -> None:
        connected = await backends.connect(self._address, CALL_TIMEOUT_MS)
        match connected:
            case result.Ok(connection):
                await self._serve(connection)

    async def _serve(self, connection: backends.BackendConnection) -> None:
        self.healthy = True
        try:
            while connection.healthy:
                await self._round(connection)
        finally:
            connection.abort()

    async def _round(self, connection: backends.BackendConnection) -> None:
        await self._next_waiters()
        asked = [entry for entry in self._waiters if not entry.future.done()]
        if asked:
            first = min(asked, key=lambda entry: entry.offset)
            sql = 'CALL group_wait({0}, {1}, {2})'.format(
                first.term,
                first.offset,
                WAIT_MS,
            )
        else:
            sql = 'CALL group_status()'
        sent_at = self._clock.monotonic()
        answered = await connection.query(sql, CALL_TIMEOUT_MS)
        match answered:
            case result.Ok([(term, log_term, applied), *_]) if asked:
                answer = write_permission.Confirmation(
                    slot=self.slot,
                    term=int(term),
                    applied=int(applied),
                    log_term=int(log_term),
                    sent_at=sent_at,
                )
                if not _resolve(asked, answer):
                    await asyncio.sleep(RETRY_S)
            case result.Err(_):
                connection.abort()

    async def _next_waiters(self) -> None:
        # Without waiters, a status call every IDLE_CHECK_S detects a slot that
        # no longer answers.
        self._wake.clear()
        self._waiters = [
            entry for entry in self._waiters if not entry.future.done()
        ]
        if self._waiters:
            return
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(IDLE_CHECK_S):
                await self._wake.wait()


def _resolve(
    asked: list[_Waiter], answer: write_permission.Confirmation
) -> int:
    resolved = 0
    for entry in asked:
        if _is_final(entry, answer) and not entry.future.done():
            entry.future.set_result(answer)
            resolved += 1
    return resolved


def _is_final(entry: _Waiter, answer: write_permission.Confirmation) -> bool:
    if answer.term != entry.term or not entry.offset:
        return True
    # A slot that was raised to the term but does not follow yet holds log
    # entries of an older term at the same offsets.
    return answer.log_term == entry.term and answer.applied >= entry.offset
