"""A caller's session, which runs its statements one at a time."""

import asyncio
import functools

import result

from celeryrelay.adapters import json_log
from celeryrelay.core import outcomes, positions
from celeryrelay.gateway import commands, interfaces, services
from celeryrelay.gateway.sessions import (
    reads,
    request_queue,
    result_recorder,
    session_state,
    transaction_timer,
    transactions,
    writes,
)
from celeryrelay.sessions import statements

# Cause of an aborted transaction or a refused statement in the log.
PLANNED_STOP = 'planned stop'


class StatementExecutors:
    """Executors of reads, writes and transactions, shared by all sessions.

    Attributes:
        accepting: Whether sessions may start statements. Near the end of a
            planned stop they may not, since the exit could interrupt them.
    """

    def __init__(self, shared: services.Services) -> None:
        """Create the executors with the services `shared`."""
        self.shared = shared
        self.accepting = True
        self.recorder = result_recorder.ResultRecorder(shared)
        self.reader = reads.ReadExecutor(shared)
        self.writer = writes.WriteExecutor(shared)
        self.transactions = transactions.TransactionExecutor(
            shared, self.reader
        )


class Session:
    """Runs the statements of one caller in the order of their arrival."""

    def __init__(
        self,
        caller: interfaces.CallerConnection,
        start: statements.SessionStart,
        executors: StatementExecutors,
    ) -> None:
        """Open the session that `start` requests."""
        self._caller = caller
        self._executors = executors
        self._shared = executors.shared
        self._state = session_state.SessionState(
            start.database, start.key_digest
        )
        self._requests = request_queue.RequestQueue()
        self._task: asyncio.Task | None = None
        self._transaction: transactions.Transaction | None = None
        self._transaction_failed = False
        self._abort_unreported = False
        self._last_request = ''
        self._idle_since = self._shared.clock.monotonic()
        self._closed = False
        self._timer = transaction_timer.TransactionTimer(
            self._shared.directory, self.abort_transaction
        )
        self._position: positions.Position | None = None
        self._log = json_log.get('session')

    @property
    def idle(self) -> bool:
        """Whether no statement or transaction would be lost by closing."""
        return not (self._task or self._requests or self.in_transaction)

    @property
    def idle_s(self) -> float:
        """Time in seconds since the last answer or since the start."""
        return self._shared.clock.monotonic() - self._idle_since

    @property
    def in_transaction(self) -> bool:
        """Whether a transaction is open, including a failed one."""
        return self._transaction is not None or self._transaction_failed

    @property
    def idle_in_transaction(self) -> bool:
        """Whether an open transaction waits for its caller's next statement."""
        return self._transaction is not None and not self._task

    def on_request(self, request: statements.Request) -> None:
        """Queue a statement and start it if no other one is running."""
        if self._requests.is_full(request):
            self._log.warning('session closed: too many queued statements')
            self.close()
            return
        self._requests.append(request, self._shared.clock.monotonic())
        self._run_next()

    def on_connection_lost(self) -> None:
        """Discard queued statements after the caller's connection closed.

        An open transaction is rolled back, after its running statement if
        there is one.
        """
        self._closed = True
        self._requests.clear()
        self._timer.stop()
        if self._task is None:
            self._end_transaction()

    def close(self) -> None:
        """Close the caller's connection."""
        self._caller.close()

    def abort_transaction(self, cause: str) -> None:
        """Roll back a transaction that waits for its caller's next statement.

        That statement is answered with an error, unless it is a rollback.
        """
        if not self.idle_in_transaction:
            return
        self._log.info(
            'idle transaction rolled back',
            cause=cause,
            request=self._last_request,
            database=self._state.database,
        )
        self._shared.metrics.event('transaction_ended')
        self._end_transaction()
        self._transaction_failed = True
        self._abort_unreported = True

    def _run_next(self) -> None:
        while self._requests and self._task is None and not self._closed:
            self._timer.stop()
            request, received_at = self._requests.popleft()
            self._dispatch(request, received_at)
        if not self.idle_in_transaction or self._closed:
            return
        if self._executors.accepting:
            self._timer.start()
        else:
            self.abort_transaction(PLANNED_STOP)

    def _dispatch(
        self,
        request: statements.Request,
        received_at: float,
    ) -> None:
        match request.statement:
            case statements.Rollback() if self.in_transaction:
                self._end_transaction()
                self._transaction_failed = False
                self._abort_unreported = False
                self._answer(None)
            case statements.Commit() if self._transaction_failed:
                self._transaction_failed = False
                self._abort_unreported = False
                self._answer(_transaction_aborted())
            case _ if self._abort_unreported:
                self._abort_unreported = False
                self._answer(_transaction_aborted())
            case _ if self._transaction_failed:
                self._answer(_malformed('the transaction has failed'))
            case _:
                self._dispatch_statement(request, received_at)

    def _dispatch_statement(
        self,
        request: statements.Request,
        received_at: float,
    ) -> None:
        """Start a statement; the session has no failed transaction."""
        if not self._executors.accepting and _runs_on_server(request.statement):
            self._refuse_for_stop(request)
            return
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
                refusal = self._shared.authorizer.check_session(self._state)
                self._answer(refusal or self._state.apply(change))

    def _refuse_for_stop(self, request: statements.Request) -> None:
        """Refuse a statement near the end of a planned stop.

        It has not run, so the caller can send it to another daemon. An open
        transaction is rolled back, and a session without one is closed.
        """
        self._log_refusal(PLANNED_STOP, request.request_id)
        refusal = _daemon_stopping()
        if self._transaction is not None:
            refusal = _transaction_aborted()
        is_commit = isinstance(request.statement, statements.Commit)
        self._refuse_and_close(refusal, is_commit)

    def _log_refusal(
        self, cause: str, request_id: str, problem: str = ''
    ) -> None:
        self._log.info(
            'statement refused',
            cause=cause,
            problem=problem,
            request=request_id,
            database=self._state.database,
        )

    def _refuse_and_close(
        self, refusal: outcomes.NotRun, is_commit: bool
    ) -> None:
        """Refuse a statement that no later one of the session may follow.

        An open transaction is rolled back, and the session is closed once its
        caller has ended it.
        """
        if self._transaction is not None:
            self._shared.metrics.event('transaction_ended')
            self._end_transaction()
            self._transaction_failed = not is_commit
        self._answer(refusal)
        if self.idle:
            self.close()

    def _begin(self, read_only: bool, received_at: float) -> None:
        if self._transaction is not None:
            self._answer(_malformed('a transaction is already open'))
            return
        route = self._shared.directory.route(self._state.database)
        if route is None:
            self._answer(unknown_database(self._state.database))
            return
        match self._shared.authorizer.authorize(route, self._state.key_digest):
            case result.Ok(account):
                self._transaction = transactions.Transaction(
                    read_only,
                    route,
                    account,
                    received_at,
                )
                self._answer(None)
            case result.Err(refusal):
                self._refuse_and_close(refusal, is_commit=False)

    def _run(self, request: statements.Request, received_at: float) -> None:
        match self._state.resolve(request.statement):
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
                'no route for the database name',
                request=request_id,
                database=self._state.database,
                configuration=result_recorder.version_of(
                    self._shared.directory.configuration
                ),
            )
            self._answer(unknown_database(self._state.database))
            return
        match self._shared.authorizer.authorize(
            route,
            self._state.key_digest,
            transaction.account if transaction else None,
        ):
            case result.Err(refusal):
                reason = refusal.reason.value
                self._log_refusal(reason, request_id, refusal.message)
                self._shared.metrics.event('refused_{0}'.format(reason))
                is_commit = isinstance(statement, statements.Commit)
                self._refuse_and_close(refusal, is_commit)
                return
            case result.Ok(account):
                self._last_request = request_id
        context = session_state.StatementContext(
            request_id=request_id,
            state=self._state,
            route=route,
            account=account,
            received_at=received_at,
            begun_at=transaction.begun_at if transaction else received_at,
        )
        self._task = asyncio.create_task(self._execute(context, statement))
        self._task.add_done_callback(self._on_task_done)

    async def _execute(
        self,
        context: session_state.StatementContext,
        statement: statements.Runnable | statements.Commit,
    ) -> None:
        run = functools.partial(self._execute_on_server, context, statement)
        if transactions.starts_operation(self._transaction):
            answer = await self._shared.quotas.run(context.account, run)
        else:
            answer = await run()
        self._task = None
        self._executors.recorder.record(context, answer, self._closed)
        if self._transaction is not None:
            self._update_transaction(statement, answer)
        if self._closed:
            self._end_transaction()
            return
        if isinstance(answer, commands.Reply):
            self._position = answer.position
        self._answer(answer)
        self._run_next()

    def _on_task_done(self, task: asyncio.Task) -> None:
        """Close the session if its statement raised an exception.

        The outcome is unknown, which the caller infers from the closed
        connection.
        """
        if task.cancelled() or task.exception() is None:
            return
        self._log.error(
            'statement raised an exception',
            request=self._last_request,
            error=repr(task.exception()),
        )
        self._shared.metrics.event('internal_error')
        self._end_transaction()
        self.close()

    async def _execute_on_server(
        self,
        context: session_state.StatementContext,
        statement: statements.Runnable | statements.Commit,
    ) -> interfaces.Answer:
        executors = self._executors
        if self._transaction is not None:
            return await executors.transactions.run(
                self._transaction,
                context,
                statement,
            )
        if statement.writes:
            return await executors.writer.run(context, statement)
        return await executors.reader.run(context, statement)

    def _update_transaction(
        self,
        statement: statements.Runnable | statements.Commit,
        answer: interfaces.Answer,
    ) -> None:
        """End the open transaction after a commit or a failed statement."""
        is_commit = isinstance(statement, statements.Commit)
        ok = isinstance(answer, commands.Reply) and answer.error is None
        if ok and not is_commit:
            return
        self._end_transaction()
        self._transaction_failed = not is_commit

    def _end_transaction(self) -> None:
        transaction = self._transaction
        self._transaction = None
        if transaction is not None:
            self._executors.transactions.end(transaction)

    def _answer(self, answer: interfaces.Answer | None) -> None:
        state = interfaces.TransactionState.idle
        if self._transaction_failed:
            state = interfaces.TransactionState.failed
        elif self._transaction is not None:
            state = interfaces.TransactionState.open
        self._idle_since = self._shared.clock.monotonic()
        self._caller.answer(answer, state, self._position)


def _runs_on_server(statement: statements.Statement) -> bool:
    match statement:
        case statements.Begin() | statements.Commit():
            return True
        case statements.Run() | statements.Execute():
            return True
    return False


def unknown_database(database: str) -> outcomes.NotRun:
    """Return the refusal for a database name without a route."""
    return outcomes.NotRun(
        outcomes.Reason.unknown_database,
        'no route for the database name {0!r}'.format(database),
    )


def _malformed(problem: str) -> outcomes.NotRun:
    return outcomes.NotRun(outcomes.Reason.malformed, problem)


def _daemon_stopping() -> outcomes.NotRun:
    return outcomes.NotRun(
        outcomes.Reason.draining, 'the daemon is stopping, connect again'
    )


def _transaction_aborted() -> outcomes.NotRun:
    return outcomes.NotRun(
        outcomes.Reason.transaction_lost,
        'the transaction had failed and was rolled back',
    )
