"""Session of one client connection."""

import asyncio
import re
import sqlite3
import typing
from collections import abc

from mysql_mimic import charset, results, types
from mysql_mimic import session as mimic_session

from standins.database import (
    dialect,
    procedures,
    slot_errors,
    statement_executor,
)
from standins.database import slot as slot_state

_VARIABLE = re.compile(r'SELECT\s+@@(?:\w+\.)?(\w+)\s*$', re.IGNORECASE)
_SLEEP = re.compile(r'SELECT\s+SLEEP\(([\d.]+)\)', re.IGNORECASE)
_GROUP_TERM = re.compile(r'\bgroup_term\s*=\s*(\w+)', re.IGNORECASE)
_AUTOCOMMIT = re.compile(r'\bautocommit\s*=\s*(\w+)', re.IGNORECASE)
_TRUE_VALUES = frozenset(('1', 'on', 'true'))
_COLUMN_TYPES = {
    'int': types.ColumnType.LONGLONG,
    'float': types.ColumnType.DOUBLE,
    'str': types.ColumnType.VAR_STRING,
    'bytes': types.ColumnType.BLOB,
    'Decimal': types.ColumnType.NEWDECIMAL,
}


class SlotSession(mimic_session.Session):
    """Runs the statements of one connection.

    Statements are translated and classified as texts, without parsing.
    """

    def __init__(
        self,
        slot: slot_state.Slot,
        stored_procedures: procedures.Procedures,
        service_time: statement_executor.ServiceTimeSimulator,
    ) -> None:
        """Start with autocommit on and no group term set."""
        super().__init__()
        self.executor = statement_executor.StatementExecutor(slot, service_time)
        self._slot = slot
        self._procedures = stored_procedures

    async def handle_query(
        self,
        sql: str,
        attrs: dict[str, str],
    ) -> results.ResultSet:
        """Run one statement."""
        self.executor.last_result = statement_executor.OkResult()
        text = dialect.translate(sql)
        try:
            return await self._run(text, dialect.locks_rows(sql))
        except sqlite3.Error as error:
            raise slot_errors.from_sqlite(error) from error

    async def reset(self) -> None:
        """Keep the transaction and the group term.

        mysql_mimic calls this method to reset cursors.
        """

    async def close(self) -> None:
        """Roll back the open transaction."""
        self.executor.rollback()

    async def _run(self, text: str, locks_rows: bool) -> results.ResultSet:
        match dialect.classify(text):
            case dialect.StatementKind.call:
                return _result_set(*(await self._procedures.call(text)))
            case dialect.StatementKind.read:
                return await self._read(text, locks_rows)
            case dialect.StatementKind.write:
                await self.executor.write(text)
            case kind:
                self._run_control(kind, text)
        return results.ResultSet([], [])

    def _run_control(self, kind: dialect.StatementKind, text: str) -> None:
        match kind:
            case dialect.StatementKind.begin:
                self.executor.begin()
            case dialect.StatementKind.commit:
                self.executor.commit()
            case dialect.StatementKind.rollback:
                self.executor.rollback()
            case dialect.StatementKind.savepoint:
                self.executor.savepoint(text)
            case dialect.StatementKind.setting:
                self._set_variables(text)
            case _:
                """`USE` has no effect because there is only one schema."""

    def _set_variables(self, text: str) -> None:
        term = _GROUP_TERM.search(text)
        if term is not None:
            self.executor.group_term = int(term.group(1))
        autocommit = _AUTOCOMMIT.search(text)
        if autocommit is not None:
            word = autocommit.group(1).lower()
            self.executor.set_autocommit(word in _TRUE_VALUES)

    async def _read(self, text: str, locks_rows: bool) -> results.ResultSet:
        sleep = _SLEEP.match(text)
        if sleep is not None:
            await asyncio.sleep(float(sleep.group(1)))
            return _result_set(('SLEEP',), [(0,)])
        variable = _VARIABLE.match(text)
        if variable is not None:
            return self._read_variable(variable.group(1).lower())
        cursor = await self.executor.read(text, locks_rows)
        names = [column[0] for column in cursor.description or ()]
        return _result_set(names, cursor.fetchall())

    def _read_variable(self, name: str) -> results.ResultSet:
        value: typing.Any = self.variables.get(name, '')
        if name == 'autocommit':
            value = int(self.executor.autocommit)
        elif name == 'group_term':
            value = self.executor.group_term
        return _result_set((f'@@{name}',), [(value,)])


def _result_set(
    names: abc.Sequence[str],
    rows: abc.Sequence[abc.Sequence[typing.Any]],
) -> results.ResultSet:
    columns = [
        _column(name, _column_type(row[index] for row in rows))
        for index, name in enumerate(names)
    ]
    return results.ResultSet(rows, columns)


def _column(name: str, kind: types.ColumnType) -> results.ResultColumn:
    if kind is types.ColumnType.BLOB:
        return results.ResultColumn(name, kind, charset.CharacterSet.binary)
    return results.ResultColumn(name, kind)


def _column_type(values: abc.Iterable[typing.Any]) -> types.ColumnType:
    kinds = {type(value).__name__ for value in values if value is not None}
    if kinds == {'int', 'float'}:
        return types.ColumnType.DOUBLE
    if len(kinds) != 1:
        return types.ColumnType.VAR_STRING
    return _COLUMN_TYPES.get(kinds.pop(), types.ColumnType.VAR_STRING)
