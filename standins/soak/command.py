"""Program `celeryrelay-soak`: randomized faults against real daemons.

Exit codes: 0 if all promises were kept, 1 if not, 2 for wrong flags. The logs
of a seed that failed are kept.
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

EXIT_BROKEN = 1
MAX_SEED = 10**9

_SEEDS = flags.DEFINE_integer('seeds', 1, 'Soaks to run.', lower_bound=1)
_FIRST_SEED = flags.DEFINE_integer(
    'first_seed',
    None,
    'First seed, the others follow; by default a random one.',
)
_FAULTS_S = flags.DEFINE_float(
    'faults_s',
    8.0,
    'Time in seconds in which faults begin.',
    lower_bound=0.5,
)
_DAEMONS = flags.DEFINE_integer(
    'daemons',
    0,
    'Daemons of each soak; 0 lets the seed choose.',
    lower_bound=0,
    upper_bound=100,
)


def run() -> typing.NoReturn:
    """Run the program."""
    app.run(main)


def main(_: typing.Sequence[str]) -> int:
    """Run all soaks, one after the other."""
    first = _FIRST_SEED.value
    if first is None:
        first = random.SystemRandom().randrange(MAX_SEED)
    broken = [
        seed
        for seed in range(first, first + _SEEDS.value)
        if _soak(plan.draw(seed, _FAULTS_S.value, _DAEMONS.value))
    ]
    return EXIT_BROKEN if broken else 0


def _soak(planned: plan.Plan) -> bool:
    directory = pathlib.Path(tempfile.mkdtemp(prefix='soak-'))
    begun = time.monotonic()
    outcome = asyncio.run(runner.Soak(planned, directory).run())
    report = {
        'seed': planned.seed,
        'daemons': planned.daemons,
        'faults': [fault.kind.value for fault in planned.faults],
        'duration_s': round(time.monotonic() - begun, 1),
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
