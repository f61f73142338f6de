"""Guards against sending writes to a server that is no longer the primary."""

from celeryrelay.terms import primary_belief


def test_newest_information_wins():
    belief = primary_belief.PrimaryBelief()
    assert belief.on_registered('a', True, role_changed=False, now=1)
    assert belief.on_primary_confirmed('b', now=2)
    assert belief.server_id == 'b'
    assert not belief.on_not_primary('a')
    assert belief.server_id == 'b'
    assert belief.on_registered('c', True, role_changed=True, now=3)
    assert belief.server_id == 'c'
    assert belief.on_not_primary('c')
    assert not belief.server_id
    assert belief.current is None


def test_primary_that_registers_as_replica_is_no_longer_believed():
    belief = primary_belief.PrimaryBelief()
    belief.on_registered('a', True, role_changed=False, now=1)
    assert not belief.on_registered('b', False, role_changed=False, now=2)
    assert belief.on_registered('a', False, role_changed=True, now=2)
    assert not belief.server_id


def test_replaced_primary_that_registers_again_is_not_believed():
    """Guards against believing a replaced primary after a partition.

    Its first registration after the partition still has the role of primary.
    """
    belief = primary_belief.PrimaryBelief()
    belief.on_primary_confirmed('new', now=1)
    assert not belief.on_registered('old', True, role_changed=False, now=2)
    assert belief.server_id == 'new'
    belief.on_not_primary('new')
    assert belief.on_registered('old', True, role_changed=False, now=3)
