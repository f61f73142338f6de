"""Execution of statements on one slot.

The holder admits statements by rank through the queue of its slot, sends them
to the backend server and determines the outcome to report.
"""

from collections import abc

import result

from celeryrelay.adapters import backends
from celeryrelay.admission import decisions
from celeryrelay.conf import settings
from celeryrelay.core import clock, outcomes, peer_messages
from celeryrelay.daemon.callers import refusals
from celeryrelay.daemon.holding import (
    acknowledgement,
    idempotency,
    read_checks,
    replies,
    responses,
    transactions,
)
from celeryrelay.terms import write_permission

_MS_PER_S = 1000


class SlotHolder:
    """Runs statements on one slot through its queue and connection pool."""

    def __init__(
        self,
        resources: responses.SlotResources,
        options: settings.StatementSettings,
        ticker: clock.Clock,
    ) -> None:
        """Create the holder of one slot."""
        self.resources = resources
        self.transactions = transactions.TransactionTable(ticker)
        self._options = options
        self._clock = ticker
        self._streamer = responses.ResponseStreamer(resources, options)
        self._read_check = read_checks.ReadCheck(
            resources.probe,
            resources.age,
            options,
            ticker,
        )

    async def statement(
        self, request: peer_messages.StatementRequest
    ) -> responses.ResponseLines:
        """Run a statement and yield its response lines."""
        if request.transaction:
            lines = self._in_transaction(request)
        else:
            lines = self._run_admitted(request)
        async for line in lines:
            yield line

    async def expire_transactions(
        self, live_incarnations: abc.Container[str]
    ) -> None:
        """Roll back transactions that have been idle for too long.

        Args:
            live_incarnations: Incarnations of the daemons whose heartbeats
                arrive.
        """
        for transaction in self.transactions.check_out_expired(
            live_incarnations
        ):
            await self._end_transaction(transaction, 'ROLLBACK')

    async def _run_admitted(
        self, request: peer_messages.StatementRequest
    ) -> responses.ResponseLines:
        received_at = self._clock.monotonic()
        refusal = self._early_refusal(request)
        if refusal is not None:
            yield responses.last_line(refusal)
            return
        admission = self.resources.admission
        verdict = await admission.admit(request.rank, request.budget_ms)
        if isinstance(verdict, decisions.Refuse):
            yield responses.last_line(replies.queue_refusal(verdict, request))
            return
        run = responses.StatementRun(
            request, [], self._clock.monotonic(), received_at
        )
        run.note_delay(
            outcomes.DelayCause.queue, received_at, self._clock.monotonic()
        )
        keeps_ticket = False
        ok = False
        try:
            async for line in self._with_connection(run):
                ok = not isinstance(line, peer_messages.UnknownLine)
                keeps_ticket = isinstance(
                    line, peer_messages.DoneLine
                ) and bool(
                    line.transaction,
                )
                yield line
        finally:
            # A transaction keeps the admission ticket of its BEGIN until it
            # ends, since it occupies a connection all this time.
            if keeps_ticket:
                ticket = transactions.AdmissionTicket(
                    admission, verdict.ticket_id
                )
                self.transactions.attach_ticket(request.request, ticket)
            else:
                spent_s = self._clock.monotonic() - run.started_at
                admission.release(verdict.ticket_id, spent_s * _MS_PER_S, ok=ok)

    def _early_refusal(
        self,
        request: peer_messages.StatementRequest,
    ) -> outcomes.NotRun | None:
        if request.action == 'position' or request.write:
            return self.resources.acknowledger.refusal(
                self.resources.slot.name,
                request.durability,
            )
        return None

    async def _with_connection(
        self, run: responses.StatementRun
    ) -> responses.ResponseLines:
        before = self._clock.monotonic()
        acquired = await self.resources.pool.acquire()
        run.note_delay(
            outcomes.DelayCause.connection, before, self._clock.monotonic()
        )
        if acquired.is_err():
            yield responses.last_line(
                replies.no_connection(acquired.unwrap_err())
            )
            return
        connection = acquired.unwrap()
        owned = True
        complete = False
        try:
            async for line in self._dispatch(run, connection):
                complete = isinstance(line, peer_messages.LAST_LINES)
                if (
                    isinstance(line, peer_messages.DoneLine)
                    and line.transaction
                ):
                    owned = False
                yield line
        finally:
            if not complete:
                # The receiver disconnected in the middle of a response, so
                # unread rows may be left on the connection.
                connection.abort()
            if owned:
                self.resources.pool.release(connection)

    def _dispatch(
        self,
        run: responses.StatementRun,
        connection: backends.BackendConnection,
    ) -> responses.ResponseLines:
        match run.request.action:
            case 'begin':
                return self._begin(run, connection)
            case 'position':
                return self._position(run, connection)
            case _ if run.request.write:
                return self._write(run, connection)
            case _:
                return self._read(run, connection)

    async def _read(
        self,
        run: responses.StatementRun,
        connection: backends.BackendConnection,
    ) -> responses.ResponseLines:
        request = run.request
        before = self._clock.monotonic()
        refusal = await self._read_check.refusal(request, connection)
        run.note_delay(
            outcomes.DelayCause.lag_wait, before, self._clock.monotonic()
        )
        if refusal is not None:
            yield responses.last_line(refusal)
            return
        reply = await connection.execute(
            request.sql, responses.timeout_ms(self._options, request)
        )
        async for line in self._streamer.stream(run, connection, reply):
            yield line

    async def _write(
        self,
        run: responses.StatementRun,
        connection: backends.BackendConnection,
    ) -> responses.ResponseLines:
        prepared = await self._set_term(connection)
        if isinstance(prepared, outcomes.NotRun):
            yield responses.last_line(prepared)
            return
        if run.request.caller_request:
            yield responses.last_line(
                await self._run_idempotent(run, connection)
            )
            return
        reply = await connection.execute(
            run.request.sql,
            responses.timeout_ms(self._options, run.request),
        )
        async for line in self._streamer.stream(run, connection, reply):
            yield line

    async def _set_term(
        self,
        connection: backends.BackendConnection,
    ) -> outcomes.NotRun | None:
        # Checked again because the term or the permission may have changed
        # while the statement was queued.
        permission = self.resources.acknowledger.permission()
        if isinstance(permission, write_permission.SendRefused):
            return acknowledgement.no_primary(permission.reason)
        if permission.primary != self.resources.slot.name:
            return acknowledgement.no_primary(outcomes.Reason.no_primary)
        if connection.term == permission.term:
            return None
        reply = await connection.execute(
            'SET SESSION group_term = {0}'.format(permission.term),
            self._options.progress_timeout_ms,
        )
        if isinstance(reply, backends.Ok):
            connection.term = permission.term
            return None
        return acknowledgement.no_primary(outcomes.Reason.connection_lost)

    async def _run_idempotent(
        self,
        run: responses.StatementRun,
        connection: backends.BackendConnection,
    ) -> outcomes.Outcome:
        """Run a write unless an earlier run has stored its request id."""
        ran = await idempotency.run_once(
            connection,
            idempotency.IdempotentWrite(
                sql=run.request.sql,
                caller_request=run.request.caller_request,
                timeout_ms=responses.timeout_ms(self._options, run.request),
            ),
        )
        if isinstance(ran, backends.Ok):
            return await self._streamer.acknowledge(run, ran)
        return ran

    async def _begin(
        self,
        run: responses.StatementRun,
        connection: backends.BackendConnection,
    ) -> responses.ResponseLines:
        prepared = await self._set_term(connection)
        if isinstance(prepared, outcomes.NotRun):
            yield responses.last_line(prepared)
            return
        reply = await connection.execute(
            'BEGIN',
            self._options.progress_timeout_ms,
        )
        if not isinstance(reply, backends.Ok):
            yield responses.last_line(replies.error_outcome(reply, sent=False))
            return
        transaction = self.transactions.add(run.request, connection)
        done = outcomes.Done(
            in_transaction=True,
            slot=self.resources.slot.name,
            delays=tuple(run.delays),
        )
        yield peer_messages.DoneLine(done, transaction=transaction)

    async def _position(
        self,
        run: responses.StatementRun,
        connection: backends.BackendConnection,
    ) -> responses.ResponseLines:
        answered = await connection.query(
            'CALL group_status()',
            self._options.progress_timeout_ms,
        )
        match answered:
            case result.Ok([(_, term, 'primary', _, applied), *_]):
                ran = backends.Ok(
                    affected_rows=0,
                    last_insert_id=0,
                    in_transaction=False,
                    term=int(term),
                    offset=int(applied),
                )
                yield responses.last_line(
                    await self._streamer.acknowledge(run, ran)
                )
            case _:
                yield responses.last_line(
                    acknowledgement.no_primary(outcomes.Reason.no_primary),
                )

    async def _in_transaction(
        self,
        request: peer_messages.StatementRequest,
    ) -> responses.ResponseLines:
        transaction = self.transactions.check_out(request.transaction)
        if transaction is None:
            yield responses.last_line(
                refusals.rolled_back('unknown transaction')
            )
            return
        now = self._clock.monotonic()
        run = responses.StatementRun(request, [], now, now)
        ended = True
        try:
            if request.action in {'commit', 'rollback'}:
                yield responses.last_line(
                    await self._commit_or_roll_back(run, transaction)
                )
            else:
                reply = await transaction.connection.execute(
                    request.sql,
                    responses.timeout_ms(self._options, request),
                )
                lines = self._streamer.stream(
                    run, transaction.connection, reply
                )
                async for line in lines:
                    ended = not (
                        isinstance(line, peer_messages.LAST_LINES)
                        and transaction.connection.in_transaction
                        and transaction.connection.healthy
                    )
                    yield line
        finally:
            if ended:
                self._close_transaction(transaction)
            else:
                self.transactions.check_in(transaction)

    async def _commit_or_roll_back(
        self,
        run: responses.StatementRun,
        transaction: transactions.Transaction,
    ) -> outcomes.Outcome:
        commit = run.request.action == 'commit'
        reply = await transaction.connection.execute(
            'COMMIT' if commit else 'ROLLBACK',
            responses.timeout_ms(self._options, run.request),
        )
        if isinstance(reply, backends.Ok):
            return await self._streamer.acknowledge(run, reply)
        if commit:
            return replies.error_outcome(reply, sent=True)
        return outcomes.Done()

    async def _end_transaction(
        self,
        transaction: transactions.Transaction,
        sql: str,
    ) -> None:
        await transaction.connection.execute(
            sql,
            self._options.progress_timeout_ms,
        )
        self._close_transaction(transaction)

    def _close_transaction(self, transaction: transactions.Transaction) -> None:
        if transaction.connection.in_transaction:
            transaction.connection.abort()
        ticket = self.transactions.remove(transaction)
        if ticket is not None:
            ticket.admission.release(ticket.ticket_id, 0, ok=True)
        self.resources.pool.release(transaction.connection)
