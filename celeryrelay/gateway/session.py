"""A caller's session: statements one after the other."""

import asyncio
import collections

import result

from celeryrelay.adapters import json_log
from celeryrelay.core import outcomes, positions
from celeryrelay.gateway import (
    catalog,
    commands,
    interfaces,
    reads,
    services,
    session_state,
    transactions,
    writes,
)
from celeryrelay.sessions import statements

# Statements of one caller that may wait before its connection is closed.
MAX_WAITING = 64


class Runners:
    """What sessions of one daemon run their statements with."""

    def __init__(self, shared: services.Services) -> None:
        """Create the runners once for all sessions."""
        self.shared = shared
        self.reader = reads.Reader(shared)
        self.writer = writes.Writer(shared)
        self.transactions = transactions.Transactions(shared, self.reader)


class Session:
    """One caller's session."""

    def __init__(
        self,
        caller: interfaces.CallerConnection,
        database: str,
        runners: Runners,
    ) -> None:
        """Open a session at `database`."""
        self._caller = caller
        self._runners = runners
        self._shared = runners.shared
        self._state = session_state.SessionState(database)
        self._requests: collections.deque[tuple[statements.Request, float]]
        self._requests = collections.deque()
        self._task: asyncio.Task | None = None
        self._transaction: transactions.Transaction | None = None
        self._failed = False
        self._abort_untold = False
        self._last_request = ''
        self._quiet_since = self._shared.clock.monotonic()
        self._closed = False
        self._idle_timer: asyncio.TimerHandle | None = None
        self._position: positions.Position | None = None
        self._log = json_log.get('session')

    @property
    def idle(self) -> bool:
        """Whether the session could be closed without any loss."""
        return not (self._task or self._requests or self.in_transaction)

    @property
    def quiet_s(self) -> float:
        """Time in seconds since the session opened or got its last answer."""
        return self._shared.clock.monotonic() - self._quiet_since

    @property
    def in_transaction(self) -> bool:
        """Whether a transaction is open, usable or failed."""
        return self._transaction is not None or self._failed

    @property
    def waits_in_transaction(self) -> bool:
        """Whether a transaction is open and its caller has the word."""
        return self._transaction is not None and not self._task

    def on_request(self, request: statements.Request) -> None:
        """Take a statement of the caller."""
        if len(self._requests) >= MAX_WAITING:
            self._log.warning('too many statements at once')
            self.close()
            return
        self._requests.append((request, self._shared.clock.monotonic()))
        self._proceed()

    def on_connection_lost(self) -> None:
        """Note that the caller's connection has ended."""
        self._closed = True
        self._requests.clear()
        self._stop_timer()
        if self._task is None:
            self._drop_transaction()

    def close(self) -> None:
        """End the session."""
        self._caller.close()

    def abort_transaction(self, why: str) -> None:
        """End an open transaction while its caller has the word."""
        if not self.waits_in_transaction:
            return
        self._log.info(
            'transaction ended',
            cause=why,
            request=self._last_request,
            database=self._state.database,
        )
        self._shared.metrics.event('transaction_ended')
        self._drop_transaction()
        self._failed = True
        self._abort_untold = True

    def _proceed(self) -> None:
        while self._requests and self._task is None and not self._closed:
            self._stop_timer()
            request, received_at = self._requests.popleft()
            self._dispatch(request, received_at)
        if self.waits_in_transaction and not self._closed:
            self._start_timer()

    def _dispatch(
        self,
        request: statements.Request,
        received_at: float,
    ) -> None:
        match request.statement:
            case statements.Rollback() if self.in_transaction:
                self._drop_transaction()
                self._failed = False
                self._abort_untold = False
                self._answer(None)
            case statements.Commit() if self._failed:
                self._failed = False
                self._abort_untold = False
                self._answer(_aborted())
            case _ if self._abort_untold:
                self._abort_untold = False
                self._answer(_aborted())
            case _ if self._failed:
                self._answer(_malformed('the transaction has failed'))
            case _:
                self._dispatch_usable(request, received_at)

    def _dispatch_usable(
        self,
        request: statements.Request,
        received_at: float,
    ) -> None:
        """Handle a statement outside of a failed transaction."""
        match request.statement:
            case statements.Begin(read_only):
                self._begin(read_only, received_at)
            case statements.Run() | statements.Execute():
                self._run(request, received_at)
            case statements.Commit() if self._transaction is not None:
                self._start(request.request_id, request.statement, received_at)
            case statements.Commit() | statements.Rollback():
                self._answer(_malformed('no transaction is open'))
            case statements.Malformed(problem):
                self._answer(_malformed(problem))
            case change:
                self._answer(self._state.apply(change))

    def _begin(self, read_only: bool, received_at: float) -> None:
        if self._transaction is not None:
            self._answer(_malformed('a transaction is already open'))
            return
        route = self._shared.directory.route(self._state.database)
        if route is None:
            self._answer(unknown_database(self._state.database))
            return
        self._transaction = transactions.Transaction(
            read_only,
            route,
            received_at,
        )
        self._answer(None)

    def _run(self, request: statements.Request, received_at: float) -> None:
        match self._state.runnable(request.statement):
            case result.Ok(runnable):
                self._start(request.request_id, runnable, received_at)
            case result.Err(refusal):
                self._answer(refusal)

    def _start(
        self,
        request_id: str,
        statement: statements.Runnable | statements.Commit,
        received_at: float,
    ) -> None:
        transaction = self._transaction
        route = (
            transaction.route
            if transaction
            else self._shared.directory.route(self._state.database)
        )
        if route is None:
            self._log.info(
                'database name has no route',
                request=request_id,
                database=self._state.database,
                configuration=_version(self._shared.directory.configuration),
            )
            self._answer(unknown_database(self._state.database))
            return
        context = session_state.StatementContext(
            request_id=request_id,
            state=self._state,
            route=route,
            received_at=received_at,
            begun_at=transaction.begun_at if transaction else received_at,
        )
        self._last_request = request_id
        self._task = asyncio.create_task(self._execute(context, statement))
        self._task.add_done_callback(self._on_executed)

    async def _execute(
        self,
        context: session_state.StatementContext,
        statement: statements.Runnable | statements.Commit,
    ) -> None:
        answer = await self._answer_of(context, statement)
        self._task = None
        self._note(context, answer)
        if self._transaction is not None:
            self._settle(statement, answer)
        if self._closed:
            self._drop_transaction()
            return
        if isinstance(answer, commands.Reply):
            self._position = answer.position
        self._answer(answer)
        self._proceed()

    def _on_executed(self, task: asyncio.Task) -> None:
        """End the session if its statement failed in the daemon itself.

        The caller sees a broken connection, which promises nothing.
        """
        if task.cancelled() or task.exception() is None:
            return
        self._log.error(
            'statement failed in the daemon',
            request=self._last_request,
            error=repr(task.exception()),
        )
        self._shared.metrics.event('internal_error')
        self._drop_transaction()
        self.close()

    async def _answer_of(
        self,
        context: session_state.StatementContext,
        statement: statements.Runnable | statements.Commit,
    ) -> interfaces.Answer:
        runners = self._runners
        if self._transaction is not None:
            return await runners.transactions.run(
                self._transaction,
                context,
                statement,
            )
        if statement.writes:
            return await runners.writer.run(context, statement)
        return await runners.reader.run(context, statement)

    def _settle(
        self,
        statement: statements.Runnable | statements.Commit,
        answer: interfaces.Answer,
    ) -> None:
        """Note what a statement did to the open transaction."""
        commits = isinstance(statement, statements.Commit)
        ok = isinstance(answer, commands.Reply) and answer.error is None
        if ok and not commits:
            return
        self._drop_transaction()
        self._failed = not commits

    def _drop_transaction(self) -> None:
        transaction = self._transaction
        self._transaction = None
        if transaction is not None:
            self._runners.transactions.end(transaction)

    def _answer(self, answer: interfaces.Answer | None) -> None:
        state = interfaces.TransactionState.idle
        if self._failed:
            state = interfaces.TransactionState.failed
        elif self._transaction is not None:
            state = interfaces.TransactionState.open
        self._quiet_since = self._shared.clock.monotonic()
        self._caller.answer(answer, state, self._position)

    def _start_timer(self) -> None:
        known = self._shared.directory.configuration
        if known is None or self._idle_timer is not None:
            return
        self._idle_timer = asyncio.get_running_loop().call_later(
            known.transaction_idle_ms / 1000,
            self.abort_transaction,
            'idle for too long',
        )

    def _stop_timer(self) -> None:
        if self._idle_timer is not None:
            self._idle_timer.cancel()
            self._idle_timer = None

    def _note(
        self,
        context: session_state.StatementContext,
        answer: interfaces.Answer,
    ) -> None:
        shared = self._shared
        now = shared.clock.monotonic()
        duration_ms = (now - context.received_at) * 1000
        outcome = _outcome_name(answer)
        route = context.route
        shared.metrics.statement(
            route.group,
            route.rank.value,
            outcome,
            duration_ms,
        )
        fields = {
            'request': context.request_id,
            'group': route.group,
            'rank': route.rank.value,
            'outcome': outcome,
            'duration_ms': round(duration_ms, 1),
            'configuration': _version(shared.directory.configuration),
        }
        if outcome == 'served':
            self._log.debug('statement answered', **fields)
            return
        if not isinstance(answer, commands.Reply):
            fields['cause'] = answer.message
        fields.update(shared.primaries.log_fields(route.group))
        self._log.info('statement answered', **fields)


def _version(known: catalog.Configuration | None) -> int:
    return known.version if known else 0


def _outcome_name(answer: interfaces.Answer) -> str:
    match answer:
        case outcomes.NotRun(reason):
            return 'not run: {0}'.format(reason.value)
        case outcomes.OutcomeUnknown(reason):
            return 'unknown: {0}'.format(reason.value)
        case commands.Reply(error=None):
            return 'served'
        case commands.Reply(error=error):
            return 'server error: {0}'.format(error.value)


def unknown_database(database: str) -> outcomes.NotRun:
    """Return the refusal for a database name that no route has."""
    return outcomes.NotRun(
        outcomes.Reason.unknown_database,
        'no route has the database name {0!r}'.format(database),
    )


def _malformed(problem: str) -> outcomes.NotRun:
    return outcomes.NotRun(outcomes.Reason.malformed, problem)


def _aborted() -> outcomes.NotRun:
    return outcomes.NotRun(
        outcomes.Reason.transaction_lost,
        'the transaction had failed and was rolled back',
    )
