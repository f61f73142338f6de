"""Program `celeryrelay-model`: simulates and compares policies.

`policies` compares admission policies, and `servers` the rules by which daemons
choose the server of a read.
"""

import dataclasses
import sys
import typing

import orjson
from absl import app, flags

from celeryrelay.admission import simulated_workloads, simulation
from celeryrelay.routing import rule_comparison

FLAGS = flags.FLAGS

USAGE = 'usage: celeryrelay-model policies|servers [--json] [--seed=N]'
# Number of runs of the comparison of servers, each with a seed of its own.
SERVER_RUNS = 3
EXIT_USAGE = 2
_ROW_FORMAT = '{0:<18}{1:<10}{2:>9}{3:>9}{4:>9}{5:>10}{6:>7}{7:>11}{8:>7}'
_COLUMN_TITLES = (
    'policy',
    'rank',
    'offered/s',
    'p50 ms',
    'p99 ms',
    'goodput/s',
    'kept',
    'worth/s',
    'gap',
)


_EMPTY_RANK_CELLS = ['', '', '', '', '', '']


def define_flags(values: flags.FlagValues) -> None:
    """Define the flags of this program.

    They are not defined on import: the programs share flag names, and absl
    raises an error if two imported modules define the same flag.
    """
    names = [deployment.name for deployment in simulated_workloads.DEPLOYMENTS]
    scenarios = [scenario.name for scenario in simulated_workloads.SCENARIOS]
    flags.DEFINE_integer(
        'seed',
        1,
        'Seed of the generated load.',
        lower_bound=0,
        flag_values=values,
    )
    flags.DEFINE_float(
        'duration',
        20,
        'Duration of the disturbance in seconds.',
        lower_bound=1,
        flag_values=values,
    )
    flags.DEFINE_multi_enum(
        'deployment',
        names,
        names,
        'Deployment to simulate; may be repeated.',
        flag_values=values,
    )
    flags.DEFINE_multi_enum(
        'scenario',
        scenarios,
        scenarios,
        'Scenario to simulate; may be repeated.',
        flag_values=values,
    )
    flags.DEFINE_bool(
        'json',
        default=False,
        help='Print JSON lines instead of tables.',
        flag_values=values,
    )


def run() -> typing.NoReturn:
    """Run the program."""
    define_flags(FLAGS)
    app.run(main)


def main(argv: list[str]) -> int:
    """Run the subcommand in `argv` and return the exit status."""
    match argv[1:]:
        case ['policies']:
            _compare_policies()
        case ['servers']:
            _compare_server_rules()
        case _:
            sys.stderr.write('{0}\n'.format(USAGE))
            return EXIT_USAGE
    return 0


def _compare_server_rules() -> None:
    seeds = range(FLAGS.seed, FLAGS.seed + SERVER_RUNS)
    for scenario in rule_comparison.SCENARIOS:
        lines = rule_comparison.table(scenario, seeds)
        sys.stdout.write('{0}\n\n'.format('\n'.join(lines)))
        sys.stdout.flush()


def _compare_policies() -> None:
    for deployment in simulated_workloads.DEPLOYMENTS:
        if deployment.name not in FLAGS.deployment:
            continue
        for scenario in simulated_workloads.SCENARIOS:
            if scenario.name in FLAGS.scenario:
                _print_comparison(deployment, scenario)


def _print_comparison(
    deployment: simulated_workloads.Deployment,
    scenario: simulated_workloads.Scenario,
) -> None:
    results = simulation.compare(
        deployment,
        scenario,
        FLAGS.duration,
        FLAGS.seed,
    )
    lines = _json_lines(results) if FLAGS.json else _table(results)
    sys.stdout.write('{0}\n'.format('\n'.join(lines)))
    sys.stdout.flush()


def _json_lines(results: list[simulation.PolicyResult]) -> list[str]:
    bound = results[-1].worth
    return [
        orjson.dumps(
            {**dataclasses.asdict(found), 'gap': _gap(found, bound)},
        ).decode()
        for found in results
    ]


def _table(results: list[simulation.PolicyResult]) -> list[str]:
    bound = results[-1].worth
    lines = [
        '{0}, {1}'.format(results[0].deployment, results[0].scenario),
        _ROW_FORMAT.format(*_COLUMN_TITLES),
    ]
    for found in results:
        total = (
            '{0:.0f}'.format(found.worth),
            '{0:.0%}'.format(_gap(found, bound)),
        )
        rows = [_rank_cells(row) for row in found.by_rank] or [
            _EMPTY_RANK_CELLS
        ]
        lines.append(_ROW_FORMAT.format(found.policy, *rows[0], *total))
        lines.extend(
            _ROW_FORMAT.format('', *row, '', '').rstrip() for row in rows[1:]
        )
    return [*lines, '']


def _rank_cells(row: simulation.RankResult) -> list[str]:
    return [
        row.rank,
        '{0:.0f}'.format(row.offered / FLAGS.duration),
        '{0:.1f}'.format(row.p50_ms),
        '{0:.1f}'.format(row.p99_ms),
        '{0:.1f}'.format(row.goodput),
        '{0:.0%}'.format(row.kept),
    ]


def _gap(found: simulation.PolicyResult, bound: float) -> float:
    """Return the fraction by which the worth of `found` is below `bound`."""
    return 1 - found.worth / bound
