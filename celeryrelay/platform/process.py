"""Builds a daemon with the adapters of the platform and runs it."""

import asyncio
import contextlib
import gc
import os
import signal

import result

from celeryrelay.adapters import json_log, links
from celeryrelay.core import clock as clocks
from celeryrelay.gateway import application, settings
from celeryrelay.gateway import metrics as gateway_metrics
from celeryrelay.platform import (
    backends,
    callers,
    http1,
    promotion_client,
    settings_file,
    store_watcher,
)
from celeryrelay.platform import store as stores

SETTINGS_CHECK_S = 1.0

_PLAIN = 'text/plain'


class Process:
    """A daemon on one machine of the platform."""

    def __init__(self, options: settings.Settings, path: str) -> None:
        """Run with the settings of the file at `path`."""
        self._options = options
        self._path = path
        _, _, metrics_port = options.metrics_address.rpartition(':')
        self._metrics_port = int(metrics_port)
        self._stop = asyncio.Event()
        self._store = stores.StoreClient(options.store_address)
        self._application = application.Application(
            options,
            application.Adapters(
                self._store,
                promotion_client.PromotionClient(options.orders_address),
                backends.Connector(options.instance),
                links.LinkConnector(),
            ),
            clocks.SuspendAwareClock(),
        )

    async def run(self) -> None:
        """Serve until a signal to stop."""
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self._stop.set)
        loop.add_signal_handler(signal.SIGHUP, self._reload)
        callers_listener = await callers.listen(
            self._application.sessions,
            self._options.caller_address,
        )
        listeners = await self._listen_pages()
        listeners.append(
            await links.listen(
                self._application.holder.accept,
                self._options.link_address,
            ),
        )
        follower = store_watcher.StoreWatcher(
            self._store,
            self._application,
            self._options.watch_wait_ms,
        )
        self._application.start(follower.run())
        watching = asyncio.create_task(self._watch_settings())
        # What was imported stays; the collector need not look at it again.
        gc.freeze()
        await self._stop.wait()
        await self._application.stop(callers_listener.close)
        watching.cancel()
        for listener in listeners:
            listener.close()

    async def _listen_pages(self) -> list[asyncio.Server]:
        pages = http1.PageServer(self._page)
        return [
            await pages.listen(self._options.probe_address),
            await pages.listen(self._options.metrics_address),
        ]

    def _page(self, target: str) -> tuple[int, str, bytes]:
        path, _, _ = target.partition('?')
        match path:
            case '/celeryrelay/ready':
                ready = self._application.ready
                return (200, _PLAIN, b'') if ready else (503, _PLAIN, b'')
            case '/metrics':
                body = self._application.render_metrics()
                return 200, gateway_metrics.CONTENT_TYPE, body
        return 404, _PLAIN, b''

    def _reload(self) -> None:
        match settings_file.load(self._path, self._metrics_port):
            case result.Ok(options):
                self._application.log_changed_settings(options)
            case result.Err(problem):
                json_log.get('daemon').error(
                    'settings refused', problem=problem
                )

    async def _watch_settings(self) -> None:
        """Read the settings again when the file changes without a signal."""
        known = _changed_at(self._path)
        while True:
            await asyncio.sleep(SETTINGS_CHECK_S)
            found = _changed_at(self._path)
            if found != known:
                known = found
                self._reload()


def _changed_at(path: str) -> int:
    with contextlib.suppress(OSError):
        # A file that is being replaced is looked at again later.
        return os.stat(path).st_mtime_ns
    return 0
