"""Open transactions of a holder."""

import dataclasses
import secrets
from collections import abc

from celeryrelay.adapters import backends
from celeryrelay.core import clock, peer_messages
from celeryrelay.daemon.holding import admission

IDLE_LIMIT_S = 30
# An entry whose heartbeats are missing may have died with its callers; their
# row locks then end long before the idle limit.
ABANDONED_LIMIT_S = 3
TRANSACTION_ID_BYTES = 8


@dataclasses.dataclass(frozen=True, slots=True)
class AdmissionTicket:
    """A transaction's place among the running statements of a slot."""

    admission: admission.SlotAdmission
    ticket_id: int


@dataclasses.dataclass(slots=True)
class Transaction:
    """A transaction that holds a connection until it ends."""

    name: str
    connection: backends.BackendConnection
    last_used: float
    entry: str
    ticket: AdmissionTicket | None = None
    busy: bool = False


class TransactionTable:
    """Open transactions by their id."""

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
        """Note a new transaction and return its id."""
        name = secrets.token_hex(TRANSACTION_ID_BYTES)
        now = self._clock.monotonic()
        transaction = Transaction(name, connection, now, request.entry)
        self._open[name] = transaction
        self._by_request[request.request] = transaction
        return name

    def attach_ticket(self, request: str, ticket: AdmissionTicket) -> None:
        """Attach the place in the queue to the transaction of `request`."""
        transaction = self._by_request.pop(request, None)
        if transaction is not None:
            transaction.ticket = ticket

    def check_out(self, name: str) -> Transaction | None:
        """Return an open transaction for one statement.

        A transaction that still runs a statement is not given out twice.
        """
        transaction = self._open.get(name)
        if transaction is None or transaction.busy:
            return None
        transaction.busy = True
        return transaction

    def check_in(self, transaction: Transaction) -> None:
        """End the use by one statement."""
        transaction.busy = False
        transaction.last_used = self._clock.monotonic()

    def remove(self, transaction: Transaction) -> AdmissionTicket | None:
        """Forget a transaction and return its place in the queue."""
        self._open.pop(transaction.name, None)
        return transaction.ticket

    def check_out_expired(
        self, live_incarnations: abc.Container[str]
    ) -> list[Transaction]:
        """Return transactions without a statement for too long.

        Args:
            live_incarnations: Incarnations of the entries whose heartbeats arrive.
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
