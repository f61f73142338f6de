"""Program `celeryrelay-soak`: runs daemons under load with random faults.

Exit codes: 0 if all guarantees held, 1 if one was violated, 2 for invalid
flags. The logs of a seed with violations are kept.
"""

import asyncio
import dataclasses
import json
import pathlib
import random
import shutil
import sys
import tempfile
import time
import typing

from absl import app, flags

from standins.soak import plan, runner

EXIT_VIOLATIONS = 1
MAX_SEED = 10**9

_SEEDS = flags.DEFINE_integer(
    'seeds', 1, 'Number of soaks to run.', lower_bound=1
)
_FIRST_SEED = flags.DEFINE_integer(
    'first_seed',
    None,
    'Seed of the first soak; the next soaks use the next numbers. Random by '
    'default.',
)
_FAULTS_S = flags.DEFINE_float(
    'faults_s',
    8.0,
    'Time in seconds within which faults start.',
    lower_bound=0.5,
)
_DAEMONS = flags.DEFINE_integer(
    'daemons',
    0,
    'Number of daemons in each soak; if 0, the seed determines it.',
    lower_bound=0,
    upper_bound=100,
)

_DEPOSES_PRIMARIES = flags.DEFINE_bool(
    'deposes_primaries',
    True,
    'Whether a promotion deposes the old primary; without it, that one accepts '
    'writes until it is told to step down.',
)


def run() -> typing.NoReturn:
    """Run the program."""
    app.run(main)


def main(_: typing.Sequence[str]) -> int:
    """Run all soaks in sequence and return the exit code."""
    first = _FIRST_SEED.value
    if first is None:
        first = random.SystemRandom().randrange(MAX_SEED)
    failed_seeds = [
        seed
        for seed in range(first, first + _SEEDS.value)
        if _run_soak(
            plan.generate(
                seed,
                _FAULTS_S.value,
                _DAEMONS.value,
                _DEPOSES_PRIMARIES.value,
            )
        )
    ]
    return EXIT_VIOLATIONS if failed_seeds else 0


def _run_soak(soak_plan: plan.SoakPlan) -> bool:
    directory = pathlib.Path(tempfile.mkdtemp(prefix='soak-'))
    started_at = time.monotonic()
    outcome = asyncio.run(runner.Soak(soak_plan, directory).run())
    report = {
        'seed': soak_plan.seed,
        'daemons': soak_plan.daemons,
        'deposes_primaries': soak_plan.deposes_primaries,
        'faults': [fault.kind.value for fault in soak_plan.faults],
        'duration_s': round(time.monotonic() - started_at, 1),
        **dataclasses.asdict(outcome),
    }
    if outcome.violations:
        report['logs'] = str(directory)
    else:
        shutil.rmtree(directory)
    sys.stdout.write('{0}\n'.format(json.dumps(report)))
    sys.stdout.flush()
    return bool(outcome.violations)


if __name__ == '__main__':
    run()
