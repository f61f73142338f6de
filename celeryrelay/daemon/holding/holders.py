"""Holders of this daemon, one per slot that it holds."""

import asyncio
from collections import abc

from celeryrelay.adapters import backends
from celeryrelay.conf import sets, settings
from celeryrelay.core import clock, outcomes, peer_messages
from celeryrelay.daemon.exchange import fleet
from celeryrelay.daemon.failover import probes
from celeryrelay.daemon.holding import (
    acknowledgement,
    admission,
    answers,
    confirmation,
    holder,
    pool,
)
from celeryrelay.sessions import staleness
from celeryrelay.timeline import events

# Two holders, a third one that disagrees about the live list, two observers
# and a promoter stay within the connection limit of a slot.
CONNECTION_SHARE = 4
MAINTENANCE_S = 0.5
RELEASE_AFTER_S = 1

SlotKey = tuple[str, str]


class _Held:
    """A holder with its background tasks."""

    def __init__(
        self,
        slot_holder: holder.SlotHolder,
        slot: sets.Slot,
        group: sets.DatabaseGroup,
        known: fleet.Fleet,
    ) -> None:
        self.holder = slot_holder
        self._fleet = known
        self.slot = slot
        self.group = group
        self.wanted_at = float(0)
        self._tasks: list[asyncio.Task[None]] = []
        self._confirming: list[asyncio.Task[None]] = []

    def start(self) -> None:
        self.holder.parts.probe.on_failure = self.holder.parts.pool.suspect
        self._tasks.append(asyncio.create_task(self.holder.parts.probe.run()))
        self._tasks.append(asyncio.create_task(self._maintain()))

    def confirm(self, *, is_primary: bool) -> None:
        """Keep connections to the other slots only for the primary."""
        if is_primary and not self._confirming:
            self._confirming = [
                asyncio.create_task(confirmer.run())
                for confirmer in self.holder.parts.acknowledger.confirmers
            ]
        elif self._confirming and not is_primary:
            for task in self._confirming:
                task.cancel()
            self._confirming = []

    def stop(self) -> None:
        self.confirm(is_primary=False)
        for task in self._tasks:
            task.cancel()
        self.holder.parts.pool.close()

    async def _maintain(self) -> None:
        while True:
            await self.holder.parts.pool.maintain()
            await self.holder.expire_transactions(self._fleet.heard)
            await asyncio.sleep(MAINTENANCE_S)


class HolderTable:
    """Creates, finds and releases the holders of this daemon."""

    def __init__(
        self,
        known: fleet.Fleet,
        options: settings.Settings,
        password: str,
        log: events.EventLog,
    ) -> None:
        """Create a table without holders."""
        self._fleet = known
        self._settings = options
        self._password = password
        self._events = log
        self._clock = clock.SystemClock()
        self._held: dict[SlotKey, _Held] = {}
        self._wanted: set[SlotKey] = set()
        self._version = (-1, False)

    @property
    def holders(self) -> abc.Mapping[SlotKey, holder.SlotHolder]:
        """Return the holders by group and slot name."""
        return {key: held.holder for key, held in self._held.items()}

    @property
    def busy_transactions(self) -> int:
        """Return the number of open transactions of all holders."""
        return sum(
            len(held.holder.transactions) for held in self._held.values()
        )

    def address(
        self,
        slot: sets.Slot,
        group: sets.DatabaseGroup,
    ) -> backends.ConnectionParameters:
        """Return how to connect to a slot."""
        mapped = self._settings.address_map.get(slot.address, slot.address)
        host, _, port = mapped.rpartition(':')
        return backends.ConnectionParameters(
            host=host,
            port=int(port),
            user=self._settings.backend_user,
            password=self._password,
            schema=group.schema,
        )

    async def statement(
        self,
        request: peer_messages.StatementRequest,
    ) -> abc.AsyncGenerator[peer_messages.ResponseLine, None]:
        """Run a statement on one of this daemon's slots."""
        self._events.observe(request.clock)
        found = self._find(request.group, request.slot)
        if found is not None and self._is_leaving(found.parts.slot):
            refusal = outcomes.NotRun(
                reason=outcomes.Reason.leaving,
                message='the backend server is leaving',
                retry_after_ms=100,
            )
            if not request.transaction:
                yield peer_messages.last_line(refusal, self._events.stamp())
                return
        if found is None:
            refusal = outcomes.NotRun(
                reason=outcomes.Reason.not_holder,
                message='this instance does not hold the slot',
                retry_after_ms=50,
            )
            yield peer_messages.last_line(refusal, self._events.stamp())
            return
        async for line in found.statement(request):
            yield line

    def reconcile(self) -> None:
        """Start holders that this daemon should have and stop the others.

        Roles are derived again only after a change of the fleet.
        """
        objects = self._fleet.objects
        if objects is None:
            return
        now = self._clock.monotonic()
        version = (self._fleet.version, self._fleet.settled)
        if version != self._version:
            self._version = version
            self._wanted = {
                (group.name, slot.name)
                for group in objects.groups.values()
                for slot in group.slots
                if self._is_wanted(group, slot)
            }
            self._hold_wanted(objects)
        for key in self._wanted:
            self._held[key].wanted_at = now
        self._release(objects, now)

    def _hold_wanted(self, objects: sets.ObjectSet) -> None:
        for group_name, slot_name in self._wanted:
            group = objects.groups[group_name]
            slot = group.slot(slot_name)
            if slot is not None:
                held = self._hold(group, slot)
                primary = self._fleet.primary(group.name)
                held.confirm(is_primary=primary == slot.name)
                held.holder.parts.probe.is_primary = primary == slot.name

    def close(self) -> None:
        """Stop all holders."""
        for held in self._held.values():
            held.stop()
        self._held.clear()

    def _find(self, group_name: str, name: str) -> holder.SlotHolder | None:
        held = self._held.get((group_name, name))
        return held.holder if held else None

    def _is_wanted(self, group: sets.DatabaseGroup, slot: sets.Slot) -> bool:
        if self._is_leaving(slot) or not self._fleet.settled:
            return False
        if self._is_elsewhere(slot):
            return False
        names = self._fleet.holders(group.name, slot)
        return self._fleet.own.instance in names and not self._fleet.draining

    def _is_elsewhere(self, slot: sets.Slot) -> bool:
        """Return whether the slot's own zone has live instances for it."""
        own = self._fleet.own.availability_zone
        return slot.availability_zone != own and any(
            member.availability_zone == slot.availability_zone
            for member in self._fleet.members
        )

    def _is_leaving(self, slot: sets.Slot) -> bool:
        return slot.address in self._fleet.leaving

    def _hold(self, group: sets.DatabaseGroup, slot: sets.Slot) -> _Held:
        key = (group.name, slot.name)
        held = self._held.get(key)
        if held is not None and held.slot == slot and held.group == group:
            return held
        if held is not None:
            held.stop()
        created = _Held(self._create(group, slot), slot, group, self._fleet)
        self._held[key] = created
        created.start()
        self._events.emit('holder_started', group=group.name, slot=slot.name)
        return created

    def _release(self, objects: sets.ObjectSet, now: float) -> None:
        for key, held in tuple(self._held.items()):
            group = objects.groups.get(held.group.name)
            gone = group is None or group.slot(held.slot.name) is None
            unwanted = now - held.wanted_at > RELEASE_AFTER_S
            if (gone or unwanted) and not held.holder.transactions:
                held.stop()
                self._held.pop(key)
                self._events.emit('holder_stopped', group=key[0], slot=key[1])

    def _create(
        self,
        group: sets.DatabaseGroup,
        slot: sets.Slot,
    ) -> holder.SlotHolder:
        objects = self._fleet.objects
        policies = objects.ranks if objects else {}
        address = self.address(slot, group)
        maximum = max(group.connection_limit // CONNECTION_SHARE, 1)
        acknowledger = acknowledgement.Acknowledger(
            group,
            self._fleet,
            self._settings.terms,
            self._clock,
        )
        acknowledger.confirmers = tuple(
            confirmation.SlotConfirmer(
                other.name,
                self.address(other, group),
                self._clock,
            )
            for other in group.slots
            if other.name != slot.name
        )
        parts = answers.HolderParts(
            slot=slot,
            group=group,
            pool=pool.Pool(
                address,
                pool.PoolLimits(maximum),
                self._settings.statements,
                self._clock,
            ),
            admission=admission.Admission(policies, maximum, self._clock),
            probe=probes.SlotProbe(
                address,
                self._settings.terms,
                self._clock,
                self._fleet.own,
            ),
            acknowledger=acknowledger,
            age=staleness.ReplicaAgeEstimator(),
        )
        return holder.SlotHolder(parts, self._settings.statements, self._clock)
