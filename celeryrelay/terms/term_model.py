"""States of the term protocol for the model check.

Calls are atomic steps, so a partition, a dead process, a pause and an outage
of the store are steps that don't happen; as no step has to happen, outages of
any number and length are covered without a step of their own. Time is reduced to what the waits of a promoter guarantee:
at their end, the permissions that they wait for have expired. Until then each
writer is taken to have the newest evidence that the store can have given.
"""

import dataclasses
import enum
import typing

NOBODY = -1
FIRST_TERM = 1

# Phases of a promoter. Plain numbers hash much faster than enum members.
IDLE = 0
UNRESOLVED = 1
RAISING = 2
PROMOTED = 3
ENDED = 4

Entry = tuple[int, int]
LogPosition = tuple[int, int]

UNRAISED: LogPosition = (NOBODY, NOBODY)


class Fault(enum.StrEnum):
    """Rules of the protocol that can be switched off.

    With `commit_without_term` the first primary accepts writes after its term
    was raised, and counts as a confirmation of them without being asked.
    """

    no_closing_wait = 'no_closing_wait'
    no_confirm_wait = 'no_confirm_wait'
    promote_count_too_small = 'promote_count_too_small'
    confirm_count_too_small = 'confirm_count_too_small'
    commit_without_term = 'commit_without_term'
    confirm_without_term = 'confirm_without_term'
    confirm_without_log_term = 'confirm_without_log_term'
    promote_least_advanced = 'promote_least_advanced'
    continue_equal_record = 'continue_equal_record'


class Writer(typing.NamedTuple):
    """One write.

    Attributes:
        term: Term of the write; 0 before its commit.
        offset: Its log offset.
        confirmed: For each slot, whether it confirmed the write. A replicated
            write needs its position confirmed, another write the term.
        acknowledged: Whether the caller was told.
    """

    term: int
    offset: int
    confirmed: tuple[bool, ...]
    acknowledged: bool


class Promoter(typing.NamedTuple):
    """One promoter.

    Attributes:
        phase: Its phase.
        term: The term that it closed.
        raised: For each slot, its log position when it was raised.
        quorum: The slots that were necessary, in order of their number.
        chosen: The slot that it promoted.
    """

    phase: int
    term: int
    raised: tuple[LogPosition, ...]
    quorum: tuple[int, ...]
    chosen: int


class Slot(typing.NamedTuple):
    """One slot; a primary follows itself. Log entries are (term, writer)."""

    term: int
    follows: int
    log: tuple[Entry, ...]


class Store(typing.NamedTuple):
    """The term record and the faults that are left.

    Attributes:
        term: Term of the record.
        is_open: Whether it is open.
        primary: Primary of the last open term.
        opened: All terms that were opened.
        lost_left: Answers still to be lost, of the store or of a raise.
        window_term: Windows of lower terms have expired.
    """

    term: int
    is_open: bool
    primary: int
    opened: tuple[int, ...]
    lost_left: int
    window_term: int


class State(typing.NamedTuple):
    """State of the whole group."""

    store: Store
    slots: tuple[Slot, ...]
    promoters: tuple[Promoter, ...]
    writers: tuple[Writer, ...]


class Step(typing.NamedTuple):
    """One step: what happens, the state after it, the promise it breaks."""

    label: str
    state: State
    violation: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class Bounds:
    """Bounds within which the check is exhaustive.

    Attributes:
        slots: Slots of the group.
        replicated: For each writer, whether its write has to be replicated.
        promoters: Number of promoters.
        last_term: Highest term; the first is 1.
        lost_answers: Lost answers to closing swaps and raises.
    """

    slots: int = 3
    replicated: tuple[bool, ...] = (True, False)
    promoters: int = 2
    last_term: int = 3
    lost_answers: int = 0


def first_state(bounds: Bounds) -> State:
    """Return the state with slot 0 as primary of the first term."""
    count = bounds.slots
    return State(
        store=Store(
            term=FIRST_TERM,
            is_open=True,
            primary=0,
            opened=(FIRST_TERM,),
            lost_left=bounds.lost_answers,
            window_term=0,
        ),
        slots=(Slot(FIRST_TERM, 0, ()),) * count,
        promoters=(Promoter(IDLE, 0, (UNRAISED,) * count, (), NOBODY),)
        * bounds.promoters,
        writers=(Writer(0, 0, (False,) * count, False),)
        * len(bounds.replicated),
    )


def put(items: tuple, index: int, item: object) -> tuple:
    """Return the tuple with one item replaced."""
    return (*items[:index], item, *items[index + 1 :])


def with_slot(state: State, number: int, slot: Slot) -> State:
    """Return the state with one slot replaced."""
    return State(
        state.store,
        put(state.slots, number, slot),
        state.promoters,
        state.writers,
    )
