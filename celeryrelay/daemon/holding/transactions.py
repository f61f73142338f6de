"""Open transactions of a holder and their idle time-outs."""

import dataclasses
import secrets
from collections import abc

from celeryrelay.adapters import backends
from celeryrelay.core import clock, peer_messages
from celeryrelay.daemon.holding import admission

IDLE_LIMIT_S = 30
# Shorter limit for transactions of an entry whose heartbeats are missing: the
# entry may have crashed, and the row locks of its callers are released soon.
ABANDONED_LIMIT_S = 3
TRANSACTION_ID_BYTES = 8


@dataclasses.dataclass(frozen=True, slots=True)
class AdmissionTicket:
    """Ticket of the admission queue that a transaction keeps until its end."""

    admission: admission.SlotAdmission
    ticket_id: int


@dataclasses.dataclass(slots=True)
class Transaction:
    """A transaction that keeps a backend connection until it ends.

    Attributes:
        name: Random id that statements of the transaction carry.
        connection: Its backend connection.
        last_used: Monotonic time in seconds of the last statement's end.
        entry: Incarnation of the entry that opened it.
        ticket: Admission ticket, set once BEGIN has been answered.
        busy: Whether a statement or a rollback is running in it.
    """

    name: str
    connection: backends.BackendConnection
    last_used: float
    entry: str
    ticket: AdmissionTicket | None = None
    busy: bool = False


class TransactionTable:
    """Open transactions by id."""

    def __init__(self, ticker: clock.Clock) -> None:
        """Create an empty table."""
        self._clock = ticker
        self._open: dict[str, Transaction] = {}
        self._by_request: dict[str, Transaction] = {}

    def __len__(self) -> int:
        """Return the number of open transactions."""
        return len(self._open)

    def add(
        self,
        request: peer_messages.StatementRequest,
        connection: backends.BackendConnection,
    ) -> str:
        """Add a new transaction and return its id."""
        name = secrets.token_hex(TRANSACTION_ID_BYTES)
        now = self._clock.monotonic()
        transaction = Transaction(name, connection, now, request.entry)
        self._open[name] = transaction
        self._by_request[request.request] = transaction
        return name

    def attach_ticket(self, request: str, ticket: AdmissionTicket) -> None:
        """Attach the admission ticket to the transaction of `request`."""
        transaction = self._by_request.pop(request, None)
        if transaction is not None:
            transaction.ticket = ticket

    def check_out(self, name: str) -> Transaction | None:
        """Reserve an open transaction for one statement.

        Returns None if the id is unknown or a statement is still running.
        """
        transaction = self._open.get(name)
        if transaction is None or transaction.busy:
            return None
        transaction.busy = True
        return transaction

    def check_in(self, transaction: Transaction) -> None:
        """Make a transaction available after a statement."""
        transaction.busy = False
        transaction.last_used = self._clock.monotonic()

    def remove(self, transaction: Transaction) -> AdmissionTicket | None:
        """Remove a transaction and return its admission ticket."""
        self._open.pop(transaction.name, None)
        return transaction.ticket

    def check_out_expired(
        self, live_incarnations: abc.Container[str]
    ) -> list[Transaction]:
        """Reserve and return the transactions past their idle time-out.

        Args:
            live_incarnations: Incarnations of the daemons whose heartbeats
                arrive.
        """
        now = self._clock.monotonic()
        found = [
            transaction
            for transaction in self._open.values()
            if not transaction.busy
            and now - transaction.last_used
            > _limit_s(is_entry_live=transaction.entry in live_incarnations)
        ]
        for transaction in found:
            transaction.busy = True
        return found


def _limit_s(*, is_entry_live: bool) -> float:
    return IDLE_LIMIT_S if is_entry_live else ABANDONED_LIMIT_S
