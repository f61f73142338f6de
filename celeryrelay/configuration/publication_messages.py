"""Events, commands and outcomes of the publication state machine."""

import dataclasses
import typing

from celeryrelay.configuration import differences


@dataclasses.dataclass(frozen=True, slots=True)
class ValueFound:
    """Event: the key has this value.

    Answers a read, or a write that failed because the store was not at the
    expected revision.
    """

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
        message: Error message of the call.
        may_have_taken_effect: Whether the store may have applied a write
            although no answer arrived.
        final: Whether a retry of the same call would fail again.
    """

    message: str
    may_have_taken_effect: bool
    final: bool = False


Event = ValueFound | KeyAbsent | WriteSucceeded | Failed


@dataclasses.dataclass(frozen=True, slots=True)
class Read:
    """Command: read the key after `delay_ms`."""

    delay_ms: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Write:
    """Command: write the key after `delay_ms` by compare-and-swap.

    The write succeeds only if the store is at revision `expected`.
    """

    value: typing.Mapping[str, typing.Any]
    expected: int
    delay_ms: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Published:
    """Outcome: the object set is active, or was until it was replaced.

    Attributes:
        revision: Revision of the published set.
        differences: Changes from the previously active set.
        replaced_by: Revision by which it has already been replaced; 0 if it
            has not been.
    """

    revision: int
    differences: tuple[differences.Difference, ...]
    replaced_by: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Unchanged:
    """Outcome: the active set has the same objects; nothing was written."""

    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class PublicationConflict:
    """Outcome: another publication came first; nothing was published.

    Attributes:
        revision: Revision of the active set.
        publication: Publication id of the active set.
        differences: Changes from the active set to the refused one.
    """

    revision: int
    publication: str
    differences: tuple[differences.Difference, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Rejected:
    """Outcome: the set can't be published; nothing was published."""

    message: str


@dataclasses.dataclass(frozen=True, slots=True)
class PlatformUnreachable:
    """Outcome: the platform did not answer; nothing was published."""

    message: str


@dataclasses.dataclass(frozen=True, slots=True)
class Unconfirmed:
    """Outcome: unknown whether the set is active or will become active."""

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
    """Command: end the publish command with `outcome`."""

    outcome: Outcome


Command = Read | Write | Finish


@dataclasses.dataclass(frozen=True, slots=True)
class PublishRequest:
    """Object set that an operator publishes.

    Attributes:
        publication: Random id of this publish command.
        raw: Validated objects, as parsed from JSON.
        base_revision: Revision that the objects were derived from; the
            publication fails with a conflict if another one is active. None
            to publish over any revision.
        above_revision: The new revision has to exceed this one; needed when
            the store has lost revisions that daemons already applied.
    """

    publication: str
    raw: typing.Mapping[str, typing.Any]
    base_revision: int | None = None
    above_revision: int = 0
