"""Merging of account batches into the account values of the store.

An account value contains the counts of all sources of one availability zone in
one period. A batch that spans several periods is split into one part for the
key of each period. The zone in the key is that of the source, not that of the
relay, so each part belongs to exactly one key. A value contains the sequence
numbers of the batches merged into it, so that a part is counted once even if
it is delivered several times.
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

# Increased with each incompatible change of the structure of a value.
FORMAT = 1

JsonObject = dict[str, typing.Any]
SequenceRange = typing.Annotated[
    list[batches.PositiveInt],
    pydantic.Field(min_length=2, max_length=2),
]


class SourceModel(pydantic.BaseModel):
    """Data on one source in an account value.

    Attributes:
        sequences: Ranges of the sequence numbers of merged batches.
        spanning: Periods of each merged batch that spans several, by its
            sequence number.
        closing: Sequence number of the closing batch; None if it is not
            merged.
        last_sent_ms: Latest `sent_ms` of the merged batches.
    """

    model_config = pydantic.ConfigDict(extra='forbid')

    sequences: list[SequenceRange]
    spanning: dict[str, list[int]]
    closing: int | None
    last_sent_ms: int


class ValueModel(pydantic.BaseModel):
    """Account value under the store key `accounts/<period>/<zone>[/<number>]`.

    Attributes:
        format: Version of the format.
        deployment: Name of the deployment.
        period: Unix time in seconds at which the period starts.
        zone: Availability zone of the sources.
        number: Position in the chain of values of this period and zone, from 0.
        sealed: Whether the value has reached its size limit and is never
            changed again; the next number continues it.
        sources: Data on each source by its name.
        counts: Number of statements by group, rank and outcome.
        delays: Delays by group, rank and cause.
        failovers: Failovers completed in the period.
    """

    model_config = pydantic.ConfigDict(extra='forbid')

    format: typing.Literal[1]
    deployment: str
    period: int
    zone: str
    number: batches.NonNegativeInt
    sealed: bool
    sources: dict[str, SourceModel]
    counts: batches.GroupCounts
    delays: batches.GroupDelays
    failovers: list[batches.FailoverRecord]


@dataclasses.dataclass(frozen=True, slots=True)
class SourcePart:
    """A part of a batch together with the header of the batch.

    Attributes:
        batch: Batch of which only the header is used.
        part: Counts of one period.
    """

    batch: batches.Batch
    part: batches.Part

    @property
    def bucket(self) -> tuple[int, str]:
        """Return period and availability zone, which determine the key."""
        return self.part.period, self.batch.zone


def split_batch(batch: batches.Batch) -> tuple[SourcePart, ...]:
    """Return the parts of `batch`, one per period."""
    return tuple(SourcePart(batch, part) for part in batch.parts)


def store_key(period: int, zone: str, number: int = 0) -> str:
    """Return the store key; numbers above 0 continue a sealed value."""
    key = '{0}{1}/{2}'.format(KEY_PREFIX, period, zone)
    return '{0}/{1}'.format(key, number) if number else key


def parse_value(raw: typing.Any) -> result.Result[JsonObject, str]:
    """Validate a value of the store; the error names the invalid key."""
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


def has_newer_format(raw: typing.Any) -> bool:
    """Return whether `raw` has a later format than this version writes."""
    number = raw.get('format') if isinstance(raw, dict) else None
    return isinstance(number, int) and number > FORMAT


def dump(stored: JsonObject) -> bytes:
    """Return an account value as JSON with sorted keys."""
    return orjson.dumps(stored, option=orjson.OPT_SORT_KEYS)


def contains_part(stored: JsonObject, entry: SourcePart) -> bool:
    """Return whether `entry` has been merged into `stored`."""
    source = stored['sources'].get(entry.batch.source)
    if source is None:
        return False
    return sequences.contains(source['sequences'], entry.batch.sequence)


def merge(
    stored: JsonObject | None,
    entries: abc.Iterable[SourcePart],
    number: int = 0,
) -> JsonObject:
    """Return `stored` with `entries` merged into it, each counted once.

    The result depends neither on the order of entries nor on repetitions.

    Args:
        stored: Validated value of the store, which is not modified; None if
            the key does not exist.
        entries: Parts of one period and availability zone.
        number: Position in the chain of values if `stored` is None.

    Raises:
        InvariantError: `entries` is empty and `stored` is None, or an entry
            belongs to another key or deployment.
    """
    merged = None if stored is None else orjson.loads(orjson.dumps(stored))
    for entry in entries:
        if merged is None:
            merged = _new_value(entry, number)
        _merge_entry(merged, entry)
    if merged is None:
        raise errors.InvariantError('no account batches to merge')
    merged['failovers'].sort(key=_failover_order)
    return merged


def _new_value(entry: SourcePart, number: int) -> JsonObject:
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


def _merge_entry(merged: JsonObject, entry: SourcePart) -> None:
    bucket = (merged['period'], merged['zone'])
    if entry.bucket != bucket or entry.batch.deployment != merged['deployment']:
        raise errors.InvariantError(
            'account batch of {0} does not belong to {1}'.format(
                entry.batch.source,
                store_key(*bucket),
            ),
        )
    if _add_source(merged['sources'], entry.batch):
        _add_counts(merged['counts'], entry.part.counts)
        _add_delays(merged['delays'], entry.part.delays)
        merged['failovers'].extend(
            dataclasses.asdict(record) for record in entry.part.failovers
        )


def _add_source(sources: JsonObject, batch: batches.Batch) -> bool:
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


def _add_counts(merged: JsonObject, counts: batches.GroupCounts) -> None:
    for group, by_rank in counts.items():
        for rank, by_outcome in by_rank.items():
            cell = merged.setdefault(group, {}).setdefault(rank.value, {})
            for name, number in by_outcome.items():
                cell[name] = cell.get(name, 0) + number


def _add_delays(merged: JsonObject, delays: batches.GroupDelays) -> None:
    for group, by_rank in delays.items():
        for rank, by_cause in by_rank.items():
            cell = merged.setdefault(group, {}).setdefault(rank.value, {})
            for cause, (number, total_us) in by_cause.items():
                before = cell.get(cause.value, (0, 0))
                cell[cause.value] = [before[0] + number, before[1] + total_us]


def _failover_order(record: JsonObject) -> tuple:
    """Return a sort key of all fields, which makes the order unique."""
    fields = dict(record)
    lost = fields.pop('lost_positions')
    ordered = (fields[name] for name in sorted(fields))
    return (fields['completed_ms'], *ordered, lost is None, lost or 0)
