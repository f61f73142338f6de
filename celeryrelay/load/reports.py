"""Report on a load run, as a JSON document and as a text table."""

import typing
from collections import abc

from celeryrelay.load import plans, tallies

ROW_FORMAT = '{0:<10}{1:>8}{2:>8}{3:>9}{4:>9}{5:>8}{6:>8}{7:>11}{8:>11}'
COLUMN_TITLES = (
    'rank',
    'sent',
    'served',
    'not run',
    'unknown',
    'other',
    'unsent',
    'p50 ms',
    'p99 ms',
)

Document = dict[str, typing.Any]


def build(tally: tallies.Tally) -> Document:
    """Return the report as a JSON document."""
    return {
        'ranks': {
            str(rank): _rank_document(tally.ranks[rank]) for rank in plans.Rank
        },
        'groups': {
            name: {
                'bookings_acknowledged': len(
                    group.keys_by_result[tallies.StatementResult.served],
                ),
                'bookings_unknown': len(
                    group.keys_by_result[tallies.StatementResult.unknown]
                ),
                'longest_gap_ms': group.longest_gap_ms(
                    tally.started_at,
                    tally.ended_at,
                ),
            }
            for name, group in tally.groups.items()
        },
        'sessions': {
            'checks': tally.sessions.checks,
            'violations': len(tally.sessions.violations),
            'roams': tally.sessions.roams,
        },
        'reads': {
            'primary': tally.reads.primary,
            'replica': tally.reads.replica,
            'replica_share': tally.reads.replica_share,
        },
    }


def table(document: Document) -> str:
    """Return the report as a text table."""
    lines = [ROW_FORMAT.format(*COLUMN_TITLES)]
    for rank, counts in document['ranks'].items():
        lines.append(_row(rank, counts))
    share = document['reads']['replica_share']
    sessions = document['sessions']
    lines.extend(
        (
            'Share of reads served by replicas: {0}'.format(
                'not known' if share is None else f'{share:.1%}',
            ),
            'Read-your-writes checks: {checks}, violations: {violations}, '
            'reconnects to another instance: {roams}'.format(**sessions),
        )
    )
    return '\n'.join(lines)


def _row(rank: str, counts: abc.Mapping[str, typing.Any]) -> str:
    return ROW_FORMAT.format(
        rank,
        counts['sent'],
        counts['served'],
        counts['not_run'],
        counts['unknown'],
        counts['failed'],
        counts['unsent'],
        format(counts['p50_ms'], '.1f'),
        format(counts['p99_ms'], '.1f'),
    )


def _rank_document(tally: tallies.RankTally) -> Document:
    counts = {
        str(result): tally.results[result] for result in tallies.StatementResult
    }
    return {
        'sent': tally.sent,
        'unsent': tally.unsent,
        **counts,
        'errors': {str(code): times for code, times in tally.errors.items()},
        'p50_ms': tally.latency_ms(tallies.MEDIAN),
        'p99_ms': tally.latency_ms(tallies.P99),
        'max_ms': tally.latency_us.get_max_value() / tallies.MILLISECONDS,
    }
