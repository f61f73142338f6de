"""Guards against rules of the term protocol that permit a lost write."""

import pytest

from celeryrelay.terms import term_model, term_model_checker, term_model_writers

ONE_REPLICATED = term_model.Bounds(replicated=(True,), lost_answers=1)
ONE_LOCAL = term_model.Bounds(replicated=(False,), lost_answers=1)
TWO_SLOTS = term_model.Bounds(slots=2, lost_answers=1)
REPLACED = term_model_writers.REPLACED
SURVIVES = term_model_writers.SURVIVES

# Bounds within which each fault shows, and the promise that it breaks.
SHOWN_BY = {
    term_model.Fault.no_closing_wait: (ONE_LOCAL, REPLACED),
    term_model.Fault.no_confirm_wait: (ONE_LOCAL, REPLACED),
    term_model.Fault.promote_count_too_small: (ONE_REPLICATED, REPLACED),
    term_model.Fault.confirm_count_too_small: (ONE_REPLICATED, REPLACED),
    term_model.Fault.commit_without_term: (ONE_LOCAL, REPLACED),
    term_model.Fault.confirm_without_term: (ONE_LOCAL, REPLACED),
    term_model.Fault.confirm_without_log_term: (TWO_SLOTS, REPLACED),
    term_model.Fault.promote_least_advanced: (ONE_REPLICATED, REPLACED),
    term_model.Fault.continue_equal_record: (ONE_REPLICATED, SURVIVES),
}


@pytest.mark.parametrize(
    ('bounds', 'observed'),
    [
        (term_model.Bounds(), (0,)),
        (term_model.Bounds(), (1,)),
        (ONE_REPLICATED, ()),
        (ONE_LOCAL, ()),
        (TWO_SLOTS, ()),
    ],
    ids=['replicated of two', 'local of two', 'replicated', 'local', '2 slots'],
)
def test_the_protocol_keeps_its_promises(bounds, observed):
    report = term_model_checker.run(
        term_model_checker.ModelOptions(bounds=bounds, observed=observed)
    )
    assert report.is_complete
    assert not report.violations
    assert report.states > 1000


@pytest.mark.parametrize('fault', term_model.Fault)
def test_each_fault_is_found(fault):
    bounds, promise = SHOWN_BY[fault]
    report = term_model_checker.run(
        term_model_checker.ModelOptions(
            bounds=bounds, faults=frozenset((fault,))
        ),
    )
    assert promise in {item.promise for item in report.violations}


def test_a_trace_tells_the_shortest_way():
    report = term_model_checker.run(
        term_model_checker.ModelOptions(
            bounds=ONE_LOCAL,
            faults=frozenset((term_model.Fault.no_closing_wait,)),
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
    report = term_model_checker.run(
        term_model_checker.ModelOptions(state_limit=100)
    )
    assert not report.is_complete
