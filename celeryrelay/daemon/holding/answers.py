"""Answers of a holder: what may be said about a statement that was sent."""

import dataclasses
from collections import abc

from celeryrelay.adapters import backends
from celeryrelay.conf import sets, settings
from celeryrelay.core import outcomes, peer_messages
from celeryrelay.daemon.callers import refusals
from celeryrelay.daemon.failover import probes
from celeryrelay.daemon.holding import (
    acknowledgement,
    admission,
    pool,
    replies,
)
from celeryrelay.sessions import staleness

FETCH_ROWS = 200
_MS_PER_S = 1000

Lines = abc.AsyncGenerator[peer_messages.ResponseLine, None]


@dataclasses.dataclass(slots=True)
class HolderParts:
    """What a holder works with; all of it belongs to one slot."""

    slot: sets.Slot
    group: sets.DatabaseGroup
    pool: pool.Pool
    admission: admission.Admission
    probe: probes.SlotProbe
    acknowledger: acknowledgement.Acknowledger
    age: staleness.ReplicaAgeEstimator


@dataclasses.dataclass(slots=True)
class Run:
    """One statement on its way through the holder."""

    request: peer_messages.StatementRequest
    delays: list[outcomes.Delay]
    started_at: float
    received_at: float

    def note_delay(
        self,
        cause: outcomes.DelayCause,
        since: float,
        now: float,
    ) -> None:
        """Note that the statement waited from `since` to `now`, in seconds."""
        duration_ms = (now - since) * _MS_PER_S
        if duration_ms >= 1:
            self.delays.append(outcomes.Delay(cause, duration_ms))


class Answers:
    """Turns replies of one slot into the lines of answers."""

    def __init__(
        self,
        parts: HolderParts,
        options: settings.StatementSettings,
    ) -> None:
        """Answer for the slot of `parts`."""
        self._parts = parts
        self._options = options

    async def answer(
        self,
        run: Run,
        connection: backends.BackendConnection,
        reply: backends.Reply,
    ) -> Lines:
        """Yield the lines of the answer to a statement that was sent."""
        match reply:
            case backends.ResultSet():
                yield replies.header(reply)
                async for line in self._rows(run, connection, reply):
                    yield line
            case backends.Ok():
                yield last_line(await self.acknowledged(run, reply))
            case backends.Lost() if run.request.transaction:
                # COMMIT was not sent, so the server rolls back.
                yield last_line(refusals.rolled_back(reply.message))
            case _:
                yield last_line(
                    replies.refused_or_lost(reply, sent=run.request.write),
                )

    async def _rows(
        self,
        run: Run,
        connection: backends.BackendConnection,
        reply: backends.ResultSet,
    ) -> Lines:
        binary = [column.binary for column in reply.columns]
        count = 0
        while True:
            rows = await connection.fetch(
                FETCH_ROWS,
                timeout_ms(self._options, run.request),
            )
            if not isinstance(rows, list):
                yield last_line(replies.refused_or_lost(rows, sent=True))
                return
            if not rows:
                break
            count += len(rows)
            yield peer_messages.RowBatch(
                tuple(replies.encode_row(row, binary) for row in rows),
            )
        ran = backends.Ok(count, 0, connection.in_transaction)
        yield last_line(await self.acknowledged(run, ran))

    async def acknowledged(
        self,
        run: Run,
        ran: backends.Ok,
    ) -> outcomes.Outcome:
        """Return what may be said about a statement that succeeded."""
        status = self._parts.probe.status
        done = outcomes.Done(
            affected_rows=ran.affected_rows,
            last_insert_id=ran.last_insert_id,
            in_transaction=ran.in_transaction,
            slot=self._parts.slot.name,
            from_replica=status is not None and status.role == 'replica',
            delays=tuple(run.delays),
        )
        if ran.term is None or ran.offset is None:
            return done
        return await self._parts.acknowledger.acknowledge(
            acknowledgement.Commit(
                slot=self._parts.slot.name,
                term=ran.term,
                offset=ran.offset,
                durability=run.request.durability,
                received_at=run.received_at,
                sent_at=run.started_at,
                budget_ms=run.request.budget_ms,
            ),
            done,
        )


def timeout_ms(
    options: settings.StatementSettings,
    request: peer_messages.StatementRequest,
) -> float:
    """Return the time that a server may take for a statement."""
    # A statement that has started may finish after its deadline; the caller
    # then still learns its outcome.
    return min(options.progress_timeout_ms, max(request.budget_ms, 1) * 2)


def last_line(outcome: outcomes.Outcome) -> peer_messages.LastLine:
    """Return the line that ends an answer."""
    return peer_messages.last_line(outcome, 0)
