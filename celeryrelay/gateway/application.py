"""The daemon: starts, connects and stops its parts and background tasks."""

import asyncio
import dataclasses
import random
import typing
from collections import abc

from celeryrelay.adapters import diagnostics, json_log, supervision
from celeryrelay.core import clock as clocks
from celeryrelay.gateway import (
    catalog,
    directory,
    evidence_collection,
    evidence_record,
    failover,
    interfaces,
    leadership_checks,
    metrics,
    primaries,
    registration,
    server_calls,
    services,
    settings,
)
from celeryrelay.gateway.links import holder, peer_registry
from celeryrelay.gateway.quotas import quota_service
from celeryrelay.gateway.sessions import authorization, session_registry
from celeryrelay.membership import isolation, store_pacing

MAINTENANCE_INTERVAL_S = 0.25
# The load balancer probes each daemon once a second and stops sending it new
# callers after two failed probes.
OUT_OF_ROTATION_S = 2.1
# Fraction of the grace period for a stop after which no statement is started
# and transactions are aborted: the exit would interrupt what starts later.
TRANSACTION_GRACE_FRACTION = 0.5
# End of the grace period that is reserved for the exit of the process.
EXIT_RESERVE_S = 0.6
STOP_CHECK_INTERVAL_S = 0.03
# A session is closed only if nothing was sent to its caller for this time.
# Before that, the caller's next statement may already be on its way.
IDLE_BEFORE_CLOSE_S = 0.25
# Time during a stop in which that idle time decreases to 0.
IDLE_DECREASE_S = 1.5


@dataclasses.dataclass(frozen=True, slots=True)
class Adapters:
    """Adapters through which the daemon communicates with other processes.

    Attributes:
        store: Client of the platform's store.
        promotion_client: Sends promotion orders to the platform.
        connector: Opens connections to backend servers.
        links: Opens links to other daemons.
    """

    store: interfaces.Store
    promotion_client: interfaces.PromotionClient
    connector: interfaces.Connector
    links: interfaces.LinkConnector


class Application:
    """One daemon with its services, sessions and background tasks.

    Attributes:
        stopping: Whether a planned stop has begun.
        shared: Services that sessions and background tasks share.
        sessions: Open sessions of callers.
        holder: Leases connections of this daemon to other daemons.
    """

    def __init__(
        self,
        options: settings.Settings,
        adapters: Adapters,
        clock: clocks.Clock,
    ) -> None:
        """Create all parts; connections are opened later."""
        server_directory = directory.Directory(clock, options.gone_after_s)
        daemon_metrics = metrics.Metrics()
        peers = peer_registry.PeerRegistry(
            options.instance, server_directory, adapters.links, clock
        )
        connection_sources = services.ConnectionSources(
            options, server_directory, adapters.connector, peers, clock
        )
        self._evidence = evidence_record.EvidenceRecord(options, clock)
        self._evidence_collector = evidence_collection.EvidenceCollector(
            options,
            self._evidence,
            server_directory,
            adapters.store,
            peers,
            clock,
            self.on_change,
        )
        if options.client_accounts:
            connection_sources.account_metrics = daemon_metrics.accounts
        server_caller = server_calls.ServerCaller(
            connection_sources, adapters.connector, clock
        )
        self._options = options
        self._adapters = adapters
        self._clock = clock
        self._log = json_log.get('daemon')
        self._registration = registration.Registration(
            options,
            server_directory,
            adapters.store,
            clock,
        )
        self._tasks: list[asyncio.Task] = []
        self.stopping = False
        self.shared = services.Services(
            options=options,
            clock=clock,
            directory=server_directory,
            connection_sources=connection_sources,
            primaries=primaries.PrimaryLocator(
                server_directory,
                connection_sources,
                clock,
                None
                if options.deposes_primaries
                else leadership_checks.LeadershipChecks(
                    server_directory, server_caller, adapters.store, clock
                ),
            ),
            authorizer=authorization.Authorizer(
                options, server_directory, self._evidence
            ),
            quotas=quota_service.QuotaService(
                options,
                server_directory,
                peers,
                self._registration,
                daemon_metrics,
                clock,
            ),
            metrics=daemon_metrics,
            random_source=random.Random(),
        )
        self.sessions = session_registry.SessionRegistry(self.shared)
        self.holder = holder.Holder(
            server_directory,
            connection_sources.local_pool,
            self.shared.primaries.verify,
            clock,
            self.shared.quotas.answer,
        )
        self.holder.evidence = self._evidence
        self._failover = failover.Failover(
            self.shared,
            adapters.store,
            adapters.promotion_client,
            server_caller,
            self._registration,
        )

    @property
    def ready(self) -> bool:
        """Whether the load balancer may send new callers to this daemon."""
        server_directory = self.shared.directory
        return (
            server_directory.configuration is not None
            and not server_directory.is_isolated
            and self._evidence.permits
            and not self.stopping
        )

    def watch_pause_s(
        self,
        changes: abc.Sequence[catalog.StoreChange],
    ) -> float:
        """Return the pause before the next watch of the store, in seconds.

        Args:
            changes: Changes that the last watch returned.
        """
        is_churn = bool(changes) and all(map(_is_member_change, changes))
        members = len(self.shared.directory.daemons)
        is_configured = self.shared.directory.configuration is not None
        is_idle = is_configured and not (self.sessions or self.holder)
        return store_pacing.watch_pause_s(members, is_churn, is_idle)

    def start(self, store_watch: supervision.BackgroundTask) -> None:
        """Start the background tasks.

        Args:
            store_watch: Watches the store and passes its changes to
                `on_snapshot` and `on_change`.
        """
        self._log.info('daemon started', **dataclasses.asdict(self._options))
        for name, task in (
            ('store watch', store_watch),
            ('registration', self._registration.run),
            ('maintenance', self._maintain),
            ('failover', self._failover.run),
        ):
            self._run_in_background(name, task)
        if self._evidence.is_required:
            self._run_in_background('evidence', self._evidence_collector.run)

    async def stop(self, stop_listening: abc.Callable[[], None]) -> None:
        """Stop the daemon without interrupting a statement.

        Args:
            stop_listening: Closes the listener for callers. Called once the
                load balancer sends no new callers: the exit would interrupt
                sessions that open later.
        """
        self.stopping = True
        started_at = self._clock.monotonic()
        self._log.info(
            'stopping daemon',
            sessions=len(self.sessions),
            leases=len(self.holder),
        )
        self.holder.announce_leaving()
        await asyncio.sleep(OUT_OF_ROTATION_S)
        stop_listening()
        accepting = True
        while self.sessions or self.holder:
            age_s = self._age(started_at)
            if age_s >= self._options.stop_grace_s - EXIT_RESERVE_S:
                break
            self.sessions.close_idle(self._idle_before_close_s(age_s))
            transaction_grace_s = (
                self._options.stop_grace_s * TRANSACTION_GRACE_FRACTION
            )
            if age_s >= transaction_grace_s and accepting:
                accepting = False
                self.sessions.stop_accepting()
                self.holder.stop_leasing()
            await asyncio.sleep(STOP_CHECK_INTERVAL_S)
        self._log.info(
            'daemon stopped',
            sessions=len(self.sessions),
            leases=len(self.holder),
            duration_s=round(self._age(started_at), 2),
        )
        await self._shut_down()

    def _idle_before_close_s(self, age_s: float) -> float:
        """Return the idle time after which a session is closed during a stop.

        It decreases over the stop, so that busy sessions, which never idle for
        long, are closed within the grace period as well.

        Args:
            age_s: Time in seconds since the stop began.
        """
        left_s = OUT_OF_ROTATION_S + IDLE_DECREASE_S - age_s
        return IDLE_BEFORE_CLOSE_S * max(left_s / IDLE_DECREASE_S, 0)

    def log_changed_settings(self, options: settings.Settings) -> None:
        """Log which settings changed in the settings file.

        None of them takes effect before a restart.
        """
        changed = {
            field.name: getattr(options, field.name)
            for field in dataclasses.fields(options)
            if getattr(options, field.name)
            != getattr(self._options, field.name)
        }
        self._log.info('settings file read again', changed=changed)

    def on_snapshot(
        self,
        items: abc.Sequence[catalog.StoreChange],
        sent_at: float | None = None,
    ) -> None:
        """Apply a complete read of the store.

        Args:
            items: All items of the store.
            sent_at: Time in seconds at which the read began, None if unknown.
        """
        before = self.shared.directory.configuration
        self.shared.directory.on_snapshot(items)
        self._on_configuration(before)
        if sent_at is not None:
            self._evidence.on_snapshot(sent_at, items)
        self._registration.on_store_read()

    def on_store_restored(self) -> None:
        """Keep what a restored store lacks until it is written again."""
        self.shared.metrics.event('store_restored')
        self.shared.directory.on_store_restored()
        self._registration.on_store_restored()

    def on_change(self, change: catalog.StoreChange) -> None:
        """Apply one change of the store."""
        before = self.shared.directory.configuration
        self.shared.directory.on_change(change)
        match change:
            case catalog.Configuration():
                self._on_configuration(before)
            case catalog.Server():
                self._log.info(
                    'backend server registration changed',
                    server=change.server_id,
                    group=change.group,
                    state=change.state.value,
                    role=change.role.value,
                    revision=change.revision,
                )
            case catalog.Removed():
                self._log.info(
                    'item removed from the store',
                    item=change.kind.__name__.lower(),
                    name=change.name,
                    revision=change.revision,
                )
                self._registration.on_removed()
                if change.kind is catalog.Complaint:
                    self._failover.complaints.on_removed(change.name)

    def set_store_reachable(self, reachable: bool) -> None:
        """Record whether the store is reachable."""
        now = self._clock.monotonic()
        self.shared.directory.store_lost_at = None if reachable else now
        self.shared.metrics.level('store_reachable', int(reachable))
        if reachable:
            self._evidence_collector.wake()

    def render_metrics(self) -> bytes:
        """Return the metrics in the Prometheus text format."""
        shared = self.shared
        configuration = shared.directory.configuration
        for kind, level in (
            ('sessions', len(self.sessions)),
            ('connections_opened', shared.connection_sources.opened_total()),
            (
                'configuration_version',
                configuration.version if configuration else 0,
            ),
            ('members', len(shared.directory.member_tracker.names)),
        ):
            shared.metrics.level(kind, level)
        if self._evidence.is_required:
            age_s = self._evidence.age_s
            shared.metrics.level(
                'configuration_evidence_age_s', -1 if age_s is None else age_s
            )
        return shared.metrics.render()

    def _run_in_background(
        self, name: str, task: supervision.BackgroundTask
    ) -> None:
        running = supervision.run_forever(name, task)
        self._tasks.append(asyncio.create_task(running))

    def _age(self, since: float) -> float:
        return self._clock.monotonic() - since

    def _on_configuration(self, before: catalog.Configuration | None) -> None:
        configuration = self.shared.directory.configuration
        if configuration is not None and configuration is not before:
            self.sessions.on_configuration()
            self._evidence.on_configuration(configuration.version)
            self._log.info(
                'configuration applied',
                version=configuration.version,
                before=before.version if before else 0,
                routes=len(configuration.routes),
            )

    async def _maintain(self) -> typing.NoReturn:
        stalls = diagnostics.StallMonitor(MAINTENANCE_INTERVAL_S)
        while True:
            await asyncio.sleep(MAINTENANCE_INTERVAL_S)
            if stalls.log_stall() is not None:
                self.shared.metrics.event('stalled')
            self.shared.connection_sources.maintain()
            self.holder.maintain()
            self.shared.quotas.maintain()
            self._check_isolation()
            if self._evidence.log_change():
                self.shared.metrics.event('evidence_lost')

    def _check_isolation(self) -> None:
        """Update whether this daemon is isolated.

        An isolated daemon is not ready and closes its idle sessions, so that
        callers move to other daemons.
        """
        server_directory = self.shared.directory
        losses = (server_directory.store_lost_at, self._registration.lost_at)
        lost_at = min((at for at in losses if at is not None), default=None)
        loss = isolation.ConnectivityLoss(
            None if lost_at is None else self._age(lost_at),
            self.shared.primaries.longest_unreachable_s(),
        )
        is_isolated = isolation.is_isolated(loss)
        if is_isolated is server_directory.is_isolated:
            return
        server_directory.is_isolated = is_isolated
        self._log.warning(
            'daemon isolated' if is_isolated else 'daemon no longer isolated',
            store_lost_s=loss.store_lost_s,
            no_primary_s=loss.no_primary_s,
        )
        if is_isolated:
            self.sessions.close_idle(IDLE_BEFORE_CLOSE_S)

    async def _shut_down(self) -> None:
        for task in self._tasks:
            task.cancel()
        self.shared.primaries.stop()
        await self._registration.end()


def _is_member_change(change: catalog.StoreChange) -> bool:
    match change:
        case catalog.Removed(kind):
            return kind is catalog.Member
    return isinstance(change, catalog.Member)
