"""Items, revisions, history and leases."""

import asyncio
import dataclasses
import itertools
import time
import typing

Item = dict[str, typing.Any]


@dataclasses.dataclass(slots=True)
class Lease:
    """A lease with its end on the monotonic clock, in seconds."""

    ttl_ms: int
    ends_at: float


class Store:
    """A linearizable store with one revision counter."""

    def __init__(self) -> None:
        """Start empty at revision 1."""
        self.revision = 1
        self.first_revision = 1
        self.items: dict[str, Item] = {}
        self.history: list[Item] = []
        self.leases: dict[int, Lease] = {}
        self.changed = asyncio.Event()
        self._ids = itertools.count(7000)

    def put(self, key: str, content: str, lease: int = 0) -> int:
        """Write an item whose value is base64 text."""
        self.revision += 1
        created = self.items.get(key, {}).get('created', self.revision)
        item = {
            'key': key,
            'value': content,
            'mod_revision': self.revision,
            'created': created,
            'lease': lease,
        }
        self.items[key] = item
        self._publish(item)
        return self.revision

    def delete(self, key: str) -> int:
        """Remove an item."""
        if self.items.pop(key, None) is not None:
            self.revision += 1
            event = {
                'key': key,
                'mod_revision': self.revision,
                'removed': True,
            }
            self._publish(event)
        return self.revision

    def compact(self) -> None:
        """Forget the history."""
        self.history.clear()
        self.first_revision = self.revision
        self._wake()

    def new_lease(self, ttl_ms: int) -> int:
        """Return the id of a new lease."""
        lease = next(self._ids)
        self.leases[lease] = Lease(ttl_ms, time.monotonic() + ttl_ms / 1000)
        return lease

    def end_lease(self, lease: int) -> bool:
        """End a lease and remove its items."""
        found = self.leases.pop(lease, None)
        for key, item in tuple(self.items.items()):
            if item['lease'] == lease:
                self.delete(key)
        return found is not None

    def expire(self) -> None:
        """End the leases whose time has passed."""
        now = time.monotonic()
        for lease, found in tuple(self.leases.items()):
            if found.ends_at < now:
                self.end_lease(lease)

    def _publish(self, event: Item) -> None:
        self.history.append(event)
        self._wake()

    def _wake(self) -> None:
        self.changed.set()
        self.changed = asyncio.Event()
