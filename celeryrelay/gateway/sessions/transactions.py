"""Execution of callers' transactions.

A transaction takes a connection for its first statement and keeps it to the
end. Between the begin and the first statement it occupies no connection.
"""

import asyncio
import dataclasses
import functools
import itertools

import result

from celeryrelay.adapters import json_log
from celeryrelay.core import errors, outcomes
from celeryrelay.gateway import catalog, commands, interfaces, services
from celeryrelay.gateway.connections import connection_state, statement_exchange
from celeryrelay.gateway.sessions import (
    on_primary,
    read_attempts,
    reads,
    refusals,
    session_state,
)
from celeryrelay.sessions import statements


_NOT_CONFIRMED = commands.Lost('the server was not confirmed as primary')


@dataclasses.dataclass(slots=True)
class Transaction:
    """An open transaction of one session.

    Attributes:
        read_only: Whether the caller declared it read-only.
        route: Route at the start of the transaction.
        account: Name of the client account under which it runs.
        begun_at: Time in seconds at which its begin statement arrived.
        lease: Lease of its connection; None before the first statement.
        begun: The transaction on the primary, until it is confirmed that the
            server led its group.
        wrote: Whether a write was sent in it.
        counted: Whether it was counted as an operation of its account.
    """

    read_only: bool
    route: catalog.Route
    account: str
    begun_at: float
    lease: interfaces.ConnectionLease | None = None
    begun: on_primary.BegunTransaction | None = None
    wrote: bool = False
    counted: bool = False

    @property
    def may_use_replica(self) -> bool:
        """Whether the transaction may run on a replica."""
        return self.read_only and (
            self.route.consistency is not catalog.ReadConsistency.primary
        )


def starts_operation(transaction: Transaction | None) -> bool:
    """Return whether a statement is the first of an operation, and count it.

    An operation is a single statement or a transaction.

    Args:
        transaction: Transaction of the statement, None for a single one.
    """
    if transaction is None:
        return True
    is_first = not transaction.counted
    transaction.counted = True
    return is_first


class TransactionExecutor:
    """Runs the statements of transactions."""

    def __init__(
        self,
        shared: services.Services,
        reader: reads.ReadExecutor,
    ) -> None:
        """Choose servers for read-only transactions with `reader`."""
        self._shared = shared
        self._reader = reader
        self._log = json_log.get('transaction')

    async def run(
        self,
        transaction: Transaction,
        context: session_state.StatementContext,
        statement: statements.Runnable | statements.Commit,
    ) -> interfaces.Answer:
        """Run a statement or the commit and return the answer.

        Afterwards, the transaction has no lease if it ended or was not opened.
        """
        for attempts in itertools.count(1):
            is_first = transaction.lease is None
            if is_first:
                refusal = await self._open(transaction, context)
                if refusal is not None:
                    return refusal
            refusal = self._shared.authorizer.check_again(context)
            if refusal is not None:
                self.end(transaction)
                return refusal
            answer = await self._send(transaction, context, statement)
            pause_s: float | None = None
            if self._may_retry(is_first, context, statement, answer):
                pause_s = self._pause_s(context, answer, attempts)
            if pause_s is None:
                return self._finish(transaction, context, statement, answer)
            self._record_event(context, 'repeated', answer)
            if is_first:
                self.end(transaction)
            await asyncio.sleep(pause_s)
        raise errors.InvariantError('the loop ended without an answer')

    def _pause_s(
        self,
        context: session_state.StatementContext,
        answer: statement_exchange.Outcome,
        attempts: int,
    ) -> float | None:
        """Return the wait before the next attempt, None if there is to be none.

        Work that was done in a transaction is lost without another attempt, so
        the statement's timeout limits them, and not its latency target.
        """
        match answer:
            case commands.Reply(error=commands.ErrorKind.busy):
                return self._shared.busy_retries.pause_s(
                    context.route.group,
                    attempts,
                    self._shared.clock.monotonic(),
                    context.primary_deadline,
                )
        return on_primary.RETRY_PAUSE_S

    def end(self, transaction: Transaction, usable: bool = True) -> None:
        """Roll back the transaction and release its connection."""
        lease = transaction.lease
        transaction.lease = None
        if lease is None:
            return
        if usable:
            lease.send([commands.Rollback()])
        lease.release(usable)

    async def _open(
        self,
        transaction: Transaction,
        context: session_state.StatementContext,
    ) -> outcomes.NotRun | None:
        if transaction.may_use_replica:
            match await self._open_read_only(context):
                case outcomes.NotRun() as refusal:
                    return refusal
                case opened if opened is not None:
                    transaction.lease = opened
                    return None
        attempt = functools.partial(
            on_primary.begin,
            self._shared,
            context,
        )
        match await on_primary.retry(self._shared, context, attempt):
            case result.Ok(begun):
                transaction.lease = begun.lease
                transaction.begun = begun
                return None
            case result.Err(refusal):
                self._record_event(context, 'not opened', refusal)
                return refusal

    async def _open_read_only(
        self,
        context: session_state.StatementContext,
    ) -> interfaces.ConnectionLease | outcomes.NotRun | None:
        """Begin a read-only transaction on a server that has the read bound.

        Returns:
            A refusal if the servers are overloaded, None if no server accepts
            it for other reasons.
        """
        bound = await self._reader.bound(context)
        tried: set[str] = set()
        overloaded = 0
        while bound is not None:
            server = self._reader.choose_server(context, tried)
            if server is None:
                return None
            tried.add(server.server_id)
            opened = await self._begin_read_only(
                context,
                server,
                commands.Begin(read_only=True, bound=bound),
            )
            match opened:
                case result.Ok(lease):
                    return lease
                case result.Err(outcomes.NotRun(reason) as refusal) if (
                    reason in read_attempts.OVERLOAD_REASONS
                ):
                    overloaded += 1
                    if overloaded >= read_attempts.MAX_OVERLOADED_SERVERS:
                        return refusal
        return None

    async def _begin_read_only(
        self,
        context: session_state.StatementContext,
        server: catalog.Server,
        begin: commands.Begin,
    ) -> result.Result[interfaces.ConnectionLease, outcomes.NotRun]:
        source = self._shared.connection_sources.get(server)
        acquired = await source.acquire(
            context.route.rank,
            context.acquire_deadline(self._shared.clock.monotonic()),
            context.account,
        )
        match acquired:
            case result.Err(refusal):
                self._record_event(context, 'not opened', refusal)
                return acquired
        lease = acquired.ok_value
        if self._shared.authorizer.check_again(context) is not None:
            lease.release()
            return None
        needs = connection_state.RequiredSessionState(context.state.variables)
        future = lease.send([begin], needs)[0]
        reply = await statement_exchange.wait_for_reply(
            lease,
            future,
            context.timeout_s,
            self._shared.clock,
        )
        match reply:
            case commands.Reply(error=None):
                return result.Ok(lease)
            case commands.Reply(error=error):
                source.avoid_briefly()
                lease.release()
                return result.Err(refusals.from_server_error(error))
        source.on_no_reply(reply)
        lease.release(usable=False)
        return result.Err(refusals.no_available_server())

    async def _send(
        self,
        transaction: Transaction,
        context: session_state.StatementContext,
        statement: statements.Runnable | statements.Commit,
    ) -> statement_exchange.Outcome:
        lease = transaction.lease
        sent_at = self._shared.clock.monotonic()
        match statement:
            case statements.Commit():
                commit = commands.Run(context.request_id, statement)
                future = lease.send([commit])[0]
            case _:
                transaction.wrote = transaction.wrote or statement.writes
                future = statement_exchange.send_statement(
                    lease,
                    context,
                    statement,
                    in_transaction=True,
                )
        if not transaction.may_use_replica:
            self._shared.primaries.watch_reply(lease.server, future)
        reply = await statement_exchange.wait_for_reply(
            lease,
            future,
            context.timeout_s,
            self._shared.clock,
        )
        if isinstance(reply, commands.Reply) and reply.error is None:
            return await self._on_success(
                transaction, context, statement, reply, sent_at
            )
        elif not isinstance(reply, commands.Reply):
            self._on_connection_lost(transaction, reply)
        elif reply.error is commands.ErrorKind.not_primary:
            self._shared.primaries.on_not_primary(lease.server)
        return reply

    async def _on_success(
        self,
        transaction: Transaction,
        context: session_state.StatementContext,
        statement: statements.Runnable | statements.Commit,
        reply: commands.Reply,
        sent_at: float,
    ) -> statement_exchange.Outcome:
        """Record a successful reply; return it, or `Lost` if it is void.

        A server that is no longer the primary answers the reads of open
        transactions, and a commit without writes, as well.
        """
        primaries = self._shared.primaries
        is_commit = isinstance(statement, statements.Commit)
        if not await self._is_begin_confirmed(transaction):
            self.end(transaction, usable=False)
            return _NOT_CONFIRMED
        if transaction.may_use_replica or (is_commit and not transaction.wrote):
            return reply
        if not is_commit and not self._shared.options.deposes_primaries:
            return reply
        lease = transaction.lease
        if not await primaries.has_led(lease.server, context.primary_deadline):
            self.end(transaction, usable=False)
            return _NOT_CONFIRMED
        primaries.on_primary_confirmed(lease, sent_at, reply.position)
        if is_commit:
            context.state.advance(reply.position)
        return reply

    async def _is_begin_confirmed(self, transaction: Transaction) -> bool:
        begun = transaction.begun
        transaction.begun = None
        return begun is None or await begun.is_confirmed()

    def _on_connection_lost(
        self,
        transaction: Transaction,
        outcome: statement_exchange.Outcome,
    ) -> None:
        lease = transaction.lease
        if transaction.may_use_replica:
            self._shared.connection_sources.get(lease.server).on_no_reply(
                outcome
            )
        else:
            self._shared.primaries.on_no_reply(lease, outcome)
        self.end(transaction, usable=False)

    def _may_retry(
        self,
        is_first: bool,
        context: session_state.StatementContext,
        statement: statements.Runnable | statements.Commit,
        answer: statement_exchange.Outcome,
    ) -> bool:
        """Return whether a statement may be sent again.

        A statement that was not run may be sent again if it is the first one
        of the transaction, or if the server was only busy and the transaction
        is still open. A first read may also be sent again if the connection
        was lost before its reply.
        """
        if self._shared.clock.monotonic() >= context.primary_deadline:
            return False
        match answer:
            case commands.Reply(error=error) if error and error.not_run:
                may_resend = answer.in_transaction and (
                    error is commands.ErrorKind.busy
                )
                return is_first or may_resend
            case commands.Lost():
                is_statement = not isinstance(statement, statements.Commit)
                return is_first and is_statement and not statement.writes
        return False

    def _finish(
        self,
        transaction: Transaction,
        context: session_state.StatementContext,
        statement: statements.Runnable | statements.Commit,
        answer: statement_exchange.Outcome,
    ) -> interfaces.Answer:
        """Return the answer for the caller; end a transaction that is over."""
        is_commit = isinstance(statement, statements.Commit)
        match answer:
            case commands.Reply(error=None):
                if is_commit:
                    transaction.lease.release()
                    transaction.lease = None
                return answer
            case commands.Reply(error=commands.ErrorKind.busy as error):
                self.end(transaction)
                return refusals.with_hint(
                    refusals.from_server_error(error),
                    self._shared.busy_retries.retry_after_ms(),
                )
            case commands.Reply():
                self.end(transaction)
                return answer
        self._record_event(context, 'connection lost', answer)
        if is_commit and transaction.wrote:
            return refusals.unconfirmed_write()
        if isinstance(answer, statement_exchange.Late):
            return refusals.statement_timed_out()
        return outcomes.NotRun(
            outcomes.Reason.transaction_lost,
            'the connection of the transaction was lost before its commit',
        )

    def _record_event(
        self,
        context: session_state.StatementContext,
        event: str,
        answer: interfaces.Answer | statement_exchange.Outcome,
    ) -> None:
        cause = type(answer).__name__
        match answer:
            case outcomes.NotRun():
                cause = answer.reason.value
            case commands.Lost(problem):
                cause = problem
            case commands.Reply(error=error):
                cause = error.value
        self._shared.metrics.event('transaction_{0}'.format(event))
        self._log.info(
            'transaction statement {0}'.format(event),
            request=context.request_id,
            group=context.route.group,
            cause=cause,
        )
