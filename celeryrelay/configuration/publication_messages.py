"""Events, commands and outcomes of a publish command."""

import dataclasses
import typing

from celeryrelay.configuration import differences


@dataclasses.dataclass(frozen=True, slots=True)
class ValueFound:
    """Event: the key was read, or a write met a conflict."""

    value: typing.Any
    store_revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class KeyAbsent:
    """Event: the key does not exist."""


@dataclasses.dataclass(frozen=True, slots=True)
class WriteSucceeded:
    """Event: the write succeeded."""


@dataclasses.dataclass(frozen=True, slots=True)
class Failed:
    """Event: the call failed.

    Attributes:
        message: What happened.
        may_have_taken_effect: False if a write certainly had no effect.
        final: Whether the same call would fail again.
    """

    message: str
    may_have_taken_effect: bool
    final: bool = False


Event = ValueFound | KeyAbsent | WriteSucceeded | Failed


@dataclasses.dataclass(frozen=True, slots=True)
class Read:
    """Command: read the key after a delay."""

    delay_ms: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Write:
    """Command: write the key after a delay, expecting a store revision."""

    value: typing.Mapping[str, typing.Any]
    expected: int
    delay_ms: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Published:
    """Outcome: the set is, or was, in force.

    Attributes:
        revision: Its revision.
        differences: What it changed.
        replaced_by: Revision that has replaced it already, 0 if none.
    """

    revision: int
    differences: tuple[differences.Difference, ...]
    replaced_by: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Unchanged:
    """Outcome: the set in force has the same objects; nothing was written."""

    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class PublicationConflict:
    """Outcome: another publication came first; nothing was published.

    Attributes:
        revision: Revision in force.
        publication: Its publication id.
        differences: From the set in force to the refused set.
    """

    revision: int
    publication: str
    differences: tuple[differences.Difference, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Rejected:
    """Outcome: the set can't be published; nothing was."""

    message: str


@dataclasses.dataclass(frozen=True, slots=True)
class PlatformUnreachable:
    """Outcome: the platform did not answer; nothing was published."""

    message: str


@dataclasses.dataclass(frozen=True, slots=True)
class Unconfirmed:
    """Outcome: the set may be in force, or may still come into force."""

    publication: str
    message: str


Outcome = (
    Published
    | Unchanged
    | PublicationConflict
    | Rejected
    | PlatformUnreachable
    | Unconfirmed
)


@dataclasses.dataclass(frozen=True, slots=True)
class Finish:
    """Command: stop with an outcome."""

    outcome: Outcome


Command = Read | Write | Finish


@dataclasses.dataclass(frozen=True, slots=True)
class PublishRequest:
    """What an operator wants to publish.

    Attributes:
        publication: Random id of this publish command.
        raw: Checked objects.
        base_revision: Revision on which the objects are based; the
            publication loses if another one is in force. None for any.
        above_revision: The new revision is higher than this one; needed when
            the store has lost the revisions that daemons know.
    """

    publication: str
    raw: typing.Mapping[str, typing.Any]
    base_revision: int | None = None
    above_revision: int = 0
