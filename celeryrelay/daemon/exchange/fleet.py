"""What this daemon knows of the fleet; owned by the control task."""

import asyncio
import contextlib
import dataclasses
from collections import abc

import result

from celeryrelay.conf import sets
from celeryrelay.core import identity, peer_messages
from celeryrelay.membership import roles
from celeryrelay.terms import records


@dataclasses.dataclass(frozen=True, slots=True)
class Stamp:
    """A reading of the store.

    Attributes:
        store: Store revision that was read.
        sent_at: Monotonic send time of the reading, in seconds.
    """

    store: int
    sent_at: float


class Fleet:
    """Object set, term records and members as last heard of.

    Attributes:
        own: Identity of this daemon.
        published: Object set in force.
        stamp: Newest reading of the store.
        entries: Term records as stored, by group.
        members: Live daemons, this one included.
        heard: Incarnations of the daemons whose heartbeats arrive, also of
            those that are leaving.
        leaving: Addresses of backend servers that are leaving.
        suspected_groups: Groups whose primary some observer can't reach.
        draining: Whether a planned stop has begun.
        version: Number that grows with each change that may move roles.
        last_change: Highest store revision of a known term record.
        settled: Whether the members may be relied on for roles. A daemon that
            has just started knows only itself and would take all of them.

    Only the control task changes it; all other tasks read it and wait for
    changes.
    """

    def __init__(self, own: identity.Identity) -> None:
        """Create the state of a daemon that knows nothing yet."""
        self.own = own
        self.published: sets.PublishedSet | None = None
        self.stamp: Stamp | None = None
        self.entries: dict[str, peer_messages.TermEntry] = {}
        self.members: tuple[identity.Identity, ...] = ()
        self.heard: frozenset[str] = frozenset()
        self.leaving: frozenset[str] = frozenset()
        self.suspected_groups: frozenset[str] = frozenset()
        self.draining = False
        self.settled = False
        self.version = 0
        self.last_change = 0
        self._holders: dict[tuple[str, str], tuple[str, ...]] = {}
        self._records: dict[str, records.TermRecord] = {}
        self._changed = asyncio.Event()

    @property
    def objects(self) -> sets.ObjectSet | None:
        """Return the objects in force, if any."""
        return self.published.object_set if self.published else None

    def record(self, group: str) -> records.TermRecord | None:
        """Return the last known term record of a group."""
        return self._records.get(group)

    def take_terms(
        self,
        entries: abc.Iterable[peer_messages.TermEntry],
        stamp: Stamp,
    ) -> list[records.TermRecord]:
        """Take changed term records and a stamp; return what changed."""
        changed = []
        for entry in entries:
            known = self.entries.get(entry.group)
            if known is not None and known.revision >= entry.revision:
                continue
            match records.parse(entry.group, entry.record):
                case result.Ok(record):
                    self.entries[entry.group] = entry
                    self.last_change = max(self.last_change, entry.revision)
                    self._records[entry.group] = record
                    changed.append(record)
        if self._is_newer(stamp):
            self.stamp = stamp
        if changed:
            self.notify()
        return changed

    def holders(self, group: str, slot: sets.Slot) -> tuple[str, ...]:
        """Return the instances that hold connections to a slot."""
        key = (group, slot.name)
        found = self._holders.get(key)
        if found is None:
            chosen = roles.holders(
                group,
                slot.name,
                slot.availability_zone,
                self.members,
            )
            found = tuple(member.instance for member in chosen)
            self._holders[key] = found
        return found

    def take_members(
        self,
        members: tuple[identity.Identity, ...],
        leaving: frozenset[str],
    ) -> bool:
        """Take the live members; return whether anything changed."""
        if members == self.members and leaving == self.leaving:
            return False
        self.members = members
        self.leaving = leaving
        self._holders.clear()
        self.notify()
        return True

    def publish(self, published: sets.PublishedSet) -> None:
        """Put an object set in force."""
        self.published = published
        self._holders.clear()
        self.notify()

    def primary(self, group: str) -> str | None:
        """Return the name of the group's primary slot, if known."""
        record = self.record(group)
        return record.primary if record else None

    def notify(self) -> None:
        """Wake all tasks that wait for a change."""
        self.version += 1
        self._changed.set()
        self._changed = asyncio.Event()

    async def wait_for_change(self, timeout_s: float) -> None:
        """Wait until something changes, at most `timeout_s` seconds."""
        changed = self._changed
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout_s):
                await changed.wait()

    def _is_newer(self, stamp: Stamp) -> bool:
        known = self.stamp
        if known is None:
            return True
        return stamp.store >= known.store and stamp.sent_at > known.sent_at
