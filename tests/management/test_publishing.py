"""Steps of `publishing.feature`, run against a platform in this process."""

import copy
import types

import orjson
import pytest
from pytest_bdd import given, parsers, scenarios, then, when

from celeryrelay.conf import loader
from celeryrelay.configuration import publication, stored_document
from celeryrelay.management.commands import ctl
from tests.management import fakes

scenarios('publishing.feature')


@pytest.fixture(scope='module')
def sample():
    return loader.read_file('samples/zilina.json5').unwrap()


@pytest.fixture
def world(tmp_path, sample, monkeypatch):
    monkeypatch.setattr(publication, 'RETRY_DELAY_MS', 1)
    platform = fakes.FakePlatform()
    with fakes.serving(platform) as address:
        yield types.SimpleNamespace(
            platform=platform,
            url='http://{0}'.format(address),
            path=tmp_path / 'objects.json5',
            raw=copy.deepcopy(sample),
        )


def publish_elsewhere(world):
    entry = world.platform.entries[stored_document.KEY]
    document = stored_document.parse_document(entry['value']).unwrap()
    other = {**document.objects, 'stale_read_rules': []}
    value = stored_document.next_document(document, 'other', other)
    world.platform.put(stored_document.KEY, value)


@given('a platform with the sample set in force')
def sample_in_force(world, sample):
    value = stored_document.next_document(None, 'first', sample)
    world.platform.put(stored_document.KEY, value)


@given('a file with three errors')
def wrong_file(world):
    world.raw['ranks'][0]['share'] = -1
    world.raw['routes'][2]['group'] = 'missing'
    slots = world.raw['database_groups'][0]['slots']
    slots[1]['port'] = slots[0]['port']
    world.path.write_bytes(orjson.dumps(world.raw))


@given('a file with another connection limit')
def changed_file(world):
    world.raw['database_groups'][0]['connection_limit'] = 24
    world.path.write_bytes(orjson.dumps(world.raw))


@given('another operator publishes at the same moment')
def race(world):
    world.platform.before_put = lambda: publish_elsewhere(world)


@given('another operator has published')
def published_before(world):
    publish_elsewhere(world)


@given('the platform loses its answer')
def lose_answer(world):
    world.platform.loses_answers = 1


@given(parsers.parse('the platform answers with {status:d} after the write'))
def fail_after_write(world, status):
    world.platform.status_after_write = status


@given('no platform answers')
def no_platform(world):
    world.url = 'http://127.0.0.1:1'


@when(parsers.re('the operator runs (?P<command>check|publish)'))
@when(
    parsers.re(
        'the operator runs (?P<command>publish) based on revision '
        r'(?P<base>\d+)',
    ),
)
def run_command(world, capsys, command, base=None):
    argv = [command, str(world.path), '--platform_url', world.url]
    if base:
        argv.append('--base_revision={0}'.format(base))
    world.code = ctl.main(argv)
    world.text = '\n'.join(capsys.readouterr())


@then(parsers.parse('the exit code is {code:d}'))
def check_code(world, code):
    assert world.code == code, world.text


@then(parsers.parse('the text names "{text}"'))
def check_text(world, text):
    assert text in world.text


@then(parsers.parse('revision {revision:d} is in force'))
def check_revision(world, revision):
    entry = world.platform.entries[stored_document.KEY]
    assert entry['value']['revision'] == revision
