"""Transactions of callers.

A transaction takes a connection with its first statement and keeps it to the
end, so that a caller's pause before that costs no connection.
"""

import asyncio
import dataclasses
import functools

import result

from celeryrelay.adapters import json_log
from celeryrelay.core import outcomes
from celeryrelay.gateway import (
    catalog,
    commands,
    connection_state,
    interfaces,
    on_primary,
    reads,
    refusals,
    services,
    session_state,
    statement_exchange,
)
from celeryrelay.sessions import statements


@dataclasses.dataclass(slots=True)
class Transaction:
    """An open transaction of one session.

    Attributes:
        read_only: Whether its caller declared that it only reads.
        route: Route in force when it began.
        begun_at: Time in seconds at which its begin came.
        lease: Its connection; None before the first statement.
        wrote: Whether a write ran in it.
    """

    read_only: bool
    route: catalog.Route
    begun_at: float
    lease: interfaces.ConnectionLease | None = None
    wrote: bool = False

    @property
    def may_use_replica(self) -> bool:
        """Whether a replica may run it."""
        return self.read_only and (
            self.route.consistency is not catalog.ReadConsistency.primary
        )


class Transactions:
    """Runs the statements of transactions."""

    def __init__(
        self,
        shared: services.Services,
        reader: reads.Reader,
    ) -> None:
        """Place transactions that only read like the reads of `reader`."""
        self._shared = shared
        self._reader = reader
        self._log = json_log.get('transaction')

    async def run(
        self,
        transaction: Transaction,
        context: session_state.StatementContext,
        statement: statements.Runnable | statements.Commit,
    ) -> interfaces.Answer:
        """Run a statement or the commit; afterwards `lease` may be None."""
        while True:
            first = transaction.lease is None
            if first:
                refusal = await self._open(transaction, context)
                if refusal is not None:
                    return refusal
            answer = await self._send(transaction, context, statement)
            if not self._may_repeat(first, context, statement, answer):
                return self._finish(transaction, context, statement, answer)
            self._note(context, 'repeated', answer)
            if first:
                self.end(transaction)
            await asyncio.sleep(on_primary.RETRY_PAUSE_S)

    def end(self, transaction: Transaction, usable: bool = True) -> None:
        """Roll back what is open and give the connection back."""
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
            opened = await self._open_anywhere(context)
            if opened is not None:
                transaction.lease = opened
                return None
        attempt = functools.partial(
            on_primary.begin,
            self._shared,
            context,
        )
        match await on_primary.repeat(self._shared, context, attempt):
            case result.Ok(lease):
                transaction.lease = lease
                return None
            case result.Err(refusal):
                self._note(context, 'not opened', refusal)
                return refusal

    async def _open_anywhere(
        self,
        context: session_state.StatementContext,
    ) -> interfaces.ConnectionLease | None:
        """Open a transaction on a server that holds the read bound."""
        bound = await self._reader.bound(context)
        tried: set[str] = set()
        while bound is not None:
            server = self._reader.choose(context, tried)
            if server is None:
                return None
            tried.add(server.server_id)
            lease = await self._begin_read(
                context,
                server,
                commands.Begin(read_only=True, bound=bound),
            )
            if lease is not None:
                return lease
        return None

    async def _begin_read(
        self,
        context: session_state.StatementContext,
        server: catalog.Server,
        begin: commands.Begin,
    ) -> interfaces.ConnectionLease | None:
        server_pool = self._shared.connection_sources.get(server)
        acquired = await server_pool.acquire(
            context.route.rank,
            context.acquire_deadline(self._shared.clock.monotonic()),
        )
        match acquired:
            case result.Err(refusal):
                self._note(context, 'not opened', refusal)
                return None
        lease = acquired.ok_value
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
                return lease
            case commands.Reply():
                server_pool.on_full()
                lease.release()
                return None
        server_pool.on_no_reply(reply)
        lease.release(usable=False)
        return None

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
            self._on_success(transaction, context, statement, reply, sent_at)
        elif not isinstance(reply, commands.Reply):
            self._on_broken(transaction, reply)
        elif reply.error is commands.ErrorKind.not_primary:
            self._shared.primaries.on_not_primary(lease.server)
        return reply

    def _on_success(
        self,
        transaction: Transaction,
        context: session_state.StatementContext,
        statement: statements.Runnable | statements.Commit,
        reply: commands.Reply,
        sent_at: float,
    ) -> None:
        commits = isinstance(statement, statements.Commit)
        if transaction.may_use_replica or (commits and not transaction.wrote):
            # A server that lost the lead answers these as well.
            return
        self._shared.primaries.on_primary_confirmed(
            transaction.lease,
            sent_at,
            reply.position,
        )
        if commits:
            context.state.advance(reply.position)

    def _on_broken(
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

    def _may_repeat(
        self,
        first: bool,
        context: session_state.StatementContext,
        statement: statements.Runnable | statements.Commit,
        answer: statement_exchange.Outcome,
    ) -> bool:
        """Return whether a statement may be sent again.

        One that was not run may, if the transaction is still open or has no
        earlier statement; so may a first read whose answer was lost.
        """
        if self._shared.clock.monotonic() >= context.primary_deadline:
            return False
        match answer:
            case commands.Reply(error=error) if error and error.not_run:
                same = answer.in_transaction and (
                    error is commands.ErrorKind.busy
                )
                return first or same
            case commands.Lost():
                runs = not isinstance(statement, statements.Commit)
                return first and runs and not statement.writes
        return False

    def _finish(
        self,
        transaction: Transaction,
        context: session_state.StatementContext,
        statement: statements.Runnable | statements.Commit,
        answer: statement_exchange.Outcome,
    ) -> interfaces.Answer:
        """Return what the caller gets, and end what can't go on."""
        commits = isinstance(statement, statements.Commit)
        match answer:
            case commands.Reply(error=None):
                if commits:
                    transaction.lease.release()
                    transaction.lease = None
                return answer
            case commands.Reply():
                self.end(transaction)
                return answer
        self._note(context, 'connection lost', answer)
        if commits and transaction.wrote:
            return outcomes.OutcomeUnknown(
                outcomes.Reason.connection_lost,
                'the commit was sent and its answer is missing',
            )
        if isinstance(answer, statement_exchange.Late):
            return refusals.late()
        return outcomes.NotRun(
            outcomes.Reason.transaction_lost,
            'the connection of the transaction was lost before its commit',
        )

    def _note(
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
