"""Links to daemons whose connections this one uses."""

import asyncio
import itertools

import result

from celeryrelay.adapters import json_log
from celeryrelay.core import clock as clocks
from celeryrelay.core import outcomes, ranks
from celeryrelay.gateway import (
    catalog,
    commands,
    directory,
    forwarded_lease,
    interfaces,
    link_messages,
)

OPEN_TIMEOUT_S = 0.25
# Time in which a holder confirms a request, also if it has to wait.
CONFIRM_S = 0.2
# The same for a holder that replied to something else since then.
SLOW_S = 0.6
# Silence of a link with something under way after which its holder is asked
# for a sign of life, and after which it is given up.
PING_AFTER_S = 0.25
SILENT_S = 1.0
# Times for which a holder that failed is avoided while others are left.
AVOID_S = 0.5
MAX_AVOID_S = 4.0
# Time for which a holder that can't reach a server is not asked for it.
UNREACHED_S = 0.5


class Peer:
    """A daemon that holds connections, and the link to it."""

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
        self._ids = itertools.count(1)
        self._avoid_s = AVOID_S
        self._avoid_until: float = 0
        self._unreached: dict[str, float] = {}
        self._heard_at: float = 0
        self._replied_at: float = 0
        self._is_pinged = False
        self._is_leaving = False
        self._log = json_log.get('link')

    @property
    def load(self) -> int:
        """Connections of the peer that this daemon uses or waits for."""
        return len(self._leases)

    def is_avoided(self, server_id: str) -> bool:
        """Return whether another holder should be asked for a server."""
        now = self._clock.monotonic()
        return (
            self._is_leaving
            or now < self._avoid_until
            or now < self._unreached.get(server_id, 0)
        )

    async def acquire(
        self,
        server: catalog.Server,
        rank: ranks.Rank,
        deadline: float,
    ) -> result.Result[forwarded_lease.ForwardedLease, outcomes.NotRun]:
        """Ask for a connection to `server`.

        Args:
            server: The backend server.
            rank: Rank of the statement.
            deadline: Time in seconds at which waiting is of no use.
        """
        if not await self._connect():
            return result.Err(_no_holder('no link to the holder'))
        lease = forwarded_lease.ForwardedLease(self, next(self._ids), server)
        lease_id = lease.lease_id
        self._leases[lease_id] = lease
        wait_s = max(deadline - self._clock.monotonic(), 0)
        self.send(
            link_messages.Acquire(
                lease_id,
                server.server_id,
                rank,
                wait_s * 1000,
            ),
        )
        decision = await self._decision(lease, wait_s)
        match decision:
            case result.Err(refusal):
                self._leases.pop(lease_id, None)
                if refusal.reason is outcomes.Reason.connections:
                    self.on_unreached(server.server_id)
                return result.Err(refusal)
        return result.Ok(lease)

    def send(self, message: link_messages.Message) -> None:
        """Send a message; one on an ended link is dropped."""
        if self._link is not None:
            self._link.send(message)

    def release(self, lease_id: int, usable: bool) -> None:
        """Give a lease back."""
        if self._leases.pop(lease_id, None) is not None:
            self.send(link_messages.Release(lease_id, usable))

    def on_message(self, message: link_messages.Message) -> None:
        """Take a message of the holder."""
        self._heard_at = self._clock.monotonic()
        self._replied_at = self._heard_at
        self._is_pinged = False
        match message:
            case link_messages.Leaving():
                self._is_leaving = True
                return
            case link_messages.Pong():
                return
        lease = self._leases.get(message.lease_id)
        if lease is not None:
            self._on_lease_message(lease, message)

    def on_closed(self, problem: str) -> None:
        """Note that the link has ended: nothing on it will be answered."""
        self._link = None
        self._is_leaving = False
        leases = list(self._leases.values())
        self._leases.clear()
        self._log.info(
            'link lost',
            member=self.member.name,
            problem=problem,
            leases=len(leases),
        )
        for lease in leases:
            lease.on_decided(result.Err(_no_holder('link lost')))
            lease.on_lost(commands.Lost('link lost', between_daemons=True))

    def on_unreached(self, server_id: str) -> None:
        """Note that the holder does not reach a server in time."""
        until = self._clock.monotonic() + UNREACHED_S
        self._unreached[server_id] = until

    def check(self) -> None:
        """Give up a link that is silent while something is under way."""
        now = self._clock.monotonic()
        for server_id, until in tuple(self._unreached.items()):
            if until <= now:
                self._unreached.pop(server_id)
        if self._link is None:
            return
        if not self._is_waiting():
            # The silence counts from the first message that wants an answer.
            self._heard_at = now
            return
        silent_s = now - self._heard_at
        if silent_s > SILENT_S:
            self._avoid()
            self._link.close('silent for {0:.1f} s'.format(silent_s))
        elif silent_s > PING_AFTER_S and not self._is_pinged:
            self._is_pinged = True
            self._link.send(link_messages.Ping())

    def close(self) -> None:
        """End the link."""
        if self._link is not None:
            self._link.close('no longer needed')

    def _on_lease_message(
        self,
        lease: forwarded_lease.ForwardedLease,
        message: link_messages.Message,
    ) -> None:
        match message:
            case link_messages.Queued():
                lease.on_confirmed()
            case link_messages.Granted():
                self._avoid_s = AVOID_S
                lease.on_decided(result.Ok(None))
            case link_messages.Refused(_, reason, text, retry_after_ms):
                refusal = outcomes.NotRun(reason, text, retry_after_ms)
                lease.on_decided(result.Err(refusal))
            case link_messages.Answered(_, call, reply):
                lease.on_reply(call, reply)
            case link_messages.Failed(_, _, problem):
                lease.on_lost(commands.Lost(problem))
            case link_messages.Revoked(_, problem):
                lease.on_lost(commands.Lost(problem, between_daemons=True))

    async def _decision(
        self,
        lease: forwarded_lease.ForwardedLease,
        wait_s: float,
    ) -> result.Result[None, outcomes.NotRun]:
        try:
            if not await self._is_confirmed(lease):
                self._avoid()
                self.release(lease.lease_id, usable=True)
                return result.Err(_no_holder('the holder does not answer'))
            async with asyncio.timeout(wait_s + CONFIRM_S):
                return await lease.granted
        except TimeoutError:
            self.release(lease.lease_id, usable=True)
            return result.Err(
                outcomes.NotRun(
                    outcomes.Reason.deadline,
                    'no connection in time',
                ),
            )
        except asyncio.CancelledError:
            self.release(lease.lease_id, usable=True)
            raise

    async def _is_confirmed(
        self, lease: forwarded_lease.ForwardedLease
    ) -> bool:
        """Wait for a sign of the holder, longer for one that is only slow.

        The next daemon in order opens connections of its own, so it should
        not be asked while the holder is alive.
        """
        begun = self._clock.monotonic()
        while not lease.confirmed.done():
            await asyncio.wait([lease.confirmed], timeout=CONFIRM_S)
            now = self._clock.monotonic()
            is_slow = now - self._replied_at < SLOW_S
            if not is_slow or now - begun >= SLOW_S:
                break
        return lease.confirmed.done()

    async def _connect(self) -> bool:
        if self._link is not None and not self._link.closed:
            return True
        if self._opening is None or self._opening.done():
            self._opening = asyncio.create_task(self._open())
        return await asyncio.shield(self._opening)

    async def _open(self) -> bool:
        opened = await self._connector.open(
            self.member.link_address,
            self,
            OPEN_TIMEOUT_S,
        )
        match opened:
            case result.Ok(link):
                self._link = link
                link.send(link_messages.Hello(self._own_name))
                self._log.info('link open', member=self.member.name)
                return True
            case result.Err(problem):
                self._avoid()
                self._log.info(
                    'link not open',
                    member=self.member.name,
                    problem=problem,
                )
        return False

    def _is_waiting(self) -> bool:
        return any(lease.is_waiting for lease in self._leases.values())

    def _avoid(self) -> None:
        self._avoid_until = self._clock.monotonic() + self._avoid_s
        self._avoid_s = min(self._avoid_s * 2, MAX_AVOID_S)


class PeerRegistry:
    """Links to all daemons whose connections this one uses."""

    def __init__(
        self,
        own_name: str,
        known: directory.Directory,
        connector: interfaces.LinkConnector,
        clock: clocks.Clock,
    ) -> None:
        """Find daemons in `known` and reach them with `connector`."""
        self._own_name = own_name
        self._directory = known
        self._connector = connector
        self._clock = clock
        self._peers: dict[str, Peer] = {}

    def peer(self, name: str) -> Peer | None:
        """Return a registered daemon that can be reached."""
        member = self._directory.daemons.get(name)
        if member is None or not member.link_address:
            return None
        peer = self._peers.get(name)
        if peer is not None and peer.member.start == member.start:
            return peer
        if peer is not None:
            # What was begun with the former process can't be completed.
            peer.close()
        peer = Peer(self._own_name, member, self._connector, self._clock)
        self._peers[name] = peer
        return peer

    def maintain(self) -> None:
        """Check all links and forget daemons that are gone."""
        for name, peer in tuple(self._peers.items()):
            peer.check()
            if name not in self._directory.daemons and not peer.load:
                self._peers.pop(name).close()


def _no_holder(problem: str) -> outcomes.NotRun:
    return outcomes.NotRun(outcomes.Reason.no_holder, problem)
