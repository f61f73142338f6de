"""Load of short sessions that read, some of them after their own write."""

import asyncio
import random
import secrets
import time
import typing

from celeryrelay.load import callers, runner, tallies
from standins.deployment import bookings, cluster, specs

CALLERS = 12
READS_PER_SESSION = 8
WRITING_FRACTION = 0.5
PAUSE_S = 0.02
KEY_BYTES = 8

_INSERT = 'INSERT INTO bookings (id, place, made_at) VALUES (%s, 1, 1)'
_SELECT = 'SELECT id FROM bookings WHERE id = %s'


class ReadLoad:
    """Runs short sessions in sequence at each of several concurrent callers.

    Half of the sessions write once, before a randomly chosen read. The result
    compares celeryrelay with the naive rule, which sends all reads after a
    write in the same session to the primary.
    """

    def __init__(self, deployment: cluster.Cluster, seed: int) -> None:
        """Prepare the load; `seed` determines the sessions' writes."""
        self._group = deployment.spec.groups[0]
        self._plan = bookings.make_plan(deployment, self._group)
        self._seed = seed
        self._before_write = bookings.Latencies()
        self._after_write = bookings.Latencies()
        self._stale = 0
        self._not_served = 0

    async def run(self, duration_s: float) -> dict[str, typing.Any]:
        """Run the load and return read counts, replica shares and latencies."""
        before = await runner.fetch_read_counts(self._plan)
        deadline = time.monotonic() + duration_s
        await asyncio.gather(
            *(self._run_caller(number, deadline) for number in range(CALLERS)),
        )
        after = await runner.fetch_read_counts(self._plan)
        replica = sum(after[key].replica - before[key].replica for key in after)
        primary = sum(after[key].primary - before[key].primary for key in after)
        read_count_before_write = len(self._before_write.values_ms)
        read_count_after_write = len(self._after_write.values_ms)
        return {
            'reads': read_count_before_write + read_count_after_write,
            'replica_share': round(replica / (replica + primary), 3),
            'naive_replica_share': round(
                read_count_before_write
                / (read_count_before_write + read_count_after_write),
                3,
            ),
            'stale': self._stale,
            'not_served': self._not_served,
            'before_write': self._before_write.summary(),
            'after_write': self._after_write.summary(),
        }

    async def _run_caller(self, number: int, deadline: float) -> None:
        generator = random.Random(f'{self._seed}/{number}')  # noqa: S311
        user = specs.user_name(self._group, 'bookings')
        caller = callers.Caller(self._plan, user, number)
        while time.monotonic() < deadline:
            writes = generator.random() < WRITING_FRACTION
            write_at = (
                generator.randrange(READS_PER_SESSION)
                if writes
                else READS_PER_SESSION
            )
            await self._run_session(caller, write_at)
            caller.close()

    async def _run_session(self, caller: callers.Caller, write_at: int) -> None:
        key = ''
        for number in range(READS_PER_SESSION):
            if number == write_at:
                key = secrets.token_hex(KEY_BYTES)
                written = await caller.run(_INSERT, (key,))
                if written.result is not tallies.StatementResult.served:
                    self._not_served += 1
                    return
            await self._run_read(caller, key)
            await asyncio.sleep(PAUSE_S)

    async def _run_read(self, caller: callers.Caller, key: str) -> None:
        started_at = time.monotonic()
        answer = await caller.run(_SELECT, (key,))
        if answer.result is not tallies.StatementResult.served:
            self._not_served += 1
            return
        latencies = self._after_write if key else self._before_write
        latencies.add(started_at)
        self._stale += bool(key and not answer.rows)
