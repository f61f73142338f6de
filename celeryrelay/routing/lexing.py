"""Replacement of comments and literals before statements are parsed.

The parser's lexical rules differ from the server's for `--1`, nested comments
and executable comments. The parser therefore never receives text in which the
difference could matter.
"""

import dataclasses
import re

_HINT = re.compile(
    r'/\*\s*celeryrelay:request=([\w.:\-]{1,64})\s*\*/',
    re.ASCII,
)
_LEADING_HINT = re.compile(r'\s*{0}\s*'.format(_HINT.pattern), re.ASCII)
_TRAILING_HINT = re.compile(r'{0}[\s;]*\Z'.format(_HINT.pattern), re.ASCII)
# Number of characters at the end of a statement that are searched for a hint.
_HINT_WINDOW = 128
# The lookahead rejects most characters with one comparison; without it, every
# alternative would be tried at each character.
_TOKEN = re.compile(
    r"""
    (?=['"`/\#\-0-9xXbBiI])(?:
    (?P<interval>\b[iI][nN][tT][eE][rR][vV][aA][lL]
        \s+(?:'[^'\\]*'|"[^"\\]*"))
    |(?P<binary>\b[xXbB]'[0-9a-fA-F]*')
    |(?P<string>'(?:[^'\\]|\\.|'')*'|"(?:[^"\\]|\\.|"")*")
    |(?P<quoted>`(?:[^`]|``)+`)
    |(?P<executable>/\*[Mm]?!.*?\*/)
    |(?P<optimizer>/\*\+.*?\*/)
    |(?P<comment>/\*.*?\*/|\#[^\n]*|--(?=[\s\x00-\x1f]|\Z)[^\n]*)
    |(?P<minus>--)
    |(?P<broken>/\*|['"`])
    |(?P<number>(?<![\w$@.])[0-9]+(?![\w$.]))
    )
    """,
    re.VERBOSE | re.DOTALL,
)
_COMMENT_KINDS = frozenset(('comment', 'optimizer'))
_REPLACEMENTS = {
    # A valid JSON path, because the parser validates the path in `a->'$.b'`.
    'string': "'$'",
    'binary': '0',
    'interval': "INTERVAL '0'",
    'comment': ' ',
    'optimizer': ' ',
    'minus': '- -',
    'number': '0',
}


@dataclasses.dataclass(frozen=True, slots=True)
class ScannedStatement:
    """A statement without comments and literals.

    Attributes:
        text: Statement with strings and integers replaced by constants and
            comments by spaces. Executable comments are kept.
        request_id: Request id of a hint; empty if there is none.
        executable: Whether the text has a `/*! ... */` comment.
        broken: Whether a quote or a comment is not terminated.
    """

    text: str
    request_id: str = ''
    executable: bool = False
    broken: bool = False


def split_hint(sql: str) -> tuple[str, str]:
    """Return `sql` without a leading or trailing hint, and its request id."""
    match = _LEADING_HINT.match(sql)
    if match:
        return sql[match.end() :], match.group(1)
    start = sql.rfind('/*', max(len(sql) - _HINT_WINDOW, 0))
    match = _TRAILING_HINT.match(sql, start) if start >= 0 else None
    if match:
        return sql[:start], match.group(1)
    return sql, ''


def scan(sql: str) -> ScannedStatement:
    """Return `sql` with comments and literals replaced."""
    rest, request_id = split_hint(sql)
    found: set[str] = set()
    request_ids = [request_id]

    def replace(match: re.Match[str]) -> str:  # noqa: WPS430 (needs the sets)
        kind = match.lastgroup or ''
        found.add(kind)
        hint = _HINT.fullmatch(match.group()) if kind == 'comment' else None
        if hint:
            request_ids.append(hint.group(1))
        return _REPLACEMENTS.get(kind, match.group())

    text = _TOKEN.sub(replace, rest)
    return ScannedStatement(
        text=text.strip().rstrip(';').rstrip(),
        request_id=max(request_ids, key=bool),
        executable='executable' in found,
        broken='broken' in found,
    )


def mask_quoted_names(text: str) -> str:
    """Return a scanned text with each backquoted name replaced by `q`."""
    return _TOKEN.sub(
        lambda match: 'q' if match.lastgroup == 'quoted' else match.group(),
        text,
    )


def strip_comments(sql: str) -> str:
    """Return `sql` without comments; literals are kept."""
    return (
        _TOKEN.sub(
            lambda match: (
                ' ' if match.lastgroup in _COMMENT_KINDS else match.group()
            ),
            sql,
        )
        .strip()
        .rstrip(';')
        .rstrip()
    )


def split_list(text: str) -> list[str]:
    """Split a comment-free text at commas outside quotes and parentheses."""
    parts = ['']
    depth = 0
    position = 0
    while position < len(text):
        match = _TOKEN.match(text, position)
        token = match.group() if match else text[position]
        depth += (token == '(') - (token == ')')
        if token == ',' and not depth:
            parts.append('')
        else:
            parts[-1] += token
        position += len(token)
    return [part.strip() for part in parts]
