"""Program `celeryrelay-load`: measure a deployment under load.

Statements arrive at given rates whatever the deployment does, and latency
counts from the time at which a statement was due.
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
    flags.DEFINE_list('status', [], 'HOST:PORT of peer listeners to ask.')
    flags.DEFINE_string('fleet_key_file', '', 'Key for --status.')
    flags.DEFINE_list('groups', None, 'Names of the database groups.')
    flags.DEFINE_multi_string('rate', None, 'RANK=STATEMENTS_PER_SECOND.')
    flags.DEFINE_multi_string('flood', [], 'RANK:START_S:DURATION_S:RATE.')
    flags.DEFINE_float('duration_s', 10, 'Time during which statements come.')
    flags.DEFINE_integer('callers', 8, 'Connections per group and rank.')
    flags.DEFINE_integer(
        'roam_every',
        20,
        'Statements until a caller reconnects elsewhere; 0 for never.',
    )
    flags.DEFINE_string('user_pattern', '{group}.{rank}', 'User names.')
    flags.DEFINE_string('init_command', '', 'Run on each new connection.')
    flags.DEFINE_integer('seed', 1, 'Seed of the arrival times.')
    flags.DEFINE_boolean('json', False, 'Print the report as JSON.')
    flags.mark_flags_as_required(('targets', 'groups', 'rate'))


def build_plan() -> plans.LoadPlan:
    """Return the plan that the flags describe.

    Raises:
        ValueError: A flag has a wrong form.
        OSError: The fleet key can't be read.
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
    """Run the program; the status is 1 after a consistency violation."""
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
