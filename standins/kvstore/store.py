"""In-memory key-value store with revisions, change history and leases."""

import asyncio
import dataclasses
import itertools
import time
import typing

Item = dict[str, typing.Any]


@dataclasses.dataclass(slots=True)
class Lease:
    """Store lease; `expires_at` is monotonic time in seconds."""

    ttl_ms: int
    expires_at: float


@dataclasses.dataclass(frozen=True, slots=True)
class StoreCopy:
    """Copy of the state of a store."""

    revision: int
    first_revision: int
    items: dict[str, Item]
    history: list[Item]
    leases: dict[int, Lease]


class Store:
    """Store with one revision counter for all keys.

    Attributes:
        revision: Revision of the last change.
        first_revision: Lowest revision after which watches can start; changes
            up to it have been compacted.
        items: Present items by key.
        history: Changes after `first_revision`, in order.
        leases: Store leases that have not ended, by id.
        changed: Set at the next change, then replaced.
        era: Number of times that the store was restored from a copy.
    """

    def __init__(self) -> None:
        """Create an empty store at revision 1."""
        self.revision = 1
        self.first_revision = 1
        self.items: dict[str, Item] = {}
        self.history: list[Item] = []
        self.leases: dict[int, Lease] = {}
        self.changed = asyncio.Event()
        self.era = 0
        self._lease_ids = itertools.count(7000)

    def put(self, key: str, encoded_value: str, lease: int = 0) -> int:
        """Write an item with a base64 value and return the new revision."""
        self.revision += 1
        created = self.items.get(key, {}).get('created', self.revision)
        item = {
            'key': key,
            'value': encoded_value,
            'mod_revision': self.revision,
            'created': created,
            'lease': lease,
        }
        self.items[key] = item
        self._record_event(item)
        return self.revision

    def delete(self, key: str) -> int:
        """Remove an item if it exists and return the revision."""
        if self.items.pop(key, None) is not None:
            self.revision += 1
            event = {
                'key': key,
                'mod_revision': self.revision,
                'removed': True,
            }
            self._record_event(event)
        return self.revision

    def compact(self) -> None:
        """Drop the history, so watches from older revisions fail."""
        self.history.clear()
        self.first_revision = self.revision
        self._notify_watches()

    def copy(self) -> 'StoreCopy':
        """Return a copy of the present state."""
        return StoreCopy(
            self.revision,
            self.first_revision,
            dict(self.items),
            list(self.history),
            dict(self.leases),
        )

    def restore(self, backup: 'StoreCopy', kept: tuple[str, ...]) -> None:
        """Replace the state by a copy and start a new era.

        Args:
            backup: The copy.
            kept: Key prefixes of the items that others write again after the
                restoration.
        """
        rewritten = [
            item for key, item in self.items.items() if key.startswith(kept)
        ]
        self.era += 1
        self.revision = backup.revision
        self.first_revision = backup.first_revision
        self.items = dict(backup.items)
        self.history = list(backup.history)
        self.leases = dict(backup.leases)
        for item in rewritten:
            self.put(item['key'], item['value'])
        self._notify_watches()

    def grant_lease(self, ttl_ms: int) -> int:
        """Grant a lease and return its id."""
        lease = next(self._lease_ids)
        self.leases[lease] = Lease(ttl_ms, time.monotonic() + ttl_ms / 1000)
        return lease

    def end_lease(self, lease: int) -> bool:
        """End a lease and remove its items; return whether it existed."""
        found = self.leases.pop(lease, None)
        for key, item in tuple(self.items.items()):
            if item['lease'] == lease:
                self.delete(key)
        return found is not None

    def expire(self) -> None:
        """End the leases that have expired."""
        now = time.monotonic()
        for lease, found in tuple(self.leases.items()):
            if found.expires_at < now:
                self.end_lease(lease)

    def _record_event(self, event: Item) -> None:
        self.history.append(event)
        self._notify_watches()

    def _notify_watches(self) -> None:
        self.changed.set()
        self.changed = asyncio.Event()
