"""Guards against primaries that stay dead, and living ones that are replaced."""

import dataclasses

import pytest

from celeryrelay.terms import replacement

DEAD = replacement.Facts(
    failing_s=0.5,
    failures=3,
    complaints=3,
    members=6,
)


def decide(**changes):
    return replacement.decide(dataclasses.replace(DEAD, **changes))


def test_primary_that_half_of_the_daemons_miss_is_replaced():
    assert decide() is replacement.Decision.replace
    assert decide(complaints=2) is replacement.Decision.replace


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
    assert decide(**changes) is replacement.Decision.wait


def test_next_daemon_takes_over_when_the_first_does_not_order():
    """Guards against a first daemon that the store turns away."""
    later_s = replacement.FAILING_S + replacement.TURN_S
    assert decide(turn=1, failing_s=later_s) is replacement.Decision.replace


def test_primary_whose_registration_ended_needs_no_other_witness():
    assert decide(complaints=0, registered=False) is (
        replacement.Decision.replace
    )


def test_single_daemon_decides_alone():
    assert decide(complaints=0, members=1) is replacement.Decision.replace


def test_leaving_primary_is_handed_over_in_turn():
    leaving = replacement.Facts(draining_s=0.1, members=6)
    assert replacement.decide(leaving) is replacement.Decision.hand_over
    second = dataclasses.replace(leaving, turn=1)
    assert replacement.decide(second) is replacement.Decision.wait
    late = dataclasses.replace(second, draining_s=replacement.TURN_S)
    assert replacement.decide(late) is replacement.Decision.hand_over


def test_complaint_needs_two_failures_unless_it_confirms_another():
    """Guards against failovers that wait for each daemon's own two probes."""
    first = dataclasses.replace(DEAD, complaints=0, failures=1, failing_s=0.1)
    assert not replacement.is_worth_a_complaint(first)
    confirming = dataclasses.replace(first, complaints=1)
    assert replacement.is_worth_a_complaint(confirming)
    healthy = dataclasses.replace(confirming, failing_s=None, failures=0)
    assert not replacement.is_worth_a_complaint(healthy)


def test_daemon_without_own_connections_neither_complains_nor_decides():
    """Guards against a quorum of daemons that learn from the same holder."""
    other = dataclasses.replace(DEAD, is_witness=False)
    assert not replacement.is_worth_a_complaint(other)
    assert replacement.decide(other) is replacement.Decision.wait
