"""Tests for the allocation of ports to the programs of a test."""

from standins.kvstore import local_deployment


def test_ports_are_distinct():
    """Guards against two daemons of one test that get the same port.

    This happened in CI under load: the kernel may choose a port again as soon
    as the socket that was bound to it is closed.
    """
    ports = [local_deployment.free_port() for _ in range(40)]
    assert len(set(ports)) == len(ports)
    assert max(ports) < 32768
