"""Delivery of statements to the holders of a slot."""

import dataclasses
from collections import abc

from celeryrelay.adapters import peer_client
from celeryrelay.conf import sets, settings
from celeryrelay.core import peer_messages
from celeryrelay.daemon.exchange import fleet
from celeryrelay.daemon.holding import holders
from celeryrelay.timeline import events


@dataclasses.dataclass(frozen=True, slots=True)
class Delivery:
    """A statement and where it goes."""

    slot: sets.Slot
    request: peer_messages.StatementRequest
    preference: int = 0


class Forwarder:
    """Sends statements to a holder, this daemon's own or a peer's."""

    def __init__(
        self,
        known: fleet.Fleet,
        own: holders.HolderTable,
        client: peer_client.PeerClient,
        log: events.EventLog,
    ) -> None:
        """Create a forwarder for the fleet as `known`."""
        self._fleet = known
        self._own = own
        self._client = client
        self._events = log

    def instances(self, delivery: Delivery) -> tuple[str, ...]:
        """Return the holders of the delivery's slot, preferred first.

        This daemon itself goes first, because it saves a hop.
        """
        found = self._fleet.holders(delivery.request.group, delivery.slot)
        own = self._fleet.own.instance
        if own in found:
            others = tuple(name for name in found if name != own)
            return (own, *others)
        shift = delivery.preference % len(found) if found else 0
        return (*found[shift:], *found[:shift])

    async def send(
        self,
        instance: str,
        delivery: Delivery,
        options: settings.StatementSettings,
    ) -> abc.AsyncGenerator[
        peer_messages.ResponseLine | peer_client.PeerError, None
    ]:
        """Send a statement to one holder and yield its answer."""
        if instance == self._fleet.own.instance:
            async for line in self._own.statement(delivery.request):
                yield line
            return
        request = dataclasses.replace(
            delivery.request,
            clock=self._events.stamp(),
        )
        answer = self._client.send_statement(
            instance,
            request,
            options.progress_timeout_ms,
        )
        try:
            async for part in answer:
                if isinstance(part, peer_messages.LAST_LINES):
                    self._events.observe(part.clock)
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
