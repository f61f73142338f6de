"""The daemon process: connects the application to the platform's services."""

import asyncio
import contextlib
import functools
import gc
import os
import signal

import result

from celeryrelay.adapters import (
    acceptor,
    connection_guard,
    descriptors,
    json_log,
    links,
    listeners,
    supervision,
)
from celeryrelay.admission import connection_limits, input_memory
from celeryrelay.core import addresses
from celeryrelay.core import clock as clocks
from celeryrelay.gateway import application, settings
from celeryrelay.gateway import metrics as gateway_metrics
from celeryrelay.membership import store_pacing
from celeryrelay.platform import (
    backends,
    callers,
    http1,
    promotion_client,
    settings_file,
    store_watcher,
)
from celeryrelay.platform import store as stores

SETTINGS_CHECK_INTERVAL_S = 1.0

_STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)
_HANDLED_SIGNALS = (*_STOP_SIGNALS, signal.SIGHUP)
_PLAIN_TEXT = 'text/plain'


class Process:
    """The daemon of one instance on the platform."""

    def __init__(self, options: settings.Settings, path: str) -> None:
        """Create a daemon from `options`, which were read from `path`."""
        self._options = options
        self._path = path
        self._metrics_port = addresses.parse(options.metrics_address).port
        self._descriptor_limit = descriptors.connection_limit(
            options.connection_limit
        )
        self._input_memory = input_memory.InputMemory(
            input_memory.limit_bytes(options.memory_limit_mb)
        )
        self._stop = asyncio.Event()
        self._store = stores.StoreClient(options.store_address)
        self._clock = clocks.SuspendAwareClock()
        self._application = application.Application(
            options,
            application.Adapters(
                self._store,
                promotion_client.PromotionClient(options.orders_address),
                backends.Connector(options.instance),
                links.LinkConnector(),
            ),
            self._clock,
        )

    async def run(self) -> None:
        """Serve until SIGTERM or SIGINT starts a planned stop.

        On SIGHUP the settings file is read again and changes are logged.
        """
        loop = asyncio.get_running_loop()
        for number in _STOP_SIGNALS:
            loop.add_signal_handler(number, self._stop.set)
        loop.add_signal_handler(signal.SIGHUP, self._log_changed_settings)
        opened = listeners.ListenerSet()
        callers_listener = await self._listen_unless_stopped(opened)
        if callers_listener is None:
            opened.close()
            return
        watcher = store_watcher.StoreWatcher(
            self._store,
            self._application,
            store_pacing.watch_wait_ms(
                self._options.disruption_s + self._options.apply_s
            ),
            self._clock,
        )
        self._application.start(watcher.run)
        settings_task = asyncio.create_task(
            supervision.run_forever('settings file', self._watch_settings_file)
        )
        # Imported modules live until the process ends, so garbage collections
        # need not traverse their objects.
        gc.freeze()
        await self._stop.wait()
        await self._application.stop(callers_listener.close)
        settings_task.cancel()
        opened.close()
        # The end of the event loop restores the default actions, which would
        # replace the exit code.
        signal.pthread_sigmask(signal.SIG_BLOCK, _HANDLED_SIGNALS)

    async def _listen_unless_stopped(
        self, opened: listeners.ListenerSet
    ) -> acceptor.Acceptor | None:
        """Open all listeners; return None if a stop begins before that."""
        opening = asyncio.create_task(self._listen(opened))
        stopping = asyncio.create_task(self._stop.wait())
        await asyncio.wait(
            (opening, stopping), return_when=asyncio.FIRST_COMPLETED
        )
        stopping.cancel()
        if opening.done():
            return opening.result()
        opening.cancel()
        json_log.get('daemon').info('daemon stopped during its start')
        return None

    async def _listen(self, opened: listeners.ListenerSet) -> acceptor.Acceptor:
        """Open all listeners; return the one for callers."""
        options = self._options
        budget = connection_limits.plan(self._descriptor_limit)
        http_server = http1.HttpServer(self._respond)
        await opened.add_required(
            'probes',
            functools.partial(
                http_server.listen,
                options.probe_address,
                self._guard('probes', budget.page),
            ),
        )
        # Not before the other port that is required, as callers would wait for it.
        # Not after the optional ones, which could take the port for callers.
        callers_listener = await opened.add_required(
            'callers',
            functools.partial(
                callers.listen,
                self._application.sessions,
                options.caller_address,
                self._guard(
                    'callers',
                    budget.callers,
                    callers.format_refusal_at_limit(),
                ),
            ),
        )
        await opened.add_optional(
            'links',
            functools.partial(
                links.listen,
                self._application.holder.accept,
                options.link_address,
                self._guard('links', budget.links),
            ),
        )
        await opened.add_optional(
            'metrics',
            functools.partial(
                http_server.listen,
                options.metrics_address,
                self._guard('metrics', budget.page),
            ),
        )
        return callers_listener

    def _guard(
        self, name: str, limit: int, refusal: bytes = b''
    ) -> connection_guard.ConnectionGuard:
        count_event = self._application.shared.metrics.event
        return connection_guard.ConnectionGuard(
            name, limit, self._input_memory, count_event, refusal
        )

    def _render_metrics(self) -> bytes:
        metrics = self._application.shared.metrics
        metrics.level('descriptor_limit', self._descriptor_limit)
        open_count = descriptors.open_count()
        if open_count is not None:
            metrics.level('descriptors', open_count)
        return self._application.render_metrics()

    def _respond(self, target: str) -> tuple[int, str, bytes]:
        path, _, _ = target.partition('?')
        match path:
            case '/celeryrelay/ready':
                ready = self._application.ready
                return (
                    (200, _PLAIN_TEXT, b'')
                    if ready
                    else (503, _PLAIN_TEXT, b'')
                )
            case '/metrics':
                body = self._render_metrics()
                return 200, gateway_metrics.CONTENT_TYPE, body
        return 404, _PLAIN_TEXT, b''

    def _log_changed_settings(self) -> None:
        match settings_file.load(self._path, self._metrics_port):
            case result.Ok(options):
                self._application.log_changed_settings(options)
            case result.Err(problem):
                json_log.get('daemon').error(
                    'settings file rejected', problem=problem
                )

    async def _watch_settings_file(self) -> None:
        """Log changed settings when the file changes without a SIGHUP."""
        previous = _modified_ns(self._path)
        while True:
            await asyncio.sleep(SETTINGS_CHECK_INTERVAL_S)
            current = _modified_ns(self._path)
            if current != previous:
                previous = current
                self._log_changed_settings()


def _modified_ns(path: str) -> int:
    with contextlib.suppress(OSError):
        # A file that is being replaced may be missing until the next check.
        return os.stat(path).st_mtime_ns
    return 0
