"""Responses of a holder to statements that were sent to the backend server."""

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

ResponseLines = abc.AsyncGenerator[peer_messages.ResponseLine, None]


@dataclasses.dataclass(slots=True)
class SlotResources:
    """Pool, queue, probe and other resources that a holder has for a slot."""

    slot: sets.Slot
    group: sets.DatabaseGroup
    pool: pool.ConnectionPool
    admission: admission.SlotAdmission
    probe: probes.SlotProbe
    acknowledger: acknowledgement.Acknowledger
    age: staleness.ReplicaAgeEstimator


@dataclasses.dataclass(slots=True)
class StatementRun:
    """Request and timing of one statement that the holder runs.

    Attributes:
        request: The request for the statement.
        delays: Waits of 1 ms or more, which the caller's account records.
        started_at: Monotonic time in seconds at which the queue started it.
        received_at: Monotonic time in seconds at which the request arrived.
    """

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
        """Add a delay from `since` to `now`, monotonic times in seconds."""
        duration_ms = (now - since) * _MS_PER_S
        if duration_ms >= 1:
            self.delays.append(outcomes.Delay(cause, duration_ms))


class ResponseStreamer:
    """Converts backend replies to the response lines of the peer protocol."""

    def __init__(
        self,
        resources: SlotResources,
        options: settings.StatementSettings,
    ) -> None:
        """Create the streamer for the slot of `resources`."""
        self._resources = resources
        self._options = options

    async def stream(
        self,
        run: StatementRun,
        connection: backends.BackendConnection,
        reply: backends.Reply,
    ) -> ResponseLines:
        """Yield the response lines for a backend reply."""
        match reply:
            case backends.ResultSet():
                yield replies.header(reply)
                async for line in self._rows(run, connection, reply):
                    yield line
            case backends.Ok():
                yield last_line(await self.acknowledge(run, reply))
            case backends.Lost() if run.request.transaction:
                # COMMIT was not sent, so the server rolls the transaction back.
                yield last_line(refusals.rolled_back(reply.message))
            case _:
                yield last_line(
                    replies.error_outcome(reply, sent=run.request.write),
                )

    async def _rows(
        self,
        run: StatementRun,
        connection: backends.BackendConnection,
        reply: backends.ResultSet,
    ) -> ResponseLines:
        binary = [column.binary for column in reply.columns]
        count = 0
        while True:
            rows = await connection.fetch(
                FETCH_ROWS,
                timeout_ms(self._options, run.request),
            )
            if not isinstance(rows, list):
                yield last_line(replies.error_outcome(rows, sent=True))
                return
            if not rows:
                break
            count += len(rows)
            yield peer_messages.RowBatch(
                tuple(replies.encode_row(row, binary) for row in rows),
            )
        ran = backends.Ok(count, 0, connection.in_transaction)
        yield last_line(await self.acknowledge(run, ran))

    async def acknowledge(
        self,
        run: StatementRun,
        ran: backends.Ok,
    ) -> outcomes.Outcome:
        """Return the outcome to report for a statement that succeeded."""
        status = self._resources.probe.status
        done = outcomes.Done(
            affected_rows=ran.affected_rows,
            last_insert_id=ran.last_insert_id,
            in_transaction=ran.in_transaction,
            slot=self._resources.slot.name,
            from_replica=status is not None and status.role == 'replica',
            delays=tuple(run.delays),
        )
        if ran.term is None or ran.offset is None:
            return done
        return await self._resources.acknowledger.acknowledge(
            acknowledgement.Commit(
                slot=self._resources.slot.name,
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
    """Return the time-out of a statement on the backend server."""
    # A statement that has started may take up to twice the time that it had
    # left, so that the caller still learns its outcome.
    return min(options.progress_timeout_ms, max(request.budget_ms, 1) * 2)


def last_line(outcome: outcomes.Outcome) -> peer_messages.LastLine:
    """Return the last response line, with the outcome and no clock value."""
    return peer_messages.last_line(outcome, 0)
