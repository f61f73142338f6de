"""Transfer of account batches to the relays, and from relays to the store."""

import asyncio
import contextlib
import random

import orjson
import pydantic
import result

from celeryrelay.accounting import (
    batches,
    outbox,
    pending_parts,
    relaying,
    sequences,
)
from celeryrelay.adapters import logs, peer_client, platform_client
from celeryrelay.conf import settings
from celeryrelay.core import clock
from celeryrelay.daemon.exchange import control, fleet_state
from celeryrelay.membership import roles

SEND_TIMEOUT_MS = 1000
MAX_STORE_CALLS = 6
# Time limits of a planned stop for sending and storing its batches. Batches
# that are not stored by then are left to the relays; if those stop as well, the
# account report shows a gap.
CLOSE_SEND_S = 1
CLOSE_STORE_S = 3
CLOSE_RETRY_S = 0.05
_MS_PER_S = 1000

_LOG = logs.get('account')
_RANGES = pydantic.TypeAdapter(sequences.Ranges)


class BatchRelay:
    """Sends own batches to relays; as a relay, stores received batches."""

    def __init__(
        self,
        builder: batches.BatchBuilder,
        fleet: fleet_state.FleetState,
        exchange: control.ControlExchange,
        store: platform_client.PlatformClient,
        client: peer_client.PeerClient,
    ) -> None:
        """Create the task; `run` starts its loop."""
        self.outbox = outbox.Outbox()
        self._builder = builder
        self._fleet = fleet
        self._control = exchange
        self._platform = store
        self._client = client
        self._clock = clock.SystemClock()
        self._relay_books: dict[str, relaying.AccountWriter] = {}

    async def run(self, options: settings.AccountSettings) -> None:
        """Send and store batches until cancelled."""
        interval_s = options.flush_interval_ms / _MS_PER_S
        while True:
            spread = random.uniform(0.9, 1.1)  # noqa: S311 (no secret)
            await asyncio.sleep(interval_s * spread)
            await self.flush()

    async def flush(self) -> None:
        """Cut a batch, send the due batches and store the received ones."""
        batch = self._builder.take_batch(self._clock.wall())
        if batch is not None:
            self.outbox.add(batch)
        await self._send_due()
        await self._store_pending()

    async def close(self) -> None:
        """Send and store the last batch during a planned stop.

        The relays may be stopping as well, so this daemon also stores its
        unconfirmed batches itself. A batch that is stored twice counts once.
        """
        self.outbox.add(self._builder.close(self._clock.wall()))
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(CLOSE_SEND_S):
                await self._send_due()
        for batch in self.outbox.unconfirmed():
            self._accept(batch)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(CLOSE_STORE_S):
                await self._store_until_empty()

    def receive_batch(self, body: bytes) -> result.Result[bytes, str]:
        """Accept a batch; return which batches of its source are stored."""
        return batches.Batch.parse(body).map(self._accept)

    def _accept(self, batch: batches.Batch) -> bytes:
        book = self._relay_book(batch.deployment)
        offered = book.offer(batch)
        if offered not in _ACCEPTED_OFFERS:
            _LOG.warning(
                'account batch of {0} not accepted: {1}',
                batch.source,
                offered.value,
            )
        return orjson.dumps(book.stored_sequences(batch.source))

    def _relay_book(self, deployment: str) -> relaying.AccountWriter:
        return self._relay_books.setdefault(
            deployment,
            relaying.AccountWriter(deployment),
        )

    async def _send_due(self) -> None:
        own = self._fleet.own
        relays = roles.relays(own.availability_zone, self._fleet.members)
        for relay in relays:
            due = self.outbox.take_due(relay.instance, self._clock.monotonic())
            for batch in due:
                await self._send(relay.instance, batch)

    async def _send(self, relay: str, batch: batches.Batch) -> None:
        if relay == self._fleet.own.instance:
            self._confirm(self._accept(batch))
            return
        answered = await self._client.call(
            relay,
            'peer/account',
            batch.dump(),
            SEND_TIMEOUT_MS,
        )
        match answered:
            case result.Ok(body):
                self._confirm(body)

    def _confirm(self, body: bytes) -> None:
        try:
            stored = _RANGES.validate_json(body)
        except pydantic.ValidationError:
            return
        self.outbox.confirm(stored)

    async def _store_until_empty(self) -> None:
        await self._store_pending()
        while any(book.pending_bytes for book in self._relay_books.values()):
            await asyncio.sleep(CLOSE_RETRY_S)
            await self._store_pending()

    async def _store_pending(self) -> None:
        for book in self._relay_books.values():
            command = book.begin_flush()
            for _ in range(MAX_STORE_CALLS):
                if command is None:
                    break
                command = await self._execute(book, command)
            else:
                book.on_failure()

    async def _execute(
        self,
        book: relaying.AccountWriter,
        command: relaying.Command,
    ) -> relaying.Command | None:
        match command:
            case relaying.Read(key=key):
                return _after_read(book, await self._platform.get(key))
            case relaying.Write():
                written = await self._platform.put(
                    command.key,
                    command.value,
                    command.expected,
                )
                return _after_write(book, written)


_ACCEPTED_OFFERS = frozenset(
    (
        pending_parts.OfferResult.accepted,
        pending_parts.OfferResult.already_stored,
    )
)


def _after_read(
    book: relaying.AccountWriter,
    found: result.Result[
        platform_client.Entry, platform_client.PlatformFailure
    ],
) -> relaying.Command | None:
    match found:
        case result.Ok(entry):
            return book.on_read(entry.value, entry.revision)
        case result.Err(platform_client.KeyNotFound()):
            return book.on_read(None, 0)
    book.on_failure()
    return None


def _after_write(
    book: relaying.AccountWriter,
    written: result.Result[
        platform_client.PutResult, platform_client.PlatformFailure
    ],
) -> relaying.Command | None:
    match written:
        case result.Ok(_):
            book.on_written()
        case result.Err(platform_client.Conflict(entry)):
            return book.on_read(entry.value, entry.revision)
        case _:
            book.on_failure()
    return None
