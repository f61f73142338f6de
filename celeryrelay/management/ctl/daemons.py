"""Subcommands `status` and `drain`: requests to daemons."""

import asyncio
import dataclasses
import pathlib
import typing
from collections import abc

import aiohttp
import orjson
import result

from celeryrelay.management.ctl import options, platform_access, replies
from celeryrelay.membership import view

MAX_CONCURRENT_REQUESTS = 16
MAX_ERROR_BYTES = 200
STATUS_BAD_REQUEST = 400


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """Answer of a daemon, or the error of the request.

    Attributes:
        address: Peer address of the daemon.
        code: Exit code for this answer.
        content: Parsed JSON of the answer, or an error message.
    """

    address: str
    code: replies.ExitCode
    content: typing.Any


@dataclasses.dataclass(frozen=True, slots=True)
class Call:
    """Method and path of a request that is sent to several daemons."""

    method: str
    path: str


class DaemonClient:
    """HTTP client for the operators' requests to daemons."""

    def __init__(
        self,
        session: aiohttp.ClientSession,
        fleet_key: str,
        timeout_ms: int,
    ) -> None:
        """Send requests through `session`, authorized by the fleet key."""
        self._session = session
        self._headers = {'Authorization': 'Bearer {0}'.format(fleet_key)}
        self._timeout = aiohttp.ClientTimeout(total=timeout_ms / 1000)
        self._semaphore = asyncio.Semaphore(MAX_CONCURRENT_REQUESTS)

    async def call(self, call: Call, address: str) -> Answer:
        """Send a request to the daemon at `address` and return its answer."""
        try:
            async with self._semaphore:
                return await self._request(call, address)
        except aiohttp.ClientConnectorError as unreachable:
            message = 'not reachable: {0}'.format(unreachable)
        except (aiohttp.ClientError, OSError, ValueError) as error:
            message = 'no valid answer, the request may have been carried out'
            detail = str(error) or type(error).__name__
            message = '{0}: {1}'.format(message, detail)
        return Answer(address, replies.ExitCode.unreachable, message)

    async def _request(self, call: Call, address: str) -> Answer:
        async with self._session.request(
            call.method,
            'http://{0}{1}'.format(address, call.path),
            headers=self._headers,
            timeout=self._timeout,
            allow_redirects=False,
        ) as response:
            content = await response.read()
            status = response.status
        if status >= STATUS_BAD_REQUEST:
            text = content[:MAX_ERROR_BYTES].decode('utf-8', 'replace')
            message = 'refused with status {0}: {1}'.format(status, text)
            return Answer(address, replies.ExitCode.refused, message)
        parsed = orjson.loads(content) if content else {}
        return Answer(address, replies.ExitCode.ok, parsed)


async def status(command_line: options.Options) -> replies.Reply:
    """Print the state of daemons."""
    return await _call_daemons(command_line, Call('GET', '/status'), 'running')


async def drain(command_line: options.Options) -> replies.Reply:
    """Stop daemons gracefully."""
    return await _call_daemons(
        command_line, Call('POST', '/admin/drain'), 'draining'
    )


async def _call_daemons(
    command_line: options.Options,
    call: Call,
    default_state: str,
) -> replies.Reply:
    key = _read_key(command_line)
    if key.is_err():
        return key.unwrap_err()
    addresses = await _find_addresses(command_line)
    if addresses.is_err():
        return addresses.unwrap_err()
    async with aiohttp.ClientSession() as session:
        client = DaemonClient(session, key.unwrap(), command_line.timeout_ms)
        answers = await asyncio.gather(
            *(client.call(call, address) for address in addresses.unwrap()),
        )
    return _reply(answers, default_state)


def _read_key(
    command_line: options.Options,
) -> result.Result[str, replies.Reply]:
    if not command_line.fleet_key_file:
        return result.Err(
            replies.failure(
                replies.ExitCode.usage,
                '--fleet_key_file or --settings is required',
            ),
        )
    try:
        text = pathlib.Path(command_line.fleet_key_file).read_text(
            encoding='ascii'
        )
    except (OSError, ValueError) as error:
        message = 'the fleet key cannot be read: {0}'.format(error)
        return result.Err(replies.failure(replies.ExitCode.refused, message))
    key = text.strip()
    if key and key.isprintable():
        return result.Ok(key)
    message = '{0}: expected one line with the fleet key'.format(
        command_line.fleet_key_file,
    )
    return result.Err(replies.failure(replies.ExitCode.refused, message))


async def _find_addresses(
    command_line: options.Options,
) -> result.Result[tuple[str, ...], replies.Reply]:
    if command_line.arguments:
        return result.Ok(command_line.arguments)
    error_reply = platform_access.require_platform_url(command_line)
    if error_reply:
        return result.Err(error_reply)
    async with platform_access.connect(command_line) as client:
        listed = await client.instances()
    if listed.is_err():
        return result.Err(platform_access.reply_to_failure(listed.unwrap_err()))
    return result.Ok(
        tuple(
            sorted(
                entry.address
                for entry in listed.unwrap().instances
                if entry.kind == view.InstanceKind.entry
            ),
        ),
    )


def _reply(answers: abc.Sequence[Answer], default_state: str) -> replies.Reply:
    if not answers:
        return replies.Reply(
            replies.ExitCode.ok,
            ("the platform's list has no entry instances",),
            {'daemons': []},
        )
    return replies.Reply(
        max(answer.code for answer in answers),
        tuple(_format_answer(answer, default_state) for answer in answers),
        {
            'daemons': [
                {
                    'address': answer.address,
                    'result': answer.code.name,
                    'answer': answer.content,
                }
                for answer in answers
            ],
        },
    )


def _format_answer(answer: Answer, default_state: str) -> str:
    if answer.code != replies.ExitCode.ok:
        return '{0}: {1}'.format(answer.address, answer.content)
    state = default_state
    details = ''
    if isinstance(answer.content, dict):
        state = answer.content.get('state', default_state)
        details = ''.join(
            ' {0}={1}'.format(name, given)
            for name, given in answer.content.items()
            if name != 'state' and isinstance(given, str | int | float)
        )
    return '{0}: {1}{2}'.format(answer.address, state, details)
