"""Events that a failover takes in and commands that it returns."""

import dataclasses
import enum

from celeryrelay.terms import records


@dataclasses.dataclass(frozen=True, slots=True)
class Start:
    """Begin the failover of a group.

    Attributes:
        record: Newest known record. An open record means that there is
            evidence that its primary doesn't answer.
        revision: Its revision in the store.
        seen_at: Monotonic time in seconds at which this process first saw it.
    """

    record: records.TermRecord
    revision: int
    seen_at: float


@dataclasses.dataclass(frozen=True, slots=True)
class SwapStored:
    """The store carried out the swap to `record`."""

    record: records.TermRecord
    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class SwapConflict:
    """The store refused the swap; it holds `record` now."""

    record: records.TermRecord
    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class RecordRead:
    """The store holds `record`."""

    record: records.TermRecord
    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class StoreAnswerLost:
    """The last command to the store got no answer in time."""


@dataclasses.dataclass(frozen=True, slots=True)
class RaiseTermAnswered:
    """The slot raised its term and stopped following.

    Attributes:
        slot: Name of the slot.
        term: Term that it was raised to.
        log_term: Term of its last log entry.
        applied: Offset of its last log entry.
    """

    slot: str
    term: int
    log_term: int
    applied: int


@dataclasses.dataclass(frozen=True, slots=True)
class RaiseTermFailed:
    """The slot gave no answer to the raise to `term`."""

    slot: str
    term: int


@dataclasses.dataclass(frozen=True, slots=True)
class PromoteAnswered:
    """The slot is primary of `term`, which starts at offset `applied`."""

    slot: str
    term: int
    applied: int


@dataclasses.dataclass(frozen=True, slots=True)
class PromoteFailed:
    """The slot gave no answer to the promotion in `term`."""

    slot: str
    term: int


@dataclasses.dataclass(frozen=True, slots=True)
class FollowAnswered:
    """The slot follows the primary of `term`."""

    slot: str
    term: int


@dataclasses.dataclass(frozen=True, slots=True)
class FollowFailed:
    """The slot gave no answer to the request to follow in `term`."""

    slot: str
    term: int


@dataclasses.dataclass(frozen=True, slots=True)
class SlotRefused:
    """The slot refused a raise or promotion; its term is above `term`."""

    slot: str
    term: int


@dataclasses.dataclass(frozen=True, slots=True)
class Tick:
    """Time has passed."""


@dataclasses.dataclass(frozen=True, slots=True)
class SwapRecord:
    """Store `record` if the key still has `expected_revision`."""

    record: records.TermRecord
    expected_revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class ReadRecord:
    """Read the record of `group` from the store."""

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
    """Call `group_follow` on the slot."""

    slot: str
    term: int
    primary: str


@dataclasses.dataclass(frozen=True, slots=True)
class StepDurations:
    """Durations of the steps in milliseconds.

    Raising runs within the time of waiting; the others add up to the whole.

    Attributes:
        closing: From the start to the answer that the record is closed.
        waiting: From that answer until the promotion was allowed.
        raising: From that answer until enough slots were raised.
        promoting: Until the promoted slot answered.
        opening: Until the record was open.
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
        revision: Its revision in the store.
        not_following: Slots that haven't answered that they follow.
        lost_positions: Log positions of the old primary that the new one
            doesn't have; None if that is not known.
    """

    durations: StepDurations
    record: records.TermRecord
    revision: int
    not_following: tuple[str, ...]
    lost_positions: int | None


class GiveUpReason(enum.StrEnum):
    """Why a failover ended without a new term of its own."""

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
