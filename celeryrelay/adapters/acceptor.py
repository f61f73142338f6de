"""Accepts connections, also while the process has no descriptor left.

The accept loop of asyncio handles that case in a busy loop, with a traceback
for each turn.
"""

import asyncio
import socket
from collections import abc

from celeryrelay.adapters import json_log
from celeryrelay.core import addresses

BACKLOG = 1024
# Connections that are accepted before others are served.
ACCEPTS_PER_TURN = 16
FAILURE_PAUSE_S = 0.1
CROWDED_PAUSE_S = 0.01
# Least time between two lines in the log.
LOG_INTERVAL_S = 1.0

ProtocolFactory = abc.Callable[[], asyncio.BaseProtocol]


class Acceptor:
    """A listening socket whose connections are accepted by the event loop.

    Attributes:
        sockets: The listening socket, which is closed by `close`.
    """

    def __init__(
        self,
        sock: socket.socket,
        factory: ProtocolFactory,
        is_crowded: abc.Callable[[], bool],
    ) -> None:
        """Accept connections of `sock` for the protocols of `factory`.

        Args:
            sock: The listening socket.
            factory: Creates the protocol of a connection.
            is_crowded: Returns whether connections have to wait in the backlog
                of the kernel.
        """
        self.sockets = (sock,)
        self._sock = sock
        self._factory = factory
        self._is_crowded = is_crowded
        self._loop = asyncio.get_running_loop()
        self._tasks: set[asyncio.Task] = set()
        self._logged_at = -LOG_INTERVAL_S
        self._log = json_log.get('daemon')
        self._resume()

    def close(self) -> None:
        """Accept no more connections; the accepted ones stay open."""
        if not self._is_closed:
            self._loop.remove_reader(self._sock)
            self._sock.close()

    @property
    def _is_closed(self) -> bool:
        return self._sock.fileno() < 0

    def _resume(self) -> None:
        if not self._is_closed:
            self._loop.add_reader(self._sock, self._accept_some)

    def _accept_some(self) -> None:
        if self._is_crowded():
            self._pause(CROWDED_PAUSE_S)
            return
        for _ in range(ACCEPTS_PER_TURN):
            try:
                connection, _ = self._sock.accept()
            except (BlockingIOError, InterruptedError, ConnectionAbortedError):
                return
            except OSError as error:
                self._pause(FAILURE_PAUSE_S)
                self._log_failure(error)
                return
            connection.setblocking(False)
            task = self._loop.create_task(self._connect(connection))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    def _pause(self, duration_s: float) -> None:
        """Leave connections in the backlog of the kernel for a moment."""
        self._loop.remove_reader(self._sock)
        self._loop.call_later(duration_s, self._resume)

    def _log_failure(self, error: OSError) -> None:
        now = self._loop.time()
        if now - self._logged_at >= LOG_INTERVAL_S:
            self._logged_at = now
            self._log.error(
                'connection not accepted',
                port=self._sock.getsockname()[1],
                problem=str(error),
            )

    async def _connect(self, connection: socket.socket) -> None:
        try:
            await self._loop.connect_accepted_socket(self._factory, connection)
        except OSError as error:
            # It was reset before its protocol was set up.
            connection.close()
            self._log.info('connection ended at once', problem=str(error))


def _never() -> bool:
    return False


async def listen(
    factory: ProtocolFactory,
    address: str,
    is_crowded: abc.Callable[[], bool] = _never,
) -> Acceptor:
    """Listen on `address` (`host:port`).

    Args:
        factory: Creates the protocol of a connection.
        address: Where to listen.
        is_crowded: Returns whether connections have to wait for others.

    Raises:
        OSError: The address can't be bound.
    """
    sock = socket.create_server(addresses.parse(address), backlog=BACKLOG)
    sock.setblocking(False)
    return Acceptor(sock, factory, is_crowded)
