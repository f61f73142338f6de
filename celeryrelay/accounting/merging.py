"""Merging of account batches into the values of the store.

A value holds what all sources of one availability zone counted in one period.
A batch that spans periods is split, and each part goes to the key of its
period. The zone in the key is the zone of the source, not of the relay, so a
part has one key only. A value remembers the sequence numbers merged into it,
so that a part counts once however often it is delivered.
"""

import dataclasses
import typing
from collections import abc

import orjson
import pydantic
import result

from celeryrelay.accounting import batches, sequences
from celeryrelay.core import errors

KEY_PREFIX = 'accounts/'

# Raised when the shape of a value changes.
FORMAT = 1

Value = dict[str, typing.Any]
Span = typing.Annotated[
    list[batches.Positive],
    pydantic.Field(min_length=2, max_length=2),
]


class SourceModel(pydantic.BaseModel):
    """What a value holds about one source.

    Attributes:
        sequences: Ranges of the merged sequence numbers.
        spanning: Periods of each merged batch that has several.
        closing: Sequence number of the closing batch; None if not seen.
        last_sent_ms: Time of the latest merged batch.
    """

    model_config = pydantic.ConfigDict(extra='forbid')

    sequences: list[Span]
    spanning: dict[str, list[int]]
    closing: int | None
    last_sent_ms: int


class ValueModel(pydantic.BaseModel):
    """A value of the store under `accounts/<period>/<zone>[/<number>]`.

    Attributes:
        format: Format of the value.
        number: Place in the chain of values of this period and zone.
        sealed: Whether the value is complete and the next number follows.
    """

    model_config = pydantic.ConfigDict(extra='forbid')

    format: typing.Literal[1]
    deployment: str
    period: int
    zone: str
    number: batches.NonNegative
    sealed: bool
    sources: dict[str, SourceModel]
    counts: batches.GroupCounts
    delays: batches.GroupDelays
    failovers: list[batches.FailoverRecord]


@dataclasses.dataclass(frozen=True, slots=True)
class SourcePart:
    """A part of a batch with what identifies it.

    Attributes:
        batch: The batch; only its header is used.
        part: The part for one period.
    """

    batch: batches.Batch
    part: batches.Part

    @property
    def place(self) -> tuple[int, str]:
        """Return period and availability zone, which make up the key."""
        return self.part.period, self.batch.zone


def split_batch(batch: batches.Batch) -> tuple[SourcePart, ...]:
    """Return the parts of `batch`, one per period."""
    return tuple(SourcePart(batch, part) for part in batch.parts)


def store_key(period: int, zone: str, number: int = 0) -> str:
    """Return the key of a value; later numbers continue a full value."""
    key = '{0}{1}/{2}'.format(KEY_PREFIX, period, zone)
    return '{0}/{1}'.format(key, number) if number else key


def parse_value(raw: typing.Any) -> result.Result[Value, str]:
    """Return the value read from the store, or what is wrong with it."""
    try:
        model = ValueModel.model_validate(raw)
    except pydantic.ValidationError as error:
        problem = error.errors()[0]
        return result.Err(
            'account value: {0}: {1}'.format(
                '.'.join(str(key) for key in problem['loc']),
                problem['msg'],
            ),
        )
    return result.Ok(model.model_dump(mode='json'))


def is_newer(raw: typing.Any) -> bool:
    """Return whether a value has a later format than this version writes."""
    number = raw.get('format') if isinstance(raw, dict) else None
    return isinstance(number, int) and number > FORMAT


def dump(stored: Value) -> bytes:
    """Return the canonical JSON text of a value."""
    return orjson.dumps(stored, option=orjson.OPT_SORT_KEYS)


def holds(stored: Value, entry: SourcePart) -> bool:
    """Return whether `entry` is merged into `stored`."""
    source = stored['sources'].get(entry.batch.source)
    if source is None:
        return False
    return sequences.contains(source['sequences'], entry.batch.sequence)


def merge(
    stored: Value | None,
    entries: abc.Iterable[SourcePart],
    number: int = 0,
) -> Value:
    """Return `stored` with each of `entries` counted once.

    The result doesn't depend on the order of entries or on repetitions.

    Args:
        stored: The checked value of the store, which stays unchanged; None
            if the key is absent.
        entries: Parts of one period and availability zone.
        number: Place in the chain if `stored` is None.

    Raises:
        InvariantError: There is nothing to merge, or an entry belongs to
            another key or deployment.
    """
    merged = None if stored is None else orjson.loads(orjson.dumps(stored))
    for entry in entries:
        if merged is None:
            merged = _empty(entry, number)
        _merge_entry(merged, entry)
    if merged is None:
        raise errors.InvariantError('no account batch to merge')
    merged['failovers'].sort(key=_failover_order)
    return merged


def _empty(entry: SourcePart, number: int) -> Value:
    return {
        'format': FORMAT,
        'deployment': entry.batch.deployment,
        'period': entry.part.period,
        'zone': entry.batch.zone,
        'number': number,
        'sealed': False,
        'sources': {},
        'counts': {},
        'delays': {},
        'failovers': [],
    }


def _merge_entry(merged: Value, entry: SourcePart) -> None:
    place = (merged['period'], merged['zone'])
    if entry.place != place or entry.batch.deployment != merged['deployment']:
        raise errors.InvariantError(
            'account batch of {0} does not belong to {1}'.format(
                entry.batch.source,
                store_key(*place),
            ),
        )
    if _add_source(merged['sources'], entry.batch):
        _add_counts(merged['counts'], entry.part.counts)
        _add_delays(merged['delays'], entry.part.delays)
        merged['failovers'].extend(
            dataclasses.asdict(record) for record in entry.part.failovers
        )


def _add_source(sources: Value, batch: batches.Batch) -> bool:
    source = sources.setdefault(
        batch.source,
        {
            'sequences': [],
            'spanning': {},
            'closing': None,
            'last_sent_ms': batch.sent_ms,
        },
    )
    if not sequences.add(source['sequences'], batch.sequence):
        return False
    if len(batch.parts) > 1:
        source['spanning'][str(batch.sequence)] = list(batch.periods)
    if batch.closing:
        source['closing'] = batch.sequence
    source['last_sent_ms'] = max(source['last_sent_ms'], batch.sent_ms)
    return True


def _add_counts(merged: Value, counts: batches.GroupCounts) -> None:
    for group, by_rank in counts.items():
        for rank, by_outcome in by_rank.items():
            cell = merged.setdefault(group, {}).setdefault(rank.value, {})
            for name, number in by_outcome.items():
                cell[name] = cell.get(name, 0) + number


def _add_delays(merged: Value, delays: batches.GroupDelays) -> None:
    for group, by_rank in delays.items():
        for rank, by_cause in by_rank.items():
            cell = merged.setdefault(group, {}).setdefault(rank.value, {})
            for cause, (number, total_us) in by_cause.items():
                before = cell.get(cause.value, (0, 0))
                cell[cause.value] = [before[0] + number, before[1] + total_us]


def _failover_order(record: Value) -> tuple:
    """Return a key over all fields, so that the order is always the same."""
    fields = dict(record)
    lost = fields.pop('lost_positions')
    ordered = (fields[name] for name in sorted(fields))
    return (fields['completed_ms'], *ordered, lost is None, lost or 0)
