"""Reads outside of a transaction."""

import asyncio
import functools

import result

from celeryrelay.adapters import json_log
from celeryrelay.admission import retry_budget
from celeryrelay.core import outcomes, positions
from celeryrelay.gateway import catalog, commands, interfaces, services
from celeryrelay.gateway.connections import statement_exchange
from celeryrelay.gateway.sessions import (
    on_primary,
    read_attempts,
    refusals,
    session_state,
)
from celeryrelay.routing import server_selection
from celeryrelay.sessions import position_samples, statements

# Time without a reply after which a read is also sent to another server.
HEDGE_DELAY_S = 0.25


def read_bound(
    context: session_state.StatementContext,
    primary_samples: position_samples.PrimarySamples,
) -> positions.Position | None:
    """Return the log position that a replica must have reached for a read.

    Returns:
        None if no sample is recent enough for the route's largest age, which
        counts back from the start of the transaction or of the statement.
    """
    not_before = context.begun_at - context.route.max_age_ms / 1000
    bound = primary_samples.bound(not_before)
    if (
        bound is None
        or context.route.consistency is not catalog.ReadConsistency.session
    ):
        return bound
    session_bound = context.state.read_bounds.bound(context.route.group)
    # A promotion may have discarded the last entries of an older term. The
    # entries that are left precede all positions of the new term.
    if session_bound is None or session_bound.term < bound.term:
        return bound
    return (
        session_bound
        if position_samples.is_later(session_bound, bound)
        else bound
    )


class ReadExecutor:
    """Runs reads on a server that the route permits, with retries on others."""

    def __init__(self, shared: services.Services) -> None:
        """Run reads with the services `shared`."""
        self._shared = shared
        self._hedge_budget = retry_budget.RetryBudget()
        self._detached: set[asyncio.Task] = set()
        self._log = json_log.get('read')

    async def run(
        self,
        context: session_state.StatementContext,
        statement: statements.Runnable,
    ) -> interfaces.Answer:
        """Run a read and return the answer for its caller."""
        if context.route.consistency is catalog.ReadConsistency.primary:
            return await self.run_on_primary(context, statement)
        bound = await self.bound(context)
        if bound is None:
            return refusals.no_recent_sample(context)
        self._hedge_budget.on_request()
        self._shared.busy_retries.on_request(context.route.group)
        answer = await self._run_on_any(context, statement, bound)
        match answer:
            case outcomes.NotRun(reason) if (
                reason in read_attempts.OVERLOAD_REASONS
            ):
                hint_ms = self._shared.busy_retries.retry_after_ms()
                return refusals.with_hint(answer, hint_ms)
            case outcomes.NotRun():
                # The primary has all commits, so its data is recent enough.
                return await self.run_on_primary(context, statement)
        return answer

    async def bound(
        self,
        context: session_state.StatementContext,
    ) -> positions.Position | None:
        """Return the bound of a read; ask the primary if there is no sample."""
        primary_samples = self._shared.primaries.samples[context.route.group]
        found = read_bound(context, primary_samples)
        if found is not None:
            return found
        primaries = self._shared.primaries
        group = context.route.group
        await primaries.wait_until_confirmed(
            group,
            primaries.wait_deadline(group, context.primary_deadline),
        )
        return read_bound(context, primary_samples)

    def choose_server(
        self,
        context: session_state.StatementContext,
        tried: set[str],
    ) -> catalog.Server | None:
        """Return the best server for a read, None if all were tried."""
        candidates = [
            self._candidate(registered.server)
            for registered in self._shared.directory.servers(
                context.route.group
            )
            if self._shared.directory.takes_reads(registered)
            and registered.server.server_id not in tried
        ]
        chosen = server_selection.choose(candidates)
        if chosen is None:
            return None
        registered = self._shared.directory.find_server(chosen.server_id)
        return registered.server if registered else None

    async def run_on_primary(
        self,
        context: session_state.StatementContext,
        statement: statements.Runnable,
    ) -> interfaces.Answer:
        """Run a read in a transaction, which only the primary opens."""
        attempt = functools.partial(
            self._attempt_on_primary, context, statement
        )
        match await on_primary.retry(self._shared, context, attempt):
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
        attempts = read_attempts.Attempts()
        answer: interfaces.Answer = refusals.no_available_server()
        may_start_attempt = True
        while True:
            if may_start_attempt:
                self._start_attempt(context, statement, bound, attempts)
            if not attempts.running:
                return answer
            ended = await self._wait_for_any(attempts)
            for attempt in ended:
                answer = attempt.answer
                if attempt.status is read_attempts.Status.answered:
                    self._detach_or_cancel(attempts.running)
                    return answer
            if ended:
                may_start_attempt = await read_attempts.may_continue(
                    self._shared, context, attempts, ended
                )
            else:
                may_start_attempt = self._hedge_budget.take()

    def _start_attempt(
        self,
        context: session_state.StatementContext,
        statement: statements.Runnable,
        bound: positions.Position,
        attempts: read_attempts.Attempts,
    ) -> None:
        """Start an attempt on the best server that was not tried, if any."""
        server = self.choose_server(context, attempts.tried)
        if server is None:
            return
        attempts.started += 1
        attempts.tried.add(server.server_id)
        progress = read_attempts.Progress()
        attempt = self._attempt(context, statement, bound, server, progress)
        attempts.running[asyncio.create_task(attempt)] = progress

    async def _wait_for_any(
        self, attempts: read_attempts.Attempts
    ) -> list[read_attempts.Result]:
        """Return the attempts that ended, none if a hedge is due before."""
        done, _ = await asyncio.wait(
            attempts.running,
            timeout=HEDGE_DELAY_S if self._hedge_budget.available else None,
            return_when=asyncio.FIRST_COMPLETED,
        )
        for task in done:
            attempts.running.pop(task)
        return list(map(asyncio.Task.result, done))

    def _detach_or_cancel(
        self, running: dict[asyncio.Task, read_attempts.Progress]
    ) -> None:
        """Let attempts finish whose statement was sent; cancel the others.

        A cancelled attempt with a sent statement would not release its
        connection.
        """
        for task, progress in running.items():
            if progress.sent:
                self._detached.add(task)
                task.add_done_callback(self._detached.discard)
            else:
                task.cancel()

    async def _attempt(
        self,
        context: session_state.StatementContext,
        statement: statements.Runnable,
        bound: positions.Position,
        server: catalog.Server,
        progress: read_attempts.Progress,
    ) -> read_attempts.Result:
        source = self._shared.connection_sources.get(server)
        estimates = self._shared.connection_sources.response_time_estimates
        started = self._shared.clock.monotonic()
        acquired = await source.acquire(
            context.route.rank,
            context.acquire_deadline(started),
            context.account,
        )
        match acquired:
            case result.Err(refusal):
                self._record_retry(context, server, refusal.reason.value)
                is_overload = refusal.reason in read_attempts.OVERLOAD_REASONS
                if is_overload:
                    estimates[server.server_id].on_sample(
                        context.route.target_ms,
                        self._shared.clock.monotonic(),
                    )
                return read_attempts.Result(
                    read_attempts.Status.no_capacity
                    if is_overload
                    else read_attempts.Status.retry_elsewhere,
                    refusal,
                )
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
        # Statements wait in the holders rather than in the server, so the wait
        # for a connection is part of the response time.
        now = self._shared.clock.monotonic()
        estimates[server.server_id].on_sample((now - started) * 1000, now)
        statement_exchange.release(lease, reply)
        return self._evaluate_reply(context, server, reply)

    def _evaluate_reply(
        self,
        context: session_state.StatementContext,
        server: catalog.Server,
        reply: statement_exchange.Outcome,
    ) -> read_attempts.Result:
        source = self._shared.connection_sources.get(server)
        match reply:
            case commands.Reply(error=None):
                return read_attempts.Result(
                    read_attempts.Status.answered, reply
                )
            case commands.Reply(error=commands.ErrorKind.lagging):
                source.avoid_briefly()
                self._record_retry(context, server, 'lagging')
                return read_attempts.Result(
                    read_attempts.Status.retry_elsewhere,
                    refusals.lagging(context),
                )
            case commands.Reply(error=commands.ErrorKind.busy as error):
                source.avoid_briefly()
                self._record_retry(context, server, error.value)
                return read_attempts.Result(
                    read_attempts.Status.rejected,
                    refusals.from_server_error(error),
                )
            case commands.Reply(error=error) if error.not_run:
                source.avoid_briefly()
                self._record_retry(context, server, error.value)
                return read_attempts.Result(
                    read_attempts.Status.retry_elsewhere,
                    refusals.from_server_error(error),
                )
            case commands.Reply():
                return read_attempts.Result(
                    read_attempts.Status.answered, reply
                )
            case commands.Lost(problem):
                source.on_no_reply(reply)
                self._record_retry(context, server, problem)
                # A read changes nothing, so running it twice is safe.
                return read_attempts.Result(
                    read_attempts.Status.retry_elsewhere,
                    refusals.no_available_server(),
                )
            case statement_exchange.Late():
                source.on_no_reply(reply)
                return read_attempts.Result(
                    read_attempts.Status.answered,
                    refusals.statement_timed_out(),
                )

    async def _attempt_on_primary(
        self,
        context: session_state.StatementContext,
        statement: statements.Runnable,
        server: catalog.Server,
    ) -> result.Result[interfaces.Answer, outcomes.NotRun]:
        opened = await on_primary.begin(self._shared, context, server)
        match opened:
            case result.Err(refusal):
                self._record_retry(context, server, refusal.reason.value)
                return opened
        begun = opened.ok_value
        lease = begun.lease
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
        if not await begun.is_confirmed():
            return result.Err(refusals.no_primary())
        attempt = self._evaluate_reply(context, server, reply)
        if attempt.status is read_attempts.Status.answered:
            return result.Ok(attempt.answer)
        return result.Err(attempt.answer)

    def _candidate(self, server: catalog.Server) -> server_selection.Candidate:
        shared = self._shared
        now = shared.clock.monotonic()
        source = shared.connection_sources.get(server)
        zone = shared.options.availability_zone
        region = shared.options.region
        primary = shared.directory.presumed_primary(server.group)
        return server_selection.Candidate(
            server_id=server.server_id,
            same_zone=server.availability_zone == zone,
            same_region=region(server.availability_zone) == region(zone),
            is_primary=primary.server_id == server.server_id,
            expected_ms=shared.connection_sources.response_time_estimates[
                server.server_id
            ].expected_ms(now),
            waiting=source.waiting,
            limit=source.limit,
            running=source.running,
            avoided=now < source.avoid_until,
        )

    def _record_retry(
        self,
        context: session_state.StatementContext,
        server: catalog.Server,
        problem: str,
    ) -> None:
        self._shared.metrics.event('read_retried')
        self._log.info(
            'read retried on another server',
            request=context.request_id,
            group=context.route.group,
            server=server.server_id,
            problem=problem,
        )
