"""Client that orders promotions of backend servers from the platform."""

import msgspec
import result

from celeryrelay.gateway import catalog, interfaces
from celeryrelay.platform import http1

TIMEOUT_S = 1.0
_OK = 200
_CONFLICT = 409


class PromotionRequest(msgspec.Struct):
    """Body of a promotion order: the group and its new primary."""

    service: str
    id: str


class PromotionClient:
    """Sends promotion orders to the platform."""

    def __init__(self, address: str) -> None:
        """Create a client that sends orders to `address` (`host:port`)."""
        self._address = address

    async def promote(
        self,
        group: str,
        server_id: str,
        office: catalog.Office,
    ) -> interfaces.OrderOutcome:
        """Order that `server_id` becomes the primary of `group`.

        The revision of `office` is the fencing token of the order. The platform
        refuses an order whose token is below the highest seen for the group.
        """
        body = msgspec.json.encode(PromotionRequest(group, server_id))
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
        # Each order opens a new connection: orders are rare, and a connection
        # kept since the previous one could have died unnoticed.
        connection = http1.ClientConnection(self._address)
        answer = await connection.call(request, body, TIMEOUT_S)
        connection.close()
        match answer:
            case result.Ok(http1.Response(status=status)):
                return interfaces.OrderOutcome(
                    accepted=status == _OK,
                    refused=status == _CONFLICT,
                    message='platform responded with status {0}'.format(status),
                )
            case result.Err(http1.RequestError(message)):
                return interfaces.OrderOutcome(False, False, message)
