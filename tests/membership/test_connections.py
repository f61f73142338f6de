"""Guards against more connections than a server accepts."""

import hypothesis
from hypothesis import strategies

from celeryrelay.membership import connections


@hypothesis.given(strategies.integers(4, 200), strategies.integers(0, 60))
def test_shares_stay_within_the_limit(limit, members):
    share = connections.share(limit, members)
    assert share >= 1
    if members <= limit - connections.RESERVED:
        assert share * members <= limit - connections.RESERVED


def test_daemon_counts_for_a_while_after_its_registration():
    counted = connections.MemberCount()
    counted.on_seen('a')
    counted.on_seen('b')
    counted.on_removed('b', now=10)
    assert counted.counted(now=11) == 2
    assert counted.counted(now=10 + connections.LEFT_CONNECTIONS_S + 0.1) == 1
    counted.on_seen('b')
    assert counted.counted(now=11) == 2
    assert counted.names == {'a', 'b'}
