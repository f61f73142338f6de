"""Observation of primaries and repair of slots that follow nobody."""

import asyncio

import result

from celeryrelay.adapters import backends, logs
from celeryrelay.conf import sets, settings
from celeryrelay.core import clock, peer_messages
from celeryrelay.daemon.exchange import fleet
from celeryrelay.daemon.failover import evidence, probes
from celeryrelay.daemon.holding import holders
from celeryrelay.membership import roles
from celeryrelay.terms import records
from celeryrelay.timeline import events

FOLLOW_TIMEOUT_MS = 2000
RECONCILE_S = 0.1
REPAIR_INTERVAL_S = 1
_MS_PER_S = 1000

_LOG = logs.get('observer')


class Observer:
    """Keeps probes on the primaries that this daemon observes."""

    def __init__(
        self,
        known: fleet.Fleet,
        table: holders.HolderTable,
        found: evidence.EvidenceTable,
        options: settings.Settings,
        log: events.EventLog,
    ) -> None:
        """Create an observer without probes."""
        self._fleet = known
        self._table = table
        self._evidence = found
        self._settings = options
        self._events = log
        self._clock = clock.SystemClock()
        self._probes: dict[tuple[str, str], probes.SlotProbe] = {}
        self._tasks: dict[tuple[str, str], asyncio.Task[None]] = {}
        self._repaired_at: dict[tuple[str, str], float] = {}
        self._silent: set[tuple[str, str]] = set()
        self._version = (-1, 0)

    async def run(self) -> None:
        """Observe until cancelled."""
        try:
            while True:
                self._reconcile()
                self._report()
                await self._repair()
                await asyncio.sleep(RECONCILE_S)
        finally:
            for task in self._tasks.values():
                task.cancel()

    def _reconcile(self) -> None:
        version = (self._fleet.version, len(self._table.holders))
        if version == self._version:
            return
        self._version = version
        wanted = self._wanted()
        for key in tuple(self._tasks):
            if key not in wanted:
                self._tasks.pop(key).cancel()
                self._probes.pop(key)
        for key, address in wanted.items():
            if key not in self._tasks:
                probe = probes.SlotProbe(
                    address,
                    self._settings.terms,
                    self._clock,
                    self._fleet.own,
                )
                self._probes[key] = probe
                self._tasks[key] = asyncio.create_task(probe.run())

    def _wanted(self) -> dict[tuple[str, str], backends.ConnectionParameters]:
        objects = self._fleet.objects
        if objects is None or not self._fleet.settled:
            return {}
        return {
            (group.name, slot.name): self._table.address(slot, group)
            for group in objects.groups.values()
            if (slot := self._primary(group)) is not None
            and (group.name, slot.name) not in self._table.holders
            and self._observes(group, slot)
        }

    def _primary(self, group: sets.DatabaseGroup) -> sets.Slot | None:
        name = self._fleet.primary(group.name)
        return group.slot(name) if name else None

    def _observes(self, group: sets.DatabaseGroup, slot: sets.Slot) -> bool:
        chosen = roles.observers(
            group.name,
            slot.availability_zone,
            self._fleet.members,
        )
        return self._fleet.own in chosen and not self._fleet.draining

    def _report(self) -> None:
        now = self._clock.monotonic()
        for (group, slot), probe in self._probes.items():
            self._note(group, slot, probe, now)
        for (group, slot), held in self._table.holders.items():
            if self._fleet.primary(group) == slot:
                self._note(group, slot, held.parts.probe, now)

    def _note(
        self,
        group: str,
        slot: str,
        probe: probes.SlotProbe,
        now: float,
    ) -> None:
        summary = probe.history.summary(now)
        if summary is None:
            return
        key = (group, slot)
        if summary.failures and key not in self._silent:
            self._silent.add(key)
            self._events.emit('probe_failed', group=group, slot=slot)
        elif not summary.failures:
            self._silent.discard(key)
        self._evidence.note(
            peer_messages.Evidence(
                group=group,
                slot=slot,
                zone=summary.zone,
                instance=summary.instance,
                failures=summary.failures,
                span_ms=summary.span_ms,
                answered_age_ms=summary.answered_age_ms,
                age_ms=summary.age_ms,
            ),
            now,
        )

    async def _repair(self) -> None:
        """Make slots of an older term follow the present primary.

        A primary that comes back after a failover neither follows nor serves
        until its holder tells it the term.
        """
        now = self._clock.monotonic()
        for key, held in self._table.holders.items():
            record = self._fleet.record(key[0])
            group = held.parts.group
            if record is None or not _needs_repair(record, key[1], held):
                continue
            if now - self._repaired_at.get(key, 0) < REPAIR_INTERVAL_S:
                continue
            self._repaired_at[key] = now
            primary = group.slot(record.primary)
            if primary is not None:
                address = self._table.address(held.parts.slot, group)
                await self._follow(record, key[1], address, primary)

    async def _follow(
        self,
        record: records.TermRecord,
        slot: str,
        address: backends.ConnectionParameters,
        primary: sets.Slot,
    ) -> None:
        sql = "CALL group_follow({0}, '{1}', {2})".format(
            record.term,
            primary.host,
            primary.port,
        )
        answered = await call_slot(address, sql, FOLLOW_TIMEOUT_MS)
        if answered.is_ok():
            self._events.emit(
                'slot_repaired',
                group=record.group,
                slot=slot,
                term=record.term,
            )


async def call_slot(
    address: backends.ConnectionParameters,
    sql: str,
    timeout_ms: float,
) -> result.Result[
    list[backends.Row],
    backends.ConnectFailure | backends.ServerError | backends.Lost,
]:
    """Run one administrative call on a connection of its own."""
    connected = await backends.connect(address, timeout_ms)
    if connected.is_err():
        return result.Err(connected.unwrap_err())
    connection = connected.unwrap()
    try:
        return await connection.query(sql, timeout_ms)
    finally:
        connection.abort()


def _needs_repair(
    record: records.TermRecord,
    slot: str,
    held: object,
) -> bool:
    status = held.parts.probe.status  # type: ignore[attr-defined]
    if status is None or record.state is not records.TermState.open:
        return False
    if record.primary == slot:
        return False
    behind = status.term < record.term
    idle = status.term == record.term and status.role == 'closed'
    return behind or idle
