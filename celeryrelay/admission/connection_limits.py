"""Which connections a daemon keeps when its descriptors run out.

Answers a load of more connections, with sessions or silent ones, than the
process has descriptors for: callers and other daemons can't take those that it
needs for its own connections to backend servers and the store. Does no I/O.
"""

import dataclasses
import typing
from collections import abc

# Fraction of the descriptors, and their least number, that callers can't take.
RESERVED_FRACTION = 0.25
MIN_RESERVED = 96
# Fractions of the reserved descriptors for the connections of other daemons and
# for each page (health checks, metrics).
LINKS_FRACTION = 0.25
PAGE_FRACTION = 0.125
# Refused connections that stay open until their refusal was read, at which no
# further connection is accepted.
MAX_REFUSED_OPEN = 8
# Time without a message after which a connection is closed.
SILENCE_TIMEOUT_S = 10.0
# The same while another connection needs its place.
CROWDED_SILENCE_TIMEOUT_S = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class ConnectionBudget:
    """Most connections that are accepted, by the kind of the other side.

    Attributes:
        callers: Connections of callers.
        links: Links from other daemons.
        page: Connections to each page, of health checks and of metrics.
    """

    callers: int
    links: int
    page: int


def plan(descriptors: int) -> ConnectionBudget:
    """Divide the descriptors that are available for connections."""
    reserved = max(int(descriptors * RESERVED_FRACTION), MIN_RESERVED)
    reserved = min(reserved, descriptors // 2)
    return ConnectionBudget(
        callers=max(descriptors - reserved, 1),
        links=max(int(reserved * LINKS_FRACTION), 1),
        page=max(int(reserved * PAGE_FRACTION), 1),
    )


@dataclasses.dataclass(frozen=True, slots=True)
class Admitted:
    """A connection may stay.

    Attributes:
        displaced: Silent connection that has to be closed for it, if any.
    """

    displaced: abc.Hashable | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Refused:
    """A connection has to be closed, since all places are in use."""


Admission = Admitted | Refused


class ConnectionLimit:
    """Admits the connections of one listener.

    A connection without a message is silent until `keep` is called for it.
    """

    def __init__(self, limit: int) -> None:
        """Admit `limit` connections at a time."""
        self._limit = limit
        self._kept: set[abc.Hashable] = set()
        # Silent connections with the time of their last message, oldest first.
        self._silent: dict[abc.Hashable, float] = {}
        self._refused: set[abc.Hashable] = set()

    def __len__(self) -> int:
        """Return the number of admitted connections."""
        return len(self._kept) + len(self._silent)

    def admit(self, connection: abc.Hashable, now: float) -> Admission:
        """Decide about a new connection, which is silent.

        Args:
            connection: Identifies the connection.
            now: Monotonic time in seconds.
        """
        displaced = None
        if len(self) >= self._limit:
            displaced = next(self.expired(now, CROWDED_SILENCE_TIMEOUT_S), None)
            if displaced is None:
                return Refused()
            self.discard(displaced)
        self._silent[connection] = now
        return Admitted(displaced)

    @property
    def is_crowded(self) -> bool:
        """Whether enough refused connections are still open."""
        return len(self._refused) >= MAX_REFUSED_OPEN

    def linger(self, connection: abc.Hashable) -> None:
        """Record that a refused connection stays open for its refusal."""
        self._refused.add(connection)

    def touch(self, connection: abc.Hashable, now: float) -> None:
        """Record a message after which the connection is silent again."""
        if self._silent.pop(connection, None) is not None:
            self._silent[connection] = now

    def keep(self, connection: abc.Hashable) -> None:
        """Let a connection stay for as long as it likes."""
        if self._silent.pop(connection, None) is not None:
            self._kept.add(connection)

    def discard(self, connection: abc.Hashable) -> None:
        """Remove a connection that was closed."""
        self._kept.discard(connection)
        self._silent.pop(connection, None)
        self._refused.discard(connection)

    def expired(
        self,
        now: float,
        timeout_s: float = SILENCE_TIMEOUT_S,
    ) -> typing.Iterator[abc.Hashable]:
        """Return the connections that are silent for `timeout_s` or longer."""
        for connection, since in tuple(self._silent.items()):
            if now - since < timeout_s:
                return
            yield connection
