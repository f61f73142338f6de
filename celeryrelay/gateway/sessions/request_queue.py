"""Statements that a session received and has not started yet."""

import collections
import typing

from celeryrelay.sessions import statements

# Statements that a session may queue, and their size in bytes; more close its
# connection.
MAX_QUEUED_STATEMENTS = 64
MAX_QUEUED_BYTES = 2 * 1024 * 1024


class RequestQueue:
    """Statements of one session in the order of their arrival."""

    def __init__(self) -> None:
        """Start empty."""
        self._requests: collections.deque[tuple[statements.Request, float]]
        self._requests = collections.deque()

    def __len__(self) -> int:
        """Return the number of queued statements."""
        return len(self._requests)

    def __iter__(
        self,
    ) -> typing.Iterator[tuple[statements.Request, float]]:
        """Iterate over the queued statements and their times of arrival."""
        return iter(self._requests)

    def is_full(self, request: statements.Request) -> bool:
        """Return whether there is no room for `request`."""
        queued_bytes = sum(queued.size_bytes for queued, _ in self._requests)
        return (
            len(self._requests) >= MAX_QUEUED_STATEMENTS
            or queued_bytes + request.size_bytes > MAX_QUEUED_BYTES
        )

    def append(self, request: statements.Request, received_at: float) -> None:
        """Add a statement that arrived at `received_at`, in seconds."""
        self._requests.append((request, received_at))

    def popleft(self) -> tuple[statements.Request, float]:
        """Remove the oldest statement; return it and its time of arrival."""
        return self._requests.popleft()

    def clear(self) -> None:
        """Discard all statements."""
        self._requests.clear()
