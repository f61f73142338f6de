"""Steps of `publishing.feature`, run against the fake platform."""

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
def context(tmp_path, sample, monkeypatch):
    monkeypatch.setattr(publication, 'RETRY_DELAY_MS', 1)
    platform = fakes.FakePlatform()
    with fakes.serving(platform) as address:
        yield types.SimpleNamespace(
            platform=platform,
            url='http://{0}'.format(address),
            path=tmp_path / 'objects.json5',
            raw=copy.deepcopy(sample),
        )


def publish_as_other_operator(context):
    entry = context.platform.entries[stored_document.KEY]
    document = stored_document.parse_document(entry['value']).unwrap()
    other = {**document.objects, 'stale_read_rules': []}
    value = stored_document.next_document(document, 'other', other)
    context.platform.put(stored_document.KEY, value)


@given('a platform with the sample set in force')
def platform_with_sample_set(context, sample):
    value = stored_document.next_document(None, 'first', sample)
    context.platform.put(stored_document.KEY, value)


@given('a file with three errors')
def file_with_errors(context):
    context.raw['ranks'][0]['share'] = -1
    context.raw['routes'][2]['group'] = 'missing'
    slots = context.raw['database_groups'][0]['slots']
    slots[1]['port'] = slots[0]['port']
    context.path.write_bytes(orjson.dumps(context.raw))


@given('a file with another connection limit')
def changed_file(context):
    context.raw['database_groups'][0]['connection_limit'] = 24
    context.path.write_bytes(orjson.dumps(context.raw))


@given('another operator publishes at the same moment')
def concurrent_publication(context):
    context.platform.before_put = lambda: publish_as_other_operator(context)


@given('another operator has published')
def published_before(context):
    publish_as_other_operator(context)


@given('the platform loses its answer')
def lose_answer(context):
    context.platform.loses_answers = 1


@given(parsers.parse('the platform answers with {status:d} after the write'))
def fail_after_write(context, status):
    context.platform.status_after_write = status


@given('no platform answers')
def no_platform(context):
    context.url = 'http://127.0.0.1:1'


@when(parsers.re('the operator runs (?P<command>check|publish)'))
@when(
    parsers.re(
        'the operator runs (?P<command>publish) based on revision '
        r'(?P<base>\d+)',
    ),
)
def run_command(context, capsys, command, base=None):
    argv = [command, str(context.path), '--platform_url', context.url]
    if base:
        argv.append('--base_revision={0}'.format(base))
    context.code = ctl.main(argv)
    context.text = '\n'.join(capsys.readouterr())


@then(parsers.parse('the exit code is {code:d}'))
def check_code(context, code):
    assert context.code == code, context.text


@then(parsers.parse('the text names "{text}"'))
def check_text(context, text):
    assert text in context.text


@then(parsers.parse('revision {revision:d} is in force'))
def check_revision(context, revision):
    entry = context.platform.entries[stored_document.KEY]
    assert entry['value']['revision'] == revision
