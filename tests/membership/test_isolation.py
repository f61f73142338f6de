"""Guards against callers that stay with a daemon that can't serve them."""

import pytest

from celeryrelay.membership import isolation


@pytest.mark.parametrize(
    ('store_lost_s', 'no_primary_s', 'expected'),
    [
        (None, None, False),
        (30, None, False),
        (None, 30, False),
        (0.2, 5, False),
        (5, 0.5, False),
        (5, 5, True),
    ],
)
def test_daemon_is_cut_off_only_from_store_and_primary_together(
    store_lost_s,
    no_primary_s,
    expected,
):
    facts = isolation.ConnectivityLoss(store_lost_s, no_primary_s)
    assert isolation.is_isolated(facts) is expected
