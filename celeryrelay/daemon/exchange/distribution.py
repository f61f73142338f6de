"""Distribution of the object set to this daemon."""

import asyncio

import orjson
import result

from celeryrelay.adapters import logs, peer_client, platform_client
from celeryrelay.conf import sets, settings
from celeryrelay.configuration import documents, revisions
from celeryrelay.core import clock
from celeryrelay.daemon.exchange import control, fleet
from celeryrelay.timeline import events

KEY = 'configuration'
# A quiet watch confirms the set in force; two of them fit into 5 s.
WATCH_MS = 2000
RETRY_S = 0.5
FETCH_TIMEOUT_MS = 2000

_LOG = logs.get('configuration')


class Distribution:
    """Takes object sets from the store or a peer; never an older one."""

    def __init__(
        self,
        known: fleet.Fleet,
        exchange: control.Control,
        store: platform_client.PlatformClient,
        client: peer_client.PeerClient,
        log: events.EventLog,
    ) -> None:
        """Create the task; `run` starts its loops."""
        self.state = revisions.RevisionState()
        self._fleet = known
        self._control = exchange
        self._platform = store
        self._client = client
        self._events = log
        self._clock = clock.SystemClock()
        self._stored: bytes | None = None

    def stored(self) -> bytes | None:
        """Return the set in force as stored, for peers."""
        return self._stored

    async def run(self, options: settings.ControlSettings) -> None:
        """Watch the store as a relay and fetch from peers otherwise."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._watch_loop())
            group.create_task(
                self._fetch_loop(options.exchange_interval_ms / 1000),
            )

    async def _watch_loop(self) -> None:
        since = 0
        while True:
            alone = len(self._fleet.members) < 2
            if not (self._control.is_relay or alone):
                await asyncio.sleep(RETRY_S)
                continue
            sent_at = self._clock.monotonic()
            match await self._platform.watch(KEY, since, WATCH_MS):
                case result.Ok(changes):
                    since = max(since, changes.revision)
                    for entry in changes.entries:
                        if entry.key == KEY:
                            self._take(entry.value, 'store')
                    self.state.on_confirmation(self.state.revision, sent_at)
                case result.Err(_):
                    await asyncio.sleep(RETRY_S)

    async def _fetch_loop(self, interval_s: float) -> None:
        while True:
            await self._fleet.wait_for_change(interval_s)
            self.state.on_mention(self._control.best_revision)
            if self.state.needs_fetch and self._control.best_revision_at:
                await self._fetch(self._control.best_revision_at)
                await asyncio.sleep(interval_s / 4)

    async def _fetch(self, instance: str) -> None:
        fetched = await self._client.fetch(
            instance,
            'peer/configuration',
            FETCH_TIMEOUT_MS,
        )
        match fetched:
            case result.Ok(body):
                try:
                    document = orjson.loads(body)
                except ValueError:
                    return
                self._take(document, instance)

    def _take(self, document: object, source: str) -> None:
        match documents.parse(document):
            case result.Ok(published):
                self._offer(published, document, source)
            case result.Err(unreadable):
                _LOG.error(
                    'object set from {0} refused: {1}',
                    source,
                    '; '.join(unreadable.messages),
                )

    def _offer(
        self,
        published: sets.PublishedSet,
        document: object,
        source: str,
    ) -> None:
        if not isinstance(self.state.offer(published), revisions.Accepted):
            return
        self._stored = orjson.dumps(document)
        self._control.revision = published.revision
        self._fleet.publish(published)
        self._events.emit(
            'configuration_in_force',
            revision=published.revision,
            publication=published.publication,
            source=source,
        )
        _LOG.info('revision {0} is in force', published.revision)
