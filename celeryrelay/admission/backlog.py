"""Tickets that wait for a connection: their order and expected waits."""

import dataclasses
import heapq
import itertools
import math
import random
from collections import abc

from celeryrelay.admission import decisions, estimates, first_ranks, shares
from celeryrelay.conf import sets
from celeryrelay.core import errors, outcomes, ranks

MIN_RETRY_MS = 20
MAX_RETRY_MS = 5000
# A retry hint is multiplied by a random factor from 0.5 to 1.5, so that callers
# that were refused together do not retry together.
RETRY_JITTER = 0.5
# Largest fraction of the time from a ticket's arrival to its deadline that is
# reserved for its service. Without this bound, an estimate that is too high
# could refuse all tickets and would never be corrected by a sample.
MAX_SERVICE_FRACTION = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class QueueParameters:
    """Parameters of the admission queue.

    Attributes:
        service_margin: Multiple of the expected service time that must remain
            before the deadline when a ticket starts.
        first_rank_fraction: Fraction of the concurrency limit up to which the
            demand of the most urgent rank is served before all other ranks.
        first_rank_window_s: Time without a ticket after which a rank no longer
            counts as the most urgent one; the next rank in use takes its place.
            By default, it is the first rank, used or not.
        min_retry_ms: Least retry hint before jitter.
    """

    service_margin: float = 2
    first_rank_fraction: float = 0.9
    first_rank_window_s: float = math.inf
    min_retry_ms: float = MIN_RETRY_MS


# Parameters of a holder whose server has other holders too. The deadlines of
# its tickets already leave time for the service. Retries of refused statements
# within a second rarely succeed in a burst, and prolong it.
SHARED_SERVER = QueueParameters(
    service_margin=0,
    first_rank_window_s=60,
    min_retry_ms=1000,
)


class RankQueue:
    """Waiting tickets of one rank, ordered by deadline."""

    def __init__(self) -> None:
        """Start empty."""
        self._heap: list[tuple[float, int, decisions.Ticket]] = []
        self._waiting_ids: set[int | str] = set()
        self._sequence = itertools.count()

    def __len__(self) -> int:
        """Return the number of waiting tickets."""
        return len(self._waiting_ids)

    def push(self, ticket: decisions.Ticket) -> None:
        """Add a ticket."""
        entry = (ticket.deadline, next(self._sequence), ticket)
        heapq.heappush(self._heap, entry)
        self._waiting_ids.add(ticket.ticket_id)

    def peek(self) -> decisions.Ticket | None:
        """Return the next ticket without removing it."""
        while (
            self._heap and self._heap[0][2].ticket_id not in self._waiting_ids
        ):
            heapq.heappop(self._heap)
        return self._heap[0][2] if self._heap else None

    def pop(self) -> decisions.Ticket:
        """Remove and return the next ticket."""
        ticket = self.peek()
        if ticket is None:
            raise errors.InvariantError('pop from an empty rank queue')
        heapq.heappop(self._heap)
        self._waiting_ids.discard(ticket.ticket_id)
        return ticket

    def remove(self, ticket_id: int | str) -> None:
        """Remove a ticket if it is in this queue.

        Its heap entry stays until it reaches the head.
        """
        self._waiting_ids.discard(ticket_id)


class Backlog:
    """Waiting tickets of all ranks."""

    def __init__(
        self,
        policies: abc.Mapping[ranks.Rank, sets.RankPolicy],
        random_source: random.Random,
        parameters: QueueParameters,
    ) -> None:
        """Start empty; `random_source` provides the jitter of retry hints."""
        self._policies = policies
        self._random = random_source
        self._parameters = parameters
        self.queues = {rank: RankQueue() for rank in policies}
        self._demands = {rank: estimates.DemandEstimate() for rank in policies}
        self._first_rank = first_ranks.FirstRank(parameters.first_rank_window_s)
        self.shares = shares.FairShares(policies)
        self.estimates = {
            rank: estimates.ServiceTimeEstimate() for rank in policies
        }

    def waiting_ranks(self) -> list[ranks.Rank]:
        """Return the ranks that have waiting tickets."""
        return [rank for rank, queue in self.queues.items() if queue]

    def on_arrival(self, rank: ranks.Rank, now: float) -> None:
        """Record the arrival of a ticket of `rank`, also if it is refused.

        The demand is computed from the long-term service time. With the recent
        one, a slow server would look like a flood, and the most urgent rank
        would lose its precedence when it needs it most.
        """
        self._first_rank.on_arrival(rank, now)
        self._demands[rank].on_arrival(self.estimates[rank].long_term_ms, now)

    def pop_next(self, now: float, limit: int) -> decisions.Ticket:
        """Remove and return the ticket that starts next.

        The most urgent rank comes first while its precedence holds; otherwise
        the weighted shares decide.
        """
        waiting = self.waiting_ranks()
        first = self._first_rank.at(now)
        if first in waiting and self._prefers_first_rank(now, limit):
            return self.queues[first].pop()
        return self.queues[self.shares.choose(waiting)].pop()

    def remove_late(self, now: float, limit: int) -> list[decisions.Refuse]:
        """Remove and refuse the tickets that can't meet their deadline."""
        refused: list[decisions.Refuse] = []
        for queue in self.queues.values():
            ticket = queue.peek()
            while ticket is not None and self.is_late(ticket, now):
                queue.pop()
                refused.append(
                    self.refuse(ticket, outcomes.Reason.deadline, limit),
                )
                ticket = queue.peek()
        return refused

    def is_late(self, ticket: decisions.Ticket, now: float) -> bool:
        """Return whether `ticket` would miss its deadline if started now."""
        return now >= ticket.deadline - self._service_margin_ms(ticket) / 1000

    def would_wait_too_long(
        self,
        ticket: decisions.Ticket,
        now: float,
        limit: int,
    ) -> bool:
        """Return whether a new ticket would wait beyond its deadline.

        An empty queue accepts every ticket. Otherwise an estimate that is too
        high could refuse all tickets and would never be corrected by a sample.
        """
        remaining_ms = (ticket.deadline - now) * 1000 - self._service_margin_ms(
            ticket
        )
        return self._expected_wait_ms(ticket.rank, now, limit) > remaining_ms

    def refuse(
        self,
        ticket: decisions.Ticket,
        reason: outcomes.Reason,
        limit: int,
    ) -> decisions.Refuse:
        """Return a refusal of `ticket` with a retry hint.

        The hint is the time that the queue of the ticket's rank needs to drain,
        with jitter.
        """
        hint_ms = self._drain_ms(ticket.rank, limit)
        hint_ms = max(hint_ms, self._parameters.min_retry_ms)
        hint_ms = min(hint_ms, MAX_RETRY_MS)
        jitter = self._random.uniform(1 - RETRY_JITTER, 1 + RETRY_JITTER)
        return decisions.Refuse(
            ticket.ticket_id,
            reason,
            round(hint_ms * jitter),
        )

    def _prefers_first_rank(self, now: float, limit: int) -> bool:
        """Return whether the most urgent rank is served before all others.

        It is as long as its demand fits into its fraction of the limit, or its
        first waiting ticket is within the target. Without the demand rule, a
        random burst that exceeds the target would reduce the rank to its share,
        and with a demand above the share it would never recover.
        """
        rank = self._first_rank.at(now)
        if (
            self._demands[rank].connections(now)
            <= limit * self._parameters.first_rank_fraction
        ):
            return True
        ticket = self.queues[rank].peek()
        if ticket is None:
            return True
        return (now - ticket.arrived) * 1000 <= self._policies[rank].target_ms

    def _expected_wait_ms(
        self, rank: ranks.Rank, now: float, limit: int
    ) -> float:
        is_first = rank is self._first_rank.at(now)
        if is_first and self._prefers_first_rank(now, limit):
            work_ms = len(self.queues[rank]) * self.estimates[rank].mean_ms
            return work_ms / limit
        return self._drain_ms(rank, limit)

    def _drain_ms(self, rank: ranks.Rank, limit: int) -> float:
        """Return how long `rank` needs to serve its queue with its share."""
        fraction = self.shares.fraction(rank, self.waiting_ranks())
        work_ms = len(self.queues[rank]) * self.estimates[rank].mean_ms
        return work_ms / (fraction * limit)

    def _service_margin_ms(self, ticket: decisions.Ticket) -> float:
        """Return the time before the deadline that is reserved for service."""
        expected_ms = self.estimates[ticket.rank].mean_ms
        allowed_ms = (ticket.deadline - ticket.arrived) * 1000
        return min(
            expected_ms * self._parameters.service_margin,
            allowed_ms * MAX_SERVICE_FRACTION,
        )
