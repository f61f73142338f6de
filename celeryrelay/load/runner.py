"""Load runs with open-loop arrivals.

Statements arrive at the times of the plan even if earlier ones have not been
answered, so a slow deployment can't slow down the load that it is measured
with.
"""

import asyncio
import random
import time
from collections import abc

import aiohttp
import logbook

from celeryrelay.load import arrivals, plans, tallies, workload

STATUS_TIMEOUT_S = 2

logger = logbook.Logger('load')

Queues = dict[tuple[str, plans.Rank], asyncio.Queue[workload.Arrival]]


class Runner:
    """One load run, with a queue of arrivals for each group and rank.

    Attributes:
        tally: Measurements so far; complete when `run` returns.
    """

    def __init__(self, plan: plans.LoadPlan) -> None:
        """Prepare the run of `plan`."""
        self.tally = tallies.Tally()
        self._plan = plan
        generator = random.Random(plan.seed)  # noqa: S311
        self._context = workload.RunContext(plan, self.tally, generator)
        self._queues: Queues = {
            (group, rank): asyncio.Queue()
            for group in plan.groups
            for rank in plans.Rank
        }

    async def run(self) -> tallies.Tally:
        """Send all statements and return the measurements."""
        before = await fetch_read_counts(self._plan)
        self.tally.started_at = time.monotonic()
        workers = [asyncio.create_task(job) for job in self._worker_loops()]
        try:
            await asyncio.gather(
                *(self._queue_arrivals(rank) for rank in plans.Rank)
            )
            self.tally.ended_at = time.monotonic()
            await self._drain()
        finally:
            for task in workers:
                task.cancel()
            await asyncio.gather(*workers, return_exceptions=True)
        after = await fetch_read_counts(self._plan)
        self.tally.reads = _increase(before, after)
        return self.tally

    def _worker_loops(self) -> abc.Iterator[abc.Coroutine[None, None, None]]:
        states = {group: workload.GroupState() for group in self._plan.groups}
        for (group, rank), queue in self._queues.items():
            for number in range(self._plan.callers):
                worker = workload.Worker(
                    self._context,
                    group,
                    rank,
                    states[group],
                    number,
                )
                yield worker.work(queue)

    async def _queue_arrivals(self, rank: plans.Rank) -> None:
        schedule = arrivals.build_schedule(self._plan, rank)
        generator = random.Random(f'{self._plan.seed}/{rank}')  # noqa: S311
        for at_s in arrivals.arrival_times(schedule, generator):
            intended_at = self.tally.started_at + at_s
            await asyncio.sleep(intended_at - time.monotonic())
            group = generator.choice(self._plan.groups)
            self._queues[group, rank].put_nowait(
                workload.Arrival(intended_at),
            )
        ends_at = self.tally.started_at + schedule.duration_s
        await asyncio.sleep(ends_at - time.monotonic())

    async def _drain(self) -> None:
        """Wait for queued statements, then count the rest as unsent."""
        joins = [queue.join() for queue in self._queues.values()]
        all_served = asyncio.ensure_future(asyncio.gather(*joins))
        await asyncio.wait({all_served}, timeout=self._plan.drain_s)
        for (_, rank), queue in self._queues.items():
            while not queue.empty():
                queue.get_nowait()
                queue.task_done()
                self.tally.ranks[rank].unsent += 1
        # Statements already taken from a queue end by their own timeout.
        await all_served


async def fetch_read_counts(
    plan: plans.LoadPlan,
) -> dict[plans.Address, tallies.ReadCounts]:
    """Return the read counts of all entry instances that answer."""
    counts = {}
    async with aiohttp.ClientSession(
        timeout=aiohttp.ClientTimeout(total=STATUS_TIMEOUT_S),
        headers={'Authorization': f'Bearer {plan.fleet_key}'},
        raise_for_status=True,
    ) as http:
        for address in plan.status_addresses:
            try:
                counts[address] = await _fetch_read_count(http, address)
            except (aiohttp.ClientError, TimeoutError, ValueError) as error:
                logger.warning(
                    '{0}: read counts not available: {1!r}', address, error
                )
    return counts


async def _fetch_read_count(
    http: aiohttp.ClientSession,
    address: plans.Address,
) -> tallies.ReadCounts:
    async with http.get(f'http://{address}/status') as answer:
        status = await answer.json(content_type=None)
    return tallies.ReadCounts(
        status.get('reads_primary', 0),
        status.get('reads_replica', 0),
    )


def _increase(
    before: abc.Mapping[plans.Address, tallies.ReadCounts],
    after: abc.Mapping[plans.Address, tallies.ReadCounts],
) -> tallies.ReadCounts:
    """Return the reads between two fetches.

    Only instances that answered both times are counted.
    """
    both = before.keys() & after.keys()
    return tallies.ReadCounts(
        sum(
            after[address].primary - before[address].primary for address in both
        ),
        sum(
            after[address].replica - before[address].replica for address in both
        ),
    )
