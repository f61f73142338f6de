"""Quota of a backend server's connections that each daemon may use."""

# Connections that are kept free for new daemons and for status requests.
RESERVED_CONNECTIONS = 1
# How long a daemon still counts after its registration ended, in seconds. The
# connections of a daemon that dies are closed by the server after 3 s, but a
# daemon that has only lost its registration in the store keeps using them for
# longer.
REMOVED_GRACE_S = 10.0
# Minimum number of daemons by which the connections are divided. A daemon that
# has just started, for instance after all daemons failed, does not know the
# others yet.
MIN_MEMBERS = 4


def per_daemon(connection_limit: int, members: int) -> int:
    """Return the number of connections to one server that a daemon may open.

    Args:
        connection_limit: Total number of connections that the server accepts.
        members: Number of daemons that may be running.
    """
    divisor = max(members, MIN_MEMBERS)
    return max((connection_limit - RESERVED_CONNECTIONS) // divisor, 1)


class MemberTracker:
    """Tracks the number of daemons by which the connections are divided.

    A daemon counts as soon as it is registered, and for some time after its
    registration ended, because it may keep running without the store.
    """

    def __init__(self) -> None:
        """Start without members."""
        self._members: set[str] = set()
        self._removed_at: dict[str, float] = {}

    @property
    def names(self) -> frozenset[str]:
        """Names of the registered daemons."""
        return frozenset(self._members)

    def on_registered(self, name: str) -> None:
        """Add a daemon that is registered."""
        self._members.add(name)
        self._removed_at.pop(name, None)

    def on_removed(self, name: str, now: float) -> None:
        """Remove a daemon whose registration ended at `now`."""
        if name in self._members:
            self._members.discard(name)
            self._removed_at[name] = now

    def effective_count(self, now: float) -> int:
        """Return the number of daemons that may have open connections."""
        for name, removed_at in tuple(self._removed_at.items()):
            if now - removed_at > REMOVED_GRACE_S:
                self._removed_at.pop(name)
        return len(self._members) + len(self._removed_at)
