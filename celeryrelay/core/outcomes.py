"""Outcomes of a statement as values."""

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
    """Why a statement was refused or its outcome is unknown."""

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


class DelayCause(enum.StrEnum):
    """What a served statement waited for."""

    queue = 'queue'
    lag_wait = 'lag_wait'
    failover_hold = 'failover_hold'
    connection = 'connection'


@dataclasses.dataclass(frozen=True, slots=True)
class Delay:
    """Time that a statement spent waiting for one cause."""

    cause: DelayCause
    duration_ms: float


@dataclasses.dataclass(frozen=True, slots=True)
class Done:
    """The statement ran and its effect may be acknowledged.

    Attributes:
        affected_rows: Rows changed, or rows returned by a query.
        last_insert_id: Generated key, 0 if none.
        position: Log position of a committed write.
        ack_within_ms: Time after the request's send time within which the
            caller may be told; None if it stays true for ever.
        in_transaction: Whether a transaction is open afterwards.
        slot: Slot that served the statement.
        from_replica: Whether that slot was a replica.
        delays: What the statement waited for.
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
    """The backend server refused the statement with an error of its own."""

    code: int
    sqlstate: str
    message: str
    in_transaction: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class NotRun:
    """No byte of the statement can have reached a backend server."""

    reason: Reason
    message: str
    retry_after_ms: int = 0
    code: int = ERROR_NOT_RUN


@dataclasses.dataclass(frozen=True, slots=True)
class OutcomeUnknown:
    """The statement was sent and nobody can say whether it took effect."""

    reason: Reason
    message: str


Outcome = Done | Failed | NotRun | OutcomeUnknown
