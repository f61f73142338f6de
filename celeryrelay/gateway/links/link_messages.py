"""Messages between a daemon and the holder whose connections it leases.

A link is one network connection between two daemons. The side that opened it
leases connections to backend servers from the other side, the holder, and sends
commands on them; it also requests operations of client accounts from it. It also
chooses the numbers of the leases. No message is sent twice: when the link closes,
commands without a reply are answered as lost.
"""

import dataclasses

from celeryrelay.core import outcomes, ranks
from celeryrelay.gateway import commands
from celeryrelay.gateway.connections import connection_state


@dataclasses.dataclass(frozen=True, slots=True)
class Hello:
    """First message of the side that opened the link."""

    member: str


@dataclasses.dataclass(frozen=True, slots=True)
class Acquire:
    """Request the lease of a connection.

    Attributes:
        lease_id: Number of the new lease on this link.
        server_id: The backend server.
        rank: Rank of the statement that needs it.
        wait_ms: Time after which the request expires.
        account: Client account of the statement, None for commands that may
            run on a connection of any account.
    """

    lease_id: int
    server_id: str
    rank: ranks.Rank
    wait_ms: float
    account: str | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Execute:
    """Send commands on a leased connection.

    Attributes:
        lease_id: Number of the lease.
        first_call: Number of the first command; the others are numbered on.
        batch: The commands.
        needs: Session state that is set on the connection before them.
    """

    lease_id: int
    first_call: int
    batch: tuple[commands.Command, ...]
    needs: connection_state.RequiredSessionState | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Release:
    """Return a connection, or withdraw the request for one.

    Attributes:
        lease_id: Number of the lease.
        usable: Whether its session state is known; otherwise it is closed.
    """

    lease_id: int
    usable: bool


@dataclasses.dataclass(frozen=True, slots=True)
class TryBegin:
    """Ask whether a server opens a write transaction, and end that at once.

    The holder sends the server's reply as `Answered`, without one `Failed`.

    Attributes:
        lease_id: Number of the request, from the numbers of leases.
        server_id: The backend server.
    """

    lease_id: int
    server_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class AskEvidence:
    """Ask when the holder last read the newest configuration.

    Attributes:
        lease_id: Number of the request, from the numbers of leases.
    """

    lease_id: int


@dataclasses.dataclass(frozen=True, slots=True)
class RequestQuota:
    """Request operations of a client account within its limit.

    Attributes:
        request_id: Number of the request on this link.
        account: Name of the client account.
        count: Number of operations.
    """

    request_id: int
    account: str
    count: int


@dataclasses.dataclass(frozen=True, slots=True)
class QuotaAnswer:
    """Answer to `RequestQuota`.

    Attributes:
        request_id: Number of the request.
        granted: Number of operations that may run.
        retry_after_ms: Time after which to ask for the others; 0 if the daemon
            doesn't decide about the account, so that the next one is asked.
    """

    request_id: int
    granted: int
    retry_after_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class Ping:
    """Check that the holder still answers."""


@dataclasses.dataclass(frozen=True, slots=True)
class Queued:
    """The request was received and waits for a connection."""

    lease_id: int


@dataclasses.dataclass(frozen=True, slots=True)
class Granted:
    """The lease was granted."""

    lease_id: int


@dataclasses.dataclass(frozen=True, slots=True)
class Refused:
    """The lease was refused."""

    lease_id: int
    reason: outcomes.Reason
    message: str
    retry_after_ms: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Answered:
    """The backend server replied to a command."""

    lease_id: int
    call: int
    reply: commands.Reply


@dataclasses.dataclass(frozen=True, slots=True)
class Failed:
    """The connection to the backend server ended before the reply."""

    lease_id: int
    call: int
    problem: str


@dataclasses.dataclass(frozen=True, slots=True)
class Revoked:
    """The holder revoked the lease and closed its connection."""

    lease_id: int
    problem: str


@dataclasses.dataclass(frozen=True, slots=True)
class EvidenceAnswer:
    """Answer to `AskEvidence`.

    Attributes:
        lease_id: Number of the request.
        version: Version of the configuration that the holder read.
        age_ms: Time from the sending of that read to this answer, None if
            there was no read.
        newest_version: Newest version that the holder has heard of.
    """

    lease_id: int
    version: int
    age_ms: float | None
    newest_version: int


@dataclasses.dataclass(frozen=True, slots=True)
class Leaving:
    """The holder is about to stop and should get no new requests."""


@dataclasses.dataclass(frozen=True, slots=True)
class Pong:
    """Answer to `Ping`."""


# Messages that the holder answers at once, without a backend server.
Question = Ping | AskEvidence | RequestQuota
ToHolder = Hello | Acquire | Execute | Release | TryBegin | Question
LeaseAnswer = Queued | Granted | Refused | Answered | Failed | Revoked
FromHolder = LeaseAnswer | EvidenceAnswer | QuotaAnswer | Leaving
Message = ToHolder | FromHolder | Pong
