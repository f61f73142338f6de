"""Share of a server's connections that each daemon may use."""

# Connections that stay free for daemons that come or ask for a status.
RESERVED = 1
# A daemon that dies leaves connections that the server drops after 3 s; one
# that only the store turns away keeps using them for longer.
LEFT_CONNECTIONS_S = 10.0


# Least number of daemons by which the connections are divided: one that has
# just started, as after a loss of all daemons, does not know the others yet.
LEAST_MEMBERS = 4


def per_daemon(connection_limit: int, members: int) -> int:
    """Return the connections to one server that a daemon may have open.

    Args:
        connection_limit: Connections that the server accepts in all.
        members: Daemons that may be running.
    """
    divisor = max(members, LEAST_MEMBERS)
    return max((connection_limit - RESERVED) // divisor, 1)


class MemberTracker:
    """Number of daemons by which connections are divided.

    It grows as soon as a daemon appears and shrinks only some time after a
    registration ended: the daemon may run on without the store.
    """

    def __init__(self) -> None:
        """Start without members."""
        self._members: set[str] = set()
        self._left: dict[str, float] = {}

    @property
    def names(self) -> frozenset[str]:
        """Names of the registered daemons."""
        return frozenset(self._members)

    def on_registered(self, name: str) -> None:
        """Note that a daemon is registered."""
        self._members.add(name)
        self._left.pop(name, None)

    def on_removed(self, name: str, now: float) -> None:
        """Note that the registration of a daemon ended."""
        if name in self._members:
            self._members.discard(name)
            self._left[name] = now

    def effective_count(self, now: float) -> int:
        """Return the number of daemons that may have connections."""
        for name, left_at in tuple(self._left.items()):
            if now - left_at > LEFT_CONNECTIONS_S:
                self._left.pop(name)
        return len(self._members) + len(self._left)
