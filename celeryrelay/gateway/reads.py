"""Reads outside of a transaction."""

import asyncio
import dataclasses
import enum
import functools

import result

from celeryrelay.adapters import json_log
from celeryrelay.admission import retry_budget
from celeryrelay.core import outcomes, positions
from celeryrelay.gateway import (
    catalog,
    commands,
    interfaces,
    on_primary,
    refusals,
    services,
    session_state,
    statement_exchange,
)
from celeryrelay.routing import server_selection
from celeryrelay.sessions import position_samples, statements

# Time after which a read that has no answer is sent to another server too.
HEDGE_S = 0.25


class _Step(enum.Enum):
    answered = 'answered'
    elsewhere = 'elsewhere'


@dataclasses.dataclass(frozen=True, slots=True)
class _Attempt:
    """Result of a read at one server."""

    step: _Step
    answer: interfaces.Answer


@dataclasses.dataclass(slots=True)
class _Progress:
    """How far an attempt has come."""

    sent: bool = False


def read_bound(
    context: session_state.StatementContext,
    known: position_samples.PrimarySamples,
) -> positions.Position | None:
    """Return the position that a replica has to hold for a read.

    None means that no sample is young enough. The age counts from the start
    of the transaction or of the statement.
    """
    not_before = context.begun_at - context.route.max_age_ms / 1000
    bound = known.bound(not_before)
    if (
        bound is None
        or context.route.consistency is not catalog.ReadConsistency.session
    ):
        return bound
    seen = context.state.seen.bound(context.route.group)
    # A promotion may have removed the end of an older term. What is left of
    # it is below every position of the new one.
    if seen is None or seen.term < bound.term:
        return bound
    return seen if position_samples.is_later(seen, bound) else bound


class Reader:
    """Runs reads where the route permits it, and elsewhere if that fails."""

    def __init__(self, shared: services.Services) -> None:
        """Use the servers and samples of `shared`."""
        self._shared = shared
        self._hedges = retry_budget.RetryBudget()
        self._left: set[asyncio.Task] = set()
        self._log = json_log.get('read')

    async def run(
        self,
        context: session_state.StatementContext,
        statement: statements.Runnable,
    ) -> interfaces.Answer:
        """Run a read and return what its caller gets."""
        if context.route.consistency is catalog.ReadConsistency.primary:
            return await self.run_on_primary(context, statement)
        bound = await self.bound(context)
        if bound is None:
            return refusals.no_sample(context)
        self._hedges.on_request()
        answer = await self._run_on_any(context, statement, bound)
        if isinstance(answer, outcomes.NotRun):
            # The primary itself is never too old.
            return await self.run_on_primary(context, statement)
        return answer

    async def bound(
        self,
        context: session_state.StatementContext,
    ) -> positions.Position | None:
        """Return the bound of a read, after a question if none is known."""
        known = self._shared.primaries.samples[context.route.group]
        found = read_bound(context, known)
        if found is not None:
            return found
        primaries = self._shared.primaries
        group = context.route.group
        await primaries.wait_until_confirmed(
            group,
            primaries.wait_deadline(group, context.primary_deadline),
        )
        return read_bound(context, known)

    def choose(
        self,
        context: session_state.StatementContext,
        tried: set[str],
    ) -> catalog.Server | None:
        """Return the server for a read, None if all were tried."""
        candidates = [
            self._candidate(known.server)
            for known in self._shared.directory.servers(context.route.group)
            if self._shared.directory.takes_reads(known)
            and known.server.server_id not in tried
        ]
        chosen = server_selection.choose(candidates)
        if chosen is None:
            return None
        known = self._shared.directory.find_server(chosen.server_id)
        return known.server if known else None

    async def run_on_primary(
        self,
        context: session_state.StatementContext,
        statement: statements.Runnable,
    ) -> interfaces.Answer:
        """Run a read in a transaction that only the primary opens."""
        attempt = functools.partial(self._try_primary, context, statement)
        match await on_primary.repeat(self._shared, context, attempt):
            case result.Ok(answer):
                return answer
            case result.Err(refusal):
                return refusal

    async def _run_on_any(
        self,
        context: session_state.StatementContext,
        statement: statements.Runnable,
        bound: positions.Position,
    ) -> interfaces.Answer:
        tried: set[str] = set()
        running: dict[asyncio.Task, _Progress] = {}
        answer: interfaces.Answer = refusals.no_server()
        may_add = True
        while True:
            server = self.choose(context, tried) if may_add else None
            if server is not None:
                tried.add(server.server_id)
                progress = _Progress()
                attempt = self._try(context, statement, bound, server, progress)
                running[asyncio.create_task(attempt)] = progress
            if not running:
                return answer
            done, _ = await asyncio.wait(
                running,
                timeout=HEDGE_S if self._hedges.available else None,
                return_when=asyncio.FIRST_COMPLETED,
            )
            for task in done:
                running.pop(task)
                answer = task.result().answer
                if task.result().step is _Step.answered:
                    self._leave(running)
                    return answer
            may_add = bool(done) or self._hedges.take()

    def _leave(self, running: dict[asyncio.Task, _Progress]) -> None:
        """Let attempts that were sent end by themselves; cancel the others."""
        for task, progress in running.items():
            if progress.sent:
                self._left.add(task)
                task.add_done_callback(self._left.discard)
            else:
                task.cancel()

    async def _try(
        self,
        context: session_state.StatementContext,
        statement: statements.Runnable,
        bound: positions.Position,
        server: catalog.Server,
        progress: '_Progress',
    ) -> _Attempt:
        server_pool = self._shared.connection_sources.get(server)
        acquired = await server_pool.acquire(
            context.route.rank,
            context.acquire_deadline(self._shared.clock.monotonic()),
        )
        match acquired:
            case result.Err(refusal):
                self._note(context, server, refusal.reason.value)
                return _Attempt(_Step.elsewhere, refusal)
        lease = acquired.ok_value
        future = statement_exchange.send_statement(
            lease, context, statement, bound
        )
        progress.sent = True
        reply = await statement_exchange.wait_for_reply(
            lease,
            future,
            context.timeout_s,
            self._shared.clock,
        )
        connection_sources = self._shared.connection_sources
        connection_sources.response_time_estimates[server.server_id].on_sample(
            lease.busy_ms,
            self._shared.clock.monotonic(),
        )
        statement_exchange.release(lease, reply)
        return self._judge(context, server, reply)

    def _judge(
        self,
        context: session_state.StatementContext,
        server: catalog.Server,
        reply: statement_exchange.Outcome,
    ) -> _Attempt:
        server_pool = self._shared.connection_sources.get(server)
        match reply:
            case commands.Reply(error=None):
                return _Attempt(_Step.answered, reply)
            case commands.Reply(error=commands.ErrorKind.lagging):
                server_pool.on_full()
                self._note(context, server, 'lagging')
                return _Attempt(_Step.elsewhere, refusals.lagging(context))
            case commands.Reply(error=error) if error.not_run:
                server_pool.on_full()
                self._note(context, server, error.value)
                return _Attempt(_Step.elsewhere, refusals.of_server(error))
            case commands.Reply():
                return _Attempt(_Step.answered, reply)
            case commands.Lost(problem):
                server_pool.on_no_reply(reply)
                self._note(context, server, problem)
                # A read has no effect, so another server may run it.
                return _Attempt(_Step.elsewhere, refusals.no_server())
            case statement_exchange.Late():
                server_pool.on_no_reply(reply)
                return _Attempt(_Step.answered, refusals.late())

    async def _try_primary(
        self,
        context: session_state.StatementContext,
        statement: statements.Runnable,
        server: catalog.Server,
    ) -> result.Result[interfaces.Answer, outcomes.NotRun]:
        opened = await on_primary.begin(self._shared, context, server)
        match opened:
            case result.Err(refusal):
                self._note(context, server, refusal.reason.value)
                return opened
        lease = opened.ok_value
        future = statement_exchange.send_statement(
            lease,
            context,
            statement,
            in_transaction=True,
            then=[commands.Rollback()],
        )
        reply = await statement_exchange.wait_for_reply(
            lease,
            future,
            context.timeout_s,
            self._shared.clock,
        )
        statement_exchange.release(lease, reply)
        if not isinstance(reply, commands.Reply):
            self._shared.primaries.on_no_reply(lease, reply)
        elif reply.error is commands.ErrorKind.not_primary:
            self._shared.primaries.on_not_primary(server)
        attempt = self._judge(context, server, reply)
        if attempt.step is _Step.answered:
            return result.Ok(attempt.answer)
        return result.Err(attempt.answer)

    def _candidate(self, server: catalog.Server) -> server_selection.Candidate:
        shared = self._shared
        now = shared.clock.monotonic()
        server_pool = shared.connection_sources.get(server)
        zone = shared.options.availability_zone
        region = shared.options.region
        leader = shared.directory.presumed_primary(server.group)
        return server_selection.Candidate(
            server_id=server.server_id,
            same_zone=server.availability_zone == zone,
            same_region=region(server.availability_zone) == region(zone),
            is_primary=leader.server_id == server.server_id,
            expected_ms=shared.connection_sources.response_time_estimates[
                server.server_id
            ].expected_ms(now),
            waiting=server_pool.waiting,
            limit=server_pool.limit,
            running=server_pool.running,
            avoided=now < server_pool.avoid_until,
        )

    def _note(
        self,
        context: session_state.StatementContext,
        server: catalog.Server,
        problem: str,
    ) -> None:
        self._shared.metrics.event('read_retried')
        self._log.info(
            'read goes elsewhere',
            request=context.request_id,
            group=context.route.group,
            server=server.server_id,
            problem=problem,
        )
