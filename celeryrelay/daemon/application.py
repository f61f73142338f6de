"""Assembly, start and stop of the entry daemon."""

import asyncio
import dataclasses
import ssl

import aiohttp
import orjson
import result

from celeryrelay.accounting import batches
from celeryrelay.adapters import (
    callers,
    logs,
    metrics,
    peer_client,
    peer_server,
    platform_client,
)
from celeryrelay.admission import retry_budget
from celeryrelay.conf import secret_files, settings
from celeryrelay.core import clock, identity, peer_messages
from celeryrelay.daemon.account import (
    batch_relay,
    outcome_recorder,
    status_reporter,
)
from celeryrelay.daemon.callers import (
    delivery,
    forwarding,
    preparation,
    session,
    session_factory,
)
from celeryrelay.daemon.exchange import configuration_sync, control, fleet_state
from celeryrelay.daemon.failover import (
    evidence,
    failover_run,
    initial_terms,
    observer,
    promoter,
)
from celeryrelay.daemon.holding import (
    holder_table,
    peer_activity,
    position_sampler,
)
from celeryrelay.membership import view
from celeryrelay.routing import classification
from celeryrelay.sessions import tokens
from celeryrelay.timeline import events

RECONCILE_S = 0.5
DRAIN_CHECK_S = 0.05
FLUSH_S = 0.2
# Time for closed sessions to record their last statement before the account is
# closed.
CLOSE_CALLERS_S = 1
_MS_PER_S = 1000

_LOG = logs.get('daemon')


@dataclasses.dataclass(frozen=True, slots=True)
class Listening:
    """Ports that the daemon listens on."""

    mysql: int
    peer: int


class Application:
    """Creates, starts and stops all tasks of the daemon."""

    def __init__(
        self, options: settings.Settings, secrets: secret_files.Secrets
    ) -> None:
        """Create a daemon; `start` listens and starts its tasks."""
        self._settings = options
        self._secrets = secrets
        self._clock = clock.SystemClock()
        self._stopped = asyncio.Event()
        self._tasks: list[asyncio.Task[None]] = []

    async def start(self) -> Listening:
        """Listen and start all tasks.

        Raises:
            OSError: An address can't be listened on.
            CeleryrelayError: The event log can't be opened.
        """
        options = self._settings
        self._server = peer_server.PeerServer(self, self._secrets.fleet_key)
        host = options.listen.host
        peer_port = await self._server.start(host, options.listen.peer_port)
        advertised = options.advertise or '{0}:{1}'.format(host, peer_port)
        self._build(advertised)
        mysql_port = await self._callers.start(host, options.listen.mysql_port)
        self._start_tasks()
        self._events.emit(
            'started',
            zone=options.availability_zone,
            mysql=mysql_port,
        )
        _LOG.info('listening for callers on {0}:{1}', host, mysql_port)
        return Listening(mysql_port, peer_port)

    async def run(self) -> None:
        """Run until a planned stop has ended."""
        await self._stopped.wait()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self._batch_relay.close()
        self._holders.close()
        await self._server.close()
        await self._client.close()
        await self._http.close()
        self._events.emit('stopped')
        self._events.close()

    def drain(self) -> None:
        """Begin a planned stop; a second call has no effect."""
        if not self.fleet.draining:
            self.fleet.draining = True
            self.fleet.notify()
            self._view.drain()
            self._events.emit('drain_started')
            _LOG.info('planned stop started')
            self._tasks.append(asyncio.create_task(self._drain()))

    def statement(
        self,
        request: peer_messages.StatementRequest,
    ) -> peer_server.Lines:
        """Run a statement on one of this daemon's slots."""
        return self._peer_activity.observe(self._holders.statement(request))

    def exchange(
        self,
        request: peer_messages.ExchangeRequest,
    ) -> peer_messages.ExchangeReply:
        """Answer an exchange request of another daemon."""
        return self._control.on_exchange(request)

    def configuration(self) -> bytes | None:
        """Return the active object set as stored, or None without one."""
        return self._configuration_sync.stored_document()

    def account(self, body: bytes) -> result.Result[bytes, str]:
        """Accept an account batch and return its acknowledgement."""
        return self._batch_relay.receive_batch(body)

    def healthy(self) -> bool:
        """Return whether the load balancer may send connections here."""
        ready = self.fleet.published is not None and self.fleet.members_settled
        return ready and not self.fleet.draining

    def status(self) -> bytes:
        """Return the status document."""
        return orjson.dumps(self._status_reporter.status())

    def metrics(self) -> bytes:
        """Return the metrics page."""
        return self._status_reporter.metrics_page()

    def events(self, after: int) -> bytes:
        """Return recorded events after a sequence number as JSON lines."""
        return b''.join(
            orjson.dumps(event, option=orjson.OPT_APPEND_NEWLINE)
            for event in self._events.recent(after)
        )

    def _build(self, advertised: str) -> None:
        options = self._settings
        own_identity = identity.Identity(
            advertised,
            options.availability_zone,
            identity.new_incarnation(),
        )
        self.fleet = fleet_state.FleetState(own_identity)
        self._events = events.EventLog(
            own_identity, self._clock, options.timeline
        )
        self._view = view.LiveView(options.control, own_identity)
        self._evidence = evidence.EvidenceTable(own_identity.instance)
        self._client = peer_client.PeerClient(
            self._secrets.fleet_key,
            options.address_map,
        )
        self._http = aiohttp.ClientSession()
        store = platform_client.PlatformClient(
            options.platform_url,
            self._http,
            options.control.request_timeout_ms,
        )
        self._control = control.ControlExchange(
            control.ControlServices(
                fleet=self.fleet,
                view=self._view,
                evidence=self._evidence,
                client=self._client,
                platform=store,
                settings=options,
                events=self._events,
                clock=self._clock,
            ),
        )
        self._configuration_sync = configuration_sync.ConfigurationSync(
            self.fleet,
            self._control,
            store,
            self._client,
            self._events,
        )
        self._holders = holder_table.HolderTable(
            self.fleet,
            options,
            self._secrets.backend_password,
            self._events,
        )
        self._peer_activity = peer_activity.PeerActivity(self._clock)
        self._build_failover(store)
        self._build_entry()

    def _build_failover(self, store: platform_client.PlatformClient) -> None:
        options = self._settings
        builder = batches.BatchBuilder(
            self.fleet.identity,
            options.deployment,
            options.account,
        )
        self._builder = builder
        self._observer = observer.Observer(
            self.fleet,
            self._holders,
            self._evidence,
            options,
            self._events,
        )
        self._promoter = promoter.Promoter(
            failover_run.PromoterServices(
                fleet=self.fleet,
                evidence=self._evidence,
                holders=self._holders,
                platform=store,
                builder=builder,
                settings=options,
                events=self._events,
                clock=self._clock,
            ),
        )
        self._initial_terms = initial_terms.InitialTermWriter(
            initial_terms.InitialTermServices(
                fleet=self.fleet,
                holders=self._holders,
                platform=store,
                events=self._events,
            ),
        )
        self._batch_relay = batch_relay.BatchRelay(
            builder,
            self.fleet,
            self._control,
            store,
            self._client,
        )

    def _build_entry(self) -> None:
        options = self._settings
        counters = metrics.Metrics()
        recorder = outcome_recorder.OutcomeRecorder(
            self._builder,
            counters,
            self._events,
            self._clock,
        )
        forwarder = forwarding.Forwarder(
            self.fleet,
            self._holders,
            self._client,
            self._events,
        )
        factory = session_factory.SessionFactory(
            session.SessionServices(
                delivery=delivery.DeliveryServices(
                    fleet=self.fleet,
                    forwarder=forwarder,
                    retries=retry_budget.RetryBudget(),
                    settings=options,
                    clock=self._clock,
                ),
                preparer=preparation.Preparer(
                    self.fleet,
                    classification.Classifier(
                        options.statements.classification_cache,
                    ),
                    self._clock,
                ),
                signer=tokens.TokenSigner(
                    self._secrets.fleet_key.encode(),
                    options.deployment,
                ),
                recorder=recorder,
            ),
        )
        self._callers = callers.CallerServer(
            factory,
            options.statements,
            _tls_context(options.tls),
        )
        self._position_sampler = position_sampler.PositionSampler(
            self.fleet,
            self._holders,
            forwarder,
            options,
        )
        self._status_reporter = status_reporter.StatusReporter(
            status_reporter.StatusServices(
                fleet=self.fleet,
                control=self._control,
                distribution=self._configuration_sync,
                holders=self._holders,
                promoter=self._promoter,
                recorder=recorder,
                batch_relay=self._batch_relay,
                callers=self._callers,
                metrics=counters,
                clock=self._clock,
            ),
        )

    def _start_tasks(self) -> None:
        loops = (
            self._control.run(),
            self._configuration_sync.run(self._settings.control),
            self._observer.run(),
            self._promoter.run(),
            self._initial_terms.run(),
            self._batch_relay.run(self._settings.account),
            self._position_sampler.run(),
            self._reconcile_loop(),
            self._flush_loop(),
        )
        for loop in loops:
            task = asyncio.create_task(loop)
            task.add_done_callback(self._on_task_end)
            self._tasks.append(task)

    def _on_task_end(self, task: asyncio.Task[None]) -> None:
        if task.cancelled() or task.exception() is None:
            return
        # An exception means a broken invariant, so the daemon stops; the load
        # balancer and the other daemons take over its work.
        _LOG.exception('task failed', exc_info=task.exception())
        self._stopped.set()

    async def _reconcile_loop(self) -> None:
        while True:
            self._holders.reconcile()
            await self.fleet.wait_for_change(RECONCILE_S)

    async def _flush_loop(self) -> None:
        while True:
            self._events.flush()
            await asyncio.sleep(FLUSH_S)

    async def _drain(self) -> None:
        options = self._settings.drain
        await asyncio.sleep(options.balancer_grace_ms / _MS_PER_S)
        self._callers.stop_listening()
        deadline = self._clock.monotonic() + options.limit_ms / _MS_PER_S
        while self._clock.monotonic() < deadline and self._is_busy():
            await asyncio.sleep(DRAIN_CHECK_S)
        self._callers.close_all()
        deadline = self._clock.monotonic() + CLOSE_CALLERS_S
        while self._clock.monotonic() < deadline and self._callers.connections:
            await asyncio.sleep(RECONCILE_S)
        self._stopped.set()

    def _is_busy(self) -> bool:
        held = self._holders.holders.values()
        serving = any(holder.resources.admission.waiting for holder in held)
        transactions = self._holders.open_transactions
        return bool(
            serving
            or transactions
            or self._callers.connections
            or not self._peer_activity.is_quiet
        )


def _tls_context(
    options: settings.TlsSettings | None,
) -> ssl.SSLContext | None:
    if options is None:
        return None
    context = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
    context.load_cert_chain(options.certificate_file, options.key_file)
    return context
