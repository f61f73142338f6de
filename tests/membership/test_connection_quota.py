"""Guards against more connections than a server accepts."""

import hypothesis
from hypothesis import strategies

from celeryrelay.membership import connection_quota


@hypothesis.given(strategies.integers(4, 200), strategies.integers(0, 60))
def test_shares_stay_within_the_limit(limit, members):
    share = connection_quota.per_daemon(limit, members)
    assert share >= 1
    if members <= limit - connection_quota.RESERVED:
        assert share * members <= limit - connection_quota.RESERVED


def test_daemon_counts_for_a_while_after_its_registration():
    counted = connection_quota.MemberTracker()
    counted.on_registered('a')
    counted.on_registered('b')
    counted.on_removed('b', now=10)
    assert counted.effective_count(now=11) == 2
    assert (
        counted.effective_count(
            now=10 + connection_quota.LEFT_CONNECTIONS_S + 0.1
        )
        == 1
    )
    counted.on_registered('b')
    assert counted.effective_count(now=11) == 2
    assert counted.names == {'a', 'b'}
