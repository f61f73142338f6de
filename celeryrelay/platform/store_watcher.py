"""StoreWatcher of the store's items: one watch for all that a daemon follows."""

import asyncio
import enum
import random
import typing
from collections import abc

import result

from celeryrelay.adapters import json_log
from celeryrelay.gateway import catalog, interfaces
from celeryrelay.platform import store_items, store

RETRY_S = 0.1
MAX_RETRY_S = 0.8
# A daemon that has not read the store can't serve anybody and asks more often.
MAX_FIRST_RETRY_S = 0.25


class FeedState(enum.Enum):
    """Whether what the daemon knows is current."""

    unknown = 'unknown'
    following = 'following'
    lost = 'lost'


class StoreListener(typing.Protocol):
    """Takes what the feed reads."""

    def watch_pause_s(
        self, changes: abc.Sequence[catalog.StoreChange]
    ) -> float:
        """Return the time until the next watch, in seconds.

        Args:
            changes: What the last watch told.
        """

    def on_snapshot(self, items: abc.Sequence[catalog.StoreChange]) -> None:
        """Take all items of the store; others no longer exist."""

    def on_change(self, change: catalog.StoreChange) -> None:
        """Take one change."""

    def set_store_reachable(self, reachable: bool) -> None:
        """Note that the store answers, or does not."""


class StoreWatcher:
    """Task that reads the store once and then follows its events."""

    def __init__(
        self,
        client: store.StoreClient,
        follower: StoreListener,
        wait_ms: int,
    ) -> None:
        """Pass what `client` reads to `follower`."""
        self._client = client
        self._follower = follower
        self._wait_ms = wait_ms
        self._log = json_log.get('store')
        self._revision = 0
        self._state = FeedState.unknown
        self._retry_s = RETRY_S

    async def run(self) -> typing.NoReturn:
        """Follow the store until cancelled."""
        while True:
            match await self._step():
                case result.Ok(_):
                    self._note_reachable()
                case result.Err(problem):
                    self._note_lost(problem)
                    await asyncio.sleep(self._retry_s * random.uniform(0.5, 1))
                    self._retry_s = min(self._retry_s * 2, self._max_retry_s)

    @property
    def _max_retry_s(self) -> float:
        return MAX_RETRY_S if self._revision else MAX_FIRST_RETRY_S

    async def _step(self) -> result.Result[None, interfaces.StoreError]:
        if not self._revision:
            return await self._read_all()
        # After a loss a short wait shows soon whether the store is back.
        short = self._state is FeedState.lost
        match await self._client.watch(
            self._revision,
            1 if short else self._wait_ms,
        ):
            case result.Ok(store.HistoryGone(revision)):
                self._log.info('history gone, reading all', revision=revision)
                self._revision = 0
            case result.Ok(store.Events(events, revision)):
                changes = [
                    change for raw in events for change in self._decode(raw)
                ]
                for change in changes:
                    self._follower.on_change(change)
                self._revision = max(self._revision, revision)
                await asyncio.sleep(self._follower.watch_pause_s(changes))
            case result.Err(problem):
                return result.Err(problem)
        return result.Ok(None)

    async def _read_all(self) -> result.Result[None, interfaces.StoreError]:
        items: list[catalog.StoreChange] = []
        revision = 0
        after = ''
        while True:
            match await self._client.read_all(after):
                case result.Err(problem):
                    return result.Err(problem)
                case result.Ok(page):
                    # Pages are no snapshot: events since the first one follow.
                    revision = revision or page.store_revision
                    for raw in page.items:
                        items.extend(self._decode(raw))
            if not page.has_more or not page.items:
                break
            after = page.items[-1].key
        self._follower.on_snapshot(items)
        self._revision = revision
        self._log.info('store read', items=len(items), revision=revision)
        return result.Ok(None)

    def _decode(self, raw: store_items.RawItem) -> list[catalog.StoreChange]:
        match store_items.decode_change(raw):
            case result.Ok(None):
                return []
            case result.Ok(change):
                return [change]
            case result.Err(problem):
                self._log.warning('unreadable item', problem=problem)
        if raw.key.startswith(store_items.SERVER_PREFIX):
            name = raw.key.removeprefix(store_items.SERVER_PREFIX)
            return [catalog.Removed(catalog.Server, name, raw.mod_revision)]
        return []

    def _note_reachable(self) -> None:
        self._retry_s = RETRY_S
        if self._state is not FeedState.following:
            self._state = FeedState.following
            self._log.info('store reached', revision=self._revision)
            self._follower.set_store_reachable(reachable=True)

    def _note_lost(self, problem: interfaces.StoreError) -> None:
        if self._state is FeedState.following:
            self._log.warning(
                'store lost',
                problem=problem.message,
                revision=self._revision,
            )
            self._follower.set_store_reachable(reachable=False)
        self._state = FeedState.lost
