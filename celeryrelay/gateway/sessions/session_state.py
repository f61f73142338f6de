"""State that a session keeps between statements, and a statement's context."""

import dataclasses
import itertools

import result

from celeryrelay.accounts import directory as accounts
from celeryrelay.core import outcomes, positions
from celeryrelay.gateway import catalog
from celeryrelay.sessions import bounds, statements

# Limits on the memory that one session can use.
MAX_VARIABLES = 256
MAX_PREPARED_STATEMENTS = 256
# Names and contents of the variables and prepared statements together.
MAX_STATE_BYTES = 1024 * 1024


@dataclasses.dataclass(slots=True)
class SessionState:
    """Variables, prepared statements and read bounds of one session.

    Attributes:
        database: Database name that the caller opened the session with.
        key_digest: Digest of the API key that the caller opened it with.
        variables: Acknowledged session variables.
        prepared_statements: Templates of acknowledged prepared statements, by
            name.
        read_bounds: Log positions that later reads of the session must see.
    """

    database: str
    key_digest: accounts.KeyDigest | None = None
    variables: dict[str, str] = dataclasses.field(default_factory=dict)
    prepared_statements: dict[str, statements.Template] = dataclasses.field(
        default_factory=dict,
    )
    read_bounds: bounds.SessionBounds = dataclasses.field(
        default_factory=bounds.SessionBounds,
    )

    def apply(
        self,
        statement: statements.SetVariable
        | statements.Prepare
        | statements.Deallocate,
    ) -> outcomes.NotRun | None:
        """Apply a statement to the state; return a refusal if it is invalid."""
        match statement:
            case statements.SetVariable(name, setting):
                return self._set_variable(name, setting)
            case statements.Prepare(name, template):
                return self._prepare(name, template)
            case statements.Deallocate(name):
                if self.prepared_statements.pop(name, None) is None:
                    return _unknown_prepared_statement(name)
        return None

    def _set_variable(self, name: str, setting: str) -> outcomes.NotRun | None:
        is_new = name not in self.variables
        if is_new and len(self.variables) >= MAX_VARIABLES:
            return _limit_exceeded('session variables', MAX_VARIABLES)
        replaced = self.variables.get(name)
        if not self._has_room(name, setting, replaced):
            return _limit_exceeded('bytes of session state', MAX_STATE_BYTES)
        self.variables[name] = setting
        return None

    def _prepare(
        self, name: str, template: statements.Template
    ) -> outcomes.NotRun | None:
        replaced = self.prepared_statements.get(name)
        is_full = len(self.prepared_statements) >= MAX_PREPARED_STATEMENTS
        if replaced is None and is_full:
            return _limit_exceeded(
                'prepared statements', MAX_PREPARED_STATEMENTS
            )
        shape = replaced and replaced.shape
        if not self._has_room(name, template.shape, shape):
            return _limit_exceeded('bytes of session state', MAX_STATE_BYTES)
        self.prepared_statements[name] = template
        return None

    def _has_room(self, name: str, content: str, replaced: str | None) -> bool:
        """Return whether `content` under `name` fits, in place of `replaced`.

        Texts have one byte in each character.
        """
        freed = 0 if replaced is None else len(name) + len(replaced)
        variables = sum(map(len, itertools.chain(*self.variables.items())))
        prepared = sum(
            len(known) + len(template.shape)
            for known, template in self.prepared_statements.items()
        )
        used = variables + prepared - freed
        return used + len(name) + len(content) <= MAX_STATE_BYTES

    def resolve(
        self,
        statement: statements.Run | statements.Execute,
    ) -> result.Result[statements.Runnable, outcomes.NotRun]:
        """Replace the name of a prepared statement by its template."""
        match statement:
            case statements.Run():
                return result.Ok(statement)
            case statements.Execute(name, arguments):
                template = self.prepared_statements.get(name)
                if template is None:
                    return result.Err(_unknown_prepared_statement(name))
                return result.Ok(statements.RunPrepared(template, arguments))

    def advance(self, position: positions.Position | None) -> None:
        """Require later reads of the session to see `position`."""
        if position is not None:
            self.read_bounds.advance(position)


@dataclasses.dataclass(frozen=True, slots=True)
class StatementContext:
    """What the execution of a statement needs besides its text.

    Attributes:
        request_id: Id that the caller gave the statement.
        state: State of the caller's session.
        route: Route at the start of the statement or its transaction.
        account: Name of the client account under which it runs.
        received_at: Time in seconds at which the statement arrived.
        begun_at: Time in seconds at which its transaction began; equal to
            `received_at` outside of a transaction.
    """

    request_id: str
    state: SessionState
    route: catalog.Route
    account: str
    received_at: float
    begun_at: float

    @property
    def placement_deadline(self) -> float:
        """Time in seconds until which the statement may wait for a server.

        A refusal before the latency target gives up a statement that could
        still be served in time. A caller that waits longer misses its target
        anyway and may retry instead.
        """
        wait_ms = min(self.route.target_ms, self.route.timeout_ms)
        return self.received_at + wait_ms * WAIT_FRACTION / 1000

    @property
    def primary_deadline(self) -> float:
        """Time in seconds until which the statement may wait for a primary.

        A failover takes longer than the latency target of urgent statements.
        Callers retry only twice, so a late answer is better than a refusal.
        """
        return self.received_at + self.route.timeout_ms * WAIT_FRACTION / 1000

    def acquire_deadline(self, now: float) -> float:
        """Return the time until which it may wait for a connection.

        A statement that waited past its target for a primary still gets
        `MIN_ACQUIRE_WAIT_S`.

        Args:
            now: Time in seconds.
        """
        return max(self.placement_deadline, now + MIN_ACQUIRE_WAIT_S)

    @property
    def timeout_s(self) -> float:
        """Time in seconds that a server may take to reply to the statement."""
        return self.route.timeout_ms / 1000


# Fraction of the latency target that a statement may wait for a server; the
# rest is for its execution and for sending the answer.
WAIT_FRACTION = 0.85
# Least time that a statement may wait for a connection, even beyond its latency
# target.
MIN_ACQUIRE_WAIT_S = 0.15


def _limit_exceeded(what: str, limit: int) -> outcomes.NotRun:
    return outcomes.NotRun(
        outcomes.Reason.malformed,
        'more than {0} {1} in one session'.format(limit, what),
    )


def _unknown_prepared_statement(name: str) -> outcomes.NotRun:
    return outcomes.NotRun(
        outcomes.Reason.unknown_statement,
        'no prepared statement {0!r} in this session'.format(name),
    )
