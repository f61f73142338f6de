"""Commands to a backend server and its replies, free of any wire format."""

import dataclasses
import enum

from celeryrelay.core import positions
from celeryrelay.sessions import statements


@dataclasses.dataclass(frozen=True, slots=True)
class Begin:
    """Open a transaction.

    Attributes:
        read_only: Whether any server may run it; otherwise the server has to
            be the primary.
        bound: Position that the server's log has to hold.
    """

    read_only: bool = False
    bound: positions.Position | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Rollback:
    """Roll the open transaction back."""


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
    """Prepare a template under the daemon's own name."""

    name: str
    template: statements.Template


@dataclasses.dataclass(frozen=True, slots=True)
class Run:
    """Run a caller's statement.

    Attributes:
        request_id: Id that the caller gave it.
        statement: The statement.
        prepared_name: Name under which its template is prepared on the
            connection; empty for a plain text.
        bound: Position that the server's log has to hold.
    """

    request_id: str
    statement: statements.Runnable | statements.Commit
    prepared_name: str = ''
    bound: positions.Position | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class AskStatus:
    """Ask the server for its role and position."""


@dataclasses.dataclass(frozen=True, slots=True)
class StepDown:
    """Make a primary of a term below `term` a replica."""

    term: int


Command = (
    Begin
    | Rollback
    | Reset
    | SetVariable
    | Prepare
    | Run
    | AskStatus
    | StepDown
)


class ErrorKind(enum.Enum):
    """What an error of a server says about the statement.

    Attributes:
        busy: Not run, the server is full.
        lagging: Not run, the log lacks the bound.
        not_primary: Not run, the server does not lead.
        unprepared: Not run, the name is not prepared.
        ran: Run, or nothing is known.
    """

    busy = 'busy'
    lagging = 'lagging'
    not_primary = 'not_primary'
    unprepared = 'unprepared'
    ran = 'ran'

    @property
    def not_run(self) -> bool:
        """Whether the statement can't have had any effect."""
        return self is not ErrorKind.ran


@dataclasses.dataclass(frozen=True, slots=True)
class Reply:
    """A complete reply of a server.

    Attributes:
        payload: Rows and last line, as the caller gets them.
        error: None for a success.
        position: Position of the server's log.
        in_transaction: Whether a transaction is open and usable.
        failed_transaction: Whether a transaction is open and has to end.
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
    """The connection ended, or was given up, before the reply.

    Attributes:
        problem: What happened.
        between_daemons: Whether it was the connection to the daemon that holds
            the server's connection; nothing is known of the server then.
    """

    problem: str
    between_daemons: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Status:
    """What a server says of itself.

    Attributes:
        is_primary: Whether it is the primary.
        term: Its newest term.
        position: Position up to which it received the log.
    """

    is_primary: bool
    term: int
    position: positions.Position


class ConnectError(enum.Enum):
    """Why a connection could not be opened.

    Attributes:
        full: The server has no connection left.
        other_server: Another server answers at the address.
        refused: Nothing listens there, or the connection was reset.
        silent: No answer within the time limit.
        rejected: The server answered with another error.
    """

    full = 'full'
    other_server = 'other_server'
    refused = 'refused'
    silent = 'silent'
    rejected = 'rejected'
