"""Classification of SQL statements.

The definitions of views, triggers and stored procedures are not inspected: a
query of a view that calls a function with side effects is classified as a read.
"""

import collections
import dataclasses
import re
from collections import abc

from celeryrelay.routing import (
    lexing,
    set_statements,
    sql_functions,
    statement_kinds,
)

Kind = statement_kinds.Kind
Classification = statement_kinds.Classification

_USE = re.compile(
    r'USE\s+(?:(?!\d+\Z)([\w$]+)|`((?:[^`]|``)+)`)', re.IGNORECASE
)
_BEGIN = re.compile(
    r'BEGIN(?:\s+WORK)?|START\s+TRANSACTION(?P<modes>[\w\s,]*)',
    re.IGNORECASE,
)
_READ_ONLY = re.compile(r'\bREAD\s+ONLY\b', re.IGNORECASE)
_COMMIT_OR_ROLLBACK = re.compile(
    '(?:COMMIT|ROLLBACK)'
    + r'(?:\s+WORK)?(?:\s+AND\s+NO\s+CHAIN)?(?:\s+NO\s+RELEASE)?',
    re.IGNORECASE,
)
_SAVEPOINT = re.compile(
    r'(?:RELEASE\s+SAVEPOINT|SAVEPOINT'
    + r'|ROLLBACK(?:\s+WORK)?\s+TO(?:\s+SAVEPOINT)?)\s+\S+',
    re.IGNORECASE,
)
_SELECT_TOKEN = re.compile(
    r'SELECT\s+@@(?:SESSION\s*\.\s*)?{0}(?:\s+(?:AS\s+)?\S+)?'.format(
        set_statements.TOKEN_VARIABLE,
    ),
    re.IGNORECASE,
)
_USER_VARIABLE = re.compile(r'(?<![@\w\'"])@(?!@)|:=')
_TEMPORARY_TABLE = re.compile(r'(?:CREATE|DROP)\s+TEMPORARY\b', re.IGNORECASE)
_INTERNAL_PROCEDURE = re.compile(
    r'CALL\s+(?:[\w$`]+\s*\.\s*)?`?group_(?:status|raise_term|promote|follow|'
    + r'wait)\b',
    re.IGNORECASE,
)
_INTO_FILE = re.compile(r'\bINTO\s+(?:OUTFILE|DUMPFILE)\b', re.IGNORECASE)
_INTO_OR_LOCKING = re.compile(
    r'\bINTO\b|\bFOR\s+(?:UPDATE|SHARE)\b|\bLOCK\s+IN\b',
    re.IGNORECASE,
)
_CONNECTION_STATE = re.compile(
    r'@@(?:SESSION\s*\.\s*)?'
    + r'(?:last_insert_id|identity|warning_count|error_count)\b'
    + r'|\ASHOW\s+(?:COUNT\s*\(.*\)\s+)?(?:WARNINGS|ERRORS)\b'
    + r'|\bLAST_INSERT_ID\s*\(|\bROW_COUNT\s*\(|\bFOUND_ROWS\s*\(',
    re.IGNORECASE,
)
_SHOW_READ = re.compile(
    r'SHOW\s+(?:(?:FULL|EXTENDED|SESSION|GLOBAL)\s+)*(?:CHARACTER\s+SET'
    + r'|COLLATION|COLUMNS|CREATE\s+(?:DATABASE|SCHEMA|TABLE|VIEW)|DATABASES'
    + r'|ENGINES|FIELDS|INDEX|INDEXES|KEYS|SCHEMAS|TABLES|TABLE\s+STATUS'
    + r'|VARIABLES)\b',
    re.IGNORECASE,
)
_EXPLAIN = re.compile(
    r'(?:EXPLAIN|DESCRIBE|DESC)\s+(?P<analyze>ANALYZE\s+)?'
    + r'(?:FORMAT\s*=\s*\w+\s+)?(?P<rest>.*)',
    re.IGNORECASE | re.DOTALL,
)
_TABLE_NAME = re.compile(r'[\w$`.]+(?:\s+[\w$`]+)?')
_FIRST_KEYWORD = re.compile(r'[^\W\d_]+|\(')
_QUERY_KEYWORDS = frozenset(('SELECT', 'WITH', 'TABLE', 'VALUES', '('))
_PINNING_KEYWORDS = frozenset(
    ('DEALLOCATE', 'EXECUTE', 'HANDLER', 'LOCK', 'PREPARE', 'UNLOCK'),
)
_DML_KEYWORDS = frozenset(('DELETE', 'INSERT', 'REPLACE', 'SELECT', 'UPDATE'))
_UNSUPPORTED_KEYWORDS = frozenset(
    (
        'BINLOG',
        'CHANGE',
        'CLONE',
        'FLUSH',
        'IMPORT',
        'INSTALL',
        'KILL',
        'LOAD',
        'PURGE',
        'RESET',
        'RESTART',
        'SHUTDOWN',
        'START',
        'STOP',
        'UNINSTALL',
        'XA',
    )
)
_WRITE = Classification(Kind.write)
_READ = Classification(Kind.read)
_PINNING = Classification(Kind.pinning)


class Classifier:
    """Classifies statements, with a bounded cache of the results.

    The cache key is the statement without comments and with its literals
    replaced by constants, so that statements that differ only in their values
    are parsed once.
    """

    def __init__(self, cache_size: int) -> None:
        """Cache the results of the last `cache_size` distinct statements."""
        self._cache_size = cache_size
        self._cache: collections.OrderedDict[
            tuple[str, bool],
            Classification,
        ] = collections.OrderedDict()

    def classify(self, sql: str) -> Classification:
        """Return the classification of the statement `sql`."""
        scanned = lexing.scan(sql)
        if _first_keyword(scanned.text) == 'SET' and not scanned.executable:
            found = _check_form(scanned) or set_statements.classify(
                lexing.split_hint(sql)[0],
            )
        else:
            found = self._classify_cached(scanned)
        if not scanned.request_id:
            return found
        return dataclasses.replace(found, request_id=scanned.request_id)

    def _classify_cached(
        self, scanned: lexing.ScannedStatement
    ) -> Classification:
        key = (scanned.text, scanned.executable)
        found = self._cache.get(key)
        if found is None:
            found = _classify(scanned)
            self._cache[key] = found
            if len(self._cache) > self._cache_size:
                self._cache.popitem(last=False)
        else:
            self._cache.move_to_end(key)
        return found


def _classify(scanned: lexing.ScannedStatement) -> Classification:
    refused = _check_form(scanned)
    if refused is not None:
        return refused
    text = scanned.text
    masked = lexing.mask_quoted_names(text)
    if scanned.executable:
        return _classify_executable(masked)
    found = _classify_transaction_control(masked) or _classify_by_keyword(
        text,
        masked,
    )
    if not _CONNECTION_STATE.search(masked):
        return found
    found = _WRITE if found.kind is Kind.read else found
    return dataclasses.replace(found, reads_connection_state=True)


def _check_form(scanned: lexing.ScannedStatement) -> Classification | None:
    """Return a refusal unless the text is exactly one complete statement."""
    if not scanned.text:
        return statement_kinds.unsupported('the statement is empty')
    if scanned.broken:
        return statement_kinds.unsupported(
            'a quote or comment is not terminated'
        )
    if ';' in lexing.mask_quoted_names(scanned.text):
        return statement_kinds.unsupported(
            'several statements in one text are not supported'
        )
    return None


def _classify_executable(text: str) -> Classification:
    """Classify a text with a `/*! ... */` comment, which the server executes.

    Such a statement is never classified as a read.
    """
    if _first_keyword(text) not in _DML_KEYWORDS:
        return statement_kinds.unsupported(
            'executable comments are supported only in SELECT, INSERT, '
            + 'UPDATE, REPLACE and DELETE',
        )
    return _PINNING if _needs_pinning(text) else _WRITE


def _classify_transaction_control(text: str) -> Classification | None:
    begin = _BEGIN.fullmatch(text)
    if begin:
        return Classification(
            Kind.begin,
            read_only=bool(_READ_ONLY.search(begin.group('modes') or '')),
        )
    if _SAVEPOINT.fullmatch(text):
        return Classification(Kind.savepoint)
    keyword = _first_keyword(text)
    if keyword not in {'BEGIN', 'COMMIT', 'ROLLBACK', 'SAVEPOINT', 'RELEASE'}:
        return None
    if _COMMIT_OR_ROLLBACK.fullmatch(text):
        return Classification(Kind(keyword.lower()))
    return statement_kinds.unsupported(
        '{0}: this form is not supported'.format(keyword)
    )


def _classify_by_keyword(text: str, masked: str) -> Classification:
    keyword = _first_keyword(text)
    handler = _HANDLERS.get(keyword)
    if handler is not None:
        return handler(text)
    refused = _check_operation(keyword, text)
    if refused is not None:
        return refused
    if keyword in _PINNING_KEYWORDS or _TEMPORARY_TABLE.match(text):
        return _PINNING
    if keyword not in _QUERY_KEYWORDS:
        return _PINNING if _needs_pinning(masked) else _WRITE
    if _SELECT_TOKEN.fullmatch(text):
        return Classification(Kind.select_token)
    return _classify_query(text, masked)


def _check_operation(keyword: str, text: str) -> Classification | None:
    if keyword in _UNSUPPORTED_KEYWORDS:
        return statement_kinds.unsupported(
            '{0} is not supported'.format(keyword)
        )
    if _INTO_FILE.search(text):
        return statement_kinds.unsupported(
            'INTO OUTFILE and INTO DUMPFILE are not supported'
        )
    if _INTERNAL_PROCEDURE.match(text):
        return statement_kinds.unsupported(
            'CALL: this procedure is reserved for the proxy'
        )
    return None


def _classify_query(text: str, masked: str) -> Classification:
    if _needs_pinning(masked):
        return _PINNING
    if sql_functions.strongest_effect(text) > sql_functions.Effect.none:
        return _WRITE
    if _INTO_OR_LOCKING.search(masked) or not _is_plain_query(text):
        return _WRITE
    return _READ


def _needs_pinning(masked: str) -> bool:
    return bool(_USER_VARIABLE.search(masked)) or (
        sql_functions.strongest_effect(masked) is sql_functions.Effect.locks
    )


def _classify_use(text: str) -> Classification:
    match = _USE.fullmatch(text)
    if not match:
        return statement_kinds.unsupported(
            'USE: exactly one schema name is expected'
        )
    plain, quoted = match.groups()
    schema = plain or quoted.replace('``', '`')
    return Classification(Kind.use, schema=schema)


def _classify_show(text: str) -> Classification:
    return _READ if _SHOW_READ.match(text) else _WRITE


def _classify_explain(text: str) -> Classification:
    if _needs_pinning(lexing.mask_quoted_names(text)):
        return _PINNING
    match = _EXPLAIN.fullmatch(text)
    if not match or match.group('analyze'):
        return _WRITE
    rest = match.group('rest')
    masked = lexing.mask_quoted_names(rest)
    if _first_keyword(rest) in _QUERY_KEYWORDS:
        return _classify_query(rest, masked)
    return _READ if _TABLE_NAME.fullmatch(rest) else _WRITE


def _first_keyword(text: str) -> str:
    match = _FIRST_KEYWORD.match(text)
    return match.group().upper() if match else ''


def _is_plain_query(text: str) -> bool:
    """Return whether `text` parses as one query without writing clauses."""
    import sqlglot  # noqa: WPS433 (imported only in daemons that classify)
    from sqlglot import errors, expressions  # noqa: WPS433

    try:
        tree = sqlglot.parse_one(text, dialect='mysql')
    except errors.SqlglotError:
        return False
    if not isinstance(tree, expressions.Query | expressions.Values):
        return False
    disallowed = (
        expressions.DDL,
        expressions.DML,
        expressions.Command,
        expressions.Parameter,
        expressions.PropertyEQ,
    )
    allowed = (expressions.Query, expressions.CTE, expressions.Values)
    return not any(
        isinstance(node, disallowed) and not isinstance(node, allowed)
        for node in tree.walk()
    )


_HANDLERS: abc.Mapping[str, abc.Callable[[str], Classification]] = {
    'USE': _classify_use,
    'SHOW': _classify_show,
    'EXPLAIN': _classify_explain,
    'DESCRIBE': _classify_explain,
    'DESC': _classify_explain,
}
