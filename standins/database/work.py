"""Transaction state and writes of one connection."""

import asyncio
import dataclasses
import sqlite3

from mysql_mimic import types

from standins.database import faults
from standins.database import slot as slot_state

MILLISECONDS = 1000

_INSERTS = ('insert', 'replace')


@dataclasses.dataclass(frozen=True, slots=True)
class Reply:
    """Content of the OK packet for a statement without rows."""

    affected_rows: int = 0
    last_insert_id: int = 0
    message: str = ''


class ServiceGate:
    """Adds service time to statements, a few at a time."""

    def __init__(self, tuning: slot_state.Tuning) -> None:
        """Use time and concurrency of `tuning`."""
        self._tuning = tuning
        self._size = tuning.service_concurrency
        self._places = asyncio.Semaphore(self._size)

    async def serve(self) -> None:
        """Wait for a place and for the service time."""
        if self._size != self._tuning.service_concurrency:
            self._size = self._tuning.service_concurrency
            self._places = asyncio.Semaphore(self._size)
        if self._tuning.service_ms > 0:
            async with self._places:
                await asyncio.sleep(self._tuning.service_ms / MILLISECONDS)


class Work:
    """Runs reads and writes in the transaction of one connection.

    Attributes:
        reply: Result of the last statement.
        autocommit: Whether a statement outside a transaction commits at once.
        group_term: Term that writes require, None if the session has none.
    """

    def __init__(self, slot: slot_state.Slot, gate: ServiceGate) -> None:
        """Start with autocommit and without a term."""
        self._slot = slot
        self._gate = gate
        self._transaction: slot_state.Transaction | None = None
        self.restart()

    @property
    def status(self) -> types.ServerStatus:
        """Return the status flags of the next packet."""
        flags = types.ServerStatus(0)
        if self.autocommit:
            flags |= types.ServerStatus.SERVER_STATUS_AUTOCOMMIT
        if self._transaction is not None:
            flags |= types.ServerStatus.SERVER_STATUS_IN_TRANS
        return flags

    def restart(self) -> None:
        """Roll back and drop all session state."""
        self.rollback()
        self.reply = Reply()
        self.autocommit = True
        self.group_term: int | None = None

    def begin(self) -> None:
        """Open a transaction after committing an open one."""
        self.commit()
        self._transaction = slot_state.Transaction()

    def set_autocommit(self, autocommit: bool) -> None:
        """Set the mode; turning it on commits an open transaction."""
        if autocommit and not self.autocommit:
            self.commit()
        self.autocommit = autocommit

    def rollback(self) -> None:
        """Undo and end the transaction, if there is one."""
        transaction = self._transaction
        self._transaction = None
        if transaction is not None:
            self._slot.rollback(transaction)

    def commit(self) -> None:
        """Commit and end the transaction, if there is one."""
        transaction = self._transaction
        self._transaction = None
        if transaction is None:
            return
        _refuse_aborted(transaction)
        if transaction.writing:
            self._commit_write(transaction)

    def savepoint(self, text: str) -> None:
        """Run a savepoint statement, or keep it for the first write."""
        transaction = self._open_if_needed()
        if transaction is None:
            return
        if transaction.writing:
            self._slot.data.write(text)
        transaction.statements.append(text)

    async def read(self, text: str, locks_rows: bool) -> sqlite3.Cursor:
        """Run a query; row locks make it wait for the write transaction."""
        self._slot.statements += 1
        transaction = self._open_if_needed()
        if locks_rows and transaction is not None:
            await self._prepare_write(transaction)
        else:
            await self._gate.serve()
            _refuse_aborted(transaction)
        if transaction is not None and transaction.writing:
            return self._slot.data.write(text)
        return self._slot.data.read(text)

    async def write(self, text: str) -> None:
        """Run a statement that changes data."""
        self._slot.statements += 1
        opened = self._open_if_needed()
        if opened is not None:
            await self._write_in(opened, text)
            return
        transaction = slot_state.Transaction()
        try:
            await self._write_in(transaction, text)
        except BaseException:
            self._slot.rollback(transaction)
            raise
        self._commit_write(transaction)

    async def _write_in(
        self,
        transaction: slot_state.Transaction,
        text: str,
    ) -> None:
        await self._prepare_write(transaction)
        cursor = self._slot.data.write(text)
        transaction.statements.append(text)
        inserted = text.lower().startswith(_INSERTS)
        self.reply = Reply(
            max(cursor.rowcount, 0),
            (cursor.lastrowid or 0) if inserted else 0,
        )

    def _commit_write(self, transaction: slot_state.Transaction) -> None:
        offset = self._slot.commit(transaction, self.group_term)
        self.reply = dataclasses.replace(
            self.reply,
            message=f'term={self._slot.term};offset={offset}',
        )

    def _open_if_needed(self) -> slot_state.Transaction | None:
        if self._transaction is None and not self.autocommit:
            self._transaction = slot_state.Transaction()
        return self._transaction

    async def _prepare_write(
        self,
        transaction: slot_state.Transaction,
    ) -> None:
        _refuse_aborted(transaction)
        self._slot.check_term(self.group_term)
        if not transaction.writing:
            await self._slot.open_write(transaction)
        await self._gate.serve()
        _refuse_aborted(transaction)
        self._slot.check_term(self.group_term)


def _refuse_aborted(transaction: slot_state.Transaction | None) -> None:
    if transaction is not None and transaction.aborted:
        raise faults.SlotError(
            faults.READ_ONLY,
            'transaction was rolled back because the term changed',
        )
