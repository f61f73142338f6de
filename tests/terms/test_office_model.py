"""Guards against two holders of the right to promote."""

import pytest

from celeryrelay.terms import office_model

FOUND = {
    office_model.Fault.write_without_condition: office_model.SAME_DECISION,
    office_model.Fault.any_office_is_own: office_model.SHARED_TOKEN,
    office_model.Fault.token_is_known_revision: office_model.SHARED_TOKEN,
    office_model.Fault.token_is_kept: office_model.OLD_ORDER,
}


def test_no_token_is_shared_and_no_old_order_is_carried_out():
    report = office_model.check()
    assert report.is_complete
    assert not report.violation, report.trace
    assert report.states > 1000


@pytest.mark.parametrize('fault', office_model.Fault)
def test_each_fault_is_found(fault):
    report = office_model.check(frozenset((fault,)))
    assert report.violation == FOUND[fault]
    assert report.trace
