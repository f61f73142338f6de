"""Guards against writes that go to a server that no longer leads."""

from celeryrelay.terms import leadership


def test_newest_information_wins():
    belief = leadership.Leadership()
    assert belief.on_registered('a', leads=True, now=1)
    assert belief.on_proved('b', now=2)
    assert belief.server_id == 'b'
    assert not belief.on_denied('a')
    assert belief.server_id == 'b'
    assert belief.on_registered('c', leads=True, now=3)
    assert belief.server_id == 'c'
    assert belief.on_denied('c')
    assert not belief.server_id
    assert belief.belief is None


def test_primary_that_registers_as_replica_is_given_up():
    belief = leadership.Leadership()
    belief.on_registered('a', leads=True, now=1)
    assert not belief.on_registered('b', leads=False, now=2)
    assert belief.on_registered('a', leads=False, now=2)
    assert not belief.server_id
