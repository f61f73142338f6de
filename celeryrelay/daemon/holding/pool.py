"""Pool of connections to one backend server."""

import asyncio
import dataclasses
import math

import result

from celeryrelay.adapters import backends
from celeryrelay.conf import settings
from celeryrelay.core import clock

CONNECT_TIMEOUT_MS = 2000
PING_TIMEOUT_MS = 1000
MIN_CONNECTIONS = 2
_MS_PER_S = 1000


@dataclasses.dataclass(frozen=True, slots=True)
class PoolLimits:
    """Limits on the connections of a pool.

    Attributes:
        maximum: Largest number of open connections.
        minimum: Number of connections that are kept open when idle.
    """

    maximum: int
    minimum: int = MIN_CONNECTIONS


class ConnectionPool:
    """Pool that never opens more connections than its limit.

    A connection in an unknown state is closed and never reused.
    """

    def __init__(
        self,
        address: backends.ConnectionParameters,
        limits: PoolLimits,
        options: settings.StatementSettings,
        ticker: clock.Clock,
    ) -> None:
        """Create an empty pool for one backend server."""
        self._address = address
        self._limits = limits
        self._options = options
        self._clock = ticker
        self._idle: list[backends.BackendConnection] = []
        self._permits = asyncio.Semaphore(limits.maximum)
        self._used = 0
        self._closed = False

    @property
    def maximum(self) -> int:
        """Return the largest number of connections."""
        return self._limits.maximum

    @property
    def open_connections(self) -> int:
        """Return the number of idle and used connections."""
        return len(self._idle) + self._used

    async def acquire(
        self,
    ) -> result.Result[
        backends.BackendConnection,
        backends.ConnectFailure,
    ]:
        """Return a usable connection, which has to be released."""
        await self._permits.acquire()
        self._used += 1
        try:
            acquired = await self._get_usable()
        except asyncio.CancelledError:
            self._release_permit()
            raise
        if acquired.is_err():
            self._release_permit()
        return acquired

    def release(self, connection: backends.BackendConnection) -> None:
        """Return a connection to the pool, or close it in an unknown state."""
        self._release_permit()
        reusable = connection.healthy and not connection.in_transaction
        if reusable and not self._closed:
            connection.last_used = self._clock.monotonic()
            self._idle.append(connection)
        else:
            connection.abort()
            self.check_before_reuse()

    def check_before_reuse(self) -> None:
        """Mark all idle connections to be pinged before their next use.

        When one connection to the server stopped answering, a network device
        on the path may have dropped the state of the others as well.
        """
        for connection in self._idle:
            connection.last_used = -math.inf

    async def maintain(self) -> None:
        """Ping stale idle connections and open the minimum number.

        This runs in the background, so that statements rarely wait for it.
        """
        for connection in tuple(self._idle):
            if self._is_stale(connection) and connection in self._idle:
                await self._check_idle(connection)
        await self._open_minimum()

    def close(self) -> None:
        """Close all idle connections; the others are closed on release."""
        self._closed = True
        while self._idle:
            self._idle.pop().abort()

    def _release_permit(self) -> None:
        self._used -= 1
        self._permits.release()

    async def _get_usable(
        self,
    ) -> result.Result[
        backends.BackendConnection,
        backends.ConnectFailure,
    ]:
        while self._idle:
            connection = self._idle.pop()
            if connection.closed_by_server:
                connection.abort()
                continue
            if not self._is_stale(connection) or await _is_responsive(
                connection
            ):
                return result.Ok(connection)
        return await backends.connect(self._address, CONNECT_TIMEOUT_MS)

    async def _check_idle(
        self,
        connection: backends.BackendConnection,
    ) -> None:
        if self._permits.locked():
            return
        await self._permits.acquire()
        self._used += 1
        self._idle.remove(connection)
        await _is_responsive(connection)
        self.release(connection)

    async def _open_minimum(self) -> None:
        while not self._closed and self.open_connections < self._limits.minimum:
            if self._permits.locked() or not await self._open_idle():
                return

    async def _open_idle(self) -> bool:
        await self._permits.acquire()
        self._used += 1
        opened = await backends.connect(self._address, CONNECT_TIMEOUT_MS)
        match opened:
            case result.Ok(connection):
                self.release(connection)
            case result.Err(_):
                self._release_permit()
        return opened.is_ok()

    def _is_stale(self, connection: backends.BackendConnection) -> bool:
        idle_s = self._clock.monotonic() - connection.last_used
        return idle_s * _MS_PER_S > self._options.idle_check_ms


async def _is_responsive(connection: backends.BackendConnection) -> bool:
    answered = await connection.query('SELECT 1', PING_TIMEOUT_MS)
    if answered.is_err():
        connection.abort()
    return answered.is_ok()
