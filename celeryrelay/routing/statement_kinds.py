"""Result of the classification of a statement."""

import dataclasses
import enum


class Kind(enum.StrEnum):
    """What has to be done with a statement."""

    read = 'read'
    write = 'write'
    begin = 'begin'
    commit = 'commit'
    rollback = 'rollback'
    savepoint = 'savepoint'
    set_session = 'set_session'
    set_autocommit = 'set_autocommit'
    set_token = 'set_token'  # noqa: S105 (not a password)
    select_token = 'select_token'  # noqa: S105 (not a password)
    use = 'use'
    pinning = 'pinning'
    unsupported = 'unsupported'


@dataclasses.dataclass(frozen=True, slots=True)
class Classification:
    """How a statement is handled.

    Attributes:
        kind: Kind of the statement.
        message: Why it is not supported; only for `unsupported`.
        request_id: Caller's request id from the hint, empty if none.
        token: Value of a `set_token` statement.
        schema: Schema of a `use` statement.
        autocommit: Value of a `set_autocommit` statement.
        read_only: Whether a `begin` opens a read-only transaction.
        reads_connection_state: Whether the result depends on the statement
            before on the same connection (`LAST_INSERT_ID()`). Outside a
            transaction or a pinned session such a statement may reach another
            connection.
    """

    kind: Kind
    message: str = ''
    request_id: str = ''
    token: str | None = None
    schema: str = ''
    autocommit: bool | None = None
    read_only: bool = False
    reads_connection_state: bool = False


def unsupported(message: str) -> Classification:
    """Return the classification of a refused statement."""
    return Classification(Kind.unsupported, message)
