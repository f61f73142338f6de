"""Guards against health that comes late, or blames a living primary."""

from celeryrelay.gateway import primary_health


def test_command_without_a_reply_and_a_failed_probe_are_two_failures():
    """Found on days with a dark primary: two probes took 0.3 s longer."""
    health = primary_health.PrimaryHealth()
    health.on_reply_overdue(10.0)
    health.on_reply_overdue(10.2)
    health.on_unreachable('s1', 10.4)
    assert health.failing_since == 10.0
    assert health.failures == 2


def test_proof_clears_all_suspicion():
    health = primary_health.PrimaryHealth()
    health.on_reply_overdue(10.0)
    health.on_confirmed(10.2)
    health.on_unreachable('s1', 11.0)
    assert health.failing_since == 11.0
    assert health.failures == 1


def test_failure_of_another_server_starts_anew():
    health = primary_health.PrimaryHealth()
    health.on_unreachable('s1', 10.0)
    health.on_unreachable('s1', 10.3)
    health.on_unreachable('s2', 11.0)
    assert (health.failing_since, health.failures) == (11.0, 1)
