"""Statements of a caller's session, as the daemon tells them apart."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Begin:
    """Open a transaction."""

    read_only: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Commit:
    """Commit the open transaction; `text` is passed on unchanged."""

    text: str


@dataclasses.dataclass(frozen=True, slots=True)
class Rollback:
    """Roll the open transaction back."""


@dataclasses.dataclass(frozen=True, slots=True)
class Run:
    """Read or write data; `text` is passed on unchanged."""

    text: str
    writes: bool


@dataclasses.dataclass(frozen=True, slots=True)
class SetVariable:
    """Set a session variable."""

    name: str
    value: str


@dataclasses.dataclass(frozen=True, slots=True)
class Template:
    """What a prepared statement runs."""

    shape: str
    writes: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Prepare:
    """Give a template a name for the rest of the session."""

    name: str
    template: Template


@dataclasses.dataclass(frozen=True, slots=True)
class Execute:
    """Run a prepared statement with the arguments of the caller."""

    name: str
    arguments: str


@dataclasses.dataclass(frozen=True, slots=True)
class Deallocate:
    """Forget the name of a prepared statement."""

    name: str


@dataclasses.dataclass(frozen=True, slots=True)
class RunPrepared:
    """An `Execute` whose template was found in the session."""

    template: Template
    arguments: str

    @property
    def writes(self) -> bool:
        """Whether the statement may change data."""
        return self.template.writes


@dataclasses.dataclass(frozen=True, slots=True)
class Malformed:
    """A text that is no statement, and what is wrong with it."""

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
    """A statement with the id that its caller gave it."""

    request_id: str
    statement: Statement
