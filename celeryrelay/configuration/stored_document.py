"""The stored form of a published set."""

import dataclasses
import typing
from collections import abc

import orjson
import pydantic
import result

from celeryrelay.conf import checks, loader, sets, settings

KEY = 'configuration'
SIZE_LIMIT_BYTES = 1_000_000
# With 900 publications a day a lost answer can be settled for 25 minutes.
PREVIOUS_COUNT = 16


class StoredDocument(settings.StrictModel):
    """Value of the store key `configuration`.

    Attributes:
        publication: Random id of the publish command.
        revision: Number that grows by one with each publication.
        previous: Ids of the publications before, newest first. They tell a
            publisher whose answer was lost whether its set was in force before
            another one replaced it.
        objects: The objects as published.
    """

    publication: typing.Annotated[str, pydantic.Field(min_length=1)]
    revision: typing.Annotated[int, pydantic.Field(strict=True, ge=1)]
    previous: tuple[str, ...] = ()
    objects: dict[str, typing.Any]


@dataclasses.dataclass(frozen=True, slots=True)
class InvalidDocument:
    """A stored value that is not a published set.

    Attributes:
        messages: One line for each error.
    """

    messages: tuple[str, ...]


def parse_document(
    value: typing.Any,
) -> result.Result[StoredDocument, InvalidDocument]:
    """Return the stored `value` without a check of its objects."""
    try:
        return result.Ok(StoredDocument.model_validate(value))
    except pydantic.ValidationError as error:
        messages = tuple(map(loader.describe_error, error.errors()))
        return result.Err(InvalidDocument(messages))


def parse(
    value: typing.Any,
) -> result.Result[sets.PublishedSet, InvalidDocument]:
    """Return the stored `value` as a checked set."""
    return parse_document(value).and_then(_check)


def dump(
    published: sets.PublishedSet,
    previous: abc.Sequence[str] = (),
) -> dict[str, typing.Any]:
    """Return `published` in its stored form."""
    return {
        'publication': published.publication,
        'revision': published.revision,
        'previous': list(previous),
        'objects': dict(published.raw),
    }


def next_document(
    document: StoredDocument | None,
    publication: str,
    raw: abc.Mapping[str, typing.Any],
    above_revision: int = 0,
) -> dict[str, typing.Any]:
    """Return the stored form of the publication that follows `document`.

    Args:
        document: Document in the store, None if there is none.
        publication: Id of the new publication.
        raw: Its objects.
        above_revision: The new revision is higher than this one, too.
    """
    revision = above_revision
    previous: list[str] = []
    if document is not None:
        revision = max(revision, document.revision)
        previous = [document.publication, *document.previous]
    return {
        'publication': publication,
        'revision': revision + 1,
        'previous': previous[:PREVIOUS_COUNT],
        'objects': dict(raw),
    }


def size_bytes(value: typing.Any) -> int:
    """Return the size of a JSON value in the store."""
    return len(orjson.dumps(value))


def _check(
    document: StoredDocument,
) -> result.Result[sets.PublishedSet, InvalidDocument]:
    match checks.check_objects(document.objects):
        case result.Err(found):
            return result.Err(InvalidDocument(tuple(map(str, found))))
        case result.Ok(object_set):
            return result.Ok(
                sets.PublishedSet(
                    revision=document.revision,
                    publication=document.publication,
                    object_set=object_set,
                    raw=document.objects,
                ),
            )
