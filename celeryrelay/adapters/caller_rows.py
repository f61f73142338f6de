"""Encoding of result rows in the MySQL text protocol."""

import base64
from collections import abc

from mysql_mimic import results, types

from celeryrelay.core import peer_messages


def column(header: peer_messages.ColumnHeader) -> results.ResultColumn:
    """Convert a column header to the column type of mysql-mimic."""
    charset = results.CharacterSet.utf8mb4
    if header.binary:
        charset = results.CharacterSet.binary
    return results.ResultColumn(
        name=header.name,
        type=types.ColumnType(header.type_code),
        character_set=charset,
    )


def _value_bytes(value: str, column: results.ResultColumn) -> bytes:
    if column.character_set is results.CharacterSet.binary:
        return base64.b64decode(value)
    return value.encode()


def text_row(
    row: abc.Sequence[peer_messages.ColumnValue],
    columns: abc.Sequence[results.ResultColumn],
) -> bytes:
    """Return the text protocol packet of a row."""
    cells = bytearray()
    for value, column in zip(row, columns, strict=True):
        if value is None:
            # The text protocol encodes NULL as this single byte.
            cells.append(0xFB)
            continue
        encoded = _value_bytes(value, column)
        cells.extend(types.uint_len(len(encoded)))
        cells.extend(encoded)
    return bytes(cells)
