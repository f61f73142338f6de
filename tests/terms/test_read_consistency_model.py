"""Guards against rules of reads that permit old rows."""

import pytest

from celeryrelay.terms import read_consistency_model

FOUND = {
    read_consistency_model.Fault.read_without_transaction: read_consistency_model.STALE_PRIMARY,
    read_consistency_model.Fault.read_before_permission: read_consistency_model.STALE_PRIMARY,
    read_consistency_model.Fault.sample_from_any_server: read_consistency_model.STALE_REPLICA,
    read_consistency_model.Fault.sample_dated_at_answer: read_consistency_model.STALE_REPLICA,
    read_consistency_model.Fault.terms_not_compared: read_consistency_model.STALE_REPLICA,
}


def test_reads_miss_no_commit_that_they_have_to_see():
    report = read_consistency_model.check()
    assert report.is_complete
    assert not report.violation, report.trace
    assert report.states > 1000


@pytest.mark.parametrize('fault', read_consistency_model.Fault)
def test_each_fault_is_found(fault):
    report = read_consistency_model.check(faults=frozenset((fault,)))
    assert report.violation == FOUND[fault]
    assert report.trace
