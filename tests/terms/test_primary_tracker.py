"""Guards against writes that go to a server that no longer leads."""

from celeryrelay.terms import primary_tracker


def test_newest_information_wins():
    tracker = primary_tracker.PrimaryTracker()
    assert tracker.on_registered('a', True, role_changed=False, now=1)
    assert tracker.on_proved('b', now=2)
    assert tracker.server_id == 'b'
    assert not tracker.on_not_primary('a')
    assert tracker.server_id == 'b'
    assert tracker.on_registered('c', True, role_changed=True, now=3)
    assert tracker.server_id == 'c'
    assert tracker.on_not_primary('c')
    assert not tracker.server_id
    assert tracker.presumed is None


def test_primary_that_registers_as_replica_is_given_up():
    tracker = primary_tracker.PrimaryTracker()
    tracker.on_registered('a', True, role_changed=False, now=1)
    assert not tracker.on_registered('b', False, role_changed=False, now=2)
    assert tracker.on_registered('a', False, role_changed=True, now=2)
    assert not tracker.server_id


def test_replaced_primary_that_registers_again_is_not_believed():
    """Guards against a primary that returns from behind a partition.

    Its first registration after that still says that it leads.
    """
    tracker = primary_tracker.PrimaryTracker()
    tracker.on_proved('new', now=1)
    assert not tracker.on_registered('old', True, role_changed=False, now=2)
    assert tracker.server_id == 'new'
    tracker.on_not_primary('new')
    assert tracker.on_registered('old', True, role_changed=False, now=3)
