"""Messages between daemons as data classes, with a validating JSON codec."""

import dataclasses
import typing

import pydantic
import result

from celeryrelay.conf import sets
from celeryrelay.core import outcomes, ranks

ColumnValue = str | None


@dataclasses.dataclass(frozen=True, slots=True)
class ReadBound:
    """Lowest position that a read has to include; offset 0 accepts any."""

    term: int = 0
    offset: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class StatementRequest:
    """Statement that an entry daemon forwards to a holder.

    Attributes:
        request: Request id that all messages and events of the statement carry.
        group: Name of the database group.
        slot: Name of the slot on which the statement runs.
        sql: Statement text.
        rank: Rank of the route.
        budget_ms: Time left until the statement's deadline.
        write: Whether the statement may change data.
        durability: When its write may be acknowledged.
        transaction: Id of an open transaction; empty outside of one.
        entry: Incarnation of the entry daemon that opens a transaction; empty
            for other statements.
        action: `run` runs the statement alone; the other actions control the
            transaction or read the log position.
        caller_request: Caller's idempotency key; empty if there is none.
        bound: Lowest position that a read has to include.
        read_wait_ms: How long a replica may wait until it reaches the bound.
        max_age_ms: Largest age of the data for a stale read; None for fresh
            reads.
        clock: Lamport clock of the sender.
    """

    request: str
    group: str
    slot: str
    sql: str
    rank: ranks.Rank
    budget_ms: float
    write: bool = False
    durability: sets.Durability = sets.Durability.local
    transaction: str = ''
    entry: str = ''
    action: typing.Literal[
        'run',
        'begin',
        'commit',
        'rollback',
        'position',
    ] = 'run'
    caller_request: str = ''
    bound: ReadBound = ReadBound()
    read_wait_ms: float = 0
    max_age_ms: float | None = None
    clock: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class ColumnHeader:
    """Column of a result; values of binary columns are sent as base64."""

    name: str
    type_code: int
    binary: bool


@dataclasses.dataclass(frozen=True, slots=True)
class ResultHeader:
    """First line of a response with rows."""

    columns: tuple[ColumnHeader, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class RowBatch:
    """Line of a response with the next rows."""

    rows: tuple[tuple[ColumnValue, ...], ...]


@dataclasses.dataclass(frozen=True, slots=True)
class DoneLine:
    """Last line of a response: the statement ran."""

    done: outcomes.Done
    clock: int = 0
    transaction: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class FailedLine:
    """Last line of a response: the backend server answered an SQL error."""

    failed: outcomes.Failed
    clock: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class NotRunLine:
    """Last line of a response: the statement was not run."""

    not_run: outcomes.NotRun
    clock: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class UnknownLine:
    """Last line of a response: the outcome is unknown."""

    unknown: outcomes.OutcomeUnknown
    clock: int = 0


LastLine = DoneLine | FailedLine | NotRunLine | UnknownLine
LAST_LINES = typing.get_args(LastLine)
ResponseLine = ResultHeader | RowBatch | LastLine


@dataclasses.dataclass(frozen=True, slots=True)
class TermEntry:
    """A stored term record with the store revision of its last change."""

    group: str
    record: dict[str, typing.Any]
    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class MemberEntry:
    """A daemon in the sender's view, with the age of its last heartbeat."""

    instance: str
    zone: str
    incarnation: str
    age_ms: float
    leaving: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Evidence:
    """Results of an observer's probes of the primary of a group.

    Attributes:
        group: Name of the database group.
        slot: Name of the probed slot.
        zone: Availability zone of the observer.
        instance: Instance of the observer.
        failures: Number of consecutive failed probes.
        span_ms: Time from the first to the last of these failures.
        answered_age_ms: Time since the last answer; None if there was none.
        age_ms: Age of these results when they are sent.
    """

    group: str
    slot: str
    zone: str
    instance: str
    failures: int
    span_ms: float
    answered_age_ms: float | None
    age_ms: float = 0


@dataclasses.dataclass(frozen=True, slots=True)
class ExchangeRequest:
    """Control message that a daemon sends to a relay, or a relay to another.

    Attributes:
        have_store: Store revision up to which the sender knows the terms.
        have_members: Fingerprint of the sender's live view.
        configuration: Revision of the sender's object set.
        relay: Whether the sender is a relay, which receives all evidence.
        draining: Whether the sender is stopping.
        members: Sender's live view, sent after the fingerprints differed.
    """

    instance: str
    incarnation: str
    zone: str
    clock: int
    have_store: int
    have_members: str
    configuration: int
    relay: bool = False
    draining: bool = False
    evidence: tuple[Evidence, ...] = ()
    members: tuple[MemberEntry, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class ExchangeReply:
    """Reply of a relay to an `ExchangeRequest`.

    Attributes:
        age_ms: Age of the relay's last reading of the store; None if it has
            none.
        store: Store revision of that reading.
        terms: Term records that changed after `have_store`.
        configuration: Highest revision of an object set that the relay has.
        members_version: Fingerprint of the relay's live view.
        oldest_age_ms: Largest heartbeat age of a live member in that view.
        members: Relay's live view; None if the sender has the same fingerprint.
        leaving: Addresses of the backend servers that are leaving.
        suspected: Groups whose primary at least one observer can't reach.
        evidence: Evidence known to the relay, sent only to relays.
    """

    clock: int
    age_ms: float | None
    store: int
    terms: tuple[TermEntry, ...]
    configuration: int
    members_version: str
    oldest_age_ms: float
    members: tuple[MemberEntry, ...] | None
    leaving: tuple[str, ...] = ()
    suspected: tuple[str, ...] = ()
    evidence: tuple[Evidence, ...] = ()


Message = typing.TypeVar('Message')

STATEMENT_REQUEST = pydantic.TypeAdapter(StatementRequest)
RESPONSE_LINE = pydantic.TypeAdapter(ResponseLine)
EXCHANGE_REQUEST = pydantic.TypeAdapter(ExchangeRequest)
EXCHANGE_REPLY = pydantic.TypeAdapter(ExchangeReply)


def decode(
    adapter: pydantic.TypeAdapter[Message],
    raw: bytes,
) -> result.Result[Message, str]:
    """Return the validated message in `raw`, or a validation error."""
    try:
        return result.Ok(adapter.validate_json(raw))
    except pydantic.ValidationError as error:
        return result.Err(str(error.errors(include_input=False)[0]['msg']))


def last_line(
    outcome: outcomes.Outcome,
    clock: int,
    transaction: str = '',
) -> LastLine:
    """Return the last line of a response with `outcome`."""
    match outcome:
        case outcomes.Done():
            return DoneLine(outcome, clock, transaction)
        case outcomes.Failed():
            return FailedLine(outcome, clock)
        case outcomes.NotRun():
            return NotRunLine(outcome, clock)
        case outcomes.OutcomeUnknown():
            return UnknownLine(outcome, clock)


def outcome_of(line: LastLine) -> outcomes.Outcome:
    """Return the outcome in the last line of a response."""
    match line:
        case DoneLine():
            return line.done
        case FailedLine():
            return line.failed
        case NotRunLine():
            return line.not_run
        case UnknownLine():
            return line.unknown
