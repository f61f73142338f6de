"""Synchronization of the object set from the store or from peers."""

import asyncio

import orjson
import result

from celeryrelay.adapters import logs, peer_client, platform_client
from celeryrelay.conf import sets, settings
from celeryrelay.configuration import revisions, stored_document
from celeryrelay.core import clock
from celeryrelay.daemon.exchange import control, fleet_state
from celeryrelay.timeline import events

CONFIGURATION_KEY = 'configuration'
# A watch that ends without a change confirms that the set in force is current.
# Two watches fit into the 5 s after which a confirmation is too old.
WATCH_TIMEOUT_MS = 2000
RETRY_S = 0.5
FETCH_TIMEOUT_MS = 2000

_LOG = logs.get('configuration')


class ConfigurationSync:
    """Puts newer object sets from the store or from a peer in force."""

    def __init__(
        self,
        fleet: fleet_state.FleetState,
        exchange: control.ControlExchange,
        store: platform_client.PlatformClient,
        client: peer_client.PeerClient,
        log: events.EventLog,
    ) -> None:
        """Create the task; `run` starts its loops."""
        self.state = revisions.RevisionState()
        self._fleet = fleet
        self._control = exchange
        self._platform = store
        self._client = client
        self._events = log
        self._clock = clock.SystemClock()
        self._stored_document: bytes | None = None

    def stored_document(self) -> bytes | None:
        """Return the set in force as the JSON document in the store."""
        return self._stored_document

    async def run(self, options: settings.ControlSettings) -> None:
        """Watch the store as a relay, and fetch newer sets from peers."""
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
            match await self._platform.watch(
                CONFIGURATION_KEY, since, WATCH_TIMEOUT_MS
            ):
                case result.Ok(changes):
                    since = max(since, changes.revision)
                    for entry in changes.entries:
                        if entry.key == CONFIGURATION_KEY:
                            self._apply_document(entry.value, 'store')
                    self.state.on_confirmation(self.state.revision, sent_at)
                case result.Err(_):
                    await asyncio.sleep(RETRY_S)

    async def _fetch_loop(self, interval_s: float) -> None:
        while True:
            await self._fleet.wait_for_change(interval_s)
            self.state.on_known_revision(self._control.highest_revision)
            if (
                self.state.needs_fetch
                and self._control.highest_revision_instance
            ):
                await self._fetch(self._control.highest_revision_instance)
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
                self._apply_document(document, instance)

    def _apply_document(self, document: object, source: str) -> None:
        match stored_document.parse(document):
            case result.Ok(published):
                self._put_in_force(published, document, source)
            case result.Err(invalid):
                _LOG.error(
                    'invalid object set from {0}: {1}',
                    source,
                    '; '.join(invalid.messages),
                )

    def _put_in_force(
        self,
        published: sets.PublishedSet,
        document: object,
        source: str,
    ) -> None:
        if not isinstance(self.state.offer(published), revisions.Accepted):
            return
        self._stored_document = orjson.dumps(document)
        self._control.revision = published.revision
        self._fleet.publish(published)
        self._events.emit(
            'configuration_in_force',
            revision=published.revision,
            publication=published.publication,
            source=source,
        )
        _LOG.info('configuration revision {0} is in force', published.revision)
