"""Guards against changes of output and exit codes that scripts rely on."""

import sys
import types

import orjson
import pytest

from celeryrelay.configuration import stored_document
from celeryrelay.management.commands import ctl
from celeryrelay.management.ctl import objects
from tests.management import fakes

SAMPLE = 'samples/zilina.json5'


@pytest.fixture
def platform():
    fake = fakes.FakePlatform()
    with fakes.serving(fake) as address:
        fake.flag = '--platform_url=http://{0}'.format(address)
        yield fake


@pytest.fixture
def daemon():
    fake = fakes.FakeDaemon()
    with fakes.serving(fake) as fake.address:
        yield fake


@pytest.fixture
def key_flag(tmp_path):
    path = tmp_path / 'fleet.key'
    path.write_text('{0}\n'.format(fakes.KEY))
    return '--fleet_key_file={0}'.format(path)


@pytest.fixture
def run(capsys):
    def run_with(*argv):
        code = ctl.main(argv)
        out, err = capsys.readouterr()
        assert 'Traceback' not in err
        return types.SimpleNamespace(code=code, out=out, err=err)

    return run_with


@pytest.mark.parametrize(
    'argv',
    [
        [],
        ['publsh'],
        ['check'],
        ['check', 'a', 'b'],
        ['show', '--no_such_flag'],
        ['show', '--timeout_ms=soon'],
        ['show', '--timeout_ms=0'],
        ['show'],
        ['drain'],
        ['status', '127.0.0.1:1'],
        ['show', '--settings=no-such-file'],
        ['account', '--platform_url=http://127.0.0.1:1', '--since=monday'],
    ],
)
def test_wrong_usage_gives_an_error_message(run, argv):
    finished = run(*argv)
    assert finished.code == 2
    assert finished.err and not finished.out


def test_help_names_commands_flags_and_exit_codes(run):
    for argv in (['--help'], ['help'], ['publish', '-h']):
        finished = run(*argv)
        assert finished.code == 0
        for word in (*ctl.COMMANDS, '--base_revision', 'Exit codes'):
            assert word in finished.out


@pytest.mark.parametrize('content', [None, b'\xff', b'{a: ', b'[' * 10**5])
def test_error_names_the_unreadable_file(run, tmp_path, content):
    path = tmp_path / 'objects.json5'
    if content is not None:
        path.write_bytes(content)
    finished = run('check', str(path))
    assert finished.code == 1
    assert str(path) in finished.err


def test_check_and_diff_of_files(run):
    finished = run('check', SAMPLE)
    assert (finished.code, finished.err) == (0, '')
    assert '9 database_groups, 27 routes' in finished.out
    assert run('diff', SAMPLE, SAMPLE).out == 'no differences\n'
    finished = run('diff', SAMPLE, 'samples/pitchwise.json5', '--json')
    found = orjson.loads(finished.out)['differences']
    assert {
        'kind': 'changed',
        'path': 'ranks[bookings].share',
        'old': 8,
        'new': 4,
    } in found


def test_check_rejects_a_set_above_the_size_limit_of_the_store(
    run,
    monkeypatch,
):
    monkeypatch.setattr(stored_document, 'SIZE_LIMIT_BYTES', 4000)
    finished = run('check', SAMPLE)
    assert finished.code == 1
    assert 'up to 4000 are allowed' in finished.err


def test_publish_show_and_diff(run, platform):
    assert run('show', platform.flag).code == 1
    finished = run('publish', SAMPLE, platform.flag, '--json')
    assert finished.code == 0
    assert orjson.loads(finished.out)['revision'] == 1
    assert 'equal' in run('publish', SAMPLE, platform.flag).out
    shown = orjson.loads(run('show', platform.flag, '--json').out)
    assert shown['revision'] == 1
    assert shown['objects'] == objects.read_objects(SAMPLE).unwrap()
    assert run('diff', SAMPLE, platform.flag).out == 'no differences\n'
    assert platform.writes == 1


def test_unreachable_platform_gives_exit_code_3(run, key_flag):
    flag = '--platform_url=http://127.0.0.1:1'
    for command in ('show', 'status', 'account'):
        finished = run(command, flag, key_flag)
        assert (finished.code, finished.out) == (3, '')
    finished = run('diff', SAMPLE, flag, '--json')
    assert finished.code == 3
    assert orjson.loads(finished.out)['errors']


def test_status_without_addresses_asks_the_listed_entry_instances(
    run,
    platform,
    daemon,
    key_flag,
):
    platform.instances = [
        {
            'instance': kind,
            'address': daemon.address,
            'zone': 'z',
            'kind': kind,
            'state': 'live',
        }
        for kind in ('entry', 'database')
    ]
    finished = run('status', platform.flag, key_flag)
    assert finished.code == 0
    assert finished.out == '{0}: live revision=3\n'.format(daemon.address)
    finished = run('status', daemon.address, '127.0.0.1:1', key_flag)
    assert finished.code == 3
    assert '127.0.0.1:1: not reachable' in finished.err


def test_drain_requires_the_fleet_key(run, daemon, key_flag, tmp_path):
    assert run('drain', daemon.address, key_flag).code == 0
    assert daemon.drains == 1
    path = tmp_path / 'wrong.key'
    flag = '--fleet_key_file={0}'.format(path)
    for content in (None, '', 'other', 'two\nlines'):
        if content is not None:
            path.write_text(content)
        finished = run('drain', daemon.address, flag)
        assert finished.code == 1
        assert finished.err.count('\n') == 1
    assert daemon.drains == 1


def test_account_reports_on_the_periods_in_the_time_range(
    run,
    platform,
    monkeypatch,
):
    built = []
    monkeypatch.setitem(
        sys.modules,
        'celeryrelay.accounting.reports',
        types.SimpleNamespace(
            build=lambda values, all_periods: built.append(
                (values, all_periods),
            ),
            to_text=lambda report: 'text',
            to_json=lambda report: b'{}',
        ),
    )
    for period in (0, 10, 20):
        platform.put('accounts/{0}/z1'.format(period), period)
    platform.put(stored_document.KEY, 'no account')
    assert run('account', platform.flag).out == 'text\n'
    start = '--since=1970-01-01T00:00:10Z'
    run('account', platform.flag, start, '--until=1970-01-01T00:00:20')
    assert built == [([0, 10, 20], True), ([10], False)]


def test_internal_error_is_printed_on_one_line(run, monkeypatch):
    async def fail(chosen):
        raise KeyError('name')

    monkeypatch.setitem(ctl.COMMANDS, 'check', ctl.Command(fail, 1, 1))
    finished = run('check', SAMPLE)
    assert finished.code == 1
    assert finished.err == "internal error: KeyError('name')\n"
