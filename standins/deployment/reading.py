"""Sessions that read, some of them after a write of their own."""

import asyncio
import random
import secrets
import time
import typing

from celeryrelay.load import callers, runner, tallies
from standins.deployment import bookings, cluster, specs

SESSIONS = 12
READS = 8
WRITING_SHARE = 0.5
PAUSE_S = 0.02
KEY_BYTES = 8

_INSERT = 'INSERT INTO bookings (id, place, made_at) VALUES (%s, 1, 1)'
_CHECK = 'SELECT id FROM bookings WHERE id = %s'


class Sessions:
    """Runs short sessions one after the other at several callers.

    Half of the sessions write once, before a read chosen at random. The naive
    rule sends all later reads of such a session to the primary.
    """

    def __init__(self, deployment: cluster.Cluster, seed: int) -> None:
        """Choose writes and pauses by `seed`."""
        self._group = deployment.spec.groups[0]
        self._plan = bookings.make_plan(deployment, self._group)
        self._seed = seed
        self._plain = bookings.Latencies()
        self._after_write = bookings.Latencies()
        self._stale = 0
        self._not_served = 0

    async def run(self, duration_s: float) -> dict[str, typing.Any]:
        """Run sessions and return shares and latencies."""
        before = await runner.fetch_read_counts(self._plan)
        deadline = time.monotonic() + duration_s
        await asyncio.gather(
            *(self._caller(number, deadline) for number in range(SESSIONS)),
        )
        after = await runner.fetch_read_counts(self._plan)
        replica = sum(after[key].replica - before[key].replica for key in after)
        primary = sum(after[key].primary - before[key].primary for key in after)
        plain = len(self._plain.values_ms)
        bound = len(self._after_write.values_ms)
        return {
            'reads': plain + bound,
            'replica_share': round(replica / (replica + primary), 3),
            'naive_replica_share': round(plain / (plain + bound), 3),
            'stale': self._stale,
            'not_served': self._not_served,
            'before_write': self._plain.summary(),
            'after_write': self._after_write.summary(),
        }

    async def _caller(self, number: int, deadline: float) -> None:
        generator = random.Random(f'{self._seed}/{number}')  # noqa: S311
        user = specs.user_name(self._group, 'bookings')
        caller = callers.Caller(self._plan, user, number)
        while time.monotonic() < deadline:
            writes = generator.random() < WRITING_SHARE
            write_at = generator.randrange(READS) if writes else READS
            await self._session(caller, write_at)
            caller.close()

    async def _session(self, caller: callers.Caller, write_at: int) -> None:
        key = ''
        for number in range(READS):
            if number == write_at:
                key = secrets.token_hex(KEY_BYTES)
                written = await caller.run(_INSERT, (key,))
                if written.result is not tallies.StatementResult.served:
                    self._not_served += 1
                    return
            await self._read(caller, key)
            await asyncio.sleep(PAUSE_S)

    async def _read(self, caller: callers.Caller, key: str) -> None:
        started_at = time.monotonic()
        answer = await caller.run(_CHECK, (key,))
        if answer.result is not tallies.StatementResult.served:
            self._not_served += 1
            return
        latencies = self._after_write if key else self._plain
        latencies.add(started_at)
        self._stale += bool(key and not answer.rows)
