"""Guards against lost, reordered or malformed events in the event log.

Also checks that a disabled log records nothing and that a full disk does not
stop the process.
"""

import orjson
import pytest

from celeryrelay.conf import settings
from celeryrelay.core import clock, errors, identity, outcomes, ranks
from celeryrelay.timeline import events, merging

OWN = identity.Identity('a:1', 'z1', 'i1')


def make_log(**keys):
    log_settings = settings.TimelineSettings(**keys)
    return events.EventLog(OWN, clock.ManualClock(1.5), log_settings)


def lines_of(path):
    return [orjson.loads(line) for line in path.read_bytes().splitlines()]


def test_event_has_the_documented_keys():
    log = make_log()
    refusal = outcomes.OutcomeUnknown(outcomes.Reason.leaving, 'text')
    log.emit('refused', rank=ranks.Rank.checks, outcome=refusal)
    (event,) = log.recent()
    assert event == {
        'instance': 'a:1',
        'incarnation': 'i1',
        'sequence': 1,
        'clock': 1,
        'time_ms': 1500.0,
        'kind': 'refused',
        'rank': 'checks',
        'outcome': {'reason': 'leaving', 'message': 'text'},
    }


def test_lamport_clock_follows_messages():
    log = make_log()
    log.emit('one')
    assert log.advance_clock() == 2
    log.observe_clock(10)
    log.observe_clock(4)
    assert log.advance_clock() == 11
    log.emit('two')
    log.emit('three')
    shown = [(event['clock'], event.get('heard')) for event in log.recent(1)]
    assert shown == [(12, 10), (13, None)]


def test_received_clock_below_own_clock_is_still_recorded():
    log = make_log()
    for _ in range(5):
        log.emit('own')
    log.observe_clock(3)
    log.emit('after')
    assert log.recent(5)[0]['heard'] == 3
    assert log.recent(5)[0]['clock'] == 6


def test_buffer_is_bounded_and_filtered_by_sequence():
    log = make_log(buffer_events=3)
    for _ in range(5):
        log.emit('kind')
    assert [event['sequence'] for event in log.recent()] == [3, 4, 5]
    assert [event['sequence'] for event in log.recent(4)] == [5]


def test_disabled_log_records_nothing_but_keeps_the_clock(tmp_path):
    target = tmp_path / 'events'
    log = make_log(enabled=False, path=str(target))
    log.emit('kind')
    log.observe_clock(7)
    assert log.advance_clock() == 8
    log.close()
    assert log.recent() == []
    assert not target.exists()


def test_fields_do_not_replace_the_header():
    log = make_log()
    log.emit('kind', clock=99, instance='b:1', peer='b:1')
    (event,) = log.recent()
    assert (event['clock'], event['instance']) == (1, 'a:1')
    assert event['peer'] == 'b:1'


def test_lines_are_written_by_flush_and_close(tmp_path):
    target = tmp_path / 'events'
    log = make_log(path=str(target))
    log.emit('one')
    assert target.read_bytes() == b''
    log.flush()
    assert len(lines_of(target)) == 1
    log.emit('two', odd={1: object()}, big=1 << 70, text='\ud800')
    log.close()
    assert lines_of(target)[1]['kind'] == 'two'
    event = merging.parse_event(lines_of(target)[1]).ok()
    assert event.fields['big'] == str(1 << 70)


def test_pending_events_are_written_at_the_limit(tmp_path):
    target = tmp_path / 'events'
    log = make_log(path=str(target))
    for _ in range(events.MAX_PENDING_EVENTS):
        log.emit('kind')
    assert len(lines_of(target)) == events.MAX_PENDING_EVENTS


def test_new_process_starts_on_a_new_line(tmp_path):
    target = tmp_path / 'events'
    target.write_bytes(b'{"instance":"a:1","inc')
    log = make_log(path=str(target))
    log.emit('kind')
    log.close()
    assert orjson.loads(target.read_bytes().splitlines()[1])['sequence'] == 1


def test_full_disk_does_not_stop_the_process():
    log = make_log(path='/dev/full')
    log.emit('kind')
    log.flush()
    log.emit('kind')
    assert log.lost_events == 1
    assert len(log.recent()) == 2


def test_error_names_the_setting_of_an_unusable_path(tmp_path):
    with pytest.raises(errors.CeleryrelayError, match='timeline.path'):
        make_log(path=str(tmp_path))
