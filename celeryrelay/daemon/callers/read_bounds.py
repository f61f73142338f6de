"""Read bounds of a session in the newest term that this daemon knows."""

from celeryrelay.core import outcomes, peer_messages, positions
from celeryrelay.daemon.callers import refusals
from celeryrelay.sessions import bounds
from celeryrelay.terms import term_records


def _position_state(
    position: positions.Position | None,
    record: term_records.TermRecord | None,
) -> bounds.PositionState:
    if record is None:
        return bounds.PositionState.ahead
    if position is None:
        return bounds.PositionState.present
    return bounds.position_state(position, record.term, record.history)


def current_bound(
    position: positions.Position | None,
    record: term_records.TermRecord | None,
) -> peer_messages.ReadBound | outcomes.NotRun | None:
    """Return the read bound in the last known term.

    Returns a refusal if a failover discarded the position, and None if the
    position is of a later term than this daemon knows, or no term is known.
    """
    verdict = _position_state(position, record)
    if verdict is bounds.PositionState.lost and position is not None:
        return refusals.lost_position(position)
    if verdict is bounds.PositionState.present and record is not None:
        return _message_bound(position, record)
    return None


def _message_bound(
    position: positions.Position | None,
    record: term_records.TermRecord,
) -> peer_messages.ReadBound:
    # While a later term is still closed, slots are in the last opened term.
    opened = record.history[-1].term if record.history else record.term
    return peer_messages.ReadBound(opened, position.offset if position else 0)
