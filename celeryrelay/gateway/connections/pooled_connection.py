"""Pooled connections and the session state that was set on them.

Sessions share pooled connections. Before a session uses one, its variables and
prepared statements are set on it, as far as they differ from the present ones.
"""

import dataclasses
from collections import abc

from celeryrelay.gateway import commands, interfaces
from celeryrelay.gateway.connections import connection_state
from celeryrelay.sessions import statements

# Number of prepared statements beyond which a connection is reset.
MAX_PREPARED = 200


@dataclasses.dataclass(slots=True)
class PooledConnection:
    """A connection with the session state that was set on it.

    Attributes:
        connection: The connection.
        account: Client account to which it belongs, empty for none.
        variables: Session variables that were set on it.
        prepared: Names of the statements that were prepared on it.
        idle_since: Time in seconds at which it was last released.
    """

    connection: interfaces.Connection
    account: str = ''
    variables: dict[str, str] = dataclasses.field(default_factory=dict)
    prepared: set[str] = dataclasses.field(default_factory=set)
    idle_since: float = 0

    def restore_session(
        self, needs: connection_state.RequiredSessionState
    ) -> list[commands.Command]:
        """Return the commands that set the required state, and record it."""
        batch: list[commands.Command] = []
        if not needs.in_transaction and self._needs_reset(needs.variables):
            batch.append(commands.Reset())
            self.variables.clear()
            self.prepared.clear()
        for variable, setting in needs.variables.items():
            if self.variables.get(variable) != setting:
                batch.append(commands.SetVariable(variable, setting))
                self.variables[variable] = setting
        if needs.template is not None:
            batch.extend(self._prepare(needs.template))
        return batch

    def _prepare(
        self,
        template: statements.Template,
    ) -> list[commands.Command]:
        name = connection_state.prepared_name(template)
        if name in self.prepared:
            return []
        self.prepared.add(name)
        return [commands.Prepare(name, template)]

    def _needs_reset(self, variables: abc.Mapping[str, str]) -> bool:
        has_other_variable = any(
            name not in variables for name in self.variables
        )
        return has_other_variable or len(self.prepared) > MAX_PREPARED
