"""Guards against retries that multiply the load of an overload."""

import hypothesis
from hypothesis import strategies

from celeryrelay.admission import retry_budget

SETTINGS = hypothesis.settings(derandomize=True, max_examples=200)


@SETTINGS
@hypothesis.given(strategies.lists(strategies.booleans(), max_size=300))
def test_retries_stay_below_the_ratio_and_the_burst(events):
    retries = retry_budget.RetryBudget(ratio=0.25, burst=4)
    requests = permitted = 0
    for is_request in events:
        if is_request:
            requests += 1
            retries.on_request()
        else:
            permitted += retries.take()
        assert permitted <= 4 + requests * 0.25


def test_retry_is_permitted_again_after_enough_requests():
    retries = retry_budget.RetryBudget(ratio=0.25, burst=1)
    assert retries.take()
    assert not retries.take()
    for _ in range(4):
        retries.on_request()
    assert retries.take()


def test_quiet_hours_do_not_pay_for_a_burst_of_retries():
    retries = retry_budget.RetryBudget(ratio=0.25, burst=4)
    for _ in range(1000):
        retries.on_request()
    assert [retries.take() for _ in range(6)] == [True] * 4 + [False] * 2
