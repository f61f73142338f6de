"""Messages between a daemon and the holder of connections that it uses.

A link is one connection between two daemons. The side that opened it leases
connections to backend servers from the other side, by numbers that it chooses
itself, and sends commands on them. Nothing is sent twice: what a lost link
leaves without an answer is answered as lost.
"""

import dataclasses

from celeryrelay.core import outcomes, ranks
from celeryrelay.gateway import commands, connection_state


@dataclasses.dataclass(frozen=True, slots=True)
class Hello:
    """First message of the side that opened the link."""

    member: str


@dataclasses.dataclass(frozen=True, slots=True)
class Acquire:
    """Ask for a connection.

    Attributes:
        lease_id: Number of the lease on this link.
        server_id: The backend server.
        rank: Rank of the statement that needs it.
        wait_ms: Time after which waiting is of no use.
    """

    lease_id: int
    server_id: str
    rank: ranks.Rank
    wait_ms: float


@dataclasses.dataclass(frozen=True, slots=True)
class Execute:
    """Send commands on a leased connection.

    Attributes:
        lease_id: The lease.
        first_call: Number of the first command; the others count on.
        batch: The commands.
        needs: Session state that the connection is given before them.
    """

    lease_id: int
    first_call: int
    batch: tuple[commands.Command, ...]
    needs: connection_state.RequiredSessionState | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Release:
    """Give a connection back, or stop waiting for one.

    Attributes:
        lease_id: The lease.
        usable: Whether the state of the connection is known.
    """

    lease_id: int
    usable: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Ping:
    """Ask for a sign of life."""


@dataclasses.dataclass(frozen=True, slots=True)
class Queued:
    """The request for a connection was received and has to wait."""

    lease_id: int


@dataclasses.dataclass(frozen=True, slots=True)
class Granted:
    """The connection is ready."""

    lease_id: int


@dataclasses.dataclass(frozen=True, slots=True)
class Refused:
    """There is no connection."""

    lease_id: int
    reason: outcomes.Reason
    message: str
    retry_after_ms: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Answered:
    """The backend server's reply to a command."""

    lease_id: int
    call: int
    reply: commands.Reply


@dataclasses.dataclass(frozen=True, slots=True)
class Failed:
    """The backend server's connection ended before the reply."""

    lease_id: int
    call: int
    problem: str


@dataclasses.dataclass(frozen=True, slots=True)
class Revoked:
    """The holder ended a lease; its connection was closed."""

    lease_id: int
    problem: str


@dataclasses.dataclass(frozen=True, slots=True)
class Leaving:
    """The holder stops soon and should get no new requests."""


@dataclasses.dataclass(frozen=True, slots=True)
class Pong:
    """Sign of life."""


ToHolder = Hello | Acquire | Execute | Release | Ping
FromHolder = Queued | Granted | Refused | Answered | Failed | Revoked | Leaving
Message = ToHolder | FromHolder | Pong
