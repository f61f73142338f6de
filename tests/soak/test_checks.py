"""Guards against a soak that does not see a broken promise."""

import time

import pytest

from standins.kvstore import service
from standins.linedb import group as groups
from standins.soak import callers, checks, plan


@pytest.fixture
def group():
    return groups.Group('ledger', ('a', 'b', 'c'))


@pytest.fixture
def user():
    return callers.Caller(1, [], 1)


def commit(group, user, code='', number=None):
    """Commit a write of `user` whose caller was told `code`."""
    place = len(user.writes) if number is None else number
    write = callers.Write(f'r1x{place}', f'v{place}', code, time.monotonic())
    user.writes.append(write)
    group.commit([(user.item, write.content, write.request_id)])
    return write


def read(user, content):
    found = callers.Read('r1x99', content, time.monotonic(), len(user.writes))
    user.reads.append(found)


def broken(group, user, orders=()):
    return ' / '.join(checks.violations(group, [user], orders))


def test_kept_promises_are_no_violations(group, user):
    commit(group, user)
    commit(group, user, 'INDOUBT')
    user.writes.append(callers.Write('r1x7', 'v7', 'BUSY', time.monotonic()))
    read(user, 'v1')
    assert broken(group, user) == ''


def test_write_that_took_effect_twice_is_seen(group, user):
    commit(group, user)
    group.commit([(user.item, 'v0', 'r1x0')])
    assert 'took effect 2 times' in broken(group, user)


@pytest.mark.parametrize('code', sorted(callers.PROMISES))
def test_refused_write_that_took_effect_is_seen(group, user, code):
    commit(group, user, code)
    assert 'was refused' in broken(group, user)


def test_acknowledged_write_without_effect_is_seen(group, user):
    user.writes.append(callers.Write('r1x0', 'v0', '', time.monotonic()))
    assert 'without effect' in broken(group, user)


def test_changed_and_unasked_writes_are_seen(group, user):
    commit(group, user).content = 'other'
    group.commit([('x', 'y', 'nobody')])
    assert 'wrote' in broken(group, user)
    assert 'never sent' in broken(group, user)


def test_old_read_at_a_primary_is_seen(group, user):
    commit(group, user)
    commit(group, user)
    read(user, 'v0')
    assert 'older than' in broken(group, user)


def test_variables_of_another_session_are_seen(group, user):
    write = commit(group, user)
    group.executed.append(
        groups.ExecutedStatement(
            's1', write.request_id, '', {'caller': 'c2'}, False
        ),
    )
    assert 'ran with' in broken(group, user)


def test_token_of_two_daemons_is_seen(group, user):
    orders = [
        service.PromotionOrder('ledger', 's1', holder, 7, 200)
        for holder in 'ab'
    ]
    assert 'two daemons' in broken(group, user, orders)


def test_plans_repeat_and_differ_by_seed():
    assert plan.draw(5, 8) == plan.draw(5, 8)
    assert plan.draw(5, 8) != plan.draw(6, 8)
    kinds = {
        fault.kind for seed in range(60) for fault in plan.draw(seed, 8).faults
    }
    assert kinds == set(plan.Kind)
