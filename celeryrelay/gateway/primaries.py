"""Search for the primary of a group and samples of its position."""

import asyncio
import collections
import typing

import result

from celeryrelay.adapters import json_log
from celeryrelay.core import clock as clocks
from celeryrelay.core import positions, ranks
from celeryrelay.gateway import (
    catalog,
    commands,
    connection_source,
    directory,
    interfaces,
    primary_health,
    probes,
    statement_exchange,
)
from celeryrelay.sessions import position_samples

if typing.TYPE_CHECKING:
    from celeryrelay.gateway import services

# Samples older than the largest age of any read are of no use.
SAMPLE_HORIZON_S = 30
PROBE_PAUSE_S = 0.05
# Time between two probes of the own way while a detour is in use.
RECHECK_S = 0.3
# Time that a statement waits for a primary at a daemon that is cut off.
CUT_OFF_WAIT_S = 0.05
# Time without a reply after which the primary is asked to open a transaction,
# which needs no slot and is answered at once even under load.
SUSPECT_S = 0.15


class PrimaryTracker:
    """Finds the primaries of all groups for the requests that need them.

    Requests of one group share a search; it asks all servers of the group to
    open a transaction, which only the primary does.
    """

    def __init__(
        self,
        known: directory.Directory,
        connection_sources: 'services.ConnectionSources',
        clock: clocks.Clock,
    ) -> None:
        """Search among the servers of `known`."""
        self._directory = known
        self._connection_sources = connection_sources
        self._clock = clock
        self._searches: dict[str, asyncio.Task] = {}
        self._rechecks: dict[str, asyncio.Task] = {}
        self._log = json_log.get('primary')
        self.samples = collections.defaultdict(
            lambda: position_samples.PrimarySamples(SAMPLE_HORIZON_S),
        )
        self.health: collections.defaultdict[str, primary_health.PrimaryHealth]
        self.health = collections.defaultdict(primary_health.PrimaryHealth)
        self._prober = probes.Prober(connection_sources, self, clock)

    def log_fields(self, group: str) -> dict[str, typing.Any]:
        """Return what is known of a group's primary, for log lines.

        Ages are in milliseconds, None for what never happened.
        """
        now = self._clock.monotonic()
        health = self.health[group]
        newest = self.samples[group].newest
        return {
            'primary': self._directory.believed_primary(group).server_id,
            'primary_proved_ms': _age_ms(health.confirmed_at, now),
            'primary_failing_ms': _age_ms(health.failing_since, now),
            'sample': newest and '{0}.{1}'.format(newest.term, newest.offset),
            'sample_age_ms': _age_ms(self.samples[group].newest_at, now),
            'store_lost_ms': _age_ms(self._directory.store_lost_at, now),
        }

    def on_primary_confirmed(
        self,
        lease: interfaces.ConnectionLease,
        sent_at: float,
        position: positions.Position | None,
    ) -> None:
        """Note an answer that only a primary gives.

        Args:
            lease: Connection to the server that answered.
            sent_at: Time in seconds at which the command was sent.
            position: Position in the answer.
        """
        now = self._clock.monotonic()
        server = lease.server
        if lease.is_fallback:
            self.health[server.group].detour_at = now
        else:
            self.health[server.group].on_confirmed(now)
        if position is not None:
            self.samples[server.group].on_sample(sent_at, position)
        leader = self._directory.believed_primary(server.group)
        if leader.on_proved(server.server_id, now):
            self._log.info(
                'primary found',
                group=server.group,
                server=server.server_id,
            )

    def on_not_primary(self, server: catalog.Server) -> None:
        """Note that a server does not lead."""
        leader = self._directory.believed_primary(server.group)
        if leader.on_not_primary(server.server_id):
            self._log.info(
                'server does not lead',
                group=server.group,
                server=server.server_id,
            )

    def on_unreachable(self, server: catalog.Server) -> None:
        """Note that a server was not reached."""
        if self._is_believed(server):
            now = self._clock.monotonic()
            self.health[server.group].on_unreachable(server.server_id, now)

    def on_no_reply(
        self,
        lease: interfaces.ConnectionLease,
        outcome: statement_exchange.Outcome,
    ) -> None:
        """Note that the believed primary did not reply to a command."""
        if lease.is_fallback:
            self.health[lease.server.group].detour_at = None
            return
        match outcome:
            case commands.Lost(between_daemons=True):
                # The holder of the connection failed, not the server.
                return
        self.on_unreachable(lease.server)

    def longest_unreachable_s(self) -> float | None:
        """Return for how long a primary was not reached, None if all are.

        Those that are not reached are asked until they are.
        """
        now = self._clock.monotonic()
        since: list[float] = []
        for group in self._directory.group_names:
            health = self.health[group]
            if not health.is_reached(now):
                since.append(health.failing_since)
                self.search(group)
        return now - min(since) if since else None

    def wait_deadline(self, group: str, deadline: float) -> float:
        """Return the time until which a statement may wait for a primary.

        A daemon that is cut off refuses soon: others may serve the caller.

        Args:
            group: Name of the database group.
            deadline: Time in seconds until which the caller would wait.
        """
        now = self._clock.monotonic()
        is_hopeless = self._directory.is_cut_off and not self.health[
            group
        ].is_reached(now)
        return min(deadline, now + CUT_OFF_WAIT_S) if is_hopeless else deadline

    async def acquire(
        self,
        server: catalog.Server,
        rank: ranks.Rank,
        deadline: float,
    ) -> connection_source.AcquireResult:
        """Wait for a connection to a primary, by a detour if need be."""
        health = self.health[server.group]
        if health.uses_detour(self._clock.monotonic()):
            match await self._connection_sources.acquire_detour(
                server, rank, deadline
            ):
                case result.Ok() as acquired:
                    return acquired
            health.detour_at = None
        return await self._connection_sources.get(server).acquire(
            rank, deadline
        )

    def watch_reply(
        self,
        server: catalog.Server,
        reply: asyncio.Future,
    ) -> None:
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
        now = self._clock.monotonic()
        if known is not None and self.health[group].is_reached(now):
            return known.server
        if not await self.wait_until_confirmed(group, deadline):
            return None
        found = self._directory.primary(group)
        return found.server if found else None

    async def wait_until_confirmed(self, group: str, deadline: float) -> bool:
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
        for task in (*self._searches.values(), *self._rechecks.values()):
            task.cancel()

    def verify(self, server: catalog.Server) -> None:
        """Ask whether a server still leads, if it is the believed primary."""
        if self._is_believed(server):
            self.search(server.group)

    def _check_reply(
        self,
        server: catalog.Server,
        reply: asyncio.Future,
    ) -> None:
        if reply.done() or not self._is_believed(server):
            return
        sent_at = self._clock.monotonic() - SUSPECT_S
        self.health[server.group].on_reply_overdue(sent_at)
        self.search(server.group)

    def _is_believed(self, server: catalog.Server) -> bool:
        leader = self._directory.believed_primary(server.group)
        return leader.server_id == server.server_id

    async def _search(self, group: str) -> None:
        while True:
            if await self._probe_all(group):
                return
            if not self._directory.believed_primary(group).server_id:
                # All that answered deny that they lead.
                now = self._clock.monotonic()
                self.health[group].on_unreachable('', now)
            await asyncio.sleep(PROBE_PAUSE_S)

    async def _probe_all(self, group: str) -> bool:
        """Return whether any server of a group proves that it leads."""
        tasks = [
            asyncio.create_task(self._prober.probe(known.server))
            for known in self._directory.servers(group)
            if self._is_worth_asking(group, known)
        ]
        believed = self._directory.primary(group)
        if believed is not None and self.health[group].is_failing:
            detour = self._probe_detour(believed.server)
            tasks.append(asyncio.create_task(detour))
        try:
            return await _any_true(tasks)
        finally:
            for task in tasks:
                task.cancel()

    async def _probe_detour(self, server: catalog.Server) -> bool:
        proved = await self._prober.probe_detour(server)
        if proved:
            self._start_recheck(server)
        return proved

    def _is_worth_asking(
        self,
        group: str,
        known: directory.KnownServer,
    ) -> bool:
        """Return whether to ask a server; a healthy primary is asked alone."""
        believed = self._directory.primary(group)
        if believed is None or self.health[group].is_failing:
            return True
        return known.server.server_id == believed.server.server_id

    def _start_recheck(self, server: catalog.Server) -> None:
        recheck = self._rechecks.get(server.group)
        if recheck is not None and not recheck.done():
            return
        self._log.warning(
            'primary is reached through other daemons',
            group=server.group,
            server=server.server_id,
        )
        recheck = asyncio.create_task(self._recheck(server))
        recheck.add_done_callback(self._on_searched)
        self._rechecks[server.group] = recheck

    async def _recheck(self, server: catalog.Server) -> None:
        """Probe the own way to a primary while a detour is in use."""
        health = self.health[server.group]
        while self._is_believed(server) and health.uses_detour(
            self._clock.monotonic(),
        ):
            await asyncio.sleep(RECHECK_S)
            if await self._prober.probe(server):
                self._log.info('primary is reached again', group=server.group)


def _age_ms(since: float | None, now: float) -> int | None:
    return None if since is None else round((now - since) * 1000)


async def _any_true(probes: list[asyncio.Task]) -> bool:
    for probe in asyncio.as_completed(probes):
        if await probe:
            return True
    return False
