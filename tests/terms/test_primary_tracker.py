"""Guards against writes that go to a server that no longer leads."""

from celeryrelay.terms import primary_tracker


def test_newest_information_wins():
    belief = primary_tracker.Leadership()
    assert belief.on_registered('a', True, is_change=False, now=1)
    assert belief.on_proved('b', now=2)
    assert belief.server_id == 'b'
    assert not belief.on_denied('a')
    assert belief.server_id == 'b'
    assert belief.on_registered('c', True, is_change=True, now=3)
    assert belief.server_id == 'c'
    assert belief.on_denied('c')
    assert not belief.server_id
    assert belief.belief is None


def test_primary_that_registers_as_replica_is_given_up():
    belief = primary_tracker.Leadership()
    belief.on_registered('a', True, is_change=False, now=1)
    assert not belief.on_registered('b', False, is_change=False, now=2)
    assert belief.on_registered('a', False, is_change=True, now=2)
    assert not belief.server_id


def test_replaced_primary_that_registers_again_is_not_believed():
    """Guards against a primary that returns from behind a partition.

    Its first registration after that still says that it leads.
    """
    belief = primary_tracker.Leadership()
    belief.on_proved('new', now=1)
    assert not belief.on_registered('old', True, is_change=False, now=2)
    assert belief.server_id == 'new'
    belief.on_denied('new')
    assert belief.on_registered('old', True, is_change=False, now=3)
