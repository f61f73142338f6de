"""Program `celeryrelay-load`: measures a deployment under load.

The load is open-loop: statements arrive at the given rates even if the
deployment is slow, and latency is measured from their arrival times.
"""

import asyncio
import json
import pathlib
import sys
from collections import abc

from absl import app, flags

from celeryrelay.load import plans, reports, runner

FLAGS = flags.FLAGS


def define_flags() -> None:
    """Define the flags of the program."""
    flags.DEFINE_list('targets', None, 'HOST:PORT of entry instances.')
    flags.DEFINE_list(
        'status', [], 'HOST:PORT of peer listeners that report read counts.'
    )
    flags.DEFINE_string(
        'fleet_key_file', '', 'File with the key of the daemons at --status.'
    )
    flags.DEFINE_list('groups', None, 'Names of the database groups.')
    flags.DEFINE_multi_string('rate', None, 'RANK=STATEMENTS_PER_SECOND.')
    flags.DEFINE_multi_string('flood', [], 'RANK:START_S:DURATION_S:RATE.')
    flags.DEFINE_float(
        'duration_s', 10, 'Time in seconds during which statements arrive.'
    )
    flags.DEFINE_integer('callers', 8, 'Connections per group and rank.')
    flags.DEFINE_integer(
        'roam_every',
        20,
        'Statements after which a caller reconnects to another instance; '
        '0 for never.',
    )
    flags.DEFINE_string('user_pattern', '{group}.{rank}', 'User names.')
    flags.DEFINE_string(
        'init_command', '', 'Statement run on each new connection.'
    )
    flags.DEFINE_integer(
        'seed', 1, 'Seed of the arrival times and other random choices.'
    )
    flags.DEFINE_boolean('json', False, 'Print the report as JSON.')
    flags.mark_flags_as_required(('targets', 'groups', 'rate'))


def build_plan() -> plans.LoadPlan:
    """Build the load plan from the flags.

    Raises:
        ValueError: A flag is malformed.
        OSError: The file with the fleet key can't be read.
    """
    path = FLAGS.fleet_key_file
    key = pathlib.Path(path).read_text(encoding='utf-8') if path else ''
    return plans.LoadPlan(
        targets=tuple(map(plans.parse_address, FLAGS.targets)),
        groups=tuple(FLAGS.groups),
        rates=plans.parse_rates(FLAGS.rate),
        duration_s=FLAGS.duration_s,
        floods=tuple(map(plans.parse_flood, FLAGS.flood)),
        status_addresses=tuple(map(plans.parse_address, FLAGS.status)),
        fleet_key=key.strip(),
        callers=FLAGS.callers,
        roam_every=FLAGS.roam_every,
        user_pattern=FLAGS.user_pattern,
        init_command=FLAGS.init_command,
        seed=FLAGS.seed,
    )


def main(_arguments: abc.Sequence[str]) -> int:
    """Run the program and return its exit code.

    Exit codes: 0 without a consistency violation, 1 with one, 2 for wrong
    usage.
    """
    try:
        plan = build_plan()
    except (ValueError, OSError) as error:
        sys.stderr.write(f'{error}\n')
        return 2
    tally = asyncio.run(runner.Runner(plan).run())
    report = reports.build(tally)
    text = json.dumps(report) if FLAGS.json else reports.table(report)
    sys.stdout.write(f'{text}\n')
    return 1 if tally.sessions.violations else 0


def run() -> None:
    """Parse the flags and run the program."""
    define_flags()
    app.run(main)


if __name__ == '__main__':
    run()
