"""Trials of faults in which the primary is alive and must be kept."""

import asyncio
import collections
import enum
import random
import typing

from standins.deployment import bookings, cluster

FAULT_DURATION_S = 2.5
SETTLE_S = 1.5
FLOOD_CALLERS = 60
FLOOD_PAUSE_S = 0.005
# A slot runs 4 statements concurrently. At this service time it completes 200
# statements/s, and the flood sends several times as many.
FLOOD_SERVICE_MS = 20
NORMAL_SERVICE_MS = 1


class FaultKind(enum.StrEnum):
    """Kind of the fault that is injected in a trial."""

    flood = 'flood'
    store_outage = 'store_outage'
    paused_observer = 'paused_observer'


class Trials:
    """Runs trials of all kinds in turn on one database group."""

    def __init__(self, deployment: cluster.Cluster, seed: int) -> None:
        """Prepare the trials; `seed` determines which daemons are paused."""
        self._deployment = deployment
        self._group = deployment.spec.groups[0]
        self._random = random.Random(seed)  # noqa: S311
        self._runs: collections.Counter[str] = collections.Counter()
        self._promotions: collections.Counter[str] = collections.Counter()
        self._results: collections.Counter[str] = collections.Counter()

    async def run(self, number: int) -> str:
        """Run the trial with index `number` and return its kind of fault."""
        kind = tuple(FaultKind)[number % len(FaultKind)]
        before = await self._read_term()
        load = bookings.BookingLoad(self._deployment, self._group)
        async with load:
            await self._inject_fault(kind)
            await asyncio.sleep(SETTLE_S)
        for result, keys in load.tally.keys_by_result.items():
            self._results[result.value] += len(keys)
        self._runs[kind] += 1
        self._promotions[kind] += await self._read_term() - before
        return kind

    def result(self) -> dict[str, typing.Any]:
        """Return runs and promotions by fault kind, and bookings by result."""
        kinds = {
            str(kind): {
                'runs': self._runs[kind],
                'promotions': self._promotions[kind],
            }
            for kind in FaultKind
        }
        return {
            'runs': self._runs.total(),
            'promotions': self._promotions.total(),
            'kinds': kinds,
            'bookings': dict(self._results),
        }

    async def _inject_fault(self, kind: FaultKind) -> None:
        match kind:
            case FaultKind.flood:
                await self._inject_flood()
            case FaultKind.store_outage:
                await self._deployment.platform.set_faults(down=True)
                await asyncio.sleep(FAULT_DURATION_S)
                await self._deployment.platform.set_faults(down=False)
            case FaultKind.paused_observer:
                await self._pause_daemon()

    async def _inject_flood(self) -> None:
        await self._set_service_time(FLOOD_SERVICE_MS)
        async with bookings.BookingLoad(
            self._deployment,
            self._group,
            count=FLOOD_CALLERS,
            pause_s=FLOOD_PAUSE_S,
        ):
            await asyncio.sleep(FAULT_DURATION_S)
        await self._set_service_time(NORMAL_SERVICE_MS)

    async def _pause_daemon(self) -> None:
        entry = self._random.choice(self._deployment.entries)
        entry.program.suspend()
        await asyncio.sleep(FAULT_DURATION_S)
        entry.program.resume()

    async def _set_service_time(self, service_ms: float) -> None:
        for group, slot in self._deployment.slots:
            await self._deployment.query(
                group,
                slot,
                f"CALL standin_set('service_ms', {service_ms})",
            )

    async def _read_term(self) -> int:
        key = f'groups/{self._group}/term'
        return int((await self._deployment.platform.value(key))['term'])
