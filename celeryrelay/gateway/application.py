"""The daemon: its tasks, from start to a planned stop."""

import asyncio
import dataclasses
import typing
from collections import abc

from celeryrelay.adapters import json_log
from celeryrelay.core import clock as clocks
from celeryrelay.gateway import (
    catalog,
    directory,
    failover,
    holder,
    interfaces,
    metrics,
    peer_links,
    primaries,
    registration,
    services,
    session_registry,
    settings,
)
from celeryrelay.membership import isolation, store_pacing

MAINTAIN_S = 0.25
# The load balancer takes a daemon out of rotation after two failed probes, one
# a second.
OUT_OF_ROTATION_S = 2.1
# Part of the grace that open transactions get, and time kept for the exit.
TRANSACTION_PART = 0.5
EXIT_RESERVE_S = 0.6
STOP_TICK_S = 0.03
# Time after an answer in which a caller's next statement may be on its way,
# and the part of a stop in which such sessions are left open.
QUIET_S = 0.25
QUIET_FOR_S = 1.5


@dataclasses.dataclass(frozen=True, slots=True)
class Adapters:
    """Adapters to the outside.

    Attributes:
        store: The platform's store.
        orders: Takes promotion orders.
        connector: Opens connections to backend servers.
        links: Opens links to other daemons.
    """

    store: interfaces.Store
    orders: interfaces.PromotionClient
    connector: interfaces.Connector
    links: interfaces.LinkConnector


class Application:
    """One daemon."""

    def __init__(
        self,
        options: settings.Settings,
        adapters: Adapters,
        clock: clocks.Clock,
    ) -> None:
        """Create all parts without any connection."""
        known = directory.Directory(clock, options.gone_after_s)
        connection_sources = services.ConnectionSources(
            options,
            known,
            adapters.connector,
            peer_links.PeerRegistry(
                options.instance,
                known,
                adapters.links,
                clock,
            ),
            clock,
        )
        self._options = options
        self._adapters = adapters
        self._clock = clock
        self._log = json_log.get('daemon')
        self._registration = registration.Registration(
            options,
            known,
            adapters.store,
            clock,
        )
        self._tasks: list[asyncio.Task] = []
        self.stopping = False
        self.shared = services.Services(
            options=options,
            clock=clock,
            directory=known,
            connection_sources=connection_sources,
            primaries=primaries.PrimaryTracker(
                known, connection_sources, clock
            ),
            metrics=metrics.Metrics(),
        )
        self.sessions = session_registry.SessionRegistry(self.shared)
        self.holder = holder.Holder(
            known,
            connection_sources.own_pool,
            self.shared.primaries.verify,
            clock,
        )
        self._failover = failover.Failover(
            self.shared,
            adapters.store,
            adapters.orders,
            adapters.connector,
            self._registration,
        )

    @property
    def ready(self) -> bool:
        """Whether the daemon should get new callers."""
        known = self.shared.directory
        return (
            known.configuration is not None
            and not known.is_cut_off
            and not self.stopping
        )

    def watch_pause_s(
        self, changes: abc.Sequence[catalog.StoreChange]
    ) -> float:
        """Return the time until the next watch of the store, in seconds.

        Args:
            changes: What the last watch told.
        """
        is_churn = bool(changes) and all(map(_concerns_daemon, changes))
        members = len(self.shared.directory.daemons)
        return store_pacing.watch_pause_s(members, is_churn)

    def start(self, feed: abc.Coroutine[typing.Any, typing.Any, None]) -> None:
        """Start the tasks; `feed` passes the store's changes on."""
        self._log.info('start', **dataclasses.asdict(self._options))
        for part in (
            feed,
            self._registration.run(),
            self._maintain(),
            self._failover.run(),
        ):
            task = asyncio.create_task(part)
            task.add_done_callback(self._on_task_ended)
            self._tasks.append(task)

    async def stop(self, stop_listening: abc.Callable[[], None]) -> None:
        """Leave without interrupting a statement.

        Args:
            stop_listening: Called once no new callers are expected. Sessions
                that open later would end with the process.
        """
        self.stopping = True
        begun = self._clock.monotonic()
        self._log.info(
            'stop',
            sessions=len(self.sessions),
            leases=len(self.holder),
        )
        self.holder.announce_leaving()
        await asyncio.sleep(OUT_OF_ROTATION_S)
        stop_listening()
        aborted = False
        while self.sessions or self.holder:
            age_s = self._age(begun)
            if age_s >= self._options.stop_grace_s - EXIT_RESERVE_S:
                break
            self.sessions.close_idle(self._quiet_s(age_s))
            half = self._options.stop_grace_s * TRANSACTION_PART
            if age_s >= half and not aborted:
                aborted = True
                self.sessions.abort_idle_transactions('planned stop')
                self.holder.revoke_idle(self._clock.monotonic(), 'planned stop')
            await asyncio.sleep(STOP_TICK_S)
        self._log.info(
            'stopped',
            sessions=len(self.sessions),
            leases=len(self.holder),
            duration_s=round(self._age(begun), 2),
        )
        await self._leave()

    def _quiet_s(self, age_s: float) -> float:
        """Return how long a session has to be quiet to be closed now.

        Sessions that are never quiet for long have to end within the grace.

        Args:
            age_s: Time in seconds since the stop began.
        """
        left_s = OUT_OF_ROTATION_S + QUIET_FOR_S - age_s
        return QUIET_S * max(left_s / QUIET_FOR_S, 0)

    def log_changed_settings(self, options: settings.Settings) -> None:
        """Note changed settings; addresses need a restart."""
        changed = {
            field.name: getattr(options, field.name)
            for field in dataclasses.fields(options)
            if getattr(options, field.name)
            != getattr(self._options, field.name)
        }
        self._log.info('settings read', changed=changed)

    def on_snapshot(self, items: abc.Sequence[catalog.StoreChange]) -> None:
        """Take all items of the store."""
        before = self.shared.directory.configuration
        self.shared.directory.on_snapshot(items)
        self._note_catalog(before)
        self._registration.on_store_read()

    def on_change(self, change: catalog.StoreChange) -> None:
        """Take one change of the store."""
        before = self.shared.directory.configuration
        self.shared.directory.on_change(change)
        match change:
            case catalog.Configuration():
                self._note_catalog(before)
            case catalog.Server():
                self._log.info(
                    'backend server',
                    server=change.server_id,
                    group=change.group,
                    state=change.state.value,
                    role=change.role.value,
                    revision=change.revision,
                )
            case catalog.Removed():
                self._log.info(
                    'removed',
                    item=change.kind.__name__.lower(),
                    name=change.name,
                    revision=change.revision,
                )
                self._registration.on_removed()
                if change.kind is catalog.Complaint:
                    self._failover.complaints.on_removed(change.name)

    def set_store_reachable(self, reachable: bool) -> None:
        """Note that the store answers, or does not."""
        now = self._clock.monotonic()
        self.shared.directory.store_lost_at = None if reachable else now
        self.shared.metrics.level('store_reachable', int(reachable))

    def render_metrics(self) -> bytes:
        """Return the metrics page."""
        shared = self.shared
        known = shared.directory.configuration
        for kind, level in (
            ('sessions', len(self.sessions)),
            ('connections_opened', shared.connection_sources.opened_total()),
            ('configuration_version', known.version if known else 0),
            ('members', len(shared.directory.member_count.names)),
        ):
            shared.metrics.level(kind, level)
        return shared.metrics.render()

    def _age(self, since: float) -> float:
        return self._clock.monotonic() - since

    def _note_catalog(self, before: catalog.Configuration | None) -> None:
        known = self.shared.directory.configuration
        if known is not None and known is not before:
            self.sessions.on_configuration()
            self._log.info(
                'configuration in force',
                version=known.version,
                before=before.version if before else 0,
                routes=len(known.routes),
            )

    async def _maintain(self) -> typing.NoReturn:
        while True:
            await asyncio.sleep(MAINTAIN_S)
            self.shared.connection_sources.maintain()
            self.holder.maintain()
            self._review_isolation()

    def _review_isolation(self) -> None:
        """Send callers to other daemons while this one is cut off."""
        known = self.shared.directory
        lost_at = known.store_lost_at or self._registration.lost_at
        facts = isolation.ConnectivityLoss(
            None if lost_at is None else self._age(lost_at),
            self.shared.primaries.longest_unreachable_s(),
        )
        is_cut_off = isolation.is_isolated(facts)
        if is_cut_off is known.is_cut_off:
            return
        known.is_cut_off = is_cut_off
        self._log.warning(
            'cut off' if is_cut_off else 'no longer cut off',
            store_lost_s=facts.store_lost_s,
            no_primary_s=facts.no_primary_s,
        )
        if is_cut_off:
            self.sessions.close_idle(QUIET_S)

    async def _leave(self) -> None:
        for task in self._tasks:
            task.remove_done_callback(self._on_task_ended)
            task.cancel()
        self.shared.primaries.stop()
        await self._registration.end()

    def _on_task_ended(self, task: asyncio.Task) -> None:
        """Stop the process if a task ends: its invariant is broken."""
        if task.cancelled():
            return
        error = task.exception()
        self._log.critical('task ended', error=repr(error))
        asyncio.get_running_loop().stop()


def _concerns_daemon(change: catalog.StoreChange) -> bool:
    match change:
        case catalog.Removed(kind):
            return kind is catalog.Member
    return isinstance(change, catalog.Member)
