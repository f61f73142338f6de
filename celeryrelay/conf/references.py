"""Rules that concern more than one value of an object set.

The rules read the raw document, so that an object with a wrong value is still
checked in all other respects and all errors can be reported at once. A value
of the wrong type is left to the models.
"""

import dataclasses
import ipaddress
import itertools
import typing
from collections import abc

from celeryrelay.core import ranks

SLOT_MINIMUM = 2
NAMES_SHOWN = 12


@dataclasses.dataclass(frozen=True, slots=True)
class Finding:
    """A broken rule at a path of the document."""

    path: str
    message: str


@dataclasses.dataclass(frozen=True, slots=True)
class Located:
    """A raw object with its path."""

    path: str
    body: abc.Mapping[str, typing.Any]

    def text(self, key: str, default: str | None = None) -> str | None:
        """Return the text at `key`, or None if there is none."""
        given = self.body.get(key, default)
        return given if isinstance(given, str) else None

    def below(self, key: str) -> str:
        """Return the path of `key`."""
        return '{0}.{1}'.format(self.path, key)


def find(raw: abc.Mapping[str, typing.Any]) -> abc.Iterator[Finding]:
    """Yield every broken rule of the document `raw`."""
    groups = _located('database_groups', raw.get('database_groups'))
    routes = _located('routes', raw.get('routes'))
    policies = _located('ranks', raw.get('ranks'))
    rules = _located('stale_read_rules', raw.get('stale_read_rules'))
    return itertools.chain(
        _duplicates(groups, 'name'),
        _duplicates(routes, 'name'),
        _duplicates(rules, 'name'),
        _duplicates(policies, 'rank'),
        _check_slots(groups),
        _check_ranks(policies),
        _check_references(routes, 'group', _names(groups)),
        _check_references(routes, 'stale_read_rule', {'', *_names(rules)}),
        _check_callers(routes),
        _check_passwords(routes),
    )


def _located(path: str, rows: typing.Any) -> list[Located]:
    if not isinstance(rows, list):
        return []
    return [
        Located('{0}[{1}]'.format(path, number), row)
        for number, row in enumerate(rows)
        if isinstance(row, dict)
    ]


def _names(located: abc.Iterable[Located]) -> set[str]:
    given = (row.text('name') for row in located)
    return {name for name in given if name is not None}


def _duplicates(
    located: abc.Iterable[Located],
    key: str,
) -> abc.Iterator[Finding]:
    first: dict[str, str] = {}
    for row in located:
        given = row.text(key)
        if given is None:
            continue
        path = first.setdefault(given, row.path)
        if path != row.path:
            yield Finding(
                row.below(key),
                'given {0!r}; already used by {1}'.format(given, path),
            )


def _check_slots(groups: abc.Iterable[Located]) -> abc.Iterator[Finding]:
    addresses: dict[tuple[str, int], str] = {}
    for group in groups:
        rows = group.body.get('slots')
        slots = _located(group.below('slots'), rows)
        if isinstance(rows, list) and len(rows) < SLOT_MINIMUM:
            yield Finding(
                group.below('slots'),
                'given {0} slots; {1} or more are expected'.format(
                    len(rows),
                    SLOT_MINIMUM,
                ),
            )
        yield from _duplicates(slots, 'name')
        yield from _check_addresses(slots, addresses)


def _check_addresses(
    slots: abc.Iterable[Located],
    addresses: dict[tuple[str, int], str],
) -> abc.Iterator[Finding]:
    for slot in slots:
        host = _canonical_host(slot.text('host'))
        port = slot.body.get('port')
        if host is None or not isinstance(port, int):
            continue
        path = addresses.setdefault((host, port), slot.path)
        if path != slot.path:
            yield Finding(
                slot.below('port'),
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


def _check_ranks(policies: list[Located]) -> abc.Iterator[Finding]:
    given = {policy.text('rank') for policy in policies}
    for rank in ranks.BY_URGENCY:
        if rank not in given:
            yield Finding(
                'ranks',
                'rank {0!r} is required'.format(rank.value),
            )
    for policy in policies:
        target = policy.body.get('target_ms')
        deadline = policy.body.get('deadline_ms')
        if not (_is_number(target) and _is_number(deadline)):
            continue
        if deadline < target:
            yield Finding(
                policy.below('deadline_ms'),
                'given {0}; not less than target_ms, {1}, is allowed'.format(
                    deadline,
                    target,
                ),
            )


def _is_number(given: typing.Any) -> bool:
    return isinstance(given, int | float) and not isinstance(given, bool)


def _check_references(
    routes: abc.Iterable[Located],
    key: str,
    known: set[str],
) -> abc.Iterator[Finding]:
    allowed = _enumerate(sorted(name for name in known if name))
    for route in routes:
        given = route.text(key)
        if given is not None and given not in known:
            yield Finding(
                route.below(key),
                'given {0!r}; allowed are {1}'.format(given, allowed),
            )


def _enumerate(names: list[str]) -> str:
    text = ', '.join(names[:NAMES_SHOWN]) or '(none)'
    hidden = len(names) - NAMES_SHOWN
    return '{0} and {1} more'.format(text, hidden) if hidden > 0 else text


def _check_callers(routes: abc.Iterable[Located]) -> abc.Iterator[Finding]:
    first: dict[tuple[str, str], str] = {}
    for route in routes:
        user = route.text('user')
        schema = route.text('schema', '')
        if user is None or schema is None:
            continue
        path = first.setdefault((user, schema), route.path)
        if path != route.path:
            yield Finding(
                route.below('schema'),
                'user {0!r} with schema {1!r} is already used by {2}'.format(
                    user,
                    schema,
                    path,
                ),
            )


def _check_passwords(routes: abc.Iterable[Located]) -> abc.Iterator[Finding]:
    """Yield routes whose password differs from another route's of the user.

    Callers are authenticated by user name before they select a schema.
    """
    first: dict[str, tuple[str, str]] = {}
    for route in routes:
        user = route.text('user')
        digest = route.text('password_sha256', '')
        if user is None or digest is None:
            continue
        path, expected = first.setdefault(user, (route.path, digest))
        if digest != expected:
            yield Finding(
                route.below('password_sha256'),
                'differs from {0}, which has the same user'.format(path),
            )
