"""Event-driven model of one slot under an admission policy."""

import dataclasses
import heapq
import math
from collections import abc

from celeryrelay.admission import queue, simulated_policies, simulated_workloads
from celeryrelay.core import ranks

# Loss of speed for each statement above the slot's parallelism.
CONTENTION_LOSS = 0.1
_DEFAULT_TUNING = queue.Tuning()


@dataclasses.dataclass(frozen=True, slots=True)
class RankResult:
    """Service of one rank during the disturbance.

    Attributes:
        rank: The rank.
        offered: Statements that arrived.
        served: Statements served within their deadline.
        p50_ms: Median response time of all that were served.
        p99_ms: 99th percentile of it.
        goodput: Statements served within their deadline, per second.
        kept: The goodput relative to what the rank is entitled to: all that
            it offers, but at most its share of the capacity.
    """

    rank: ranks.Rank
    offered: int
    served: int
    p50_ms: float
    p99_ms: float
    goodput: float
    kept: float


@dataclasses.dataclass(frozen=True, slots=True)
class PolicyResult:
    """Outcome of one policy in one scenario.

    Attributes:
        deployment: Name of the deployment.
        scenario: Name of the scenario.
        policy: Name of the policy.
        by_rank: Results of the ranks; empty for the bound.
        worth: Worth of the goodput per second.
    """

    deployment: str
    scenario: str
    policy: simulated_policies.PolicyName
    by_rank: tuple[RankResult, ...]
    worth: float


class Slot:
    """Running jobs that share the speed of a slot equally.

    `_progress_ms` is the service time that each job has received since the
    start; a job ends when it has received its own.
    """

    def __init__(self, parallelism: float) -> None:
        self._parallelism = parallelism
        self._progress_ms: float = 0
        self._updated: float = 0
        self._ends: list[tuple[float, int]] = []

    def change(self, parallelism: float, now: float) -> None:
        """Change the number of jobs that run at full speed."""
        self._advance(now)
        self._parallelism = parallelism

    def start(self, job: simulated_workloads.Job, now: float) -> None:
        """Add a job."""
        self._advance(now)
        end = self._progress_ms + job.service_ms
        heapq.heappush(self._ends, (end, job.job_id))

    def next_end(self) -> float:
        """Return the time at which the next job ends."""
        if not self._ends:
            return math.inf
        left_ms = self._ends[0][0] - self._progress_ms
        return self._updated + max(left_ms, 0) / 1000 / self._speed()

    def finish(self, now: float) -> int:
        """Remove the job that ends at `now` and return its id."""
        self._advance(now)
        return heapq.heappop(self._ends)[1]

    def _advance(self, now: float) -> None:
        if self._ends:
            elapsed_ms = (now - self._updated) * 1000
            self._progress_ms += elapsed_ms * self._speed()
        self._updated = now

    def _speed(self) -> float:
        excess = max(len(self._ends) - self._parallelism, 0)
        if not excess:
            return 1
        shared = self._parallelism / len(self._ends)
        return shared / (1 + CONTENTION_LOSS * excess)


class _Run:
    """One policy on one list of jobs."""

    def __init__(
        self,
        policy: simulated_policies.Policy,
        jobs: abc.Sequence[simulated_workloads.Job],
        connections: int,
    ) -> None:
        self._policy = policy
        self._jobs = jobs
        self._connections = connections
        self._slot = Slot(connections)
        self._started: dict[int, float] = {}

    def run(self, parallelism: float) -> None:
        """Run all jobs to their end."""
        changed = False
        for job in self._jobs:
            self._finish_until(job.arrived)
            if not changed and job.arrived >= simulated_workloads.WARM_UP_S:
                self._slot.change(parallelism, job.arrived)
                changed = True
            self._start(self._policy.arrive(job, job.arrived), job.arrived)
        self._finish_until(math.inf)

    def _finish_until(self, limit: float) -> None:
        now = self._slot.next_end()
        while now <= limit and now < math.inf:
            job = self._jobs[self._slot.finish(now)]
            job.finished = now
            service_ms = (now - self._started.pop(job.job_id)) * 1000
            self._start(self._policy.finish(job, now, service_ms), now)
            now = self._slot.next_end()

    def _start(self, job_ids: abc.Iterable[int], now: float) -> None:
        for job_id in job_ids:
            self._started[job_id] = now
            self._slot.start(self._jobs[job_id], now)


def compare(
    deployment: simulated_workloads.Deployment,
    scenario: simulated_workloads.Scenario,
    duration_s: float,
    seed: int,
    tuning: queue.Tuning = _DEFAULT_TUNING,
) -> list[PolicyResult]:
    """Return the results of all policies and of the bound on one load."""
    load = simulated_workloads.generate(deployment, scenario, duration_s, seed)
    found = [
        run_policy(deployment, scenario, load, duration_s, seed, name, tuning)
        for name in simulated_policies.PolicyName
        if name is not simulated_policies.PolicyName.clairvoyant
    ]
    bound = PolicyResult(
        deployment.name,
        scenario.name,
        simulated_policies.PolicyName.clairvoyant,
        by_rank=(),
        worth=bound_worth(deployment, scenario, load, duration_s),
    )
    return [*found, bound]


def run_policy(
    deployment: simulated_workloads.Deployment,
    scenario: simulated_workloads.Scenario,
    load: abc.Iterable[simulated_workloads.Job],
    duration_s: float,
    seed: int,
    name: simulated_policies.PolicyName,
    tuning: queue.Tuning = _DEFAULT_TUNING,
) -> PolicyResult:
    """Return the result of the policy `name`; `load` is not changed."""
    jobs = [dataclasses.replace(job) for job in load]
    policy = simulated_policies.create(name, deployment, seed, tuning)
    run = _Run(policy, jobs, deployment.connections)
    run.run(scenario.parallelism * deployment.connections)
    by_rank = _by_rank(deployment, scenario, jobs, duration_s)
    worth = sum(
        row.goodput * deployment.policies[row.rank].worth for row in by_rank
    )
    return PolicyResult(deployment.name, scenario.name, name, by_rank, worth)


def bound_worth(
    deployment: simulated_workloads.Deployment,
    scenario: simulated_workloads.Scenario,
    jobs: abc.Iterable[simulated_workloads.Job],
    duration_s: float,
) -> float:
    """Return the worth per second that no policy can exceed.

    It knows all arrivals and service times and fills the connection time up
    to the last deadline with the jobs of the highest worth per millisecond.
    Order, deadlines inside that time and indivisible connections are ignored.
    """
    measured = [
        job for job in jobs if job.arrived >= simulated_workloads.WARM_UP_S
    ]
    measured.sort(
        key=lambda job: deployment.policies[job.rank].worth / job.service_ms,
        reverse=True,
    )
    last_deadline = max(job.deadline for job in measured)
    capacity_ms = (last_deadline - simulated_workloads.WARM_UP_S) * 1000
    capacity_ms *= deployment.connections * scenario.parallelism
    worth: float = 0
    for job in measured:
        part = min(capacity_ms / job.service_ms, 1)
        worth += part * deployment.policies[job.rank].worth
        capacity_ms -= part * job.service_ms
        if capacity_ms <= 0:
            break
    return worth / duration_s


def _by_rank(
    deployment: simulated_workloads.Deployment,
    scenario: simulated_workloads.Scenario,
    jobs: abc.Sequence[simulated_workloads.Job],
    duration_s: float,
) -> tuple[RankResult, ...]:
    capacity_ms = deployment.connections * scenario.parallelism * 1000
    total_share = sum(row.share for row in deployment.policies.values())
    found: list[RankResult] = []
    for rank, policy in deployment.policies.items():
        own = [
            job
            for job in jobs
            if job.rank is rank and job.arrived >= simulated_workloads.WARM_UP_S
        ]
        part_ms = capacity_ms * policy.share / total_share
        entitled = min(
            len(own) / duration_s,
            part_ms / deployment.service_ms[rank],
        )
        found.append(_rank_result(rank, own, duration_s, entitled))
    return tuple(found)


def _rank_result(
    rank: ranks.Rank,
    jobs: abc.Sequence[simulated_workloads.Job],
    duration_s: float,
    entitled: float,
) -> RankResult:
    done = [job for job in jobs if job.finished is not None]
    times_ms = sorted((job.finished - job.arrived) * 1000 for job in done)
    served = len([job for job in done if job.finished <= job.deadline])
    goodput = served / duration_s
    return RankResult(
        rank,
        offered=len(jobs),
        served=served,
        p50_ms=_percentile(times_ms, 0.5),
        p99_ms=_percentile(times_ms, 0.99),
        goodput=goodput,
        kept=goodput / entitled,
    )


def _percentile(ordered: abc.Sequence[float], part: float) -> float:
    """Return a percentile, 0 if there are no values."""
    if not ordered:
        return 0
    return ordered[min(int(len(ordered) * part), len(ordered) - 1)]
