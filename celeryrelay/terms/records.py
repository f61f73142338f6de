"""Term record of a database group as kept in the platform's store."""

import dataclasses
import enum
import typing

import pydantic
import result

from celeryrelay.conf import settings
from celeryrelay.core import positions

HISTORY_TERMS = 16
FIRST_TERM = 1

_Term = typing.Annotated[int, pydantic.Field(ge=FIRST_TERM, strict=True)]
_Offset = typing.Annotated[int, pydantic.Field(ge=0, strict=True)]
# The first record is written by an operator, who may leave out the log's term.
_Start = tuple[_Term, _Offset] | tuple[_Term, _Offset, _Offset]


class TermState(enum.StrEnum):
    """Whether the primary of the term may serve writes."""

    open = 'open'
    closed = 'closed'


@dataclasses.dataclass(frozen=True, slots=True)
class TermRecord:
    """The current term of a database group.

    Within a term the state only changes from closed to open. A promoter
    closes the group with a new term, so `primary` of a closed record is the
    slot that was primary of the last open term.

    Attributes:
        group: Name of the database group.
        term: Number of the term.
        primary: Name of the primary slot.
        state: Whether the term is open.
        history: Starts of the last opened terms, oldest first.
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
    """Return the record in a store value, or a message that names the fault.

    Args:
        group: Name of the database group.
        raw: Decoded JSON value of the key `groups/<group>/term`.
    """
    try:
        content = _RawRecord.model_validate(raw)
    except pydantic.ValidationError as error:
        return result.Err(_describe(group, error))
    record = TermRecord(
        group=group,
        term=content.term,
        primary=content.primary,
        state=content.state,
        history=_limited(
            tuple(positions.TermStart(*start) for start in content.history),
        ),
    )
    fault = _history_fault(record)
    if fault:
        return result.Err('groups/{0}/term: history: {1}'.format(group, fault))
    return result.Ok(record)


def dump(record: TermRecord) -> dict[str, typing.Any]:
    """Return the JSON value of a record."""
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
    """Return the record of a group that has never changed its primary."""
    return TermRecord(
        group=group,
        term=FIRST_TERM,
        primary=primary,
        state=TermState.open,
        history=(positions.TermStart(FIRST_TERM, 0),),
    )


def close_term(record: TermRecord) -> TermRecord:
    """Return the closed record of the next term."""
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
        base_offset: Offset of the promoted slot at its promotion.
        log_term: Term of its last log entry then.
    """
    start = positions.TermStart(record.term, base_offset, log_term)
    return dataclasses.replace(
        record,
        primary=primary,
        state=TermState.open,
        history=_limited((*record.history, start)),
    )


def is_newer(record: TermRecord, known: TermRecord) -> bool:
    """Return whether `record` was written after `known`.

    A term is closed before it is open, so an open record is the newer one of
    two records with the same term.
    """
    return _age_order(record) > _age_order(known)


def _age_order(record: TermRecord) -> tuple[int, bool]:
    return record.term, record.state is TermState.open


def _limited(
    history: tuple[positions.TermStart, ...],
) -> tuple[positions.TermStart, ...]:
    return history[-HISTORY_TERMS:]


def _describe(group: str, error: pydantic.ValidationError) -> str:
    first = error.errors()[0]
    path = '.'.join(str(part) for part in first['loc']) or 'value'
    return 'groups/{0}/term: {1}: {2}, got {3!r}'.format(
        group,
        path,
        first['msg'],
        first['input'],
    )


def _history_fault(record: TermRecord) -> str:
    starts = record.history
    if not starts:
        return 'at least one term is required'
    for earlier, later in zip(starts, starts[1:], strict=False):
        if later.term <= earlier.term:
            return 'terms have to increase'
        if later.log_term >= later.term:
            return 'a log must not be newer than the term that it opened'
    is_open = record.state is TermState.open
    if is_open and starts[-1].term != record.term:
        return 'the last entry has to be the open term'
    if not is_open and starts[-1].term >= record.term:
        return 'a closed term must not be listed'
    return ''
