"""Guards against rules of the term protocol that permit losing a write."""

import pytest

from celeryrelay.terms import term_model, term_model_checker, term_model_writers

ONE_REPLICATED = term_model.Bounds(replicated=(True,), lost_answers=1)
ONE_LOCAL = term_model.Bounds(replicated=(False,), lost_answers=1)
TWO_SLOTS = term_model.Bounds(slots=2, lost_answers=1)
NO_ACK_AFTER_REPLACEMENT = term_model_writers.NO_ACK_AFTER_REPLACEMENT
REPLICATED_WRITE_SURVIVES = term_model_writers.REPLICATED_WRITE_SURVIVES

# Bounds within which each fault is found, and the invariant that it violates.
EXPECTED_VIOLATIONS = {
    term_model.Fault.no_closing_wait: (ONE_LOCAL, NO_ACK_AFTER_REPLACEMENT),
    term_model.Fault.no_confirm_wait: (ONE_LOCAL, NO_ACK_AFTER_REPLACEMENT),
    term_model.Fault.promote_count_too_small: (
        ONE_REPLICATED,
        NO_ACK_AFTER_REPLACEMENT,
    ),
    term_model.Fault.confirm_count_too_small: (
        ONE_REPLICATED,
        NO_ACK_AFTER_REPLACEMENT,
    ),
    term_model.Fault.commit_without_term: (ONE_LOCAL, NO_ACK_AFTER_REPLACEMENT),
    term_model.Fault.confirm_without_term: (
        ONE_LOCAL,
        NO_ACK_AFTER_REPLACEMENT,
    ),
    term_model.Fault.confirm_without_log_term: (
        TWO_SLOTS,
        NO_ACK_AFTER_REPLACEMENT,
    ),
    term_model.Fault.promote_least_advanced: (
        ONE_REPLICATED,
        NO_ACK_AFTER_REPLACEMENT,
    ),
    term_model.Fault.continue_equal_record: (
        ONE_REPLICATED,
        REPLICATED_WRITE_SURVIVES,
    ),
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
def test_the_protocol_satisfies_its_invariants(bounds, observed):
    report = term_model_checker.run(
        term_model_checker.ModelOptions(bounds=bounds, observed=observed)
    )
    assert report.is_complete
    assert not report.violations
    assert report.states > 1000


@pytest.mark.parametrize('fault', term_model.Fault)
def test_each_fault_is_found(fault):
    bounds, invariant = EXPECTED_VIOLATIONS[fault]
    report = term_model_checker.run(
        term_model_checker.ModelOptions(
            bounds=bounds, faults=frozenset((fault,))
        ),
    )
    assert invariant in {item.invariant for item in report.violations}


def test_a_trace_is_a_shortest_path():
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


def test_an_incomplete_check_is_reported():
    report = term_model_checker.run(
        term_model_checker.ModelOptions(state_limit=100)
    )
    assert not report.is_complete
