"""Arrival times of an open-loop load, drawn from a Poisson process."""

import dataclasses
import math
import random
from collections import abc

from celeryrelay.load import plans


@dataclasses.dataclass(frozen=True, slots=True)
class Schedule:
    """Arrival rate of one rank as a piecewise constant function of time.

    Attributes:
        base_rate: Statements per second outside of floods.
        floods: Floods of this rank.
        duration_s: Length of the run in seconds.
    """

    base_rate: float
    floods: tuple[plans.Flood, ...]
    duration_s: float

    def rate(self, at_s: float) -> float:
        """Return the statements per second at `at_s` seconds of the run."""
        return self.base_rate + sum(
            flood.rate
            for flood in self.floods
            if flood.start_s <= at_s < flood.end_s
        )

    def next_change(self, after_s: float) -> float:
        """Return the first rate change after `after_s`, or the run's end."""
        edges = [self.duration_s]
        for flood in self.floods:
            edges.extend((flood.start_s, flood.end_s))
        return min(
            (edge for edge in edges if after_s < edge <= self.duration_s),
            default=self.duration_s,
        )


def build_schedule(plan: plans.LoadPlan, rank: plans.Rank) -> Schedule:
    """Return the arrival schedule of one rank in a load plan."""
    floods = tuple(flood for flood in plan.floods if flood.rank == rank)
    return Schedule(plan.rates.get(rank, 0), floods, plan.duration_s)


def arrival_times(
    schedule: Schedule,
    generator: random.Random,
) -> abc.Iterator[float]:
    """Yield arrival times in seconds since the start of the run."""
    at_s: float = 0
    while at_s < schedule.duration_s:
        rate = schedule.rate(at_s)
        gap = generator.expovariate(rate) if rate > 0 else math.inf
        change = schedule.next_change(at_s)
        if at_s + gap < change:
            at_s += gap
            yield at_s
        else:
            # A Poisson process is memoryless: drawing a new gap from the
            # change on gives the distribution of the new rate.
            at_s = change
