"""Intended send times of statements."""

import dataclasses
import math
import random
from collections import abc

from celeryrelay.load import plans


@dataclasses.dataclass(frozen=True, slots=True)
class Schedule:
    """Arrival rate of one rank over time, constant between changes."""

    base_rate: float
    floods: tuple[plans.Flood, ...]
    duration_s: float

    def rate(self, at_s: float) -> float:
        """Return the statements a second at a time of the run."""
        return self.base_rate + sum(
            flood.rate
            for flood in self.floods
            if flood.start_s <= at_s < flood.end_s
        )

    def next_change(self, after_s: float) -> float:
        """Return the next time at which the rate changes, or the end."""
        edges = [self.duration_s]
        for flood in self.floods:
            edges.extend((flood.start_s, flood.end_s))
        return min(
            (edge for edge in edges if after_s < edge <= self.duration_s),
            default=self.duration_s,
        )


def build_schedule(plan: plans.LoadPlan, rank: plans.Rank) -> Schedule:
    """Return the schedule of one rank of a plan."""
    floods = tuple(flood for flood in plan.floods if flood.rank == rank)
    return Schedule(plan.rates.get(rank, 0), floods, plan.duration_s)


def arrival_times(
    schedule: Schedule,
    generator: random.Random,
) -> abc.Iterator[float]:
    """Yield the times of a Poisson process in seconds of the run."""
    at_s: float = 0
    while at_s < schedule.duration_s:
        rate = schedule.rate(at_s)
        gap = generator.expovariate(rate) if rate > 0 else math.inf
        change = schedule.next_change(at_s)
        if at_s + gap < change:
            at_s += gap
            yield at_s
        else:
            # The process has no memory, so it may start again here.
            at_s = change
