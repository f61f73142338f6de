"""Asyncio interface of the admission queue of one slot."""

import asyncio
import itertools
import random
from collections import abc

from celeryrelay.admission import decisions, limits, queue
from celeryrelay.conf import sets
from celeryrelay.core import clock, outcomes, ranks

RETRY_AFTER_MS = 200
_MS_PER_S = 1000


class SlotAdmission:
    """Suspends statements until the admission queue starts or refuses them."""

    def __init__(
        self,
        policies: abc.Mapping[ranks.Rank, sets.RankPolicy],
        maximum: int,
        ticker: clock.Clock,
    ) -> None:
        """Create the admission queue of a slot with `maximum` connections."""
        self._clock = ticker
        self._ticket_ids = itertools.count()
        self._waiting: dict[
            int, asyncio.Future[decisions.Start | decisions.Refuse]
        ]
        self._waiting = {}
        self._queue = queue.AdmissionQueue(
            policies,
            limits.AdaptiveLimit(minimum=1, maximum=maximum),
            random.Random(),
        )

    @property
    def waiting(self) -> int:
        """Return the number of queued statements."""
        return len(self._waiting)

    async def admit(
        self,
        rank: ranks.Rank,
        budget_ms: float,
    ) -> decisions.Start | decisions.Refuse:
        """Wait until a statement may start or is refused.

        A started statement has to be released with its ticket id.
        """
        now = self._clock.monotonic()
        ticket_id = next(self._ticket_ids)
        deadline = now + budget_ms / _MS_PER_S
        ticket = decisions.Ticket(ticket_id, rank, now, deadline)
        verdict = self._queue.offer(ticket, now)
        if not isinstance(verdict, decisions.Wait):
            return verdict
        future = asyncio.get_running_loop().create_future()
        self._waiting[ticket_id] = future
        try:
            async with asyncio.timeout(budget_ms / _MS_PER_S):
                return await future
        except TimeoutError:
            return self._expire(ticket_id, future)
        except asyncio.CancelledError:
            self._abandon(ticket_id, future)
            raise

    def release(self, ticket_id: int, service_ms: float, *, ok: bool) -> None:
        """Report the end of a started statement and start queued ones."""
        now = self._clock.monotonic()
        self._settle(self._queue.release(ticket_id, now, service_ms, ok))

    def _expire(
        self,
        ticket_id: int,
        future: asyncio.Future[decisions.Start | decisions.Refuse],
    ) -> decisions.Start | decisions.Refuse:
        self._waiting.pop(ticket_id, None)
        if future.done() and not future.cancelled():
            # The queue started the statement just as its deadline passed.
            return future.result()
        self._queue.cancel(ticket_id)
        return decisions.Refuse(
            ticket_id,
            outcomes.Reason.deadline,
            RETRY_AFTER_MS,
        )

    def _abandon(
        self,
        ticket_id: int,
        future: asyncio.Future[decisions.Start | decisions.Refuse],
    ) -> None:
        self._waiting.pop(ticket_id, None)
        started = future.done() and not future.cancelled()
        if started and isinstance(future.result(), decisions.Start):
            self.release(ticket_id, 0, ok=True)
        else:
            self._queue.cancel(ticket_id)

    def _settle(
        self,
        verdicts: abc.Iterable[decisions.Start | decisions.Refuse],
    ) -> None:
        for verdict in verdicts:
            future = self._waiting.pop(verdict.ticket_id, None)
            if future is None or future.done():
                # The waiter timed out or was cancelled just before; free its
                # ticket for the next statement.
                if isinstance(verdict, decisions.Start):
                    self.release(verdict.ticket_id, 0, ok=True)
            else:
                future.set_result(verdict)
