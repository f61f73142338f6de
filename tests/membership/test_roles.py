"""Guards against roles in a wrong zone and needless reassignments."""

import itertools

from celeryrelay.core import identity
from celeryrelay.membership import roles

ZONES = ('z1', 'z2', 'z3')
MEMBERS = tuple(
    identity.Identity('10.0.{0}.{1}:1'.format(zone, number), zone, 'x')
    for zone in ZONES
    for number in range(5)
)
GROUPS = tuple('g{0}'.format(number) for number in range(60))


def zones_of(selected):
    return [member.availability_zone for member in selected]


def test_roles_are_selected_in_their_zones():
    for group in GROUPS:
        assert zones_of(roles.holders(group, 'a', 'z2', MEMBERS)) == ['z2'] * 2
        assert sorted(zones_of(roles.observers(group, 'z2', MEMBERS))) == [
            'z1',
            'z3',
        ]
        promoters = roles.promoters(group, MEMBERS)
        assert len(set(promoters)) == 3
        assert set(promoters) <= set(roles.all_relays(MEMBERS))
    assert zones_of(roles.relays('z3', MEMBERS)) == ['z3'] * 2


def test_a_zone_without_daemons_is_served_by_other_zones():
    assert len(set(roles.holders('g', 'a', 'z9', MEMBERS))) == 2
    assert roles.relays('z9', MEMBERS) == ()
    assert len(roles.observers('g', 'z1', MEMBERS[:1])) == 0
    assert roles.holders('g', 'a', 'z1', ()) == ()


def test_work_is_spread_over_the_daemons_of_a_zone():
    counts = {}
    for group, slot in itertools.product(GROUPS, 'abc'):
        for holder in roles.holders(group, slot, 'z1', MEMBERS):
            counts[holder] = counts.get(holder, 0) + 1
    # 360 roles over 5 daemons: 72 are expected for each.
    assert len(counts) == 5
    assert min(counts.values()) > 45


def test_only_the_roles_of_a_lost_daemon_are_reassigned():
    lost = MEMBERS[0]
    rest = MEMBERS[1:]
    for group in GROUPS:
        before = roles.holders(group, 'a', 'z1', MEMBERS)
        after = roles.holders(group, 'a', 'z1', rest)
        if lost in before:
            assert set(before) - {lost} < set(after)
        else:
            assert before == after


def test_a_restart_on_the_same_address_keeps_the_roles():
    restarted = tuple(
        identity.Identity(member.instance, member.availability_zone, 'y')
        for member in reversed(MEMBERS)
    )
    for group in GROUPS:
        assert [one.instance for one in roles.promoters(group, MEMBERS)] == [
            one.instance for one in roles.promoters(group, restarted)
        ]
