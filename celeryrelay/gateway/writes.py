"""Writes outside of a transaction."""

import asyncio

import result

from celeryrelay.adapters import lines
from celeryrelay.core import outcomes
from celeryrelay.gateway import (
    catalog,
    commands,
    exchange,
    ports,
    reads,
    services,
    session_state,
)
from celeryrelay.sessions import statements


class Writer:
    """Runs single writes on the primary, each at most once."""

    def __init__(self, shared: services.Services) -> None:
        """Use the primaries of `shared`."""
        self._shared = shared
        self._log = lines.get('write')

    async def run(
        self,
        context: session_state.Context,
        statement: statements.Runnable,
    ) -> ports.Answer:
        """Run a write; it is sent again only after a certain refusal."""
        refusal = reads.no_primary(context)
        while True:
            server = await self._shared.primaries.find(
                context.route.group,
                context.primary_deadline,
            )
            if server is None:
                return refusal
            answer = await self._try(context, statement, server)
            if not isinstance(answer, outcomes.NotRun):
                return answer
            self._note(context, server, answer)
            refusal = answer
            if self._shared.clock.monotonic() >= context.primary_deadline:
                return refusal
            await asyncio.sleep(reads.RETRY_PAUSE_S)

    async def _try(
        self,
        context: session_state.Context,
        statement: statements.Runnable,
        server: catalog.Server,
    ) -> ports.Answer:
        acquired = await self._shared.pools.get(server).acquire(
            context.route.rank,
            context.acquire_deadline(self._shared.clock.monotonic()),
        )
        match acquired:
            case result.Err(refusal):
                if refusal.reason is outcomes.Reason.connections:
                    self._shared.primaries.on_failed(server)
                return refusal
        lease = acquired.ok_value
        batch = exchange.run_commands(lease.pooled, context, statement)
        sent_at = self._shared.clock.monotonic()
        future = lease.send(batch)[-1]
        self._shared.primaries.expect(server, future)
        reply = await exchange.reply_of(
            lease,
            future,
            context.timeout_s,
            self._shared.clock,
        )
        exchange.release(lease, reply)
        return self._judge(context, server, reply, sent_at)

    def _judge(
        self,
        context: session_state.Context,
        server: catalog.Server,
        reply: exchange.Outcome,
        sent_at: float,
    ) -> ports.Answer:
        primaries = self._shared.primaries
        match reply:
            case commands.Reply(error=None):
                primaries.on_proved(server, sent_at, reply.position)
                context.state.advance(reply.position)
                return reply
            case commands.Reply(error=commands.ErrorKind.not_primary as error):
                primaries.on_denied(server)
                return reads.reply_refusal(error)
            case commands.Reply(error=error) if error.not_run:
                return reads.reply_refusal(error)
            case commands.Reply():
                return reply
        primaries.on_failed(server)
        self._log.info(
            'outcome of a write unknown',
            request=context.request_id,
            server=server.server_id,
            cause=type(reply).__name__,
        )
        return outcomes.OutcomeUnknown(
            outcomes.Reason.connection_lost,
            'the write was sent and its answer is missing',
        )

    def _note(
        self,
        context: session_state.Context,
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
