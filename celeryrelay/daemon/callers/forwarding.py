"""Forwarding of statements to a local or remote holder of a slot."""

import dataclasses
from collections import abc

from celeryrelay.adapters import peer_client
from celeryrelay.conf import sets, settings
from celeryrelay.core import peer_messages
from celeryrelay.daemon.exchange import fleet_state
from celeryrelay.daemon.holding import holder_table
from celeryrelay.timeline import events


@dataclasses.dataclass(frozen=True, slots=True)
class SlotRequest:
    """A request and the slot to run it on.

    Attributes:
        slot: The target slot.
        request: The request to its holder.
        preference: Number that spreads requests over the holders.
    """

    slot: sets.Slot
    request: peer_messages.StatementRequest
    preference: int = 0


class Forwarder:
    """Sends requests to a holder in this daemon or in a peer."""

    def __init__(
        self,
        fleet: fleet_state.FleetState,
        own_holders: holder_table.HolderTable,
        client: peer_client.PeerClient,
        log: events.EventLog,
    ) -> None:
        """Create a forwarder that finds holders in `fleet`."""
        self._fleet = fleet
        self._holder_table = own_holders
        self._client = client
        self._events = log

    def instances(self, slot_request: SlotRequest) -> tuple[str, ...]:
        """Return the instances that hold the slot, preferred first.

        This daemon comes first, which saves a network hop.
        """
        found = self._fleet.holders(
            slot_request.request.group, slot_request.slot
        )
        own = self._fleet.own.instance
        if own in found:
            others = tuple(name for name in found if name != own)
            return (own, *others)
        shift = slot_request.preference % len(found) if found else 0
        return (*found[shift:], *found[:shift])

    async def send(
        self,
        instance: str,
        slot_request: SlotRequest,
        options: settings.StatementSettings,
    ) -> abc.AsyncGenerator[
        peer_messages.ResponseLine | peer_client.PeerError, None
    ]:
        """Send a request to one holder and yield its response lines."""
        if instance == self._fleet.own.instance:
            async for line in self._holder_table.statement(
                slot_request.request
            ):
                yield line
            return
        request = dataclasses.replace(
            slot_request.request,
            clock=self._events.advance_clock(),
        )
        answer = self._client.send_statement(
            instance,
            request,
            options.progress_timeout_ms,
        )
        try:
            async for part in answer:
                if isinstance(part, peer_messages.LAST_LINES):
                    self._events.observe_clock(part.clock)
                yield part
        finally:
            await answer.aclose()


async def last_part(
    parts: abc.AsyncGenerator[
        peer_messages.ResponseLine | peer_client.PeerError, None
    ],
) -> peer_messages.ResponseLine | peer_client.PeerError | None:
    """Read an answer to its end and return its last part."""
    last = None
    async for part in parts:
        last = part
    return last
