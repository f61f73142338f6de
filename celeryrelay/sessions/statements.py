"""Kinds of statements and requests that a caller sends in a session."""

import dataclasses

from celeryrelay.accounts import directory


@dataclasses.dataclass(frozen=True, slots=True)
class SessionStart:
    """Request of a caller to open a session.

    Attributes:
        database: Database name.
        key_digest: Digest of the caller's API key, None without one.
    """

    database: str
    key_digest: directory.KeyDigest | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Begin:
    """Open a transaction."""

    read_only: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Commit:
    """Commit the open transaction; `text` is sent to the server unchanged."""

    text: str


@dataclasses.dataclass(frozen=True, slots=True)
class Rollback:
    """Roll back the open transaction."""


@dataclasses.dataclass(frozen=True, slots=True)
class Run:
    """Read or write data; `text` is sent to the server unchanged."""

    text: str
    writes: bool


@dataclasses.dataclass(frozen=True, slots=True)
class SetVariable:
    """Set a session variable."""

    name: str
    value: str


@dataclasses.dataclass(frozen=True, slots=True)
class Template:
    """Content of a prepared statement.

    Attributes:
        shape: Statement without its arguments.
        writes: Whether it may change data.
    """

    shape: str
    writes: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Prepare:
    """Prepare a template under a name for the rest of the session."""

    name: str
    template: Template


@dataclasses.dataclass(frozen=True, slots=True)
class Execute:
    """Run a prepared statement with the caller's arguments."""

    name: str
    arguments: str


@dataclasses.dataclass(frozen=True, slots=True)
class Deallocate:
    """Remove a prepared statement from the session."""

    name: str


@dataclasses.dataclass(frozen=True, slots=True)
class RunPrepared:
    """An `Execute` statement, resolved to the template of its name."""

    template: Template
    arguments: str

    @property
    def writes(self) -> bool:
        """Whether the statement may change data."""
        return self.template.writes


@dataclasses.dataclass(frozen=True, slots=True)
class Malformed:
    """A request that can't be parsed; `problem` describes the error."""

    problem: str


Statement = (
    Begin
    | Commit
    | Rollback
    | Run
    | SetVariable
    | Prepare
    | Execute
    | Deallocate
    | Malformed
)
Runnable = Run | RunPrepared


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """A statement with the request id that the caller gave it.

    Attributes:
        request_id: The request id.
        statement: The statement.
        size_bytes: Size of the message in which it was received.
    """

    request_id: str
    statement: Statement
    size_bytes: int = dataclasses.field(default=0, compare=False)
