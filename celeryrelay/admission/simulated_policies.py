"""Admission policies that the model compares."""

import collections
import enum
import typing
from collections import abc

from celeryrelay.admission import (
    decisions,
    limits,
    queue,
    shares,
    simulated_workloads,
)
from celeryrelay.conf import sets
from celeryrelay.core import ranks


class PolicyName(enum.StrEnum):
    """Policies of the comparison, and its bounds."""

    first_come = 'first-come'
    strict_priority = 'strict-priority'
    weighted_shares = 'weighted-shares'
    admission_queue = 'admission-queue'
    clairvoyant = 'clairvoyant'


class Policy(typing.Protocol):
    """Chooses the jobs that run on a slot."""

    def arrive(self, job: simulated_workloads.Job, now: float) -> list[int]:
        """Return the ids of the jobs that start."""

    def finish(
        self,
        job: simulated_workloads.Job,
        now: float,
        service_ms: float,
    ) -> list[int]:
        """Return the ids of the jobs that start in place of `job`."""


class ListPolicy:
    """Base of the plain policies: a fixed limit and no early refusal.

    Callers leave at their deadline, so a job that is late when its turn comes
    is dropped.
    """

    def __init__(self, connections: int) -> None:
        """Run at most `connections` jobs at once."""
        self._free = connections

    def arrive(self, job: simulated_workloads.Job, now: float) -> list[int]:
        """Add `job` and return the ids of the jobs that start."""
        self._push(job)
        return self._fill(now)

    def finish(
        self,
        job: simulated_workloads.Job,
        now: float,
        service_ms: float,
    ) -> list[int]:
        """Return the ids of the jobs that start in place of `job`."""
        self._free += 1
        return self._fill(now)

    def _push(self, job: simulated_workloads.Job) -> None:
        raise NotImplementedError

    def _pop(self) -> simulated_workloads.Job | None:
        raise NotImplementedError

    def _fill(self, now: float) -> list[int]:
        started: list[int] = []
        while self._free:
            job = self._pop()
            if job is None:
                break
            if now < job.deadline:
                self._free -= 1
                started.append(job.job_id)
        return started


class FirstCome(ListPolicy):
    """First come, first served."""

    def __init__(self, connections: int) -> None:
        """Run at most `connections` jobs at once."""
        super().__init__(connections)
        self._jobs: collections.deque[simulated_workloads.Job] = (
            collections.deque()
        )

    def _push(self, job: simulated_workloads.Job) -> None:
        self._jobs.append(job)

    def _pop(self) -> simulated_workloads.Job | None:
        return self._jobs.popleft() if self._jobs else None


class StrictPriority(ListPolicy):
    """The most urgent rank first, always."""

    def __init__(self, connections: int) -> None:
        """Run at most `connections` jobs at once."""
        super().__init__(connections)
        self._jobs: dict[
            ranks.Rank, collections.deque[simulated_workloads.Job]
        ] = {rank: collections.deque() for rank in ranks.BY_URGENCY}

    def _push(self, job: simulated_workloads.Job) -> None:
        self._jobs[job.rank].append(job)

    def _pop(self) -> simulated_workloads.Job | None:
        for jobs in self._jobs.values():
            if jobs:
                return jobs.popleft()
        return None


class WeightedShares(StrictPriority):
    """Weighted shares of the connection time."""

    def __init__(
        self,
        connections: int,
        policies: abc.Mapping[ranks.Rank, sets.RankPolicy],
    ) -> None:
        """Run at most `connections` jobs at once."""
        super().__init__(connections)
        self._shares = shares.FairShares(policies)

    def finish(
        self,
        job: simulated_workloads.Job,
        now: float,
        service_ms: float,
    ) -> list[int]:
        """Charge the rank and return the ids of the jobs that start."""
        self._shares.charge(job.rank, service_ms)
        return super().finish(job, now, service_ms)

    def _push(self, job: simulated_workloads.Job) -> None:
        if not self._jobs[job.rank]:
            self._shares.activate(job.rank)
        super()._push(job)

    def _pop(self) -> simulated_workloads.Job | None:
        waiting = [rank for rank, jobs in self._jobs.items() if jobs]
        if not waiting:
            return None
        return self._jobs[self._shares.choose(waiting)].popleft()


class AdmissionPolicy:
    """The admission queue of the holder."""

    def __init__(
        self,
        deployment: simulated_workloads.Deployment,
        seed: int,
        tuning: queue.Tuning,
    ) -> None:
        """Limit the jobs to the connections of `deployment`."""
        limit = limits.AdaptiveLimit(1, deployment.connections)
        self._queue = queue.AdmissionQueue(
            deployment.policies,
            limit,
            seed,
            tuning,
        )

    def arrive(self, job: simulated_workloads.Job, now: float) -> list[int]:
        """Offer `job` and return its id if it starts."""
        ticket = decisions.Ticket(
            job.job_id,
            job.rank,
            job.arrived,
            job.deadline,
        )
        decision = self._queue.offer(ticket, now)
        return [job.job_id] if isinstance(decision, decisions.Start) else []

    def finish(
        self,
        job: simulated_workloads.Job,
        now: float,
        service_ms: float,
    ) -> list[int]:
        """Release `job` and return the ids of the jobs that start."""
        found = self._queue.release(job.job_id, now, service_ms, ok=True)
        return [
            decision.ticket_id
            for decision in found
            if isinstance(decision, decisions.Start)
        ]


def create(
    name: PolicyName,
    deployment: simulated_workloads.Deployment,
    seed: int,
    tuning: queue.Tuning,
) -> Policy:
    """Return a new policy; the clairvoyant bound is not one."""
    match name:
        case PolicyName.first_come:
            return FirstCome(deployment.connections)
        case PolicyName.strict_priority:
            return StrictPriority(deployment.connections)
        case PolicyName.weighted_shares:
            return WeightedShares(deployment.connections, deployment.policies)
    return AdmissionPolicy(deployment, seed, tuning)
