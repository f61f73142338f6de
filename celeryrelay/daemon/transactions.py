"""Open transactions of a holder and callers' request ids."""

import dataclasses
import secrets

from celeryrelay.adapters import backends
from celeryrelay.core import clock
from celeryrelay.daemon import admission

IDLE_LIMIT_S = 30
TRANSACTION_ID_BYTES = 8
REQUEST_TABLE = 'celeryrelay_requests'


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
        request: str,
        connection: backends.BackendConnection,
    ) -> str:
        """Note a new transaction and return its id."""
        name = secrets.token_hex(TRANSACTION_ID_BYTES)
        now = self._clock.monotonic()
        transaction = Transaction(name, connection, now)
        self._open[name] = transaction
        self._by_request[request] = transaction
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

    def expired(self) -> list[Transaction]:
        """Return transactions without a statement for the idle limit."""
        oldest = self._clock.monotonic() - IDLE_LIMIT_S
        found = [
            transaction
            for transaction in self._open.values()
            if not transaction.busy and transaction.last_used < oldest
        ]
        for transaction in found:
            transaction.busy = True
        return found


def insert_request(caller_request: str, ran: backends.Ok) -> str:
    """Return the statement that notes a request id and its outcome.

    The entry has checked that the id needs no quoting.
    """
    return (
        'INSERT INTO {0} (request_id, affected_rows, last_insert_id) '
        "VALUES ('{1}', {2}, {3})"
    ).format(
        REQUEST_TABLE,
        caller_request,
        ran.affected_rows,
        ran.last_insert_id,
    )


def select_request(caller_request: str) -> str:
    """Return the query for the outcome of a request id."""
    return (
        "SELECT affected_rows, last_insert_id FROM {0} WHERE request_id = '{1}'"
    ).format(REQUEST_TABLE, caller_request)
