"""Session state of pooled connections.

Sessions share connections, so each use of one first gives it the variables and
the prepared statements of its session; only what differs is sent.
"""

import dataclasses
import hashlib
import typing
from collections import abc

from celeryrelay.gateway import commands
from celeryrelay.sessions import statements

if typing.TYPE_CHECKING:
    from celeryrelay.gateway import interfaces

# Prepared statements that a connection keeps before it is reset.
MAX_PREPARED = 200


@dataclasses.dataclass(frozen=True, slots=True)
class RequiredSessionState:
    """State that a connection must have before a session's commands.

    Attributes:
        variables: Session variables of the caller.
        template: Template that has to be prepared; None for none.
        in_transaction: Whether a transaction of the session is open; the
            connection was given the session's variables before it.
    """

    variables: abc.Mapping[str, str]
    template: statements.Template | None = None
    in_transaction: bool = False


@dataclasses.dataclass(slots=True)
class Pooled:
    """A connection with the session state that it was given."""

    connection: 'interfaces.Connection'
    variables: dict[str, str] = dataclasses.field(default_factory=dict)
    prepared: set[str] = dataclasses.field(default_factory=set)
    idle_since: float = 0

    def align(self, needs: RequiredSessionState) -> list[commands.Command]:
        """Return the commands that give the connection a session's state."""
        found: list[commands.Command] = []
        if not needs.in_transaction and self._needs_reset(needs.variables):
            found.append(commands.Reset())
            self.variables.clear()
            self.prepared.clear()
        for variable, setting in needs.variables.items():
            if self.variables.get(variable) != setting:
                found.append(commands.SetVariable(variable, setting))
                self.variables[variable] = setting
        if needs.template is not None:
            found.extend(self._prepare(needs.template))
        return found

    def _prepare(
        self,
        template: statements.Template,
    ) -> list[commands.Command]:
        name = prepared_name(template)
        if name in self.prepared:
            return []
        self.prepared.add(name)
        return [commands.Prepare(name, template)]

    def _needs_reset(self, variables: abc.Mapping[str, str]) -> bool:
        foreign = any(name not in variables for name in self.variables)
        return foreign or len(self.prepared) > MAX_PREPARED


def prepared_name(template: statements.Template) -> str:
    """Return the daemon's own name for a template."""
    text = '{0}{1}'.format('w' if template.writes else 'r', template.shape)
    digest = hashlib.blake2b(text.encode(), digest_size=8).hexdigest()
    return 'p{0}'.format(digest)
