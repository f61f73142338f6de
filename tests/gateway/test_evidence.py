"""Guards against evidence that comes late, or blames a living primary."""

from celeryrelay.gateway import evidence as evidences


def test_command_without_a_reply_and_a_failed_probe_are_two_failures():
    """Found on days with a dark primary: two probes took 0.3 s longer."""
    evidence = evidences.Evidence()
    evidence.on_suspected(10.0)
    evidence.on_suspected(10.2)
    evidence.on_failed('s1', 10.4)
    assert evidence.failing_since == 10.0
    assert evidence.failures == 2


def test_proof_clears_all_suspicion():
    evidence = evidences.Evidence()
    evidence.on_suspected(10.0)
    evidence.on_proved(10.2)
    evidence.on_failed('s1', 11.0)
    assert evidence.failing_since == 11.0
    assert evidence.failures == 1


def test_failure_of_another_server_starts_anew():
    evidence = evidences.Evidence()
    evidence.on_failed('s1', 10.0)
    evidence.on_failed('s1', 10.3)
    evidence.on_failed('s2', 11.0)
    assert (evidence.failing_since, evidence.failures) == (11.0, 1)
