"""Kinds of statements and the result of their classification."""

import dataclasses
import enum


class Kind(enum.StrEnum):
    """Kind of a statement, which determines how it is handled.

    A `pinning` statement creates or uses state that is tied to one connection.
    """

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
    """Result of the classification of a statement.

    Attributes:
        kind: Kind of the statement.
        message: Why the statement is not supported; only for `unsupported`.
        request_id: Request id that the caller gave in a hint comment; empty if
            there is none.
        token: Value of a `set_token` statement.
        schema: Schema of a `use` statement.
        autocommit: Value of a `set_autocommit` statement.
        read_only: Whether a `begin` opens a read-only transaction.
        reads_connection_state: Whether the result depends on the previous
            statement on the same connection, as with `LAST_INSERT_ID()`.
            Outside of a transaction or a pinned session, such a statement may
            run on another connection.
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
    """Return the classification of a statement refused with `message`."""
    return Classification(Kind.unsupported, message)
