"""Guards against assigning roles to dead, leaving or replaced daemons."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from celeryrelay.conf import settings as conf
from celeryrelay.core import identity
from celeryrelay.membership import view

CONTROL = conf.ControlSettings()
OWN = identity.Identity('10.0.0.1:1', 'z1', 'own')
OLD = identity.Identity('10.0.0.2:1', 'z1', 'old')
NEW = identity.Identity('10.0.0.2:1', 'z1', 'new')


def new_view(own_identity=OWN):
    return view.LiveView(CONTROL, own_identity)


def listed(address, state='live', kind='entry'):
    return view.ListedInstance(
        address,
        address,
        'z1',
        view.InstanceKind(kind),
        view.InstanceState(state),
    )


def test_silent_daemons_are_suspected_and_unlisted_ones_removed():
    live_view = new_view()
    live_view.on_heartbeat(OLD, 10)
    live_view.on_instance_list([listed(OWN.instance)], 11)
    assert live_view.live(11.49) == (OWN, OLD)
    assert live_view.live(11.5) == (OWN,)
    assert live_view.members(11.5)[1].state == view.MemberState.suspected
    live_view.on_instance_list([listed(OLD.instance)], 12)
    assert len(live_view.members(12)) == 2
    live_view.on_instance_list([], 12)
    assert len(live_view.members(12)) == 1


def test_leaving_state_on_the_list_overrides_heartbeats():
    live_view = new_view()
    live_view.on_instance_list([listed(OLD.instance, 'leaving')], 0)
    live_view.on_heartbeat(OLD, 0)
    assert live_view.live(0) == (OWN,)
    # The instance is removed from the list while its daemon still runs.
    live_view.on_instance_list([], 0.1)
    assert live_view.live(0.1) == (OWN,)
    live_view.on_instance_list([listed(OLD.instance)], 0.2)
    assert live_view.live(0.2) == (OWN, OLD)


def test_a_daemon_that_announces_its_stop_is_not_live():
    live_view = new_view()
    live_view.on_heartbeat(OLD, 1, leaving=True)
    live_view.on_instance_list([listed(OLD.instance)], 1)
    assert live_view.live(1) == (OWN,)
    other = new_view(identity.Identity('10.0.0.3:1', 'z1', 'third'))
    other.on_digest(live_view.digest(1), 1)
    assert [member.instance for member in other.live(1)] == [
        OWN.instance,
        '10.0.0.3:1',
    ]


@pytest.mark.parametrize('by_list', [True, False])
def test_the_own_daemon_is_not_live_when_it_stops(by_list):
    live_view = new_view()
    if by_list:
        live_view.on_instance_list([listed(OWN.instance, 'leaving')], 0)
    else:
        live_view.drain()
    assert live_view.live(0) == ()
    assert live_view.digest(0)[0].leaving


def test_leaving_backend_servers_stay_so_until_listed_as_live():
    live_view = new_view()
    live_view.on_instance_list(
        [listed('10.1.0.1:3306', 'leaving', 'database')], 0
    )
    live_view.on_instance_list([], 1)
    assert live_view.leaving_server_addresses() == {'10.1.0.1:3306'}
    live_view.on_instance_list([listed('10.1.0.1:3306', 'live', 'database')], 2)
    assert live_view.leaving_server_addresses() == frozenset()


def test_a_replaced_incarnation_never_returns():
    live_view = new_view()
    assert live_view.on_heartbeat(OLD, 1)
    assert live_view.on_heartbeat(NEW, 2)
    assert not live_view.on_heartbeat(OLD, 3)
    live_view.on_digest([view.DigestEntry(OLD, 0)], 100)
    assert NEW in [member.identity for member in live_view.members(3)]
    assert live_view.live(3) == (OWN, NEW)


def test_a_late_digest_does_not_replace_a_new_incarnation():
    # This daemon does not know the previous incarnation, whose heartbeat was
    # relayed by two requests and took up to their deadlines to arrive.
    live_view = new_view()
    live_view.on_heartbeat(NEW, 2)
    live_view.on_digest([view.DigestEntry(OLD, 0)], 2.8)
    assert live_view.live(2.8) == (OWN, NEW)
    live_view.on_digest([view.DigestEntry(OLD, 0)], 3.6)
    assert live_view.live(3.6) == (OWN, OLD)


def test_older_heartbeats_change_nothing():
    live_view = new_view()
    live_view.on_heartbeat(OLD, 2, leaving=True)
    live_view.on_digest([view.DigestEntry(OLD, 1400)], 2)
    assert live_view.members(2)[1].state == view.MemberState.leaving
    live_view.on_heartbeat(OLD, 3)
    live_view.on_digest([view.DigestEntry(OLD, 1400)], 3)
    assert live_view.live(4) == (OWN, OLD)


def test_another_process_on_the_own_address_is_refused():
    live_view = new_view()
    twin = identity.Identity(OWN.instance, 'z1', 'twin')
    assert not live_view.on_heartbeat(twin, 1)
    live_view.on_digest([view.DigestEntry(twin, 0)], 1)
    assert live_view.live(1) == (OWN,)


def test_a_fingerprint_refreshes_an_unchanged_view():
    relay = new_view()
    daemon = new_view(OLD)
    relay.on_heartbeat(OLD, 1)
    daemon.on_digest(relay.digest(1), 1)
    for step in range(1, 30):
        now = 1 + step / 10
        relay.on_heartbeat(OLD, now)
        assert daemon.on_fingerprint(
            relay.fingerprint(now),
            relay.oldest_age_ms(now),
            now,
        )
    assert daemon.live(4) == (OWN, OLD)
    relay.on_heartbeat(identity.Identity('10.0.0.9:1', 'z1', 'x'), 4)
    assert not daemon.on_fingerprint(relay.fingerprint(4), 0, 4)


def test_a_fingerprint_changes_with_everything_that_moves_roles():
    live_view = new_view()
    seen = [live_view.fingerprint(0)]
    live_view.on_heartbeat(OLD, 1)
    seen.append(live_view.fingerprint(1))
    live_view.on_instance_list([listed(OLD.instance, 'leaving')], 1)
    seen.append(live_view.fingerprint(1))
    live_view.on_heartbeat(NEW, 2)
    live_view.on_instance_list([listed(OLD.instance)], 2)
    seen.append(live_view.fingerprint(2))
    live_view.drain()
    seen.append(live_view.fingerprint(2))
    assert len(set(seen)) == 5
    silent = live_view.fingerprint(9)
    assert silent not in seen
    live_view.on_heartbeat(NEW, 10)
    assert live_view.fingerprint(10) == seen[-1]


EVENTS = st.lists(
    st.tuples(
        st.sampled_from(['beat', 'restart', 'stop', 'pass', 'confirm']),
        st.integers(0, 3),
        st.integers(0, 3),
        st.integers(1, 9),
    ),
    min_size=20,
    max_size=60,
)


@settings(derandomize=True, max_examples=200, deadline=None)
@given(EVENTS)
def test_heartbeats_in_any_order_agree_with_the_processes(events):
    """Compares views with the true state of the processes.

    A stopped process stays live for at most `suspect_after_ms`, whatever the
    views relay to each other, and a replaced incarnation never returns.
    """
    now = 0.0
    starts = [0] * 4
    heard = {}

    def identity_of(number):
        return identity.Identity(
            '10.0.0.{0}:1'.format(number),
            'z1',
            'i{0}'.format(starts[number]),
        )

    identities = [
        identity.Identity('10.1.0.{0}:1'.format(number), 'z1', 'own')
        for number in range(4)
    ]
    views = [new_view(one) for one in identities]
    newest = [{} for _ in views]
    stopped = set()
    for kind, first, second, sixteenths in events:
        # Multiples of 1/16 s are exact floats, so ages compare exactly.
        now += sixteenths / 16
        if kind == 'restart':
            starts[first] += 1
            stopped.discard(first)
        if kind == 'stop':
            stopped.add(first)
        if kind in {'restart', 'beat'} and first not in stopped:
            heard[identity_of(first)] = now
            views[second].on_heartbeat(identity_of(first), now)
        if kind == 'pass':
            views[second].on_digest(views[first].digest(now), now)
        if kind == 'confirm':
            views[second].on_fingerprint(
                views[first].fingerprint(now),
                views[first].oldest_age_ms(now),
                now,
            )
        for number, one in enumerate(views):
            for member in one.members(now):
                if member.identity in identities:
                    continue
                instance = member.identity.instance
                start = int(member.identity.incarnation[1:])
                assert start >= newest[number].get(instance, 0)
                newest[number][instance] = start
                if member.state == view.MemberState.live:
                    assert now - heard[member.identity] < 1.5
