"""Guards against faults of the command `celeryrelay-timeline`.

It must not end with a traceback on invalid input, return a wrong exit code or
hide missing events.
"""

import asyncio
import json

import orjson
import pytest
from aiohttp import test_utils, web
from hypothesis import given, settings
from hypothesis import strategies as st

from celeryrelay.management.commands import timeline

GOOD = {
    'instance': 'a:1',
    'incarnation': 'abcdefgh',
    'sequence': 1,
    'clock': 1,
    'time_ms': 5.0,
    'kind': 'opened',
    'group': 'rounds',
}


def run(*arguments):
    return timeline.main(['celeryrelay-timeline', *map(str, arguments)])


@pytest.fixture
def event_file(tmp_path):
    target = tmp_path / 'events'
    second = {**GOOD, 'sequence': 2, 'kind': 'closed', 'time_ms': 6.0}
    target.write_bytes(orjson.dumps(GOOD) + b'\n' + orjson.dumps(second))
    return target


def test_shows_events_and_filters(event_file, capsys):
    assert run(event_file) == timeline.EXIT_OK
    assert len(capsys.readouterr().out.splitlines()) == 2
    assert run('--kind=closed', '--json', event_file) == timeline.EXIT_OK
    (line,) = capsys.readouterr().out.splitlines()
    assert orjson.loads(line)['sequence'] == 2
    assert run('--group=other', event_file) == timeline.EXIT_OK
    assert capsys.readouterr().out == ''


def test_invalid_lines_are_counted(event_file, capsys):
    content = event_file.read_bytes()
    event_file.write_bytes(b'[]\n\xff\n' + content[:-20])
    assert run(event_file) == timeline.EXIT_INCOMPLETE
    shown = capsys.readouterr()
    assert '3 broken lines' in shown.err
    assert len(shown.out.splitlines()) == 1


def test_missing_events_are_reported(event_file, capsys):
    later = orjson.dumps({**GOOD, 'sequence': 7})
    event_file.write_bytes(event_file.read_bytes() + b'\n' + later)
    assert run(event_file) == timeline.EXIT_INCOMPLETE
    assert 'events are missing: 3-6' in capsys.readouterr().err


def test_unreadable_input_does_not_hide_the_rest(event_file, capsys):
    assert run(event_file, '/nonexistent') == timeline.EXIT_UNREADABLE
    shown = capsys.readouterr()
    assert '/nonexistent' in shown.err
    assert len(shown.out.splitlines()) == 2


@pytest.mark.parametrize(
    'arguments',
    [
        [],
        ['--term=x', 'file'],
        ['--unknown', 'file'],
        ['--max_skew_ms=-1', 'file'],
        ['--fleet_key_file=/nonexistent', 'file'],
    ],
)
def test_invalid_flags_are_usage_errors(arguments, capsys):
    assert run(*arguments) == timeline.EXIT_USAGE
    assert capsys.readouterr().err


LINES = st.one_of(
    st.binary(max_size=40),
    st.recursive(
        st.none() | st.integers() | st.floats() | st.text(max_size=3),
        lambda inner: (
            st.lists(inner, max_size=3)
            | st.dictionaries(st.sampled_from([*GOOD, 'heard', 'x']), inner)
        ),
    ).map(lambda value: json.dumps(value).encode()),
    st.tuples(
        st.sampled_from([*GOOD, 'heard', 'x']), st.integers() | st.floats()
    ).map(
        lambda pair: json.dumps({**GOOD, pair[0]: pair[1]}).encode(),
    ),
)


@settings(derandomize=True, deadline=None, max_examples=200)
@given(content=st.lists(LINES, max_size=5).map(b'\n'.join))
def test_no_content_causes_a_traceback(tmp_path_factory, content):
    target = tmp_path_factory.getbasetemp() / 'fuzz'
    target.write_bytes(content)
    for arguments in ([], ['--json']):
        assert run(*arguments, target) in {
            timeline.EXIT_OK,
            timeline.EXIT_INCOMPLETE,
        }


@pytest.mark.parametrize(
    'body',
    [
        orjson.dumps([GOOD]),
        orjson.dumps({'events': [GOOD]}),
        orjson.dumps(GOOD) + b'\n',
        orjson.dumps(GOOD) + b'\n' + orjson.dumps({**GOOD, 'sequence': 2}),
    ],
)
async def test_reads_daemons_with_the_fleet_key(body, tmp_path, capsys):
    key_file = tmp_path / 'key'
    key_file.write_text('open sesame\n')

    async def answer(request):
        if request.headers.get('Authorization') != 'Bearer open sesame':
            raise web.HTTPUnauthorized
        return web.Response(body=body)

    application = web.Application()
    application.router.add_get('/events', answer)
    async with test_utils.TestServer(application) as server:
        url = '--url={0}'.format(server.make_url(''))
        with_key = '--fleet_key_file={0}'.format(key_file)
        assert await asyncio.to_thread(run, url, with_key) == timeline.EXIT_OK
        assert 'opened' in capsys.readouterr().out
        code = await asyncio.to_thread(run, url)
    assert code == timeline.EXIT_UNREADABLE
    assert '401' in capsys.readouterr().err
