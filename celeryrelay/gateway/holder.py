"""Connections to backend servers that this daemon holds for others."""

import asyncio
import dataclasses
import functools
from collections import abc

import result

from celeryrelay.adapters import json_log
from celeryrelay.core import clock as clocks
from celeryrelay.core import outcomes
from celeryrelay.gateway import (
    catalog,
    commands,
    directory,
    interfaces,
    link_messages,
    pool,
)

# Time after which a request that was not decided yet is confirmed.
CONFIRM_AFTER_S = 0.05
# Time beyond the limit for idle transactions after which a lease without a
# command is ended: its daemon may be frozen.
IDLE_SLACK_S = 1.0


@dataclasses.dataclass(slots=True)
class _Held:
    """A connection that is leased to another daemon.

    Attributes:
        lease: The connection.
        used_at: Time in seconds of the last command or reply.
        waiting: Commands without a reply.
    """

    lease: pool.Lease
    used_at: float
    waiting: int = 0


OwnPool = abc.Callable[[str], pool.ConnectionPool | None]
OnTrouble = abc.Callable[[catalog.Server], None]


class _User:
    """The daemon at the other end of a link."""

    def __init__(self, holder: 'Holder', link: interfaces.Link) -> None:
        self._holder = holder
        self._link = link
        self._name = ''
        self._held: dict[int, _Held] = {}
        self._acquiring: dict[int, asyncio.Task] = {}
        self._log = json_log.get('holder')

    def __len__(self) -> int:
        """Return the number of connections that it uses or waits for."""
        return len(self._held) + len(self._acquiring)

    def on_message(self, message: link_messages.Message) -> None:
        """Take a message of the other daemon."""
        match message:
            case link_messages.Hello(member):
                self._name = member
            case link_messages.Acquire():
                self._start_acquiring(message)
            case link_messages.Execute():
                self._execute(message)
            case link_messages.Release(lease_id, usable):
                self._release(lease_id, usable)
            case link_messages.Ping():
                self._link.send(link_messages.Pong())
            case _:
                self._link.close('message out of order')

    def on_closed(self, problem: str) -> None:
        """Close the connections whose state is unknown now."""
        self._holder.discard(self)
        for lease_id in (*self._acquiring, *self._held):
            self._release(lease_id, usable=False)

    def announce_leaving(self) -> None:
        """Ask the other daemon to use other holders."""
        self._link.send(link_messages.Leaving())

    def revoke_idle(self, before: float, why: str) -> None:
        """End the leases that were not used since `before`, in seconds."""
        for lease_id, held in tuple(self._held.items()):
            if not held.waiting and held.used_at < before:
                self._log.info('lease ended', member=self._name, cause=why)
                self._link.send(link_messages.Revoked(lease_id, why))
                self._release(lease_id, usable=False)

    def _start_acquiring(self, request: link_messages.Acquire) -> None:
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
        own_pool = self._holder.own_pool(request.server_id)
        if own_pool is None:
            self._refuse(
                request.lease_id,
                outcomes.NotRun(
                    outcomes.Reason.connections,
                    'the holder does not know the backend server',
                ),
            )
            return
        if own_pool.is_failing:
            self._refuse(
                request.lease_id,
                outcomes.NotRun(
                    outcomes.Reason.connections,
                    'the holder does not reach the backend server',
                ),
            )
            return
        now = self._holder.clock.monotonic()
        acquired = await own_pool.acquire(
            request.rank,
            now + request.wait_ms / 1000,
        )
        match acquired:
            case result.Ok(lease):
                now = self._holder.clock.monotonic()
                self._held[request.lease_id] = _Held(lease, now)
                self._link.send(link_messages.Granted(request.lease_id))
            case result.Err(refusal):
                self._refuse(request.lease_id, refusal)
                if refusal.reason is outcomes.Reason.connections:
                    self._holder.on_trouble(own_pool.server)

    def _on_acquired(self, lease_id: int, task: asyncio.Task) -> None:
        self._acquiring.pop(lease_id, None)
        if not task.cancelled() and task.exception() is not None:
            self._log.error('acquire failed', error=repr(task.exception()))
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
        held = self._held.get(message.lease_id)
        if held is None:
            # The lease was revoked, which its user has been told.
            return
        held.used_at = self._holder.clock.monotonic()
        held.waiting += len(message.batch)
        futures = held.lease.send(message.batch, message.needs)
        for call, future in enumerate(futures, message.first_call):
            future.add_done_callback(
                functools.partial(self._on_reply, message.lease_id, call, held),
            )

    def _on_reply(
        self,
        lease_id: int,
        call: int,
        held: _Held,
        future: asyncio.Future,
    ) -> None:
        now = self._holder.clock.monotonic()
        held.waiting -= 1
        held.lease.busy_ms += (now - held.used_at) * 1000
        held.used_at = now
        if self._held.get(lease_id) is not held or future.cancelled():
            return
        match future.result():
            case commands.Reply() as reply:
                self._link.send(link_messages.Answered(lease_id, call, reply))
            case commands.Lost(problem):
                self._link.send(link_messages.Failed(lease_id, call, problem))

    def _release(self, lease_id: int, usable: bool) -> None:
        acquiring = self._acquiring.pop(lease_id, None)
        if acquiring is not None:
            acquiring.cancel()
        held = self._held.pop(lease_id, None)
        if held is None:
            return
        held.lease.release(usable)
        if held.waiting and not usable:
            self._holder.on_trouble(held.lease.server)


class Holder:
    """All daemons that use connections of this one."""

    def __init__(
        self,
        known: directory.Directory,
        own_pool: OwnPool,
        on_trouble: OnTrouble,
        clock: clocks.Clock,
    ) -> None:
        """Lease connections of the pools that `own_pool` returns.

        Args:
            known: For the limit of idle transactions.
            own_pool: Returns the pool of a backend server, None if the server
                is unknown.
            on_trouble: Called with a server that gave others no connection or
                no reply. Holders are the first to learn that it is dead.
            clock: Source of the time.
        """
        self.clock = clock
        self.own_pool = own_pool
        self.on_trouble = on_trouble
        self._directory = known
        self._users: set[_User] = set()
        self._is_leaving = False

    def __len__(self) -> int:
        """Return the number of connections that others use or wait for."""
        return sum(map(len, self._users))

    def accept(self, link: interfaces.Link) -> _User:
        """Return the handler of a new link."""
        user = _User(self, link)
        self._users.add(user)
        if self._is_leaving:
            user.announce_leaving()
        return user

    def discard(self, user: _User) -> None:
        """Forget a daemon whose link has ended."""
        self._users.discard(user)

    def announce_leaving(self) -> None:
        """Ask all users for no new requests."""
        self._is_leaving = True
        for user in self._users:
            user.announce_leaving()

    def maintain(self) -> None:
        """End leases that are idle for longer than a transaction may be."""
        known = self._directory.configuration
        if known is not None:
            idle_s = known.transaction_idle_ms / 1000 + IDLE_SLACK_S
            self.revoke_idle(
                self.clock.monotonic() - idle_s, 'idle for too long'
            )

    def revoke_idle(self, before: float, why: str) -> None:
        """End the leases that were not used since `before`, in seconds."""
        for user in tuple(self._users):
            user.revoke_idle(before, why)
