"""Access of subcommands to the platform."""

import contextlib
import typing
from collections import abc

import aiohttp
import result

from celeryrelay.adapters import platform_client
from celeryrelay.configuration import documents
from celeryrelay.management.ctl import options, replies

SERVER_ERROR = 500
TOO_MANY_REQUESTS = 429


@contextlib.asynccontextmanager
async def connect(
    chosen: options.Options,
) -> abc.AsyncIterator[platform_client.PlatformClient]:
    """Give a client of the platform for the time of a subcommand."""
    async with aiohttp.ClientSession() as session:
        yield platform_client.PlatformClient(
            chosen.platform_url,
            session,
            chosen.timeout_ms,
        )


def refuse_without_platform(chosen: options.Options) -> replies.Reply | None:
    """Return a reply if the command line does not name the platform."""
    if chosen.platform_url:
        return None
    return replies.failure(
        replies.ExitCode.usage,
        'give --platform_url or --settings',
    )


def describe(failure: platform_client.PlatformFailure) -> replies.Reply:
    """Return the reply for a failed reading."""
    match failure:
        case platform_client.Unreachable(message) | platform_client.AnswerLost(
            message
        ):
            text = 'the platform is not reachable: {0}'.format(message)
            return replies.failure(replies.ExitCode.unreachable, text)
        case platform_client.ErrorResponse(status, message):
            text = 'the platform answered with status {0}: {1}'
            return replies.failure(
                _code_of(status),
                text.format(status, message),
            )
        case platform_client.KeyNotFound():
            return replies.failure(
                replies.ExitCode.refused,
                'no set is published',
            )
        case platform_client.Conflict(entry):
            return replies.failure(
                replies.ExitCode.refused,
                'key {0} has changed'.format(entry.key),
            )


async def read_document(
    client: platform_client.PlatformClient,
) -> result.Result[documents.StoredDocument, replies.Reply]:
    """Return the published set without a check of its objects."""
    answer = await client.get(documents.KEY)
    if answer.is_err():
        return result.Err(describe(answer.unwrap_err()))
    return documents.parse_document(answer.unwrap().value).map_err(_unreadable)


def _unreadable(unreadable: documents.Unreadable) -> replies.Reply:
    return replies.failure(
        replies.ExitCode.refused,
        'the stored value is not a published set:',
        *unreadable.messages,
    )


def _code_of(status: int) -> replies.ExitCode:
    if status >= SERVER_ERROR or status == TOO_MANY_REQUESTS:
        return replies.ExitCode.unreachable
    return replies.ExitCode.refused


def as_document(document: documents.StoredDocument) -> dict[str, typing.Any]:
    """Return a published set for programs."""
    return {
        'revision': document.revision,
        'publication': document.publication,
        'objects': document.objects,
    }
