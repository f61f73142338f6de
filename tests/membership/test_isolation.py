"""Guards against callers that stay connected to an isolated daemon."""

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
def test_daemon_is_isolated_only_without_both_store_and_primary(
    store_lost_s,
    no_primary_s,
    expected,
):
    loss = isolation.ConnectivityLoss(store_lost_s, no_primary_s)
    assert isolation.is_isolated(loss) is expected
