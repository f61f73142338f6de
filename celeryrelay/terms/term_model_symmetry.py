"""Symmetry of the two replicas of a three-slot group in the model check.

Two states that differ only by the names of slots 1 and 2 lead to the same
promises, so one of them is visited. This halves the number of states.
"""

import re

from celeryrelay.terms import term_model

SYMMETRIC_SLOTS = 3

_EXCHANGED = {0: 0, 1: 2, 2: 1, term_model.NOBODY: term_model.NOBODY}
_SLOT_NAME = re.compile(r'(?<=slot )\d')


def canonical(state: term_model.State) -> tuple[term_model.State, bool]:
    """Return the state to visit, and whether slots 1 and 2 are exchanged."""
    if len(state.slots) != SYMMETRIC_SLOTS:
        return state, False
    _, first, second = state.slots
    if (first.term, first.log) < (second.term, second.log):
        return state, False
    is_tie = first.term == second.term and first.log == second.log
    if is_tie and _known_of(state, 1) <= _known_of(state, 2):
        return state, False
    return _exchange(state), True


def exchange_label(label: str) -> str:
    """Return the label of a step with slots 1 and 2 exchanged."""
    return _SLOT_NAME.sub(
        lambda match: str(_EXCHANGED[int(match.group())]),
        label,
    )


def _known_of(state: term_model.State, number: int) -> tuple:
    return (
        state.slots[number].follows == number,
        state.store.primary == number,
        [writer.confirmed[number] for writer in state.writers],
        [
            (promoter.raised[number], promoter.chosen == number)
            for promoter in state.promoters
        ],
    )


def _exchange(state: term_model.State) -> term_model.State:
    return term_model.State(
        state.store._replace(primary=_EXCHANGED[state.store.primary]),
        _exchange_items(
            tuple(
                term_model.Slot(slot.term, _EXCHANGED[slot.follows], slot.log)
                for slot in state.slots
            ),
        ),
        tuple(sorted(_exchange_promoter(item) for item in state.promoters)),
        tuple(
            writer._replace(confirmed=_exchange_items(writer.confirmed))
            for writer in state.writers
        ),
    )


def _exchange_promoter(promoter: term_model.Promoter) -> term_model.Promoter:
    return term_model.Promoter(
        promoter.phase,
        promoter.term,
        _exchange_items(promoter.raised),
        tuple(sorted(_EXCHANGED[number] for number in promoter.quorum)),
        _EXCHANGED[promoter.chosen],
    )


def _exchange_items(items: tuple) -> tuple:
    zeroth, first, second = items
    return zeroth, second, first
