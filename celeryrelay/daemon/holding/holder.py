"""Holder of the connections to one slot.

The holder's queue is where statements of different ranks meet. It sends them
to the backend server and decides what may be said about their outcome.
"""

import dataclasses
from collections import abc

import result

from celeryrelay.adapters import backends
from celeryrelay.admission import decisions
from celeryrelay.conf import sets, settings
from celeryrelay.core import clock, messages, outcomes
from celeryrelay.daemon.callers import refusals
from celeryrelay.daemon.failover import probes
from celeryrelay.daemon.holding import (
    acknowledgement,
    admission,
    idempotency,
    pool,
    read_checks,
    replies,
    transactions,
)
from celeryrelay.sessions import staleness
from celeryrelay.terms import guard

FETCH_ROWS = 200
_MS_PER_S = 1000

Lines = abc.AsyncGenerator[messages.Line, None]


@dataclasses.dataclass(slots=True)
class HolderParts:
    """What a holder works with; all of it belongs to one slot."""

    slot: sets.Slot
    group: sets.DatabaseGroup
    pool: pool.Pool
    admission: admission.Admission
    probe: probes.SlotProbe
    acknowledger: acknowledgement.Acknowledger
    age: staleness.ReplicaAge


@dataclasses.dataclass(slots=True)
class _Run:
    """One statement on its way through the holder."""

    request: messages.StatementRequest
    delays: list[outcomes.Delay]
    started_at: float
    received_at: float


class SlotHolder:
    """Runs statements on one slot."""

    def __init__(
        self,
        parts: HolderParts,
        options: settings.StatementSettings,
        ticker: clock.Clock,
    ) -> None:
        """Create the holder of one slot."""
        self.parts = parts
        self.transactions = transactions.TransactionTable(ticker)
        self._options = options
        self._clock = ticker
        self._read_check = read_checks.ReadCheck(
            parts.probe,
            parts.age,
            options,
            ticker,
        )

    async def statement(self, request: messages.StatementRequest) -> Lines:
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

    async def _admitted(self, request: messages.StatementRequest) -> Lines:
        received_at = self._clock.monotonic()
        refusal = self._early_refusal(request)
        if refusal is not None:
            yield _last(refusal)
            return
        gate = self.parts.admission
        verdict = await gate.enter(request.rank, request.budget_ms)
        if isinstance(verdict, decisions.Refuse):
            yield _last(replies.overload(verdict, request))
            return
        run = _Run(request, [], self._clock.monotonic(), received_at)
        self._delayed(run, outcomes.DelayCause.queue, received_at)
        kept = False
        ok = False
        try:
            async for line in self._with_connection(run):
                ok = not isinstance(line, messages.UnknownLine)
                kept = isinstance(line, messages.DoneLine) and bool(
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
        request: messages.StatementRequest,
    ) -> outcomes.NotRun | None:
        if request.action == 'position' or request.write:
            return self.parts.acknowledger.refusal(
                self.parts.slot.name,
                request.durability,
            )
        return None

    async def _with_connection(self, run: _Run) -> Lines:
        before = self._clock.monotonic()
        acquired = await self.parts.pool.acquire()
        self._delayed(run, outcomes.DelayCause.connection, before)
        if acquired.is_err():
            yield _last(replies.no_connection(acquired.unwrap_err()))
            return
        connection = acquired.unwrap()
        owned = True
        complete = False
        try:
            async for line in self._dispatch(run, connection):
                complete = isinstance(line, messages.LAST_LINES)
                if isinstance(line, messages.DoneLine) and line.transaction:
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
        run: _Run,
        connection: backends.BackendConnection,
    ) -> Lines:
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
        run: _Run,
        connection: backends.BackendConnection,
    ) -> Lines:
        request = run.request
        before = self._clock.monotonic()
        refusal = await self._read_check.refusal(request, connection)
        self._delayed(run, outcomes.DelayCause.lag_wait, before)
        if refusal is not None:
            yield _last(refusal)
            return
        reply = await connection.execute(
            request.sql, _timeout_ms(self._options, request)
        )
        async for line in self._answer(run, connection, reply):
            yield line

    async def _write(
        self,
        run: _Run,
        connection: backends.BackendConnection,
    ) -> Lines:
        prepared = await self._set_term(connection)
        if isinstance(prepared, outcomes.NotRun):
            yield _last(prepared)
            return
        if run.request.caller_request:
            yield _last(await self._once(run, connection))
            return
        reply = await connection.execute(
            run.request.sql,
            _timeout_ms(self._options, run.request),
        )
        async for line in self._answer(run, connection, reply):
            yield line

    async def _set_term(
        self,
        connection: backends.BackendConnection,
    ) -> outcomes.NotRun | None:
        # The permission is taken again: the statement may have waited long.
        permission = self.parts.acknowledger.permission()
        if isinstance(permission, guard.Refuse):
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
        run: _Run,
        connection: backends.BackendConnection,
    ) -> outcomes.Outcome:
        """Run a write together with its caller's request id."""
        ran = await idempotency.run_once(
            connection,
            idempotency.Write(
                sql=run.request.sql,
                caller_request=run.request.caller_request,
                timeout_ms=_timeout_ms(self._options, run.request),
            ),
        )
        if isinstance(ran, backends.Ok):
            return await self._acknowledged(run, ran)
        return ran

    async def _begin(
        self,
        run: _Run,
        connection: backends.BackendConnection,
    ) -> Lines:
        prepared = await self._set_term(connection)
        if isinstance(prepared, outcomes.NotRun):
            yield _last(prepared)
            return
        reply = await connection.execute(
            'BEGIN',
            self._options.progress_timeout_ms,
        )
        if not isinstance(reply, backends.Ok):
            yield _last(replies.refused_or_lost(reply, sent=False))
            return
        transaction = self.transactions.open(run.request, connection)
        done = outcomes.Done(
            in_transaction=True,
            slot=self.parts.slot.name,
            delays=tuple(run.delays),
        )
        yield messages.DoneLine(done, transaction=transaction)

    async def _position(
        self,
        run: _Run,
        connection: backends.BackendConnection,
    ) -> Lines:
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
                yield _last(await self._acknowledged(run, ran))
            case _:
                yield _last(
                    acknowledgement.no_primary(outcomes.Reason.no_primary),
                )

    async def _in_transaction(
        self,
        request: messages.StatementRequest,
    ) -> Lines:
        transaction = self.transactions.use(request.transaction)
        if transaction is None:
            yield _last(refusals.rolled_back('unknown transaction'))
            return
        now = self._clock.monotonic()
        run = _Run(request, [], now, now)
        ended = True
        try:
            if request.action in {'commit', 'rollback'}:
                yield _last(await self._finish(run, transaction))
            else:
                reply = await transaction.connection.execute(
                    request.sql,
                    _timeout_ms(self._options, request),
                )
                lines = self._answer(run, transaction.connection, reply)
                async for line in lines:
                    ended = not (
                        isinstance(line, messages.LAST_LINES)
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
        run: _Run,
        transaction: transactions.Transaction,
    ) -> outcomes.Outcome:
        commit = run.request.action == 'commit'
        reply = await transaction.connection.execute(
            'COMMIT' if commit else 'ROLLBACK',
            _timeout_ms(self._options, run.request),
        )
        if isinstance(reply, backends.Ok):
            return await self._acknowledged(run, reply)
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

    async def _answer(
        self,
        run: _Run,
        connection: backends.BackendConnection,
        reply: backends.Reply,
    ) -> Lines:
        match reply:
            case backends.Rows():
                yield replies.header(reply)
                async for line in self._rows(run, connection, reply):
                    yield line
            case backends.Ok():
                yield _last(await self._acknowledged(run, reply))
            case backends.Lost() if run.request.transaction:
                # COMMIT was not sent, so the server rolls back.
                yield _last(refusals.rolled_back(reply.message))
            case _:
                yield _last(
                    replies.refused_or_lost(reply, sent=run.request.write),
                )

    async def _rows(
        self,
        run: _Run,
        connection: backends.BackendConnection,
        reply: backends.Rows,
    ) -> Lines:
        binary = [column.binary for column in reply.columns]
        count = 0
        while True:
            rows = await connection.fetch(
                FETCH_ROWS,
                _timeout_ms(self._options, run.request),
            )
            if not isinstance(rows, list):
                yield _last(replies.refused_or_lost(rows, sent=True))
                return
            if not rows:
                break
            count += len(rows)
            yield messages.RowBatch(
                tuple(replies.encode_row(row, binary) for row in rows),
            )
        ran = backends.Ok(count, 0, connection.in_transaction)
        yield _last(await self._acknowledged(run, ran))

    async def _acknowledged(
        self,
        run: _Run,
        ran: backends.Ok,
    ) -> outcomes.Outcome:
        status = self.parts.probe.status
        done = outcomes.Done(
            affected_rows=ran.affected_rows,
            last_insert_id=ran.last_insert_id,
            in_transaction=ran.in_transaction,
            slot=self.parts.slot.name,
            from_replica=status is not None and status.role == 'replica',
            delays=tuple(run.delays),
        )
        if ran.term is None or ran.offset is None:
            return done
        return await self.parts.acknowledger.acknowledge(
            acknowledgement.Commit(
                slot=self.parts.slot.name,
                term=ran.term,
                offset=ran.offset,
                durability=run.request.durability,
                received_at=run.received_at,
                sent_at=run.started_at,
                budget_ms=run.request.budget_ms,
            ),
            done,
        )

    def _delayed(
        self,
        run: _Run,
        cause: outcomes.DelayCause,
        since: float,
    ) -> None:
        duration_ms = (self._clock.monotonic() - since) * _MS_PER_S
        if duration_ms >= 1:
            run.delays.append(outcomes.Delay(cause, duration_ms))


def _timeout_ms(
    options: settings.StatementSettings,
    request: messages.StatementRequest,
) -> float:
    # A statement that has started may finish after its deadline; the caller
    # then still learns its outcome.
    return min(options.progress_timeout_ms, max(request.budget_ms, 1) * 2)


def _last(outcome: outcomes.Outcome) -> messages.LastLine:
    return messages.last_line(outcome, 0)
