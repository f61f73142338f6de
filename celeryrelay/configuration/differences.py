"""Differences between two object sets."""

import dataclasses
import typing
from collections import abc

# Keys that identify an object in its list, by precedence.
IDENTIFYING_KEYS = ('name', 'rank')


@dataclasses.dataclass(frozen=True, slots=True)
class Added:
    """A value that only the new set has."""

    path: str
    value: typing.Any

    def __str__(self) -> str:
        """Return the difference as one line."""
        return '+ {0}: {1!r}'.format(self.path, self.value)


@dataclasses.dataclass(frozen=True, slots=True)
class Removed:
    """A value that only the old set has."""

    path: str
    value: typing.Any

    def __str__(self) -> str:
        """Return the difference as one line."""
        return '- {0}: {1!r}'.format(self.path, self.value)


@dataclasses.dataclass(frozen=True, slots=True)
class Changed:
    """A value that differs."""

    path: str
    old: typing.Any
    new: typing.Any

    def __str__(self) -> str:
        """Return the difference as one line."""
        return '~ {0}: {1!r} -> {2!r}'.format(self.path, self.old, self.new)


Difference = Added | Removed | Changed


def diff(old: typing.Any, new: typing.Any) -> tuple[Difference, ...]:
    """Return the differences between two raw object sets by path.

    Objects of a list are matched by name, as their order has no meaning; the
    path has the name in brackets, as in `routes[residents].group`. Lists with
    unnamed or repeated objects are matched by position.
    """
    return tuple(_compare('', old, new))


def _compare(
    path: str,
    old: typing.Any,
    new: typing.Any,
) -> abc.Iterator[Difference]:
    if isinstance(old, dict) and isinstance(new, dict):
        form = '{0}.{1}' if path else '{0}{1}'
        yield from _compare_keys(path, form, old, new)
    elif isinstance(old, list) and isinstance(new, list):
        yield from _compare_keys(path, '{0}[{1}]', *_index(old, new))
    elif _differs(old, new):
        yield Changed(path or '(top level)', old, new)


def _compare_keys(
    path: str,
    form: str,
    old: abc.Mapping[typing.Any, typing.Any],
    new: abc.Mapping[typing.Any, typing.Any],
) -> abc.Iterator[Difference]:
    added = [key for key in new if key not in old]
    for key in (*old, *added):
        below = form.format(path, key)
        match (key in old, key in new):
            case (True, True):
                yield from _compare(below, old[key], new[key])
            case (True, False):
                yield from _one_sided(Removed, below, old[key])
            case _:
                yield from _one_sided(Added, below, new[key])


def _one_sided(
    difference: type[Added | Removed],
    path: str,
    given: typing.Any,
) -> abc.Iterator[Difference]:
    """Yield a value of one set only, object by object if it is a list."""
    if isinstance(given, list) and given:
        for key, row in _index(given, given)[0].items():
            yield difference('{0}[{1}]'.format(path, key), row)
    else:
        yield difference(path, given)


def _differs(old: typing.Any, new: typing.Any) -> bool:
    # `True == 1` in Python, but not in JSON.
    return old != new or isinstance(old, bool) != isinstance(new, bool)


def _index(
    old: list[typing.Any],
    new: list[typing.Any],
) -> tuple[dict[typing.Any, typing.Any], dict[typing.Any, typing.Any]]:
    for key in IDENTIFYING_KEYS:
        by_old = _by_key(key, old)
        by_new = _by_key(key, new)
        if len(by_old) == len(old) and len(by_new) == len(new):
            return by_old, by_new
    return dict(enumerate(old)), dict(enumerate(new))


def _by_key(
    key: str,
    rows: list[typing.Any],
) -> dict[typing.Any, typing.Any]:
    named = [row for row in rows if isinstance(row, dict) and key in row]
    return {row[key]: row for row in named if isinstance(row[key], str)}
