"""Which connection is closed when input takes too much memory.

Answers a load of connections that each send large messages, unfinished or faster
than they are run, or don't read their answers. Does no I/O.
"""

from collections import abc

# Fraction of the memory limit of the process for data of connections.
LIMIT_FRACTION = 0.125
BYTES_PER_MB = 1024 * 1024


def limit_bytes(process_limit_mb: float) -> int:
    """Return the most bytes that all connections together may hold."""
    return int(process_limit_mb * BYTES_PER_MB * LIMIT_FRACTION)


class InputMemory:
    """The bytes that connections hold in buffers and queues."""

    def __init__(self, limit: int) -> None:
        """Permit `limit` bytes for all connections together."""
        self._limit = limit
        self._total = 0
        self._held: dict[abc.Hashable, int] = {}

    def update(
        self,
        connection: abc.Hashable,
        held: int,
    ) -> abc.Hashable | None:
        """Record how much a connection holds now.

        Args:
            connection: Identifies the connection.
            held: Bytes of unfinished messages, of statements without an answer
                and of answers that were not sent yet.

        Returns:
            The connection that holds most if there is too much; it has to be
            closed.
        """
        self.discard(connection)
        if held:
            self._held[connection] = held
            self._total += held
        if self._total <= self._limit:
            return None
        return max(self._held, key=self._held.__getitem__)

    def discard(self, connection: abc.Hashable) -> None:
        """Remove a connection that was closed."""
        self._total -= self._held.pop(connection, 0)
