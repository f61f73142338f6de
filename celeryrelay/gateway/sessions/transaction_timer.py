"""Timer that ends a transaction whose caller sends nothing for too long."""

import asyncio
import typing
from collections import abc

from celeryrelay.gateway import directory


class TransactionTimer:
    """Calls back once a transaction was idle for as long as it may be."""

    def __init__(
        self,
        server_directory: directory.Directory,
        on_expired: abc.Callable[[str], typing.Any],
    ) -> None:
        """Create a stopped timer.

        Args:
            server_directory: Source of the limit for idle transactions.
            on_expired: Called with the cause when the limit is reached.
        """
        self._directory = server_directory
        self._on_expired = on_expired
        self._handle: asyncio.TimerHandle | None = None

    def start(self) -> None:
        """Start the timer, unless it runs or no limit is known yet."""
        configuration = self._directory.configuration
        if configuration is None or self._handle is not None:
            return
        self._handle = asyncio.get_running_loop().call_later(
            configuration.transaction_idle_ms / 1000,
            self._on_expired,
            'idle for too long',
        )

    def stop(self) -> None:
        """Stop the timer."""
        if self._handle is not None:
            self._handle.cancel()
            self._handle = None
