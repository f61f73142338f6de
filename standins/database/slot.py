"""Term, role, log and write transaction of one slot."""

import asyncio
import contextlib
import dataclasses
import enum
import time

from standins.database import slot_errors, storage

LOCK_WAIT_S = 5


class Role(enum.StrEnum):
    """Role of a slot in its group."""

    primary = 'primary'
    replica = 'replica'
    closed = 'closed'


@dataclasses.dataclass(frozen=True, slots=True)
class LogEntry:
    """A committed write transaction.

    Attributes:
        term: Term in which it was committed.
        statements: Its statements with parameters inlined.
        committed_at: Monotonic time of its commit on the primary.
    """

    term: int
    statements: tuple[str, ...]
    committed_at: float


@dataclasses.dataclass(slots=True)
class Tuning:
    """Values that `CALL standin_set` may change; times in milliseconds."""

    lag_ms: float = 0
    connection_limit: int = 1000
    connection_cost_ms: float = 0
    service_ms: float = 0
    service_concurrency: int = 4


@dataclasses.dataclass(eq=False, slots=True)
class Transaction:
    """An open transaction of one session."""

    statements: list[str] = dataclasses.field(default_factory=list)
    holds_write_lock: bool = False
    aborted: bool = False


class ChangeSignal:
    """Wakes the tasks that wait for the next change."""

    def __init__(self) -> None:
        """Start without a change."""
        self._event = asyncio.Event()

    def notify(self) -> None:
        """Wake all waiting tasks."""
        self._event.set()
        self._event = asyncio.Event()

    async def wait(self, timeout_s: float) -> None:
        """Wait for the next change, at most `timeout_s` seconds."""
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(self._event.wait(), timeout_s)


class Slot:
    """One backend server of a database group.

    Attributes:
        name: Name of the slot.
        term: Highest term that it knows.
        role: Its role in that term.
        log: Applied entries; the offset of a position is their number.
        changed: ChangeSignal of changes of log, term and role.
        statements: Number of queries and writes of clients.
    """

    def __init__(
        self,
        name: str,
        tuning: Tuning,
        data: storage.Storage,
    ) -> None:
        """Start as a closed slot of term 0 with an empty log."""
        self.name = name
        self.term = 0
        self.role = Role.closed
        self.tuning = tuning
        self.data = data
        self.log: list[LogEntry] = []
        self._write_lock = asyncio.Lock()
        self._writer: Transaction | None = None
        self.changed = ChangeSignal()
        self.statement_count = 0

    @property
    def log_term(self) -> int:
        """Return the term of the last log entry."""
        return self.log[-1].term if self.log else 0

    def require_primary(self, term: int | None) -> None:
        """Refuse a write unless this slot is the primary of exactly `term`."""
        if self.role is Role.primary and self.term == term:
            return
        raise slot_errors.SlotError(
            slot_errors.READ_ONLY,
            f'slot is {self.role} of term {self.term}, write has term {term}',
        )

    def require_current_term(self, term: int) -> None:
        """Refuse a command of a term that has been replaced."""
        if term < self.term:
            raise slot_errors.SlotError(
                slot_errors.READ_ONLY,
                f'slot has term {self.term}, command has term {term}',
            )

    def set_term_and_role(self, term: int, role: Role) -> None:
        """Change term and role; an open write transaction is undone."""
        if (term, role) != (self.term, self.role):
            self._abort_write()
        self.term = term
        self.role = role
        self.changed.notify()

    async def begin_write(self, transaction: Transaction) -> None:
        """Make `transaction` the write transaction as soon as there is none."""
        try:
            await asyncio.wait_for(self._write_lock.acquire(), LOCK_WAIT_S)
        except TimeoutError as error:
            raise slot_errors.SlotError(
                slot_errors.LOCK_WAIT_TIMEOUT,
                'Lock wait timeout exceeded',
            ) from error
        self._writer = transaction
        transaction.holds_write_lock = True
        self.data.begin()
        for statement in transaction.statements:
            self.data.write(statement)

    def commit(self, transaction: Transaction, term: int | None) -> int:
        """Commit the write transaction in `term` and return its offset."""
        try:
            self.require_primary(term)
        except slot_errors.SlotError:
            self.rollback(transaction)
            raise
        self.data.commit(transaction.statements)
        self._release_write_lock()
        self._append(
            LogEntry(
                self.term, tuple(transaction.statements), time.monotonic()
            ),
        )
        return len(self.log)

    def rollback(self, transaction: Transaction) -> None:
        """Undo `transaction` if it is the write transaction."""
        if self._writer is transaction:
            self.data.rollback()
            self._release_write_lock()

    def apply_replicated(self, entry: LogEntry) -> None:
        """Apply an entry that was fetched from the primary."""
        self.data.apply(entry.statements)
        self._append(entry)

    def truncate(self, offset: int) -> None:
        """Drop the log entries after `offset` and their effects."""
        if offset < len(self.log):
            self.log = self.log[:offset]
            self.data.rebuild(entry.statements for entry in self.log)
            self.changed.notify()

    def _append(self, entry: LogEntry) -> None:
        self.log.append(entry)
        self.changed.notify()

    def _abort_write(self) -> None:
        if self._writer is not None:
            self._writer.aborted = True
            self.rollback(self._writer)

    def _release_write_lock(self) -> None:
        self._writer = None
        self._write_lock.release()
