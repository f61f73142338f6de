"""Links to the daemons from which this one leases connections."""

import asyncio
import functools
import itertools
from collections import abc

import result

from celeryrelay.adapters import json_log
from celeryrelay.core import clock as clocks
from celeryrelay.core import outcomes, ranks
from celeryrelay.gateway import catalog, commands, interfaces
from celeryrelay.gateway.links import (
    forwarded_lease,
    link_messages,
    quota_exchange,
)

OPEN_TIMEOUT_S = 0.25
# Time in which a holder has to grant, refuse or confirm a request.
CONFIRM_TIMEOUT_S = 0.2
# The same for a holder that has recently sent other messages.
SLOW_CONFIRM_TIMEOUT_S = 0.6
# Times without a message, while an answer is due, after which the holder is
# pinged and after which the link is closed.
PING_AFTER_S = 0.25
SILENCE_TIMEOUT_S = 1.0
# Least and longest time for which a holder that failed is avoided while others
# are available.
MIN_AVOID_S = 0.5
MAX_AVOID_S = 4.0
# Time for which a holder that can't reach a server gets no requests for it.
UNREACHABLE_AVOID_S = 0.5
# Time after a refused connection for which a daemon's process counts as ended.
ENDED_S = 2.0
# Number of leases that a queued request counts as, since it shows that all
# connections are in use, and the time in seconds for which it does.
QUEUED_LOAD = 4
QUEUED_S = 1.0


class Peer:
    """Another daemon, the link to it, and the leases that it granted.

    Attributes:
        member: Registration of the daemon.
        quotas: Requests for the operations of client accounts.
    """

    def __init__(
        self,
        own_name: str,
        member: catalog.Member,
        connector: interfaces.LinkConnector,
        clock: clocks.Clock,
    ) -> None:
        """Prepare a link from `own_name` to `member`."""
        self.member = member
        self._own_name = own_name
        self._connector = connector
        self._clock = clock
        self._link: interfaces.Link | None = None
        self._opening: asyncio.Task[bool] | None = None
        self._leases: dict[int, forwarded_lease.ForwardedLease] = {}
        self._questions: dict[int, asyncio.Future] = {}
        self.quotas = quota_exchange.QuotaExchange(self._connect, self.send)
        self._ended_until: float = 0
        self._lease_ids = itertools.count(1)
        self._avoid_s = MIN_AVOID_S
        self._avoid_until: float = 0
        self._unreachable_until: dict[str, float] = {}
        self._queued_until: dict[str, float] = {}
        self._silent_since: float = 0
        self._last_message_at: float = 0
        self._ping_sent = False
        self._is_leaving = False
        self._log = json_log.get('link')

    @property
    def load(self) -> int:
        """Number of the peer's connections that are leased or requested."""
        return len(self._leases)

    @property
    def has_ended(self) -> bool:
        """Whether nothing listened at the daemon's address just now."""
        return self._clock.monotonic() < self._ended_until

    def load_of(self, server_id: str) -> int:
        """Return how busy the peer's connections to a server seem to be."""
        leased = [lease.server.server_id for lease in self._leases.values()]
        queued_until = self._queued_until.get(server_id, 0)
        is_queued = self._clock.monotonic() < queued_until
        return leased.count(server_id) + QUEUED_LOAD * is_queued

    def is_avoided(self, server_id: str) -> bool:
        """Return whether to prefer other holders for a server."""
        now = self._clock.monotonic()
        return (
            self._is_leaving
            or now < self._avoid_until
            or now < self._unreachable_until.get(server_id, 0)
        )

    async def acquire(
        self,
        server: catalog.Server,
        rank: ranks.Rank,
        deadline: float,
        account: str | None = None,
    ) -> result.Result[forwarded_lease.ForwardedLease, outcomes.NotRun]:
        """Request a lease of a connection to `server`.

        Args:
            server: The backend server.
            rank: Rank of the statement.
            deadline: Time in seconds at which the wait ends.
            account: Client account of the statement, None for commands that may
                run on a connection of any account.
        """
        if not await self._connect():
            return result.Err(_no_holder('link to the holder not opened'))
        lease = forwarded_lease.ForwardedLease(
            self, next(self._lease_ids), server
        )
        lease_id = lease.lease_id
        self._leases[lease_id] = lease
        wait_s = max(deadline - self._clock.monotonic(), 0)
        self.send(
            link_messages.Acquire(
                lease_id,
                server.server_id,
                rank,
                wait_s * 1000,
                account,
            ),
        )
        decision = await self._wait_for_decision(lease, wait_s)
        match decision:
            case result.Err(refusal):
                self._leases.pop(lease_id, None)
                if refusal.reason is outcomes.Reason.connections:
                    self.on_server_unreachable(server.server_id)
                return result.Err(refusal)
        return result.Ok(lease)

    async def try_begin(
        self,
        server_id: str,
        timeout_s: float,
    ) -> commands.Reply | commands.Lost:
        """Return a server's reply to a write transaction that ends at once."""
        make_request = functools.partial(
            link_messages.TryBegin, server_id=server_id
        )
        return _reply_of(await self.ask(make_request, timeout_s))

    async def ask(
        self,
        make_request: abc.Callable[[int], link_messages.ToHolder],
        timeout_s: float,
    ) -> link_messages.Message | None:
        """Send a request and return its answer, None if there is none.

        Args:
            make_request: Returns the request with a given number.
            timeout_s: Time limit in seconds for the answer.
        """
        if not await self._connect():
            return None
        number = next(self._lease_ids)
        answer = asyncio.get_running_loop().create_future()
        self._questions[number] = answer
        self.send(make_request(number))
        try:
            async with asyncio.timeout(timeout_s):
                return await answer
        except TimeoutError:
            return None
        finally:
            self._questions.pop(number, None)

    def check_process(self) -> None:
        """Open a link, to learn whether the daemon's process has ended."""
        checked_at = self._ended_until - ENDED_S
        is_checked = self._clock.monotonic() < checked_at + ENDED_S / 2
        if self._link is None and not is_checked:
            self._start_opening()

    def send(self, message: link_messages.Message) -> None:
        """Send a message; without an open link it is discarded."""
        if self._link is not None:
            self._link.send(message)

    def release(self, lease_id: int, usable: bool) -> None:
        """Give a lease or a pending request back."""
        if self._leases.pop(lease_id, None) is not None:
            self.send(link_messages.Release(lease_id, usable))

    def on_message(self, message: link_messages.Message) -> None:
        """Handle a message of the holder."""
        now = self._clock.monotonic()
        self._last_message_at = now
        self._restart_silence(now)
        match message:
            case link_messages.Leaving():
                self._is_leaving = True
                return
            case link_messages.Pong():
                return
            case link_messages.QuotaAnswer():
                self.quotas.on_answer(message)
                return
            case _ if not isinstance(message, link_messages.FromHolder):
                self.close('unexpected message')
                return
        question = self._questions.get(message.lease_id)
        if question is not None and not question.done():
            question.set_result(message)
        lease = self._leases.get(message.lease_id)
        if lease is not None:
            self._on_lease_message(lease, message)

    def on_closed(self, problem: str) -> None:
        """End all leases and pending requests of the closed link."""
        self._link = None
        self._is_leaving = False
        leases = list(self._leases.values())
        self._leases.clear()
        self._log.info(
            'link closed',
            member=self.member.name,
            problem=problem,
            leases=len(leases),
        )
        self.quotas.on_link_closed()
        for question in self._questions.values():
            if not question.done():
                question.set_result(None)
        for lease in leases:
            lease.on_decision(
                result.Err(_no_holder('link to the holder closed'))
            )
            lease.on_lost(
                commands.Lost('link to the holder closed', between_daemons=True)
            )

    def on_server_unreachable(self, server_id: str) -> None:
        """Avoid the holder for a server that it can't reach in time."""
        until = self._clock.monotonic() + UNREACHABLE_AVOID_S
        self._unreachable_until[server_id] = until

    def check_liveness(self) -> None:
        """Ping a holder that owes an answer; close the link if it is silent."""
        now = self._clock.monotonic()
        for server_id, until in tuple(self._unreachable_until.items()):
            if until <= now:
                self._unreachable_until.pop(server_id)
        if self._link is None:
            return
        is_waiting = any(lease.is_waiting for lease in self._leases.values())
        if not (is_waiting or self._questions):
            # Silence counts from the first message that requires an answer.
            self._silent_since = now
            return
        silent_s = now - self._silent_since
        if silent_s > SILENCE_TIMEOUT_S:
            self._avoid()
            self._link.close('silent for {0:.1f} s'.format(silent_s))
        elif silent_s > PING_AFTER_S and not self._ping_sent:
            self._ping_sent = True
            self._link.send(link_messages.Ping())

    def close(self, problem: str = 'no longer needed') -> None:
        """Close the link."""
        if self._link is not None:
            self._link.close(problem)

    def _on_lease_message(
        self,
        lease: forwarded_lease.ForwardedLease,
        message: link_messages.Message,
    ) -> None:
        match message:
            case link_messages.Queued():
                lease.on_confirmed()
                until = self._clock.monotonic() + QUEUED_S
                self._queued_until[lease.server.server_id] = until
            case link_messages.Granted():
                self._avoid_s = MIN_AVOID_S
                lease.on_decision(result.Ok(None))
            case link_messages.Refused(_, reason, text, retry_after_ms):
                refusal = outcomes.NotRun(reason, text, retry_after_ms)
                lease.on_decision(result.Err(refusal))
            case link_messages.Answered(_, call, reply):
                lease.on_reply(call, reply)
            case link_messages.Failed(_, _, problem):
                lease.on_lost(commands.Lost(problem))
            case link_messages.Revoked(_, problem):
                lease.on_lost(commands.Lost(problem, between_daemons=True))

    async def _wait_for_decision(
        self,
        lease: forwarded_lease.ForwardedLease,
        wait_s: float,
    ) -> result.Result[None, outcomes.NotRun]:
        try:
            if not await self._wait_for_confirmation(lease):
                self._avoid()
                self.release(lease.lease_id, usable=True)
                return result.Err(
                    _no_holder('the holder did not confirm the request')
                )
            async with asyncio.timeout(wait_s + CONFIRM_TIMEOUT_S):
                return await lease.granted
        except TimeoutError:
            self.release(lease.lease_id, usable=True)
            return result.Err(
                outcomes.NotRun(
                    outcomes.Reason.deadline,
                    'the holder granted no connection in time',
                ),
            )
        except asyncio.CancelledError:
            self.release(lease.lease_id, usable=True)
            raise

    async def _wait_for_confirmation(
        self, lease: forwarded_lease.ForwardedLease
    ) -> bool:
        """Wait until the holder confirms a request; return whether it did.

        A holder that still sends other messages gets more time: the next
        daemon in order would open further connections to the server, so it is
        asked only if the holder seems to have failed.
        """
        begun = self._clock.monotonic()
        while not lease.confirmed.done():
            await asyncio.wait([lease.confirmed], timeout=CONFIRM_TIMEOUT_S)
            now = self._clock.monotonic()
            is_slow = now - self._last_message_at < SLOW_CONFIRM_TIMEOUT_S
            if not is_slow or now - begun >= SLOW_CONFIRM_TIMEOUT_S:
                break
        return lease.confirmed.done()

    async def _connect(self) -> bool:
        if self._link is not None and not self._link.closed:
            return True
        return await asyncio.shield(self._start_opening())

    def _start_opening(self) -> asyncio.Task[bool]:
        if self._opening is None or self._opening.done():
            self._opening = asyncio.create_task(self._open())
        return self._opening

    async def _open(self) -> bool:
        opened = await self._connector.open(
            self.member.link_address,
            self,
            OPEN_TIMEOUT_S,
        )
        match opened:
            case result.Ok(link):
                self._link = link
                self._ended_until = 0
                self._restart_silence(self._clock.monotonic())
                link.send(link_messages.Hello(self._own_name))
                self._log.info('link open', member=self.member.name)
                return True
            case result.Err(problem):
                self._avoid()
                if problem.startswith(ConnectionRefusedError.__name__):
                    self._ended_until = self._clock.monotonic() + ENDED_S
                self._log.info(
                    'link not opened',
                    member=self.member.name,
                    problem=problem,
                )
        return False

    def _restart_silence(self, now: float) -> None:
        self._silent_since = now
        self._ping_sent = False

    def _avoid(self) -> None:
        self._avoid_until = self._clock.monotonic() + self._avoid_s
        self._avoid_s = min(self._avoid_s * 2, MAX_AVOID_S)


def _reply_of(
    message: link_messages.Message | None,
) -> commands.Reply | commands.Lost:
    match message:
        case link_messages.Answered(reply=reply):
            return reply
        case link_messages.Failed(problem=problem):
            return commands.Lost(problem)
    return commands.Lost('no answer of the holder', between_daemons=True)


def _no_holder(problem: str) -> outcomes.NotRun:
    return outcomes.NotRun(outcomes.Reason.no_holder, problem)
