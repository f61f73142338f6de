"""Pool of this daemon's connections to one backend server."""

import asyncio
import dataclasses
import itertools
import random
from collections import abc

import result

from celeryrelay.adapters import json_log
from celeryrelay.admission import backlog, decisions, queue, server_limit
from celeryrelay.conf import sets
from celeryrelay.core import clock as clocks
from celeryrelay.core import outcomes, ranks
from celeryrelay.gateway import (
    account_metrics,
    catalog,
    commands,
    interfaces,
)
from celeryrelay.gateway.connections import (
    connection_state,
    idle_connections,
    limit_feedback,
    pooled_connection,
)

OPEN_TIMEOUT_S = 1.0
# After a daemon loses power, the server still counts its open connections for
# seconds, so idle connections are closed soon.
IDLE_CLOSE_S = 3.0
# Least and longest time for which a server that failed gets no reads while
# other servers are available.
MIN_BACKOFF_S = 0.25
MAX_BACKOFF_S = 1.0
# Time for which a server that refused a statement or a connection gets no reads
# and, after the latter, no further connection attempts.
BRIEF_AVOID_S = 0.1

# Under contention, a rank's share of the connection time follows the worth of
# its statements per unit of work. Up to most of the limit, and within the target
# beyond, the queue starts the statements of the most urgent rank in use first.
# Deadlines come with the statements.
POLICIES = {
    rank: sets.RankPolicy(
        rank=rank,
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


@dataclasses.dataclass(slots=True)
class PooledLease:
    """The right to use a pooled connection until `release`."""

    pool: 'ConnectionPool'
    pooled: pooled_connection.PooledConnection
    ticket: decisions.Ticket
    started: float
    busy_ms: float = 0
    is_fallback: bool = False

    @property
    def server(self) -> catalog.Server:
        """The backend server."""
        return self.pool.server

    def send(
        self,
        batch: abc.Sequence[commands.Command],
        needs: connection_state.RequiredSessionState | None = None,
    ) -> list[asyncio.Future]:
        """Send commands in one write and return a future for each reply.

        Args:
            batch: The commands.
            needs: Session state that is set on the connection before them.
        """
        prepared = self.pooled.restore_session(needs) if needs else []
        sent = self.pooled.connection.send([*prepared, *batch])
        replies = sent[len(prepared) :]
        self.pool.feedback.watch(self.ticket, batch, replies)
        return replies

    def release(self, usable: bool = True) -> None:
        """Return the connection to the pool; an unusable one is closed."""
        self.pool.release(self, usable)


class ConnectionPool:
    """Opens connections to one server, keeps idle ones and leases them.

    Its queue decides by rank which statement gets a connection next.

    Attributes:
        server: The backend server.
        avoid_until: Time in seconds until which the server should get no reads.
        replied_at: Time in seconds at which a usable connection was last
            released.
        opened_total: Number of connection attempts so far.
        idle_close_s: Time after which an idle connection is closed.
        feedback: Adapts the number of running statements to the replies.
    """

    def __init__(
        self,
        server: catalog.Server,
        connector: interfaces.Connector,
        clock: clocks.Clock,
        limit: int,
        metrics: account_metrics.AccountMetrics | None = None,
    ) -> None:
        """Allow `limit` connections to `server`.

        Args:
            server: The backend server.
            connector: Opens the connections.
            clock: Source of the time.
            limit: Number of connections that may be open.
            metrics: Counts connections by client account, None for no counts.
        """
        self.server = server
        self.avoid_until: float = 0
        self.replied_at: float = 0
        self._failing_until: float = 0
        self._full_until: float = 0
        self._connector = connector
        self._clock = clock
        source = random.Random()
        self._limit = server_limit.SharedServerLimit(limit, source)
        self._queue = queue.AdmissionQueue(
            POLICIES,
            self._limit,
            source,
            backlog.SHARED_SERVER,
        )
        self.feedback = limit_feedback.LimitFeedback(
            self._limit, self._queue, self._apply, clock
        )
        self._idle = idle_connections.IdleConnections(metrics)
        self._waiters: dict[int | str, asyncio.Future] = {}
        self._tickets = itertools.count()
        self._backoff_s = MIN_BACKOFF_S
        self._log = json_log.get('pool')
        self._open = 0
        self.opened_total = 0
        self.idle_close_s = IDLE_CLOSE_S

    @property
    def limit(self) -> int:
        """Number of connections that this daemon may have open."""
        return self._limit.maximum

    @property
    def running(self) -> int:
        """Number of leased connections, including those being opened."""
        return self._queue.running

    @property
    def waiting(self) -> int:
        """Number of statements that wait for a connection."""
        return self._queue.waiting

    @property
    def is_failing(self) -> bool:
        """Whether the server was unreachable a moment ago."""
        return self._clock.monotonic() < self._failing_until

    def resize(self, limit: int) -> None:
        """Change the number of connections that may be open."""
        self._limit.resize(limit)
        while self._idle and self._open > self.limit:
            self._close(self._idle.take_oldest(), 'fewer connections allowed')

    async def acquire(
        self,
        rank: ranks.Rank,
        deadline: float,
        account: str | None = None,
    ) -> result.Result[PooledLease, outcomes.NotRun]:
        """Wait for a connection.

        Args:
            rank: Rank of the statement.
            deadline: Time in seconds at which the wait ends.
            account: Client account of the statement, None for commands that may
                run on a connection of any account.
        """
        now = self._clock.monotonic()
        # Commands of no account begin transactions or ask for the status.
        ticket = decisions.Ticket(
            next(self._tickets),
            rank,
            now,
            deadline,
            occupies_slot=account is not None,
        )
        match self._queue.offer(ticket, now):
            case decisions.Refuse() as refusal:
                return result.Err(_overload(refusal))
            case decisions.Wait():
                match await self._wait_for_start(ticket):
                    case decisions.Refuse() as refusal:
                        return result.Err(_overload(refusal))
        return await self._connect(ticket, account)

    def release(self, lease: PooledLease, usable: bool) -> None:
        """Take a leased connection back and start the next statement."""
        self._idle.on_released(lease.pooled.account)
        if usable and not lease.pooled.connection.closed:
            self._backoff_s = MIN_BACKOFF_S
            self.replied_at = self._clock.monotonic()
            self._failing_until = 0
            self._return_idle(lease.pooled)
        else:
            self._close(lease.pooled, 'session state unknown')
        self._end_ticket(lease.ticket.ticket_id, lease.busy_ms, usable)

    def on_failed(self) -> None:
        """Avoid the server after a failure, longer after each further one."""
        self.avoid_until = self._clock.monotonic() + self._backoff_s
        self._failing_until = self.avoid_until
        self._backoff_s = min(self._backoff_s * 2, MAX_BACKOFF_S)

    def avoid_briefly(self) -> None:
        """Avoid the server for `BRIEF_AVOID_S`."""
        until = self._clock.monotonic() + BRIEF_AVOID_S
        self.avoid_until = max(self.avoid_until, until)

    def close_idle(self) -> None:
        """Close connections that ended or were idle for `idle_close_s`."""
        before = self._clock.monotonic() - self.idle_close_s
        for pooled in self._idle.take_expired(before):
            self._close(pooled, 'idle')

    def close_unknown(self, is_known: abc.Callable[[str], bool]) -> None:
        """Close idle connections of accounts that are no longer known."""
        for pooled in self._idle.take_unknown(is_known):
            self._close(pooled, 'account removed')

    def close(self) -> None:
        """Close the idle connections; leased ones are closed when released."""
        self._limit.resize(1)
        while self._idle:
            self._close(self._idle.take_oldest(), 'server removed')

    async def _wait_for_start(
        self,
        ticket: decisions.Ticket,
    ) -> decisions.Start | decisions.Refuse:
        future = asyncio.get_running_loop().create_future()
        self._waiters[ticket.ticket_id] = future
        try:
            async with asyncio.timeout(ticket.deadline - ticket.arrived):
                return await future
        except TimeoutError:
            return self._queue.give_up(ticket)
        except asyncio.CancelledError:
            self._cancel_wait(ticket, future)
            raise
        finally:
            self._waiters.pop(ticket.ticket_id, None)

    def _cancel_wait(
        self, ticket: decisions.Ticket, future: asyncio.Future
    ) -> None:
        started = future.done() and not future.cancelled()
        if started and isinstance(future.result(), decisions.Start):
            self._end_ticket(ticket.ticket_id, 0, ok=True)
        else:
            self._queue.cancel(ticket.ticket_id)

    async def _connect(
        self,
        ticket: decisions.Ticket,
        account: str | None,
    ) -> result.Result[PooledLease, outcomes.NotRun]:
        pooled = self._take_idle(account)
        if pooled is None:
            try:
                opened = await self._open_connection(account or '')
            except asyncio.CancelledError:
                self._end_ticket(ticket.ticket_id, 0, ok=False)
                raise
            match opened:
                case result.Err(problem):
                    self._end_ticket(ticket.ticket_id, 0, ok=False)
                    return result.Err(_unreachable(problem))
                case result.Ok(fresh):
                    pooled = fresh
        now = self._clock.monotonic()
        return result.Ok(PooledLease(self, pooled, ticket, now))

    def _take_idle(
        self, account: str | None
    ) -> pooled_connection.PooledConnection | None:
        now = self._clock.monotonic()
        pooled = self._idle.take(account, now)
        while pooled is not None and pooled.connection.closed:
            self._idle.on_released(pooled.account)
            self._close(pooled, 'ended')
            pooled = self._idle.take(account, now)
        return pooled

    async def _open_connection(
        self, account: str
    ) -> result.Result[
        pooled_connection.PooledConnection, commands.ConnectError
    ]:
        now = self._clock.monotonic()
        while self._idle and self._open >= self.limit:
            self._close(
                self._idle.take_least_used(now),
                'replaced by one of another account',
            )
        if now < self._full_until:
            return result.Err(commands.ConnectError.full)
        self._open += 1
        self.opened_total += 1
        self._idle.on_opened(account, now)
        try:
            opened = await self._connector.open(
                self.server, OPEN_TIMEOUT_S, account
            )
        except asyncio.CancelledError:
            self._on_not_opened(account)
            raise
        match opened:
            case result.Ok(connection):
                return result.Ok(
                    pooled_connection.PooledConnection(connection, account)
                )
            case result.Err(problem):
                self._on_not_opened(account)
                if problem is commands.ConnectError.full:
                    # Until the next `resize`, statements wait for the open
                    # connections instead of trying to open more.
                    self._limit.resize(self._open)
                    self._full_until = self._clock.monotonic() + BRIEF_AVOID_S
                    self.avoid_briefly()
                else:
                    self.on_failed()
                self._log.warning(
                    'connection not opened',
                    server=self.server.server_id,
                    problem=problem.value,
                    open=self._open,
                    limit=self.limit,
                )
                return result.Err(problem)

    def _on_not_opened(self, account: str) -> None:
        self._open -= 1
        self._idle.on_released(account)

    def _return_idle(self, pooled: pooled_connection.PooledConnection) -> None:
        if self._open > self.limit:
            self._close(pooled, 'fewer connections allowed')
            return
        pooled.idle_since = self._clock.monotonic()
        self._idle.add(pooled)

    def _close(
        self, pooled: pooled_connection.PooledConnection, reason: str
    ) -> None:
        self._open -= 1
        pooled.connection.close(reason)

    def _end_ticket(
        self, ticket_id: int | str, busy_ms: float, ok: bool
    ) -> None:
        now = self._clock.monotonic()
        self._apply(self._queue.release(ticket_id, now, busy_ms, ok))

    def _apply(
        self, found: abc.Iterable[decisions.Start | decisions.Refuse]
    ) -> None:
        for decision in found:
            future = self._waiters.pop(decision.ticket_id, None)
            if future is not None and not future.done():
                future.set_result(decision)
            elif isinstance(decision, decisions.Start):
                self._end_ticket(decision.ticket_id, 0, ok=True)


def _overload(refusal: decisions.Refuse) -> outcomes.NotRun:
    return outcomes.NotRun(
        outcomes.Reason.deadline,
        'the backend server cannot run the statement in time',
        refusal.retry_after_ms,
    )


def _unreachable(problem: commands.ConnectError) -> outcomes.NotRun:
    # A server without a free connection is reachable, and other daemons have
    # connections to it.
    full = problem is commands.ConnectError.full
    return outcomes.NotRun(
        outcomes.Reason.no_holder if full else outcomes.Reason.connections,
        'no connection to the backend server: {0}'.format(problem.value),
        retry_after_ms=round(MIN_BACKOFF_S * 1000),
    )
