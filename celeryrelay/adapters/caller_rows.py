"""Rows of an answer in the MySQL text and binary protocols."""

import base64
import typing
from collections import abc

from mysql_mimic import packets, results, types

from celeryrelay.core import messages


def column(header: messages.ColumnHeader) -> results.ResultColumn:
    """Return the library's column of a header."""
    charset = results.CharacterSet.utf8mb4
    if header.binary:
        charset = results.CharacterSet.binary
    return results.ResultColumn(
        name=header.name,
        type=types.ColumnType(header.type_code),
        character_set=charset,
    )


def _raw(value: str, column: results.ResultColumn) -> bytes:
    if column.character_set is results.CharacterSet.binary:
        return base64.b64decode(value)
    return value.encode()


def text_row(
    row: abc.Sequence[messages.Value],
    columns: abc.Sequence[results.ResultColumn],
) -> bytes:
    """Return the packet of a row in the text protocol."""
    cells = bytearray()
    for value, kind in zip(row, columns, strict=True):
        if value is None:
            cells.append(0xFB)
            continue
        raw = _raw(value, kind)
        cells.extend(types.uint_len(len(raw)))
        cells.extend(raw)
    return bytes(cells)


def binary_row(
    row: abc.Sequence[messages.Value],
    columns: abc.Sequence[results.ResultColumn],
) -> bytes:
    """Return the packet of a row in the binary protocol."""
    values = [
        None if value is None else _typed(value, kind)
        for value, kind in zip(row, columns, strict=True)
    ]
    return packets.make_binary_resultrow(values, columns)


def _typed(value: str, column: results.ResultColumn) -> typing.Any:
    if column.type in INTEGER_TYPES:
        return int(value)
    if column.type in FLOAT_TYPES:
        return float(value)
    return _raw(value, column)


INTEGER_TYPES = frozenset(
    (
        types.ColumnType.TINY,
        types.ColumnType.SHORT,
        types.ColumnType.INT24,
        types.ColumnType.LONG,
        types.ColumnType.LONGLONG,
        types.ColumnType.YEAR,
    )
)
FLOAT_TYPES = frozenset((types.ColumnType.FLOAT, types.ColumnType.DOUBLE))
