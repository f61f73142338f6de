"""Faults, call counts and rate limits of the service, and instance list."""

import asyncio
import collections
import dataclasses
import time
import typing
from collections import abc

from aiohttp import web

MILLISECONDS = 1000

Handler = abc.Callable[[web.Request], abc.Awaitable[web.StreamResponse]]


@dataclasses.dataclass(slots=True)
class Faults:
    """Faults of the service.

    Attributes:
        down: Connections are reset without an answer.
        slow_ms: Delay added to each call.
        lose_answers: Calls other than GET take effect, and the connection is
            reset instead of an answer.
        list_lag_ms: Age of the returned instance list.
    """

    down: bool = False
    slow_ms: float = 0
    lose_answers: bool = False
    list_lag_ms: float = 0


class RateLimit:
    """Token bucket with the capacity of one second."""

    def __init__(self, per_second: float) -> None:
        """Create a full bucket."""
        self._rate = per_second
        self._tokens = per_second
        self._updated_at = time.monotonic()

    def take(self) -> bool:
        """Take a token; return False if there is none."""
        now = time.monotonic()
        gained = (now - self._updated_at) * self._rate
        self._tokens = min(self._rate, self._tokens + gained)
        self._updated_at = now
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


class InstanceList:
    """Instance list with its history."""

    def __init__(self) -> None:
        """Create an empty list."""
        self._versions: list[tuple[float, typing.Any]] = [(0, [])]

    def replace(self, instances: typing.Any) -> None:
        """Replace the current list."""
        self._versions.append((time.monotonic(), instances))

    def as_of(self, lag_ms: float) -> typing.Any:
        """Return the list as it was `lag_ms` milliseconds ago."""
        limit = time.monotonic() - lag_ms / MILLISECONDS
        return [item for at, item in self._versions if at <= limit][-1]


class CallMiddleware:
    """Middleware that counts calls under `/v1` and applies limits and faults.

    Attributes:
        faults: Faults in effect.
        calls: Number of calls by method and route.
        refused: Number of calls refused by the rate limits.
    """

    def __init__(self, read_limit: float, write_limit: float) -> None:
        """Limit GET calls and other calls, each per second."""
        self.faults = Faults()
        self.calls: collections.Counter[str] = collections.Counter()
        self.refused = 0
        self._read_limit = RateLimit(read_limit)
        self._write_limit = RateLimit(write_limit)

    @web.middleware
    async def handle(
        self,
        request: web.Request,
        handler: Handler,
    ) -> web.StreamResponse:
        """Handle a call, subject to rate limits and faults."""
        if not request.path.startswith('/v1/'):
            return await handler(request)
        if self.faults.down:
            return _abort_connection(request)
        is_write = request.method != 'GET'
        self._count(request)
        limit = self._write_limit if is_write else self._read_limit
        if not limit.take():
            self.refused += 1
            return web.json_response({'error': 'rate limit'}, status=429)
        await asyncio.sleep(self.faults.slow_ms / MILLISECONDS)
        answer = await handler(request)
        if self.faults.down or (is_write and self.faults.lose_answers):
            return _abort_connection(request)
        return answer

    def _count(self, request: web.Request) -> None:
        resource = request.match_info.route.resource
        path = resource.canonical if resource else request.path
        self.calls[f'{request.method} {path}'] += 1


def _abort_connection(request: web.Request) -> web.StreamResponse:
    """Reset the connection.

    The returned response is never sent; aiohttp requires one.
    """
    if request.transport is not None:
        request.transport.abort()
    return web.Response(status=503)
