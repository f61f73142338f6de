"""State of a caller's session that outlives a statement."""

import dataclasses

import result

from celeryrelay.core import outcomes, positions
from celeryrelay.gateway import catalog
from celeryrelay.sessions import bounds, statements

# Limits of what one session may make the daemon remember.
MAX_VARIABLES = 256
MAX_TEMPLATES = 256


@dataclasses.dataclass(slots=True)
class SessionState:
    """Variables, prepared statements and position of one session.

    Attributes:
        database: Database name that the caller opened the session with.
        variables: Session variables that were acknowledged.
        templates: Prepared statements that were acknowledged, by name.
        seen: Position that later reads of the session have to see.
    """

    database: str
    variables: dict[str, str] = dataclasses.field(default_factory=dict)
    templates: dict[str, statements.Template] = dataclasses.field(
        default_factory=dict,
    )
    seen: bounds.SessionBounds = dataclasses.field(
        default_factory=bounds.SessionBounds,
    )

    def apply(
        self,
        statement: statements.SetVariable
        | statements.Prepare
        | statements.Deallocate,
    ) -> outcomes.NotRun | None:
        """Change the state; return a refusal if that is not possible."""
        match statement:
            case statements.SetVariable(name, setting):
                if len(self.variables) >= MAX_VARIABLES:
                    return _too_many('session variables', MAX_VARIABLES)
                self.variables[name] = setting
            case statements.Prepare(name, template):
                if len(self.templates) >= MAX_TEMPLATES:
                    return _too_many('prepared statements', MAX_TEMPLATES)
                self.templates[name] = template
            case statements.Deallocate(name):
                if self.templates.pop(name, None) is None:
                    return _unknown_name(name)
        return None

    def runnable(
        self,
        statement: statements.Run | statements.Execute,
    ) -> result.Result[statements.Runnable, outcomes.NotRun]:
        """Return what to run, with the template of a prepared statement."""
        match statement:
            case statements.Run():
                return result.Ok(statement)
            case statements.Execute(name, arguments):
                template = self.templates.get(name)
                if template is None:
                    return result.Err(_unknown_name(name))
                return result.Ok(statements.RunPrepared(template, arguments))

    def advance(self, position: positions.Position | None) -> None:
        """Let later reads of the session see `position`."""
        if position is not None:
            self.seen.advance(position)


@dataclasses.dataclass(frozen=True, slots=True)
class StatementContext:
    """A statement on its way, with all that its execution needs.

    Attributes:
        request_id: Id that the caller gave it.
        state: State of the caller's session.
        route: Route in force when the statement or its transaction began.
        received_at: Time in seconds at which the statement came.
        begun_at: Time at which its transaction began; the same outside of one.
    """

    request_id: str
    state: SessionState
    route: catalog.Route
    received_at: float
    begun_at: float

    @property
    def place_deadline(self) -> float:
        """Time in seconds until which the statement may wait for a server.

        A caller that is refused earlier than its latency target loses a
        chance; one that waits longer has missed it and may come back.
        """
        wait_ms = min(self.route.target_ms, self.route.timeout_ms)
        return self.received_at + wait_ms * WAIT_PART / 1000

    @property
    def primary_deadline(self) -> float:
        """Time in seconds until which the statement may wait for a primary.

        A failover takes longer than the latency target of urgent work. Served
        late is better than refused to callers that come back only twice.
        """
        return self.received_at + self.route.timeout_ms * WAIT_PART / 1000

    def acquire_deadline(self, now: float) -> float:
        """Return the time until which it may wait for a connection.

        Args:
            now: Time in seconds; a statement that waited for a primary still
                gets a chance.
        """
        return max(self.place_deadline, now + LATE_WAIT_S)

    @property
    def timeout_s(self) -> float:
        """Time that a server may take for the statement."""
        return self.route.timeout_ms / 1000


# Part of the latency target that a statement may wait for a server; the rest
# is for its work and the way back.
WAIT_PART = 0.85
# Time that a statement may wait for a connection once its target has passed.
LATE_WAIT_S = 0.15


def _too_many(what: str, limit: int) -> outcomes.NotRun:
    return outcomes.NotRun(
        outcomes.Reason.malformed,
        'more than {0} {1} in one session'.format(limit, what),
    )


def _unknown_name(name: str) -> outcomes.NotRun:
    return outcomes.NotRun(
        outcomes.Reason.unknown_statement,
        'no prepared statement {0!r} in this session'.format(name),
    )
