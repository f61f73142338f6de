"""Guards against rules of the term protocol that permit a lost write."""

import pytest

from celeryrelay.terms import model, protocol, protocol_writers

ONE_REPLICATED = protocol.Bounds(replicated=(True,), lost_answers=1)
ONE_LOCAL = protocol.Bounds(replicated=(False,), lost_answers=1)
TWO_SLOTS = protocol.Bounds(slots=2, lost_answers=1)
REPLACED = protocol_writers.REPLACED
SURVIVES = protocol_writers.SURVIVES

# Bounds within which each fault shows, and the promise that it breaks.
SHOWN_BY = {
    protocol.Fault.no_closing_wait: (ONE_LOCAL, REPLACED),
    protocol.Fault.no_confirm_wait: (ONE_LOCAL, REPLACED),
    protocol.Fault.promote_count_too_small: (ONE_REPLICATED, REPLACED),
    protocol.Fault.confirm_count_too_small: (ONE_REPLICATED, REPLACED),
    protocol.Fault.commit_without_term: (ONE_LOCAL, REPLACED),
    protocol.Fault.confirm_without_term: (ONE_LOCAL, REPLACED),
    protocol.Fault.confirm_without_log_term: (TWO_SLOTS, REPLACED),
    protocol.Fault.promote_least_advanced: (ONE_REPLICATED, REPLACED),
    protocol.Fault.continue_equal_record: (ONE_REPLICATED, SURVIVES),
}


@pytest.mark.parametrize(
    ('bounds', 'observed'),
    [
        (protocol.Bounds(), (0,)),
        (protocol.Bounds(), (1,)),
        (ONE_REPLICATED, ()),
        (ONE_LOCAL, ()),
        (TWO_SLOTS, ()),
    ],
    ids=['replicated of two', 'local of two', 'replicated', 'local', '2 slots'],
)
def test_the_protocol_keeps_its_promises(bounds, observed):
    report = model.run(model.ModelOptions(bounds=bounds, observed=observed))
    assert report.is_complete
    assert not report.violations
    assert report.states > 1000


@pytest.mark.parametrize('fault', protocol.Fault)
def test_each_fault_is_found(fault):
    bounds, promise = SHOWN_BY[fault]
    report = model.run(
        model.ModelOptions(bounds=bounds, faults=frozenset((fault,))),
    )
    assert promise in {item.promise for item in report.violations}


def test_a_trace_tells_the_shortest_way():
    report = model.run(
        model.ModelOptions(
            bounds=ONE_LOCAL,
            faults=frozenset((protocol.Fault.no_closing_wait,)),
        ),
    )
    (violation,) = report.violations
    assert violation.trace == (
        'promoter closes term 2',
        'slot 1 raised to term 2',
        'slot 2 raised to term 2',
        'slot 2 promoted in term 2',
        'term 2 opened with slot 2',
        'writer 0 commits on slot 0 in term 1',
        'writer 0 is acknowledged by window',
    )


def test_an_incomplete_check_says_so():
    report = model.run(model.ModelOptions(state_limit=100))
    assert not report.is_complete
