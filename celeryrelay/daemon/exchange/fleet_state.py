"""What this daemon knows of the fleet: objects, term records and members."""

import asyncio
import contextlib
import dataclasses
from collections import abc

import result

from celeryrelay.conf import sets
from celeryrelay.core import identity, peer_messages
from celeryrelay.membership import roles
from celeryrelay.terms import term_records


@dataclasses.dataclass(frozen=True, slots=True)
class StoreReading:
    """A read of the term records from the store by a relay.

    Attributes:
        revision: Store revision at which the records were read.
        sent_at: Monotonic time in seconds before the read was sent.
    """

    revision: int
    sent_at: float


class FleetState:
    """Object set, term records and members as this daemon last saw them.

    Attributes:
        own: Identity of this daemon.
        published: Object set in force.
        store_reading: Newest read of the store, this daemon's or a relay's.
        term_entries: Term records as stored, by group.
        members: Live daemons, this one included.
        live_incarnations: Incarnations of the daemons whose heartbeats arrive,
            including those that are leaving.
        leaving_server_addresses: Addresses of backend servers that are leaving.
        suspected_groups: Groups whose primary an observer can't reach.
        draining: Whether a planned stop has begun.
        change_count: Number of changes so far; roles may depend on each.
        newest_term_revision: Highest store revision of a term record.
        members_settled: Whether roles may be derived from the members. A
            daemon that has just started knows only itself and would take all
            roles.

    The control exchange, the configuration sync, failovers and a planned stop
    change it; all other tasks read it and wait for changes.
    """

    def __init__(self, own: identity.Identity) -> None:
        """Create the state of a daemon before its first exchange."""
        self.own = own
        self.published: sets.PublishedSet | None = None
        self.store_reading: StoreReading | None = None
        self.term_entries: dict[str, peer_messages.TermEntry] = {}
        self.members: tuple[identity.Identity, ...] = ()
        self.live_incarnations: frozenset[str] = frozenset()
        self.leaving_server_addresses: frozenset[str] = frozenset()
        self.suspected_groups: frozenset[str] = frozenset()
        self.draining = False
        self.members_settled = False
        self.change_count = 0
        self.newest_term_revision = 0
        self._holders: dict[tuple[str, str], tuple[str, ...]] = {}
        self._records: dict[str, term_records.TermRecord] = {}
        self._changed = asyncio.Event()

    @property
    def objects(self) -> sets.ObjectSet | None:
        """Return the objects in force, if any."""
        return self.published.object_set if self.published else None

    def record(self, group: str) -> term_records.TermRecord | None:
        """Return the last known term record of a group."""
        return self._records.get(group)

    def apply_terms(
        self,
        entries: abc.Iterable[peer_messages.TermEntry],
        reading: StoreReading,
    ) -> list[term_records.TermRecord]:
        """Apply a store reading; return the term records that changed."""
        changed = []
        for entry in entries:
            known = self.term_entries.get(entry.group)
            if known is not None and known.revision >= entry.revision:
                continue
            match term_records.parse(entry.group, entry.record):
                case result.Ok(record):
                    self.term_entries[entry.group] = entry
                    self.newest_term_revision = max(
                        self.newest_term_revision, entry.revision
                    )
                    self._records[entry.group] = record
                    changed.append(record)
        if self._is_newer(reading):
            self.store_reading = reading
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

    def apply_members(
        self,
        members: tuple[identity.Identity, ...],
        leaving_server_addresses: frozenset[str],
    ) -> bool:
        """Apply the live members and leaving servers; return if any changed."""
        if (
            members == self.members
            and leaving_server_addresses == self.leaving_server_addresses
        ):
            return False
        self.members = members
        self.leaving_server_addresses = leaving_server_addresses
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
        self.change_count += 1
        self._changed.set()
        self._changed = asyncio.Event()

    async def wait_for_change(self, timeout_s: float) -> None:
        """Wait until something changes, at most `timeout_s` seconds."""
        changed = self._changed
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout_s):
                await changed.wait()

    def _is_newer(self, reading: StoreReading) -> bool:
        known = self.store_reading
        if known is None:
            return True
        return (
            reading.revision >= known.revision
            and reading.sent_at > known.sent_at
        )
