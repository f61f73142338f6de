"""Differences between two object sets."""

import dataclasses
import typing
from collections import abc

# Keys that identify an object within its list, in order of precedence.
IDENTIFYING_KEYS = ('name', 'rank')


@dataclasses.dataclass(frozen=True, slots=True)
class Added:
    """A value that only the new object set contains."""

    path: str
    value: typing.Any

    def __str__(self) -> str:
        """Return the difference as one line."""
        return '+ {0}: {1!r}'.format(self.path, self.value)


@dataclasses.dataclass(frozen=True, slots=True)
class Removed:
    """A value that only the old object set contains."""

    path: str
    value: typing.Any

    def __str__(self) -> str:
        """Return the difference as one line."""
        return '- {0}: {1!r}'.format(self.path, self.value)


@dataclasses.dataclass(frozen=True, slots=True)
class Changed:
    """A value that differs between the two object sets."""

    path: str
    old: typing.Any
    new: typing.Any

    def __str__(self) -> str:
        """Return the difference as one line."""
        return '~ {0}: {1!r} -> {2!r}'.format(self.path, self.old, self.new)


Difference = Added | Removed | Changed


def diff(old: typing.Any, new: typing.Any) -> tuple[Difference, ...]:
    """Return the differences between two raw object sets by path.

    Objects of a list are matched by name (ranks by rank) because their order
    has no meaning; the path contains the name in brackets, as in
    `routes[residents].group`. A list in which an object has no name or two
    objects share one is matched by position.
    """
    return tuple(_compare('', old, new))


def _compare(
    path: str,
    old: typing.Any,
    new: typing.Any,
) -> abc.Iterator[Difference]:
    if isinstance(old, dict) and isinstance(new, dict):
        path_format = '{0}.{1}' if path else '{0}{1}'
        yield from _compare_keys(path, path_format, old, new)
    elif isinstance(old, list) and isinstance(new, list):
        yield from _compare_keys(path, '{0}[{1}]', *_index_by_key(old, new))
    elif _differs(old, new):
        yield Changed(path or '(top level)', old, new)


def _compare_keys(
    path: str,
    path_format: str,
    old: abc.Mapping[typing.Any, typing.Any],
    new: abc.Mapping[typing.Any, typing.Any],
) -> abc.Iterator[Difference]:
    added = [key for key in new if key not in old]
    for key in (*old, *added):
        child_path = path_format.format(path, key)
        match (key in old, key in new):
            case (True, True):
                yield from _compare(child_path, old[key], new[key])
            case (True, False):
                yield from _added_or_removed(Removed, child_path, old[key])
            case _:
                yield from _added_or_removed(Added, child_path, new[key])


def _added_or_removed(
    difference: type[Added | Removed],
    path: str,
    given: typing.Any,
) -> abc.Iterator[Difference]:
    """Yield a value that only one set contains, split by object if a list."""
    if isinstance(given, list) and given:
        for key, row in _index_by_key(given, given)[0].items():
            yield difference('{0}[{1}]'.format(path, key), row)
    else:
        yield difference(path, given)


def _differs(old: typing.Any, new: typing.Any) -> bool:
    # Python treats `True == 1` as equal; in JSON they are different values.
    return old != new or isinstance(old, bool) != isinstance(new, bool)


def _index_by_key(
    old: list[typing.Any],
    new: list[typing.Any],
) -> tuple[dict[typing.Any, typing.Any], dict[typing.Any, typing.Any]]:
    for key in IDENTIFYING_KEYS:
        old_by_key = _by_key(key, old)
        new_by_key = _by_key(key, new)
        if len(old_by_key) == len(old) and len(new_by_key) == len(new):
            return old_by_key, new_by_key
    return dict(enumerate(old)), dict(enumerate(new))


def _by_key(
    key: str,
    rows: list[typing.Any],
) -> dict[typing.Any, typing.Any]:
    named = [row for row in rows if isinstance(row, dict) and key in row]
    return {row[key]: row for row in named if isinstance(row[key], str)}
