"""Guards against batches that lose or repeat a count or misdate it."""

import orjson
import pytest

from celeryrelay.accounting import batches
from celeryrelay.conf import settings
from celeryrelay.core import errors, identity, outcomes, ranks

RECORD = batches.FailoverRecord('g', 4, 21500, 600, 3, 606, 20, 10, 4, 2)


@pytest.fixture
def builder():
    return batches.BatchBuilder(
        identity.Identity('a:1', 'z1', 'i1'),
        'zilina',
        settings.AccountSettings(period_s=10),
    )


def delay(cause, duration_ms):
    return outcomes.Delay(outcomes.DelayCause(cause), duration_ms)


def test_first_batch_is_empty_and_numbered_one(builder):
    batch = builder.take_batch(105)
    assert (batch.sequence, batch.closing, batch.sent_ms) == (1, False, 105000)
    assert batch.parts == (batches.Part(100, {}, {}),)


def test_idle_source_sends_one_heartbeat_per_period(builder):
    taken = [builder.take_batch(second) for second in range(100, 130)]
    assert [batch.periods for batch in taken if batch] == [
        (100,),
        (110,),
        (120,),
    ]


def test_period_is_that_of_the_statement_not_of_the_batch(builder):
    builder.count(109.9, 'g', ranks.Rank.checks, outcomes.Done())
    builder.count(110, 'g', ranks.Rank.checks, outcomes.Done())
    builder.add_failover(121, RECORD)
    batch = builder.take_batch(125)
    assert batch.periods == (100, 110, 120)
    assert batch.parts[0].counts == {'g': {ranks.Rank.checks: {'done': 1}}}
    assert batch.parts[2].failovers == (RECORD,)
    assert builder.take_batch(126) is None


def test_several_delays_with_one_cause_count_as_one_statement(builder):
    builder.count(
        100,
        'g',
        ranks.Rank.bookings,
        outcomes.Done(),
        (delay('queue', 1.5), delay('queue', 2), delay('lag_wait', 0)),
    )
    assert builder.take_batch(100).parts[0].delays == {
        'g': {ranks.Rank.bookings: {outcomes.DelayCause.queue: (1, 3500)}},
    }


def test_outcomes_are_counted_by_class_and_reason(builder):
    overload = outcomes.Reason.overload
    lost = outcomes.Reason.connection_lost
    for outcome in (
        outcomes.Done(),
        outcomes.Failed(1062, '23000', 'duplicate'),
        outcomes.NotRun(overload, 'busy'),
        outcomes.OutcomeUnknown(lost, 'lost'),
    ):
        builder.count(100, 'g', ranks.Rank.bookings, outcome)
    assert builder.take_batch(100).parts[0].counts['g'][
        ranks.Rank.bookings
    ] == {
        'done': 1,
        'failed': 1,
        'not_run:overload': 1,
        'outcome_unknown:connection_lost': 1,
    }


def test_nothing_is_counted_after_the_closing_batch(builder):
    assert builder.close(100).closing
    with pytest.raises(errors.InvariantError):
        builder.count(101, 'g', ranks.Rank.checks, outcomes.Done())


def test_parsed_batch_equals_the_dumped_one(builder):
    builder.count(
        100,
        'g',
        ranks.Rank.bookings,
        outcomes.Done(),
        (delay('queue', 1),),
    )
    builder.add_failover(111, RECORD)
    batch = builder.close(112)
    assert batches.Batch.parse(batch.dump()).ok() == batch


@pytest.mark.parametrize(
    'change',
    [
        {'sequence': 0},
        {'parts': []},
        {'unknown': 1},
        {'sequence': None},
        {'parts': [{'period': 1, 'counts': {'g': {'x': {}}}, 'delays': {}}]},
        {'parts': [{'period': 1, 'counts': {}, 'delays': {}}] * 2},
        {
            'parts': [
                {
                    'period': 1,
                    'counts': {'g': {'checks': {'done': -1}}},
                    'delays': {},
                },
            ],
        },
    ],
)
def test_error_of_an_invalid_batch_names_the_key(builder, change):
    raw = {**orjson.loads(builder.take_batch(100).dump()), **change}
    parsed = batches.Batch.parse(orjson.dumps(raw))
    assert next(iter(change)) in parsed.err()


@pytest.mark.parametrize('raw', [b'', b'{', b'[]', b'null', b'\xff'])
def test_invalid_json_is_an_error(raw):
    assert batches.Batch.parse(raw).is_err()
