"""Tests of the load generator against stand-in databases and daemons."""

import asyncio
import dataclasses
import json
import random
import sys

import pymysql
import pytest

from celeryrelay.load import arrivals, callers, plans, runner, tallies, workload
from standins.deployment import cluster, specs

SHAPE = specs.DeploymentSpec(
    zones=('zone-1',),
    groups=('group-1',),
    slots_per_group=2,
    entries_per_zone=0,
    connection_limit=100,
    init_sql=workload.BOOKINGS_SCHEMA,
)
RATES = {plans.Rank.bookings: 60, plans.Rank.checks: 60}
SET_TERM = 'SET SESSION group_term = 1'


def target(deployment, slot):
    port = deployment.slots['group-1', slot].port
    return plans.Address('127.0.0.1', port)


async def test_report_counts_what_the_database_holds():
    """Guards against a report whose counts differ from the stored rows."""
    async with cluster.Cluster(SHAPE) as deployment:
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            '-m',
            'celeryrelay.management.commands.load',
            f'--targets={target(deployment, "slot-0")}',
            '--groups=group-1',
            '--rate=bookings=60',
            '--rate=checks=60',
            '--rate=reports=5',
            '--duration_s=2',
            f'--init_command={SET_TERM}',
            '--json',
            stdout=asyncio.subprocess.PIPE,
        )
        output, _ = await process.communicate()
        rows = await deployment.query(
            'group-1', 'slot-0', 'SELECT COUNT(*) FROM bookings'
        )
    assert process.returncode == 0
    report = json.loads(output)
    bookings = report['ranks']['bookings']
    assert bookings['sent'] == bookings['served'] == rows[0][0] > 50
    assert report['ranks']['reports']['served'] > 0
    assert 0 < bookings['p50_ms'] <= bookings['p99_ms']
    assert report['groups']['group-1']['bookings_acknowledged'] == rows[0][0]


async def test_reads_are_attributed_to_primary_and_replicas():
    """Guards against a replica share that omits some entry instances."""
    shape = dataclasses.replace(SHAPE, entries_per_zone=2)
    async with cluster.Cluster(shape) as deployment:
        await deployment.wait_healthy()
        plan = plans.LoadPlan(
            targets=tuple(
                plans.Address('127.0.0.1', entry.mysql_port)
                for entry in deployment.entries
            ),
            groups=('group-1',),
            rates=RATES,
            duration_s=2,
            callers=2,
            roam_every=10,
            status_addresses=tuple(
                plans.parse_address(entry.peer.address)
                for entry in deployment.entries
            ),
            fleet_key=deployment.fleet_key,
        )
        tally = await runner.Runner(plan).run()
    reads = tally.ranks[plans.Rank.checks].results[
        tallies.StatementResult.served
    ]
    # Workers of rank `bookings` send reads too, to verify their own writes.
    assert tally.reads.primary + tally.reads.replica >= reads > 0
    assert tally.sessions.checks > 0
    assert not tally.sessions.violations


async def test_missing_own_writes_are_violations():
    """Guards against a read-your-writes check that never reports a violation.

    The lag of the replica makes reads of own bookings fail there.
    """
    async with cluster.Cluster(SHAPE) as deployment:
        await deployment.query(
            'group-1', 'slot-1', "CALL standin_set('lag_ms', 60000)"
        )
        plan = plans.LoadPlan(
            targets=(
                target(deployment, 'slot-0'),
                target(deployment, 'slot-1'),
            ),
            groups=('group-1',),
            rates=RATES,
            duration_s=1,
            callers=2,
            roam_every=5,
            init_command=SET_TERM,
        )
        tally = await runner.Runner(plan).run()
    assert tally.sessions.violations
    # The replica is read-only: error 1290 for every write sent to it.
    bookings = tally.ranks[plans.Rank.bookings]
    assert (
        bookings.errors[1290]
        == bookings.results[tallies.StatementResult.failed]
        > 0
    )


async def test_silent_server_makes_outcomes_unknown():
    """Guards against omitting statements that get no answer.

    The database is suspended during the run, so sent statements time out and
    the rest stay queued.
    """
    async with cluster.Cluster(SHAPE) as deployment:
        program = deployment.slots['group-1', 'slot-0'].program
        plan = plans.LoadPlan(
            targets=(target(deployment, 'slot-0'),),
            groups=('group-1',),
            rates={plans.Rank.bookings: 50},
            duration_s=1,
            callers=2,
            init_command=SET_TERM,
            statement_timeout_s=0.5,
            drain_s=0.1,
        )
        run = asyncio.create_task(runner.Runner(plan).run())
        async with asyncio.timeout(10):
            while (
                await deployment.query(
                    'group-1', 'slot-0', 'SELECT 1 FROM bookings LIMIT 1'
                )
                == ()
            ):
                await asyncio.sleep(0.01)
        program.suspend()
        tally = await run
        program.resume()
    bookings = tally.ranks[plans.Rank.bookings]
    assert bookings.results[tallies.StatementResult.unknown] > 0
    assert bookings.unsent > 0
    keys = tally.groups['group-1'].keys_by_result
    assert sum(map(len, keys.values())) == bookings.sent


@pytest.mark.parametrize(
    ('error', 'expected'),
    [
        (pymysql.OperationalError(9201, 'x'), tallies.StatementResult.not_run),
        (pymysql.OperationalError(9202, 'x'), tallies.StatementResult.unknown),
        (pymysql.OperationalError(2013, 'x'), tallies.StatementResult.unknown),
        (pymysql.InterfaceError('(0, x)'), tallies.StatementResult.unknown),
        (ConnectionResetError(104, 'x'), tallies.StatementResult.unknown),
        (TimeoutError(), tallies.StatementResult.unknown),
        (pymysql.IntegrityError(1062, 'x'), tallies.StatementResult.failed),
        (pymysql.OperationalError(9203, 'x'), tallies.StatementResult.failed),
    ],
)
def test_result_of_errors(error, expected):
    """Guards against reporting an unknown outcome as a known one."""
    assert callers.answer_for_error(error).result is expected


def test_arrival_rate_rises_during_a_flood():
    """Guards against floods that start late or change the base rate."""
    flood = plans.Flood(plans.Rank.checks, 10, 5, 900)
    plan = plans.LoadPlan(
        targets=(),
        groups=(),
        rates={plans.Rank.checks: 100},
        duration_s=30,
        floods=(flood, plans.Flood(plans.Rank.reports, 0, 30, 50)),
    )
    schedule = arrivals.build_schedule(plan, plans.Rank.checks)
    times = list(arrivals.arrival_times(schedule, random.Random(1)))
    assert times == sorted(times)
    inside = sum(1 for at in times if 10 <= at < 15)
    assert 4700 < inside < 5300
    assert 2300 < len(times) - inside < 2700


def test_longest_gap_includes_start_and_end():
    """Guards against missing a failover gap that lasts until the run ends."""
    group = tallies.GroupTally(served_at=[1, 2, 2.5])
    assert group.longest_gap_ms(1, 2.5) == 1000
    assert group.longest_gap_ms(1, 6) == 3500
