"""Guards against quotas that exceed the connections a server accepts."""

import hypothesis
from hypothesis import strategies

from celeryrelay.membership import connection_quota


@hypothesis.given(strategies.integers(4, 200), strategies.integers(0, 60))
def test_quotas_stay_within_the_limit(limit, members):
    quota = connection_quota.per_daemon(limit, members)
    assert quota >= 1
    if members <= limit - connection_quota.RESERVED_CONNECTIONS:
        assert quota * members <= limit - connection_quota.RESERVED_CONNECTIONS


def test_daemon_counts_for_a_grace_period_after_its_registration():
    tracker = connection_quota.MemberTracker()
    tracker.on_registered('a')
    tracker.on_registered('b')
    tracker.on_removed('b', now=10)
    assert tracker.effective_count(now=11) == 2
    assert (
        tracker.effective_count(now=10 + connection_quota.REMOVED_GRACE_S + 0.1)
        == 1
    )
    tracker.on_registered('b')
    assert tracker.effective_count(now=11) == 2
    assert tracker.names == {'a', 'b'}
