"""Read bounds of a session, and whether promotions removed a position.

A read bound is the log position that a server must have applied before it may
run a read of the session.
"""

import enum
from collections import abc

from celeryrelay.core import positions


class PositionState(enum.Enum):
    """Whether the log entry at a position still exists.

    Attributes:
        present: The log of every later term contains the entry.
        lost: The log of a later term does not contain the entry, or the history
            is too short to tell.
        ahead: The position belongs to a term that this daemon does not know
            yet.
    """

    present = 'present'
    lost = 'lost'
    ahead = 'ahead'


class SessionBounds:
    """Latest position per database group that a session has seen."""

    def __init__(self) -> None:
        """Start without bounds."""
        self._bounds: dict[str, positions.Position] = {}

    def advance(self, position: positions.Position) -> None:
        """Raise the bound of the position's group; never lowers it."""
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
    """Return whether the promotions in `history` preserved `position`.

    The history holds the starts of the last terms, in any order, and may lack
    the current term while that term is closed. A position whose entry still
    exists may be reported as lost, but a lost one is never reported as present.
    """
    if position.term > current_term:
        return PositionState.ahead
    if position.term == current_term:
        return PositionState.present
    known_terms = [start.term for start in history]
    if not known_terms or position.term < min(known_terms):
        return PositionState.lost
    lost = any(
        position.offset > _common_offset(position, start, history)
        for start in history
        if start.term > position.term
    )
    return PositionState.lost if lost else PositionState.present


def _common_offset(
    position: positions.Position,
    start: positions.TermStart,
    history: abc.Sequence[positions.TermStart],
) -> int:
    """Return up to which offset `start` contains the log of `position`.

    If the last entry of the promoted slot belongs to the position's term or a
    later one, the slot contains the log of that term up to its own end.
    Otherwise the slot has missed the term and may have entries of older terms
    at the same offsets. Then its log agrees with the log of the position only
    up to the lowest base offset of the terms in between.
    """
    if start.log_term >= position.term:
        return start.base_offset
    lowest_term = start.log_term
    while True:
        starts_between = [
            other for other in history if lowest_term < other.term <= start.term
        ]
        lowest_log_term = min(other.log_term for other in starts_between)
        if lowest_log_term >= lowest_term:
            return min(other.base_offset for other in starts_between)
        lowest_term = lowest_log_term


def _order(position: positions.Position) -> tuple[int, int]:
    return position.term, position.offset
