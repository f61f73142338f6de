"""Writes outside of a transaction."""

import functools

import result

from celeryrelay.adapters import json_log
from celeryrelay.core import outcomes
from celeryrelay.gateway import catalog, commands, interfaces, services
from celeryrelay.gateway.connections import statement_exchange
from celeryrelay.gateway.sessions import on_primary, refusals, session_state
from celeryrelay.sessions import statements


class WriteExecutor:
    """Runs writes on the primary, each at most once."""

    def __init__(self, shared: services.Services) -> None:
        """Run writes with the services `shared`."""
        self._shared = shared
        self._log = json_log.get('write')

    async def run(
        self,
        context: session_state.StatementContext,
        statement: statements.Runnable,
    ) -> interfaces.Answer:
        """Run a write; retry it only if the server certainly did not run it."""
        attempt = functools.partial(self._attempt, context, statement)
        match await on_primary.retry(self._shared, context, attempt):
            case result.Ok(answer):
                return answer
            case result.Err(refusal):
                return refusal

    async def _attempt(
        self,
        context: session_state.StatementContext,
        statement: statements.Runnable,
        server: catalog.Server,
    ) -> result.Result[interfaces.Answer, outcomes.NotRun]:
        acquired = await on_primary.acquire(self._shared, context, server)
        match acquired:
            case result.Err(refusal):
                self._record_retry(context, server, refusal)
                return acquired
        lease = acquired.ok_value
        sent_at = self._shared.clock.monotonic()
        future = statement_exchange.send_statement(lease, context, statement)
        self._shared.primaries.watch_reply(server, future)
        reply = await statement_exchange.wait_for_reply(
            lease,
            future,
            context.timeout_s,
            self._shared.clock,
        )
        statement_exchange.release(lease, reply)
        answer = await self._evaluate_reply(context, lease, reply, sent_at)
        if isinstance(answer, outcomes.NotRun):
            self._record_retry(context, server, answer)
            return result.Err(answer)
        return result.Ok(answer)

    async def _evaluate_reply(
        self,
        context: session_state.StatementContext,
        lease: interfaces.ConnectionLease,
        reply: statement_exchange.Outcome,
        sent_at: float,
    ) -> interfaces.Answer:
        primaries = self._shared.primaries
        server = lease.server
        match reply:
            case commands.Reply(error=None):
                if not await primaries.has_led(
                    server, context.primary_deadline
                ):
                    return self._unknown_outcome(
                        context, server, 'primary not confirmed'
                    )
                primaries.on_primary_confirmed(lease, sent_at, reply.position)
                context.state.advance(reply.position)
                return reply
            case commands.Reply(error=commands.ErrorKind.not_primary as error):
                primaries.on_not_primary(server)
                return refusals.from_server_error(error)
            case commands.Reply(error=error) if error.not_run:
                return refusals.from_server_error(error)
            case commands.Reply():
                return reply
        primaries.on_no_reply(lease, reply)
        return self._unknown_outcome(context, server, type(reply).__name__)

    def _unknown_outcome(
        self,
        context: session_state.StatementContext,
        server: catalog.Server,
        cause: str,
    ) -> outcomes.OutcomeUnknown:
        self._log.info(
            'write outcome unknown',
            request=context.request_id,
            server=server.server_id,
            cause=cause,
        )
        return refusals.unconfirmed_write()

    def _record_retry(
        self,
        context: session_state.StatementContext,
        server: catalog.Server,
        refusal: outcomes.NotRun,
    ) -> None:
        self._shared.metrics.event('write_retried')
        self._log.info(
            'write not run',
            request=context.request_id,
            group=context.route.group,
            server=server.server_id,
            reason=refusal.reason.value,
        )
