"""Rows of an answer in the MySQL text protocol."""

import base64
from collections import abc

from mysql_mimic import results, types

from celeryrelay.core import peer_messages


def column(header: peer_messages.ColumnHeader) -> results.ResultColumn:
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
    row: abc.Sequence[peer_messages.ColumnValue],
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
