"""Holders of the simulation, with a fixed or an adaptive limit."""

import dataclasses
import itertools
import random

from celeryrelay.admission import (
    backlog,
    decisions,
    limits,
    queue,
    server_limit,
    simulated_servers,
)
from celeryrelay.conf import sets
from celeryrelay.core import ranks

# Time without further attempts after the server reset a connection.
RESET_HOLD_S = 0.1
POLICIES = {
    rank: sets.RankPolicy(
        rank,
        target_ms=target_ms,
        deadline_ms=target_ms,
        share=share,
        worth=share,
        durability=sets.Durability.local,
    )
    for rank, target_ms, share in (
        (ranks.Rank.bookings, 400, 8),
        (ranks.Rank.checks, 800, 2),
        (ranks.Rank.reports, 1500, 3),
    )
}


@dataclasses.dataclass(frozen=True, slots=True)
class Refused:
    """A request for a connection was refused.

    Attributes:
        retry_after_ms: Hint for the caller, 0 without one.
        is_full: Whether the server reset the connection.
    """

    retry_after_ms: int = 0
    is_full: bool = False


class HolderModel:
    """Leases its connections to one server in the order of its queue."""

    def __init__(
        self,
        events: simulated_servers.Events,
        server: simulated_servers.ServerModel,
        connections: int,
        source: random.Random,
        adaptive: bool,
    ) -> None:
        """Start without connections.

        Args:
            events: Events of the simulation.
            server: The server.
            connections: Connections that may be open.
            source: Random source of jitter.
            adaptive: Whether the limit follows the replies; otherwise, it is
                the number of connections.
        """
        self._events = events
        self._server = server
        self._connections = connections
        self._adaptive = adaptive
        self._limit: queue.Limit = limits.FixedLimit(connections)
        parameters = queue.QueueParameters()
        if adaptive:
            self._limit = server_limit.SharedServerLimit(connections, source)
            parameters = backlog.SHARED_SERVER
        self._queue = queue.AdmissionQueue(
            POLICIES, self._limit, source, parameters
        )
        self._idle = 0
        self._open = 0
        self._full_until: float = 0
        self._ids = itertools.count()
        self._waiters: dict[int | str, simulated_servers.Signal] = {}

    @property
    def load(self) -> int:
        """Number of statements that run or wait."""
        return self._queue.running + self._queue.waiting

    def acquire(
        self, rank: ranks.Rank, deadline: float
    ) -> simulated_servers.Process:
        """Wait for a connection; return its ticket or `Refused`."""
        now = self._events.now
        ticket = decisions.Ticket(next(self._ids), rank, now, deadline)
        decision = self._queue.offer(ticket, now)
        if isinstance(decision, decisions.Wait):
            signal = simulated_servers.Signal()
            self._waiters[ticket.ticket_id] = signal
            self._events.after(deadline - now, lambda: self._expire(ticket))
            decision = yield signal
        if isinstance(decision, decisions.Refuse):
            return Refused(decision.retry_after_ms if self._adaptive else 0)
        return (yield from self._connect(ticket))

    def run(
        self, ticket: decisions.Ticket, work_ms: float, delay_s: float
    ) -> simulated_servers.Process:
        """Run a statement; return False if the server rejects it.

        Args:
            ticket: Ticket of the statement; it ends with the reply.
            work_ms: Time for which it occupies a slot.
            delay_s: Delay to the server.
        """
        sent_at = self._events.now
        yield delay_s
        done = simulated_servers.Signal()
        task = simulated_servers.Task(work_ms, lambda: done.send(None))
        accepted = self._server.submit(task)
        if accepted:
            yield done
        yield delay_s
        self._idle += 1
        response_ms = (self._events.now - sent_at) * 1000
        self._adapt(ticket.rank, response_ms, accepted)
        self._release(ticket, response_ms)
        return accepted

    def _connect(self, ticket: decisions.Ticket) -> simulated_servers.Process:
        if self._idle:
            self._idle -= 1
            return ticket
        opened = simulated_servers.Signal()
        may_open = (
            self._open < self._connections
            and self._events.now >= self._full_until
        )
        if may_open and self._server.open_connection(lambda: opened.send(None)):
            self._open += 1
            yield opened
            return ticket
        if may_open:
            self._full_until = self._events.now + RESET_HOLD_S
        self._release(ticket, 0)
        return Refused(is_full=True)

    def _adapt(
        self, rank: ranks.Rank, response_ms: float, accepted: bool
    ) -> None:
        match self._limit:
            case server_limit.SharedServerLimit() as limit if accepted:
                limit.on_reply(rank, response_ms, self._events.now)
            case server_limit.SharedServerLimit() as limit:
                until = limit.on_busy(self._events.now)
                self._events.after(until - self._events.now, self._resume)

    def _resume(self) -> None:
        self._apply(self._queue.resume(self._events.now))

    def _release(self, ticket: decisions.Ticket, busy_ms: float) -> None:
        self._apply(
            self._queue.release(
                ticket.ticket_id, self._events.now, busy_ms, ok=busy_ms > 0
            ),
        )

    def _expire(self, ticket: decisions.Ticket) -> None:
        if ticket.ticket_id in self._waiters:
            self._apply([self._queue.give_up(ticket)])

    def _apply(self, found: list[decisions.Start | decisions.Refuse]) -> None:
        for decision in found:
            signal = self._waiters.pop(decision.ticket_id, None)
            if signal is not None:
                signal.send(decision)
