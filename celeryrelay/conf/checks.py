"""Validation of an object set."""

import dataclasses
import typing

import pydantic
import result

from celeryrelay.conf import cross_checks, loader, objects, sets, settings

ALLOWED_KINDS = ', '.join(objects.KINDS)


@dataclasses.dataclass(frozen=True, slots=True)
class ObjectError:
    """One error of an object set.

    Attributes:
        path: Path of the invalid value, such as `routes[2].group`.
        message: Given value and allowed values.
    """

    path: str
    message: str

    def __str__(self) -> str:
        """Return path and message as one line."""
        return '{0}: {1}'.format(self.path, self.message)


def check_objects(
    raw: typing.Any,
) -> result.Result[sets.ObjectSet, list[ObjectError]]:
    """Return the validated object set of `raw`, or all of its errors.

    Args:
        raw: Parsed JSON document with a list for each kind of object.
    """
    if not isinstance(raw, dict):
        return result.Err(
            [
                ObjectError(
                    '(top level)', 'a JSON object with lists is expected'
                ),
            ]
        )
    parsed: dict[str, list[typing.Any]] = {}
    errors = _check_kinds(raw)
    for kind, model in objects.KINDS.items():
        parsed[kind] = []
        errors.extend(_parse_kind(kind, model, raw.get(kind), parsed[kind]))
    reported = {error.path for error in errors}
    errors.extend(
        ObjectError(violation.path, violation.message)
        for violation in cross_checks.find_violations(raw)
        if violation.path not in reported
    )
    if errors:
        return result.Err(errors)
    return result.Ok(_build_object_set(parsed))


def _check_kinds(raw: dict[str, typing.Any]) -> list[ObjectError]:
    errors = [
        ObjectError(
            str(kind),
            'unknown key; allowed are {0}'.format(ALLOWED_KINDS),
        )
        for kind in raw
        if kind not in objects.KINDS
    ]
    errors.extend(
        ObjectError(kind, 'a list is expected')
        for kind in objects.KINDS
        if not isinstance(raw.get(kind, []), list)
    )
    return errors


def _parse_kind(
    kind: str,
    model: type[settings.StrictModel],
    rows: typing.Any,
    parsed: list[typing.Any],
) -> list[ObjectError]:
    errors = []
    for number, row in enumerate(rows if isinstance(rows, list) else ()):
        path = '{0}[{1}]'.format(kind, number)
        try:
            parsed.append(model.model_validate(row))
        except pydantic.ValidationError as error:
            errors.extend(
                _to_object_error(path, problem) for problem in error.errors()
            )
    return errors


def _to_object_error(
    path: str,
    problem: typing.Mapping[str, typing.Any],
) -> ObjectError:
    full_path = path
    for part in problem['loc']:
        form = '{0}[{1}]' if isinstance(part, int) else '{0}.{1}'
        full_path = form.format(full_path, part)
    # `describe_error` starts with the key, which the full path replaces.
    message = loader.describe_error(problem).partition(': ')[2]
    return ObjectError(full_path, message)


def _build_object_set(parsed: dict[str, list[typing.Any]]) -> sets.ObjectSet:
    groups = map(objects.to_group, parsed['database_groups'])
    policies = map(objects.to_rank, parsed['ranks'])
    rules = map(objects.to_rule, parsed['stale_read_rules'])
    return sets.ObjectSet(
        groups={group.name: group for group in groups},
        routes=tuple(map(objects.to_route, parsed['routes'])),
        ranks={policy.rank: policy for policy in policies},
        stale_read_rules={rule.name: rule for rule in rules},
    )
