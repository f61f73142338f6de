"""States of the term protocol for the model checker.

Each call is one atomic step. No step has to happen, so partitions, failed or
paused processes and outages of the store, of any number and length, are
covered without steps of their own: the steps that they prevent don't happen.

Time is modelled only by what the waits of a promoter guarantee: at their end,
the permissions that they wait for have expired. Until then, each writer is
assumed to have the newest record that the store can have returned to it.
"""

import dataclasses
import enum
import typing

NO_SLOT = -1
FIRST_TERM = 1

# Phases of a promoter. Integers hash much faster than enum members.
IDLE = 0
UNRESOLVED = 1
RAISING = 2
PROMOTED = 3
ENDED = 4

# (term, writer)
Entry = tuple[int, int]
# (term of the last log entry, length of the log)
LogPosition = tuple[int, int]

NOT_RAISED: LogPosition = (NO_SLOT, NO_SLOT)


class Fault(enum.StrEnum):
    """Faults of the protocol, each of which disables one of its rules.

    Attributes:
        no_closing_wait: A promoter doesn't wait until the acknowledgement
            windows of lower terms have expired.
        no_confirm_wait: A promoter doesn't wait until the confirmations by
            the slots of its quorum have expired.
        promote_count_too_small: One slot fewer is raised before a promotion.
        confirm_count_too_small: One confirmation fewer is required.
        commit_without_term: The first primary accepts writes even after its
            term was raised, and counts as having confirmed them.
        confirm_without_term: A slot in another term confirms a write.
        confirm_without_log_term: A slot confirms a write by its offset only,
            whatever the term of its last log entry is.
        promote_least_advanced: The least advanced raised slot is promoted.
        continue_equal_record: After a lost answer, a promoter continues in a
            closed record that is equal to its own.
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
    """A writer and its only write.

    Attributes:
        term: Term of the write; 0 before its commit.
        offset: Log offset of the write.
        confirmed: For each slot, whether it confirmed the write. A write that
            has to be replicated is confirmed by a slot that has applied it,
            any other write by a slot in its term.
        acknowledged: Whether the write was acknowledged to the caller.
    """

    term: int
    offset: int
    confirmed: tuple[bool, ...]
    acknowledged: bool


class Promoter(typing.NamedTuple):
    """A promoter.

    Attributes:
        phase: Phase of the promoter.
        term: Term that it closed.
        raised: For each slot, its log position when this promoter raised it,
            or `NOT_RAISED`.
        quorum: Numbers of the first raised slots, which make up the quorum,
            ascending.
        chosen: Number of the slot that it promoted, or `NO_SLOT`.
    """

    phase: int
    term: int
    raised: tuple[LogPosition, ...]
    quorum: tuple[int, ...]
    chosen: int


class Slot(typing.NamedTuple):
    """A slot.

    Attributes:
        term: Term of the slot.
        follows: Number of the slot that it follows; its own number if it is a
            primary; `NO_SLOT` after its term was raised.
        log: Log of the slot.
    """

    term: int
    follows: int
    log: tuple[Entry, ...]


class Store(typing.NamedTuple):
    """The term record in the store, and global state of the model.

    Attributes:
        term: Term of the record.
        is_open: Whether the term is open.
        primary: Number of the slot that is primary of the last open term.
        opened: All terms that were opened.
        lost_answers_left: How many more answers, of the store or of a slot
            that was raised, may be lost.
        min_window_term: Lowest term whose acknowledgement windows may be
            valid; those of lower terms have expired.
    """

    term: int
    is_open: bool
    primary: int
    opened: tuple[int, ...]
    lost_answers_left: int
    min_window_term: int


class State(typing.NamedTuple):
    """State of the whole group."""

    store: Store
    slots: tuple[Slot, ...]
    promoters: tuple[Promoter, ...]
    writers: tuple[Writer, ...]


class Step(typing.NamedTuple):
    """A step from one state to another.

    Attributes:
        label: Description of the step for traces.
        state: State after the step.
        violation: Invariant that the step violates; empty if none.
    """

    label: str
    state: State
    violation: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class Bounds:
    """Bounds within which the check is exhaustive.

    Attributes:
        slots: Number of slots of the group.
        replicated: For each writer, whether its write has to be replicated
            before it is acknowledged.
        promoters: Number of promoters.
        last_term: Highest term; the first is 1.
        lost_answers: Number of answers that may be lost, to requests to close
            a term or to raise a slot.
    """

    slots: int = 3
    replicated: tuple[bool, ...] = (True, False)
    promoters: int = 2
    last_term: int = 3
    lost_answers: int = 0


def initial_state(bounds: Bounds) -> State:
    """Return the state with slot 0 as the primary of the first term."""
    count = bounds.slots
    return State(
        store=Store(
            term=FIRST_TERM,
            is_open=True,
            primary=0,
            opened=(FIRST_TERM,),
            lost_answers_left=bounds.lost_answers,
            min_window_term=0,
        ),
        slots=(Slot(FIRST_TERM, 0, ()),) * count,
        promoters=(Promoter(IDLE, 0, (NOT_RAISED,) * count, (), NO_SLOT),)
        * bounds.promoters,
        writers=(Writer(0, 0, (False,) * count, False),)
        * len(bounds.replicated),
    )


def replace_item(items: tuple, index: int, item: object) -> tuple:
    """Return the tuple with one item replaced."""
    return (*items[:index], item, *items[index + 1 :])


def replace_slot(state: State, number: int, slot: Slot) -> State:
    """Return the state with one slot replaced."""
    return State(
        state.store,
        replace_item(state.slots, number, slot),
        state.promoters,
        state.writers,
    )
