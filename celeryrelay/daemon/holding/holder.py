"""Holder of the connections to one slot.

The holder's queue is where statements of different ranks meet. It sends them
to the backend server and decides what may be said about their outcome.
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
    answers,
    idempotency,
    read_checks,
    replies,
    transactions,
)
from celeryrelay.terms import write_permission

_MS_PER_S = 1000


class SlotHolder:
    """Runs statements on one slot."""

    def __init__(
        self,
        parts: answers.HolderParts,
        options: settings.StatementSettings,
        ticker: clock.Clock,
    ) -> None:
        """Create the holder of one slot."""
        self.parts = parts
        self.transactions = transactions.TransactionTable(ticker)
        self._options = options
        self._clock = ticker
        self._answers = answers.Answers(parts, options)
        self._read_check = read_checks.ReadCheck(
            parts.probe,
            parts.age,
            options,
            ticker,
        )

    async def statement(
        self, request: peer_messages.StatementRequest
    ) -> answers.Lines:
        """Run a statement and yield the lines of its answer."""
        if request.transaction:
            lines = self._in_transaction(request)
        else:
            lines = self._admitted(request)
        async for line in lines:
            yield line

    async def expire_transactions(self, heard: abc.Container[str]) -> None:
        """Roll back transactions that their entry has abandoned.

        Args:
            heard: Incarnations of the entries whose heartbeats arrive.
        """
        for transaction in self.transactions.expired(heard):
            await self._end(transaction, 'ROLLBACK')

    async def _admitted(
        self, request: peer_messages.StatementRequest
    ) -> answers.Lines:
        received_at = self._clock.monotonic()
        refusal = self._early_refusal(request)
        if refusal is not None:
            yield answers.last_line(refusal)
            return
        gate = self.parts.admission
        verdict = await gate.enter(request.rank, request.budget_ms)
        if isinstance(verdict, decisions.Refuse):
            yield answers.last_line(replies.overload(verdict, request))
            return
        run = answers.Run(request, [], self._clock.monotonic(), received_at)
        run.note_delay(
            outcomes.DelayCause.queue, received_at, self._clock.monotonic()
        )
        kept = False
        ok = False
        try:
            async for line in self._with_connection(run):
                ok = not isinstance(line, peer_messages.UnknownLine)
                kept = isinstance(line, peer_messages.DoneLine) and bool(
                    line.transaction,
                )
                yield line
        finally:
            # A statement that opened a transaction keeps its place until the
            # transaction ends.
            if kept:
                place = transactions.Place(gate, verdict.ticket_id)
                self.transactions.admit(request.request, place)
            else:
                spent_s = self._clock.monotonic() - run.started_at
                gate.leave(verdict.ticket_id, spent_s * _MS_PER_S, ok=ok)

    def _early_refusal(
        self,
        request: peer_messages.StatementRequest,
    ) -> outcomes.NotRun | None:
        if request.action == 'position' or request.write:
            return self.parts.acknowledger.refusal(
                self.parts.slot.name,
                request.durability,
            )
        return None

    async def _with_connection(self, run: answers.Run) -> answers.Lines:
        before = self._clock.monotonic()
        acquired = await self.parts.pool.acquire()
        run.note_delay(
            outcomes.DelayCause.connection, before, self._clock.monotonic()
        )
        if acquired.is_err():
            yield answers.last_line(
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
                # The receiver went away in the middle of an answer.
                connection.abort()
            if owned:
                self.parts.pool.release(connection)

    def _dispatch(
        self,
        run: answers.Run,
        connection: backends.BackendConnection,
    ) -> answers.Lines:
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
        run: answers.Run,
        connection: backends.BackendConnection,
    ) -> answers.Lines:
        request = run.request
        before = self._clock.monotonic()
        refusal = await self._read_check.refusal(request, connection)
        run.note_delay(
            outcomes.DelayCause.lag_wait, before, self._clock.monotonic()
        )
        if refusal is not None:
            yield answers.last_line(refusal)
            return
        reply = await connection.execute(
            request.sql, answers.timeout_ms(self._options, request)
        )
        async for line in self._answers.answer(run, connection, reply):
            yield line

    async def _write(
        self,
        run: answers.Run,
        connection: backends.BackendConnection,
    ) -> answers.Lines:
        prepared = await self._set_term(connection)
        if isinstance(prepared, outcomes.NotRun):
            yield answers.last_line(prepared)
            return
        if run.request.caller_request:
            yield answers.last_line(await self._once(run, connection))
            return
        reply = await connection.execute(
            run.request.sql,
            answers.timeout_ms(self._options, run.request),
        )
        async for line in self._answers.answer(run, connection, reply):
            yield line

    async def _set_term(
        self,
        connection: backends.BackendConnection,
    ) -> outcomes.NotRun | None:
        # The permission is taken again: the statement may have waited long.
        permission = self.parts.acknowledger.permission()
        if isinstance(permission, write_permission.SendRefused):
            return acknowledgement.no_primary(permission.reason)
        if permission.primary != self.parts.slot.name:
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

    async def _once(
        self,
        run: answers.Run,
        connection: backends.BackendConnection,
    ) -> outcomes.Outcome:
        """Run a write together with its caller's request id."""
        ran = await idempotency.run_once(
            connection,
            idempotency.Write(
                sql=run.request.sql,
                caller_request=run.request.caller_request,
                timeout_ms=answers.timeout_ms(self._options, run.request),
            ),
        )
        if isinstance(ran, backends.Ok):
            return await self._answers.acknowledged(run, ran)
        return ran

    async def _begin(
        self,
        run: answers.Run,
        connection: backends.BackendConnection,
    ) -> answers.Lines:
        prepared = await self._set_term(connection)
        if isinstance(prepared, outcomes.NotRun):
            yield answers.last_line(prepared)
            return
        reply = await connection.execute(
            'BEGIN',
            self._options.progress_timeout_ms,
        )
        if not isinstance(reply, backends.Ok):
            yield answers.last_line(replies.refused_or_lost(reply, sent=False))
            return
        transaction = self.transactions.open(run.request, connection)
        done = outcomes.Done(
            in_transaction=True,
            slot=self.parts.slot.name,
            delays=tuple(run.delays),
        )
        yield peer_messages.DoneLine(done, transaction=transaction)

    async def _position(
        self,
        run: answers.Run,
        connection: backends.BackendConnection,
    ) -> answers.Lines:
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
                yield answers.last_line(
                    await self._answers.acknowledged(run, ran)
                )
            case _:
                yield answers.last_line(
                    acknowledgement.no_primary(outcomes.Reason.no_primary),
                )

    async def _in_transaction(
        self,
        request: peer_messages.StatementRequest,
    ) -> answers.Lines:
        transaction = self.transactions.use(request.transaction)
        if transaction is None:
            yield answers.last_line(refusals.rolled_back('unknown transaction'))
            return
        now = self._clock.monotonic()
        run = answers.Run(request, [], now, now)
        ended = True
        try:
            if request.action in {'commit', 'rollback'}:
                yield answers.last_line(await self._finish(run, transaction))
            else:
                reply = await transaction.connection.execute(
                    request.sql,
                    answers.timeout_ms(self._options, request),
                )
                lines = self._answers.answer(run, transaction.connection, reply)
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
                self.transactions.give_back(transaction)

    async def _finish(
        self,
        run: answers.Run,
        transaction: transactions.Transaction,
    ) -> outcomes.Outcome:
        commit = run.request.action == 'commit'
        reply = await transaction.connection.execute(
            'COMMIT' if commit else 'ROLLBACK',
            answers.timeout_ms(self._options, run.request),
        )
        if isinstance(reply, backends.Ok):
            return await self._answers.acknowledged(run, reply)
        if commit:
            return replies.refused_or_lost(reply, sent=True)
        return outcomes.Done()

    async def _end(
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
        place = self.transactions.close(transaction)
        if place is not None:
            place.gate.leave(place.ticket_id, 0, ok=True)
        self.parts.pool.release(transaction.connection)
