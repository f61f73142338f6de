"""Term record of a database group, stored in the platform's key-value store.

The record holds the current term, its primary and whether writes are allowed.
"""

import dataclasses
import enum
import typing

import pydantic
import result

from celeryrelay.conf import settings
from celeryrelay.core import positions

MAX_HISTORY_TERMS = 16
FIRST_TERM = 1

_Term = typing.Annotated[int, pydantic.Field(ge=FIRST_TERM, strict=True)]
_Offset = typing.Annotated[int, pydantic.Field(ge=0, strict=True)]
# (term, base offset, log term). An operator writes the first record and may
# leave out the log term.
_Start = tuple[_Term, _Offset] | tuple[_Term, _Offset, _Offset]


class TermState(enum.StrEnum):
    """Whether the primary of the term may serve writes."""

    open = 'open'
    closed = 'closed'


@dataclasses.dataclass(frozen=True, slots=True)
class TermRecord:
    """The current term of a database group.

    Within a term the state only changes from closed to open. A promoter closes
    the group by starting a new, closed term, so `primary` of a closed record
    is the primary of the last open term.

    Attributes:
        group: Name of the database group.
        term: Number of the term.
        primary: Name of the primary slot.
        state: Whether the primary may serve writes.
        history: Starts of the last terms that were opened, oldest first; at
            most `MAX_HISTORY_TERMS`.
    """

    group: str
    term: int
    primary: str
    state: TermState
    history: tuple[positions.TermStart, ...]


class _RawRecord(settings.StrictModel):
    term: _Term
    primary: typing.Annotated[str, pydantic.Field(min_length=1)]
    state: TermState
    history: list[_Start]


def parse(
    group: str,
    raw: typing.Any,
) -> result.Result[TermRecord, str]:
    """Parse a stored value; return the record or an error message.

    Args:
        group: Name of the database group.
        raw: Decoded JSON value of the key `groups/<group>/term`.
    """
    try:
        content = _RawRecord.model_validate(raw)
    except pydantic.ValidationError as error:
        return result.Err(_error_message(group, error))
    record = TermRecord(
        group=group,
        term=content.term,
        primary=content.primary,
        state=content.state,
        history=_truncated(
            tuple(positions.TermStart(*start) for start in content.history),
        ),
    )
    problem = _history_error(record)
    if problem:
        return result.Err(
            'groups/{0}/term: history: {1}'.format(group, problem),
        )
    return result.Ok(record)


def dump(record: TermRecord) -> dict[str, typing.Any]:
    """Return the value of a record that is stored as JSON."""
    return {
        'term': record.term,
        'primary': record.primary,
        'state': record.state.value,
        'history': [
            [start.term, start.base_offset, start.log_term]
            for start in record.history
        ],
    }


def initial(group: str, primary: str) -> TermRecord:
    """Return the first record of a group, open with `primary`."""
    return TermRecord(
        group=group,
        term=FIRST_TERM,
        primary=primary,
        state=TermState.open,
        history=(positions.TermStart(FIRST_TERM, 0),),
    )


def close_term(record: TermRecord) -> TermRecord:
    """Return the closed record of the term after that of `record`."""
    return dataclasses.replace(
        record,
        term=record.term + 1,
        state=TermState.closed,
    )


def open_term(
    record: TermRecord,
    primary: str,
    base_offset: int,
    log_term: int,
) -> TermRecord:
    """Return the open record of a closed term.

    Args:
        record: The closed record.
        primary: Name of the promoted slot.
        base_offset: Log offset of the promoted slot at its promotion.
        log_term: Term of the last log entry of the promoted slot at that time.
    """
    start = positions.TermStart(record.term, base_offset, log_term)
    return dataclasses.replace(
        record,
        primary=primary,
        state=TermState.open,
        history=_truncated((*record.history, start)),
    )


def is_newer(record: TermRecord, known: TermRecord) -> bool:
    """Return whether `record` was written after `known`.

    Each term is closed before it is opened, so of two records with the same
    term the open one is newer.
    """
    return _write_order(record) > _write_order(known)


def _write_order(record: TermRecord) -> tuple[int, bool]:
    return record.term, record.state is TermState.open


def _truncated(
    history: tuple[positions.TermStart, ...],
) -> tuple[positions.TermStart, ...]:
    return history[-MAX_HISTORY_TERMS:]


def _error_message(group: str, error: pydantic.ValidationError) -> str:
    first = error.errors()[0]
    path = '.'.join(str(part) for part in first['loc']) or 'value'
    return 'groups/{0}/term: {1}: {2}, got {3!r}'.format(
        group,
        path,
        first['msg'],
        first['input'],
    )


def _history_error(record: TermRecord) -> str:
    starts = record.history
    if not starts:
        return 'at least one entry is required'
    for previous, entry in zip(starts, starts[1:], strict=False):
        if entry.term <= previous.term:
            return 'the terms of the entries must increase'
        if entry.log_term >= entry.term:
            return 'the log term of an entry must be lower than its term'
    is_open = record.state is TermState.open
    if is_open and starts[-1].term != record.term:
        return 'the last entry must be that of the open term'
    if not is_open and starts[-1].term >= record.term:
        return 'the closed term must not have an entry'
    return ''
