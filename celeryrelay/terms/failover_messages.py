"""Events and commands of the failover state machine.

Events are passed to `FailoverStateMachine.handle`, which returns commands.
"""

import dataclasses
import enum

from celeryrelay.terms import term_records


@dataclasses.dataclass(frozen=True, slots=True)
class Start:
    """Begin the failover of a group.

    Attributes:
        record: Newest known term record. If it is open, there is evidence
            that its primary doesn't answer.
        revision: Revision of the record in the store.
        seen_at: Monotonic time in seconds at which this process first saw the
            record.
    """

    record: term_records.TermRecord
    revision: int
    seen_at: float


@dataclasses.dataclass(frozen=True, slots=True)
class SwapStored:
    """The store carried out the compare-and-swap to `record`."""

    record: term_records.TermRecord
    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class SwapConflict:
    """The store refused the compare-and-swap; it now holds `record`."""

    record: term_records.TermRecord
    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class RecordRead:
    """The store answered a read with `record`."""

    record: term_records.TermRecord
    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class StoreAnswerLost:
    """The last command to the store got no usable answer in time.

    The store may have executed it nevertheless.
    """


@dataclasses.dataclass(frozen=True, slots=True)
class RaiseTermAnswered:
    """The slot raised its term and follows no primary any more.

    Attributes:
        slot: Name of the slot.
        term: Term to which the slot was raised.
        log_term: Term of the slot's last log entry.
        applied: Offset of the slot's last log entry.
    """

    slot: str
    term: int
    log_term: int
    applied: int


@dataclasses.dataclass(frozen=True, slots=True)
class RaiseTermFailed:
    """The slot did not answer the request to raise its term to `term`."""

    slot: str
    term: int


@dataclasses.dataclass(frozen=True, slots=True)
class PromoteAnswered:
    """The slot is the primary of `term`, which starts at offset `applied`."""

    slot: str
    term: int
    applied: int


@dataclasses.dataclass(frozen=True, slots=True)
class PromoteFailed:
    """The slot did not answer the request to promote it in `term`."""

    slot: str
    term: int


@dataclasses.dataclass(frozen=True, slots=True)
class FollowAnswered:
    """The slot follows the primary of `term`."""

    slot: str
    term: int


@dataclasses.dataclass(frozen=True, slots=True)
class FollowFailed:
    """The slot did not answer the request to follow in `term`."""

    slot: str
    term: int


@dataclasses.dataclass(frozen=True, slots=True)
class SlotRefused:
    """The slot refused to be raised or promoted; its term is above `term`."""

    slot: str
    term: int


@dataclasses.dataclass(frozen=True, slots=True)
class Tick:
    """Time has passed; waits and retries may be due."""


@dataclasses.dataclass(frozen=True, slots=True)
class SwapRecord:
    """Store `record` if the stored one still has `expected_revision`."""

    record: term_records.TermRecord
    expected_revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class ReadRecord:
    """Read the term record of `group` from the store."""

    group: str


@dataclasses.dataclass(frozen=True, slots=True)
class RaiseTerm:
    """Call `group_raise_term` on the slot."""

    slot: str
    term: int


@dataclasses.dataclass(frozen=True, slots=True)
class PromoteSlot:
    """Call `group_promote` on the slot."""

    slot: str
    term: int


@dataclasses.dataclass(frozen=True, slots=True)
class FollowPrimary:
    """Call `group_follow` on the slot, so that it follows `primary`."""

    slot: str
    term: int
    primary: str


@dataclasses.dataclass(frozen=True, slots=True)
class StepDurations:
    """Durations of the steps of a failover in milliseconds.

    `raising` is part of `waiting`; the other four add up to the duration of
    the failover.

    Attributes:
        closing: From the start until the store answered that the record is
            closed.
        waiting: From then until a slot was allowed to be promoted.
        raising: From the same time until a quorum of slots was raised.
        promoting: From the end of `waiting` until the promoted slot answered.
        opening: From then until the record was stored as open.
    """

    closing: float
    waiting: float
    raising: float
    promoting: float
    opening: float


@dataclasses.dataclass(frozen=True, slots=True)
class Finished:
    """The group has a new open term.

    Attributes:
        durations: Durations of the steps.
        record: The open record.
        revision: Revision of the record in the store.
        not_following: Names of the slots that haven't yet answered that they
            follow the new primary.
        lost_positions: Number of log positions of the old primary that the
            new one doesn't have; None if it is not known.
    """

    durations: StepDurations
    record: term_records.TermRecord
    revision: int
    not_following: tuple[str, ...]
    lost_positions: int | None


class GiveUpReason(enum.StrEnum):
    """Why a failover ended without a new term of its own.

    Attributes:
        deadline: It took too long.
        superseded: Another promoter opened a newer term.
    """

    deadline = 'deadline'
    superseded = 'superseded'


@dataclasses.dataclass(frozen=True, slots=True)
class GivenUp:
    """The failover ended without a new term of its own."""

    reason: GiveUpReason


StoreEvent = SwapStored | SwapConflict | RecordRead | StoreAnswerLost
SlotEvent = (
    RaiseTermAnswered
    | RaiseTermFailed
    | PromoteAnswered
    | PromoteFailed
    | FollowAnswered
    | FollowFailed
    | SlotRefused
)
Event = Start | StoreEvent | SlotEvent | Tick
Command = (
    SwapRecord
    | ReadRecord
    | RaiseTerm
    | PromoteSlot
    | FollowPrimary
    | Finished
    | GivenUp
)
