"""Opens the listeners of a daemon, also while their ports are in use.

A port may be in use for a moment, by the process before, or for a minute or
longer, as the local port of another program's connection. An exit would not free
it: the next process would find it in use as well.
"""

import asyncio
import errno
from collections import abc

from celeryrelay.adapters import acceptor, json_log

RETRY_PAUSE_S = 0.1
# Interval between log lines on a port that stays in use.
REPORT_INTERVAL_S = 5.0
OPTIONAL_RETRY_PAUSE_S = 1.0

OpenListener = abc.Callable[[], abc.Awaitable[acceptor.Acceptor]]


async def open_required(
    name: str,
    open_listener: OpenListener,
) -> acceptor.Acceptor:
    """Open a listener without which the daemon can't serve.

    It waits as long as the port is in use.

    Args:
        name: Name of the listener in the log.
        open_listener: Opens it.

    Raises:
        OSError: It can't be opened for another reason.
    """
    loop = asyncio.get_running_loop()
    report_at = loop.time()
    log = json_log.get('daemon')
    while True:
        try:
            return await open_listener()
        except OSError as error:
            if error.errno != errno.EADDRINUSE:
                raise
            problem = str(error)
        if loop.time() >= report_at:
            report_at += REPORT_INTERVAL_S
            log.warning('port in use', listener=name, problem=problem)
        await asyncio.sleep(RETRY_PAUSE_S)


class OptionalListener:
    """A listener without which the daemon can serve."""

    def __init__(self, name: str, open_listener: OpenListener) -> None:
        """Prepare a listener that `open_listener` opens."""
        self._name = name
        self._open_listener = open_listener
        self._acceptor: acceptor.Acceptor | None = None
        self._log = json_log.get('daemon')

    async def try_open(self) -> bool:
        """Open the listener; return whether that succeeded."""
        try:
            self._acceptor = await self._open_listener()
        except OSError as error:
            self._log.error(
                'listener not open', listener=self._name, problem=str(error)
            )
            return False
        return True

    async def keep_trying(self) -> None:
        """Try again until the listener is open."""
        while not await self.try_open():
            await asyncio.sleep(OPTIONAL_RETRY_PAUSE_S)

    def close(self) -> None:
        """Close the listener if it is open."""
        if self._acceptor is not None:
            self._acceptor.close()


class ListenerSet:
    """The listeners of a daemon.

    Attributes:
        required: Listeners without which the daemon can't serve.
        optional: The others.
    """

    def __init__(self) -> None:
        """Create an empty set."""
        self.required: list[acceptor.Acceptor] = []
        self.optional: list[OptionalListener] = []
        self._tasks: list[asyncio.Task] = []

    async def add_required(
        self, name: str, open_listener: OpenListener
    ) -> acceptor.Acceptor:
        """Open a listener without which the daemon can't serve."""
        server = await open_required(name, open_listener)
        self.required.append(server)
        return server

    async def add_optional(
        self, name: str, open_listener: OpenListener
    ) -> None:
        """Open another listener, in the background if it fails at first."""
        listener = OptionalListener(name, open_listener)
        self.optional.append(listener)
        if not await listener.try_open():
            retrying = asyncio.create_task(listener.keep_trying())
            self._tasks.append(retrying)

    def close(self) -> None:
        """Close all listeners."""
        for task in self._tasks:
            task.cancel()
        for listener in (*self.required, *self.optional):
            listener.close()
