"""Reports on statement outcomes, built from account values of the store."""

import csv
import dataclasses
import datetime
import io
import itertools
from collections import abc

import orjson

from celeryrelay.accounting import (
    batches,
    completeness,
    merging,
    outcome_classes,
)

TOTAL_KEYS = ('deployment', 'group', 'rank', 'period')
ALL_RANKS = '(all)'


@dataclasses.dataclass(slots=True)
class DelayTotal:
    """Number of statements delayed by one cause and their total delay."""

    statements: int = 0
    total_us: int = 0

    @property
    def total_ms(self) -> float:
        """Return the total delay in milliseconds."""
        return self.total_us / batches.US_PER_MS


@dataclasses.dataclass(slots=True)
class Totals:
    """Numbers of statements by outcome; each statement is counted once.

    Attributes:
        served: Statements that were run and acknowledged.
        failed: Statements that the backend server answered with an error.
        refused: Statements that were not run, by reason.
        unknown: Statements whose outcome is unknown, by reason.
        delayed: Delays by cause.
    """

    served: int = 0
    failed: int = 0
    refused: dict[str, int] = dataclasses.field(default_factory=dict)
    unknown: dict[str, int] = dataclasses.field(default_factory=dict)
    delayed: dict[str, DelayTotal] = dataclasses.field(default_factory=dict)

    @property
    def statements(self) -> int:
        """Return the number of statements with any outcome."""
        refused = sum(self.refused.values())
        return self.served + self.failed + refused + sum(self.unknown.values())

    def add_outcome(self, name: str, number: int) -> None:
        """Add `number` statements with the outcome name `name`."""
        outcome_class, reason = outcome_classes.split_outcome_name(name)
        match outcome_classes.OutcomeClass(outcome_class):
            case outcome_classes.OutcomeClass.done:
                self.served += number
            case outcome_classes.OutcomeClass.failed:
                self.failed += number
            case outcome_classes.OutcomeClass.not_run:
                self.refused[reason] = self.refused.get(reason, 0) + number
            case outcome_classes.OutcomeClass.outcome_unknown:
                self.unknown[reason] = self.unknown.get(reason, 0) + number

    def add_delay(self, cause: str, statements: int, total_us: int) -> None:
        """Add a number of delayed statements and their total delay."""
        delay = self.delayed.setdefault(cause, DelayTotal())
        delay.statements += statements
        delay.total_us += total_us


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class Cell:
    """Finest subdivision of totals.

    Attributes:
        deployment: Name of the deployment.
        group: Name of the database group.
        rank: Rank of the statements.
        period: Unix time in seconds at which the period starts.
    """

    deployment: str
    group: str
    rank: str
    period: int


@dataclasses.dataclass(frozen=True, slots=True)
class Report:
    """Report on a set of account values.

    Attributes:
        cells: Totals by deployment, group, rank and period.
        failovers: Completed failovers, ordered by time of completion.
        sources: Completeness of the batches of each source.
        unreadable: Error messages of invalid values, which are not included.
    """

    cells: abc.Mapping[Cell, Totals]
    failovers: tuple[batches.FailoverRecord, ...]
    sources: tuple[completeness.SourceCompleteness, ...]
    unreadable: tuple[str, ...]

    @property
    def complete(self) -> bool:
        """Return whether every batch of every known source is counted once."""
        sources_complete = all(source.complete for source in self.sources)
        return sources_complete and not self.unreadable

    def totals(self, *keys: str) -> dict[tuple[str | int, ...], Totals]:
        """Return totals grouped by some of `TOTAL_KEYS`, in ascending order."""
        grouped: dict[tuple[str | int, ...], Totals] = {}
        for cell in sorted(self.cells):
            key = tuple(getattr(cell, name) for name in keys)
            _add_totals(grouped.setdefault(key, Totals()), self.cells[cell])
        return dict(sorted(grouped.items()))


def build(
    values: abc.Iterable[abc.Mapping],
    *,
    all_periods: bool = True,
) -> Report:
    """Return the report on account values read from the store.

    Args:
        values: Values of keys under `accounts/`, in any order.
        all_periods: Whether `values` cover all periods; see
            `completeness.check_sources`.
    """
    readable = []
    unreadable = []
    for raw in values:
        checked = merging.parse_value(raw)
        if checked.is_ok():
            readable.append(checked.ok())
        else:
            unreadable.append(checked.err())
    failovers = (
        batches.FailoverRecord(**record)
        for account in readable
        for record in account['failovers']
    )
    return Report(
        _cells(readable),
        tuple(sorted(failovers, key=_failover_order)),
        completeness.check_sources(readable, all_periods=all_periods),
        tuple(unreadable),
    )


def to_json(report: Report) -> bytes:
    """Return the report as JSON, with totals, cells and completeness."""
    cells = [
        {**dataclasses.asdict(cell), **_as_dict(report.cells[cell])}
        for cell in sorted(report.cells)
    ]
    return orjson.dumps(
        {
            'complete': report.complete,
            'totals': {name: _total_rows(report, name) for name in TOTAL_KEYS},
            'cells': cells,
            'failovers': report.failovers,
            'sources': report.sources,
            'unreadable': report.unreadable,
        },
        option=orjson.OPT_INDENT_2,
    )


def to_csv(report: Report) -> str:
    """Return the cells as CSV with one measure per line."""
    target = io.StringIO()
    writer = csv.writer(target, lineterminator='\n')
    writer.writerow((*TOTAL_KEYS, 'measure', 'detail', 'value'))
    for cell in sorted(report.cells):
        for measure in _measures(report.cells[cell]):
            writer.writerow((*dataclasses.astuple(cell), *measure))
    return target.getvalue()


def failovers_to_csv(report: Report) -> str:
    """Return the failovers as CSV with one failover per line."""
    target = io.StringIO()
    names = [field.name for field in dataclasses.fields(batches.FailoverRecord)]
    writer = csv.DictWriter(target, names, lineterminator='\n')
    writer.writeheader()
    writer.writerows(dataclasses.asdict(row) for row in report.failovers)
    return target.getvalue()


def to_text(report: Report) -> str:
    """Return the report as text for a terminal."""
    lines = ['Statements by deployment and rank']
    lines.extend(_total_lines(report))
    lines.extend(('', 'Failovers: {0}'.format(len(report.failovers))))
    lines.extend(_failover_line(record) for record in report.failovers)
    lines.extend(('', 'Completeness'))
    lines.extend(_completeness_lines(report))
    return '\n'.join((*lines, ''))


def _cells(values: abc.Iterable[merging.JsonObject]) -> dict[Cell, Totals]:
    cells: dict[Cell, Totals] = {}
    for account in values:
        for cell, by_outcome in _iterate_cells(account, 'counts'):
            total = cells.setdefault(cell, Totals())
            for name, number in by_outcome.items():
                total.add_outcome(name, number)
        _add_delays(cells, account)
    return cells


def _add_delays(cells: dict[Cell, Totals], account: merging.JsonObject) -> None:
    for cell, by_cause in _iterate_cells(account, 'delays'):
        total = cells.setdefault(cell, Totals())
        for cause, delay in by_cause.items():
            total.add_delay(cause, *delay)


def _iterate_cells(
    account: merging.JsonObject,
    section: str,
) -> abc.Iterator[tuple[Cell, merging.JsonObject]]:
    for group, by_rank in account[section].items():
        for rank, content in by_rank.items():
            cell = Cell(account['deployment'], group, rank, account['period'])
            yield cell, content


def _add_totals(total: Totals, other: Totals) -> None:
    total.served += other.served
    total.failed += other.failed
    for reason, number in other.refused.items():
        total.refused[reason] = total.refused.get(reason, 0) + number
    for unknown_reason, unknown_number in other.unknown.items():
        before = total.unknown.get(unknown_reason, 0)
        total.unknown[unknown_reason] = before + unknown_number
    for cause, delay in other.delayed.items():
        total.add_delay(cause, delay.statements, delay.total_us)


def _failover_order(record: batches.FailoverRecord) -> tuple:
    return record.completed_ms, record.group, record.term


def _total_rows(report: Report, name: str) -> list[dict]:
    return [
        {name: key[0], **_as_dict(total)}
        for key, total in report.totals(name).items()
    ]


def _as_dict(total: Totals) -> dict:
    return {
        'served': total.served,
        'failed': total.failed,
        'refused': total.refused,
        'unknown': total.unknown,
        'delayed': {
            cause: {
                'statements': delay.statements,
                'total_ms': delay.total_ms,
            }
            for cause, delay in total.delayed.items()
        },
    }


def _measures(total: Totals) -> abc.Iterator[tuple[str, str, float]]:
    yield 'served', '', total.served
    yield 'failed', '', total.failed
    for reason in sorted(total.refused):
        yield 'refused', reason, total.refused[reason]
    for unknown_reason in sorted(total.unknown):
        yield 'unknown', unknown_reason, total.unknown[unknown_reason]
    for cause in sorted(total.delayed):
        yield 'delayed', cause, total.delayed[cause].statements
        yield 'delayed_ms', cause, total.delayed[cause].total_ms


def _total_lines(report: Report) -> abc.Iterator[str]:
    by_rank = report.totals('deployment', 'rank')
    by_deployment = report.totals('deployment')
    for (deployment,), total in by_deployment.items():
        yield _total_line(deployment, ALL_RANKS, total)
        for key in by_rank:
            if key[0] == deployment:
                yield _total_line(deployment, key[1], by_rank[key])


def _total_line(deployment: str, rank: str, total: Totals) -> str:
    details = itertools.chain(
        _detail_lines('refused', total.refused),
        _detail_lines('unknown', total.unknown),
        (
            '  delayed by {0}: {1}, {2:.1f} ms in total'.format(
                cause,
                delay.statements,
                delay.total_ms,
            )
            for cause, delay in sorted(total.delayed.items())
        ),
    )
    heading = '{0} {1}: {2} statements, {3} served, {4} failed'.format(
        deployment,
        rank,
        total.statements,
        total.served,
        total.failed,
    )
    return '\n'.join((heading, *details))


def _detail_lines(
    name: str, numbers: abc.Mapping[str, int]
) -> abc.Iterator[str]:
    for reason in sorted(numbers):
        yield '  {0} {1}: {2}'.format(name, reason, numbers[reason])


def _failover_line(record: batches.FailoverRecord) -> str:
    text = (
        '  {0} {1} term {2}: detection {3:.0f} ms, closing {4:.0f} ms, '
        + 'waiting {5:.0f} ms, raising {6:.0f} ms, promoting {7:.0f} ms, '
        + 'opening {8:.0f} ms, lost positions {9}'
    )
    lost = record.lost_positions
    return text.format(
        _format_time(record.completed_ms),
        record.group,
        record.term,
        record.detection_ms,
        record.closing_ms,
        record.waiting_ms,
        record.raising_ms,
        record.promoting_ms,
        record.opening_ms,
        'unknown' if lost is None else lost,
    )


def _completeness_lines(report: Report) -> abc.Iterator[str]:
    if report.complete:
        yield '  every batch of {0} sources is counted'.format(
            len(report.sources),
        )
    for source in report.sources:
        yield from _source_lines(source)
    for message in report.unreadable:
        yield '  invalid value: {0}'.format(message)


def _source_lines(source: completeness.SourceCompleteness) -> abc.Iterator[str]:
    for first, last in source.missing:
        yield '  {0}: batches {1} to {2} are missing'.format(
            source.source,
            first,
            last,
        )
    for part in source.missing_parts:
        yield '  {0}: batch {1} has no stored part for period {2}'.format(
            source.source,
            part.sequence,
            _format_time(part.period * batches.MS_PER_SECOND),
        )
    for start, end in source.repeated:
        yield '  {0}: batches {1} to {2} are counted more than once'.format(
            source.source,
            start,
            end,
        )
    if not source.closed:
        yield '  {0}: no closing batch, last batch at {1}'.format(
            source.source,
            _format_time(source.last_sent_ms),
        )


def _format_time(time_ms: int) -> str:
    moment = datetime.datetime.fromtimestamp(
        time_ms / batches.MS_PER_SECOND,
        tz=datetime.UTC,
    )
    return moment.isoformat(timespec='milliseconds')
