"""Promotion orders to the platform."""

import msgspec
import result

from celeryrelay.gateway import catalog, interfaces
from celeryrelay.platform import http1

TIMEOUT_S = 1.0
_OK = 200
_CONFLICT = 409


class PromoteBody(msgspec.Struct):
    """Names the database that takes over."""

    service: str
    id: str


class PromotionClient:
    """Sends promotion orders."""

    def __init__(self, address: str) -> None:
        """Send orders to `address`, `host:port`."""
        self._address = address

    async def promote(
        self,
        group: str,
        server_id: str,
        office: catalog.Office,
    ) -> interfaces.OrderOutcome:
        """Order that `server_id` becomes the primary of `group`."""
        body = msgspec.json.encode(PromoteBody(group, server_id))
        request = http1.make_request(
            self._address,
            'POST',
            '/promote',
            body,
            headers=(
                ('Holder', office.holder),
                ('Fence-Token', str(office.revision)),
            ),
        )
        # Orders are rare: a connection of its own has not gone silent before.
        channel = http1.Channel(self._address)
        answer = await channel.call(request, body, TIMEOUT_S)
        channel.close()
        match answer:
            case result.Ok(http1.Response(status=status)):
                return interfaces.OrderOutcome(
                    accepted=status == _OK,
                    refused=status == _CONFLICT,
                    message='status {0}'.format(status),
                )
            case result.Err(http1.Failure(message)):
                return interfaces.OrderOutcome(False, False, message)
