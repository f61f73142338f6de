"""First term record of a database group that was published without one."""

import asyncio
import dataclasses

import result

from celeryrelay.adapters import logs, platform_client
from celeryrelay.conf import sets
from celeryrelay.core import positions
from celeryrelay.daemon.exchange import fleet
from celeryrelay.daemon.failover import observer, probes
from celeryrelay.daemon.holding import holders
from celeryrelay.membership import roles
from celeryrelay.terms import records
from celeryrelay.timeline import events

CHECK_INTERVAL_S = 1
CALL_TIMEOUT_MS = 1000

_LOG = logs.get('promoter')


@dataclasses.dataclass(slots=True)
class EstablishmentParts:
    """What first records are made with."""

    fleet: fleet.Fleet
    holders: holders.HolderTable
    platform: platform_client.PlatformClient
    events: events.EventLog


class Establishment:
    """Writes the record of a group whose slots have exactly one primary.

    The key has to be absent, so an existing record is never replaced.
    """

    def __init__(self, parts: EstablishmentParts) -> None:
        """Create the task; `run` starts its loop."""
        self._parts = parts
        self._reported: set[str] = set()

    async def run(self) -> None:
        """Look for groups without a record until cancelled."""
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            for group in self._missing():
                await self._establish(group)

    def _missing(self) -> list[sets.DatabaseGroup]:
        known = self._parts.fleet
        if known.objects is None or known.stamp is None or not known.settled:
            return []
        return [
            group
            for group in known.objects.groups.values()
            if known.record(group.name) is None and self._is_first(group.name)
        ]

    def _is_first(self, group: str) -> bool:
        known = self._parts.fleet
        return known.own in roles.promoters(group, known.members)[:1]

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
            self._report(group.name, len(primaries))
            return
        slot, status = primaries[0]
        await self._write(
            records.TermRecord(
                group=group.name,
                term=status.term,
                primary=slot.name,
                state=records.TermState.open,
                history=(positions.TermStart(status.term, 0),),
            ),
        )

    async def _status(
        self,
        group: sets.DatabaseGroup,
        slot: sets.Slot,
    ) -> probes.SlotStatus | None:
        address = self._parts.holders.address(slot, group)
        answered = await observer.call_slot(
            address,
            'CALL group_status()',
            CALL_TIMEOUT_MS,
        )
        return probes.parse_status(answered.unwrap_or([]), 0)

    async def _write(self, record: records.TermRecord) -> None:
        written = await self._parts.platform.put(
            'groups/{0}/term'.format(record.group),
            records.dump(record),
            0,
        )
        if isinstance(written, result.Ok):
            self._parts.events.emit(
                'term_established',
                group=record.group,
                term=record.term,
                primary=record.primary,
            )

    def _report(self, group: str, primaries: int) -> None:
        if group not in self._reported:
            self._reported.add(group)
            _LOG.warning(
                'group {0} has no term record and {1} primary slots; '
                'exactly one is needed',
                group,
                primaries,
            )
