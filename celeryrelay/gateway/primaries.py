"""Location of each group's primary, with its health and log positions."""

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
    direct_probes,
    directory,
    interfaces,
    leadership_checks,
    primary_health,
    probes,
)
from celeryrelay.gateway.connections import (
    connection_source,
    statement_exchange,
)
from celeryrelay.sessions import position_samples
from celeryrelay.terms import leadership

if typing.TYPE_CHECKING:
    from celeryrelay.gateway import services

# Position samples older than the maximum staleness of any read are not used.
SAMPLE_RETENTION_S = 30
# Pause between two rounds of probes while the primary is unknown.
SEARCH_PAUSE_S = 0.05
# Longest wait for an unreachable primary on an isolated daemon.
ISOLATED_WAIT_S = 0.05
# Pause between two checks of the same reply.
CHECK_PAUSE_S = 0.02
# Time without a reply after which the primary is probed. A probe opens a
# transaction, which occupies no statement slot and is therefore answered at
# once, even by a loaded server.
REPLY_OVERDUE_S = 0.15


class PrimaryLocator:
    """Finds the primary of each group for the requests that need it.

    A search probes the servers of a group until one of them confirms that it
    is the primary. All requests that wait for the primary of a group share
    one search.

    Attributes:
        samples: Log positions reported by the primary of each group.
        health: Reachability of the primary of each group.
    """

    def __init__(
        self,
        server_directory: directory.Directory,
        connection_sources: 'services.ConnectionSources',
        clock: clocks.Clock,
        checks: leadership_checks.LeadershipChecks | None = None,
    ) -> None:
        """Search among the servers of `server_directory`.

        Args:
            server_directory: Registered servers.
            connection_sources: Connections to them.
            clock: Source of the time.
            checks: Checks that a server still led its group when it replied;
                None if a replaced primary never replies like one.
        """
        self._checks = checks
        self._directory = server_directory
        self._connection_sources = connection_sources
        self._clock = clock
        self._searches: dict[str, asyncio.Task] = {}
        self._log = json_log.get('primary')
        self.samples = collections.defaultdict(
            lambda: position_samples.PrimarySamples(SAMPLE_RETENTION_S),
        )
        self.health: collections.defaultdict[str, primary_health.PrimaryHealth]
        self.health = collections.defaultdict(primary_health.PrimaryHealth)
        self._prober = probes.Prober(connection_sources, self, clock)
        self._direct_probes = direct_probes.DirectProbes(
            self._prober.probe, self._needs_direct_probes
        )

    def log_fields(self, group: str) -> dict[str, typing.Any]:
        """Return log fields that describe what is known of a group's primary.

        Ages are in milliseconds; None means that the event never happened.
        """
        now = self._clock.monotonic()
        health = self.health[group]
        newest = self.samples[group].newest
        return {
            'primary': self._directory.presumed_primary(group).server_id,
            'primary_proved_ms': clocks.age_ms(health.confirmed_at, now),
            'primary_failing_ms': clocks.age_ms(health.failing_since, now),
            'sample': newest and '{0}.{1}'.format(newest.term, newest.offset),
            'sample_age_ms': clocks.age_ms(self.samples[group].newest_at, now),
            'store_lost_ms': clocks.age_ms(self._directory.store_lost_at, now),
        }

    def on_primary_confirmed(
        self,
        lease: interfaces.ConnectionLease,
        sent_at: float,
        position: positions.Position | None,
    ) -> None:
        """Record a reply that only the primary of a group can give.

        Args:
            lease: Connection on which the reply came.
            sent_at: Time in seconds at which the command was sent.
            position: Log position in the reply.
        """
        now = self._clock.monotonic()
        server = lease.server
        if lease.is_fallback:
            self.health[server.group].fallback_confirmed_at = now
        else:
            self.health[server.group].on_confirmed(now)
        if position is not None:
            self.samples[server.group].on_sample(sent_at, position)
        presumed = self._directory.presumed_primary(server.group)
        if presumed.on_primary_confirmed(server.server_id, now, sent_at):
            self._log.info(
                'primary found',
                group=server.group,
                server=server.server_id,
            )

    async def has_led(self, server: catalog.Server, deadline: float) -> bool:
        """Return whether a server led its group when it replied just now.

        To be asked before a reply of a primary is used. It takes until
        `deadline`, in seconds, at most.
        """
        if self._checks is None:
            return True
        while True:
            match await self._checks.check(server):
                case leadership.Verdict.leads:
                    return True
                case leadership.Verdict.superseded:
                    self.on_not_primary(server)
                    return False
            # Later statements wait until a search confirms a primary.
            self.on_unreachable(server)
            if self._clock.monotonic() >= deadline:
                return False
            await asyncio.sleep(CHECK_PAUSE_S)

    def on_not_primary(self, server: catalog.Server) -> None:
        """Record that a server replied that it is not the primary."""
        presumed = self._directory.presumed_primary(server.group)
        if presumed.on_not_primary(server.server_id):
            self._log.info(
                'server is no longer primary',
                group=server.group,
                server=server.server_id,
            )

    def on_unreachable(self, server: catalog.Server) -> None:
        """Record a failure to reach a server, if it is the presumed primary."""
        if self._is_presumed_primary(server):
            now = self._clock.monotonic()
            self.health[server.group].on_unreachable(server.server_id, now)

    def on_no_reply(
        self,
        lease: interfaces.ConnectionLease,
        outcome: statement_exchange.Outcome,
    ) -> None:
        """Record that the presumed primary did not reply to a command."""
        if lease.is_fallback:
            self.health[lease.server.group].fallback_confirmed_at = None
            return
        match outcome:
            case commands.Lost(between_daemons=True):
                # The daemon that holds the connection failed, not the server.
                return
        self.on_unreachable(lease.server)

    def longest_unreachable_s(self) -> float | None:
        """Return the longest time for which a primary has been unreachable.

        Starts a search for each unreachable primary.

        Returns:
            Time in seconds, None if the primaries of all groups are reachable.
        """
        now = self._clock.monotonic()
        since: list[float] = []
        for group in self._directory.group_names:
            health = self.health[group]
            if not health.is_reachable(now):
                since.append(health.failing_since)
                self.start_search(group)
        return now - min(since) if since else None

    def wait_deadline(self, group: str, deadline: float) -> float:
        """Return the deadline for a statement that waits for a primary.

        An isolated daemon rejects statements for an unreachable primary early,
        so that the caller can retry at another daemon.

        Args:
            group: Name of the database group.
            deadline: Time in seconds at which the statement's own wait ends.
        """
        now = self._clock.monotonic()
        limits_wait = self._directory.is_isolated and not self.health[
            group
        ].is_reachable(now)
        return min(deadline, now + ISOLATED_WAIT_S) if limits_wait else deadline

    async def acquire(
        self,
        server: catalog.Server,
        rank: ranks.Rank,
        deadline: float,
        account: str | None = None,
    ) -> connection_source.AcquireResult:
        """Wait for a connection to a primary.

        While only other daemons reach it, one of their connections is tried
        first.
        """
        health = self.health[server.group]
        if health.uses_fallback(self._clock.monotonic()):
            match await self._connection_sources.acquire_fallback(
                server,
                rank,
                deadline,
                account,
            ):
                case result.Ok() as acquired:
                    return acquired
            health.fallback_confirmed_at = None
        return await self._connection_sources.get(server).acquire(
            rank,
            deadline,
            account,
        )

    def watch_reply(
        self,
        server: catalog.Server,
        reply: asyncio.Future,
    ) -> None:
        """Probe the primary if `reply` is still missing when it is overdue."""
        asyncio.get_running_loop().call_later(
            REPLY_OVERDUE_S,
            self._check_reply,
            server,
            reply,
        )

    async def find(
        self,
        group: str,
        deadline: float,
    ) -> catalog.Server | None:
        """Return the primary; search for it if it is unknown or unreachable.

        Returns:
            None if no server confirmed by `deadline` that it is the primary.
        """
        primary = self._directory.primary(group)
        now = self._clock.monotonic()
        if primary is not None and self.health[group].is_reachable(now):
            return primary.server
        if not await self.wait_until_confirmed(group, deadline):
            return None
        found = self._directory.primary(group)
        return found.server if found else None

    async def wait_until_confirmed(self, group: str, deadline: float) -> bool:
        """Wait until a server of a group confirms that it is the primary.

        Returns:
            False if no server confirmed it by `deadline`, in seconds.
        """
        search = self.start_search(group)
        left_s = deadline - self._clock.monotonic()
        try:
            async with asyncio.timeout(max(left_s, 0)):
                await asyncio.shield(search)
        except TimeoutError:
            return False
        return True

    def start_search(self, group: str) -> asyncio.Task:
        """Start a search for a group's primary unless one is running.

        Returns:
            The running search; it ends once a server confirms that it is the
            primary.
        """
        search = self._searches.get(group)
        if search is None or search.done():
            search = asyncio.create_task(self._search(group))
            search.add_done_callback(self._on_task_done)
            self._searches[group] = search
        return search

    def _on_task_done(self, task: asyncio.Task) -> None:
        """Log an unexpected error; the next request starts a new task."""
        if not task.cancelled() and task.exception() is not None:
            self._log.error(
                'unexpected error in search for primary',
                error=repr(task.exception()),
            )

    def stop(self) -> None:
        """Cancel all searches and direct probes."""
        self._direct_probes.stop()
        for task in self._searches.values():
            task.cancel()

    def verify(self, server: catalog.Server) -> None:
        """Probe a server if it is the presumed primary of its group."""
        if self._is_presumed_primary(server):
            self.start_search(server.group)

    def _check_reply(
        self,
        server: catalog.Server,
        reply: asyncio.Future,
    ) -> None:
        if reply.done() or not self._is_presumed_primary(server):
            return
        sent_at = self._clock.monotonic() - REPLY_OVERDUE_S
        self.health[server.group].on_reply_overdue(sent_at)
        self.start_search(server.group)

    def _is_presumed_primary(self, server: catalog.Server) -> bool:
        presumed = self._directory.presumed_primary(server.group)
        return presumed.server_id == server.server_id

    def _needs_direct_probes(self, server: catalog.Server) -> bool:
        """Return whether a server is the primary, reached by peers only."""
        now = self._clock.monotonic()
        uses_fallback = self.health[server.group].uses_fallback(now)
        return uses_fallback and self._is_presumed_primary(server)

    async def _search(self, group: str) -> None:
        while True:
            if await self._probe_all(group):
                return
            if not self._directory.presumed_primary(group).server_id:
                # Every server that answered denied being the primary.
                now = self._clock.monotonic()
                self.health[group].on_unreachable('', now)
            await asyncio.sleep(SEARCH_PAUSE_S)

    async def _probe_all(self, group: str) -> bool:
        """Return whether any probed server confirms that it is the primary.

        A failing primary is probed through other daemons as well.
        """
        tasks = [
            asyncio.create_task(self._prober.probe(known.server))
            for known in self._directory.servers(group)
            if self._should_probe(group, known)
        ]
        primary = self._directory.primary(group)
        if primary is not None and self.health[group].is_failing:
            probe = self._probe_fallback(primary.server)
            tasks.append(asyncio.create_task(probe))
        try:
            return await _any_confirmed(tasks)
        finally:
            for task in tasks:
                task.cancel()

    async def _probe_fallback(self, server: catalog.Server) -> bool:
        confirmed = await self._prober.probe_fallback(server)
        if confirmed:
            self._direct_probes.start(server)
        return confirmed

    def _should_probe(
        self,
        group: str,
        known: directory.KnownServer,
    ) -> bool:
        """Return whether a search has to probe a server.

        While the primary is known and healthy, only it is probed.
        """
        primary = self._directory.primary(group)
        if primary is None or self.health[group].is_failing:
            return True
        return known.server.server_id == primary.server.server_id


async def _any_confirmed(probes: list[asyncio.Task]) -> bool:
    for probe in asyncio.as_completed(probes):
        if await probe:
            return True
    return False
