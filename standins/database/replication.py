"""Replication of the primary's log to a replica."""

import asyncio
import contextlib
import dataclasses
import json
import time
import typing
from collections import abc

import aiomysql
import pymysql

from standins.database import slot as slot_state

USER = 'replication'
MAX_FETCHED_ENTRIES = 200
MAX_FETCH_WAIT_S = 1
RESPONSE_TIMEOUT_S = 4
RETRY_DELAY_S = 0.05
LAG_CHECK_INTERVAL_S = 0.02
MILLISECONDS = 1000

_RETRIED_ERRORS = (OSError, TimeoutError, pymysql.MySQLError)


@dataclasses.dataclass(frozen=True, slots=True)
class PrimaryAddress:
    """Address and term of the primary to replicate from."""

    term: int
    host: str
    port: int


def term_ends(log: abc.Iterable[slot_state.LogEntry]) -> list[tuple[int, int]]:
    """Return each term in the log with the offset of its last entry."""
    ends: dict[int, int] = {}
    for offset, entry in enumerate(log, start=1):
        ends[entry.term] = offset
    return list(ends.items())


def common_prefix_length(
    log: abc.Sequence[slot_state.LogEntry],
    ends: abc.Iterable[tuple[int, int]],
) -> int:
    """Return the length of the common prefix of two logs.

    `ends` are the term ends of the other log. A term has only one primary, so
    entries with the same term and offset are identical.
    """
    own = dict(term_ends(log))
    return max(
        (min(own[term], end) for term, end in ends if term in own),
        default=0,
    )


class ReplicationTask:
    """Background task that copies the primary's log to a slot."""

    def __init__(self, slot: slot_state.Slot) -> None:
        """Create the state without a running task."""
        self._slot = slot
        self._task: asyncio.Task[None] | None = None

    def follow(self, source: PrimaryAddress) -> None:
        """Replicate from `source`, replacing a running task."""
        self.stop()
        self._task = asyncio.create_task(self._run(source))

    def stop(self) -> None:
        """Cancel the running task, if there is one."""
        if self._task is not None:
            self._task.cancel()
            self._task = None

    @property
    def _is_current(self) -> bool:
        """Return whether the calling task was neither stopped nor replaced.

        In Python 3.11 `asyncio.wait_for` may swallow a cancellation that
        coincides with its result, so a cancelled task may go on running. It
        checks this property before it changes the log.
        """
        return asyncio.current_task() is self._task

    async def _run(self, source: PrimaryAddress) -> None:
        while self._is_current:
            with contextlib.suppress(*_RETRIED_ERRORS):
                await self._replicate(source)
            await asyncio.sleep(RETRY_DELAY_S)

    async def _replicate(self, source: PrimaryAddress) -> None:
        connection = await asyncio.wait_for(
            aiomysql.connect(
                host=source.host,
                port=source.port,
                user=USER,
                autocommit=True,
            ),
            RESPONSE_TIMEOUT_S,
        )
        try:
            await self._truncate_diverged(connection, source)
            while self._is_current:
                await self._fetch(connection, source)
        finally:
            connection.close()

    async def _truncate_diverged(
        self,
        connection: aiomysql.Connection,
        source: PrimaryAddress,
    ) -> None:
        ends = await _call(connection, f'CALL group_term_ends({source.term})')
        if not self._is_current:
            return
        self._slot.truncate(
            common_prefix_length(
                self._slot.log, [(row[0], row[1]) for row in ends]
            ),
        )

    async def _fetch(
        self,
        connection: aiomysql.Connection,
        source: PrimaryAddress,
    ) -> None:
        offset = len(self._slot.log)
        rows = await _call(
            connection,
            f'CALL group_fetch({source.term}, {offset}, {MAX_FETCHED_ENTRIES})',
        )
        received_at = time.monotonic()
        for term, age_ms, statements in rows:
            entry = slot_state.LogEntry(
                term,
                tuple(json.loads(statements)),
                received_at - age_ms / MILLISECONDS,
            )
            await self._wait_until_due(entry)
            if not self._is_current:
                return
            self._slot.apply_replicated(entry)

    async def _wait_until_due(self, entry: slot_state.LogEntry) -> None:
        while True:
            due = entry.committed_at + self._slot.tuning.lag_ms / MILLISECONDS
            remaining = due - time.monotonic()
            if remaining <= 0:
                return
            await asyncio.sleep(min(remaining, LAG_CHECK_INTERVAL_S))


async def _call(
    connection: aiomysql.Connection,
    sql: str,
) -> abc.Sequence[tuple[typing.Any, ...]]:
    async with connection.cursor() as cursor:
        await asyncio.wait_for(cursor.execute(sql), RESPONSE_TIMEOUT_S)
        return typing.cast(
            abc.Sequence[tuple[typing.Any, ...]],
            await cursor.fetchall(),
        )
