"""Watcher of the store: a single watch covers all items of a daemon."""

import asyncio
import enum
import random
import typing
from collections import abc

import result

from celeryrelay.adapters import json_log
from celeryrelay.core import clock as clocks
from celeryrelay.gateway import catalog, interfaces
from celeryrelay.platform import store, store_items, store_revisions

MIN_RETRY_DELAY_S = 0.1
MAX_RETRY_DELAY_S = 0.8
# Pause after an answer that came sooner and brought nothing new.
NO_PROGRESS_PAUSE_S = 0.1
# Until a daemon has read the store it can't serve callers, so it retries more
# often.
MAX_STARTUP_RETRY_DELAY_S = 0.25


class WatchState(enum.Enum):
    """Whether the daemon follows the changes of the store.

    Attributes:
        unknown: No call to the store has returned yet.
        following: The last call succeeded.
        lost: The last call failed.
    """

    unknown = 'unknown'
    following = 'following'
    lost = 'lost'


class StoreListener(typing.Protocol):
    """Receives the items and changes that the watcher reads."""

    def watch_pause_s(
        self, changes: abc.Sequence[catalog.StoreChange]
    ) -> float:
        """Return the time until the next watch, in seconds.

        Args:
            changes: Changes that the last watch returned.
        """

    def on_snapshot(
        self, items: abc.Sequence[catalog.StoreChange], sent_at: float
    ) -> None:
        """Replace all known items by `items`, which are all that exist.

        Args:
            items: The items.
            sent_at: Time in seconds at which the read began.
        """

    def on_store_restored(self) -> None:
        """Prepare for items of a store that was restored from an older copy.

        The next snapshot may lack what was written after the copy was made, and
        may hold older versions of items.
        """

    def on_change(self, change: catalog.StoreChange) -> None:
        """Apply a change."""

    def set_store_reachable(self, reachable: bool) -> None:
        """Record whether the store is reachable."""


class StoreWatcher:
    """Task that reads all items of the store and then watches for changes."""

    def __init__(
        self,
        client: store.StoreClient,
        listener: StoreListener,
        wait_ms: int,
        clock: clocks.Clock,
    ) -> None:
        """Pass what `client` reads to `listener`.

        Args:
            client: Client of the store.
            listener: Receiver of the items and changes.
            wait_ms: Time for which the store may hold a watch without events.
            clock: Source of the time at which a read began.
        """
        self._client = client
        self._listener = listener
        self._wait_ms = wait_ms
        self._clock = clock
        self._log = json_log.get('store')
        self._revision = 0
        self._era = 0
        self._state = WatchState.unknown
        self._retry_delay_s = MIN_RETRY_DELAY_S

    async def run(self) -> typing.NoReturn:
        """Watch the store until the task is cancelled."""
        clock = asyncio.get_running_loop().time
        while True:
            begun = clock()
            before = self._revision
            match await self._read_or_watch():
                case result.Ok(_):
                    self._on_reachable()
                    is_held = clock() - begun >= NO_PROGRESS_PAUSE_S
                    if self._revision <= before and not is_held:
                        await asyncio.sleep(NO_PROGRESS_PAUSE_S)
                case result.Err(problem):
                    self._on_unreachable(problem)
                    await asyncio.sleep(
                        self._retry_delay_s * random.uniform(0.5, 1)
                    )
                    self._retry_delay_s = min(
                        self._retry_delay_s * 2, self._max_retry_delay_s
                    )

    @property
    def _max_retry_delay_s(self) -> float:
        return (
            MAX_RETRY_DELAY_S if self._revision else MAX_STARTUP_RETRY_DELAY_S
        )

    async def _read_or_watch(
        self,
    ) -> result.Result[None, interfaces.StoreError]:
        if not self._revision:
            return await self._read_all()
        # After a failure, a watch that returns at once shows without delay
        # whether the store is reachable again.
        short = self._state is WatchState.lost
        match await self._client.watch(
            self._revision,
            1 if short else self._wait_ms,
        ):
            case result.Ok(store.HistoryGone(revision)):
                if self._client.era != self._era:
                    self._era = self._client.era
                    self._listener.on_store_restored()
                self._log.info(
                    'history no longer in the store, reading all items',
                    revision=revision,
                )
                self._revision = 0
            case result.Ok(store.Events(events, revision)):
                changes = [
                    change for raw in events for change in self._decode(raw)
                ]
                for change in changes:
                    self._pass_on(change)
                # Changes that were made while the store was answering may be
                # missing, although its revision includes them.
                newest = max((raw.mod_revision for raw in events), default=0)
                self._revision = max(self._revision, newest or revision)
                await asyncio.sleep(self._listener.watch_pause_s(changes))
            case result.Err(problem):
                return result.Err(problem)
        return result.Ok(None)

    async def _read_all(self) -> result.Result[None, interfaces.StoreError]:
        items: list[catalog.StoreChange] = []
        sent_at = self._clock.monotonic()
        revision = 0
        after = ''
        seen = {after}
        while True:
            match await self._client.read_all(after):
                case result.Err(problem):
                    return result.Err(problem)
                case result.Ok(page):
                    # The pages are no consistent snapshot. The watch starts at
                    # the revision of the first one, so that it returns all
                    # changes made while the others were read.
                    revision = revision or page.store_revision
                    for raw in page.items:
                        items.extend(self._decode(raw))
            if not page.has_more:
                break
            after = page.items[-1].key if page.items else ''
            if after in seen:
                return result.Err(
                    interfaces.StoreError('the same page was read twice')
                )
            seen.add(after)
        self._listener.on_snapshot(items, sent_at)
        self._revision = revision
        self._era = store_revisions.unpack(revision).era
        self._log.info(
            'all items read from the store',
            items=len(items),
            revision=revision,
        )
        return result.Ok(None)

    def _decode(self, raw: store_items.RawItem) -> list[catalog.StoreChange]:
        match store_items.decode_change(raw):
            case result.Ok(None):
                return []
            case result.Ok(change):
                return [change]
            case result.Err(problem):
                self._log.warning(
                    'malformed item in the store', problem=problem
                )
        if raw.key.startswith(store_items.SERVER_PREFIX):
            name = raw.key.removeprefix(store_items.SERVER_PREFIX)
            return [catalog.Removed(catalog.Server, name, raw.mod_revision)]
        return []

    def _pass_on(self, change: catalog.StoreChange) -> None:
        """Apply a change; an unexpected error does not hide later changes."""
        try:
            self._listener.on_change(change)
        except Exception as error:
            self._log.error(
                'change of the store not applied',
                change=repr(change),
                error=repr(error),
                exc_info=True,
            )

    def _on_reachable(self) -> None:
        self._retry_delay_s = MIN_RETRY_DELAY_S
        if self._state is not WatchState.following:
            self._state = WatchState.following
            self._log.info('store is reachable', revision=self._revision)
            self._listener.set_store_reachable(reachable=True)

    def _on_unreachable(self, problem: interfaces.StoreError) -> None:
        if self._state is WatchState.following:
            self._log.warning(
                'store is unreachable',
                problem=problem.message,
                revision=self._revision,
            )
            self._listener.set_store_reachable(reachable=False)
        self._state = WatchState.lost
