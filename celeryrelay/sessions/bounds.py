"""Read bounds of a session and the fate of its positions."""

import enum
from collections import abc

from celeryrelay.core import positions


class PositionState(enum.Enum):
    """Whether the log entry of a position still exists.

    Attributes:
        present: Every later term started at or after the position.
        lost: A later term started before the position, or the history is too
            short to tell.
        ahead: The position belongs to a term that is not known here yet.
    """

    present = 'present'
    lost = 'lost'
    ahead = 'ahead'


class SessionBounds:
    """Greatest position per group that a session has seen."""

    def __init__(self) -> None:
        """Start without bounds."""
        self._bounds: dict[str, positions.Position] = {}

    def advance(self, position: positions.Position) -> None:
        """Raise the bound of the position's group, never lower it."""
        known = self._bounds.get(position.group)
        if known is None or _order(position) > _order(known):
            self._bounds[position.group] = position

    def bound(self, group: str) -> positions.Position | None:
        """Return the bound of `group`, None if the session has none."""
        return self._bounds.get(group)


def position_state(
    position: positions.Position,
    current_term: int,
    history: abc.Sequence[positions.TermStart],
) -> PositionState:
    """Return whether `position` survived the promotions in `history`.

    The history holds the starts of the last terms, in any order, and may lack
    the current term while that is closed. A position may be reported as lost
    although its entry still exists, never as present although it is gone.
    """
    if position.term > current_term:
        return PositionState.ahead
    if position.term == current_term:
        return PositionState.present
    known_terms = [start.term for start in history]
    if not known_terms or position.term < min(known_terms):
        return PositionState.lost
    lost = any(
        position.offset > _surviving_offset(position, start, history)
        for start in history
        if start.term > position.term
    )
    return PositionState.lost if lost else PositionState.present


def _surviving_offset(
    position: positions.Position,
    start: positions.TermStart,
    history: abc.Sequence[positions.TermStart],
) -> int:
    """Return the offset up to which the log of `position` opened `start`.

    A promoted slot whose last entry is of the position's term or a later one
    holds that term's log up to its own end. Another slot has missed the term:
    it may have entries of older terms at the same offsets, and has in common
    with the position's log only what all the terms in between began with.
    """
    if start.log_term >= position.term:
        return start.base_offset
    oldest = start.log_term
    while True:
        between = [
            other for other in history if oldest < other.term <= start.term
        ]
        reached = min(other.log_term for other in between)
        if reached >= oldest:
            return min(other.base_offset for other in between)
        oldest = reached


def _order(position: positions.Position) -> tuple[int, int]:
    return position.term, position.offset
