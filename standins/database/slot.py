"""State of one slot: term, role, log and open write transaction."""

import asyncio
import contextlib
import dataclasses
import enum
import time

from standins.database import slot_errors, storage

LOCK_WAIT_TIMEOUT_S = 5


class Role(enum.StrEnum):
    """Role of a slot in its group.

    A closed slot neither takes writes nor replicates. A slot becomes closed
    when its term is raised, and stays so until a promotion or `group_follow`.
    """

    primary = 'primary'
    replica = 'replica'
    closed = 'closed'


@dataclasses.dataclass(frozen=True, slots=True)
class LogEntry:
    """A committed write transaction.

    Attributes:
        term: Term in which it was committed.
        statements: SQL texts with parameters inlined.
        committed_at: Monotonic time of the commit on the primary, in seconds.
    """

    term: int
    statements: tuple[str, ...]
    committed_at: float


@dataclasses.dataclass(slots=True)
class Tuning:
    """Settings that `CALL standin_set` changes at run time.

    Attributes:
        lag_ms: Age at which a replica applies a commit.
        connection_limit: Maximum number of client connections.
        connection_cost_ms: Added delay of each handshake.
        service_ms: Added service time of each statement.
        service_concurrency: Statements that spend service time concurrently.
    """

    lag_ms: float = 0
    connection_limit: int = 1000
    connection_cost_ms: float = 0
    service_ms: float = 0
    service_concurrency: int = 4


@dataclasses.dataclass(eq=False, slots=True)
class Transaction:
    """An open transaction of one session.

    Attributes:
        statements: Writes and savepoint statements run so far.
        holds_write_lock: Whether it is the write transaction of the slot.
        aborted: Whether it was rolled back by a change of term or role.
    """

    statements: list[str] = dataclasses.field(default_factory=list)
    holds_write_lock: bool = False
    aborted: bool = False


class ChangeSignal:
    """Wakes the tasks that are waiting for the next change."""

    def __init__(self) -> None:
        """Create a signal without waiting tasks."""
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
        term: Highest term that the slot has been told.
        role: Role in that term.
        tuning: Settings that tests change at run time.
        data: Committed data and the open write transaction.
        log: Applied entries. Offsets count from 1, so the offset of the last
            entry is the length of the log.
        changed: Notified when log, term or role change.
        statement_count: Number of reads and writes run by clients.
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
        """Raise SlotError unless this slot is the primary of exactly `term`."""
        if self.role is Role.primary and self.term == term:
            return
        raise slot_errors.SlotError(
            slot_errors.READ_ONLY,
            f'slot is {self.role} of term {self.term}, command has term {term}',
        )

    def require_current_term(self, term: int) -> None:
        """Raise SlotError if `term` is older than the slot's term."""
        if term < self.term:
            raise slot_errors.SlotError(
                slot_errors.READ_ONLY,
                f'slot has term {self.term}, command has old term {term}',
            )

    def set_term_and_role(self, term: int, role: Role) -> None:
        """Set term and role; a change rolls back the open write transaction."""
        if (term, role) != (self.term, self.role):
            self._abort_write()
        self.term = term
        self.role = role
        self.changed.notify()

    async def begin_write(self, transaction: Transaction) -> None:
        """Acquire the write lock for `transaction` and rerun its statements.

        Raises:
            SlotError: The lock was not free within `LOCK_WAIT_TIMEOUT_S`.
        """
        try:
            await asyncio.wait_for(
                self._write_lock.acquire(), LOCK_WAIT_TIMEOUT_S
            )
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
        """Commit the write transaction and return its log offset.

        Raises:
            SlotError: The slot is not the primary of `term`. The transaction
                has been rolled back.
        """
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
        """Roll back `transaction` if it is the write transaction."""
        if self._writer is transaction:
            self.data.rollback()
            self._release_write_lock()

    def apply_replicated(self, entry: LogEntry) -> None:
        """Apply an entry that was fetched from the primary."""
        self.data.apply(entry.statements)
        self._append(entry)

    def truncate(self, offset: int) -> None:
        """Remove the log entries after `offset` and undo their changes."""
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
