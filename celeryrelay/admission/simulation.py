"""Event-driven simulation of one database slot under an admission policy."""

import dataclasses
import heapq
import math
from collections import abc

from celeryrelay.admission import queue, simulated_policies, simulated_workloads
from celeryrelay.core import ranks

# Relative loss of speed for each running statement above the slot's
# parallelism.
CONTENTION_LOSS = 0.1
_DEFAULT_PARAMETERS = queue.QueueParameters()


@dataclasses.dataclass(frozen=True, slots=True)
class RankResult:
    """Results of one rank after the warm-up.

    Attributes:
        rank: The rank.
        offered: Statements that arrived.
        served: Statements that ended within their deadline.
        p50_ms: Median response time of all statements that ended.
        p99_ms: 99th percentile of these response times.
        goodput: Statements served within their deadline, per second.
        kept: Goodput relative to the rate that the rank is entitled to: all
            its arrivals, but at most its share of the capacity.
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
    """Results of one policy in one scenario.

    Attributes:
        deployment: Name of the deployment.
        scenario: Name of the scenario.
        policy: Name of the policy.
        by_rank: Results of the ranks; empty for the clairvoyant bound.
        worth: Goodput per second, weighted by the worth of each rank.
    """

    deployment: str
    scenario: str
    policy: simulated_policies.PolicyName
    by_rank: tuple[RankResult, ...]
    worth: float


class SlotModel:
    """Processor-sharing model of a slot: running jobs share its speed equally.

    `_progress_ms` is the service time that a job running since the start would
    have received. A job ends when it has received its own service time.
    """

    def __init__(self, parallelism: float) -> None:
        self._parallelism = parallelism
        self._progress_ms: float = 0
        self._updated: float = 0
        self._completions: list[tuple[float, int]] = []

    def set_parallelism(self, parallelism: float, now: float) -> None:
        """Set the number of jobs that can run at full speed."""
        self._advance(now)
        self._parallelism = parallelism

    def start(self, job: simulated_workloads.Job, now: float) -> None:
        """Start `job` at `now`."""
        self._advance(now)
        end = self._progress_ms + job.service_ms
        heapq.heappush(self._completions, (end, job.job_id))

    def next_completion(self) -> float:
        """Return the time at which the next job ends."""
        if not self._completions:
            return math.inf
        remaining_ms = self._completions[0][0] - self._progress_ms
        return self._updated + max(remaining_ms, 0) / 1000 / self._job_speed()

    def finish(self, now: float) -> int:
        """Remove the job that ends at `now` and return its id."""
        self._advance(now)
        return heapq.heappop(self._completions)[1]

    def _advance(self, now: float) -> None:
        if self._completions:
            elapsed_ms = (now - self._updated) * 1000
            self._progress_ms += elapsed_ms * self._job_speed()
        self._updated = now

    def _job_speed(self) -> float:
        excess = max(len(self._completions) - self._parallelism, 0)
        if not excess:
            return 1
        shared = self._parallelism / len(self._completions)
        return shared / (1 + CONTENTION_LOSS * excess)


class _PolicyRun:
    """Simulation of one policy with one list of jobs."""

    def __init__(
        self,
        policy: simulated_policies.Policy,
        jobs: abc.Sequence[simulated_workloads.Job],
        connections: int,
    ) -> None:
        self._policy = policy
        self._jobs = jobs
        self._connections = connections
        self._slot = SlotModel(connections)
        self._started: dict[int, float] = {}

    def run(self, parallelism: float) -> None:
        """Simulate all jobs; after the warm-up, the slot has `parallelism`."""
        changed = False
        for job in self._jobs:
            self._finish_until(job.arrived)
            if not changed and job.arrived >= simulated_workloads.WARM_UP_S:
                self._slot.set_parallelism(parallelism, job.arrived)
                changed = True
            self._start(self._policy.arrive(job, job.arrived), job.arrived)
        self._finish_until(math.inf)

    def _finish_until(self, limit: float) -> None:
        now = self._slot.next_completion()
        while now <= limit and now < math.inf:
            job = self._jobs[self._slot.finish(now)]
            job.finished = now
            service_ms = (now - self._started.pop(job.job_id)) * 1000
            self._start(self._policy.finish(job, now, service_ms), now)
            now = self._slot.next_completion()

    def _start(self, job_ids: abc.Iterable[int], now: float) -> None:
        for job_id in job_ids:
            self._started[job_id] = now
            self._slot.start(self._jobs[job_id], now)


def compare(
    deployment: simulated_workloads.Deployment,
    scenario: simulated_workloads.Scenario,
    duration_s: float,
    seed: int,
    parameters: queue.QueueParameters = _DEFAULT_PARAMETERS,
) -> list[PolicyResult]:
    """Return the results of all policies and the clairvoyant bound."""
    load = simulated_workloads.generate(deployment, scenario, duration_s, seed)
    found = [
        run_policy(
            deployment, scenario, load, duration_s, seed, name, parameters
        )
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
    parameters: queue.QueueParameters = _DEFAULT_PARAMETERS,
) -> PolicyResult:
    """Return the result of the policy `name` for copies of the jobs."""
    jobs = [dataclasses.replace(job) for job in load]
    policy = simulated_policies.create(name, deployment, seed, parameters)
    run = _PolicyRun(policy, jobs, deployment.connections)
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
    """Return an upper bound of the worth per second of any policy.

    All arrivals and service times are taken as known, and the connection time
    up to the last deadline is filled with the jobs of the highest worth per
    millisecond. The order of arrival, earlier deadlines and the fact that a job
    needs a whole connection are ignored.
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
        rank_jobs = [
            job
            for job in jobs
            if job.rank is rank and job.arrived >= simulated_workloads.WARM_UP_S
        ]
        share_ms = capacity_ms * policy.share / total_share
        entitled = min(
            len(rank_jobs) / duration_s,
            share_ms / deployment.service_ms[rank],
        )
        found.append(_rank_result(rank, rank_jobs, duration_s, entitled))
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
    """Return the value at the fraction `part`, 0 if there are no values."""
    if not ordered:
        return 0
    return ordered[min(int(len(ordered) * part), len(ordered) - 1)]
