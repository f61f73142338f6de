"""Subcommands `status` and `drain`."""

import asyncio
import dataclasses
import pathlib
import typing
from collections import abc

import aiohttp
import orjson
import result

from celeryrelay.management.ctl import options, replies, store
from celeryrelay.membership import view

CONCURRENCY = 16
MESSAGE_LIMIT = 200
STATUS_BAD_REQUEST = 400


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """What a daemon answered.

    Attributes:
        address: Peer address of the daemon.
        code: Exit code that the answer leads to.
        content: Content of the answer, or an error message.
    """

    address: str
    code: replies.ExitCode
    content: typing.Any


@dataclasses.dataclass(frozen=True, slots=True)
class Call:
    """A request that goes to several daemons."""

    method: str
    path: str


class DaemonClient:
    """Client of the daemons' operator requests."""

    def __init__(
        self,
        session: aiohttp.ClientSession,
        fleet_key: str,
        timeout_ms: int,
    ) -> None:
        """Use `session` with the fleet's key."""
        self._session = session
        self._headers = {'Authorization': 'Bearer {0}'.format(fleet_key)}
        self._timeout = aiohttp.ClientTimeout(total=timeout_ms / 1000)
        self._slots = asyncio.Semaphore(CONCURRENCY)

    async def call(self, call: Call, address: str) -> Answer:
        """Return the answer of the daemon at `address`."""
        try:
            async with self._slots:
                return await self._request(call, address)
        except aiohttp.ClientConnectorError as unreachable:
            message = 'not reachable: {0}'.format(unreachable)
        except (aiohttp.ClientError, OSError, ValueError) as error:
            message = 'no usable answer, the request may have been carried out'
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
            text = content[:MESSAGE_LIMIT].decode('utf-8', 'replace')
            message = 'refused with status {0}: {1}'.format(status, text)
            return Answer(address, replies.ExitCode.refused, message)
        parsed = orjson.loads(content) if content else {}
        return Answer(address, replies.ExitCode.ok, parsed)


async def status(chosen: options.Options) -> replies.Reply:
    """Print the state of daemons."""
    return await _ask(chosen, Call('GET', '/status'), 'running')


async def drain(chosen: options.Options) -> replies.Reply:
    """Stop daemons gracefully."""
    return await _ask(chosen, Call('POST', '/admin/drain'), 'draining')


async def _ask(
    chosen: options.Options,
    call: Call,
    done: str,
) -> replies.Reply:
    key = _read_key(chosen)
    if key.is_err():
        return key.unwrap_err()
    addresses = await _addresses(chosen)
    if addresses.is_err():
        return addresses.unwrap_err()
    async with aiohttp.ClientSession() as session:
        client = DaemonClient(session, key.unwrap(), chosen.timeout_ms)
        answers = await asyncio.gather(
            *(client.call(call, address) for address in addresses.unwrap()),
        )
    return _reply(answers, done)


def _read_key(
    chosen: options.Options,
) -> result.Result[str, replies.Reply]:
    if not chosen.fleet_key_file:
        return result.Err(
            replies.failure(
                replies.ExitCode.usage,
                'give --fleet_key_file or --settings',
            ),
        )
    try:
        text = pathlib.Path(chosen.fleet_key_file).read_text(encoding='ascii')
    except (OSError, ValueError) as error:
        message = 'the fleet key cannot be read: {0}'.format(error)
        return result.Err(replies.failure(replies.ExitCode.refused, message))
    key = text.strip()
    if key and key.isprintable():
        return result.Ok(key)
    message = '{0}: one line with the fleet key is expected'.format(
        chosen.fleet_key_file,
    )
    return result.Err(replies.failure(replies.ExitCode.refused, message))


async def _addresses(
    chosen: options.Options,
) -> result.Result[tuple[str, ...], replies.Reply]:
    if chosen.arguments:
        return result.Ok(chosen.arguments)
    refusal = store.refuse_without_platform(chosen)
    if refusal:
        return result.Err(refusal)
    async with store.connect(chosen) as client:
        listed = await client.instances()
    if listed.is_err():
        return result.Err(store.describe(listed.unwrap_err()))
    return result.Ok(
        tuple(
            sorted(
                entry.address
                for entry in listed.unwrap().instances
                if entry.kind == view.InstanceKind.entry
            ),
        ),
    )


def _reply(answers: abc.Sequence[Answer], done: str) -> replies.Reply:
    if not answers:
        return replies.Reply(
            replies.ExitCode.ok,
            ('the list has no entry instances',),
            {'daemons': []},
        )
    return replies.Reply(
        max(answer.code for answer in answers),
        tuple(_line(answer, done) for answer in answers),
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


def _line(answer: Answer, done: str) -> str:
    if answer.code != replies.ExitCode.ok:
        return '{0}: {1}'.format(answer.address, answer.content)
    state = done
    details = ''
    if isinstance(answer.content, dict):
        state = answer.content.get('state', done)
        details = ''.join(
            ' {0}={1}'.format(name, given)
            for name, given in answer.content.items()
            if name != 'state' and isinstance(given, str | int | float)
        )
    return '{0}: {1}{2}'.format(answer.address, state, details)
