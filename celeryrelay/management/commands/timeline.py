"""Program `celeryrelay-timeline`: merges and shows the events of all daemons.

Exit codes: 0 if everything was read; 1 if a file or a daemon could not be
read; 2 for wrong usage; 3 if broken lines or missing events were found. The
events that could be read are shown in every case except 2.
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
class CollectedEvents:
    """Events read from files and daemons, and errors in these inputs.

    Attributes:
        recorded: Events in the order in which they were read.
        broken: Number of lines or items by input that are not valid events.
        unreadable: Error messages for inputs that could not be read.
    """

    recorded: list[events.Event] = dataclasses.field(default_factory=list)
    broken: dict[str, int] = dataclasses.field(default_factory=dict)
    unreadable: list[str] = dataclasses.field(default_factory=list)

    def add(
        self,
        name: str,
        parsed: result.Result[events.Event, str],
    ) -> None:
        """Add the event parsed from the input `name`, or count it as broken."""
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
        return _print_error('{0}\nusage: {1}'.format(error, USAGE))
    if values.help:
        _print('usage: {0}\n{1}\n{2}'.format(USAGE, __doc__, values))
        return EXIT_OK
    if not paths and not values.url:
        return _print_error(
            'no file and no --url is given\nusage: {0}'.format(USAGE),
        )
    key = _read_key(values.fleet_key_file)
    if key.is_err():
        return _print_error(key.err())
    collected = CollectedEvents()
    for path in paths:
        _read_file(collected, path)
    asyncio.run(_read_urls(collected, values.url, key.ok()))
    _print_events(collected, values)
    return _print_problems(collected)


def _define_flags() -> flags.FlagValues:
    # Separate from the global flags, as other programs define the same names.
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
        'Maximum difference between the clocks of two processes.',
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


def _read_file(collected: CollectedEvents, path: str) -> None:
    try:
        with pathlib.Path(path).open('rb') as lines:
            _add_lines(collected, path, lines)
    except OSError as error:
        collected.unreadable.append('{0}: {1}'.format(path, error))


def _add_lines(
    collected: CollectedEvents,
    name: str,
    lines: abc.Iterable[bytes],
) -> None:
    for line in lines:
        if line.strip():
            collected.add(name, merging.parse_line(line))


async def _read_urls(
    collected: CollectedEvents,
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
            await _read_url(collected, client, url)


async def _read_url(
    collected: CollectedEvents,
    client: aiohttp.ClientSession,
    url: str,
) -> None:
    target = '{0}/events'.format(url.rstrip('/'))
    try:
        body = await _fetch(client, target)
    except (aiohttp.ClientError, TimeoutError, ValueError) as error:
        text = str(error) or type(error).__name__
        collected.unreadable.append('{0}: {1}'.format(target, text))
        return
    _add_body(collected, target, body)


async def _fetch(client: aiohttp.ClientSession, target: str) -> bytes:
    async with client.get(target) as response:
        response.raise_for_status()
        return await response.read()


def _add_body(collected: CollectedEvents, name: str, body: bytes) -> None:
    """Add the events of a response body.

    The body is a JSON list of events, an object with such a list under the key
    `events`, a single event, or one JSON event per line.
    """
    try:
        content = orjson.loads(body)
    except orjson.JSONDecodeError:
        _add_lines(collected, name, body.splitlines())
        return
    if isinstance(content, dict) and 'events' in content:
        content = content['events']
    for item in content if isinstance(content, list) else [content]:
        collected.add(name, merging.parse_event(item))


def _print_events(collected: CollectedEvents, values: flags.FlagValues) -> None:
    selection = rendering.EventFilter(
        values.session,
        values.request,
        values.group,
        values.term,
        tuple(values.kind),
        values.since_ms,
    )
    for event in merging.merge(collected.recorded, values.max_skew_ms):
        if selection.matches(event):
            _print(
                event.dump().decode().rstrip()
                if values.json
                else rendering.format_event(event),
            )


def _print_problems(collected: CollectedEvents) -> int:
    for message in collected.unreadable:
        _print_error('cannot read {0}'.format(message))
    for name, number in collected.broken.items():
        _print_error('{0}: {1} broken lines'.format(name, number))
    gaps = merging.gaps(collected.recorded)
    for process, ranges in gaps.items():
        _print_error(
            '{0}[{1}]: events are missing: {2}'.format(
                process[0],
                process[1][: rendering.INCARNATION_DIGITS],
                ', '.join('{0}-{1}'.format(*span) for span in ranges),
            ),
        )
    if collected.unreadable:
        return EXIT_UNREADABLE
    return EXIT_INCOMPLETE if collected.broken or gaps else EXIT_OK


def _print(text: str) -> None:
    try:
        sys.stdout.write('{0}\n'.format(text))
    except BrokenPipeError:
        # The reader of the pipe, such as `head`, has closed it. Python flushes
        # the stream again on exit, which would raise another error.
        os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())


def _print_error(text: str) -> int:
    sys.stderr.write('{0}\n'.format(text))
    return EXIT_USAGE
