"""When a daemon uses a raised limit of connections to a server.

Answers overload and changes of the fleet, in which connections pass from one
daemon to another: the server still counts those that the other daemon is about
to close, or has just closed. Does no I/O.
"""

# Time for which a higher limit must be in force before it is used. Daemons see
# a change of the fleet at different times and apply it every 0.25 s; a server
# counts a connection until it has read its end.
RAISE_DELAY_S = 1.0


class LimitChanges:
    """Lowers a limit at once, and raises it after a delay."""

    def __init__(self, limit: int) -> None:
        """Start with `limit`, without a delay."""
        self._current = limit
        self._raised_since: float | None = None

    def lower(self, limit: int) -> None:
        """Record that fewer connections were possible than the limit."""
        if limit < self._current:
            self._current = limit
            self._raised_since = None

    def apply(self, limit: int, now: float) -> int:
        """Return the limit to use while the plan says `limit`.

        Args:
            limit: Limit of the plan in force.
            now: Monotonic time in seconds.
        """
        if limit <= self._current:
            self._current = limit
            self._raised_since = None
        elif self._raised_since is None:
            self._raised_since = now
        elif now - self._raised_since >= RAISE_DELAY_S:
            self._current = limit
            self._raised_since = None
        return self._current
