"""Guards against more connections than a server accepts, and idle daemons."""

import collections

import pytest

from celeryrelay.core import rendezvous
from celeryrelay.membership import connection_plans, connection_quota

ZONES = ('a', 'b', 'c', 'd', 'e', 'f')


def make_fleet(size, capacity=lambda number: 1):
    return connection_plans.Fleet(
        connection_plans.Daemon(
            'front-{0}'.format(number),
            ZONES[number % len(ZONES)],
            capacity(number),
        )
        for number in range(size)
    )


@pytest.mark.parametrize('limit', [8, 22, 46, 104])
@pytest.mark.parametrize('size', [6, 12, 74, 300, 700])
def test_planned_connections_fit_the_limit(limit, size):
    fleet = make_fleet(size)
    planned = 0
    for zone in ZONES:
        plan = fleet.plan('s1', limit, size, zone)
        users = size / len(ZONES) if plan.is_direct else plan.holder_count
        planned += plan.limit * users
    # A zone needs one connection at the least.
    assert planned <= max(limit, len(ZONES))


def test_small_fleet_works_directly():
    plan = make_fleet(6).plan('s1', 22, 6, 'a')
    assert plan.is_direct
    assert plan.limit == connection_quota.per_daemon(22, 6)


def test_large_fleet_has_holders_in_each_zone_and_falls_back_on_all():
    fleet = make_fleet(72)
    plan = fleet.plan('s1', 46, 72, 'b')
    assert plan.holder_count == 2
    assert len(plan.ranked_daemons) == 12
    assert plan.holders == plan.ranked_daemons[:2]
    assert fleet.holders('s1', 46) > set(plan.holders)
    assert len(fleet.holders('s1', 46)) == 12


def test_daemon_without_registration_works_directly():
    """Guards against a daemon that the store turns away and that stops."""
    plan = make_fleet(6).plan('s1', 46, 74, 'unknown zone')
    assert plan.is_direct
    assert plan.limit == 1


def test_holders_change_little_when_a_daemon_leaves():
    """Guards against connections that all move when one daemon stops."""
    whole = make_fleet(72)
    less = make_fleet(71)
    moved = 0
    for number in range(100):
        server = 's{0}'.format(number)
        before = whole.holders(server, 46)
        moved += len(less.holders(server, 46) - before)
    assert moved < 100 * 12 * 0.05


def test_holders_follow_capacity():
    """Guards against small instances that hold as much as large ones."""
    capacities = {'large': 4.0, 'small-1': 1.0, 'small-2': 1.0}
    first = collections.Counter(
        rendezvous.by_capacity('s{0}'.format(number), capacities)[0]
        for number in range(3000)
    )
    assert 1800 < first['large'] < 2200
