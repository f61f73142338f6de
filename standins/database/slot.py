"""Term, role, log and write transaction of one slot."""

import asyncio
import contextlib
import dataclasses
import enum
import time

from standins.database import faults, storage

LOCK_WAIT_S = 5


class Role(enum.StrEnum):
    """Role of a slot in its group."""

    primary = 'primary'
    replica = 'replica'
    closed = 'closed'


@dataclasses.dataclass(frozen=True, slots=True)
class Entry:
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
    writing: bool = False
    aborted: bool = False


class Signal:
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
        changed: Signal of changes of log, term and role.
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
        self.log: list[Entry] = []
        self._lock = asyncio.Lock()
        self._writer: Transaction | None = None
        self.changed = Signal()
        self.statements = 0

    @property
    def log_term(self) -> int:
        """Return the term of the last log entry."""
        return self.log[-1].term if self.log else 0

    def check_term(self, term: int | None) -> None:
        """Refuse a write unless this slot is the primary of exactly `term`."""
        if self.role is Role.primary and self.term == term:
            return
        raise faults.SlotError(
            faults.READ_ONLY,
            f'slot is {self.role} of term {self.term}, write has term {term}',
        )

    def require_at_least(self, term: int) -> None:
        """Refuse a command of a term that has been replaced."""
        if term < self.term:
            raise faults.SlotError(
                faults.READ_ONLY,
                f'slot has term {self.term}, command has term {term}',
            )

    def enter(self, term: int, role: Role) -> None:
        """Change term and role; an open write transaction is undone."""
        if (term, role) != (self.term, self.role):
            self._abort_writer()
        self.term = term
        self.role = role
        self.changed.notify()

    async def open_write(self, transaction: Transaction) -> None:
        """Make `transaction` the write transaction as soon as there is none."""
        try:
            await asyncio.wait_for(self._lock.acquire(), LOCK_WAIT_S)
        except TimeoutError as error:
            raise faults.SlotError(
                faults.LOCK_WAIT_TIMEOUT,
                'Lock wait timeout exceeded',
            ) from error
        self._writer = transaction
        transaction.writing = True
        self.data.begin()
        for statement in transaction.statements:
            self.data.write(statement)

    def commit(self, transaction: Transaction, term: int | None) -> int:
        """Commit the write transaction in `term` and return its offset."""
        try:
            self.check_term(term)
        except faults.SlotError:
            self.rollback(transaction)
            raise
        self.data.commit(transaction.statements)
        self._release()
        self._append(
            Entry(self.term, tuple(transaction.statements), time.monotonic()),
        )
        return len(self.log)

    def rollback(self, transaction: Transaction) -> None:
        """Undo `transaction` if it is the write transaction."""
        if self._writer is transaction:
            self.data.rollback()
            self._release()

    def replicate(self, entry: Entry) -> None:
        """Apply an entry that was fetched from the primary."""
        self.data.apply(entry.statements)
        self._append(entry)

    def truncate(self, offset: int) -> None:
        """Drop the log entries after `offset` and their effects."""
        if offset < len(self.log):
            self.log = self.log[:offset]
            self.data.rebuild(entry.statements for entry in self.log)
            self.changed.notify()

    def _append(self, entry: Entry) -> None:
        self.log.append(entry)
        self.changed.notify()

    def _abort_writer(self) -> None:
        if self._writer is not None:
            self._writer.aborted = True
            self.rollback(self._writer)

    def _release(self) -> None:
        self._writer = None
        self._lock.release()
