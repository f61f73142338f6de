"""Stored procedures of a slot, invoked by `CALL`."""

import inspect
import json
import time
import typing
from collections import abc

from standins.database import dialect, replication, slot_errors
from standins.database import slot as slot_state

ResultTable = tuple[abc.Sequence[str], abc.Sequence[abc.Sequence[typing.Any]]]

MILLISECONDS = 1000


class Procedures:
    """Stored procedures for failover, replication and tests.

    Names with the prefix `group_` are those that the daemon and the replicas
    call; those with the prefix `standin_` are for tests only.
    """

    def __init__(self, slot: slot_state.Slot) -> None:
        """Create the procedures of `slot`."""
        self._slot = slot
        self._replication = replication.ReplicationTask(slot)
        self._handlers: dict[str, abc.Callable[..., typing.Any]] = {
            'group_status': self._status,
            'group_raise_term': self._raise_term,
            'group_promote': self._promote,
            'group_follow': self.follow,
            'group_wait': self._wait,
            'group_fetch': self._fetch,
            'group_term_ends': self._term_ends,
            'standin_set': self._set_tuning,
            'standin_dump_log': self._dump_log,
            'standin_statements': self._statements,
        }

    async def call(self, sql: str) -> ResultTable:
        """Run the CALL statement `sql` and return its columns and rows.

        Raises:
            SlotError: The procedure is unknown or its arguments don't fit.
        """
        parsed = dialect.parse_call(sql)
        if parsed is None or parsed[0] not in self._handlers:
            raise slot_errors.SlotError(
                slot_errors.NO_SUCH_PROCEDURE,
                f'PROCEDURE does not exist: {sql}',
            )
        name, arguments = parsed
        try:
            table = self._handlers[name](*arguments)
        except TypeError as error:
            raise slot_errors.SlotError(
                slot_errors.SYNTAX, str(error)
            ) from error
        return await table if inspect.isawaitable(table) else table

    def follow(self, term: int, host: str, port: int) -> ResultTable:
        """Become a replica of the primary of `term` at the given address.

        Raises:
            SlotError: The slot has a newer term, or is the primary of `term`.
        """
        slot = self._slot
        slot.require_current_term(term)
        if (slot.role, slot.term) == (slot_state.Role.primary, term):
            slot.require_primary(None)
        slot.set_term_and_role(term, slot_state.Role.replica)
        self._replication.follow(replication.PrimaryAddress(term, host, port))
        return self._position_table()

    def stop(self) -> None:
        """Stop replicating from the primary."""
        self._replication.stop()

    def _status(self) -> ResultTable:
        slot = self._slot
        columns = ('slot', 'term', 'role', 'log_term', 'applied')
        row = (slot.name, slot.term, slot.role, slot.log_term, len(slot.log))
        return columns, [row]

    def _raise_term(self, term: int) -> ResultTable:
        slot = self._slot
        slot.require_current_term(term)
        if term > slot.term:
            self._replication.stop()
            slot.set_term_and_role(term, slot_state.Role.closed)
        columns = ('term', 'log_term', 'applied')
        return columns, [(slot.term, slot.log_term, len(slot.log))]

    def _promote(self, term: int) -> ResultTable:
        self._slot.require_current_term(term)
        self._replication.stop()
        self._slot.set_term_and_role(term, slot_state.Role.primary)
        return self._position_table()

    async def _wait(
        self, term: int, offset: int, timeout_ms: float
    ) -> ResultTable:
        slot = self._slot
        deadline = time.monotonic() + timeout_ms / MILLISECONDS
        while slot.term < term or len(slot.log) < offset:
            remaining = deadline - time.monotonic()
            if slot.term > term or remaining <= 0:
                break
            await slot.changed.wait(remaining)
        columns = ('term', 'log_term', 'applied')
        return columns, [(slot.term, slot.log_term, len(slot.log))]

    async def _fetch(self, term: int, offset: int, limit: int) -> ResultTable:
        slot = self._slot
        slot.require_primary(term)
        if len(slot.log) <= offset:
            await slot.changed.wait(replication.MAX_FETCH_WAIT_S)
            slot.require_primary(term)
        now = time.monotonic()
        rows = [
            (
                entry.term,
                (now - entry.committed_at) * MILLISECONDS,
                json.dumps(entry.statements),
            )
            for entry in slot.log[offset : offset + limit]
        ]
        return ('term', 'age_ms', 'statements'), rows

    def _term_ends(self, term: int) -> ResultTable:
        self._slot.require_primary(term)
        return ('term', 'offset'), replication.term_ends(self._slot.log)

    def _set_tuning(self, name: str, number: float) -> ResultTable:
        if name not in slot_state.Tuning.__slots__:
            raise slot_errors.SlotError(
                slot_errors.SYNTAX, f'unknown tuning value {name}'
            )
        setattr(self._slot.tuning, name, number)
        return ('name', 'value'), [(name, number)]

    def _dump_log(self) -> ResultTable:
        rows = [
            (entry.term, offset, statement)
            for offset, entry in enumerate(self._slot.log, start=1)
            for statement in entry.statements
        ]
        return ('term', 'offset', 'sql'), rows

    def _statements(self) -> ResultTable:
        return ('statements',), [(self._slot.statement_count,)]

    def _position_table(self) -> ResultTable:
        return ('term', 'applied'), [(self._slot.term, len(self._slot.log))]
