"""Program `celeryrelay-experiment`: measures the effects of repeated faults."""

import asyncio
import json
import sys
import time
import typing
from collections import abc

from absl import app, flags

from celeryrelay.load import plans, workload
from standins.deployment import (
    bookings,
    cluster,
    false_promotion_trials,
    kills,
    processes,
    read_load,
    reconciliation,
    specs,
)

FLAGS = flags.FLAGS

DURABILITY_LAGS_MS = (0, 10, 100)
READ_LAGS_MS = (0, 10, 100, 1000)
LOCAL_DURABILITY_CALLERS = 3

Document = dict[str, typing.Any]


def make_spec(groups: int, lag_ms: float) -> specs.DeploymentSpec:
    """Return the spec for three zones with two entry daemons each."""
    return specs.DeploymentSpec(
        groups=tuple(f'group-{number + 1}' for number in range(groups)),
        init_sql=workload.BOOKINGS_SCHEMA,
        slot_flags=(
            f'--lag_ms={lag_ms}',
            '--connection_cost_ms=10',
            '--service_ms=1',
        ),
    )


async def failovers() -> Document:
    """Measure the gaps in served bookings after primaries are killed."""
    async with cluster.Cluster(make_spec(FLAGS.groups, 20)) as deployment:
        await deployment.wait_healthy()
        groups = await processes.gather_or_cancel(
            _kill_under_load(deployment, group)
            for group in deployment.spec.groups
        )
        await asyncio.sleep(1)
        events = kills.read_events(deployment)
    completed = [kill for group in groups for kill in group['kills']]
    gap_splits = [kills.split_gap(kill, events) for kill in completed]
    parts = [split for split in gap_splits if split is not None]
    names = parts[0] if parts else ()
    return {
        'kills': len(completed),
        'ended': [group['ended'] for group in groups],
        'gap': bookings.summarize([kill.gap_ms for kill in completed]),
        'parts': {
            name: bookings.summarize([split[name] for split in parts])
            for name in names
        },
        'without_events': len(completed) - len(parts),
        'slowest': _slowest_gaps(completed, gap_splits),
        'bookings': _sum_counts(group['bookings'] for group in groups),
    }


async def durability() -> Document:
    """Count acknowledged bookings that are lost when primaries are killed."""
    by_lag = {}
    for lag_ms in DURABILITY_LAGS_MS:
        _print_to_stderr(f'replica lag {lag_ms} ms')
        spec = make_spec(FLAGS.groups, lag_ms)
        async with cluster.Cluster(spec) as deployment:
            await deployment.wait_healthy()
            groups = await processes.gather_or_cancel(
                _kill_under_load(deployment, group, local=True)
                for group in spec.groups
            )
        by_lag[f'{lag_ms} ms'] = {
            'kills': sum(len(group['kills']) for group in groups),
            'ended': [group['ended'] for group in groups],
            'replicated': _durability_counts(groups, 'bookings'),
            'local': _durability_counts(groups, 'local'),
        }
    return by_lag


async def false_promotions() -> Document:
    """Count promotions that happen although the primary is alive."""
    async with cluster.Cluster(make_spec(1, 20)) as deployment:
        await deployment.wait_healthy()
        trials = false_promotion_trials.Trials(deployment, FLAGS.seed)
        deadline = time.monotonic() + FLAGS.limit_s
        for number in range(FLAGS.runs):
            if time.monotonic() > deadline:
                break
            kind = await trials.run(number)
            _print_to_stderr(f'run {number + 1} of {FLAGS.runs}: {kind}')
        return trials.result()


async def replica_reads() -> Document:
    """Measure replica use, staleness and latency of reads by replica lag."""
    by_lag = {}
    for lag_ms in READ_LAGS_MS:
        _print_to_stderr(f'replica lag {lag_ms} ms')
        async with cluster.Cluster(make_spec(1, lag_ms)) as deployment:
            await deployment.wait_healthy()
            load = read_load.ReadLoad(deployment, FLAGS.seed)
            by_lag[f'{lag_ms} ms'] = await load.run(FLAGS.duration_s)
    return by_lag


async def _kill_under_load(
    deployment: cluster.Cluster,
    group: str,
    *,
    local: bool = False,
) -> Document:
    count = LOCAL_DURABILITY_CALLERS if local else 0
    load = bookings.BookingLoad(deployment, group)
    checks = bookings.BookingLoad(deployment, group, plans.Rank.checks, count)
    async with load, checks:
        killer = kills.PrimaryKiller(deployment, load, group, FLAGS.seed)
        completed, ended = await _kill_repeatedly(killer, group)
    primary = await reconciliation.wait_for_primary(deployment, group)
    rows = await deployment.query(group, primary, 'SELECT id FROM bookings')
    keys = [str(row[0]) for row in rows]
    local_keys = set(checks.keys)
    return {
        'kills': completed,
        'ended': ended,
        'bookings': _booking_counts(
            load, [key for key in keys if key not in local_keys]
        ),
        'local': _booking_counts(
            checks, [key for key in keys if key in local_keys]
        ),
        'latency': {
            'bookings': load.latencies.values_ms,
            'local': checks.latencies.values_ms,
        },
    }


async def _kill_repeatedly(
    killer: kills.PrimaryKiller,
    group: str,
) -> tuple[list[kills.Kill], str]:
    completed: list[kills.Kill] = []
    deadline = time.monotonic() + FLAGS.limit_s
    required = FLAGS.kills // FLAGS.groups
    while len(completed) < required:
        if time.monotonic() > deadline:
            return completed, 'time limit'
        try:
            kill = await killer.kill()
        except TimeoutError as error:
            return (
                completed,
                f'stopped: {error or "a replica did not catch up"}',
            )
        completed.append(kill)
        _print_to_stderr(
            f'{group}: kill {len(completed)} of {required}, '
            f'gap {kill.gap_ms:.0f} ms'
        )
    return completed, 'complete'


def _booking_counts(
    load: bookings.BookingLoad, stored: list[str]
) -> dict[str, int]:
    reconciled = reconciliation.compare(load.tally, stored)
    return {
        'acknowledged': reconciled.acknowledged,
        'lost': reconciled.missing,
        'doubled': reconciled.duplicated,
        'contradicted': reconciled.contradicted,
        'unknown': len(load.tally.keys_by_result['unknown']),
        'not_run': len(load.tally.keys_by_result['not_run']),
        'failed': len(load.tally.keys_by_result['failed']),
    }


def _durability_counts(groups: abc.Sequence[Document], kind: str) -> Document:
    latencies = [value for group in groups for value in group['latency'][kind]]
    counts = _sum_counts(group[kind] for group in groups)
    return {**counts, 'latency': bookings.summarize(latencies)}


def _slowest_gaps(
    completed: abc.Sequence[kills.Kill],
    gap_splits: abc.Sequence[dict[str, float] | None],
) -> list[Document]:
    pairs = zip(completed, gap_splits, strict=True)
    ordered = sorted(pairs, key=lambda pair: -pair[0].gap_ms)
    return [
        {
            'gap_ms': round(kill.gap_ms),
            'group': kill.group,
            'term': kill.term,
            **{name: round(value) for name, value in (parts or {}).items()},
        }
        for kill, parts in ordered[:3]
    ]


def _sum_counts(counts: abc.Iterable[abc.Mapping[str, int]]) -> dict[str, int]:
    totals: dict[str, int] = {}
    for group_counts in counts:
        for name, number in group_counts.items():
            totals[name] = totals.get(name, 0) + number
    return totals


def _format_result(
    content: abc.Mapping[str, typing.Any], indent: str = ''
) -> str:
    lines = []
    for name, value in content.items():
        if isinstance(value, dict) and any(
            isinstance(inner, dict) for inner in value.values()
        ):
            inner_lines = _format_result(value, f'{indent}  ')
            lines.append(f'{indent}{name}:\n{inner_lines}')
        elif isinstance(value, dict):
            shown = ', '.join(f'{key} {inner}' for key, inner in value.items())
            lines.append(f'{indent}{name}: {shown}')
        else:
            lines.append(f'{indent}{name}: {value}')
    return '\n'.join(lines)


def _print_to_stderr(text: str) -> None:
    sys.stderr.write(f'{text}\n')
    sys.stderr.flush()


EXPERIMENTS: typing.Mapping[
    str,
    abc.Callable[[], abc.Coroutine[None, None, Document]],
] = {
    'failovers': failovers,
    'durability': durability,
    'false_promotions': false_promotions,
    'replica_reads': replica_reads,
}


def main(arguments: abc.Sequence[str]) -> int:
    """Run the experiment that the arguments name and return the exit code."""
    names = arguments[1:]
    if len(names) != 1 or names[0] not in EXPERIMENTS:
        _print_to_stderr(
            'exactly one experiment is required: {0}'.format(
                ', '.join(EXPERIMENTS)
            )
        )
        return 2
    try:
        result = asyncio.run(EXPERIMENTS[names[0]]())
    except (processes.StartError, TimeoutError) as error:
        _print_to_stderr(f'experiment failed: {error}')
        return 1
    text = (
        json.dumps(result, indent=2) if FLAGS.json else _format_result(result)
    )
    sys.stdout.write(f'{text}\n')
    return 0


def run() -> None:
    """Parse the flags and run the program."""
    flags.DEFINE_integer('kills', 20, 'Total number of kills, over all groups.')
    flags.DEFINE_integer(
        'groups', 1, 'Number of groups whose primaries are killed.'
    )
    flags.DEFINE_integer('runs', 6, 'Number of runs of false_promotions.')
    flags.DEFINE_integer('seed', 1, 'Seed of the random choices.')
    flags.DEFINE_float(
        'limit_s',
        240,
        'Time in seconds after which no more faults are injected.',
    )
    flags.DEFINE_float(
        'duration_s',
        15,
        'Duration in seconds of the reads at each replica lag.',
    )
    flags.DEFINE_bool('json', False, 'Print the result as JSON.')
    app.run(main)


if __name__ == '__main__':
    run()
