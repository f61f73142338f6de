"""Program `celeryrelay-demo`: kills a primary of a deployment under load."""

import asyncio
import contextlib
import signal
import sys
import time
from collections import abc

from absl import app, flags

from celeryrelay.load import plans, reports, runner, tallies, workload
from standins.deployment import cluster, processes, reconciliation, specs

FLAGS = flags.FLAGS

INTERRUPTED_STATUS = 130
PROGRESS_INTERVAL_S = 2.5
KILL_TIME_FRACTION = 0.4
# The search for the gap starts this long before the kill, so that a gap that
# had already begun by then is measured in full.
GAP_SEARCH_BEFORE_KILL_S = 2
FLOOD_START_FRACTION = 0.6
FLOOD_S = 4

SPEC = specs.DeploymentSpec(
    init_sql=workload.BOOKINGS_SCHEMA,
    slot_flags=(
        '--lag_ms=20',
        '--connection_cost_ms=10',
        '--service_ms=1',
    ),
)
RATES = {
    plans.Rank.bookings: 40,
    plans.Rank.checks: 100,
    plans.Rank.reports: 5,
}
FLOOD_RATE = 200
CALLERS = 6

ROW_FORMAT = '{0:<10}{1:>14}{2:>9}{3:>16}{4:>9}{5:>12}{6:>14}'
HEADER = (
    'group',
    'acknowledged',
    'stored',
    'unknown stored',
    'missing',
    'duplicated',
    'contradicted',
)


class Demo:
    """One run of the demo, with its progress output."""

    def __init__(self, duration_s: float) -> None:
        """Prepare a run with `duration_s` seconds of load."""
        self._duration_s = duration_s
        self._started_at = time.monotonic()
        self._group = SPEC.groups[0]
        self._killed_at: float = 0

    async def run(self) -> bool:
        """Run the demo and return whether all counts agree."""
        self._print_progress(
            'starting the platform, databases and entry daemons'
        )
        async with cluster.Cluster(SPEC) as deployment:
            await deployment.wait_healthy()
            self._print_progress('all entry daemons are healthy; load starts')
            tally = await self._run_load(deployment)
            return await self._report(deployment, tally)

    async def _run_load(self, deployment: cluster.Cluster) -> tallies.Tally:
        load = runner.Runner(self._make_plan(deployment))
        background_tasks = (
            asyncio.create_task(self._kill_primary(deployment)),
            asyncio.create_task(self._show_progress(load.tally)),
        )
        try:
            return await load.run()
        finally:
            for task in background_tasks:
                task.cancel()
            await asyncio.gather(*background_tasks, return_exceptions=True)

    def _make_plan(self, deployment: cluster.Cluster) -> plans.LoadPlan:
        flood = plans.Flood(
            plans.Rank.checks,
            self._duration_s * FLOOD_START_FRACTION,
            FLOOD_S,
            FLOOD_RATE,
        )
        return plans.LoadPlan(
            targets=tuple(
                plans.Address(specs.HOST, entry.mysql_port)
                for entry in deployment.entries
            ),
            groups=SPEC.groups,
            rates=RATES,
            duration_s=self._duration_s,
            floods=(flood,),
            status_addresses=tuple(
                plans.parse_address(entry.peer.address)
                for entry in deployment.entries
            ),
            fleet_key=deployment.fleet_key,
            callers=CALLERS,
        )

    async def _kill_primary(self, deployment: cluster.Cluster) -> None:
        await asyncio.sleep(self._duration_s * KILL_TIME_FRACTION)
        name = await reconciliation.wait_for_primary(deployment, self._group)
        program = deployment.slots[self._group, name].program
        self._killed_at = time.monotonic()
        await program.kill()
        self._print_progress(f'killed {name}, the primary of {self._group}')
        promoted = await reconciliation.wait_for_primary(
            deployment, self._group
        )
        self._print_progress(f'{promoted} is the new primary of {self._group}')

    async def _show_progress(self, tally: tallies.Tally) -> None:
        while True:
            await asyncio.sleep(PROGRESS_INTERVAL_S)
            served = ', '.join(
                f'{rank} {counts.results[tallies.StatementResult.served]}'
                for rank, counts in tally.ranks.items()
            )
            refused = sum(
                counts.sent - counts.results[tallies.StatementResult.served]
                for counts in tally.ranks.values()
            )
            self._print_progress(f'served: {served}; not served: {refused}')

    async def _report(
        self,
        deployment: cluster.Cluster,
        tally: tallies.Tally,
    ) -> bool:
        self._print_progress('load ended; comparing bookings')
        reconciliations = {
            group: await reconciliation.reconcile(
                deployment,
                group,
                tally.groups[group],
            )
            for group in SPEC.groups
        }
        _print(_format_tables(tally, reconciliations))
        gap_ms = tally.groups[self._group].longest_gap_ms(
            max(tally.started_at, self._killed_at - GAP_SEARCH_BEFORE_KILL_S),
            tally.ended_at,
        )
        _print(f'Failover gap of {self._group}: {gap_ms:.0f} ms')
        agrees = self._killed_at > 0 and _all_agree(tally, reconciliations)
        _print('All counts agree.' if agrees else 'The counts do not agree.')
        return agrees

    def _print_progress(self, text: str) -> None:
        elapsed_s = time.monotonic() - self._started_at
        _print(f'[{elapsed_s:5.1f} s] {text}')


def _all_agree(
    tally: tallies.Tally,
    reconciliations: abc.Mapping[str, reconciliation.Reconciliation],
) -> bool:
    return not tally.sessions.violations and all(
        group.agrees and group.acknowledged
        for group in reconciliations.values()
    )


def _format_tables(
    tally: tallies.Tally,
    reconciliations: abc.Mapping[str, reconciliation.Reconciliation],
) -> str:
    lines = ['', reports.table(reports.build(tally)), '']
    lines.append(ROW_FORMAT.format(*HEADER))
    for name, group in reconciliations.items():
        lines.append(
            ROW_FORMAT.format(
                name,
                group.acknowledged,
                group.stored,
                group.unknown_stored,
                group.missing,
                group.duplicated,
                group.contradicted,
            ),
        )
    return '\n'.join(lines)


def _print(text: str) -> None:
    sys.stdout.write(f'{text}\n')
    sys.stdout.flush()


async def _run_until_signal(duration_s: float) -> int:
    task = asyncio.ensure_future(Demo(duration_s).run())
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, task.cancel)
    with contextlib.suppress(asyncio.CancelledError):
        return 0 if await task else 1
    _print('interrupted; all processes were stopped')
    return INTERRUPTED_STATUS


def main(_arguments: abc.Sequence[str]) -> int:
    """Run the demo and return the exit code, 0 only if all counts agree."""
    try:
        return asyncio.run(_run_until_signal(FLAGS.duration_s))
    except (processes.StartError, TimeoutError) as error:
        _print(f'demo failed: {error}')
        return 1


def run() -> None:
    """Parse the flags and run the program."""
    flags.DEFINE_float('duration_s', 25, 'Duration of the load in seconds.')
    app.run(main)


if __name__ == '__main__':
    run()
