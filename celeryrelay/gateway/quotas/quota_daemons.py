"""The daemons that decide about the operations of accounts."""

import asyncio
import typing
from collections import abc

from celeryrelay.accounts import directory as accounts
from celeryrelay.core import clock as clocks
from celeryrelay.gateway import directory
from celeryrelay.gateway.links import peer_registry
from celeryrelay.quotas import granting, limits, ownership, registrations

# Time in which a daemon has to answer. A round trip between regions takes 24 ms
# and the link may have to be opened; two daemons without an answer must leave
# time for a statement whose latency target is 500 ms.
ANSWER_TIMEOUT_S = 0.2
# Time in seconds after which a new daemon tries again to take charge.
CLAIM_PAUSE_S = 0.3


class StoreRegistration(typing.Protocol):
    """Registration of this daemon in the store."""

    @property
    def certain_until(self) -> float:
        """Time in seconds until which the store certainly has it."""


class QuotaDaemons:
    """Asks the daemons of an account, of which this one may be one."""

    def __init__(
        self,
        own_name: str,
        bounds: limits.QuotaBounds,
        server_directory: directory.Directory,
        peers: peer_registry.PeerRegistry,
        registration: StoreRegistration,
        clock: clocks.Clock,
    ) -> None:
        """Decide as the daemon `own_name`.

        Args:
            own_name: Instance name of this daemon.
            bounds: Bounds on the operations of each account.
            server_directory: Registered daemons.
            peers: Links to other daemons.
            registration: Shows whether this daemon may act as owner.
            clock: Source of the time.
        """
        self._own_name = own_name
        self._directory = server_directory
        self._peers = peers
        self._registration = registration
        self._clock = clock
        self._fleet: object = None
        self._registrations = registrations.Registrations()
        self._owners = ownership.Ownership(own_name)
        self._granter = granting.Granter(own_name, bounds, self._owners)
        self._claims: dict[str, asyncio.Task] = {}

    @property
    def count(self) -> int:
        """Number of registered daemons."""
        return self._owners.daemons

    def order(self, account: str) -> abc.Sequence[str]:
        """Return the daemons to ask about an account, the owner first."""
        self._update_members()
        return self._owners.order(account)

    async def ask(
        self, daemon: str, account: accounts.ClientAccount, count: int
    ) -> granting.Decision | None:
        """Ask a daemon for operations; return None without an answer."""
        if daemon == self._own_name:
            return self.decide(daemon, account, count)
        peer = self._peers.peer(daemon)
        if peer is None:
            return None
        answer = await peer.quotas.request(
            account.name, count, ANSWER_TIMEOUT_S
        )
        if answer is None:
            return None
        return granting.Decision(
            min(max(answer.granted, 0), count),
            min(max(answer.retry_after_ms / 1000, 0), granting.MAX_RETRY_S),
        )

    def decide(
        self, asker: str, account: accounts.ClientAccount, count: int
    ) -> granting.Decision:
        """Decide about operations that the daemon `asker` wants to run."""
        self._update_members()
        decision = self._granter.decide(
            asker, account, count, self._situation()
        )
        if not decision.retry_after_s:
            self._start_claim(account)
        self._check_owner(account.name)
        return decision

    def maintain(self) -> None:
        """Apply changes of the registered daemons. Called periodically."""
        self._update_members()
        self._granter.maintain(self._situation())

    def _start_claim(self, account: accounts.ClientAccount) -> None:
        """Take charge of an account, if this daemon is new and nobody is."""
        is_claiming = account.name in self._claims
        now = self._clock.monotonic()
        if is_claiming or not self._owners.may_claim(account.name, now):
            return
        task = asyncio.create_task(self._claim(account))
        self._claims[account.name] = task
        task.add_done_callback(lambda _: self._claims.pop(account.name))

    async def _claim(self, account: accounts.ClientAccount) -> None:
        others = self._owners.order(account.name)[1:]
        decisions = await asyncio.gather(
            *(self.ask(name, account, 0) for name in others)
        )
        if any(each is None or each.retry_after_s for each in decisions):
            await asyncio.sleep(CLAIM_PAUSE_S)
        else:
            self._owners.claim(account.name)

    def _check_owner(self, account: str) -> None:
        """Find out whether the process of the owner has ended."""
        for name in self._owners.order(account)[:1]:
            peer = self._peers.peer(name) if name != self._own_name else None
            if peer is not None:
                peer.check_process()

    def _situation(self) -> granting.Situation:
        now = self._clock.monotonic()
        authority = granting.Authority.unconfirmed
        if self._directory.is_isolated:
            authority = granting.Authority.isolated
        elif now < self._registration.certain_until:
            authority = granting.Authority.registered
        return granting.Situation(now, authority, self._peers.has_ended)

    def _update_members(self) -> None:
        now = self._clock.monotonic()
        is_known = self._fleet is self._directory.fleet
        if is_known and not self._registrations.is_due(now):
            return
        self._fleet = self._directory.fleet
        registered = (
            ownership.Registration(member.name, member.start, member.capacity)
            for member in self._directory.daemons.values()
            if member.link_address
        )
        self._owners.on_members(
            self._registrations.update(registered, now), now
        )
