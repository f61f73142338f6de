"""Keeps the connections of a listener within their limit."""

import asyncio
from collections import abc

from celeryrelay.adapters import json_log
from celeryrelay.admission import connection_limits, input_memory

CHECK_INTERVAL_S = 1.0

CountEvent = abc.Callable[[str], None]


class ConnectionGuard:
    """Refuses connections beyond a limit; closes silent and large ones.

    The log has a line a second at most about them.
    """

    def __init__(
        self,
        name: str,
        limit: int,
        memory: input_memory.InputMemory,
        count_event: CountEvent,
        refusal: bytes = b'',
    ) -> None:
        """Admit `limit` connections at a time.

        Args:
            name: Name of the listener in the log and the metrics.
            limit: Most open connections.
            memory: Memory of the connections of all listeners.
            count_event: Counts an event of a kind.
            refusal: Sent to a silent connection before it is closed.
        """
        self._name = name
        self._limit = limit
        self._memory = memory
        self._count_event = count_event
        self._refusal = refusal
        self._connections = connection_limits.ConnectionLimit(limit)
        self._refused = 0
        self._silent = 0
        self._large = 0
        self._check: asyncio.TimerHandle | None = None
        self._log = json_log.get('daemon')

    def admit(self, transport: asyncio.BaseTransport) -> bool:
        """Return whether a new connection may stay; the caller closes it."""
        loop = asyncio.get_running_loop()
        if self._check is None:
            self._check = loop.call_later(CHECK_INTERVAL_S, self._run_check)
        match self._connections.admit(transport, loop.time()):
            case connection_limits.Refused():
                self._refused += 1
                self._count_event('{0}_refused'.format(self._name))
                return False
            case connection_limits.Admitted(displaced):
                if displaced is not None:
                    self._close_silent(displaced)
        return True

    @property
    def is_crowded(self) -> bool:
        """Whether enough refused connections are still open."""
        return self._connections.is_crowded

    def linger(self, transport: asyncio.BaseTransport) -> None:
        """Record that a refused connection stays open for its refusal."""
        self._connections.linger(transport)

    def touch(self, transport: asyncio.BaseTransport) -> None:
        """Record a message after which more are awaited."""
        now = asyncio.get_running_loop().time()
        self._connections.touch(transport, now)

    def keep(self, transport: asyncio.BaseTransport) -> None:
        """Let a connection stay that has a session now."""
        self._connections.keep(transport)

    def hold(self, transport: asyncio.BaseTransport, held: int) -> None:
        """Record how many bytes a connection holds in buffers and queues.

        If there is too much, the connection that holds most is aborted. Its
        caller learns nothing about its statements, some of which may run.
        """
        largest = self._memory.update(transport, held)
        if largest is not None:
            self._memory.discard(largest)
            self._large += 1
            self._count_event('{0}_large'.format(self._name))
            largest.abort()

    def discard(self, transport: asyncio.BaseTransport) -> None:
        """Remove a connection that has ended."""
        self._memory.discard(transport)
        self._connections.discard(transport)

    def _run_check(self) -> None:
        self._check = None
        loop = asyncio.get_running_loop()
        for transport in self._connections.expired(loop.time()):
            self._connections.discard(transport)
            self._close_silent(transport)
        if self._refused or self._silent or self._large:
            self._log.warning(
                'connections refused or closed',
                listener=self._name,
                refused=self._refused,
                silent=self._silent,
                large=self._large,
                limit=self._limit,
            )
        self._refused = 0
        self._silent = 0
        self._large = 0
        if self._connections:
            self._check = loop.call_later(CHECK_INTERVAL_S, self._run_check)

    def _close_silent(self, transport: asyncio.Transport) -> None:
        self._silent += 1
        self._count_event('{0}_silent'.format(self._name))
        if self._refusal:
            transport.write(self._refusal)
            transport.close()
        else:
            transport.abort()
