"""Validation rules that involve more than one value of an object set.

The rules read the unparsed document, so that an object with one invalid value
is still checked for all other rules and all errors are reported at once.
Values of the wrong type are skipped here; the models report them.
"""

import dataclasses
import ipaddress
import itertools
import typing
from collections import abc

from celeryrelay.core import ranks

MIN_SLOTS = 2
MAX_NAMES_SHOWN = 12


@dataclasses.dataclass(frozen=True, slots=True)
class Violation:
    """A violated rule and the path of the value that violates it."""

    path: str
    message: str


@dataclasses.dataclass(frozen=True, slots=True)
class RawObject:
    """An unparsed object and its path in the document."""

    path: str
    body: abc.Mapping[str, typing.Any]

    def text(self, key: str, default: str | None = None) -> str | None:
        """Return the string at `key`; None if it is missing or no string."""
        given = self.body.get(key, default)
        return given if isinstance(given, str) else None

    def path_of(self, key: str) -> str:
        """Return the path of `key`."""
        return '{0}.{1}'.format(self.path, key)


def find_violations(
    raw: abc.Mapping[str, typing.Any],
) -> abc.Iterator[Violation]:
    """Yield every rule violation in the document `raw`."""
    groups = _raw_objects('database_groups', raw.get('database_groups'))
    routes = _raw_objects('routes', raw.get('routes'))
    policies = _raw_objects('ranks', raw.get('ranks'))
    rules = _raw_objects('stale_read_rules', raw.get('stale_read_rules'))
    return itertools.chain(
        _duplicates(groups, 'name'),
        _duplicates(routes, 'name'),
        _duplicates(rules, 'name'),
        _duplicates(policies, 'rank'),
        _check_slots(groups),
        _check_ranks(policies),
        _check_references(routes, 'group', _names(groups)),
        _check_references(routes, 'stale_read_rule', {'', *_names(rules)}),
        _check_users_and_schemas(routes),
        _check_passwords(routes),
    )


def _raw_objects(path: str, rows: typing.Any) -> list[RawObject]:
    if not isinstance(rows, list):
        return []
    return [
        RawObject('{0}[{1}]'.format(path, number), row)
        for number, row in enumerate(rows)
        if isinstance(row, dict)
    ]


def _names(raw_objects: abc.Iterable[RawObject]) -> set[str]:
    given = (row.text('name') for row in raw_objects)
    return {name for name in given if name is not None}


def _duplicates(
    raw_objects: abc.Iterable[RawObject],
    key: str,
) -> abc.Iterator[Violation]:
    first: dict[str, str] = {}
    for row in raw_objects:
        given = row.text(key)
        if given is None:
            continue
        path = first.setdefault(given, row.path)
        if path != row.path:
            yield Violation(
                row.path_of(key),
                'given {0!r}; already used by {1}'.format(given, path),
            )


def _check_slots(groups: abc.Iterable[RawObject]) -> abc.Iterator[Violation]:
    addresses: dict[tuple[str, int], str] = {}
    for group in groups:
        rows = group.body.get('slots')
        slots = _raw_objects(group.path_of('slots'), rows)
        if isinstance(rows, list) and len(rows) < MIN_SLOTS:
            yield Violation(
                group.path_of('slots'),
                'given {0} slots; {1} or more are required'.format(
                    len(rows),
                    MIN_SLOTS,
                ),
            )
        yield from _duplicates(slots, 'name')
        yield from _check_addresses(slots, addresses)


def _check_addresses(
    slots: abc.Iterable[RawObject],
    addresses: dict[tuple[str, int], str],
) -> abc.Iterator[Violation]:
    for slot in slots:
        host = _canonical_host(slot.text('host'))
        port = slot.body.get('port')
        if host is None or not isinstance(port, int):
            continue
        path = addresses.setdefault((host, port), slot.path)
        if path != slot.path:
            yield Violation(
                slot.path_of('port'),
                'given address {0}:{1}; already used by {2}'.format(
                    host,
                    port,
                    path,
                ),
            )


def _canonical_host(text: str | None) -> str | None:
    try:
        return str(ipaddress.ip_address(text or ''))
    except ValueError:
        return None


def _check_ranks(policies: list[RawObject]) -> abc.Iterator[Violation]:
    given = {policy.text('rank') for policy in policies}
    for rank in ranks.BY_URGENCY:
        if rank not in given:
            yield Violation(
                'ranks',
                'rank {0!r} is required'.format(rank.value),
            )
    for policy in policies:
        target = policy.body.get('target_ms')
        deadline = policy.body.get('deadline_ms')
        if not (_is_number(target) and _is_number(deadline)):
            continue
        if deadline < target:
            yield Violation(
                policy.path_of('deadline_ms'),
                'given {0}; not allowed to be below target_ms ({1})'.format(
                    deadline,
                    target,
                ),
            )


def _is_number(given: typing.Any) -> bool:
    return isinstance(given, int | float) and not isinstance(given, bool)


def _check_references(
    routes: abc.Iterable[RawObject],
    key: str,
    known: set[str],
) -> abc.Iterator[Violation]:
    allowed = _format_names(sorted(name for name in known if name))
    for route in routes:
        given = route.text(key)
        if given is not None and given not in known:
            yield Violation(
                route.path_of(key),
                'given {0!r}; allowed are {1}'.format(given, allowed),
            )


def _format_names(names: list[str]) -> str:
    text = ', '.join(names[:MAX_NAMES_SHOWN]) or '(none)'
    hidden = len(names) - MAX_NAMES_SHOWN
    return '{0} and {1} more'.format(text, hidden) if hidden > 0 else text


def _check_users_and_schemas(
    routes: abc.Iterable[RawObject],
) -> abc.Iterator[Violation]:
    first: dict[tuple[str, str], str] = {}
    for route in routes:
        user = route.text('user')
        schema = route.text('schema', '')
        if user is None or schema is None:
            continue
        path = first.setdefault((user, schema), route.path)
        if path != route.path:
            yield Violation(
                route.path_of('schema'),
                'user {0!r} with schema {1!r} is already used by {2}'.format(
                    user,
                    schema,
                    path,
                ),
            )


def _check_passwords(
    routes: abc.Iterable[RawObject],
) -> abc.Iterator[Violation]:
    """Yield routes whose password differs from other routes of their user.

    Callers are authenticated by user name, before they select a schema, so all
    routes of a user need the same password.
    """
    first: dict[str, tuple[str, str]] = {}
    for route in routes:
        user = route.text('user')
        digest = route.text('password_sha256', '')
        if user is None or digest is None:
            continue
        path, expected = first.setdefault(user, (route.path, digest))
        if digest != expected:
            yield Violation(
                route.path_of('password_sha256'),
                'differs from {0}, which has the same user'.format(path),
            )
