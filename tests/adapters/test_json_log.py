"""Guards against logs that block, or grow with the load."""

import json
import os

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


def test_record_is_one_object_with_its_fields(pipe):
    reading, writing = pipe
    with json_log.LineHandler(writing, 'INFO').applicationbound():
        json_log.get('read').info('read goes elsewhere', request='r1', age_ms=7)
    written = json.loads(os.read(reading, 4096))
    assert written['part'] == 'read'
    assert written['event'] == 'read goes elsewhere'
    assert (written['request'], written['age_ms']) == ('r1', 7)


def test_slow_reader_does_not_block_and_drops_are_counted(pipe):
    reading, writing = pipe
    handler = json_log.LineHandler(writing, 'INFO')
    handler.budget = json_log.LineBudget(1e9, 1e9)
    with handler.applicationbound():
        log = json_log.get('flood')
        for _ in range(3000):
            log.info('x' * 200)
    assert handler.budget.dropped > 0
    assert handler._pending_bytes <= json_log.MAX_PENDING_BYTES
    os.read(reading, 1 << 20)


def test_flood_of_lines_is_cut_to_the_budget():
    budget = json_log.LineBudget(per_s=100, burst=50)
    taken = sum(budget.take(number / 1000) for number in range(2000))
    assert 50 + 180 <= taken <= 50 + 201
    assert budget.dropped == 2000 - taken


def test_routine_lines_leave_room_for_others(pipe):
    handler = json_log.LineHandler(pipe[1], 'DEBUG')
    with handler.applicationbound():
        log = logbook.Logger('x')
        for _ in range(json_log.BURST_LINES):
            log.debug('routine')
        assert handler.budget.take(0)
