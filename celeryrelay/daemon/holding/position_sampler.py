"""Sampling of primary positions, from which replica staleness is estimated."""

import asyncio

from celeryrelay.conf import sets, settings
from celeryrelay.core import clock, peer_messages, ranks
from celeryrelay.daemon.callers import forwarding
from celeryrelay.daemon.exchange import fleet_state
from celeryrelay.daemon.holding import holder, holder_table

POSITION_BUDGET_MS = 500
# Number of samples per `max_age_ms` of the strictest stale-read rule. When a
# replica reaches a sample, the sample has to be younger than that age.
SAMPLES_PER_AGE = 8
_MS_PER_S = 1000


class PositionSampler:
    """Asks holders of primaries for positions for the replicas held here."""

    def __init__(
        self,
        fleet: fleet_state.FleetState,
        table: holder_table.HolderTable,
        forwarder: forwarding.Forwarder,
        options: settings.Settings,
    ) -> None:
        """Create the task; `run` starts its loop."""
        self._fleet = fleet
        self._holders = table
        self._forwarder = forwarder
        self._settings = options
        self._clock = clock.SystemClock()
        self._sampled_at: dict[tuple[str, str], float] = {}

    async def run(self) -> None:
        """Sample until cancelled."""
        interval_s = self._settings.terms.probe_interval_ms / _MS_PER_S
        while True:
            now = self._clock.monotonic()
            due = [
                held
                for held in self._holders.holders.values()
                if self._is_due(held, now)
            ]
            await asyncio.gather(*map(self._sample, due))
            await asyncio.sleep(interval_s)

    def _is_due(self, held: holder.SlotHolder, now: float) -> bool:
        group = held.resources.group.name
        if self._fleet.primary(group) == held.resources.slot.name:
            return False
        limit_ms = self._smallest_age_ms(group)
        if limit_ms is None:
            return False
        key = (group, held.resources.slot.name)
        pause_s = limit_ms / SAMPLES_PER_AGE / _MS_PER_S
        if now - self._sampled_at.get(key, 0) < pause_s:
            return False
        self._sampled_at[key] = now
        return True

    def _smallest_age_ms(self, group: str) -> float | None:
        objects = self._fleet.objects
        if objects is None:
            return None
        rules = objects.stale_read_rules
        ages = [
            rules[route.stale_read_rule].max_age_ms
            for route in objects.routes
            if route.group == group and route.stale_read_rule
        ]
        return min(ages, default=None)

    async def _sample(self, held: holder.SlotHolder) -> None:
        group = held.resources.group
        name = self._fleet.primary(group.name)
        slot = group.slot(name) if name else None
        if slot is None:
            return
        slot_request = forwarding.SlotRequest(slot, _request(group, slot))
        for instance in self._forwarder.instances(slot_request)[:1]:
            sent_at = self._clock.monotonic()
            last = await forwarding.last_part(
                self._forwarder.send(
                    instance,
                    slot_request,
                    self._settings.statements,
                ),
            )
            if isinstance(last, peer_messages.DoneLine) and last.done.position:
                offset = last.done.position.offset
                held.resources.age.on_sample(sent_at, offset)


def _request(
    group: sets.DatabaseGroup,
    slot: sets.Slot,
) -> peer_messages.StatementRequest:
    return peer_messages.StatementRequest(
        request='sample',
        group=group.name,
        slot=slot.name,
        sql='',
        rank=ranks.Rank.reports,
        budget_ms=POSITION_BUDGET_MS,
        action='position',
    )
