"""Faults, call counts, rate limits and the lagging instance list."""

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
    """What is wrong with the service; times in milliseconds.

    Attributes:
        down: Connections are closed without an answer.
        slow_ms: Added to each call.
        lose_answers: Changes take effect and get no answer.
        list_lag_ms: Age of the instance list.
    """

    down: bool = False
    slow_ms: float = 0
    lose_answers: bool = False
    list_lag_ms: float = 0


class RateLimit:
    """Token bucket that holds the tokens of one second."""

    def __init__(self, per_second: float) -> None:
        """Start full."""
        self._rate = per_second
        self._tokens = per_second
        self._updated_at = time.monotonic()

    def take(self) -> bool:
        """Return whether another call is within the limit."""
        now = time.monotonic()
        gained = (now - self._updated_at) * self._rate
        self._tokens = min(self._rate, self._tokens + gained)
        self._updated_at = now
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


class InstanceList:
    """List of instances as it was some time ago."""

    def __init__(self) -> None:
        """Start empty."""
        self._versions: list[tuple[float, typing.Any]] = [(0, [])]

    def replace(self, instances: typing.Any) -> None:
        """Set the list."""
        self._versions.append((time.monotonic(), instances))

    def as_of(self, lag_ms: float) -> typing.Any:
        """Return the list as it was `lag_ms` ago."""
        limit = time.monotonic() - lag_ms / MILLISECONDS
        return [item for at, item in self._versions if at <= limit][-1]


class CallMiddleware:
    """Middleware that counts, limits and disturbs the calls under `/v1`."""

    def __init__(self, read_limit: float, write_limit: float) -> None:
        """Allow these numbers of calls a second."""
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
        """Pass a call on, or disturb it."""
        if not request.path.startswith('/v1/'):
            return await handler(request)
        if self.faults.down:
            return _abort_connection(request)
        changing = request.method != 'GET'
        self._count(request)
        limit = self._write_limit if changing else self._read_limit
        if not limit.take():
            self.refused += 1
            return web.json_response({'error': 'rate limit'}, status=429)
        await asyncio.sleep(self.faults.slow_ms / MILLISECONDS)
        answer = await handler(request)
        if self.faults.down or (changing and self.faults.lose_answers):
            return _abort_connection(request)
        return answer

    def _count(self, request: web.Request) -> None:
        resource = request.match_info.route.resource
        path = resource.canonical if resource else request.path
        self.calls[f'{request.method} {path}'] += 1


def _abort_connection(request: web.Request) -> web.StreamResponse:
    """Close the connection; the returned answer has nowhere to go."""
    if request.transport is not None:
        request.transport.abort()
    return web.Response(status=503)
