"""Translation of MySQL statements to the SQL dialect of SQLite."""

import ast
import enum
import re
import typing

_TOKEN = re.compile(
    r"""
    (?P<comment>/\*.*?\*/|--\s[^\n]*|\#[^\n]*)
    |(?P<binary>_binary\s*)?(?P<quote>['"])
     (?P<body>(?:[^\\'"]+|\\.|(?P=quote){2}|(?!(?P=quote))['"])*)(?P=quote)
    |(?P<identifier>`[^`]*`)
    |(?<![\w.])0x(?P<hex>[0-9a-f]+)
    |(?P<locking>\bFOR\s+UPDATE\b|\bLOCK\s+IN\s+SHARE\s+MODE\b)
    |(?P<generated>\bAUTO_INCREMENT\b)
    """,
    re.VERBOSE | re.DOTALL | re.IGNORECASE,
)
_ESCAPE = re.compile(r'\\(.)', re.DOTALL)
_ESCAPED_CHARACTERS = {
    '0': '\0',
    'b': '\b',
    'n': '\n',
    'r': '\r',
    't': '\t',
    'Z': '\x1a',
    '%': r'\%',
    '_': r'\_',
}
_FIRST_WORD = re.compile(r'\s*\(?\s*(\w+)')
_CALL_STATEMENT = re.compile(
    r'\s*CALL\s+(\w+)\s*\((.*)\)\s*;?\s*$', re.I | re.DOTALL
)


class StatementKind(enum.Enum):
    """Kind of a statement, by its effect on the transaction and the data."""

    read = enum.auto()
    write = enum.auto()
    begin = enum.auto()
    commit = enum.auto()
    rollback = enum.auto()
    savepoint = enum.auto()
    setting = enum.auto()
    call = enum.auto()
    use = enum.auto()


_KINDS_BY_KEYWORD = {
    'select': StatementKind.read,
    'with': StatementKind.read,
    'values': StatementKind.read,
    'explain': StatementKind.read,
    'begin': StatementKind.begin,
    'start': StatementKind.begin,
    'commit': StatementKind.commit,
    'rollback': StatementKind.rollback,
    'savepoint': StatementKind.savepoint,
    'release': StatementKind.savepoint,
    'set': StatementKind.setting,
    'call': StatementKind.call,
    'use': StatementKind.use,
}


def translate(sql: str) -> str:
    """Return `sql` with MySQL literals and keywords converted for SQLite.

    Bytes that are not valid UTF-8 must be decoded as surrogate escapes.
    """
    return _TOKEN.sub(_translate_token, sql).strip().rstrip(';')


def classify(sql: str) -> StatementKind:
    """Return the kind of a translated statement, by its first keyword.

    Statements with an unknown keyword count as writes.
    """
    word = _FIRST_WORD.match(sql)
    kind = _KINDS_BY_KEYWORD.get(
        word.group(1).lower() if word else '', StatementKind.write
    )
    if kind is StatementKind.rollback and re.search(
        r'\bTO\b', sql, re.IGNORECASE
    ):
        return StatementKind.savepoint
    return kind


def locks_rows(sql: str) -> bool:
    """Return whether an untranslated MySQL statement requests row locks."""
    return any(token.group('locking') for token in _TOKEN.finditer(sql))


def parse_call(sql: str) -> tuple[str, tuple[typing.Any, ...]] | None:
    """Return procedure name and arguments of a CALL statement.

    Returns None for other statements and for arguments that aren't literals.
    """
    match = _CALL_STATEMENT.match(sql)
    if match is None:
        return None
    arguments = match.group(2).strip()
    try:
        literals = ast.literal_eval(f'({arguments},)') if arguments else ()
    except (ValueError, SyntaxError):
        return None
    return match.group(1).lower(), literals


def _translate_token(token: re.Match[str]) -> str:
    match token.lastgroup:
        case 'comment' | 'locking':
            return ' '
        case 'generated':
            return 'AUTOINCREMENT'
        case 'hex':
            digits = token.group('hex')
            return "x'{0}'".format(digits.zfill(len(digits) + len(digits) % 2))
        case 'identifier':
            return token.group()
        case _:
            return _translate_literal(token)


def _translate_literal(token: re.Match[str]) -> str:
    quote = token.group('quote')
    body = token.group('body').replace(quote * 2, quote)
    text = _ESCAPE.sub(_unescape, body)
    encoded = text.encode('utf-8', 'surrogateescape')
    if token.group('binary') or not _is_valid_utf8(text):
        return "x'{0}'".format(encoded.hex())
    if '\0' in text:
        return "CAST(x'{0}' AS TEXT)".format(encoded.hex())
    return "'{0}'".format(text.replace("'", "''"))


def _unescape(escape: re.Match[str]) -> str:
    return _ESCAPED_CHARACTERS.get(escape.group(1), escape.group(1))


def _is_valid_utf8(text: str) -> bool:
    try:
        text.encode()
    except UnicodeEncodeError:
        return False
    return True
