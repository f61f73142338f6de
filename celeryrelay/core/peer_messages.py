"""Messages between daemons, as data classes with a checked JSON codec."""

import dataclasses
import typing

import pydantic
import result

from celeryrelay.conf import sets
from celeryrelay.core import outcomes, ranks

ColumnValue = str | None


@dataclasses.dataclass(frozen=True, slots=True)
class ReadBound:
    """Least position that a read has to see; offset 0 accepts any."""

    term: int = 0
    offset: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class StatementRequest:
    """A statement on its way from an entry to a holder.

    Attributes:
        request: Request id that all messages and events carry.
        group: Database group.
        slot: Slot that the sender addresses.
        sql: Statement text.
        rank: Rank of the route.
        budget_ms: Time left until the statement's deadline.
        write: Whether the statement may change data.
        durability: When its write may be acknowledged.
        transaction: Id of an open transaction; empty outside of one.
        entry: Incarnation of the entry that opens a transaction; empty for
            other statements.
        action: What to do besides running the statement.
        caller_request: Caller's idempotency key; empty if none.
        bound: Least position for a read.
        read_wait_ms: How long a replica may wait for the bound.
        max_age_ms: Largest age of a stale read; None for fresh reads.
        clock: Sender's Lamport clock.
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
    """Column of a result; binary values travel as base64 text."""

    name: str
    type_code: int
    binary: bool


@dataclasses.dataclass(frozen=True, slots=True)
class ResultHeader:
    """First line of an answer with rows."""

    columns: tuple[ColumnHeader, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class RowBatch:
    """Further rows of an answer."""

    rows: tuple[tuple[ColumnValue, ...], ...]


@dataclasses.dataclass(frozen=True, slots=True)
class DoneLine:
    """Last line of an answer: the statement ran."""

    done: outcomes.Done
    clock: int = 0
    transaction: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class FailedLine:
    """Last line of an answer: the server refused the statement."""

    failed: outcomes.Failed
    clock: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class NotRunLine:
    """Last line of an answer: not run."""

    not_run: outcomes.NotRun
    clock: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class UnknownLine:
    """Last line of an answer: the outcome is unknown."""

    unknown: outcomes.OutcomeUnknown
    clock: int = 0


LastLine = DoneLine | FailedLine | NotRunLine | UnknownLine
LAST_LINES = typing.get_args(LastLine)
ResponseLine = ResultHeader | RowBatch | LastLine


@dataclasses.dataclass(frozen=True, slots=True)
class TermEntry:
    """A term record as stored, with the store revision of its change."""

    group: str
    record: dict[str, typing.Any]
    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class MemberEntry:
    """A daemon as the sender knows it, with its last heartbeat's age."""

    instance: str
    zone: str
    incarnation: str
    age_ms: float
    leaving: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Evidence:
    """An observer's view of a group's primary.

    Attributes:
        group: Database group.
        slot: Probed slot.
        zone: Observer's availability zone.
        instance: Observer's instance.
        failures: Failed probes in a row.
        span_ms: Time over which they failed.
        answered_age_ms: Time since the last answer; None if it never came.
        age_ms: Age of this summary when it is sent.
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
    """Control message of a daemon to a relay, or between relays.

    Attributes:
        have_store: Store revision up to which the sender knows the terms.
        have_members: Fingerprint of the sender's live view.
        configuration: Revision of the sender's object set.
        relay: Whether the sender is a relay and wants all evidence.
        draining: Whether the sender is stopping.
        members: Sender's live view, sent when the fingerprints differed.
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
    """A relay's answer.

    Attributes:
        age_ms: Age of the store reading at the time of the answer; None if
            the relay has none.
        store: Store revision of that reading.
        terms: Records changed after `have_store`.
        configuration: Highest object set revision that the relay has.
        members_version: Fingerprint of the relay's live view.
        oldest_age_ms: Largest heartbeat age of a live member in it.
        members: The view, or None if the sender has the same fingerprint.
        leaving: Backend server addresses that are leaving.
        suspected: Groups whose primary some observer cannot reach.
        evidence: Evidence known to the relay, sent to relays only.
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
    """Return the checked message of `raw`, or what is wrong with it."""
    try:
        return result.Ok(adapter.validate_json(raw))
    except pydantic.ValidationError as error:
        return result.Err(str(error.errors(include_input=False)[0]['msg']))


def last_line(
    outcome: outcomes.Outcome,
    clock: int,
    transaction: str = '',
) -> LastLine:
    """Return the line that carries `outcome`."""
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
    """Return the outcome that a last line carries."""
    match line:
        case DoneLine():
            return line.done
        case FailedLine():
            return line.failed
        case NotRunLine():
            return line.not_run
        case UnknownLine():
            return line.unknown
