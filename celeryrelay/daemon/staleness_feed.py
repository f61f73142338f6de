"""Samples of the primary's position for the age of replicas."""

import asyncio

from celeryrelay.conf import sets, settings
from celeryrelay.core import clock, messages, outcomes, ranks
from celeryrelay.daemon import fleet, forwarding, holder, holders

POSITION_BUDGET_MS = 500
_MS_PER_S = 1000


class StalenessFeed:
    """Asks holders of primaries for positions on behalf of replicas."""

    def __init__(
        self,
        known: fleet.Fleet,
        table: holders.HolderTable,
        forwarder: forwarding.Forwarder,
        options: settings.Settings,
    ) -> None:
        """Create the task; `run` starts its loop."""
        self._fleet = known
        self._holders = table
        self._forwarder = forwarder
        self._settings = options
        self._clock = clock.SystemClock()

    async def run(self) -> None:
        """Sample until cancelled."""
        interval_s = self._settings.terms.probe_interval_ms / _MS_PER_S
        while True:
            await asyncio.gather(
                *(
                    self._sample(held)
                    for held in self._holders.holders.values()
                    if self._needs_samples(held)
                ),
            )
            await asyncio.sleep(interval_s)

    def _needs_samples(self, held: holder.SlotHolder) -> bool:
        objects = self._fleet.objects
        group = held.parts.group
        if self._fleet.primary(group.name) == held.parts.slot.name:
            return False
        return objects is not None and any(
            route.group == group.name and route.stale_read_rule
            for route in objects.routes
        )

    async def _sample(self, held: holder.SlotHolder) -> None:
        group = held.parts.group
        name = self._fleet.primary(group.name)
        slot = group.slot(name) if name else None
        if slot is None:
            return
        delivery = forwarding.Delivery(slot, _request(group, slot))
        for instance in self._forwarder.instances(delivery)[:1]:
            sent_at = self._clock.monotonic()
            async for part in self._forwarder.send(
                instance,
                delivery,
                self._settings.statements,
            ):
                match part:
                    case messages.DoneLine(
                        done=outcomes.Done(position=position),
                    ) if position is not None:
                        held.parts.age.on_sample(sent_at, position.offset)


def _request(
    group: sets.DatabaseGroup,
    slot: sets.Slot,
) -> messages.StatementRequest:
    return messages.StatementRequest(
        request='sample',
        group=group.name,
        slot=slot.name,
        sql='',
        rank=ranks.Rank.reports,
        budget_ms=POSITION_BUDGET_MS,
        action='position',
    )
