"""Tests of the JSON log.

Guards against log calls that block the event loop, and against logs whose size
grows with the load.
"""

import json
import logging
import os
import warnings

import logbook
import pytest

from celeryrelay.adapters import json_log


@pytest.fixture
def pipe():
    reading, writing = os.pipe()
    os.set_blocking(writing, False)
    yield reading, writing
    os.close(reading)
    os.close(writing)


def test_record_is_one_json_object_with_its_fields(pipe):
    reading, writing = pipe
    with json_log.JsonLineHandler(writing, 'INFO').applicationbound():
        json_log.get('read').info(
            'read sent to another server', request='r1', age_ms=7
        )
    written = json.loads(os.read(reading, 4096))
    assert written['part'] == 'read'
    assert written['event'] == 'read sent to another server'
    assert (written['request'], written['age_ms']) == ('r1', 7)


def test_slow_reader_does_not_block_and_dropped_lines_are_counted(pipe):
    reading, writing = pipe
    handler = json_log.JsonLineHandler(writing, 'INFO')
    handler.rate_limiter = json_log.RateLimiter(1e9, 1e9)
    with handler.applicationbound():
        log = json_log.get('flood')
        for _ in range(3000):
            log.info('x' * 200)
    assert handler.rate_limiter.dropped > 0
    assert handler._pending_bytes <= json_log.MAX_PENDING_BYTES
    os.read(reading, 1 << 20)


def test_flood_of_lines_is_limited_to_rate_and_burst():
    rate_limiter = json_log.RateLimiter(per_s=100, burst=50)
    permitted = sum(
        rate_limiter.try_acquire(number / 1000) for number in range(2000)
    )
    assert 50 + 180 <= permitted <= 50 + 201
    assert rate_limiter.dropped == 2000 - permitted


def test_debug_lines_leave_tokens_for_other_levels(pipe):
    handler = json_log.JsonLineHandler(pipe[1], 'DEBUG')
    with handler.applicationbound():
        log = logbook.Logger('x')
        for _ in range(json_log.BURST_LINES):
            log.debug('routine')
        assert handler.rate_limiter.try_acquire(0)


def test_lines_without_a_reader_are_dropped_and_counted():
    """Guards against a log call that fails after the reader has gone."""
    reading, writing = os.pipe()
    os.close(reading)
    handler = json_log.JsonLineHandler(writing, 'INFO')
    with handler.applicationbound():
        with logbook.Flags(errors='raise'):
            json_log.get('daemon').info('one')
    os.close(writing)
    assert handler.rate_limiter.dropped == 1
    assert handler._pending_bytes == 0


@pytest.mark.parametrize('odd', [1 << 70, '\ud800', {1 << 70: '\ud800'}])
def test_value_that_json_lacks_is_written_as_text(pipe, odd):
    """Guards against a log call that fails because of a value from outside."""
    reading, writing = pipe
    with json_log.JsonLineHandler(writing, 'INFO').applicationbound():
        with logbook.Flags(errors='raise'):
            json_log.get('store').info('odd', value=odd)
    written = json.loads(os.read(reading, 4096))
    assert written['value'] == ascii(odd)


def test_process_without_standard_output_writes_no_log(monkeypatch):
    """Guards against a daemon that doesn't start without standard output."""
    monkeypatch.setattr('sys.stdout', None)
    monkeypatch.setattr(logbook.NestedSetup, 'push_application', lambda _: None)
    json_log.configure('INFO')


@pytest.mark.parametrize(
    'report',
    [
        lambda: logging.getLogger('asyncio').warning('%s failed', 'send'),
        lambda: warnings.warn('send failed', stacklevel=1),
    ],
)
def test_messages_of_libraries_are_lines_of_the_log(
    pipe, monkeypatch, capsys, report
):
    """Guards against a daemon that waits for a reader of standard error."""
    reading, writing = pipe
    monkeypatch.setattr(logging.root, 'handlers', [])
    with warnings.catch_warnings():
        json_log.redirect_library_logs()
        with json_log.JsonLineHandler(writing, 'INFO').applicationbound():
            report()
    assert json.loads(os.read(reading, 4096))['event'] == 'send failed'
    assert not capsys.readouterr().err
