"""Execution of one failover: the store and slot calls of its state machine."""

import asyncio
import dataclasses

import result

from celeryrelay.accounting import batches
from celeryrelay.adapters import backends, logs, platform_client
from celeryrelay.conf import sets, settings
from celeryrelay.core import clock, peer_messages
from celeryrelay.daemon.exchange import fleet_state
from celeryrelay.daemon.failover import evidence, observer
from celeryrelay.daemon.holding import holder_table
from celeryrelay.terms import failover, term_records
from celeryrelay.terms import failover_messages as commands
from celeryrelay.timeline import events

TICK_S = 0.02
SLOT_CALL_TIMEOUT_MS = 500
STORE_RETRY_S = 0.1
_MS_PER_S = 1000

_LOG = logs.get('promoter')


@dataclasses.dataclass(slots=True)
class PromoterServices:
    """What the promoter and its failovers depend on."""

    fleet: fleet_state.FleetState
    evidence: evidence.EvidenceTable
    holders: holder_table.HolderTable
    platform: platform_client.PlatformClient
    builder: batches.BatchBuilder
    settings: settings.Settings
    events: events.EventLog
    clock: clock.Clock


class FailoverRun:
    """Executes the commands of one failover state machine."""

    def __init__(
        self,
        services: PromoterServices,
        group: sets.DatabaseGroup,
        record: term_records.TermRecord,
        since: float,
        failing_since: float,
    ) -> None:
        """Prepare the failover of `group` from its term `record`.

        Args:
            services: What the failover depends on.
            group: Group whose primary is replaced.
            record: Term record to replace.
            since: Monotonic time in seconds at which the failover became due.
            failing_since: Monotonic time in seconds of the first failed probe
                of the primary.
        """
        self.group = group
        self._services = services
        self._record = record
        self._since = since
        self._failing_since = failing_since
        self._seen_revision = 0
        self._machine = failover.FailoverStateMachine(
            services.settings.terms,
            [slot.name for slot in group.slots],
            leaving=frozenset(
                slot.name
                for slot in group.slots
                if slot.address in services.fleet.leaving_server_addresses
            ),
        )
        self._inbox: asyncio.Queue[commands.Event] = asyncio.Queue()
        self._tasks: set[asyncio.Task[None]] = set()

    async def run(self) -> bool:
        """Run the failover; return whether a new term was opened."""
        entry = self._services.fleet.term_entries[self.group.name]
        self._seen_revision = entry.revision
        self._emit('failover_started', term=self._record.term)
        _LOG.info('failover of {0} started', self.group.name)
        start = commands.Start(self._record, entry.revision, self._since)
        await self._inbox.put(start)
        try:
            while True:
                for command in self._machine.handle(
                    await self._next_event(),
                    self._services.clock.monotonic(),
                ):
                    if isinstance(command, commands.Finished):
                        self._finished(command)
                        return True
                    if isinstance(command, commands.GivenUp):
                        self._emit('failover_given_up', reason=command.reason)
                        return False
                    self._spawn(command)
        finally:
            # Calls that make the remaining slots follow may still be running.
            await self._wait_for_tasks()

    async def _next_event(self) -> commands.Event:
        try:
            async with asyncio.timeout(TICK_S):
                return await self._inbox.get()
        except TimeoutError:
            return self._record_change_or_tick()

    def _record_change_or_tick(self) -> commands.Event:
        """Return a record changed by another promoter, otherwise a tick."""
        entry = self._services.fleet.term_entries[self.group.name]
        record = self._services.fleet.record(self.group.name)
        watching = self._machine.phase is failover.Phase.watching
        known = entry.revision <= self._seen_revision
        if record is None or known or not watching:
            return commands.Tick()
        self._seen_revision = entry.revision
        return commands.RecordRead(record, entry.revision)

    async def _wait_for_tasks(self) -> None:
        if self._tasks:
            await asyncio.wait(
                self._tasks,
                timeout=SLOT_CALL_TIMEOUT_MS / _MS_PER_S,
            )

    def _spawn(self, command: commands.Command) -> None:
        task = asyncio.create_task(self._execute(command))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _execute(self, command: commands.Command) -> None:
        match command:
            case commands.SwapRecord():
                event = await self._swap(command)
            case commands.ReadRecord():
                event = await self._read()
            case commands.RaiseTerm():
                event = await self._raise_term(command)
            case commands.PromoteSlot():
                event = await self._promote(command)
            case commands.FollowPrimary():
                event = await self._follow(command)
            case _:
                return
        if isinstance(event, commands.StoreAnswerLost):
            await asyncio.sleep(STORE_RETRY_S)
        await self._inbox.put(event)

    async def _swap(self, command: commands.SwapRecord) -> commands.Event:
        self._emit(
            'term_swap',
            term=command.record.term,
            state=command.record.state,
            primary=command.record.primary,
        )
        answered = await self._services.platform.put(
            self._key(),
            term_records.dump(command.record),
            command.expected_revision,
        )
        match answered:
            case result.Ok(written):
                return commands.SwapStored(command.record, written.revision)
            case result.Err(platform_client.Conflict(entry)):
                return self._parsed(entry, commands.SwapConflict)
        return commands.StoreAnswerLost()

    async def _read(self) -> commands.Event:
        match await self._services.platform.get(self._key()):
            case result.Ok(entry):
                return self._parsed(entry, commands.RecordRead)
        return commands.StoreAnswerLost()

    def _parsed(
        self,
        entry: platform_client.Entry,
        shape: type[commands.SwapConflict | commands.RecordRead],
    ) -> commands.Event:
        match term_records.parse(self.group.name, entry.value):
            case result.Ok(record):
                return shape(record, entry.revision)
            case result.Err(message):
                _LOG.error('malformed term record: {0}', message)
        return commands.StoreAnswerLost()

    async def _raise_term(self, command: commands.RaiseTerm) -> commands.Event:
        answered = await self._call(
            command.slot,
            'CALL group_raise_term({0})'.format(command.term),
        )
        match answered:
            case result.Ok([(term, log_term, applied), *_]):
                self._emit('slot_raised', slot=command.slot, term=int(term))
                return commands.RaiseTermAnswered(
                    command.slot,
                    int(term),
                    int(log_term),
                    int(applied),
                )
            case result.Err(backends.ServerError()):
                return commands.SlotRefused(command.slot, command.term)
        return commands.RaiseTermFailed(command.slot, command.term)

    async def _promote(self, command: commands.PromoteSlot) -> commands.Event:
        answered = await self._call(
            command.slot,
            'CALL group_promote({0})'.format(command.term),
        )
        match answered:
            case result.Ok([(term, *_, applied), *_]):
                self._emit('slot_promoted', slot=command.slot, term=int(term))
                return commands.PromoteAnswered(
                    command.slot,
                    int(term),
                    int(applied),
                )
            case result.Err(backends.ServerError()):
                return commands.SlotRefused(command.slot, command.term)
        return commands.PromoteFailed(command.slot, command.term)

    async def _follow(self, command: commands.FollowPrimary) -> commands.Event:
        primary = self.group.slot(command.primary)
        if primary is None:
            return commands.FollowFailed(command.slot, command.term)
        answered = await self._call(
            command.slot,
            "CALL group_follow({0}, '{1}', {2})".format(
                command.term,
                primary.host,
                primary.port,
            ),
        )
        if answered.is_ok():
            return commands.FollowAnswered(command.slot, command.term)
        return commands.FollowFailed(command.slot, command.term)

    async def _call(
        self,
        name: str,
        sql: str,
    ) -> result.Result[
        list[backends.Row],
        backends.ConnectFailure | backends.ServerError | backends.Lost,
    ]:
        slot = self.group.slot(name)
        if slot is None:
            return result.Err(
                backends.Lost('the group has no slot of this name')
            )
        address = self._services.holders.address(slot, self.group)
        return await observer.call_slot(address, sql, SLOT_CALL_TIMEOUT_MS)

    def _finished(self, finished: commands.Finished) -> None:
        services = self._services
        record = finished.record
        entry = peer_messages.TermEntry(
            record.group,
            term_records.dump(record),
            finished.revision,
        )
        if services.fleet.store_reading is not None:
            services.fleet.apply_terms([entry], services.fleet.store_reading)
        split = finished.durations
        elapsed_s = services.clock.monotonic() - self._failing_since
        detection_ms = elapsed_s * _MS_PER_S
        detection_ms -= split.closing + split.waiting
        detection_ms -= split.promoting + split.opening
        self._emit(
            'failover_finished',
            term=record.term,
            primary=record.primary,
            base_offset=record.history[-1].base_offset,
            **dataclasses.asdict(split),
        )
        _LOG.info(
            'failover of {0} finished: {1} is primary of term {2}',
            record.group,
            record.primary,
            record.term,
        )
        wall_s = services.clock.wall()
        services.builder.add_failover(
            wall_s,
            batches.FailoverRecord(
                group=record.group,
                term=record.term,
                completed_ms=int(wall_s * _MS_PER_S),
                detection_ms=max(detection_ms, 0),
                closing_ms=split.closing,
                waiting_ms=split.waiting,
                raising_ms=split.raising,
                promoting_ms=split.promoting,
                opening_ms=split.opening,
                lost_positions=finished.lost_positions,
            ),
        )

    def _key(self) -> str:
        return 'groups/{0}/term'.format(self.group.name)

    def _emit(self, kind: str, **fields: object) -> None:
        self._services.events.emit(kind, group=self.group.name, **fields)
