"""Repeatedly kills the current primary of a group and measures the gap."""

import asyncio
import dataclasses
import random
import time
import typing

import aiomysql
import orjson
import pymysql

from standins.deployment import bookings, cluster, reconciliation

REPLICATION_TIMEOUT_S = 30
POLL_S = 0.05
# Probes and store polls are periodic. A random delay keeps kills from always
# falling into the same phase of their intervals.
MAX_KILL_DELAY_S = 0.4
# Time for bookings to be served after the new term has opened, so that the gap
# has an end.
SETTLE_S = 0.5
GAP_SEARCH_BEFORE_KILL_S = 0.5
MS_PER_S = 1000

GAP_PARTS = ('closing', 'waiting', 'raising', 'promoting', 'opening')
# Part of `waiting`: the slots' terms are raised while the acknowledgement
# window elapses.
_OVERLAPPING_PART = 'raising'
_QUERY_ERRORS = (pymysql.MySQLError, aiomysql.Error, OSError)


@dataclasses.dataclass(frozen=True, slots=True)
class Kill:
    """One kill and the failover that followed.

    Attributes:
        group: Group whose primary was killed.
        term: Term that the failover opened.
        killed_at_ms: Unix time of the kill in milliseconds.
        gap_ms: Longest time without a served booking around the kill.
    """

    group: str
    term: int
    killed_at_ms: float
    gap_ms: float


class PrimaryKiller:
    """Kills the primary of one group while the group is under load."""

    def __init__(
        self,
        deployment: cluster.Cluster,
        load: bookings.BookingLoad,
        group: str,
        seed: int,
    ) -> None:
        """Prepare kills at random times that `seed` determines."""
        self._deployment = deployment
        self._load = load
        self._group = group
        self._random = random.Random(f'{seed}/{group}')  # noqa: S311

    async def kill(self) -> Kill:
        """Kill the primary, wait for the next one and restart the slot.

        Raises:
            TimeoutError: The group got no primary in time, or a slot did not
                catch up with the primary.
        """
        await self._wait_until_replicated()
        await asyncio.sleep(self._random.uniform(0, MAX_KILL_DELAY_S))
        group = self._group
        slots = self._deployment.slots
        name = await reconciliation.wait_for_primary(self._deployment, group)
        before = await self._read_term()
        killed_at_ms = time.time() * MS_PER_S
        start = time.monotonic() - GAP_SEARCH_BEFORE_KILL_S
        await slots[group, name].program.kill()
        await reconciliation.wait_for_primary(self._deployment, group)
        term = await self._read_term()
        assert term > before  # noqa: S101
        await asyncio.sleep(SETTLE_S)
        gap_ms = self._load.tally.longest_gap_ms(start, time.monotonic())
        await self._deployment.restart_slot(group, name)
        return Kill(group, term, killed_at_ms, gap_ms)

    async def _read_term(self) -> int:
        key = f'groups/{self._group}/term'
        return int((await self._deployment.platform.value(key))['term'])

    async def _wait_until_replicated(self) -> None:
        """Wait until all replicas have applied the primary's current log."""
        async with asyncio.timeout(REPLICATION_TIMEOUT_S):
            name = await reconciliation.wait_for_primary(
                self._deployment,
                self._group,
            )
            term, _, _, applied = await self._slot_status(name)
            for group, slot in self._deployment.slots:
                if group == self._group and slot != name:
                    await self._wait_for_slot(slot, term, applied)

    async def _wait_for_slot(self, slot: str, term: int, applied: int) -> None:
        while True:
            found = await self._slot_status(slot)
            follows = found[:2] == (term, 'replica')
            if follows and found[3] >= applied:
                return
            await asyncio.sleep(POLL_S)

    async def _slot_status(self, slot: str) -> tuple[int, str, int, int]:
        """Return the term, role, log term and applied offset of a slot."""
        try:
            rows = await self._deployment.query(
                self._group,
                slot,
                'CALL group_status()',
            )
        except _QUERY_ERRORS:
            return 0, '', 0, 0
        return typing.cast(tuple[int, str, int, int], tuple(rows[0][1:]))


def read_events(deployment: cluster.Cluster) -> list[dict[str, typing.Any]]:
    """Return the failover events of all daemons, sorted by Unix time."""
    found = []
    for path in deployment.directory.glob('*.events'):
        for line in path.read_bytes().splitlines():
            event = orjson.loads(line)
            if event['kind'].startswith('failover_'):
                found.append(event)
    return sorted(found, key=_event_time_ms)


def split_gap(
    kill: Kill,
    events: list[dict[str, typing.Any]],
) -> dict[str, float] | None:
    """Return the durations in milliseconds of the parts of a gap.

    `rest` is the time that belongs to no part: failover attempts that ended
    without a new term, and the time until entry daemons learn the new term and
    serve the first booking.

    Returns:
        Durations by part; None if the events of the failover are missing.
    """
    own = [event for event in events if event['group'] == kill.group]
    finished = [
        event
        for event in own
        if event['kind'] == 'failover_finished' and event['term'] == kill.term
    ]
    started = [
        _event_time_ms(event)
        for event in own
        if event['kind'] == 'failover_started'
        and _event_time_ms(event) > kill.killed_at_ms
    ]
    if not finished or not started:
        return None
    parts = {'detection': started[0] - kill.killed_at_ms}
    parts.update({name: finished[0][name] for name in GAP_PARTS})
    explained = sum(parts.values()) - parts[_OVERLAPPING_PART]
    return {**parts, 'rest': kill.gap_ms - explained}


def _event_time_ms(event: dict[str, typing.Any]) -> float:
    return float(event['time_ms'])
