"""Table of the slot holders that this daemon runs."""

import asyncio
from collections import abc

from celeryrelay.adapters import backends
from celeryrelay.conf import sets, settings
from celeryrelay.core import clock, outcomes, peer_messages
from celeryrelay.daemon.exchange import fleet_state
from celeryrelay.daemon.failover import probes
from celeryrelay.daemon.holding import (
    acknowledgement,
    admission,
    confirmation,
    holder,
    pool,
    responses,
)
from celeryrelay.sessions import staleness
from celeryrelay.timeline import events

# A holder uses the connection limit of its slot divided by this. Two holders,
# a third one whose live view differs, two observers and a promoter together
# stay within the limit.
CONNECTION_LIMIT_DIVISOR = 4
MAINTENANCE_S = 0.5
RELEASE_AFTER_S = 1

SlotKey = tuple[str, str]


class _RunningHolder:
    """A holder with its probe, maintenance and confirmer tasks."""

    def __init__(
        self,
        slot_holder: holder.SlotHolder,
        slot: sets.Slot,
        group: sets.DatabaseGroup,
        fleet: fleet_state.FleetState,
    ) -> None:
        self.holder = slot_holder
        self._fleet = fleet
        self.slot = slot
        self.group = group
        self.wanted_at = float(0)
        self._tasks: list[asyncio.Task[None]] = []
        self._confirmer_tasks: list[asyncio.Task[None]] = []

    def start(self) -> None:
        self.holder.resources.probe.on_failure = (
            self.holder.resources.pool.check_before_reuse
        )
        self._tasks.append(
            asyncio.create_task(self.holder.resources.probe.run())
        )
        self._tasks.append(asyncio.create_task(self._maintain()))

    def set_primary(self, *, is_primary: bool) -> None:
        """Run the confirmers of the other slots while this is the primary."""
        if is_primary and not self._confirmer_tasks:
            self._confirmer_tasks = [
                asyncio.create_task(confirmer.run())
                for confirmer in self.holder.resources.acknowledger.confirmers
            ]
        elif self._confirmer_tasks and not is_primary:
            for task in self._confirmer_tasks:
                task.cancel()
            self._confirmer_tasks = []

    def stop(self) -> None:
        self.set_primary(is_primary=False)
        for task in self._tasks:
            task.cancel()
        self.holder.resources.pool.close()

    async def _maintain(self) -> None:
        while True:
            await self.holder.resources.pool.maintain()
            await self.holder.expire_transactions(self._fleet.live_incarnations)
            await asyncio.sleep(MAINTENANCE_S)


class HolderTable:
    """Starts, finds and stops the holders of this daemon."""

    def __init__(
        self,
        fleet: fleet_state.FleetState,
        options: settings.Settings,
        password: str,
        log: events.EventLog,
    ) -> None:
        """Create a table without holders."""
        self._fleet = fleet
        self._settings = options
        self._password = password
        self._events = log
        self._clock = clock.SystemClock()
        self._running: dict[SlotKey, _RunningHolder] = {}
        self._wanted: set[SlotKey] = set()
        self._reconciled_version = (-1, False)

    @property
    def holders(self) -> abc.Mapping[SlotKey, holder.SlotHolder]:
        """Return the holders by group and slot name."""
        return {key: held.holder for key, held in self._running.items()}

    @property
    def open_transactions(self) -> int:
        """Return the number of open transactions of all holders."""
        return sum(
            len(held.holder.transactions) for held in self._running.values()
        )

    def address(
        self,
        slot: sets.Slot,
        group: sets.DatabaseGroup,
    ) -> backends.ConnectionParameters:
        """Return the connection parameters of a slot, its address mapped."""
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
        self._events.observe_clock(request.clock)
        found = self._find(request.group, request.slot)
        if found is not None and self._is_leaving(found.resources.slot):
            refusal = outcomes.NotRun(
                reason=outcomes.Reason.leaving,
                message='the backend server is being taken out of service',
                retry_after_ms=100,
            )
            if not request.transaction:
                yield peer_messages.last_line(
                    refusal, self._events.advance_clock()
                )
                return
        if found is None:
            refusal = outcomes.NotRun(
                reason=outcomes.Reason.not_holder,
                message='this instance holds no connections to the slot',
                retry_after_ms=50,
            )
            yield peer_messages.last_line(refusal, self._events.advance_clock())
            return
        async for line in found.statement(request):
            yield line

    def reconcile(self) -> None:
        """Start holders for the slots assigned to this daemon and stop others.

        Assignments are recomputed only after a change of the fleet state.
        """
        objects = self._fleet.objects
        if objects is None:
            return
        now = self._clock.monotonic()
        version = (self._fleet.change_count, self._fleet.members_settled)
        if version != self._reconciled_version:
            self._reconciled_version = version
            self._wanted = {
                (group.name, slot.name)
                for group in objects.groups.values()
                for slot in group.slots
                if self._is_wanted(group, slot)
            }
            self._start_wanted(objects)
        for key in self._wanted:
            self._running[key].wanted_at = now
        self._stop_unwanted(objects, now)

    def _start_wanted(self, objects: sets.ObjectSet) -> None:
        for group_name, slot_name in self._wanted:
            group = objects.groups[group_name]
            slot = group.slot(slot_name)
            if slot is not None:
                held = self._ensure_holder(group, slot)
                primary = self._fleet.primary(group.name)
                held.set_primary(is_primary=primary == slot.name)
                held.holder.resources.probe.is_primary = primary == slot.name

    def close(self) -> None:
        """Stop all holders."""
        for held in self._running.values():
            held.stop()
        self._running.clear()

    def _find(self, group_name: str, name: str) -> holder.SlotHolder | None:
        held = self._running.get((group_name, name))
        return held.holder if held else None

    def _is_wanted(self, group: sets.DatabaseGroup, slot: sets.Slot) -> bool:
        if self._is_leaving(slot) or not self._fleet.members_settled:
            return False
        if self._is_served_in_own_zone(slot):
            return False
        names = self._fleet.holders(group.name, slot)
        return self._fleet.own.instance in names and not self._fleet.draining

    def _is_served_in_own_zone(self, slot: sets.Slot) -> bool:
        """Return whether the slot is in another zone with live instances."""
        own = self._fleet.own.availability_zone
        return slot.availability_zone != own and any(
            member.availability_zone == slot.availability_zone
            for member in self._fleet.members
        )

    def _is_leaving(self, slot: sets.Slot) -> bool:
        return slot.address in self._fleet.leaving_server_addresses

    def _ensure_holder(
        self, group: sets.DatabaseGroup, slot: sets.Slot
    ) -> _RunningHolder:
        key = (group.name, slot.name)
        held = self._running.get(key)
        if held is not None and held.slot == slot and held.group == group:
            return held
        if held is not None:
            held.stop()
        created = _RunningHolder(
            self._create_holder(group, slot), slot, group, self._fleet
        )
        self._running[key] = created
        created.start()
        self._events.emit('holder_started', group=group.name, slot=slot.name)
        return created

    def _stop_unwanted(self, objects: sets.ObjectSet, now: float) -> None:
        for key, held in tuple(self._running.items()):
            group = objects.groups.get(held.group.name)
            gone = group is None or group.slot(held.slot.name) is None
            unwanted = now - held.wanted_at > RELEASE_AFTER_S
            if (gone or unwanted) and not held.holder.transactions:
                held.stop()
                self._running.pop(key)
                self._events.emit('holder_stopped', group=key[0], slot=key[1])

    def _create_holder(
        self,
        group: sets.DatabaseGroup,
        slot: sets.Slot,
    ) -> holder.SlotHolder:
        objects = self._fleet.objects
        policies = objects.ranks if objects else {}
        address = self.address(slot, group)
        maximum = max(group.connection_limit // CONNECTION_LIMIT_DIVISOR, 1)
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
        resources = responses.SlotResources(
            slot=slot,
            group=group,
            pool=pool.ConnectionPool(
                address,
                pool.PoolLimits(maximum),
                self._settings.statements,
                self._clock,
            ),
            admission=admission.SlotAdmission(policies, maximum, self._clock),
            probe=probes.SlotProbe(
                address,
                self._settings.terms,
                self._clock,
                self._fleet.own,
            ),
            acknowledger=acknowledger,
            age=staleness.ReplicaAgeEstimator(),
        )
        return holder.SlotHolder(
            resources, self._settings.statements, self._clock
        )
