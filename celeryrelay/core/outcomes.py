"""Outcomes of a statement, and the error codes that callers receive."""

import dataclasses
import enum

from celeryrelay.core import positions

ERROR_NOT_RUN = 9201
ERROR_OUTCOME_UNKNOWN = 9202
ERROR_LOST_POSITION = 9203
ERROR_BAD_TOKEN = 9204
ERROR_UNSUPPORTED = 1235

SQLSTATES = {
    ERROR_NOT_RUN: 'HY901',
    ERROR_OUTCOME_UNKNOWN: 'HY902',
    ERROR_LOST_POSITION: 'HY903',
    ERROR_BAD_TOKEN: 'HY904',
    ERROR_UNSUPPORTED: '42000',
}


class Reason(enum.StrEnum):
    """Reason why a statement was refused or its outcome is unknown."""

    overload = 'overload'
    deadline = 'deadline'
    no_configuration = 'no_configuration'
    no_holder = 'no_holder'
    no_primary = 'no_primary'
    not_holder = 'not_holder'
    term_unknown = 'term_unknown'
    term_closed = 'term_closed'
    unconfirmed = 'unconfirmed'
    lagging = 'lagging'
    leaving = 'leaving'
    connections = 'connections'
    connection_lost = 'connection_lost'
    draining = 'draining'
    transaction_lost = 'transaction_lost'
    lost_position = 'lost_position'
    bad_token = 'bad_token'
    unsupported = 'unsupported'
    unknown_database = 'unknown_database'
    unknown_statement = 'unknown_statement'
    malformed = 'malformed'
    unknown_key = 'unknown_key'
    no_evidence = 'no_evidence'
    quota = 'quota'


class DelayCause(enum.StrEnum):
    """Cause of a wait of a statement that was served."""

    queue = 'queue'
    lag_wait = 'lag_wait'
    failover_hold = 'failover_hold'
    connection = 'connection'


@dataclasses.dataclass(frozen=True, slots=True)
class Delay:
    """Time that a statement waited for one cause."""

    cause: DelayCause
    duration_ms: float


@dataclasses.dataclass(frozen=True, slots=True)
class Done:
    """The statement ran, and its success may be acknowledged to the caller.

    Attributes:
        affected_rows: Number of rows that a statement changed or a query
            returned.
        last_insert_id: Generated key, 0 if there is none.
        position: Log position of a committed write.
        ack_within_ms: Time, counted from the sending of the request, within
            which the outcome may be acknowledged; None if there is no limit.
        in_transaction: Whether a transaction is open after the statement.
        slot: Name of the slot that served the statement.
        from_replica: Whether that slot was a replica.
        delays: Times that the statement waited, by cause.
    """

    affected_rows: int = 0
    last_insert_id: int = 0
    position: positions.Position | None = None
    ack_within_ms: float | None = None
    in_transaction: bool = False
    slot: str = ''
    from_replica: bool = False
    delays: tuple[Delay, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Failed:
    """The backend server answered the statement with an SQL error."""

    code: int
    sqlstate: str
    message: str
    in_transaction: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class NotRun:
    """The statement was refused; no byte of it reached a backend server."""

    reason: Reason
    message: str
    retry_after_ms: int = 0
    code: int = ERROR_NOT_RUN


@dataclasses.dataclass(frozen=True, slots=True)
class OutcomeUnknown:
    """The statement was sent, and it is unknown whether it took effect."""

    reason: Reason
    message: str


Outcome = Done | Failed | NotRun | OutcomeUnknown
