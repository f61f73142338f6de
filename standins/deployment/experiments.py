"""Program `celeryrelay-experiment`: repeated faults on one deployment."""

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
    kills,
    living,
    processes,
    reading,
    reconciliation,
    specs,
)

FLAGS = flags.FLAGS

LAGS_MS = (0, 10, 100)
READ_LAGS_MS = (0, 10, 100, 1000)
LOCAL_CALLERS = 3

Document = dict[str, typing.Any]


def make_shape(groups: int, lag_ms: float) -> specs.DeploymentSpec:
    """Return a deployment of three zones with six entry daemons."""
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
    """Measure the gap in served bookings over many killed primaries."""
    async with cluster.Cluster(make_shape(FLAGS.groups, 20)) as deployment:
        await deployment.wait_healthy()
        groups = await processes.run_together(
            _kill_under_load(deployment, group)
            for group in deployment.spec.groups
        )
        await asyncio.sleep(1)
        events = kills.read_events(deployment)
    made = [kill for group in groups for kill in group['kills']]
    splits = [kills.split(kill, events) for kill in made]
    parts = [split for split in splits if split is not None]
    names = parts[0] if parts else ()
    return {
        'kills': len(made),
        'ended': [group['ended'] for group in groups],
        'gap': bookings.summarise([kill.gap_ms for kill in made]),
        'parts': {
            name: bookings.summarise([split[name] for split in parts])
            for name in names
        },
        'without_events': len(made) - len(parts),
        'slowest': _slowest(made, splits),
        'bookings': _sum(group['bookings'] for group in groups),
    }


async def durability() -> Document:
    """Count acknowledged bookings that are lost with killed primaries."""
    by_lag = {}
    for lag_ms in LAGS_MS:
        _say(f'replica lag {lag_ms} ms')
        spec = make_shape(FLAGS.groups, lag_ms)
        async with cluster.Cluster(spec) as deployment:
            await deployment.wait_healthy()
            groups = await processes.run_together(
                _kill_under_load(deployment, group, local=True)
                for group in spec.groups
            )
        by_lag[f'{lag_ms} ms'] = {
            'kills': sum(len(group['kills']) for group in groups),
            'ended': [group['ended'] for group in groups],
            'replicated': _durable(groups, 'bookings'),
            'local': _durable(groups, 'local'),
        }
    return by_lag


async def false_promotions() -> Document:
    """Count promotions although the primary lives."""
    async with cluster.Cluster(make_shape(1, 20)) as deployment:
        await deployment.wait_healthy()
        trials = living.Trials(deployment, FLAGS.seed)
        deadline = time.monotonic() + FLAGS.limit_s
        for number in range(FLAGS.runs):
            if time.monotonic() > deadline:
                break
            kind = await trials.run(number)
            _say(f'run {number + 1} of {FLAGS.runs}: {kind}')
        return trials.result()


async def replica_reads() -> Document:
    """Measure reads of sessions at several replica lags."""
    by_lag = {}
    for lag_ms in READ_LAGS_MS:
        _say(f'replica lag {lag_ms} ms')
        async with cluster.Cluster(make_shape(1, lag_ms)) as deployment:
            await deployment.wait_healthy()
            sessions = reading.Sessions(deployment, FLAGS.seed)
            by_lag[f'{lag_ms} ms'] = await sessions.run(FLAGS.duration_s)
    return by_lag


async def _kill_under_load(
    deployment: cluster.Cluster,
    group: str,
    *,
    local: bool = False,
) -> Document:
    count = LOCAL_CALLERS if local else 0
    load = bookings.Load(deployment, group)
    checks = bookings.Load(deployment, group, plans.Rank.checks, count)
    async with load, checks:
        killer = kills.Killer(deployment, load, group, FLAGS.seed)
        made, ended = await _kill_often(killer, group)
    primary = await reconciliation.primary_of(deployment, group)
    rows = await deployment.query(group, primary, 'SELECT id FROM bookings')
    keys = [str(row[0]) for row in rows]
    own = set(checks.keys)
    return {
        'kills': made,
        'ended': ended,
        'bookings': _compared(load, [key for key in keys if key not in own]),
        'local': _compared(checks, [key for key in keys if key in own]),
        'latency': {
            'bookings': load.latencies.values_ms,
            'local': checks.latencies.values_ms,
        },
    }


async def _kill_often(
    killer: kills.Killer,
    group: str,
) -> tuple[list[kills.Kill], str]:
    made: list[kills.Kill] = []
    deadline = time.monotonic() + FLAGS.limit_s
    wanted = FLAGS.kills // FLAGS.groups
    while len(made) < wanted:
        if time.monotonic() > deadline:
            return made, 'time limit'
        try:
            kill = await killer.kill()
        except TimeoutError as error:
            return made, f'stopped: {error or "a slot does not follow"}'
        made.append(kill)
        _say(f'{group}: kill {len(made)} of {wanted}, {kill.gap_ms:.0f} ms')
    return made, 'complete'


def _compared(load: bookings.Load, stored: list[str]) -> dict[str, int]:
    compared = reconciliation.compare(load.tally, stored)
    return {
        'acknowledged': compared.acknowledged,
        'lost': compared.missing,
        'doubled': compared.duplicated,
        'contradicted': compared.contradicted,
        'unknown': len(load.tally.keys_by_result['unknown']),
        'not_run': len(load.tally.keys_by_result['not_run']),
        'failed': len(load.tally.keys_by_result['failed']),
    }


def _durable(groups: abc.Sequence[Document], kind: str) -> Document:
    latencies = [value for group in groups for value in group['latency'][kind]]
    counts = _sum(group[kind] for group in groups)
    return {**counts, 'latency': bookings.summarise(latencies)}


def _slowest(
    made: abc.Sequence[kills.Kill],
    splits: abc.Sequence[dict[str, float] | None],
) -> list[Document]:
    pairs = zip(made, splits, strict=True)
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


def _sum(counts: abc.Iterable[abc.Mapping[str, int]]) -> dict[str, int]:
    totals: dict[str, int] = {}
    for one in counts:
        for name, number in one.items():
            totals[name] = totals.get(name, 0) + number
    return totals


def _lines(content: abc.Mapping[str, typing.Any], indent: str = '') -> str:
    lines = []
    for name, value in content.items():
        if isinstance(value, dict) and any(
            isinstance(inner, dict) for inner in value.values()
        ):
            inner_lines = _lines(value, f'{indent}  ')
            lines.append(f'{indent}{name}:\n{inner_lines}')
        elif isinstance(value, dict):
            shown = ', '.join(f'{key} {inner}' for key, inner in value.items())
            lines.append(f'{indent}{name}: {shown}')
        else:
            lines.append(f'{indent}{name}: {value}')
    return '\n'.join(lines)


def _say(text: str) -> None:
    sys.stderr.write(f'{text}\n')
    sys.stderr.flush()


COMMANDS: typing.Mapping[
    str,
    abc.Callable[[], abc.Coroutine[None, None, Document]],
] = {
    'failovers': failovers,
    'durability': durability,
    'false_promotions': false_promotions,
    'replica_reads': replica_reads,
}


def main(arguments: abc.Sequence[str]) -> int:
    """Run the experiment that the arguments name."""
    names = arguments[1:]
    if len(names) != 1 or names[0] not in COMMANDS:
        _say('one experiment is required: {0}'.format(', '.join(COMMANDS)))
        return 2
    try:
        found = asyncio.run(COMMANDS[names[0]]())
    except (processes.StartError, TimeoutError) as error:
        _say(f'experiment failed: {error}')
        return 1
    text = json.dumps(found, indent=2) if FLAGS.json else _lines(found)
    sys.stdout.write(f'{text}\n')
    return 0


def run() -> None:
    """Parse the flags and run the program."""
    flags.DEFINE_integer('kills', 20, 'Kills, over all groups.')
    flags.DEFINE_integer('groups', 1, 'Groups that lose primaries.')
    flags.DEFINE_integer('runs', 6, 'Runs of false_promotions.')
    flags.DEFINE_integer('seed', 1, 'Seed of the times of faults.')
    flags.DEFINE_float('limit_s', 240, 'Time after which no fault is begun.')
    flags.DEFINE_float('duration_s', 15, 'Time of reads at each lag.')
    flags.DEFINE_bool('json', False, 'Print JSON.')
    app.run(main)


if __name__ == '__main__':
    run()
