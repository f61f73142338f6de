"""HTTP client for requests to other daemons."""

import asyncio
import dataclasses
from collections import abc

import aiohttp
import result

from celeryrelay.core import peer_messages

MAX_LINE_BYTES = 67108864
CONNECT_TIMEOUT_S = 0.5
_MS_PER_S = 1000


@dataclasses.dataclass(frozen=True, slots=True)
class PeerFailure:
    """A request to a peer failed before its answer was complete.

    Attributes:
        sent: Whether the request may have reached the peer.
        message: Cause of the failure.
    """

    sent: bool
    message: str


class PeerClient:
    """Sends requests to other daemons over keep-alive connections."""

    def __init__(
        self,
        fleet_key: str,
        address_map: abc.Mapping[str, str],
    ) -> None:
        """Create a client without any connection.

        Args:
            fleet_key: Key shared by all daemons, sent as a bearer token.
            address_map: Substitute addresses for instances that are not reached
                under their own address, by instance.
        """
        self._address_map = address_map
        connector = aiohttp.TCPConnector(limit=0, limit_per_host=0)
        self._session = aiohttp.ClientSession(
            connector=connector,
            headers={'Authorization': 'Bearer {0}'.format(fleet_key)},
            read_bufsize=MAX_LINE_BYTES // 64,
        )

    async def close(self) -> None:
        """Close all connections."""
        await self._session.close()

    async def send_statement(
        self,
        instance: str,
        request: peer_messages.StatementRequest,
        progress_timeout_ms: float,
    ) -> abc.AsyncGenerator[peer_messages.ResponseLine | PeerFailure, None]:
        """Send a statement and yield the lines of its answer.

        If the request fails, the last value yielded is a `PeerFailure`.

        Args:
            instance: Daemon that runs the statement.
            request: The statement.
            progress_timeout_ms: Time limit for each wait for further data of
                the answer, in milliseconds.
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
                async for line in _read_lines(response):
                    yield line
        except _NOT_SENT_ERRORS as error:
            yield PeerFailure(sent=False, message=_describe_error(error))
        except _REQUEST_ERRORS as error:
            yield PeerFailure(sent=True, message=_describe_error(error))

    async def call(
        self,
        instance: str,
        path: str,
        body: bytes,
        timeout_ms: float,
    ) -> result.Result[bytes, PeerFailure]:
        """Send a POST request and return the response body."""
        return await self._exchange('POST', instance, path, body, timeout_ms)

    async def fetch(
        self,
        instance: str,
        path: str,
        timeout_ms: float,
    ) -> result.Result[bytes, PeerFailure]:
        """Send a GET request and return the response body."""
        return await self._exchange('GET', instance, path, None, timeout_ms)

    async def _exchange(
        self,
        method: str,
        instance: str,
        path: str,
        body: bytes | None,
        timeout_ms: float,
    ) -> result.Result[bytes, PeerFailure]:
        timeout = aiohttp.ClientTimeout(total=timeout_ms / _MS_PER_S)
        try:
            async with self._session.request(
                method,
                self._url(instance, path),
                data=body,
                timeout=timeout,
            ) as response:
                return await _read_body(response)
        except _NOT_SENT_ERRORS as error:
            return result.Err(
                PeerFailure(sent=False, message=_describe_error(error))
            )
        except _REQUEST_ERRORS as error:
            return result.Err(
                PeerFailure(sent=True, message=_describe_error(error))
            )

    def _url(self, instance: str, path: str) -> str:
        address = self._address_map.get(instance, instance)
        return 'http://{0}/{1}'.format(address, path)


async def _read_body(
    response: aiohttp.ClientResponse,
) -> result.Result[bytes, PeerFailure]:
    content = await response.read()
    if response.status == 200:
        return result.Ok(content)
    message = 'peer responded with HTTP status {0}'.format(response.status)
    return result.Err(PeerFailure(sent=True, message=message))


async def _read_lines(
    response: aiohttp.ClientResponse,
) -> abc.AsyncGenerator[peer_messages.ResponseLine | PeerFailure, None]:
    if response.status != 200:
        # The server responds to a statement with an error status only before it
        # runs the statement.
        message = 'peer responded with HTTP status {0}'.format(response.status)
        yield PeerFailure(sent=False, message=message)
        return
    while True:
        raw = await response.content.readuntil(b'\n')
        if not raw:
            yield PeerFailure(
                sent=True, message='connection closed before the last line'
            )
            return
        match peer_messages.decode(peer_messages.RESPONSE_LINE, raw):
            case result.Ok(line):
                yield line
                if isinstance(line, peer_messages.LAST_LINES):
                    return
            case result.Err(message):
                yield PeerFailure(sent=True, message=message)
                return


def _describe_error(error: BaseException) -> str:
    return '{0}: {1}'.format(type(error).__name__, error)


_NOT_SENT_ERRORS = (
    aiohttp.ClientConnectorError,
    aiohttp.ConnectionTimeoutError,
    aiohttp.InvalidURL,
)
_REQUEST_ERRORS = (
    aiohttp.ClientError,
    asyncio.TimeoutError,
    OSError,
    ValueError,
)
