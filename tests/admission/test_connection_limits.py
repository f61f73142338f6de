"""Load: more connections than the process has descriptors for."""

import pytest

from celeryrelay.admission import connection_limits


@pytest.mark.parametrize('descriptors', [1, 8, 100, 228, 1000, 4100])
def test_reserved_descriptors_are_not_given_to_others(descriptors):
    budget = connection_limits.plan(descriptors)
    reserved = descriptors - budget.callers
    given = budget.links + 2 * budget.page
    assert budget.callers >= max(descriptors // 2, 1)
    assert given <= max(reserved / 2, 3)


def test_silent_connection_gives_way_to_a_new_one():
    limit = connection_limits.ConnectionLimit(2)
    limit.admit('session', 0)
    limit.keep('session')
    limit.admit('silent', 1)
    crowded_s = connection_limits.CROWDED_SILENCE_TIMEOUT_S
    early = limit.admit('early', 1 + crowded_s / 2)
    assert early == connection_limits.Refused()
    admitted = limit.admit('new', 1 + crowded_s)
    assert admitted == connection_limits.Admitted('silent')
    assert len(limit) == 2


def test_only_silent_connections_expire():
    limit = connection_limits.ConnectionLimit(3)
    for name in ('session', 'page', 'silent'):
        limit.admit(name, 0)
    limit.keep('session')
    limit.touch('page', 5)
    timeout_s = connection_limits.SILENCE_TIMEOUT_S
    assert list(limit.expired(timeout_s)) == ['silent']
    assert list(limit.expired(timeout_s + 5)) == ['silent', 'page']
    limit.discard('silent')
    limit.keep('silent')
    assert len(limit) == 2


def test_refused_connections_that_stay_open_hold_further_ones_off():
    """Guards against refused callers that take reserved descriptors."""
    limit = connection_limits.ConnectionLimit(1)
    for number in range(connection_limits.MAX_REFUSED_OPEN):
        assert not limit.is_crowded
        limit.linger(number)
    assert limit.is_crowded
    limit.discard(0)
    assert not limit.is_crowded
