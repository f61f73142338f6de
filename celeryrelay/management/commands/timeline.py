"""Program `celeryrelay-timeline`: merges and shows events of all daemons.

Exit codes: 0 if everything was read; 1 if a file or a daemon could not be
read; 2 for wrong usage; 3 if broken lines or missing events were found. What
could be read is shown in every case but 2.
"""

import asyncio
import dataclasses
import os
import pathlib
import sys
from collections import abc

import aiohttp
import orjson
import result
from absl import flags

from celeryrelay.timeline import events, merging, rendering

EXIT_OK = 0
EXIT_UNREADABLE = 1
EXIT_USAGE = 2
EXIT_INCOMPLETE = 3

REQUEST_TIMEOUT_S = 10
USAGE = 'celeryrelay-timeline [flags] [file ...]'


@dataclasses.dataclass(slots=True)
class Collection:
    """Events that were read, and what went wrong on the way.

    Attributes:
        recorded: Events in the order of reading.
        broken: Number of broken lines by input.
        unreadable: What is wrong with inputs that could not be read.
    """

    recorded: list[events.Event] = dataclasses.field(default_factory=list)
    broken: dict[str, int] = dataclasses.field(default_factory=dict)
    unreadable: list[str] = dataclasses.field(default_factory=list)

    def add(
        self,
        name: str,
        parsed: result.Result[events.Event, str],
    ) -> None:
        """Add an event, or count a broken one."""
        if parsed.is_ok():
            self.recorded.append(parsed.ok())
        else:
            self.broken[name] = self.broken.get(name, 0) + 1


def run() -> None:
    """Run the program and exit."""
    sys.exit(main(sys.argv))


def main(argv: abc.Sequence[str]) -> int:
    """Run the program with `argv` and return the exit code."""
    values = _define_flags()
    try:
        paths = values(argv)[1:]
    except flags.Error as error:
        return _complain('{0}\nusage: {1}'.format(error, USAGE))
    if values.help:
        _print('usage: {0}\n{1}\n{2}'.format(USAGE, __doc__, values))
        return EXIT_OK
    if not paths and not values.url:
        return _complain(
            'no file and no --url is given\nusage: {0}'.format(USAGE),
        )
    key = _read_key(values.fleet_key_file)
    if key.is_err():
        return _complain(key.err())
    collection = Collection()
    for path in paths:
        _read_file(collection, path)
    asyncio.run(_read_urls(collection, values.url, key.ok()))
    _show(collection, values)
    return _report(collection)


def _define_flags() -> flags.FlagValues:
    # Own flag values: programs of one package may use the same names.
    values = flags.FlagValues()
    for name, meaning in (
        ('session', 'Show events of this session only.'),
        ('request', 'Show events of this request id only.'),
        ('group', 'Show events of this database group only.'),
        ('fleet_key_file', 'File with the key of the daemons at --url.'),
    ):
        flags.DEFINE_string(name, '', meaning, flag_values=values)
    flags.DEFINE_integer(
        'term',
        None,
        'Show events of this term only.',
        flag_values=values,
    )
    flags.DEFINE_list(
        'kind',
        [],
        'Show events of these kinds only, separated by commas.',
        flag_values=values,
    )
    flags.DEFINE_float(
        'since_ms',
        0,
        'Show events from this Unix time in milliseconds on.',
        flag_values=values,
    )
    flags.DEFINE_float(
        'max_skew_ms',
        merging.MAX_SKEW_MS,
        'Largest difference between the clocks of two processes.',
        lower_bound=0,
        flag_values=values,
    )
    flags.DEFINE_multi_string(
        'url',
        [],
        'Address of a daemon whose GET /events is read; may be repeated.',
        flag_values=values,
    )
    for switch, effect in (
        ('json', 'Print JSON lines.'),
        ('help', 'Print this help.'),
    ):
        flags.DEFINE_boolean(switch, False, effect, flag_values=values)  # noqa: WPS425 (absl's own argument order)
    return values


def _read_key(path: str) -> result.Result[str, str]:
    if not path:
        return result.Ok('')
    try:
        return result.Ok(pathlib.Path(path).read_text('utf-8').strip())
    except (OSError, UnicodeDecodeError) as error:
        return result.Err('--fleet_key_file: {0}: {1}'.format(path, error))


def _read_file(collection: Collection, path: str) -> None:
    try:
        with pathlib.Path(path).open('rb') as lines:
            _add_lines(collection, path, lines)
    except OSError as error:
        collection.unreadable.append('{0}: {1}'.format(path, error))


def _add_lines(
    collection: Collection,
    name: str,
    lines: abc.Iterable[bytes],
) -> None:
    for line in lines:
        if line.strip():
            collection.add(name, merging.parse_line(line))


async def _read_urls(
    collection: Collection,
    urls: abc.Sequence[str],
    key: str,
) -> None:
    if not urls:
        return
    headers = {'Authorization': 'Bearer {0}'.format(key)} if key else {}
    timeout = aiohttp.ClientTimeout(total=REQUEST_TIMEOUT_S)
    async with aiohttp.ClientSession(
        headers=headers,
        timeout=timeout,
    ) as client:
        for url in urls:
            await _read_url(collection, client, url)


async def _read_url(
    collection: Collection,
    client: aiohttp.ClientSession,
    url: str,
) -> None:
    target = '{0}/events'.format(url.rstrip('/'))
    try:
        body = await _fetch(client, target)
    except (aiohttp.ClientError, TimeoutError, ValueError) as error:
        text = str(error) or type(error).__name__
        collection.unreadable.append('{0}: {1}'.format(target, text))
        return
    _add_body(collection, target, body)


async def _fetch(client: aiohttp.ClientSession, target: str) -> bytes:
    async with client.get(target) as response:
        response.raise_for_status()
        return await response.read()


def _add_body(collection: Collection, name: str, body: bytes) -> None:
    """Add the events of a JSON list, of its `events` key, or of lines."""
    try:
        content = orjson.loads(body)
    except orjson.JSONDecodeError:
        _add_lines(collection, name, body.splitlines())
        return
    if isinstance(content, dict) and 'events' in content:
        content = content['events']
    for item in content if isinstance(content, list) else [content]:
        collection.add(name, merging.parse_event(item))


def _show(collection: Collection, values: flags.FlagValues) -> None:
    selection = rendering.EventFilter(
        values.session,
        values.request,
        values.group,
        values.term,
        tuple(values.kind),
        values.since_ms,
    )
    for event in merging.merge(collection.recorded, values.max_skew_ms):
        if selection.matches(event):
            _print(
                event.dump().decode().rstrip()
                if values.json
                else rendering.format_event(event),
            )


def _report(collection: Collection) -> int:
    for message in collection.unreadable:
        _complain('cannot be read: {0}'.format(message))
    for name, number in collection.broken.items():
        _complain('{0}: {1} broken lines'.format(name, number))
    gaps = merging.gaps(collection.recorded)
    for process, ranges in gaps.items():
        _complain(
            '{0}[{1}]: events are missing: {2}'.format(
                process[0],
                process[1][: rendering.INCARNATION_DIGITS],
                ', '.join('{0}-{1}'.format(*span) for span in ranges),
            ),
        )
    if collection.unreadable:
        return EXIT_UNREADABLE
    return EXIT_INCOMPLETE if collection.broken or gaps else EXIT_OK


def _print(text: str) -> None:
    try:
        sys.stdout.write('{0}\n'.format(text))
    except BrokenPipeError:
        # The reader, such as `head`, has seen enough.
        os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())


def _complain(text: str) -> int:
    sys.stderr.write('{0}\n'.format(text))
    return EXIT_USAGE
