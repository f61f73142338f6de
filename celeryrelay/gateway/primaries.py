"""Search for the primary of a group and samples of its position."""

import asyncio
import collections
import typing

import result

from celeryrelay.adapters import lines
from celeryrelay.core import clock as clocks
from celeryrelay.core import positions, ranks
from celeryrelay.gateway import catalog, commands, directory, exchange, ports
from celeryrelay.sessions import samples

if typing.TYPE_CHECKING:
    from celeryrelay.gateway import services

# Samples older than the largest age of any read are of no use.
SAMPLE_HORIZON_S = 30
PROBE_TIMEOUT_S = 0.25
PROBE_PAUSE_S = 0.05
# Time without a reply after which the primary is asked to open a transaction,
# which needs no slot and is answered at once even under load.
SUSPECT_S = 0.15


class Evidence:
    """What this daemon saw of a group's primary.

    Attributes:
        proved_at: When a primary last proved that it leads.
        failing_since: Start of the first failure since then, None if none.
        failures: Failures since then.
        server_id: Server that failed.
    """

    def __init__(self) -> None:
        """Start without evidence."""
        self.proved_at: float | None = None
        self.failing_since: float | None = None
        self.failures = 0
        self.server_id = ''

    def on_proved(self, now: float) -> None:
        """Note that a primary proved that it leads."""
        self.proved_at = now
        self.failing_since = None
        self.failures = 0
        self.server_id = ''

    def on_failed(self, server_id: str, now: float) -> None:
        """Note that the primary was not reached."""
        if self.failing_since is None or server_id != self.server_id:
            self.failing_since = now
            self.failures = 0
        self.server_id = server_id
        self.failures += 1


class Primaries:
    """Finds the primaries of all groups for the requests that need them.

    Requests of one group share a search; it asks all servers of the group to
    open a transaction, which only the primary does.
    """

    def __init__(
        self,
        known: directory.Directory,
        pools: 'services.Pools',
        clock: clocks.Clock,
    ) -> None:
        """Search among the servers of `known`."""
        self._directory = known
        self._pools = pools
        self._clock = clock
        self._searches: dict[str, asyncio.Task] = {}
        self._log = lines.get('primary')
        self.samples = collections.defaultdict(
            lambda: samples.PrimarySamples(SAMPLE_HORIZON_S),
        )
        self.evidence: collections.defaultdict[str, Evidence]
        self.evidence = collections.defaultdict(Evidence)

    def inputs(self, group: str) -> dict[str, typing.Any]:
        """Return what is known of a group's primary, for log lines.

        Ages are in milliseconds, None for what never happened.
        """
        now = self._clock.monotonic()
        evidence = self.evidence[group]
        newest = self.samples[group].newest
        return {
            'primary': self._directory.leader(group).server_id,
            'primary_proved_ms': _age_ms(evidence.proved_at, now),
            'primary_failing_ms': _age_ms(evidence.failing_since, now),
            'sample': newest and '{0}.{1}'.format(newest.term, newest.offset),
            'sample_age_ms': _age_ms(self.samples[group].newest_at, now),
            'store_lost_ms': _age_ms(self._directory.store_lost_at, now),
        }

    def on_proved(
        self,
        server: catalog.Server,
        sent_at: float,
        position: positions.Position | None,
    ) -> None:
        """Note an answer that only a primary gives.

        Args:
            server: The server that answered.
            sent_at: Time in seconds at which the command was sent.
            position: Position in the answer.
        """
        now = self._clock.monotonic()
        self.evidence[server.group].on_proved(now)
        if position is not None:
            self.samples[server.group].on_sample(sent_at, position)
        leader = self._directory.leader(server.group)
        if leader.on_proved(server.server_id, now):
            self._log.info(
                'primary found',
                group=server.group,
                server=server.server_id,
            )

    def on_denied(self, server: catalog.Server) -> None:
        """Note that a server does not lead."""
        leader = self._directory.leader(server.group)
        if leader.on_denied(server.server_id):
            self._log.info(
                'server does not lead',
                group=server.group,
                server=server.server_id,
            )

    def on_failed(self, server: catalog.Server) -> None:
        """Note that a server was not reached."""
        if self._is_believed(server):
            now = self._clock.monotonic()
            self.evidence[server.group].on_failed(server.server_id, now)

    def on_no_reply(
        self,
        server: catalog.Server,
        outcome: exchange.Outcome,
    ) -> None:
        """Note that the believed primary did not reply to a command."""
        match outcome:
            case commands.Lost(between_daemons=True):
                # The holder of the connection failed, not the server.
                return
        self.on_failed(server)

    def expect(self, server: catalog.Server, reply: asyncio.Future) -> None:
        """Ask whether the primary still answers if `reply` takes long."""
        asyncio.get_running_loop().call_later(
            SUSPECT_S,
            self._check_reply,
            server,
            reply,
        )

    async def find(
        self,
        group: str,
        deadline: float,
    ) -> catalog.Server | None:
        """Return the primary, after a search if it is unknown or failing."""
        known = self._directory.primary(group)
        if known is not None and not self._is_failing(group):
            return known.server
        if not await self.refresh(group, deadline):
            return None
        found = self._directory.primary(group)
        return found.server if found else None

    async def refresh(self, group: str, deadline: float) -> bool:
        """Wait until a primary proves that it leads.

        Returns:
            False if none did by `deadline`, in seconds of the clock.
        """
        search = self.search(group)
        left_s = deadline - self._clock.monotonic()
        try:
            async with asyncio.timeout(max(left_s, 0)):
                await asyncio.shield(search)
        except TimeoutError:
            return False
        return True

    def search(self, group: str) -> asyncio.Task:
        """Start a search for the primary, or join the one that runs."""
        search = self._searches.get(group)
        if search is None or search.done():
            search = asyncio.create_task(self._search(group))
            search.add_done_callback(self._on_searched)
            self._searches[group] = search
        return search

    def _on_searched(self, search: asyncio.Task) -> None:
        """Log a search that failed; the next request starts another."""
        if not search.cancelled() and search.exception() is not None:
            self._log.error('search failed', error=repr(search.exception()))

    def stop(self) -> None:
        """End all searches."""
        for search in self._searches.values():
            search.cancel()

    def suspect(self, server: catalog.Server) -> None:
        """Ask whether a server still leads, if it is the believed primary."""
        if self._is_believed(server):
            self.search(server.group)

    def _check_reply(
        self,
        server: catalog.Server,
        reply: asyncio.Future,
    ) -> None:
        if not reply.done():
            self.suspect(server)

    def _is_believed(self, server: catalog.Server) -> bool:
        leader = self._directory.leader(server.group)
        return leader.server_id == server.server_id

    def _is_failing(self, group: str) -> bool:
        return self.evidence[group].failing_since is not None

    async def _search(self, group: str) -> None:
        while True:
            probes = [
                asyncio.create_task(self.probe(known.server))
                for known in self._directory.servers(group)
                if self._is_worth_asking(group, known)
            ]
            try:
                if await _any_true(probes):
                    return
            finally:
                for probe in probes:
                    probe.cancel()
            if not self._directory.leader(group).server_id:
                # All that answered deny that they lead.
                now = self._clock.monotonic()
                self.evidence[group].on_failed('', now)
            await asyncio.sleep(PROBE_PAUSE_S)

    def _is_worth_asking(self, group: str, known: directory.Known) -> bool:
        """Return whether to ask a server; a healthy primary is asked alone."""
        believed = self._directory.primary(group)
        if believed is None or self._is_failing(group):
            return True
        return known.server.server_id == believed.server.server_id

    async def probe(self, server: catalog.Server) -> bool:
        """Ask a server to open a transaction; return whether it leads."""
        deadline = self._clock.monotonic() + PROBE_TIMEOUT_S
        try:
            async with asyncio.timeout(PROBE_TIMEOUT_S):
                acquired = await self._pools.get(server).acquire(
                    ranks.Rank.bookings,
                    deadline,
                )
        except TimeoutError:
            self.on_failed(server)
            return False
        match acquired:
            case result.Ok(lease):
                return await self._ask(lease)
        self.on_failed(server)
        return False

    async def _ask(self, lease: ports.ConnectionLease) -> bool:
        sent_at = self._clock.monotonic()
        opened, ended = lease.send([commands.Begin(), commands.Rollback()])
        try:
            async with asyncio.timeout(PROBE_TIMEOUT_S):
                reply = await opened
                await ended
        except (TimeoutError, asyncio.CancelledError) as error:
            lease.release(usable=False)
            if isinstance(error, asyncio.CancelledError):
                raise
            self.on_failed(lease.server)
            return False
        return self._judge(lease, reply, sent_at)

    def _judge(
        self,
        lease: ports.ConnectionLease,
        reply: commands.Reply | commands.Lost,
        sent_at: float,
    ) -> bool:
        match reply:
            case commands.Reply(error=None):
                lease.release()
                self.on_proved(lease.server, sent_at, reply.position)
                return True
            case commands.Reply(error=commands.ErrorKind.not_primary):
                lease.release()
                self.on_denied(lease.server)
            case commands.Reply():
                lease.release()
            case commands.Lost():
                lease.release(usable=False)
                self.on_no_reply(lease.server, reply)
        return False


def _age_ms(since: float | None, now: float) -> int | None:
    return None if since is None else round((now - since) * 1000)


async def _any_true(probes: list[asyncio.Task]) -> bool:
    for probe in asyncio.as_completed(probes):
        if await probe:
            return True
    return False
