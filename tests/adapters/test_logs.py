"""Tests of the text log.

Guards against records that contain secrets, take more than one line, or are
also written by logbook's default handler.
"""

import pytest

from celeryrelay.adapters import logs


@pytest.fixture
def log(capsys):
    setup = logs.configure('INFO')
    yield logs.get('holder')
    setup.pop_application()


def test_line_has_level_logger_name_message_and_fields(log, capsys):
    log.info('opened {0}', 'a', extra={'slot': 's1', 'password': 'x1'})
    line = capsys.readouterr().err
    assert ' INFO holder: opened a password=[redacted] slot=s1\n' in line


def test_records_below_the_level_are_dropped(log, capsys):
    log.debug('hidden')
    assert capsys.readouterr().err == ''


def test_record_is_one_line_even_with_an_exception(log, capsys):
    try:
        raise ValueError('one\ntwo')
    except ValueError:
        log.exception('failed\r\nnow')
    shown = capsys.readouterr()
    assert shown.err.count('\n') == 1
    assert 'ValueError' in shown.err
    assert shown.out == ''


@pytest.mark.parametrize(
    'text',
    [
        'Authorization: Bearer s3cret',
        "SET @@celeryrelay_token = 's3cret'",
        '{"backend_password": "s3cret", "a": 1}',
        "CREATE USER a IDENTIFIED BY 's3cret'",
        'fleet_key=s3cret next',
        "password='s3cret with blanks'",
    ],
)
def test_secrets_are_redacted(log, capsys, text):
    assert 's3cret' not in logs.redact(text)
    log.warning('{0}', text)
    shown = capsys.readouterr().err
    assert 's3cret' not in shown
    assert logs.REDACTED in shown


def test_ordinary_text_is_unchanged():
    text = 'slot s1: term=4 offset=12 key=value'
    assert logs.redact(text) == text
    assert logs.redact_fields({'term': 4}) == {'term': 4}
