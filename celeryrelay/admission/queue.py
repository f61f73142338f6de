"""Admission queue in front of the connections to one backend server."""

import dataclasses
import random
from collections import abc

from celeryrelay.admission import backlog, decisions, limits, server_limit
from celeryrelay.conf import sets
from celeryrelay.core import errors, outcomes, ranks

Ticket = decisions.Ticket
Start = decisions.Start
Wait = decisions.Wait
Refuse = decisions.Refuse
QueueParameters = backlog.QueueParameters
Limit = (
    limits.AdaptiveLimit | limits.FixedLimit | server_limit.SharedServerLimit
)

_DEFAULT_PARAMETERS = QueueParameters()


@dataclasses.dataclass(frozen=True, slots=True)
class _Running:
    rank: ranks.Rank
    started: float
    charged_ms: float
    occupies_slot: bool


class AdmissionQueue:
    """Decides which ticket uses a connection to a backend server, and when.

    A ticket covers a whole transaction: between `Start` and `release`, the
    statements of the transaction do not queue again.
    """

    def __init__(
        self,
        policies: abc.Mapping[ranks.Rank, sets.RankPolicy],
        limit: Limit,
        seed: int | random.Random,
        parameters: QueueParameters = _DEFAULT_PARAMETERS,
    ) -> None:
        """Serve the ranks of `policies`.

        Args:
            policies: Policy of each rank.
            limit: Concurrency limit; the queue reports service times to it.
            seed: Seed or random source for the jitter of retry hints.
            parameters: Parameters of the scheduling.
        """
        self._limit = limit
        source = (
            seed if isinstance(seed, random.Random) else random.Random(seed)
        )
        self._backlog = backlog.Backlog(policies, source, parameters)
        self._running: dict[int | str, _Running] = {}
        self._suspended: set[int | str] = set()

    @property
    def running(self) -> int:
        """Return the number of tickets that were started and not released."""
        return len(self._running)

    @property
    def waiting(self) -> int:
        """Return the number of waiting tickets."""
        return sum(map(len, self._backlog.queues.values()))

    def offer(self, ticket: Ticket, now: float) -> Start | Wait | Refuse:
        """Start a new ticket, enqueue it, or refuse it."""
        if not ticket.occupies_slot and self.running < self._limit.maximum:
            return self._start(ticket, now)
        limit = self._limit.current
        queue = self._backlog.queues[ticket.rank]
        self._backlog.on_arrival(ticket.rank, now)
        if self._backlog.is_late(ticket, now):
            return self._backlog.refuse(
                ticket,
                outcomes.Reason.deadline,
                limit,
            )
        if not queue:
            self._backlog.shares.activate(ticket.rank)
            if self._has_capacity(now):
                self._backlog.shares.choose((ticket.rank,))
                return self._start(ticket, now)
        if self._backlog.would_wait_too_long(ticket, now, limit):
            return self._backlog.refuse(
                ticket,
                outcomes.Reason.overload,
                limit,
            )
        queue.push(ticket)
        return Wait(ticket.ticket_id)

    def release(
        self,
        ticket_id: int | str,
        now: float,
        service_ms: float,
        ok: bool,
    ) -> list[Start | Refuse]:
        """End a running ticket and start the tickets that come next.

        Args:
            ticket_id: Id of the running ticket.
            now: Monotonic time in seconds.
            service_ms: Time that the backend server took, without the time
                between the caller's statements in a transaction.
            ok: False if the backend server refused the connection, closed it
                or did not answer in time. An SQL error is a normal answer.

        Raises:
            InvariantError: The ticket is not running.
        """
        ended = self._running.pop(ticket_id, None)
        self._suspended.discard(ticket_id)
        if ended is None:
            raise errors.InvariantError(
                'release of ticket {0}, which is not running'.format(ticket_id),
            )
        self._backlog.shares.charge(
            ended.rank,
            (now - ended.started) * 1000 - ended.charged_ms,
        )
        estimate = self._backlog.estimates[ended.rank]
        if ok and ended.occupies_slot:
            estimate.on_sample(service_ms, now)
        self._limit.on_sample(estimate.normalized_ms(service_ms), ok, now)
        return self.resume(now)

    def suspend(self, ticket_id: int | str, now: float) -> list[Start | Refuse]:
        """Record that a transaction waits for its caller's next statement.

        It keeps its connection, but leaves its place to another ticket.
        """
        if ticket_id in self._running:
            self._suspended.add(ticket_id)
        return self.resume(now)

    def proceed(self, ticket_id: int | str) -> None:
        """Record that a transaction has got its caller's next statement."""
        self._suspended.discard(ticket_id)

    def expire(self, now: float) -> list[Refuse]:
        """Refuse the waiting tickets that can't meet their deadline."""
        return self._backlog.remove_late(now, self._limit.current)

    def give_up(self, ticket: Ticket) -> Refuse:
        """Remove and refuse a waiting ticket whose deadline has passed."""
        self.cancel(ticket.ticket_id)
        return self._backlog.refuse(
            ticket, outcomes.Reason.deadline, self._limit.current
        )

    def cancel(self, ticket_id: int | str) -> None:
        """Remove a waiting ticket whose caller has disconnected.

        A running ticket still holds its connection and ends with `release`.
        """
        for queue in self._backlog.queues.values():
            queue.remove(ticket_id)

    def resume(self, now: float) -> list[Start | Refuse]:
        """Start the waiting tickets that the limit permits.

        To be called when a pause of the limit has ended.
        """
        found: list[Start | Refuse] = list(self.expire(now))
        while self.waiting and self._has_capacity(now):
            ticket = self._backlog.pop_next(now, self._limit.current)
            found.append(self._start(ticket, now))
        return found

    def _has_capacity(self, now: float) -> bool:
        active = len(self._running) - len(self._suspended)
        return len(self._running) < self._limit.maximum and self._limit.permits(
            active, now
        )

    def _start(self, ticket: Ticket, now: float) -> Start:
        rank = ticket.rank
        expected_ms = self._backlog.estimates[rank].mean_ms
        self._running[ticket.ticket_id] = _Running(
            rank, now, expected_ms, ticket.occupies_slot
        )
        self._backlog.shares.charge(rank, expected_ms)
        return Start(ticket.ticket_id)
