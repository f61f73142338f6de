"""Guards against reports with wrong totals or hidden gaps."""

import csv
import dataclasses
import io
import sys
from unittest import mock

import orjson
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from celeryrelay.accounting import batches, merging, plots, reports
from celeryrelay.conf import settings as conf
from celeryrelay.core import errors, identity, outcomes, ranks

RECORD = batches.FailoverRecord('g', 4, 105500, 600, 3, 606, 20, 10, 4, 2)


def make_batches(zone='z1', name='a:1', lost=2):
    """Return three batches, for the periods 100, 100 and 110, and 110.

    The last one is the closing batch.
    """
    builder = batches.BatchBuilder(
        identity.Identity(name, zone, 'x'),
        'zilina',
        conf.AccountSettings(),
    )
    delay = outcomes.Delay(outcomes.DelayCause.failover_hold, 2.5)
    builder.count(101, 'g', ranks.Rank.bookings, outcomes.Done(), (delay,))
    first = builder.take_batch(102)
    refusal = outcomes.NotRun(outcomes.Reason.no_primary, '')
    builder.count(105, 'g', ranks.Rank.bookings, refusal)
    builder.add_failover(105, dataclasses.replace(RECORD, lost_positions=lost))
    builder.count(111, 'h', ranks.Rank.checks, outcomes.Done())
    return [first, builder.take_batch(112), builder.close(113)]


def values_of(given_batches):
    stored = {}
    for batch in given_batches:
        for entry in merging.split_batch(batch):
            before = stored.get(entry.bucket)
            stored[entry.bucket] = merging.merge(before, [entry])
    return list(stored.values())


PARTS = [
    entry
    for name, lost in (('a:1', 2), ('b:1', None), ('c:1', 1))
    for batch in make_batches(name=name, lost=lost)
    for entry in merging.split_batch(batch)
    if entry.part.period == 100
]
SUBSETS = st.lists(st.sampled_from(PARTS), min_size=1)


@settings(derandomize=True, deadline=None)
@given(SUBSETS, SUBSETS, SUBSETS)
def test_merge_is_commutative_associative_and_idempotent(one, two, three):
    merged = merging.merge(None, one + two + three)
    assert merging.merge(merging.merge(None, three), two + one) == merged
    once = merging.merge(None, one)
    assert merging.merge(merging.merge(once, two), three) == merged
    assert merging.dump(merging.merge(merged, one + three)) == merging.dump(
        merged,
    )
    assert (
        merging.parse_value(orjson.loads(merging.dump(merged))).ok() == merged
    )


def test_merge_leaves_the_stored_value_unchanged():
    stored = merging.merge(None, PARTS[:1])
    before = merging.dump(stored)
    merging.merge(stored, PARTS)
    assert merging.dump(stored) == before


def test_merge_refuses_a_part_of_another_key():
    stored = merging.merge(None, PARTS)
    for wrong in ({'zone': 'z2'}, {'deployment': 'other'}):
        changed = dataclasses.replace(make_batches()[0], **wrong)
        with pytest.raises(errors.InvariantError):
            merging.merge(stored, merging.split_batch(changed))
    with pytest.raises(errors.InvariantError):
        merging.merge(None, [])


def test_complete_account_has_all_totals():
    report = reports.build(values_of(make_batches()))
    assert report.complete
    assert report.failovers == (RECORD,)
    totals = report.totals('rank')
    assert totals['bookings',].served == 1
    assert totals['bookings',].refused == {'no_primary': 1}
    assert totals['bookings',].delayed['failover_hold'].total_ms == 2.5
    assert report.totals('deployment')['zilina',].statements == 3
    assert list(report.totals('period')) == [(100,), (110,)]


def test_missing_part_of_a_spanning_batch_is_reported():
    kept, lost = values_of(make_batches()), []
    spanning = make_batches()[1]
    others = [make_batches()[0], make_batches()[2]]
    only_first = dataclasses.replace(spanning, parts=spanning.parts[:1])
    lost = values_of([*others, only_first])
    for value, full in zip(lost, kept):
        if value['period'] == 100:
            value['sources'] = full['sources']
    source = reports.build(lost).sources[0]
    assert [(part.sequence, part.period) for part in source.missing_parts] == [
        (2, 110),
    ]
    assert not source.complete


def test_partial_report_expects_only_batches_of_its_periods():
    second = [v for v in values_of(make_batches()) if v['period'] == 110]
    partial = reports.build(second, all_periods=False)
    assert partial.complete
    source = reports.build(second).sources[0]
    assert source.missing == ((1, 1),)
    assert len(source.missing_parts) == 1


def test_batch_under_two_zones_is_reported_as_counted_twice():
    values = values_of(make_batches())
    copy = {**values[0], 'zone': 'z2'}
    report = reports.build([*values, copy])
    assert report.sources[0].repeated == ((1, 2),)
    assert report.sources[0].zones == ('z1', 'z2')
    assert not report.complete
    assert 'counted more than once' in reports.to_text(report)


def test_batch_under_a_wrong_period_is_reported_as_counted_twice():
    values = values_of(make_batches())
    copy = {**values[0], 'period': 90}
    assert reports.build([*values, copy]).sources[0].repeated == ((1, 2),)


def test_source_without_closing_batch_is_shown_with_its_last_time():
    report = reports.build(values_of(make_batches()[:2]))
    assert not report.complete
    assert report.sources[0].last_sent_ms == 112000
    text = reports.to_text(report)
    assert 'no closing batch, last batch at 1970-01-01T00:01:52' in text


@pytest.mark.parametrize('raw', [None, 3, {}, {'counts': []}])
def test_invalid_value_makes_the_report_incomplete(raw):
    report = reports.build([*values_of(make_batches()), raw])
    assert len(report.unreadable) == 1
    assert not report.complete


def test_all_formats_show_the_same_numbers():
    report = reports.build(values_of(make_batches()[1:]))
    parsed = orjson.loads(reports.to_json(report))
    assert parsed['totals']['rank'][0]['refused'] == {'no_primary': 1}
    assert parsed['sources'][0]['missing'] == [[1, 1]]
    rows = list(csv.DictReader(io.StringIO(reports.to_csv(report))))
    refused = [row for row in rows if row['measure'] == 'refused']
    assert [(row['detail'], row['value']) for row in refused] == [
        ('no_primary', '1'),
    ]
    failovers = reports.failovers_to_csv(report)
    assert next(csv.DictReader(io.StringIO(failovers)))['waiting_ms'] == '606.0'
    text = reports.to_text(report)
    assert 'batches 1 to 1 are missing' in text
    assert 'refused no_primary: 1' in text


def test_plot_is_written(tmp_path):
    pytest.importorskip('matplotlib')
    target = tmp_path / 'service.png'
    plots.service(reports.build(values_of(make_batches())), target)
    assert target.read_bytes().startswith(b'\x89PNG')


def test_error_without_matplotlib_names_the_extra(tmp_path):
    report = reports.build([])
    with mock.patch.dict(sys.modules, {'matplotlib': None}):
        with pytest.raises(plots.PlotsUnavailableError, match='plots'):
            plots.service(report, tmp_path / 'service.png')
