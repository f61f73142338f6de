"""HTTP between daemons, on aiohttp: client half."""

import asyncio
import dataclasses
from collections import abc

import aiohttp
import result

from celeryrelay.core import peer_messages

LINE_LIMIT_BYTES = 67108864
CONNECT_TIMEOUT_S = 0.5
_MS_PER_S = 1000


@dataclasses.dataclass(frozen=True, slots=True)
class PeerError:
    """A peer gave no complete answer.

    Attributes:
        sent: Whether the request may have reached the peer.
        message: What went wrong.
    """

    sent: bool
    message: str


class PeerClient:
    """Sends messages to other daemons over kept-alive connections."""

    def __init__(
        self,
        fleet_key: str,
        address_map: abc.Mapping[str, str],
    ) -> None:
        """Prepare a client that authenticates with `fleet_key`.

        Args:
            fleet_key: Key shared by all daemons.
            address_map: Addresses that are reached through another one.
        """
        self._address_map = address_map
        connector = aiohttp.TCPConnector(limit=0, limit_per_host=0)
        self._session = aiohttp.ClientSession(
            connector=connector,
            headers={'Authorization': 'Bearer {0}'.format(fleet_key)},
            read_bufsize=LINE_LIMIT_BYTES // 64,
        )

    async def close(self) -> None:
        """Close all connections."""
        await self._session.close()

    async def send_statement(
        self,
        instance: str,
        request: peer_messages.StatementRequest,
        progress_timeout_ms: float,
    ) -> abc.AsyncGenerator[peer_messages.ResponseLine | PeerError, None]:
        """Send a statement and yield the lines of its answer.

        A `PeerError` ends the answer early.
        """
        timeout = aiohttp.ClientTimeout(
            sock_connect=CONNECT_TIMEOUT_S,
            sock_read=progress_timeout_ms / _MS_PER_S,
        )
        try:
            async with self._session.post(
                self._url(instance, 'peer/statement'),
                data=peer_messages.STATEMENT_REQUEST.dump_json(request),
                timeout=timeout,
            ) as response:
                async for line in _lines(response):
                    yield line
        except _NOT_SENT as error:
            yield PeerError(sent=False, message=_text(error))
        except _FAULTS as error:
            yield PeerError(sent=True, message=_text(error))

    async def call(
        self,
        instance: str,
        path: str,
        body: bytes,
        timeout_ms: float,
    ) -> result.Result[bytes, PeerError]:
        """Post one JSON message and return the body of the answer."""
        return await self._exchange('POST', instance, path, body, timeout_ms)

    async def fetch(
        self,
        instance: str,
        path: str,
        timeout_ms: float,
    ) -> result.Result[bytes, PeerError]:
        """Get a JSON document from a peer."""
        return await self._exchange('GET', instance, path, None, timeout_ms)

    async def _exchange(
        self,
        method: str,
        instance: str,
        path: str,
        body: bytes | None,
        timeout_ms: float,
    ) -> result.Result[bytes, PeerError]:
        timeout = aiohttp.ClientTimeout(total=timeout_ms / _MS_PER_S)
        try:
            async with self._session.request(
                method,
                self._url(instance, path),
                data=body,
                timeout=timeout,
            ) as response:
                return await _body(response)
        except _NOT_SENT as error:
            return result.Err(PeerError(sent=False, message=_text(error)))
        except _FAULTS as error:
            return result.Err(PeerError(sent=True, message=_text(error)))

    def _url(self, instance: str, path: str) -> str:
        address = self._address_map.get(instance, instance)
        return 'http://{0}/{1}'.format(address, path)


async def _body(
    response: aiohttp.ClientResponse,
) -> result.Result[bytes, PeerError]:
    content = await response.read()
    if response.status == 200:
        return result.Ok(content)
    message = 'HTTP status {0}'.format(response.status)
    return result.Err(PeerError(sent=True, message=message))


async def _lines(
    response: aiohttp.ClientResponse,
) -> abc.AsyncGenerator[peer_messages.ResponseLine | PeerError, None]:
    if response.status != 200:
        # The server half refuses a statement by status only before any
        # handler has seen it.
        message = 'HTTP status {0}'.format(response.status)
        yield PeerError(sent=False, message=message)
        return
    while True:
        raw = await response.content.readuntil(b'\n')
        if not raw:
            yield PeerError(sent=True, message='answer ended early')
            return
        match peer_messages.decode(peer_messages.RESPONSE_LINE, raw):
            case result.Ok(line):
                yield line
                if isinstance(line, peer_messages.LAST_LINES):
                    return
            case result.Err(message):
                yield PeerError(sent=True, message=message)
                return


def _text(error: BaseException) -> str:
    return '{0}: {1}'.format(type(error).__name__, error)


_NOT_SENT = (
    aiohttp.ClientConnectorError,
    aiohttp.ConnectionTimeoutError,
    aiohttp.InvalidURL,
)
_FAULTS = (aiohttp.ClientError, asyncio.TimeoutError, OSError, ValueError)
