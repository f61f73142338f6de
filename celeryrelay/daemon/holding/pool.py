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
WARM_CONNECTIONS = 2
_MS_PER_S = 1000


@dataclasses.dataclass(frozen=True, slots=True)
class PoolLimits:
    """Largest number of connections, and how many stay open when idle."""

    maximum: int
    warm: int = WARM_CONNECTIONS


class Pool:
    """Hands out connections, never more than the limit.

    A connection whose state is unknown is closed and never handed out again.
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
        self._slots = asyncio.Semaphore(limits.maximum)
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
        """Return a checked connection; the caller has to release it."""
        await self._slots.acquire()
        self._used += 1
        try:
            acquired = await self._checked()
        except asyncio.CancelledError:
            self._give_back()
            raise
        if acquired.is_err():
            self._give_back()
        return acquired

    def release(self, connection: backends.BackendConnection) -> None:
        """Take a connection back; one in unknown state is closed."""
        self._give_back()
        reusable = connection.healthy and not connection.in_transaction
        if reusable and not self._closed:
            connection.last_used = self._clock.monotonic()
            self._idle.append(connection)
        else:
            connection.abort()
            self.suspect()

    def suspect(self) -> None:
        """Have all idle connections checked before their next use.

        When one connection to the server went silent, something between the
        two ends may have lost track of the others as well.
        """
        for connection in self._idle:
            connection.last_used = -math.inf

    async def maintain(self) -> None:
        """Check idle connections and keep some open, off the urgent path."""
        for connection in tuple(self._idle):
            if self._is_stale(connection) and connection in self._idle:
                await self._check_idle(connection)
        await self._warm_up()

    def close(self) -> None:
        """Close all idle connections; used ones close on release."""
        self._closed = True
        while self._idle:
            self._idle.pop().abort()

    def _give_back(self) -> None:
        self._used -= 1
        self._slots.release()

    async def _checked(
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
            if not self._is_stale(connection) or await _answers(connection):
                return result.Ok(connection)
        return await backends.connect(self._address, CONNECT_TIMEOUT_MS)

    async def _check_idle(
        self,
        connection: backends.BackendConnection,
    ) -> None:
        if self._slots.locked():
            return
        await self._slots.acquire()
        self._used += 1
        self._idle.remove(connection)
        await _answers(connection)
        self.release(connection)

    async def _warm_up(self) -> None:
        while not self._closed and self.open_connections < self._limits.warm:
            if self._slots.locked() or not await self._open_idle():
                return

    async def _open_idle(self) -> bool:
        await self._slots.acquire()
        self._used += 1
        opened = await backends.connect(self._address, CONNECT_TIMEOUT_MS)
        match opened:
            case result.Ok(connection):
                self.release(connection)
            case result.Err(_):
                self._give_back()
        return opened.is_ok()

    def _is_stale(self, connection: backends.BackendConnection) -> bool:
        idle_s = self._clock.monotonic() - connection.last_used
        return idle_s * _MS_PER_S > self._options.idle_check_ms


async def _answers(connection: backends.BackendConnection) -> bool:
    answered = await connection.query('SELECT 1', PING_TIMEOUT_MS)
    if answered.is_err():
        connection.abort()
    return answered.is_ok()
