"""Guards against two programs of a test that get the same port."""

from standins.kvstore import local_deployment


def test_ports_are_distinct():
    """Found in CI beside load: two daemons of one test were given one port.

    A port that was bound and closed again may be the next one as well.
    """
    ports = [local_deployment.free_port() for _ in range(40)]
    assert len(set(ports)) == len(ports)
    assert max(ports) < 32768
