"""Classification of SET statements."""

import dataclasses
import re

from celeryrelay.routing import lexing, statement_kinds

TOKEN_VARIABLE = 'celeryrelay_token'  # noqa: S105 (name of the variable)

_GLOBAL_SCOPES = frozenset(('global', 'persist', 'persist_only'))
# Variables that would break the term guard, the recovery of an outcome or the
# next caller of a pooled connection.
_REFUSED = frozenset(
    (
        'completion_type',
        'group_term',
        'gtid_next',
        'identity',
        'insert_id',
        'last_insert_id',
        'password',
        'pseudo_slave_mode',
        'pseudo_thread_id',
        'sql_log_bin',
        'timestamp',
    )
)
# Modes that change how the server splits a statement into words; the
# classifier would read such text differently.
_LEXICAL_MODE = re.compile('ansi|no_backslash_escapes', re.IGNORECASE)
_CHARSETS = frozenset(
    (
        'ascii',
        'binary',
        'default',
        'latin1',
        'null',
        'utf8',
        'utf8mb3',
        'utf8mb4',
    )
)
_CHARSET_VARIABLES = frozenset(
    (
        'character_set_client',
        'character_set_connection',
        'collation_connection',
    )
)
_TRUE = frozenset(('1', 'on', 'true'))
_FALSE = frozenset(('0', 'off', 'false'))
_ASSIGNMENT = re.compile(
    r'(?:(?P<word>global|persist|persist_only|session|local)\s+)?'
    + r'(?P<system>@@)?(?:(?P<scope>\w+)\s*\.\s*)?'
    + r'(?P<name>[\w$]+|`[\w$]+`)\s*:?=\s*(?P<value>.+)',
    re.DOTALL | re.IGNORECASE,
)
_USER_VARIABLE = re.compile('@(?!@)')
_CONSTANT = re.compile(
    r'\'(?:[^\'\\]|\'\')*\'|"(?:[^"\\]|"")*"|[+-]?[\d.]+|\w+|@@[\w.]+',
)
_NAMES = re.compile(
    r'(?:names|character\s+set|charset)\s+(?P<value>[\w\'"]+)'
    + r'(?:\s+collate\s+[\w\'"]+)?',
    re.IGNORECASE,
)
_TRANSACTION = re.compile(
    r'(?P<scope>session\s+|local\s+)?transaction\s+[\w\s,]+',
    re.IGNORECASE,
)


@dataclasses.dataclass(frozen=True, slots=True)
class _Assignment:
    name: str
    value: str
    scope: str
    next_transaction: bool


def classify(sql: str) -> statement_kinds.Classification:
    """Classify the statement `sql`, which begins with SET."""
    body = lexing.strip_comments(sql)[len('SET') :].strip()
    special = _special_form(body)
    if special is not None:
        return special
    parts = lexing.split_list(body)
    system_parts = [part for part in parts if not _USER_VARIABLE.match(part)]
    assignments = [_parse(part) for part in system_parts]
    if None in assignments:
        return statement_kinds.unsupported('SET: this form is not supported')
    if len(parts) == 1 and assignments:
        return _single(assignments[0])
    found = _several(assignments)
    pins = len(system_parts) < len(parts)
    if pins and found.kind is statement_kinds.Kind.set_session:
        return statement_kinds.Classification(statement_kinds.Kind.pinning)
    return found


def _special_form(body: str) -> statement_kinds.Classification | None:
    names = _NAMES.fullmatch(body)
    if names:
        return _check_charset(names.group('value'))
    transaction = _TRANSACTION.fullmatch(body)
    if not transaction:
        return None
    if transaction.group('scope'):
        return statement_kinds.Classification(statement_kinds.Kind.set_session)
    return statement_kinds.unsupported(
        'SET TRANSACTION for the next transaction only is not supported; '
        + 'use SET SESSION TRANSACTION or START TRANSACTION READ ONLY',
    )


def _parse(part: str) -> _Assignment | None:
    match = _ASSIGNMENT.fullmatch(part)
    if not match:
        return None
    scope = match.group('word') or match.group('scope') or ''
    return _Assignment(
        name=match.group('name').strip('`').lower(),
        value=match.group('value').strip(),
        scope=scope.lower(),
        next_transaction=bool(match.group('system')) and not scope,
    )


def _single(assignment: _Assignment) -> statement_kinds.Classification:
    match assignment.name:
        case 'autocommit' if assignment.scope not in _GLOBAL_SCOPES:
            return _autocommit(assignment.value)
        case name if name == TOKEN_VARIABLE:
            return _token(assignment.value)
    return _check(assignment)


def _several(assignments: list[_Assignment]) -> statement_kinds.Classification:
    for assignment in assignments:
        if assignment.name in {'autocommit', TOKEN_VARIABLE}:
            return statement_kinds.unsupported(
                'SET {0} must be a statement of its own'.format(
                    assignment.name,
                ),
            )
        checked = _check(assignment)
        if checked.kind is statement_kinds.Kind.unsupported:
            return checked
    return statement_kinds.Classification(statement_kinds.Kind.set_session)


def _autocommit(value: str) -> statement_kinds.Classification:
    plain = _unquote(value).lower()
    if plain not in _TRUE | _FALSE:
        return statement_kinds.unsupported(
            'SET autocommit: the value must be 0 or 1'
        )
    return statement_kinds.Classification(
        statement_kinds.Kind.set_autocommit,
        autocommit=plain in _TRUE,
    )


def _token(value: str) -> statement_kinds.Classification:
    if value[0] not in {"'", '"'} or not _CONSTANT.fullmatch(value):
        return statement_kinds.unsupported(
            'SET @@celeryrelay_token: the value must be a quoted string',
        )
    return statement_kinds.Classification(
        statement_kinds.Kind.set_token, token=_unquote(value)
    )


def _check(assignment: _Assignment) -> statement_kinds.Classification:
    """Check an assignment to a session variable of the backend server."""
    name = assignment.name
    if assignment.scope in _GLOBAL_SCOPES:
        return statement_kinds.unsupported(
            'SET {0}: only session scope'.format(name)
        )
    if name in _REFUSED:
        return statement_kinds.unsupported(
            'SET {0} is not supported'.format(name)
        )
    if not _CONSTANT.fullmatch(assignment.value):
        return statement_kinds.unsupported(
            'SET {0}: the value must be a constant'.format(name),
        )
    if name == 'sql_mode':
        return _check_mode(assignment.value)
    if name in _CHARSET_VARIABLES:
        return _check_charset(assignment.value)
    if name.startswith('transaction_') and assignment.next_transaction:
        return statement_kinds.unsupported(
            'SET @@{0}: add the scope'.format(name)
        )
    return statement_kinds.Classification(statement_kinds.Kind.set_session)


def _check_mode(value: str) -> statement_kinds.Classification:
    if _LEXICAL_MODE.search(value) or value.startswith('@'):
        return statement_kinds.unsupported(
            'SET sql_mode: the modes ANSI, ANSI_QUOTES and '
            + 'NO_BACKSLASH_ESCAPES are not supported',
        )
    return statement_kinds.Classification(statement_kinds.Kind.set_session)


def _check_charset(value: str) -> statement_kinds.Classification:
    charset = _unquote(value).lower().split('_')[0]
    if charset not in _CHARSETS:
        return statement_kinds.unsupported(
            'character set "{0}" is not supported'.format(charset),
        )
    return statement_kinds.Classification(statement_kinds.Kind.set_session)


def _unquote(value: str) -> str:
    return value.strip('\'"')
