"""Client of the platform's key-value service and instance list."""

import dataclasses
import functools
import typing
import urllib.parse

import aiohttp
import orjson
import pydantic
import result
import yarl

from celeryrelay.core import errors
from celeryrelay.membership import view

STATUS_NOT_FOUND = 404
STATUS_CONFLICT = 409
STATUS_BAD_REQUEST = 400
MESSAGE_LIMIT = 200
# Connecting ends before the whole request does, so that a timeout while no
# byte was sent is told apart from a timeout while waiting for the answer.
CONNECT_SHARE = 0.8
JSON_HEADERS = {'Content-Type': 'application/json'}


@dataclasses.dataclass(frozen=True, slots=True)
class Entry:
    """A key of the store with its value, a JSON document."""

    key: str
    value: typing.Any
    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class PutResult:
    """Store revision of a successful write."""

    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class Changes:
    """Entries that changed after the requested store revision.

    Attributes:
        revision: Store revision that the reading covers.
        entries: Changed entries.
    """

    revision: int
    entries: tuple[Entry, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class InstanceList:
    """The platform's list of instances; it lags behind their real state."""

    instances: tuple[view.ListedInstance, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Unreachable:
    """No byte of the request can have been sent."""

    message: str


@dataclasses.dataclass(frozen=True, slots=True)
class AnswerLost:
    """The request may have taken effect; its answer is not known."""

    message: str


@dataclasses.dataclass(frozen=True, slots=True)
class Conflict:
    """The key is not at the expected revision; holds its current entry."""

    entry: Entry


@dataclasses.dataclass(frozen=True, slots=True)
class KeyNotFound:
    """The key does not exist."""


@dataclasses.dataclass(frozen=True, slots=True)
class ErrorResponse:
    """The service answered with an error status.

    A status of 500 or more does not prove that a write had no effect.
    """

    status: int
    message: str


PlatformFailure = (
    Unreachable | AnswerLost | Conflict | KeyNotFound | ErrorResponse
)

Parsed = typing.TypeVar('Parsed')
Answer = result.Result[tuple[int, bytes], PlatformFailure]


class PlatformClient:
    """Client of the protocol in section 3.1 of the design page.

    Network faults are returned as values. No request is sent twice: aiohttp
    would repeat a `PUT` on a connection that the server closed, and the
    repetition of a write that took effect would look like a lost race.
    """

    def __init__(
        self,
        base_url: str,
        session: aiohttp.ClientSession,
        timeout_ms: float,
    ) -> None:
        """Use `session` for requests to `base_url`.

        Args:
            base_url: Address of the service, such as `http://127.0.0.1:7400`.
            session: Session that the caller owns and closes.
            timeout_ms: Deadline of one request in milliseconds; a watch may
                take its waiting time in addition.
        """
        self._base_url = base_url.rstrip('/')
        self._session = session
        self._timeout_ms = timeout_ms

    async def get(self, key: str) -> result.Result[Entry, PlatformFailure]:
        """Return the entry of `key`."""
        answer = await self._request('GET', _key_path(key), {})
        return _parse(answer, Entry)

    async def put(
        self,
        key: str,
        value: typing.Any,
        expected: int,
    ) -> result.Result[PutResult, PlatformFailure]:
        """Write `value` if `key` is at the store revision `expected`.

        Args:
            key: Key of the store.
            value: JSON document.
            expected: Store revision of the key; 0 if it must be absent.
        """
        try:
            body = orjson.dumps({'value': value})
        except TypeError as error:
            return result.Err(
                Unreachable('not a JSON value: {0}'.format(error))
            )
        answer = await self._request(
            'PUT',
            _key_path(key),
            {'expected': expected},
            body=body,
        )
        return _parse(answer, PutResult)

    async def range(
        self,
        prefix: str,
        since: int = 0,
    ) -> result.Result[Changes, PlatformFailure]:
        """Return the entries below `prefix` that changed after `since`."""
        query = {'prefix': prefix, 'since': since}
        return _parse(await self._request('GET', '/v1/range', query), Changes)

    async def watch(
        self,
        prefix: str,
        since: int,
        wait_ms: int,
    ) -> result.Result[Changes, PlatformFailure]:
        """Return changes after `since`, waiting up to `wait_ms` for one."""
        query = {'prefix': prefix, 'since': since, 'wait_ms': wait_ms}
        answer = await self._request('GET', '/v1/watch', query, wait_ms=wait_ms)
        return _parse(answer, Changes)

    async def instances(self) -> result.Result[InstanceList, PlatformFailure]:
        """Return the platform's list of live and leaving instances."""
        answer = await self._request('GET', '/v1/instances', {})
        return _parse(answer, InstanceList)

    async def _request(
        self,
        method: str,
        path: str,
        query: dict[str, str | int],
        *,
        body: bytes | None = None,
        wait_ms: float = 0,
    ) -> Answer:
        address = '{0}{1}'.format(self._base_url, path)
        try:
            # Checks the address as configured; `encoded` below defers this.
            yarl.URL(address)
        except ValueError as error:
            return result.Err(Unreachable(_describe(address, error)))
        url = yarl.URL(
            '{0}?{1}'.format(address, urllib.parse.urlencode(query)),
            encoded=True,
        )
        try:
            return result.Ok(
                await self._exchange(method, url, body, wait_ms),
            )
        except (
            aiohttp.ClientConnectorError,
            aiohttp.ConnectionTimeoutError,
            aiohttp.InvalidURL,
        ) as unreachable:
            return result.Err(Unreachable(_describe(address, unreachable)))
        except (
            aiohttp.ClientError,
            errors.PlatformError,
            OSError,
        ) as lost:
            return result.Err(AnswerLost(_describe(address, lost)))

    async def _exchange(
        self,
        method: str,
        url: yarl.URL,
        body: bytes | None,
        wait_ms: float,
    ) -> tuple[int, bytes]:
        seconds = self._timeout_ms / 1000
        async with self._session.request(
            method,
            url,
            data=body,
            headers=JSON_HEADERS,
            timeout=aiohttp.ClientTimeout(
                total=seconds + wait_ms / 1000,
                connect=seconds * CONNECT_SHARE,
            ),
            allow_redirects=False,
            middlewares=(_send_once,),
        ) as response:
            return response.status, await response.read()


async def _send_once(
    request: aiohttp.ClientRequest,
    handler: aiohttp.ClientHandlerType,
) -> aiohttp.ClientResponse:
    """Keep aiohttp from repeating a request on a closed connection.

    Raises:
        PlatformError: The connection ended after the request may have been
            sent.
    """
    try:
        return await handler(request)
    except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError):
        raise
    except (aiohttp.ClientOSError, aiohttp.ServerDisconnectedError) as error:
        raise errors.PlatformError(str(error)) from error


def _key_path(key: str) -> str:
    return '/v1/kv/{0}'.format(urllib.parse.quote(key, safe='/'))


def _describe(address: str, error: Exception) -> str:
    detail = str(error) or type(error).__name__
    return '{0}: {1}'.format(address, detail)


def _parse(
    answer: Answer,
    shape: type[Parsed],
) -> result.Result[Parsed, PlatformFailure]:
    match answer:
        case result.Err(failure):
            return result.Err(failure)
        case result.Ok((status, content)):
            return _parse_status(status, content, shape)


def _parse_status(
    status: int,
    content: bytes,
    shape: type[Parsed],
) -> result.Result[Parsed, PlatformFailure]:
    if status == STATUS_NOT_FOUND:
        return result.Err(KeyNotFound())
    if status == STATUS_CONFLICT:
        return _parse_content(content, Entry).and_then(
            lambda entry: result.Err(Conflict(entry)),
        )
    if status >= STATUS_BAD_REQUEST:
        text = content[:MESSAGE_LIMIT].decode('utf-8', 'replace')
        return result.Err(ErrorResponse(status, text))
    return _parse_content(content, shape)


def _parse_content(
    content: bytes,
    shape: type[Parsed],
) -> result.Result[Parsed, PlatformFailure]:
    try:
        document = orjson.loads(content)
        return result.Ok(_adapter(shape).validate_python(document))
    except ValueError as error:
        message = 'unusable answer: {0}'.format(error)
        return result.Err(AnswerLost(message))


@functools.cache
def _adapter(shape: type[Parsed]) -> pydantic.TypeAdapter[Parsed]:
    return pydantic.TypeAdapter(shape)
