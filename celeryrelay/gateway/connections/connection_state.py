"""Session state that the statements of a session require on a connection."""

import dataclasses
import hashlib
from collections import abc

from celeryrelay.sessions import statements


@dataclasses.dataclass(frozen=True, slots=True)
class RequiredSessionState:
    """Session state that a connection must have before a session's commands.

    Attributes:
        variables: Session variables of the caller.
        template: Template that has to be prepared, if any.
        in_transaction: Whether the session has an open transaction on the
            connection; its variables were set before the transaction, so the
            connection is not reset.
    """

    variables: abc.Mapping[str, str]
    template: statements.Template | None = None
    in_transaction: bool = False


def prepared_name(template: statements.Template) -> str:
    """Return the name under which the daemon prepares a template."""
    text = '{0}{1}'.format('w' if template.writes else 'r', template.shape)
    digest = hashlib.blake2b(text.encode(), digest_size=8).hexdigest()
    return 'p{0}'.format(digest)
