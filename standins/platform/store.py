"""In-memory key-value store with revisions, leases and watches."""

import asyncio
import contextlib
import dataclasses
import typing

Value = typing.Any

MILLISECONDS = 1000


@dataclasses.dataclass(frozen=True, slots=True)
class Entry:
    """State of a key, also after its deletion.

    Attributes:
        key: The key.
        value: JSON value; None after a deletion.
        revision: Revision of the last change, unique over all keys.
        lease: Lease at whose end the key is deleted; empty for none.
        deleted: Whether the key was deleted.
    """

    key: str
    value: Value
    revision: int
    lease: str = ''
    deleted: bool = False

    def as_json(self) -> dict[str, typing.Any]:
        """Return the entry as it appears in API responses."""
        return {
            'key': self.key,
            'value': self.value,
            'revision': self.revision,
        }


class Store:
    """Keys and leases, and notification of watches.

    Attributes:
        revision: Revision of the last change.
    """

    def __init__(self) -> None:
        """Create an empty store."""
        self.revision = 0
        self._entries: dict[str, Entry] = {}
        self._leases: dict[str, tuple[float, asyncio.TimerHandle]] = {}
        self._lease_count = 0
        self._changed = asyncio.Event()

    def get(self, key: str) -> Entry | None:
        """Return the entry of a key, or None if it is absent or deleted."""
        entry = self._entries.get(key)
        return None if entry is None or entry.deleted else entry

    def put(self, key: str, value: Value, lease: str = '') -> Entry:
        """Set a key, with a new revision, and return its entry."""
        self.revision += 1
        self._entries[key] = Entry(key, value, self.revision, lease)
        self.wake_watches()
        return self._entries[key]

    def delete(self, key: str) -> None:
        """Delete a key; watches get its entry with the value null."""
        self.put(key, None)
        self._entries[key] = dataclasses.replace(
            self._entries[key],
            deleted=True,
        )

    def changed_entries(self, prefix: str, since: int) -> list[Entry]:
        """Return entries changed after revision `since`, by revision.

        Includes deletions, except for `since` 0, which returns all present
        entries.
        """
        return sorted(
            (
                entry
                for entry in self._entries.values()
                if entry.key.startswith(prefix)
                and entry.revision > since
                and (since > 0 or not entry.deleted)
            ),
            key=lambda entry: entry.revision,
        )

    async def wait_for_change(self, timeout_s: float) -> None:
        """Wait for a change or `wake_watches`, at most `timeout_s` seconds."""
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(self._changed.wait(), timeout_s)

    def wake_watches(self) -> None:
        """Wake all waiting watches."""
        self._changed.set()
        self._changed = asyncio.Event()

    def grant_lease(self, ttl_ms: float) -> str:
        """Return a new lease that ends after `ttl_ms` unless renewed."""
        self._lease_count += 1
        lease = f'lease-{self._lease_count}'
        self._schedule_expiry(lease, ttl_ms)
        return lease

    def renew_lease(self, lease: str) -> bool:
        """Restart the time to live of a lease; return False if it has ended."""
        if lease not in self._leases:
            return False
        ttl_ms, timer = self._leases[lease]
        timer.cancel()
        self._schedule_expiry(lease, ttl_ms)
        return True

    def has_lease(self, lease: str) -> bool:
        """Return whether a lease exists and has not ended."""
        return lease in self._leases

    def end_lease(self, lease: str) -> bool:
        """End a lease and delete its keys; return False if it had ended."""
        if lease not in self._leases:
            return False
        self._leases.pop(lease)[1].cancel()
        for entry in tuple(self._entries.values()):
            if entry.lease == lease and not entry.deleted:
                self.delete(entry.key)
        return True

    def _schedule_expiry(self, lease: str, ttl_ms: float) -> None:
        timer = asyncio.get_running_loop().call_later(
            ttl_ms / MILLISECONDS,
            self.end_lease,
            lease,
        )
        self._leases[lease] = (ttl_ms, timer)
