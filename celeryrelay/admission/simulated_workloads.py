"""Generated load for the model of one slot."""

import dataclasses
import itertools
import math
import random
from collections import abc

from celeryrelay.conf import sets
from celeryrelay.core import ranks

# Shape of the log-normal service times; the 99th percentile is 6 times the
# mean.
SERVICE_SIGMA = 1.0
FLOOD_FACTOR = 10
WARM_UP_S = 5.0
NORMAL = 'normal'
SLOW_SLOT = 'slow-slot'

_BOOKINGS = ranks.Rank.bookings
_CHECKS = ranks.Rank.checks
_REPORTS = ranks.Rank.reports


@dataclasses.dataclass(frozen=True, slots=True)
class Deployment:
    """One holder's view of a slot.

    Attributes:
        name: Name of the deployment.
        connections: Connections that a holder may use.
        policies: Policy of each rank.
        service_ms: Mean service time of each rank.
        normal_load: Part of the capacity that each rank uses on a usual day.
    """

    name: str
    connections: int
    policies: abc.Mapping[ranks.Rank, sets.RankPolicy]
    service_ms: abc.Mapping[ranks.Rank, float]
    normal_load: abc.Mapping[ranks.Rank, float]

    def rate(self, rank: ranks.Rank) -> float:
        """Return the usual arrivals per second of `rank`."""
        busy = self.connections * self.normal_load[rank]
        return busy * 1000 / self.service_ms[rank]


@dataclasses.dataclass(frozen=True, slots=True)
class Scenario:
    """A disturbance that begins after the warm-up.

    Attributes:
        name: Name in the tables.
        flooding: Ranks whose arrivals rise by the flood factor.
        parallelism: Part of the connections that the slot serves at full
            speed during the disturbance.
    """

    name: str
    flooding: tuple[ranks.Rank, ...] = ()
    parallelism: float = 1


@dataclasses.dataclass(slots=True)
class Job:
    """One statement.

    Attributes:
        job_id: Unique id, in order of arrival.
        rank: Its rank.
        arrived: Arrival time in seconds.
        deadline: Deadline in seconds.
        service_ms: Service time in milliseconds when the slot is not
            contended; policies don't see it.
        finished: End of the service in seconds, None if it was not served.
    """

    job_id: int
    rank: ranks.Rank
    arrived: float
    deadline: float
    service_ms: float
    finished: float | None = None


def _policies(
    *rows: tuple[ranks.Rank, float, float, float, float],
) -> dict[ranks.Rank, sets.RankPolicy]:
    return {
        row[0]: sets.RankPolicy(*row, durability=sets.Durability.local)
        for row in rows
    }


_SERVICE_MS = {_BOOKINGS: 8.0, _CHECKS: 4.0, _REPORTS: 60.0}

# A holder uses a quarter of the connection limit of 20. Technicians can't
# wait: urgent ranks have most of the capacity.
ZILINA = Deployment(
    name='zilina',
    connections=5,
    policies=_policies(
        (_BOOKINGS, 100, 500, 6, 10),
        (_CHECKS, 200, 1000, 3, 3),
        (_REPORTS, 2000, 5000, 1, 1),
    ),
    service_ms=_SERVICE_MS,
    normal_load={_BOOKINGS: 0.25, _CHECKS: 0.2, _REPORTS: 0.15},
)

# A holder uses a quarter of the connection limit of 30. Marshals check pitches
# while bookings surge: the other ranks keep more.
PITCHWISE = Deployment(
    name='pitchwise',
    connections=7,
    policies=_policies(
        (_BOOKINGS, 150, 1000, 4, 5),
        (_CHECKS, 150, 1000, 4, 4),
        (_REPORTS, 2000, 5000, 2, 2),
    ),
    service_ms=_SERVICE_MS,
    normal_load={_BOOKINGS: 0.2, _CHECKS: 0.25, _REPORTS: 0.15},
)

DEPLOYMENTS = (ZILINA, PITCHWISE)
SCENARIOS = (
    Scenario(NORMAL),
    Scenario('bookings', (_BOOKINGS,)),
    Scenario('checks', (_CHECKS,)),
    Scenario('reports', (_REPORTS,)),
    Scenario('bookings+checks', (_BOOKINGS, _CHECKS)),
    Scenario('bookings+reports', (_BOOKINGS, _REPORTS)),
    Scenario('checks+reports', (_CHECKS, _REPORTS)),
    Scenario(SLOW_SLOT, parallelism=0.4),
)


def generate(
    deployment: Deployment,
    scenario: Scenario,
    duration_s: float,
    seed: int,
) -> list[Job]:
    """Return the jobs of the warm-up and the disturbance by arrival time.

    Each rank has its own random source, so that a flood of one rank leaves
    the arrivals of the others as they are.
    """
    jobs: list[Job] = []
    for rank in deployment.policies:
        source = random.Random('{0}/{1}'.format(seed, rank))
        endless = _jobs_of_rank(deployment, scenario, rank, source)
        jobs.extend(_until(endless, WARM_UP_S + duration_s))
    jobs.sort(key=lambda job: job.arrived)
    for job_id, job in enumerate(jobs):
        job.job_id = job_id
    return jobs


def _until(jobs: abc.Iterable[Job], end: float) -> abc.Iterator[Job]:
    return itertools.takewhile(lambda job: job.arrived < end, jobs)


def _jobs_of_rank(
    deployment: Deployment,
    scenario: Scenario,
    rank: ranks.Rank,
    source: random.Random,
) -> abc.Iterator[Job]:
    """Yield jobs without end."""
    usual_rate = deployment.rate(rank)
    deadline_s = deployment.policies[rank].deadline_ms / 1000
    mu = math.log(deployment.service_ms[rank]) - SERVICE_SIGMA**2 / 2
    arrived: float = 0
    while True:
        rate = usual_rate
        if rank in scenario.flooding and arrived >= WARM_UP_S:
            rate *= FLOOD_FACTOR
        arrived += source.expovariate(rate)
        service_ms = source.lognormvariate(mu, SERVICE_SIGMA)
        yield Job(0, rank, arrived, arrived + deadline_s, service_ms)
