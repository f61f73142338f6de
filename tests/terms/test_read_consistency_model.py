"""Guards against read rules that permit stale results."""

import pytest

from celeryrelay.terms import read_consistency_model

EXPECTED_VIOLATIONS = {
    read_consistency_model.Fault.read_without_transaction: read_consistency_model.STALE_PRIMARY,
    read_consistency_model.Fault.read_before_permission: read_consistency_model.STALE_PRIMARY,
    read_consistency_model.Fault.sample_from_any_server: read_consistency_model.STALE_REPLICA,
    read_consistency_model.Fault.sample_dated_at_answer: read_consistency_model.STALE_REPLICA,
    read_consistency_model.Fault.terms_not_compared: read_consistency_model.STALE_REPLICA,
}


def test_reads_return_all_commits_that_they_have_to():
    report = read_consistency_model.check()
    assert report.is_complete
    assert not report.violation, report.trace
    assert report.states > 1000


@pytest.mark.parametrize('fault', read_consistency_model.Fault)
def test_each_fault_is_found(fault):
    report = read_consistency_model.check(faults=frozenset((fault,)))
    assert report.violation == EXPECTED_VIOLATIONS[fault]
    assert report.trace
