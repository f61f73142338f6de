"""Commands to a backend server and its replies, without the wire format."""

import dataclasses
import enum

from celeryrelay.core import positions
from celeryrelay.sessions import statements


@dataclasses.dataclass(frozen=True, slots=True)
class Begin:
    """Open a transaction.

    Attributes:
        read_only: Whether any server may run it; otherwise only the primary
            opens it.
        bound: Log position that the server must have reached, if any.
    """

    read_only: bool = False
    bound: positions.Position | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Rollback:
    """Roll back the open transaction."""


@dataclasses.dataclass(frozen=True, slots=True)
class Reset:
    """Clear session variables and prepared statements."""


@dataclasses.dataclass(frozen=True, slots=True)
class SetVariable:
    """Set a session variable."""

    name: str
    value: str


@dataclasses.dataclass(frozen=True, slots=True)
class Prepare:
    """Prepare a template under a name that the daemon chose."""

    name: str
    template: statements.Template


@dataclasses.dataclass(frozen=True, slots=True)
class Run:
    """Run a caller's statement.

    Attributes:
        request_id: Id that the caller gave the statement.
        statement: The statement.
        prepared_name: Name under which its template is prepared on the
            connection; empty for a statement that is not prepared.
        bound: Log position that the server must have reached, if any.
    """

    request_id: str
    statement: statements.Runnable | statements.Commit
    prepared_name: str = ''
    bound: positions.Position | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class AskStatus:
    """Query the server's role, term and log position."""


@dataclasses.dataclass(frozen=True, slots=True)
class StepDown:
    """Demote a primary of a term below `term` to a replica."""

    term: int


@dataclasses.dataclass(frozen=True, slots=True)
class PauseReplication:
    """Stop a replica from receiving the log.

    It receives again after `ResumeReplication`, a promotion or its restart.

    Attributes:
        term: Term above the newest one that the replica knows.
    """

    term: int


@dataclasses.dataclass(frozen=True, slots=True)
class ResumeReplication:
    """Let a replica receive the log again."""


Command = (
    Begin
    | Rollback
    | Reset
    | SetVariable
    | Prepare
    | Run
    | AskStatus
    | StepDown
    | PauseReplication
    | ResumeReplication
)


class ErrorKind(enum.Enum):
    """What an error of a server says about the statement.

    Attributes:
        busy: Not run, the server already runs as many statements as it can.
        lagging: Not run, the server's log has not reached the bound.
        not_primary: Not run, the server is not the primary.
        unprepared: Not run, no statement is prepared under the name.
        ran: The statement was run, or it is unknown whether it was.
    """

    busy = 'busy'
    lagging = 'lagging'
    not_primary = 'not_primary'
    unprepared = 'unprepared'
    ran = 'ran'

    @property
    def not_run(self) -> bool:
        """Whether the statement certainly had no effect."""
        return self is not ErrorKind.ran


@dataclasses.dataclass(frozen=True, slots=True)
class Reply:
    """A complete reply of a server.

    Attributes:
        payload: Rows and final line in the form that the caller gets.
        error: Kind of the error; None for a success.
        position: Position that the server's log had reached, if given.
        in_transaction: Whether a transaction is open and usable.
        failed_transaction: Whether a transaction is open and has to be ended.
        last_row: Text of the last row; empty if there was none.
    """

    payload: bytes
    error: ErrorKind | None
    position: positions.Position | None
    in_transaction: bool = False
    failed_transaction: bool = False
    last_row: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class Lost:
    """The connection closed, or was given up, before the reply.

    Attributes:
        problem: Why there is no reply.
        between_daemons: Whether the link to the holder of the connection
            failed, which says nothing about the server.
    """

    problem: str
    between_daemons: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Status:
    """Status that a server reports about itself.

    Attributes:
        is_primary: Whether it is the primary.
        term: The newest term that it knows.
        position: Position up to which it has received the log.
    """

    is_primary: bool
    term: int
    position: positions.Position


# Longer replies of a backend server end its connection. A link between daemons
# carries a reply of this size in one frame.
MAX_REPLY_BYTES = 4 * 1024 * 1024


class ConnectError(enum.Enum):
    """Why a connection could not be opened.

    Attributes:
        full: The server has reached its connection limit.
        other_server: A different server answered at the address.
        refused: Nothing listens at the address, or the connection was reset.
        silent: No answer within the timeout.
        rejected: The server answered with another error.
    """

    full = 'full'
    other_server = 'other_server'
    refused = 'refused'
    silent = 'silent'
    rejected = 'rejected'
