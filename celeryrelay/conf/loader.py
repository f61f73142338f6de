"""Loading of JSON5 files (JSON with comments) and of the settings."""

import contextlib
import pathlib
import typing

import json5
import orjson
import pydantic
import result

from celeryrelay.conf import settings


def read_file(path: str) -> result.Result[typing.Any, str]:
    """Return the parsed content of the JSON5 file at `path`.

    The file is parsed as plain JSON first because the JSON5 parser takes 22 s
    for an object set of 750 databases.
    """
    try:
        text = pathlib.Path(path).read_text(encoding='utf-8')
    except (OSError, UnicodeDecodeError) as error:
        return result.Err('{0}: cannot be read: {1}'.format(path, error))
    with contextlib.suppress(orjson.JSONDecodeError):
        return result.Ok(orjson.loads(text))
    try:
        return result.Ok(json5.loads(text))
    except (ValueError, RecursionError) as error:
        return result.Err('{0}: is not valid JSON5: {1}'.format(path, error))


def load_settings(path: str) -> result.Result[settings.Settings, str]:
    """Return the daemon settings of the file at `path`.

    The error text has one line per invalid key, with the file, the key, the
    given value and the allowed values.
    """
    match read_file(path):
        case result.Ok(raw):
            return _validate(path, raw)
        case result.Err(message):
            return result.Err(message)


def describe_error(problem: typing.Mapping[str, typing.Any]) -> str:
    """Return key, given value and allowed values of a pydantic error."""
    key = '.'.join(str(part) for part in problem['loc']) or '(top level)'
    if problem['type'] == 'missing':
        return '{0}: is required'.format(key)
    if problem['type'] == 'extra_forbidden':
        return '{0}: unknown key, given {1!r}'.format(key, problem['input'])
    return '{0}: given {1!r}; {2}'.format(
        key,
        problem['input'],
        problem['msg'],
    )


def _validate(
    path: str,
    raw: typing.Any,
) -> result.Result[settings.Settings, str]:
    try:
        return result.Ok(settings.Settings.model_validate(raw))
    except pydantic.ValidationError as error:
        lines = (
            '{0}: {1}'.format(path, describe_error(problem))
            for problem in error.errors()
        )
        return result.Err('\n'.join(lines))
