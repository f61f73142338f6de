"""Bounds of a session's reads in the term that this daemon knows."""

from celeryrelay.core import messages, outcomes, positions
from celeryrelay.daemon.callers import refusals
from celeryrelay.sessions import bounds
from celeryrelay.terms import term_records


def _survival(
    position: positions.Position | None,
    record: term_records.TermRecord | None,
) -> bounds.Survival:
    if record is None:
        return bounds.Survival.ahead
    if position is None:
        return bounds.Survival.present
    return bounds.survives(position, record.term, record.history)


def present_bound(
    position: positions.Position | None,
    record: term_records.TermRecord | None,
) -> messages.Bound | outcomes.NotRun | None:
    """Return the bound in the last known term, None if it is ahead."""
    verdict = _survival(position, record)
    if verdict is bounds.Survival.lost and position is not None:
        return refusals.lost_position(position)
    if verdict is bounds.Survival.present and record is not None:
        return _message_bound(position, record)
    return None


def _message_bound(
    position: positions.Position | None,
    record: term_records.TermRecord,
) -> messages.Bound:
    # Slots are in the last opened term while a later one is still closed.
    opened = record.history[-1].term if record.history else record.term
    return messages.Bound(opened, position.offset if position else 0)
