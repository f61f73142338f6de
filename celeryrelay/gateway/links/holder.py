"""Leases of this daemon's connections to other daemons.

A holder is a daemon that keeps connections to a backend server for the other
daemons of its zone too.
"""

import asyncio
import dataclasses
import functools
from collections import abc

import result

from celeryrelay.adapters import json_log
from celeryrelay.core import clock as clocks
from celeryrelay.core import outcomes, ranks
from celeryrelay.gateway import (
    catalog,
    commands,
    directory,
    evidence_record,
    interfaces,
    server_calls,
)
from celeryrelay.gateway.connections import pool
from celeryrelay.gateway.links import link_messages

# Cause of the leases that are revoked at the end of a planned stop.
PLANNED_STOP = 'planned stop'
# Time after which the receipt of an undecided request is confirmed.
CONFIRM_AFTER_S = 0.05
# Time beyond the limit for idle transactions after which a lease without a
# command is revoked: the daemon that uses it may be frozen.
IDLE_SLACK_S = 1.0
# Limit for a connection, and again for the reply, when a holder tries to begin
# a transaction for another daemon.
TRY_BEGIN_TIMEOUT_S = 0.25


@dataclasses.dataclass(slots=True)
class _GrantedLease:
    """A lease that another daemon uses.

    Attributes:
        lease: Lease of the connection in the local pool.
        used_at: Time in seconds of the last command or reply.
        waiting: Number of commands without a reply.
    """

    lease: pool.PooledLease
    used_at: float
    waiting: int = 0


PoolLookup = abc.Callable[[str], pool.ConnectionPool | None]
ServerFailureHandler = abc.Callable[[catalog.Server], None]
QuotaHandler = abc.Callable[
    [str, link_messages.RequestQuota], link_messages.QuotaAnswer
]


class _LinkClient:
    """A daemon that leases connections from this one over a link."""

    def __init__(self, holder: 'Holder', link: interfaces.Link) -> None:
        self._holder = holder
        self._link = link
        self._name = ''
        self._granted: dict[int, _GrantedLease] = {}
        self._acquiring: dict[int, asyncio.Task] = {}
        self._log = json_log.get('holder')

    def __len__(self) -> int:
        """Return the number of leases that it has or waits for."""
        return len(self._granted) + len(self._acquiring)

    def on_message(self, message: link_messages.Message) -> None:
        """Handle a message of the other daemon."""
        match message:
            case link_messages.Hello(member):
                self._name = member
            case link_messages.Acquire():
                self._start_acquiring(message)
            case link_messages.Execute():
                self._execute(message)
            case link_messages.Release(lease_id, usable):
                self._release(lease_id, usable)
            case link_messages.TryBegin():
                self._start_try_begin(message)
            case _ if isinstance(message, link_messages.Question):
                self._link.send(self._holder.answer(self._name, message))
            case _:
                self._link.close('unexpected message')

    def on_closed(self, problem: str) -> None:
        """Close the leased connections, whose state is unknown now."""
        self._holder.discard(self)
        for lease_id in (*self._acquiring, *self._granted):
            self._release(lease_id, usable=False)

    def announce_leaving(self) -> None:
        """Tell the other daemon to use other holders."""
        self._link.send(link_messages.Leaving())

    def revoke_idle(self, before: float, cause: str) -> None:
        """Revoke the leases that were not used since `before`, in seconds."""
        for lease_id, granted in tuple(self._granted.items()):
            if not granted.waiting and granted.used_at < before:
                self._revoke(lease_id, cause)

    def _revoke(self, lease_id: int, cause: str) -> None:
        self._log.info('lease revoked', member=self._name, cause=cause)
        self._link.send(link_messages.Revoked(lease_id, cause))
        self._release(lease_id, usable=False)

    def _start_try_begin(self, request: link_messages.TryBegin) -> None:
        task = self._holder.try_begin(request.server_id)
        task.add_done_callback(
            functools.partial(self._on_try_begin_done, request.lease_id)
        )

    def _on_try_begin_done(self, lease_id: int, task: asyncio.Task) -> None:
        if task.cancelled() or task.exception() is not None:
            self._link.send(link_messages.Failed(lease_id, 0, 'not asked'))
            return
        match task.result():
            case commands.Reply() as reply:
                self._link.send(link_messages.Answered(lease_id, 0, reply))
            case commands.Lost(problem):
                self._link.send(link_messages.Failed(lease_id, 0, problem))

    def _start_acquiring(self, request: link_messages.Acquire) -> None:
        if request.lease_id in self._acquiring.keys() | self._granted.keys():
            self._link.close('lease number in use')
            return
        task = asyncio.create_task(self._acquire(request))
        self._acquiring[request.lease_id] = task
        task.add_done_callback(
            functools.partial(self._on_acquired, request.lease_id),
        )
        asyncio.get_running_loop().call_later(
            CONFIRM_AFTER_S,
            self._confirm,
            request.lease_id,
        )

    async def _acquire(self, request: link_messages.Acquire) -> None:
        if not self._holder.leasing:
            self._refuse(
                request.lease_id,
                outcomes.NotRun(
                    outcomes.Reason.leaving, 'the holder is stopping'
                ),
            )
            return
        server_pool = self._holder.find_pool(request.server_id)
        if server_pool is None:
            self._refuse(
                request.lease_id,
                outcomes.NotRun(
                    outcomes.Reason.connections,
                    'the backend server is unknown to the holder',
                ),
            )
            return
        if server_pool.is_failing:
            self._refuse(
                request.lease_id,
                outcomes.NotRun(
                    outcomes.Reason.connections,
                    'the holder cannot reach the backend server',
                ),
            )
            return
        if request.account and server_pool.running >= server_pool.limit:
            # The other daemon uses other holders for the account meanwhile.
            self._confirm(request.lease_id)
        now = self._holder.clock.monotonic()
        acquired = await server_pool.acquire(
            request.rank,
            now + request.wait_ms / 1000,
            request.account,
        )
        match acquired:
            case result.Ok(lease):
                now = self._holder.clock.monotonic()
                self._granted[request.lease_id] = _GrantedLease(lease, now)
                self._link.send(link_messages.Granted(request.lease_id))
            case result.Err(refusal):
                self._refuse(request.lease_id, refusal)
                if refusal.reason is outcomes.Reason.connections:
                    self._holder.on_server_failure(server_pool.server)

    def _on_acquired(self, lease_id: int, task: asyncio.Task) -> None:
        self._acquiring.pop(lease_id, None)
        if not task.cancelled() and task.exception() is not None:
            self._log.error(
                'acquiring a connection raised an exception',
                error=repr(task.exception()),
            )
            self._link.close('internal error')

    def _confirm(self, lease_id: int) -> None:
        if lease_id in self._acquiring:
            self._link.send(link_messages.Queued(lease_id))

    def _refuse(self, lease_id: int, refusal: outcomes.NotRun) -> None:
        self._link.send(
            link_messages.Refused(
                lease_id,
                refusal.reason,
                refusal.message,
                refusal.retry_after_ms,
            ),
        )

    def _execute(self, message: link_messages.Execute) -> None:
        granted = self._granted.get(message.lease_id)
        if granted is None:
            # The lease was revoked and the other daemon was notified.
            return
        granted.used_at = self._holder.clock.monotonic()
        granted.waiting += len(message.batch)
        futures = granted.lease.send(message.batch, message.needs)
        for call, future in enumerate(futures, message.first_call):
            future.add_done_callback(
                functools.partial(
                    self._on_reply, message.lease_id, call, granted
                ),
            )

    def _on_reply(
        self,
        lease_id: int,
        call: int,
        granted: _GrantedLease,
        future: asyncio.Future,
    ) -> None:
        now = self._holder.clock.monotonic()
        granted.waiting -= 1
        granted.lease.busy_ms += (now - granted.used_at) * 1000
        granted.used_at = now
        if self._granted.get(lease_id) is not granted or future.cancelled():
            return
        match future.result():
            case commands.Reply() as reply:
                self._link.send(link_messages.Answered(lease_id, call, reply))
            case commands.Lost(problem):
                self._link.send(link_messages.Failed(lease_id, call, problem))
        if not (granted.waiting or self._holder.leasing):
            self._revoke(lease_id, PLANNED_STOP)

    def _release(self, lease_id: int, usable: bool) -> None:
        acquiring = self._acquiring.pop(lease_id, None)
        if acquiring is not None:
            acquiring.cancel()
        granted = self._granted.pop(lease_id, None)
        if granted is None:
            return
        granted.lease.release(usable)
        if granted.waiting and not usable:
            self._holder.on_server_failure(granted.lease.server)


class Holder:
    """Leases connections of this daemon to the daemons that request them.

    Attributes:
        leasing: Whether connections are leased. Near the end of a planned stop
            they are not, since the exit would close them.
        evidence: This daemon's evidence of the newest configuration, None if it
            keeps none.
    """

    def __init__(
        self,
        server_directory: directory.Directory,
        find_pool: PoolLookup,
        on_server_failure: ServerFailureHandler,
        clock: clocks.Clock,
        answer_quota: QuotaHandler | None = None,
    ) -> None:
        """Lease connections of the pools that `find_pool` returns.

        Args:
            server_directory: Source of the limit for idle transactions.
            find_pool: Returns the pool of a backend server, None if the server
                is unknown.
            on_server_failure: Called with a server that did not open a
                connection for another daemon or did not reply to one. Holders
                are the first daemons to notice a server's failure.
            clock: Source of the time.
            answer_quota: Answers requests for the operations of client
                accounts; without it, the next daemon is to be asked.
        """
        self.clock = clock
        self.answer_quota = answer_quota or _leave_to_next_daemon
        self.find_pool = find_pool
        self.on_server_failure = on_server_failure
        self._directory = server_directory
        self._clients: set[_LinkClient] = set()
        self._is_leaving = False
        self.leasing = True
        self.evidence: evidence_record.EvidenceRecord | None = None
        self._trials: dict[str, asyncio.Task] = {}

    def __len__(self) -> int:
        """Return the number of leases that other daemons have or wait for."""
        return sum(map(len, self._clients))

    def answer(
        self, member: str, question: link_messages.Question
    ) -> link_messages.Message:
        """Return the answer to a question that needs no server.

        Args:
            member: Name of the daemon that asks.
            question: The question.
        """
        match question:
            case link_messages.Ping():
                return link_messages.Pong()
            case link_messages.RequestQuota():
                return self.answer_quota(member, question)
            case link_messages.AskEvidence(request_id):
                if self.evidence is None:
                    return link_messages.EvidenceAnswer(request_id, 0, None, 0)
                return self.evidence.answer(request_id)

    def try_begin(self, server_id: str) -> asyncio.Task:
        """Try to begin a write transaction; return the task with the reply.

        Requests that arrive before it starts share the task.
        """
        task = self._trials.get(server_id)
        if task is None:
            task = asyncio.create_task(self._try_begin(server_id))
            self._trials[server_id] = task
        return task

    async def _try_begin(
        self,
        server_id: str,
    ) -> commands.Reply | commands.Lost:
        try:
            acquired = await self._acquire_for_trial(server_id)
        finally:
            # Later requests need a reply that is later still.
            self._trials.pop(server_id)
        match acquired:
            case result.Err(refusal):
                return commands.Lost(refusal.message)
        return await server_calls.run_on(
            acquired.ok_value, server_calls.TRY_BEGIN, TRY_BEGIN_TIMEOUT_S
        )

    async def _acquire_for_trial(
        self,
        server_id: str,
    ) -> result.Result[pool.PooledLease, outcomes.NotRun]:
        server_pool = self.find_pool(server_id)
        if server_pool is None or server_pool.is_failing:
            return result.Err(
                outcomes.NotRun(
                    outcomes.Reason.connections,
                    'the holder cannot reach the backend server',
                ),
            )
        deadline = self.clock.monotonic() + TRY_BEGIN_TIMEOUT_S
        return await server_pool.acquire(ranks.Rank.bookings, deadline)

    def accept(self, link: interfaces.Link) -> _LinkClient:
        """Return the message handler for a new link."""
        client = _LinkClient(self, link)
        self._clients.add(client)
        if self._is_leaving:
            client.announce_leaving()
        return client

    def discard(self, client: _LinkClient) -> None:
        """Remove a daemon whose link has closed."""
        self._clients.discard(client)

    def announce_leaving(self) -> None:
        """Tell all daemons with a link, now or later, to use other holders."""
        self._is_leaving = True
        for client in self._clients:
            client.announce_leaving()

    def stop_leasing(self) -> None:
        """Lease no more connections; revoke leases once they are not used."""
        self.leasing = False
        self.revoke_idle(self.clock.monotonic(), PLANNED_STOP)

    def maintain(self) -> None:
        """Revoke leases that were idle for longer than a transaction may be."""
        configuration = self._directory.configuration
        if configuration is not None:
            idle_s = configuration.transaction_idle_ms / 1000 + IDLE_SLACK_S
            self.revoke_idle(
                self.clock.monotonic() - idle_s, 'idle for too long'
            )

    def revoke_idle(self, before: float, cause: str) -> None:
        """Revoke the leases that were not used since `before`, in seconds."""
        for client in tuple(self._clients):
            client.revoke_idle(before, cause)


def _leave_to_next_daemon(
    member: str, request: link_messages.RequestQuota
) -> link_messages.QuotaAnswer:
    return link_messages.QuotaAnswer(request.request_id, 0, 0)
