"""Execution of reads and writes in the transactions of a connection."""

import asyncio
import dataclasses
import sqlite3

from mysql_mimic import types

from standins.database import slot_errors
from standins.database import slot as slot_state

MILLISECONDS = 1000

_INSERT_KEYWORDS = ('insert', 'replace')


@dataclasses.dataclass(frozen=True, slots=True)
class OkResult:
    """Fields of the OK packet for a statement without rows."""

    affected_rows: int = 0
    last_insert_id: int = 0
    message: str = ''


class ServiceTimeSimulator:
    """Delays statements by a service time, with limited concurrency."""

    def __init__(self, tuning: slot_state.Tuning) -> None:
        """Take service time and concurrency from `tuning`."""
        self._tuning = tuning
        self._concurrency = tuning.service_concurrency
        self._semaphore = asyncio.Semaphore(self._concurrency)

    async def wait(self) -> None:
        """Wait for a free place, then for the service time.

        `service_concurrency` statements spend service time at a time.
        """
        if self._concurrency != self._tuning.service_concurrency:
            self._concurrency = self._tuning.service_concurrency
            self._semaphore = asyncio.Semaphore(self._concurrency)
        if self._tuning.service_ms > 0:
            async with self._semaphore:
                await asyncio.sleep(self._tuning.service_ms / MILLISECONDS)


class StatementExecutor:
    """Runs the reads and writes of one connection in its transaction.

    Attributes:
        last_result: Fields of the OK packet of the last statement.
        autocommit: Whether a statement outside a transaction commits at once.
        group_term: Term of which the slot must be primary for a write, as set
            by the session; None if not set, so that all writes are refused.
    """

    def __init__(
        self, slot: slot_state.Slot, service_time: ServiceTimeSimulator
    ) -> None:
        """Start with autocommit on and no group term set."""
        self._slot = slot
        self._service_time = service_time
        self._transaction: slot_state.Transaction | None = None
        self.reset_session()

    @property
    def status(self) -> types.ServerStatus:
        """Return the status flags for OK and EOF packets."""
        flags = types.ServerStatus(0)
        if self.autocommit:
            flags |= types.ServerStatus.SERVER_STATUS_AUTOCOMMIT
        if self._transaction is not None:
            flags |= types.ServerStatus.SERVER_STATUS_IN_TRANS
        return flags

    def reset_session(self) -> None:
        """Roll back the open transaction and reset all session state."""
        self.rollback()
        self.last_result = OkResult()
        self.autocommit = True
        self.group_term: int | None = None

    def begin(self) -> None:
        """Begin a transaction; an open one is committed first, as in MySQL."""
        self.commit()
        self._transaction = slot_state.Transaction()

    def set_autocommit(self, autocommit: bool) -> None:
        """Set autocommit; turning it on commits the open transaction."""
        if autocommit and not self.autocommit:
            self.commit()
        self.autocommit = autocommit

    def rollback(self) -> None:
        """Roll back the transaction, if there is one."""
        transaction = self._transaction
        self._transaction = None
        if transaction is not None:
            self._slot.rollback(transaction)

    def commit(self) -> None:
        """Commit the transaction, if there is one.

        Raises:
            SlotError: The transaction was rolled back by a change of term or
                role, or the slot is no longer the primary of its term.
        """
        transaction = self._transaction
        self._transaction = None
        if transaction is None:
            return
        _check_not_aborted(transaction)
        if transaction.holds_write_lock:
            self._commit_write(transaction)

    def savepoint(self, text: str) -> None:
        """Run a savepoint statement.

        Before the first write of the transaction, which acquires the write
        lock, the statement is recorded and run together with that write.
        """
        transaction = self._current_transaction()
        if transaction is None:
            return
        if transaction.holds_write_lock:
            self._slot.data.write(text)
        transaction.statements.append(text)

    async def read(self, text: str, locks_rows: bool) -> sqlite3.Cursor:
        """Run a query; one that locks rows acquires the write lock first.

        A query outside a transaction never locks rows.
        """
        self._slot.statement_count += 1
        transaction = self._current_transaction()
        if locks_rows and transaction is not None:
            await self._prepare_write(transaction)
        else:
            await self._service_time.wait()
            _check_not_aborted(transaction)
        if transaction is not None and transaction.holds_write_lock:
            return self._slot.data.write(text)
        return self._slot.data.read(text)

    async def write(self, text: str) -> None:
        """Run a statement that changes data.

        Outside a transaction it is committed at once.
        """
        self._slot.statement_count += 1
        opened = self._current_transaction()
        if opened is not None:
            await self._execute_write(opened, text)
            return
        transaction = slot_state.Transaction()
        try:
            await self._execute_write(transaction, text)
        except BaseException:
            self._slot.rollback(transaction)
            raise
        self._commit_write(transaction)

    async def _execute_write(
        self,
        transaction: slot_state.Transaction,
        text: str,
    ) -> None:
        await self._prepare_write(transaction)
        cursor = self._slot.data.write(text)
        transaction.statements.append(text)
        is_insert = text.lower().startswith(_INSERT_KEYWORDS)
        self.last_result = OkResult(
            max(cursor.rowcount, 0),
            (cursor.lastrowid or 0) if is_insert else 0,
        )

    def _commit_write(self, transaction: slot_state.Transaction) -> None:
        offset = self._slot.commit(transaction, self.group_term)
        self.last_result = dataclasses.replace(
            self.last_result,
            message=f'term={self._slot.term};offset={offset}',
        )

    def _current_transaction(self) -> slot_state.Transaction | None:
        if self._transaction is None and not self.autocommit:
            self._transaction = slot_state.Transaction()
        return self._transaction

    async def _prepare_write(
        self,
        transaction: slot_state.Transaction,
    ) -> None:
        _check_not_aborted(transaction)
        self._slot.require_primary(self.group_term)
        if not transaction.holds_write_lock:
            await self._slot.begin_write(transaction)
        await self._service_time.wait()
        _check_not_aborted(transaction)
        self._slot.require_primary(self.group_term)


def _check_not_aborted(transaction: slot_state.Transaction | None) -> None:
    if transaction is not None and transaction.aborted:
        raise slot_errors.SlotError(
            slot_errors.READ_ONLY,
            'transaction was rolled back because term or role changed',
        )
