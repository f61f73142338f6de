"""Access to the platform, with replies for its failures."""

import contextlib
import typing
from collections import abc

import aiohttp
import result

from celeryrelay.adapters import platform_client
from celeryrelay.configuration import stored_document
from celeryrelay.management.ctl import options, replies

SERVER_ERROR = 500
TOO_MANY_REQUESTS = 429


@contextlib.asynccontextmanager
async def connect(
    command_line: options.Options,
) -> abc.AsyncIterator[platform_client.PlatformClient]:
    """Return a context manager that provides a client of the platform."""
    async with aiohttp.ClientSession() as session:
        yield platform_client.PlatformClient(
            command_line.platform_url,
            session,
            command_line.timeout_ms,
        )


def require_platform_url(command_line: options.Options) -> replies.Reply | None:
    """Return an error reply if the platform's URL is not given, else None."""
    if command_line.platform_url:
        return None
    return replies.failure(
        replies.ExitCode.usage,
        '--platform_url or --settings is required',
    )


def reply_to_failure(failure: platform_client.PlatformFailure) -> replies.Reply:
    """Return the error reply for a failed request to the platform."""
    match failure:
        case platform_client.Unreachable(message) | platform_client.AnswerLost(
            message
        ):
            text = 'the platform is not reachable: {0}'.format(message)
            return replies.failure(replies.ExitCode.unreachable, text)
        case platform_client.ErrorResponse(status, message):
            text = 'the platform answered with status {0}: {1}'
            return replies.failure(
                _exit_code(status),
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
) -> result.Result[stored_document.StoredDocument, replies.Reply]:
    """Read the published set, without checking its objects."""
    answer = await client.get(stored_document.KEY)
    if answer.is_err():
        return result.Err(reply_to_failure(answer.unwrap_err()))
    return stored_document.parse_document(answer.unwrap().value).map_err(
        _invalid_document_reply
    )


def _invalid_document_reply(
    unreadable: stored_document.InvalidDocument,
) -> replies.Reply:
    return replies.failure(
        replies.ExitCode.refused,
        'the stored value is not a published set:',
        *unreadable.messages,
    )


def _exit_code(status: int) -> replies.ExitCode:
    if status >= SERVER_ERROR or status == TOO_MANY_REQUESTS:
        return replies.ExitCode.unreachable
    return replies.ExitCode.refused


def document_to_json(
    document: stored_document.StoredDocument,
) -> dict[str, typing.Any]:
    """Return a published set as JSON values."""
    return {
        'revision': document.revision,
        'publication': document.publication,
        'objects': document.objects,
    }
