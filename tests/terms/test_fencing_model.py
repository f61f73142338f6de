"""Guards against two holders of the right to promote."""

import pytest

from celeryrelay.terms import fencing_model

FOUND = {
    fencing_model.Fault.write_without_condition: fencing_model.SAME_DECISION,
    fencing_model.Fault.any_office_is_own: fencing_model.SHARED_TOKEN,
    fencing_model.Fault.token_is_known_revision: fencing_model.SHARED_TOKEN,
    fencing_model.Fault.token_is_kept: fencing_model.OLD_ORDER,
}


def test_no_token_is_shared_and_no_old_order_is_carried_out():
    report = fencing_model.check()
    assert report.is_complete
    assert not report.violation, report.trace
    assert report.states > 1000


@pytest.mark.parametrize('fault', fencing_model.Fault)
def test_each_fault_is_found(fault):
    report = fencing_model.check(frozenset((fault,)))
    assert report.violation == FOUND[fault]
    assert report.trace
