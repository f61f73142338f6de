"""Creation of the first term record of a newly published database group."""

import asyncio
import dataclasses

import result

from celeryrelay.adapters import logs, platform_client
from celeryrelay.conf import sets
from celeryrelay.core import positions
from celeryrelay.daemon.exchange import fleet_state
from celeryrelay.daemon.failover import observer, probes
from celeryrelay.daemon.holding import holder_table
from celeryrelay.membership import roles
from celeryrelay.terms import term_records
from celeryrelay.timeline import events

CHECK_INTERVAL_S = 1
CALL_TIMEOUT_MS = 1000

_LOG = logs.get('promoter')


@dataclasses.dataclass(slots=True)
class InitialTermServices:
    """What the initial term writer depends on."""

    fleet: fleet_state.FleetState
    holders: holder_table.HolderTable
    platform: platform_client.PlatformClient
    events: events.EventLog


class InitialTermWriter:
    """Writes the first term record of groups that have exactly one primary.

    The write requires that the key is absent, so an existing record is never
    replaced.
    """

    def __init__(self, services: InitialTermServices) -> None:
        """Create the task; `run` starts its loop."""
        self._services = services
        self._warned_groups: set[str] = set()

    async def run(self) -> None:
        """Write missing term records until cancelled."""
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            for group in self._groups_without_record():
                await self._establish(group)

    def _groups_without_record(self) -> list[sets.DatabaseGroup]:
        fleet = self._services.fleet
        if (
            fleet.objects is None
            or fleet.store_reading is None
            or not fleet.members_settled
        ):
            return []
        return [
            group
            for group in fleet.objects.groups.values()
            if fleet.record(group.name) is None
            and self._is_first_promoter(group.name)
        ]

    def _is_first_promoter(self, group: str) -> bool:
        fleet = self._services.fleet
        return fleet.own in roles.promoters(group, fleet.members)[:1]

    async def _establish(self, group: sets.DatabaseGroup) -> None:
        statuses = await asyncio.gather(
            *(self._status(group, slot) for slot in group.slots),
        )
        primaries = [
            (slot, status)
            for slot, status in zip(group.slots, statuses, strict=True)
            if status is not None and status.role == 'primary'
        ]
        if len(primaries) != 1:
            self._warn_once(group.name, len(primaries))
            return
        slot, status = primaries[0]
        await self._write(
            term_records.TermRecord(
                group=group.name,
                term=status.term,
                primary=slot.name,
                state=term_records.TermState.open,
                history=(positions.TermStart(status.term, 0),),
            ),
        )

    async def _status(
        self,
        group: sets.DatabaseGroup,
        slot: sets.Slot,
    ) -> probes.SlotStatus | None:
        address = self._services.holders.address(slot, group)
        answered = await observer.call_slot(
            address,
            'CALL group_status()',
            CALL_TIMEOUT_MS,
        )
        return probes.parse_status(answered.unwrap_or([]), 0)

    async def _write(self, record: term_records.TermRecord) -> None:
        written = await self._services.platform.put(
            'groups/{0}/term'.format(record.group),
            term_records.dump(record),
            0,
        )
        if isinstance(written, result.Ok):
            self._services.events.emit(
                'term_established',
                group=record.group,
                term=record.term,
                primary=record.primary,
            )

    def _warn_once(self, group: str, primaries: int) -> None:
        if group not in self._warned_groups:
            self._warned_groups.add(group)
            _LOG.warning(
                'group {0} has no term record and {1} primary slots; '
                'exactly one is needed',
                group,
                primaries,
            )
