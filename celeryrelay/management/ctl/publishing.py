"""Subcommand `publish`: check an object file and publish it."""

import asyncio
import typing
import uuid

import result

from celeryrelay.adapters import platform_client
from celeryrelay.configuration import (
    publication,
    publication_messages,
    stored_document,
)
from celeryrelay.management.ctl import (
    objects,
    options,
    platform_access,
    replies,
)

# A first publication differs in every object, so not all lines are printed.
MAX_DIFFERENCE_LINES = 20


async def publish(command_line: options.Options) -> replies.Reply:
    """Check an object file and publish it."""
    error_reply = platform_access.require_platform_url(command_line)
    if error_reply:
        return error_reply
    read = objects.read_objects(command_line.arguments[0])
    if read.is_err():
        return read.unwrap_err()
    request = publication_messages.PublishRequest(
        publication=str(uuid.uuid4()),
        raw=read.unwrap(),
        base_revision=command_line.base_revision,
        above_revision=command_line.above_revision,
    )
    async with platform_access.connect(command_line) as client:
        outcome = await run_publication(
            client, publication.Publication(request)
        )
    return _describe(outcome)


async def run_publication(
    client: platform_client.PlatformClient,
    state_machine: publication.Publication,
) -> publication_messages.Outcome:
    """Execute the commands of the state machine until it finishes."""
    command = state_machine.start()
    while True:
        match command:
            case publication_messages.Finish(outcome):
                return outcome
            case publication_messages.Read(delay_ms):
                await _sleep(delay_ms)
                event = _to_event(await client.get(stored_document.KEY))
            case publication_messages.Write(value, expected, delay_ms):
                await _sleep(delay_ms)
                written = await client.put(stored_document.KEY, value, expected)
                event = _to_event(written)
        command = state_machine.handle(event)


async def _sleep(delay_ms: int) -> None:
    await asyncio.sleep(delay_ms / 1000)


def _to_event(
    answer: result.Result[
        platform_client.Entry | platform_client.PutResult,
        platform_client.PlatformFailure,
    ],
) -> publication_messages.Event:
    match answer:
        case result.Ok(platform_client.Entry() as entry):
            return publication_messages.ValueFound(entry.value, entry.revision)
        case result.Ok():
            return publication_messages.WriteSucceeded()
        case result.Err(failure):
            return _to_failure(failure)


def _to_failure(
    failure: platform_client.PlatformFailure,
) -> publication_messages.Event:
    match failure:
        # Revision 0 means that the key does not exist.
        case platform_client.KeyNotFound() | platform_client.Conflict(
            platform_client.Entry(revision=0)
        ):
            return publication_messages.KeyAbsent()
        case platform_client.Conflict(entry):
            return publication_messages.ValueFound(entry.value, entry.revision)
        case platform_client.Unreachable(message):
            return publication_messages.Failed(
                message, may_have_taken_effect=False
            )
        case platform_client.AnswerLost(message):
            return publication_messages.Failed(
                message, may_have_taken_effect=True
            )
        case platform_client.ErrorResponse(status, message):
            return publication_messages.Failed(
                'status {0}: {1}'.format(status, message),
                may_have_taken_effect=status >= platform_access.SERVER_ERROR,
                final=(
                    status < platform_access.SERVER_ERROR
                    and status != platform_access.TOO_MANY_REQUESTS
                ),
            )


def _describe(outcome: publication_messages.Outcome) -> replies.Reply:
    match outcome:
        case publication_messages.Published():
            return _describe_published(outcome)
        case publication_messages.Unchanged(revision):
            return replies.Reply(
                replies.ExitCode.ok,
                ('nothing to publish: equal to revision {0}'.format(revision),),
                {'revision': revision, 'differences': []},
            )
        case publication_messages.PublicationConflict():
            return _describe_conflict(outcome)
        case publication_messages.Rejected(message):
            text = 'nothing was published: {0}'.format(message)
            return replies.failure(replies.ExitCode.refused, text)
        case publication_messages.PlatformUnreachable(message):
            text = 'nothing was published: the platform is not reachable: {0}'
            return replies.failure(
                replies.ExitCode.unreachable,
                text.format(message),
            )
        case publication_messages.Unconfirmed(publication_id, message):
            return _describe_unconfirmed(publication_id, message)


def _describe_published(
    outcome: publication_messages.Published,
) -> replies.Reply:
    lines = [str(one) for one in outcome.differences[:MAX_DIFFERENCE_LINES]]
    hidden = len(outcome.differences) - MAX_DIFFERENCE_LINES
    if hidden > 0:
        lines.append('and {0} more differences'.format(hidden))
    lines.append('published as revision {0}'.format(outcome.revision))
    if outcome.replaced_by:
        lines.append(
            'it has been replaced already: revision {0} is in force'.format(
                outcome.replaced_by,
            ),
        )
    return replies.Reply(
        replies.ExitCode.ok,
        tuple(lines),
        {
            'revision': outcome.revision,
            'replaced_by': outcome.replaced_by,
            'differences': objects.differences_to_json(outcome.differences),
        },
    )


def _describe_conflict(
    outcome: publication_messages.PublicationConflict,
) -> replies.Reply:
    lines: list[typing.Any] = [
        'nothing was published: revision {0} is in force'.format(
            outcome.revision,
        ),
        'differences from revision {0} to your file:'.format(outcome.revision),
    ]
    lines.extend(outcome.differences)
    return replies.Reply(
        replies.ExitCode.lost_race,
        tuple(map(str, lines)),
        {
            'revision': outcome.revision,
            'publication': outcome.publication,
            'differences': objects.differences_to_json(outcome.differences),
        },
    )


def _describe_unconfirmed(publication_id: str, message: str) -> replies.Reply:
    lines = (
        'the set may be in force or may still come into force: {0}'.format(
            message,
        ),
        'run `celeryrelay-ctl show` when the platform answers; '
        + 'your publication is {0}'.format(publication_id),
    )
    return replies.Reply(
        replies.ExitCode.unreachable,
        lines,
        {'publication': publication_id, 'errors': list(lines)},
    )
