"""Adapts the concurrency limit of a pool to the replies of its server."""

import asyncio
import functools
from collections import abc

from celeryrelay.admission import decisions, queue, server_limit
from celeryrelay.core import clock as clocks
from celeryrelay.gateway import commands
from celeryrelay.sessions import statements

DecisionHandler = abc.Callable[
    [abc.Iterable[decisions.Start | decisions.Refuse]], None
]
# The timers of the event loop may fire a moment early.
TIMER_SLACK_S = 0.001


class LimitFeedback:
    """Reports the replies to statements, and the end of pauses.

    Other commands occupy no slot of the server, so their response times say
    nothing about its load.
    """

    def __init__(
        self,
        limit: server_limit.SharedServerLimit,
        admission: queue.AdmissionQueue,
        on_decisions: DecisionHandler,
        clock: clocks.Clock,
    ) -> None:
        """Adapt `limit`.

        Args:
            limit: Limit of the pool.
            admission: Queue of the pool.
            on_decisions: Called with the tickets that start, or are refused,
                when a pause ends or a transaction waits for its caller.
            clock: Source of the time.
        """
        self._limit = limit
        self._queue = admission
        self._on_decisions = on_decisions
        self._clock = clock

    def watch(
        self,
        ticket: decisions.Ticket,
        batch: abc.Sequence[commands.Command],
        replies: abc.Sequence[asyncio.Future],
    ) -> None:
        """Adapt the limit to the replies to the statements of a batch.

        Args:
            ticket: Ticket of the lease on which the batch was sent.
            batch: The commands.
            replies: Future of the reply to each command.
        """
        self._queue.proceed(ticket.ticket_id)
        sent_at = self._clock.monotonic()
        for command, reply in zip(batch, replies, strict=True):
            match command:
                case commands.Run(statement=statement):
                    kind = _response_class(statement)
                    reply.add_done_callback(
                        functools.partial(
                            self._on_reply, ticket, kind, sent_at
                        ),
                    )

    def _on_reply(
        self,
        ticket: decisions.Ticket,
        kind: str,
        sent_at: float,
        reply: asyncio.Future,
    ) -> None:
        if reply.cancelled():
            return
        now = self._clock.monotonic()
        match reply.result():
            case commands.Reply(error=commands.ErrorKind.busy):
                resume_at = self._limit.on_busy(now)
                asyncio.get_running_loop().call_later(
                    resume_at - now + TIMER_SLACK_S, self._on_pause_ended
                )
            case commands.Reply(error=None | commands.ErrorKind.ran):
                response_ms = (now - sent_at) * 1000
                self._limit.on_reply((ticket.rank, kind), response_ms, now)
        match reply.result():
            case commands.Reply(in_transaction=True):
                self._on_decisions(self._queue.suspend(ticket.ticket_id, now))

    def _on_pause_ended(self) -> None:
        self._on_decisions(self._queue.resume(self._clock.monotonic()))


def _response_class(statement: statements.Runnable | statements.Commit) -> str:
    """Return the class of statements with comparable response times."""
    match statement:
        case statements.Commit():
            # It may wait for a replica.
            return 'commit'
    return 'write' if statement.writes else 'read'
