"""Classification of SQL statements.

Views, triggers and stored procedures are opaque here: a view whose definition
calls a function with effects is taken for a read.
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
_FINISH = re.compile(
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
_TEMPORARY = re.compile(r'(?:CREATE|DROP)\s+TEMPORARY\b', re.IGNORECASE)
_PROCEDURE_OF_SLOT = re.compile(
    r'CALL\s+(?:[\w$`]+\s*\.\s*)?`?group_(?:status|raise_term|promote|follow|'
    + r'wait)\b',
    re.IGNORECASE,
)
_FILE = re.compile(r'\bINTO\s+(?:OUTFILE|DUMPFILE)\b', re.IGNORECASE)
_LOCKING = re.compile(
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
_HEAD = re.compile(r'[^\W\d_]+|\(')
_QUERY_HEADS = frozenset(('SELECT', 'WITH', 'TABLE', 'VALUES', '('))
_PINNING_HEADS = frozenset(
    ('DEALLOCATE', 'EXECUTE', 'HANDLER', 'LOCK', 'PREPARE', 'UNLOCK'),
)
_DATA_HEADS = frozenset(('DELETE', 'INSERT', 'REPLACE', 'SELECT', 'UPDATE'))
_REFUSED_HEADS = frozenset(
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

    The key of the cache is the statement without comments and with constants
    in place of literals, so that statements that differ only in their values
    are parsed once.
    """

    def __init__(self, cache_size: int) -> None:
        """Keep the results of the last `cache_size` distinct statements."""
        self._cache_size = cache_size
        self._cache: collections.OrderedDict[
            tuple[str, bool],
            Classification,
        ] = collections.OrderedDict()

    def classify(self, sql: str) -> Classification:
        """Return how the statement `sql` is handled."""
        scanned = lexing.scan(sql)
        if _head(scanned.text) == 'SET' and not scanned.executable:
            found = _refused_form(scanned) or set_statements.classify(
                lexing.split_hint(sql)[0],
            )
        else:
            found = self._cached(scanned)
        if not scanned.request_id:
            return found
        return dataclasses.replace(found, request_id=scanned.request_id)

    def _cached(self, scanned: lexing.Scan) -> Classification:
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


def _classify(scanned: lexing.Scan) -> Classification:
    refused = _refused_form(scanned)
    if refused is not None:
        return refused
    text = scanned.text
    names_blanked = lexing.blank_quoted(text)
    if scanned.executable:
        return _classify_executable(names_blanked)
    found = _transaction_control(names_blanked) or _by_head(
        text,
        names_blanked,
    )
    if not _CONNECTION_STATE.search(names_blanked):
        return found
    found = _WRITE if found.kind is Kind.read else found
    return dataclasses.replace(found, reads_connection_state=True)


def _refused_form(scanned: lexing.Scan) -> Classification | None:
    """Refuse text that can't be split into exactly one statement."""
    if not scanned.text:
        return statement_kinds.unsupported('the statement is empty')
    if scanned.broken:
        return statement_kinds.unsupported(
            'a quote or comment is not terminated'
        )
    if ';' in lexing.blank_quoted(scanned.text):
        return statement_kinds.unsupported('several statements in one text')
    return None


def _classify_executable(text: str) -> Classification:
    """Classify a text with a `/*! ... */` comment, which the server runs."""
    if _head(text) not in _DATA_HEADS:
        return statement_kinds.unsupported(
            'executable comments are supported only in SELECT, INSERT, '
            + 'UPDATE, REPLACE and DELETE',
        )
    return _PINNING if _pins(text) else _WRITE


def _transaction_control(text: str) -> Classification | None:
    begin = _BEGIN.fullmatch(text)
    if begin:
        return Classification(
            Kind.begin,
            read_only=bool(_READ_ONLY.search(begin.group('modes') or '')),
        )
    if _SAVEPOINT.fullmatch(text):
        return Classification(Kind.savepoint)
    head = _head(text)
    if head not in {'BEGIN', 'COMMIT', 'ROLLBACK', 'SAVEPOINT', 'RELEASE'}:
        return None
    if _FINISH.fullmatch(text):
        return Classification(Kind(head.lower()))
    return statement_kinds.unsupported(
        '{0}: this form is not supported'.format(head)
    )


def _by_head(text: str, names_blanked: str) -> Classification:
    head = _head(text)
    handler = _HANDLERS.get(head)
    if handler is not None:
        return handler(text)
    refused = _refused_operation(head, text)
    if refused is not None:
        return refused
    if head in _PINNING_HEADS or _TEMPORARY.match(text):
        return _PINNING
    if head not in _QUERY_HEADS:
        return _PINNING if _pins(names_blanked) else _WRITE
    if _SELECT_TOKEN.fullmatch(text):
        return Classification(Kind.select_token)
    return _query(text, names_blanked)


def _refused_operation(head: str, text: str) -> Classification | None:
    if head in _REFUSED_HEADS:
        return statement_kinds.unsupported('{0} is not supported'.format(head))
    if _FILE.search(text):
        return statement_kinds.unsupported(
            'queries into files are not supported'
        )
    if _PROCEDURE_OF_SLOT.match(text):
        return statement_kinds.unsupported('this procedure is not for callers')
    return None


def _query(text: str, names_blanked: str) -> Classification:
    if _pins(names_blanked):
        return _PINNING
    if sql_functions.strongest_effect(text) > sql_functions.Effect.none:
        return _WRITE
    if _LOCKING.search(names_blanked) or not _is_plain_query(text):
        return _WRITE
    return _READ


def _pins(names_blanked: str) -> bool:
    return bool(_USER_VARIABLE.search(names_blanked)) or (
        sql_functions.strongest_effect(names_blanked)
        is sql_functions.Effect.locks
    )


def _use(text: str) -> Classification:
    match = _USE.fullmatch(text)
    if not match:
        return statement_kinds.unsupported('USE needs one schema name')
    plain, quoted = match.groups()
    schema = plain or quoted.replace('``', '`')
    return Classification(Kind.use, schema=schema)


def _show(text: str) -> Classification:
    return _READ if _SHOW_READ.match(text) else _WRITE


def _explain(text: str) -> Classification:
    if _pins(lexing.blank_quoted(text)):
        return _PINNING
    match = _EXPLAIN.fullmatch(text)
    if not match or match.group('analyze'):
        return _WRITE
    rest = match.group('rest')
    names_blanked = lexing.blank_quoted(rest)
    if _head(rest) in _QUERY_HEADS:
        return _query(rest, names_blanked)
    return _READ if _TABLE_NAME.fullmatch(rest) else _WRITE


def _head(text: str) -> str:
    match = _HEAD.match(text)
    return match.group().upper() if match else ''


def _is_plain_query(text: str) -> bool:
    """Return whether the parser finds one query and nothing that writes."""
    import sqlglot  # noqa: WPS433 (only daemons that classify pay for it)
    from sqlglot import errors, expressions  # noqa: WPS433

    try:
        tree = sqlglot.parse_one(text, dialect='mysql')
    except errors.SqlglotError:
        return False
    if not isinstance(tree, expressions.Query | expressions.Values):
        return False
    effects = (
        expressions.DDL,
        expressions.DML,
        expressions.Command,
        expressions.Parameter,
        expressions.PropertyEQ,
    )
    allowed = (expressions.Query, expressions.CTE, expressions.Values)
    return not any(
        isinstance(node, effects) and not isinstance(node, allowed)
        for node in tree.walk()
    )


_HANDLERS: abc.Mapping[str, abc.Callable[[str], Classification]] = {
    'USE': _use,
    'SHOW': _show,
    'EXPLAIN': _explain,
    'DESCRIBE': _explain,
    'DESC': _explain,
}
