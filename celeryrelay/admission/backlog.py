"""Waiting tickets of one slot, their order and their expected waits."""

import dataclasses
import heapq
import itertools
import random
from collections import abc

from celeryrelay.admission import decisions, estimates, shares
from celeryrelay.conf import sets
from celeryrelay.core import errors, outcomes, ranks

MIN_RETRY_MS = 20
MAX_RETRY_MS = 5000
# The hint is spread from half to one and a half of its value, so that refused
# callers do not come back together.
RETRY_JITTER = 0.5
# Largest part of a ticket's time that is kept free for its service. A high
# estimate must not refuse all tickets, since no sample would correct it.
MAX_SERVICE_PART = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class Tuning:
    """Settings of the queue that were chosen by measurement.

    Attributes:
        service_margin: Times the expected service time that has to remain
            before the deadline when a ticket starts.
        first_part: Part of the limit up to which the demand of the first rank
            is served before all others.
    """

    service_margin: float = 2
    first_part: float = 0.9


class RankQueue:
    """Waiting tickets of one rank in the order of their deadlines."""

    def __init__(self) -> None:
        """Start empty."""
        self._heap: list[tuple[float, int, decisions.Ticket]] = []
        self._live: set[int | str] = set()
        self._sequence = itertools.count()

    def __len__(self) -> int:
        """Return the number of waiting tickets."""
        return len(self._live)

    def push(self, ticket: decisions.Ticket) -> None:
        """Add a ticket."""
        entry = (ticket.deadline, next(self._sequence), ticket)
        heapq.heappush(self._heap, entry)
        self._live.add(ticket.ticket_id)

    def head(self) -> decisions.Ticket | None:
        """Return the next ticket without removing it."""
        while self._heap and self._heap[0][2].ticket_id not in self._live:
            heapq.heappop(self._heap)
        return self._heap[0][2] if self._heap else None

    def pop(self) -> decisions.Ticket:
        """Remove and return the next ticket."""
        ticket = self.head()
        if ticket is None:
            raise errors.InvariantError('the queue is empty')
        heapq.heappop(self._heap)
        self._live.discard(ticket.ticket_id)
        return ticket

    def remove(self, ticket_id: int | str) -> None:
        """Forget a ticket, if it is here."""
        self._live.discard(ticket_id)


class Backlog:
    """Waiting tickets of all ranks."""

    def __init__(
        self,
        policies: abc.Mapping[ranks.Rank, sets.RankPolicy],
        random_source: random.Random,
        tuning: Tuning,
    ) -> None:
        """Start empty; `random_source` gives the jitter of retry hints."""
        self._policies = policies
        self._random = random_source
        self._tuning = tuning
        self.queues = {rank: RankQueue() for rank in policies}
        self._demand = estimates.DemandEstimate()
        self.shares = shares.FairShares(policies)
        self.estimates = {
            rank: estimates.ServiceEstimate() for rank in policies
        }

    def waiting_ranks(self) -> list[ranks.Rank]:
        """Return the ranks that have waiting tickets."""
        return [rank for rank, queue in self.queues.items() if queue]

    def on_arrival(self, rank: ranks.Rank, now: float) -> None:
        """Note that a ticket of `rank` arrived, whatever becomes of it.

        The demand is counted in usual service times: a slow server would
        otherwise look like a flood, and the first rank would lose its place
        when it needs it most.
        """
        if rank is ranks.BY_URGENCY[0]:
            self._demand.on_arrival(self.estimates[rank].usual_ms, now)

    def take(self, now: float, limit: int) -> decisions.Ticket:
        """Remove and return the ticket that starts next.

        The first rank is preferred while it may go first; else the shares
        decide.
        """
        waiting = self.waiting_ranks()
        first = ranks.BY_URGENCY[0]
        if first in waiting and self._goes_first(now, limit):
            return self.queues[first].pop()
        return self.queues[self.shares.choose(waiting)].pop()

    def drop_late(self, now: float, limit: int) -> list[decisions.Refuse]:
        """Remove the tickets that can't meet their deadline any more."""
        refused: list[decisions.Refuse] = []
        for queue in self.queues.values():
            ticket = queue.head()
            while ticket is not None and self.is_late(ticket, now):
                queue.pop()
                refused.append(
                    self.refuse(ticket, outcomes.Reason.deadline, limit),
                )
                ticket = queue.head()
        return refused

    def is_late(self, ticket: decisions.Ticket, now: float) -> bool:
        """Return whether `ticket` would miss its deadline if started now."""
        return now >= ticket.deadline - self._margin_ms(ticket) / 1000

    def is_hopeless(
        self,
        ticket: decisions.Ticket,
        now: float,
        limit: int,
    ) -> bool:
        """Return whether the wait of a new ticket would pass its deadline.

        An empty queue takes any ticket: a high estimate without a waiting
        ticket would never be corrected.
        """
        left_ms = (ticket.deadline - now) * 1000 - self._margin_ms(ticket)
        return self._wait_ms(ticket.rank, now, limit) > left_ms

    def refuse(
        self,
        ticket: decisions.Ticket,
        reason: outcomes.Reason,
        limit: int,
    ) -> decisions.Refuse:
        """Return a refusal that hints at the time the queue needs to drain."""
        hint_ms = self._drain_ms(ticket.rank, limit)
        hint_ms = min(max(hint_ms, MIN_RETRY_MS), MAX_RETRY_MS)
        jitter = self._random.uniform(1 - RETRY_JITTER, 1 + RETRY_JITTER)
        return decisions.Refuse(
            ticket.ticket_id,
            reason,
            round(hint_ms * jitter),
        )

    def _goes_first(self, now: float, limit: int) -> bool:
        """Return whether the first rank is served before all others.

        It is while the oldest ticket is within the target, and while all its
        demand could be served within the target. Without the second rule, a
        random burst above the target would reduce the rank to its share, and
        with a demand above the share it would never recover.
        """
        rank = ranks.BY_URGENCY[0]
        if self._demand.connections(now) <= limit * self._tuning.first_part:
            return True
        ticket = self.queues[rank].head()
        if ticket is None:
            return True
        return (now - ticket.arrived) * 1000 <= self._policies[rank].target_ms

    def _wait_ms(self, rank: ranks.Rank, now: float, limit: int) -> float:
        if rank is ranks.BY_URGENCY[0] and self._goes_first(now, limit):
            work_ms = len(self.queues[rank]) * self.estimates[rank].mean_ms
            return work_ms / limit
        return self._drain_ms(rank, limit)

    def _drain_ms(self, rank: ranks.Rank, limit: int) -> float:
        """Return the time in which the share of `rank` serves its queue."""
        fraction = self.shares.fraction(rank, self.waiting_ranks())
        work_ms = len(self.queues[rank]) * self.estimates[rank].mean_ms
        return work_ms / (fraction * limit)

    def _margin_ms(self, ticket: decisions.Ticket) -> float:
        """Return the time before the deadline that the service needs."""
        expected_ms = self.estimates[ticket.rank].mean_ms
        whole_ms = (ticket.deadline - ticket.arrived) * 1000
        return min(
            expected_ms * self._tuning.service_margin,
            whole_ms * MAX_SERVICE_PART,
        )
