"""Constant load of booking statements for experiments."""

import asyncio
import dataclasses
import random
import secrets
import time
import types
import typing

from celeryrelay.load import callers, plans, tallies
from standins.deployment import cluster, specs

MEAN_PAUSE_S = 0.05
KEY_PREFIX_BYTES = 4
MS_PER_S = 1000
MEDIAN_FRACTION = 0.5
P99_FRACTION = 0.99

_INSERT = 'INSERT INTO bookings (id, place, made_at) VALUES (%s, 1, %s)'


@dataclasses.dataclass(slots=True)
class Latencies:
    """Collected latencies in milliseconds."""

    values_ms: list[float] = dataclasses.field(default_factory=list)

    def add(self, started_at: float) -> None:
        """Add the time since the monotonic time `started_at`."""
        self.values_ms.append((time.monotonic() - started_at) * MS_PER_S)

    def summary(self) -> dict[str, float]:
        """Return the count, median, 99th percentile and highest value."""
        return summarize(self.values_ms)


class BookingLoad:
    """Context manager that runs callers which insert bookings continuously.

    All callers use the same database group and rank.

    Attributes:
        tally: Keys by result, and the times at which bookings were served.
        latencies: Latencies of served bookings.
    """

    def __init__(
        self,
        deployment: cluster.Cluster,
        group: str,
        rank: plans.Rank = plans.Rank.bookings,
        count: int = 6,
        pause_s: float = MEAN_PAUSE_S,
    ) -> None:
        """Prepare `count` callers.

        The pause between two bookings of a caller is random, between half and
        one and a half times `pause_s`.
        """
        self.tally = tallies.GroupTally()
        self.latencies = Latencies()
        self._plan = make_plan(deployment, group)
        self._user_name = specs.user_name(group, rank)
        self._caller_count = count
        self._pause_s = pause_s
        self._key_prefix = secrets.token_hex(KEY_PREFIX_BYTES)
        self._booking_count = 0
        self._stopping = False
        self._tasks: list[asyncio.Task[None]] = []

    async def __aenter__(self) -> typing.Self:
        """Start the callers."""
        self._tasks = [
            asyncio.create_task(self._run_caller(number))
            for number in range(self._caller_count)
        ]
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: types.TracebackType | None,
    ) -> None:
        """Stop the callers after their current statements."""
        self._stopping = True
        await asyncio.gather(*self._tasks)

    @property
    def keys(self) -> list[str]:
        """Return the keys of all completed bookings, whatever their result."""
        return [
            key for keys in self.tally.keys_by_result.values() for key in keys
        ]

    async def _run_caller(self, first_target: int) -> None:
        caller = callers.Caller(self._plan, self._user_name, first_target)
        generator = random.Random(first_target)  # noqa: S311
        while not self._stopping:
            self._booking_count += 1
            key = f'{self._key_prefix}-{self._booking_count}'
            started_at = time.monotonic()
            answer = await caller.run(_INSERT, (key, int(time.time())))
            self.tally.keys_by_result[answer.result].append(key)
            if answer.result is tallies.StatementResult.served:
                self.tally.served_at.append(time.monotonic())
                self.latencies.add(started_at)
            await asyncio.sleep(self._pause_s * generator.uniform(0.5, 1.5))
        caller.close()


def make_plan(deployment: cluster.Cluster, group: str) -> plans.LoadPlan:
    """Return the load plan with the addresses for callers of a group."""
    return plans.LoadPlan(
        targets=tuple(
            plans.Address(specs.HOST, entry.mysql_port)
            for entry in deployment.entries
        ),
        groups=(group,),
        rates={},
        status_addresses=tuple(
            plans.parse_address(entry.peer.address)
            for entry in deployment.entries
        ),
        fleet_key=deployment.fleet_key,
    )


def summarize(values_ms: list[float]) -> dict[str, float]:
    """Return the count, median, 99th percentile and highest value."""
    if not values_ms:
        return {'count': 0}
    ordered = sorted(values_ms)
    return {
        'count': len(ordered),
        'p50_ms': round(_percentile(ordered, MEDIAN_FRACTION), 1),
        'p99_ms': round(_percentile(ordered, P99_FRACTION), 1),
        'max_ms': round(ordered[-1], 1),
    }


def _percentile(ordered: list[float], fraction: float) -> float:
    return ordered[min(int(len(ordered) * fraction), len(ordered) - 1)]
