"""Guards against primaries that stay dead, and living ones that are replaced."""

import dataclasses

import pytest

from celeryrelay.terms import primary_replacement

DEAD = primary_replacement.Facts(
    failing_s=0.5,
    failures=3,
    complaints=3,
    members=6,
)


def decide(**changes):
    return primary_replacement.decide(dataclasses.replace(DEAD, **changes))


def test_primary_that_half_of_the_daemons_miss_is_replaced():
    assert decide() is primary_replacement.Decision.replace
    assert decide(complaints=2) is primary_replacement.Decision.replace


@pytest.mark.parametrize(
    'changes',
    [
        {'failing_s': None, 'failures': 0},
        {'failing_s': 0.1},
        {'failures': 1},
        {'complaints': 1},
        {'turn': 1},
        {'own_order_s': 1.0},
        {'other_order_s': 3.0},
    ],
    ids=lambda changes: ','.join(changes),
)
def test_primary_stays_without_enough_evidence(changes):
    assert decide(**changes) is primary_replacement.Decision.wait


def test_next_daemon_takes_over_when_the_first_does_not_order():
    """Guards against a first daemon that the store turns away."""
    later_s = (
        primary_replacement.MIN_FAILING_S + primary_replacement.TURN_DELAY_S
    )
    assert (
        decide(turn=1, failing_s=later_s)
        is primary_replacement.Decision.replace
    )


def test_primary_whose_registration_ended_needs_no_other_witness():
    assert decide(complaints=0, registered=False) is (
        primary_replacement.Decision.replace
    )


def test_single_daemon_decides_alone():
    assert (
        decide(complaints=0, members=1) is primary_replacement.Decision.replace
    )


def test_leaving_primary_is_handed_over_in_turn():
    leaving = primary_replacement.Facts(draining_s=0.1, members=6)
    assert (
        primary_replacement.decide(leaving)
        is primary_replacement.Decision.hand_over
    )
    second = dataclasses.replace(leaving, turn=1)
    assert (
        primary_replacement.decide(second) is primary_replacement.Decision.wait
    )
    late = dataclasses.replace(
        second, draining_s=primary_replacement.TURN_DELAY_S
    )
    assert (
        primary_replacement.decide(late)
        is primary_replacement.Decision.hand_over
    )


def test_complaint_needs_two_failures_unless_it_confirms_another():
    """Guards against failovers that wait for each daemon's own two probes."""
    first = dataclasses.replace(DEAD, complaints=0, failures=1, failing_s=0.1)
    assert not primary_replacement.should_complain(first)
    confirming = dataclasses.replace(first, complaints=1)
    assert primary_replacement.should_complain(confirming)
    healthy = dataclasses.replace(confirming, failing_s=None, failures=0)
    assert not primary_replacement.should_complain(healthy)


def test_daemon_without_own_connections_neither_complains_nor_decides():
    """Guards against a quorum of daemons that learn from the same holder."""
    other = dataclasses.replace(DEAD, is_voter=False)
    assert not primary_replacement.should_complain(other)
    assert (
        primary_replacement.decide(other) is primary_replacement.Decision.wait
    )
