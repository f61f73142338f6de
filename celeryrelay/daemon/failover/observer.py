"""Probing of primaries, and repair of slots that do not follow the primary."""

import asyncio

import result

from celeryrelay.adapters import backends, logs
from celeryrelay.conf import sets, settings
from celeryrelay.core import clock, peer_messages
from celeryrelay.daemon.exchange import fleet_state
from celeryrelay.daemon.failover import evidence, probes
from celeryrelay.daemon.holding import holder_table
from celeryrelay.membership import roles
from celeryrelay.terms import term_records
from celeryrelay.timeline import events

FOLLOW_TIMEOUT_MS = 2000
RECONCILE_S = 0.1
REPAIR_INTERVAL_S = 1
_MS_PER_S = 1000

_LOG = logs.get('observer')


class Observer:
    """Probes the primaries that are assigned to this daemon as an observer.

    Primaries that it holds are probed by their holders; the observer uses
    those results as well.
    """

    def __init__(
        self,
        fleet: fleet_state.FleetState,
        table: holder_table.HolderTable,
        evidence_table: evidence.EvidenceTable,
        options: settings.Settings,
        log: events.EventLog,
    ) -> None:
        """Create an observer without probes."""
        self._fleet = fleet
        self._table = table
        self._evidence = evidence_table
        self._settings = options
        self._events = log
        self._clock = clock.SystemClock()
        self._probes: dict[tuple[str, str], probes.SlotProbe] = {}
        self._tasks: dict[tuple[str, str], asyncio.Task[None]] = {}
        self._repaired_at: dict[tuple[str, str], float] = {}
        self._failing_probes: set[tuple[str, str]] = set()
        self._reconciled_version = (-1, 0)

    async def run(self) -> None:
        """Probe, record evidence and repair slots until cancelled."""
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
        version = (self._fleet.change_count, len(self._table.holders))
        if version == self._reconciled_version:
            return
        self._reconciled_version = version
        wanted = self._primaries_to_probe()
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

    def _primaries_to_probe(
        self,
    ) -> dict[tuple[str, str], backends.ConnectionParameters]:
        objects = self._fleet.objects
        if objects is None or not self._fleet.members_settled:
            return {}
        return {
            (group.name, slot.name): self._table.address(slot, group)
            for group in objects.groups.values()
            if (slot := self._primary(group)) is not None
            and (group.name, slot.name) not in self._table.holders
            and self._is_observer(group, slot)
        }

    def _primary(self, group: sets.DatabaseGroup) -> sets.Slot | None:
        name = self._fleet.primary(group.name)
        return group.slot(name) if name else None

    def _is_observer(self, group: sets.DatabaseGroup, slot: sets.Slot) -> bool:
        chosen = roles.observers(
            group.name,
            slot.availability_zone,
            self._fleet.members,
        )
        return self._fleet.own in chosen and not self._fleet.draining

    def _report(self) -> None:
        now = self._clock.monotonic()
        for (group, slot), probe in self._probes.items():
            self._record(group, slot, probe, now)
        for (group, slot), held in self._table.holders.items():
            if self._fleet.primary(group) == slot:
                self._record(group, slot, held.resources.probe, now)

    def _record(
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
        if summary.failures and key not in self._failing_probes:
            self._failing_probes.add(key)
            self._events.emit('probe_failed', group=group, slot=slot)
        elif not summary.failures:
            self._failing_probes.discard(key)
        self._evidence.record(
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
        """Make held slots that missed a failover follow the current primary.

        A former primary that comes back after a failover neither follows nor
        serves until it receives `group_follow` with the current term.
        """
        now = self._clock.monotonic()
        for key, held in self._table.holders.items():
            record = self._fleet.record(key[0])
            group = held.resources.group
            if record is None or not _needs_repair(record, key[1], held):
                continue
            if now - self._repaired_at.get(key, 0) < REPAIR_INTERVAL_S:
                continue
            self._repaired_at[key] = now
            primary = group.slot(record.primary)
            if primary is not None:
                address = self._table.address(held.resources.slot, group)
                await self._follow(record, key[1], address, primary)

    async def _follow(
        self,
        record: term_records.TermRecord,
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
    """Run one administrative call on a dedicated connection."""
    connected = await backends.connect(address, timeout_ms)
    if connected.is_err():
        return result.Err(connected.unwrap_err())
    connection = connected.unwrap()
    try:
        return await connection.query(sql, timeout_ms)
    finally:
        connection.abort()


def _needs_repair(
    record: term_records.TermRecord,
    slot: str,
    held: object,
) -> bool:
    status = held.resources.probe.status  # type: ignore[attr-defined]
    if status is None or record.state is not term_records.TermState.open:
        return False
    if record.primary == slot:
        return False
    behind = status.term < record.term
    idle = status.term == record.term and status.role == 'closed'
    return behind or idle
