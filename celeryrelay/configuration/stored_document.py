"""The value under which the store holds the published object set."""

import dataclasses
import typing
from collections import abc

import orjson
import pydantic
import result

from celeryrelay.conf import checks, loader, sets, settings

KEY = 'configuration'
SIZE_LIMIT_BYTES = 1_000_000
# At 900 publications a day, 16 ids reach back 25 minutes. Within that time a
# publisher whose answer was lost can find out whether its write took effect.
PREVIOUS_COUNT = 16


class StoredDocument(settings.StrictModel):
    """Value of the store key `configuration`.

    Attributes:
        publication: Random id of the publish command that wrote it.
        revision: Number that increases by one with each publication, or by
            more if the publish command sets `above_revision`.
        previous: Ids of the preceding publications, newest first. From them
            a publisher whose answer was lost learns whether its set was
            active before another one replaced it.
        objects: The objects as published.
    """

    publication: typing.Annotated[str, pydantic.Field(min_length=1)]
    revision: typing.Annotated[int, pydantic.Field(strict=True, ge=1)]
    previous: tuple[str, ...] = ()
    objects: dict[str, typing.Any]


@dataclasses.dataclass(frozen=True, slots=True)
class InvalidDocument:
    """A stored value that is not a valid published set.

    Attributes:
        messages: One message per error.
    """

    messages: tuple[str, ...]


def parse_document(
    value: typing.Any,
) -> result.Result[StoredDocument, InvalidDocument]:
    """Parse the stored `value` without validating its objects."""
    try:
        return result.Ok(StoredDocument.model_validate(value))
    except pydantic.ValidationError as error:
        messages = tuple(map(loader.describe_error, error.errors()))
        return result.Err(InvalidDocument(messages))


def parse(
    value: typing.Any,
) -> result.Result[sets.PublishedSet, InvalidDocument]:
    """Parse the stored `value` and validate its objects."""
    return parse_document(value).and_then(_check_objects)


def dump(
    published: sets.PublishedSet,
    previous: abc.Sequence[str] = (),
) -> dict[str, typing.Any]:
    """Return the value that the store holds for `published`."""
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
    """Return the value to store for the publication after `document`.

    Args:
        document: Document in the store; None if the key does not exist.
        publication: Random id of the publish command.
        raw: Objects to publish, as parsed from JSON.
        above_revision: The new revision also has to exceed this one.
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
    """Return the size of `value` as compact JSON."""
    return len(orjson.dumps(value))


def _check_objects(
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
