"""Trials in which the primary lives and must not be replaced."""

import asyncio
import collections
import enum
import random
import typing

from standins.deployment import bookings, cluster

FAULT_S = 2.5
SETTLE_S = 1.5
FLOOD_CALLERS = 60
FLOOD_PAUSE_S = 0.005
# With 4 statements at a time a slot serves 200 statements/s, and the flood
# asks for several times that.
SLOW_SERVICE_MS = 20
NORMAL_SERVICE_MS = 1


class Kind(enum.StrEnum):
    """What goes wrong in a trial."""

    flood = 'flood'
    store_outage = 'store_outage'
    paused_observer = 'paused_observer'


class Trials:
    """Runs trials of all kinds by turns on one group."""

    def __init__(self, deployment: cluster.Cluster, seed: int) -> None:
        """Choose the paused daemons by `seed`."""
        self._deployment = deployment
        self._group = deployment.spec.groups[0]
        self._random = random.Random(seed)  # noqa: S311
        self._runs: collections.Counter[str] = collections.Counter()
        self._promotions: collections.Counter[str] = collections.Counter()
        self._results: collections.Counter[str] = collections.Counter()

    async def run(self, number: int) -> str:
        """Run one trial and return its kind."""
        kind = tuple(Kind)[number % len(Kind)]
        before = await self._term()
        load = bookings.Load(self._deployment, self._group)
        async with load:
            await self._fail(kind)
            await asyncio.sleep(SETTLE_S)
        for result, keys in load.tally.keys_by_result.items():
            self._results[result.value] += len(keys)
        self._runs[kind] += 1
        self._promotions[kind] += await self._term() - before
        return kind

    def result(self) -> dict[str, typing.Any]:
        """Return runs and promotions by kind, and bookings by result."""
        kinds = {
            str(kind): {
                'runs': self._runs[kind],
                'promotions': self._promotions[kind],
            }
            for kind in Kind
        }
        return {
            'runs': self._runs.total(),
            'promotions': self._promotions.total(),
            'kinds': kinds,
            'bookings': dict(self._results),
        }

    async def _fail(self, kind: Kind) -> None:
        match kind:
            case Kind.flood:
                await self._flood()
            case Kind.store_outage:
                await self._deployment.platform.set_faults(down=True)
                await asyncio.sleep(FAULT_S)
                await self._deployment.platform.set_faults(down=False)
            case Kind.paused_observer:
                await self._pause()

    async def _flood(self) -> None:
        await self._set_service(SLOW_SERVICE_MS)
        async with bookings.Load(
            self._deployment,
            self._group,
            count=FLOOD_CALLERS,
            pause_s=FLOOD_PAUSE_S,
        ):
            await asyncio.sleep(FAULT_S)
        await self._set_service(NORMAL_SERVICE_MS)

    async def _pause(self) -> None:
        entry = self._random.choice(self._deployment.entries)
        entry.program.suspend()
        await asyncio.sleep(FAULT_S)
        entry.program.resume()

    async def _set_service(self, service_ms: float) -> None:
        for group, slot in self._deployment.slots:
            await self._deployment.query(
                group,
                slot,
                f"CALL standin_set('service_ms', {service_ms})",
            )

    async def _term(self) -> int:
        key = f'groups/{self._group}/term'
        return int((await self._deployment.platform.value(key))['term'])
