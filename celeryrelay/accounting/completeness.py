"""Finds missing and repeated batches of each source of an account."""

import collections
import dataclasses
import itertools
from collections import abc

from celeryrelay.accounting import batches, merging, sequences


@dataclasses.dataclass(frozen=True, slots=True)
class MissingPart:
    """A part that is not stored although other parts of its batch are."""

    sequence: int
    period: int


@dataclasses.dataclass(frozen=True, slots=True)
class SourceCompleteness:
    """Completeness of the batches of one source.

    Attributes:
        source: `<instance>/<incarnation>`.
        zones: Availability zones under which its batches are stored.
        batches: Number of batches of which at least one part is stored.
        missing: Ranges of sequence numbers of which no part is stored.
        missing_parts: Missing parts of batches that are partly stored.
        repeated: Ranges of sequence numbers that are counted more than once.
            Relays never cause this; it takes a software fault or a value
            that something else wrote.
        closed: Whether the closing batch is stored.
        last_sent_ms: Time at which the last stored batch was created. If there
            is no closing batch, later counts of the source are not in the
            account.
    """

    source: str
    zones: tuple[str, ...]
    batches: int
    missing: tuple[tuple[int, int], ...]
    missing_parts: tuple[MissingPart, ...]
    repeated: tuple[tuple[int, int], ...]
    closed: bool
    last_sent_ms: int

    @property
    def complete(self) -> bool:
        """Return whether all batches are stored exactly once."""
        faults = self.missing or self.missing_parts or self.repeated
        return self.closed and not faults


@dataclasses.dataclass(slots=True)
class _StoredParts:
    """Stored parts of one source, collected from all values.

    Attributes:
        zones: Availability zones of the values.
        ranges: Sequence ranges by period, one list for each value.
        spanning: Periods of each batch that spans several.
        closing: Sequence number of the closing batch.
        last_sent_ms: Latest time at which one of the batches was created.
    """

    zones: set[str] = dataclasses.field(default_factory=set)
    ranges: dict[int, list[sequences.Ranges]] = dataclasses.field(
        default_factory=lambda: collections.defaultdict(list),
    )
    spanning: dict[int, list[int]] = dataclasses.field(default_factory=dict)
    closing: int | None = None
    last_sent_ms: int = 0


def check_sources(
    values: abc.Iterable[merging.JsonObject],
    *,
    all_periods: bool = True,
) -> tuple[SourceCompleteness, ...]:
    """Return the completeness of each source of `values`, ordered by name.

    Args:
        values: Validated account values.
        all_periods: Whether `values` cover all periods. If not, batches before
            the first stored one of a source and parts of periods without a
            value do not count as missing.
    """
    collected: dict[str, _StoredParts] = {}
    periods = set()
    for account in values:
        periods.add(account['period'])
        _collect(collected, account)
    expected = None if all_periods else periods
    return tuple(
        _check_source(name, collected[name], expected)
        for name in sorted(collected)
    )


def _collect(
    collected: dict[str, _StoredParts],
    account: merging.JsonObject,
) -> None:
    for source, entry in account['sources'].items():
        known = collected.setdefault(source, _StoredParts())
        known.zones.add(account['zone'])
        known.ranges[account['period']].append(entry['sequences'])
        for sequence, batch_periods in entry['spanning'].items():
            known.spanning[int(sequence)] = batch_periods
        if entry['closing'] is not None:
            known.closing = entry['closing']
        known.last_sent_ms = max(known.last_sent_ms, entry['last_sent_ms'])


def _check_source(
    source: str,
    known: _StoredParts,
    expected: set[int] | None,
) -> SourceCompleteness:
    stored = sequences.union(
        ranges for lists in known.ranges.values() for ranges in lists
    )
    first = batches.FIRST_SEQUENCE if expected is None else stored[0][0]
    return SourceCompleteness(
        source,
        tuple(sorted(known.zones)),
        sum(last - start + 1 for start, last in stored),
        _to_tuples(sequences.missing(stored, first)),
        tuple(_missing_parts(known, expected)),
        _to_tuples(_repeated(known)),
        known.closing is not None,
        known.last_sent_ms,
    )


def _missing_parts(
    known: _StoredParts,
    expected: set[int] | None,
) -> abc.Iterator[MissingPart]:
    for sequence in sorted(known.spanning):
        for period in known.spanning[sequence]:
            is_expected = expected is None or period in expected
            ranges = sequences.union(known.ranges.get(period, []))
            if is_expected and not sequences.contains(ranges, sequence):
                yield MissingPart(sequence, period)


def _repeated(known: _StoredParts) -> sequences.Ranges:
    """Return the sequence numbers of which a part is counted more than once.

    Only a batch that spans several periods may occur in several periods, and
    no batch may occur twice in one period.
    """
    all_range_lists = itertools.chain.from_iterable(known.ranges.values())
    found: sequences.Ranges = []
    for first, last in sequences.overlaps(all_range_lists):
        for sequence in range(first, last + 1):
            if not _is_counted_once(known, sequence):
                sequences.add(found, sequence)
    return found


def _is_counted_once(known: _StoredParts, sequence: int) -> bool:
    numbers = {
        period: sum(sequences.contains(ranges, sequence) for ranges in lists)
        for period, lists in known.ranges.items()
    }
    once = set(known.spanning.get(sequence, ()))
    return all(number <= (period in once) for period, number in numbers.items())


def _to_tuples(ranges: sequences.Ranges) -> tuple[tuple[int, int], ...]:
    return tuple((first, last) for first, last in ranges)
