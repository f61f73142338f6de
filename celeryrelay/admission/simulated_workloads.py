"""Deployments, overload scenarios and generated load for the simulation."""

import dataclasses
import itertools
import math
import random
from collections import abc

from celeryrelay.conf import sets
from celeryrelay.core import ranks

# Shape parameter of the log-normal service times; the 99th percentile is 6
# times the mean.
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
    """Resources and normal load of one holder for a slot.

    Attributes:
        name: Name of the deployment.
        connections: Connections to the slot that the holder may use.
        policies: Policy of each rank.
        service_ms: Mean service time of each rank.
        normal_load: Fraction of the capacity that each rank normally uses.
    """

    name: str
    connections: int
    policies: abc.Mapping[ranks.Rank, sets.RankPolicy]
    service_ms: abc.Mapping[ranks.Rank, float]
    normal_load: abc.Mapping[ranks.Rank, float]

    def rate(self, rank: ranks.Rank) -> float:
        """Return the normal number of arrivals per second of `rank`."""
        busy = self.connections * self.normal_load[rank]
        return busy * 1000 / self.service_ms[rank]


@dataclasses.dataclass(frozen=True, slots=True)
class Scenario:
    """A disturbance that begins after the warm-up.

    Attributes:
        name: Name in the results.
        flooding: Ranks whose arrival rate is multiplied by `FLOOD_FACTOR`.
        parallelism: Number of jobs that the slot can run at full speed during
            the disturbance, as a fraction of the connections.
    """

    name: str
    flooding: tuple[ranks.Rank, ...] = ()
    parallelism: float = 1


@dataclasses.dataclass(slots=True)
class Job:
    """One simulated statement.

    Attributes:
        job_id: Unique id, in order of arrival.
        rank: Rank of the statement.
        arrived: Arrival time in seconds.
        deadline: Time of the deadline in seconds.
        service_ms: Service time in milliseconds without contention; policies
            must not use it.
        finished: Time at which the job ended in seconds, None if it was not
            served.
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

# A holder uses a quarter of the connection limit of 20. Urgent ranks have most
# of the capacity, because technicians can't wait.
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

# A holder uses a quarter of the connection limit of 30. The ranks other than
# bookings keep a larger share, because marshals check pitches while bookings
# surge.
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


@dataclasses.dataclass(frozen=True, slots=True)
class RequestClass:
    """Operations of callers of a database group.

    Attributes:
        rank: Their rank.
        on_primary: Whether only the primary runs them.
        rate: Usual number per second.
        work_ms: Mean time for which one occupies a slot.
        target_ms: Latency target.
        timeout_ms: Time after which the caller gives up.
    """

    rank: ranks.Rank
    on_primary: bool
    rate: float
    work_ms: float
    target_ms: float
    timeout_ms: float


@dataclasses.dataclass(frozen=True, slots=True)
class Group:
    """A database group that the holders of several zones share.

    Attributes:
        classes: Load of the group.
        servers: Number of servers; the first one is the primary.
        slots: Statements that a server runs at a time.
        queue_length: Statements that wait at a server; more are rejected.
        connection_limit: Connections of a server; more are reset.
        zones: Number of availability zones with holders.
        daemons: Daemons of each zone.
        holders: Holders of a server in each zone.
        connections: Connections of a holder.
    """

    classes: tuple[RequestClass, ...]
    servers: int = 3
    slots: int = 6
    queue_length: int = 48
    connection_limit: int = 58
    zones: int = 6
    daemons: int = 15
    holders: int = 3
    connections: int = 3


EMAJOE = Group(
    classes=(
        RequestClass(_CHECKS, True, 96.4, 9.3, 501, 8020),
        RequestClass(_REPORTS, False, 96.4, 47, 1201, 20021),
        RequestClass(_REPORTS, False, 450, 28, 1001, 8010),
    ),
)
APURACAO = Group(
    classes=(
        RequestClass(_BOOKINGS, True, 54.3, 8, 503, 5025),
        RequestClass(_CHECKS, False, 94.6, 40, 1003, 10025),
        RequestClass(_REPORTS, False, 255, 24, 2003, 5006),
    ),
    slots=5,
    queue_length=40,
)


def with_load(group: Group, load: float) -> Group:
    """Return a group whose usual demand is a fraction of its slots."""
    work = sum(row.rate * row.work_ms / 1000 for row in group.classes)
    scale = load * group.servers * group.slots / work
    return dataclasses.replace(
        group,
        classes=tuple(
            dataclasses.replace(row, rate=row.rate * scale)
            for row in group.classes
        ),
    )


def arrivals(
    request_class: RequestClass,
    profile: abc.Sequence[tuple[float, float]],
    source: random.Random,
) -> abc.Iterator[float]:
    """Yield the arrival times of a class.

    Args:
        request_class: The class.
        profile: Duration in seconds and demand, as a multiple of the usual
            one, of each phase.
        source: Random source.
    """
    begin: float = 0
    for duration_s, demand in profile:
        end = begin + duration_s
        at = begin + source.expovariate(request_class.rate * demand)
        while at < end:
            yield at
            at += source.expovariate(request_class.rate * demand)
        begin = end


def generate(
    deployment: Deployment,
    scenario: Scenario,
    duration_s: float,
    seed: int,
) -> list[Job]:
    """Return the jobs of the warm-up and the disturbance by arrival time.

    Each rank has its own random source, so that a flood of one rank does not
    change the arrivals of the others.
    """
    jobs: list[Job] = []
    for rank in deployment.policies:
        source = random.Random('{0}/{1}'.format(seed, rank))
        jobs_of_rank = _generate_rank(deployment, scenario, rank, source)
        jobs.extend(_take_until(jobs_of_rank, WARM_UP_S + duration_s))
    jobs.sort(key=lambda job: job.arrived)
    for job_id, job in enumerate(jobs):
        job.job_id = job_id
    return jobs


def _take_until(jobs: abc.Iterable[Job], end: float) -> abc.Iterator[Job]:
    return itertools.takewhile(lambda job: job.arrived < end, jobs)


def _generate_rank(
    deployment: Deployment,
    scenario: Scenario,
    rank: ranks.Rank,
    source: random.Random,
) -> abc.Iterator[Job]:
    """Yield the jobs of `rank` in order of arrival, without end."""
    normal_rate = deployment.rate(rank)
    deadline_s = deployment.policies[rank].deadline_ms / 1000
    mu = math.log(deployment.service_ms[rank]) - SERVICE_SIGMA**2 / 2
    arrived: float = 0
    while True:
        rate = normal_rate
        if rank in scenario.flooding and arrived >= WARM_UP_S:
            rate *= FLOOD_FACTOR
        arrived += source.expovariate(rate)
        service_ms = source.lognormvariate(mu, SERVICE_SIGMA)
        yield Job(0, rank, arrived, arrived + deadline_s, service_ms)
