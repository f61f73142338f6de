"""Subcommands `check`, `diff` and `show`."""

import dataclasses
import typing
from collections import abc

import orjson
import result

from celeryrelay.conf import checks, loader, objects
from celeryrelay.configuration import differences, stored_document
from celeryrelay.management.ctl import options, replies, store


def read_objects(
    path: str,
) -> result.Result[dict[str, typing.Any], replies.Reply]:
    """Return the checked objects of the file at `path` in their raw form."""
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
    return result.Err(_refuse(path, checked.unwrap_err()))


async def check(chosen: options.Options) -> replies.Reply:
    """Check an object file."""
    path = chosen.arguments[0]
    match read_objects(path):
        case result.Err(refusal):
            return refusal
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


async def diff(chosen: options.Options) -> replies.Reply:
    """Compare an object file with the published set or another file."""
    if len(chosen.arguments) == 1:
        return await _diff_published(chosen)
    old, new = map(read_objects, chosen.arguments)
    for read in (old, new):
        if read.is_err():
            return read.unwrap_err()
    return _reply(differences.diff(old.unwrap(), new.unwrap()))


async def show(chosen: options.Options) -> replies.Reply:
    """Print the published set."""
    refusal = store.refuse_without_platform(chosen)
    if refusal:
        return refusal
    async with store.connect(chosen) as client:
        read = await store.read_document(client)
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
        store.as_document(document),
    )


def as_documents(
    found: abc.Iterable[differences.Difference],
) -> list[dict[str, typing.Any]]:
    """Return differences for programs."""
    return [
        {'kind': type(one).__name__.lower(), **dataclasses.asdict(one)}
        for one in found
    ]


async def _diff_published(chosen: options.Options) -> replies.Reply:
    refusal = store.refuse_without_platform(chosen)
    if refusal:
        return refusal
    new = read_objects(chosen.arguments[0])
    if new.is_err():
        return new.unwrap_err()
    async with store.connect(chosen) as client:
        old = await store.read_document(client)
    if old.is_err():
        return old.unwrap_err()
    return _reply(differences.diff(old.unwrap().objects, new.unwrap()))


def _reply(found: tuple[differences.Difference, ...]) -> replies.Reply:
    return replies.Reply(
        replies.ExitCode.ok,
        tuple(map(str, found)) or ('no differences',),
        {'differences': as_documents(found)},
    )


def _refuse(
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
