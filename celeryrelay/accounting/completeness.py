"""Checks which batches of each source an account contains."""

import collections
import dataclasses
import itertools
from collections import abc

from celeryrelay.accounting import batches, merging, sequences


@dataclasses.dataclass(frozen=True, slots=True)
class MissingPart:
    """A part of a spanning batch of which only other parts are stored."""

    sequence: int
    period: int


@dataclasses.dataclass(frozen=True, slots=True)
class SourceReport:
    """What is known about one source.

    Attributes:
        source: `<instance>/<incarnation>`.
        zones: Availability zones under which its batches are stored.
        batches: Number of batches, at least one part of which is stored.
        missing: Ranges of sequence numbers of which no part is stored.
        missing_parts: Missing parts of batches that are stored in part.
        repeated: Ranges of sequence numbers that are counted more than once.
            This takes a fault or a value from outside the relays.
        closed: Whether the closing batch is stored.
        last_sent_ms: Time of the last stored batch. What a source without a
            closing batch counted later is not in the account.
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
class _Collected:
    """Stored parts of one source by the value that holds them."""

    zones: set[str] = dataclasses.field(default_factory=set)
    ranges: dict[int, list[sequences.Ranges]] = dataclasses.field(
        default_factory=lambda: collections.defaultdict(list),
    )
    spanning: dict[int, list[int]] = dataclasses.field(default_factory=dict)
    closing: int | None = None
    last_sent_ms: int = 0


def inspect(
    values: abc.Iterable[merging.Value],
    *,
    all_periods: bool = True,
) -> tuple[SourceReport, ...]:
    """Return a report on each source of `values`, ordered by name.

    Args:
        values: Checked values of the store.
        all_periods: Whether `values` cover all periods. If not, neither batches
            before the first known one of a source nor parts of periods
            outside the values count as missing.
    """
    collected: dict[str, _Collected] = {}
    periods = set()
    for account in values:
        periods.add(account['period'])
        _collect(collected, account)
    expected = None if all_periods else periods
    return tuple(
        _report(name, collected[name], expected) for name in sorted(collected)
    )


def _collect(
    collected: dict[str, _Collected],
    account: merging.Value,
) -> None:
    for source, entry in account['sources'].items():
        known = collected.setdefault(source, _Collected())
        known.zones.add(account['zone'])
        known.ranges[account['period']].append(entry['sequences'])
        for sequence, batch_periods in entry['spanning'].items():
            known.spanning[int(sequence)] = batch_periods
        if entry['closing'] is not None:
            known.closing = entry['closing']
        known.last_sent_ms = max(known.last_sent_ms, entry['last_sent_ms'])


def _report(
    source: str,
    known: _Collected,
    expected: set[int] | None,
) -> SourceReport:
    stored = sequences.union(
        ranges for lists in known.ranges.values() for ranges in lists
    )
    first = batches.FIRST_SEQUENCE if expected is None else stored[0][0]
    return SourceReport(
        source,
        tuple(sorted(known.zones)),
        sum(last - start + 1 for start, last in stored),
        _frozen(sequences.missing(stored, first)),
        tuple(_missing_parts(known, expected)),
        _frozen(_repeated(known)),
        known.closing is not None,
        known.last_sent_ms,
    )


def _missing_parts(
    known: _Collected,
    expected: set[int] | None,
) -> abc.Iterator[MissingPart]:
    for sequence in sorted(known.spanning):
        for period in known.spanning[sequence]:
            is_expected = expected is None or period in expected
            ranges = sequences.union(known.ranges.get(period, []))
            if is_expected and not sequences.contains(ranges, sequence):
                yield MissingPart(sequence, period)


def _repeated(known: _Collected) -> sequences.Ranges:
    """Return sequence numbers with parts that are counted more than once.

    Only a spanning batch may appear in several periods, and no batch twice in
    one period.
    """
    every_list = itertools.chain.from_iterable(known.ranges.values())
    found: sequences.Ranges = []
    for first, last in sequences.overlaps(every_list):
        for sequence in range(first, last + 1):
            if not _explained(known, sequence):
                sequences.add(found, sequence)
    return found


def _explained(known: _Collected, sequence: int) -> bool:
    numbers = {
        period: sum(sequences.contains(ranges, sequence) for ranges in lists)
        for period, lists in known.ranges.items()
    }
    once = set(known.spanning.get(sequence, ()))
    return all(number <= (period in once) for period, number in numbers.items())


def _frozen(ranges: sequences.Ranges) -> tuple[tuple[int, int], ...]:
    return tuple((first, last) for first, last in ranges)
