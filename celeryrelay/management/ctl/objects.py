"""Subcommands `check`, `diff` and `show` for the operators' objects."""

import dataclasses
import typing
from collections import abc

import orjson
import result

from celeryrelay.conf import checks, loader, objects
from celeryrelay.configuration import differences, stored_document
from celeryrelay.management.ctl import options, platform_access, replies


def read_objects(
    path: str,
) -> result.Result[dict[str, typing.Any], replies.Reply]:
    """Read and check the objects of a file; return them in raw form."""
    loaded = loader.read_file(path)
    if loaded.is_err():
        message = loaded.unwrap_err()
        return result.Err(
            replies.failure(replies.ExitCode.refused, message),
        )
    raw = loaded.unwrap()
    checked = checks.check_objects(raw)
    if checked.is_ok():
        return result.Ok(raw)
    return result.Err(_invalid_file_reply(path, checked.unwrap_err()))


async def check(command_line: options.Options) -> replies.Reply:
    """Check an object file."""
    path = command_line.arguments[0]
    match read_objects(path):
        case result.Err(error_reply):
            return error_reply
        case result.Ok(raw):
            counts = {kind: len(raw.get(kind, ())) for kind in objects.KINDS}
    size = stored_document.size_bytes(raw)
    if size > stored_document.SIZE_LIMIT_BYTES:
        form = '{0}: the set has {1} bytes; up to {2} are allowed'
        return replies.failure(
            replies.ExitCode.refused,
            form.format(path, size, stored_document.SIZE_LIMIT_BYTES),
        )
    listed = ', '.join(
        '{0} {1}'.format(count, kind) for kind, count in counts.items()
    )
    line = '{0}: valid: {1}; {2} bytes'.format(path, listed, size)
    return replies.Reply(
        replies.ExitCode.ok,
        (line,),
        {'counts': counts, 'size_bytes': size},
    )


async def diff(command_line: options.Options) -> replies.Reply:
    """Compare an object file with the published set or another file."""
    if len(command_line.arguments) == 1:
        return await _diff_published(command_line)
    old, new = map(read_objects, command_line.arguments)
    for read in (old, new):
        if read.is_err():
            return read.unwrap_err()
    return _differences_reply(differences.diff(old.unwrap(), new.unwrap()))


async def show(command_line: options.Options) -> replies.Reply:
    """Print the published set."""
    error_reply = platform_access.require_platform_url(command_line)
    if error_reply:
        return error_reply
    async with platform_access.connect(command_line) as client:
        read = await platform_access.read_document(client)
    if read.is_err():
        return read.unwrap_err()
    document = read.unwrap()
    content = orjson.dumps(document.objects, option=orjson.OPT_INDENT_2)
    heading = '// revision {0}, publication {1}'.format(
        document.revision,
        document.publication,
    )
    return replies.Reply(
        replies.ExitCode.ok,
        (heading, content.decode()),
        platform_access.document_to_json(document),
    )


def differences_to_json(
    found: abc.Iterable[differences.Difference],
) -> list[dict[str, typing.Any]]:
    """Return differences as JSON values."""
    return [
        {'kind': type(one).__name__.lower(), **dataclasses.asdict(one)}
        for one in found
    ]


async def _diff_published(command_line: options.Options) -> replies.Reply:
    error_reply = platform_access.require_platform_url(command_line)
    if error_reply:
        return error_reply
    new = read_objects(command_line.arguments[0])
    if new.is_err():
        return new.unwrap_err()
    async with platform_access.connect(command_line) as client:
        old = await platform_access.read_document(client)
    if old.is_err():
        return old.unwrap_err()
    return _differences_reply(
        differences.diff(old.unwrap().objects, new.unwrap())
    )


def _differences_reply(
    found: tuple[differences.Difference, ...],
) -> replies.Reply:
    return replies.Reply(
        replies.ExitCode.ok,
        tuple(map(str, found)) or ('no differences',),
        {'differences': differences_to_json(found)},
    )


def _invalid_file_reply(
    path: str,
    found: abc.Sequence[checks.ObjectError],
) -> replies.Reply:
    lines = ['{0}: {1}'.format(path, error) for error in found]
    lines.append('{0}: not valid, {1} errors'.format(path, len(found)))
    return replies.Reply(
        replies.ExitCode.refused,
        tuple(lines),
        {'errors': [dataclasses.asdict(error) for error in found]},
    )
