"""Idle connections of a pool, by the client account to which they belong."""

import collections
from collections import abc

from celeryrelay.accounts import usage
from celeryrelay.gateway import account_metrics
from celeryrelay.gateway.connections import pooled_connection


class IdleConnections:
    """Idle connections to one backend server.

    A connection belongs to the account that it was opened for, and is never
    given to another one.

    Attributes:
        metrics: Counts the connections by account, None if nothing does.
    """

    def __init__(
        self, metrics: account_metrics.AccountMetrics | None = None
    ) -> None:
        """Start empty; count connections by client account in `metrics`."""
        # The one that was used last is at the end.
        self._connections: list[pooled_connection.PooledConnection] = []
        self._metrics = metrics
        self._usage = usage.ConnectionUsage()
        self._in_use: collections.Counter[str] = collections.Counter()

    def __len__(self) -> int:
        """Return the number of idle connections."""
        return len(self._connections)

    def add(self, pooled: pooled_connection.PooledConnection) -> None:
        """Add a connection that was just used."""
        self._connections.append(pooled)

    def take(
        self, account: str | None, now: float
    ) -> pooled_connection.PooledConnection | None:
        """Remove the connection of an account that was used last.

        Args:
            account: The client account, None for any.
            now: Present time in seconds.

        Returns:
            The connection, None if there is none.
        """
        for index in reversed(range(len(self))):
            found = self._connections[index].account
            if account in {None, found}:
                self._in_use[found] += 1
                if account is not None:
                    self._usage.record(found, self._in_use[found], now)
                    self._count(found, account_metrics.ConnectionEvent.reused)
                return self._connections.pop(index)
        return None

    def on_opened(self, account: str, now: float) -> None:
        """Record that a connection is opened for a statement of an account."""
        self._in_use[account] += 1
        self._usage.record(account, self._in_use[account], now)
        self._count(account, account_metrics.ConnectionEvent.opened)

    def on_released(self, account: str) -> None:
        """Record that a connection of an account is no longer in use."""
        self._in_use[account] -= 1
        if not self._in_use[account]:
            self._in_use.pop(account)

    def take_oldest(self) -> pooled_connection.PooledConnection:
        """Remove the connection that has been idle longest."""
        return self._connections.pop(0)

    def take_least_used(self, now: float) -> pooled_connection.PooledConnection:
        """Remove the connection whose account will miss it least.

        An account with n connections to the server misses one of them only
        while n statements run, so the uses of its n-th connection count. Of
        equal ones, the one that has been idle longest is removed.
        """
        opened = collections.Counter(
            pooled.account for pooled in self._connections
        )
        opened.update(self._in_use)
        least = min(
            self._connections,
            key=lambda pooled: self._usage.count(
                pooled.account, opened[pooled.account], now
            ),
        )
        self._connections.remove(least)
        self._count(least.account, account_metrics.ConnectionEvent.replaced)
        return least

    def take_expired(
        self, before: float
    ) -> list[pooled_connection.PooledConnection]:
        """Remove the connections that ended or were last used before a time."""
        return self._take_all(
            lambda pooled: (
                pooled.connection.closed or pooled.idle_since <= before
            )
        )

    def take_unknown(
        self, is_known: abc.Callable[[str], bool]
    ) -> list[pooled_connection.PooledConnection]:
        """Remove the connections whose account is no longer known."""
        return self._take_all(lambda pooled: not is_known(pooled.account))

    def _count(
        self, account: str, event: account_metrics.ConnectionEvent
    ) -> None:
        if self._metrics is not None:
            self._metrics.connection(account, event)

    def _take_all(
        self,
        condition: abc.Callable[[pooled_connection.PooledConnection], bool],
    ) -> list[pooled_connection.PooledConnection]:
        taken = list(filter(condition, self._connections))
        self._connections = [
            pooled for pooled in self._connections if pooled not in taken
        ]
        return taken
