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
class Place:
    """A transaction's place among the running statements of a slot."""

    gate: admission.Admission
    ticket_id: int


@dataclasses.dataclass(slots=True)
class Transaction:
    """A transaction that holds a connection until it ends."""

    name: str
    connection: backends.BackendConnection
    last_used: float
    entry: str
    place: Place | None = None
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

    def open(
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

    def admit(self, request: str, place: Place) -> None:
        """Attach the place in the queue to the transaction of `request`."""
        transaction = self._by_request.pop(request, None)
        if transaction is not None:
            transaction.place = place

    def use(self, name: str) -> Transaction | None:
        """Return an open transaction for one statement.

        A transaction that still runs a statement is not given out twice.
        """
        transaction = self._open.get(name)
        if transaction is None or transaction.busy:
            return None
        transaction.busy = True
        return transaction

    def give_back(self, transaction: Transaction) -> None:
        """End the use by one statement."""
        transaction.busy = False
        transaction.last_used = self._clock.monotonic()

    def close(self, transaction: Transaction) -> Place | None:
        """Forget a transaction and return its place in the queue."""
        self._open.pop(transaction.name, None)
        return transaction.place

    def expired(self, heard: abc.Container[str]) -> list[Transaction]:
        """Return transactions without a statement for too long.

        Args:
            heard: Incarnations of the entries whose heartbeats arrive.
        """
        now = self._clock.monotonic()
        found = [
            transaction
            for transaction in self._open.values()
            if not transaction.busy
            and now - transaction.last_used
            > _limit_s(entry_heard=transaction.entry in heard)
        ]
        for transaction in found:
            transaction.busy = True
        return found


def _limit_s(*, entry_heard: bool) -> float:
    return IDLE_LIMIT_S if entry_heard else ABANDONED_LIMIT_S
