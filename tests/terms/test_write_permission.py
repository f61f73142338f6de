"""Guards against acknowledgements without a valid permission."""

import pytest

from celeryrelay.conf import sets, settings
from celeryrelay.core import outcomes
from celeryrelay.terms import records, write_permission

LOCAL = sets.Durability.local
REPLICATED = sets.Durability.replicated
OPEN = records.initial('g', 'a')
CLOSED = records.close_term(OPEN)
REOPENED = records.open_term(CLOSED, 'b', 5, 1)
UNCONFIRMED = write_permission.AckDenied(outcomes.Reason.unconfirmed)


def make(*observed, slots=3):
    made = write_permission.WritePermissions(settings.TermSettings(), slots)
    for record, sent_at in observed:
        made.observe(record, sent_at)
    return made


def answer(slot, term=1, applied=9, log_term=1, sent_at=100.0):
    return write_permission.Confirmation(slot, term, applied, log_term, sent_at)


@pytest.mark.parametrize('count', range(1, 10))
def test_promotion_and_confirmation_share_a_slot(count):
    promote = write_permission.promote_count(count)
    confirm = write_permission.confirm_count(count)
    assert promote + confirm == count + 1
    assert 1 <= promote <= confirm


def test_two_and_three_slots_as_documented():
    assert (
        write_permission.promote_count(3),
        write_permission.confirm_count(3),
    ) == (2, 2)
    assert (
        write_permission.promote_count(2),
        write_permission.confirm_count(2),
    ) == (1, 2)


def test_the_window_is_shortened_by_the_clock_error():
    made = make((OPEN, 100))
    until = 100 + 0.6 * 0.99
    assert made.permission(100) == write_permission.AckWindow(
        1, 'a', pytest.approx(until)
    )
    assert made.permission(until) == write_permission.ConfirmationRequired(
        1, 'a'
    )


def test_nothing_is_permitted_without_a_record_or_with_a_closed_one():
    unknown = write_permission.SendRefused(outcomes.Reason.term_unknown)
    closed = write_permission.SendRefused(outcomes.Reason.term_closed)
    assert make().permission(0) == unknown
    assert make((OPEN, 100), (CLOSED, 100.1)).permission(100.2) == closed


def test_late_readings_never_bring_an_older_state_back():
    made = make((OPEN, 100), (CLOSED, 100.1), (OPEN, 100.2))
    assert made.record == CLOSED
    made.observe(REOPENED, 100.3)
    made.observe(CLOSED, 100.4)
    made.observe(OPEN, 100.5)
    assert made.record == REOPENED
    assert made.permission(100.4).until == pytest.approx(100.3 + 0.594)


def test_an_older_reading_of_the_same_state_does_not_shorten_the_window():
    made = make((OPEN, 100), (OPEN, 99))
    assert made.permission(100).until == pytest.approx(100.594)


def test_local_writes_need_an_open_window_of_their_own_term():
    made = make((OPEN, 100))
    window = write_permission.AckPermitted(pytest.approx(100.594))
    assert made.ack_permission(1, LOCAL, 100.5, (), 9) == window
    assert made.ack_permission(1, LOCAL, 100.6, (), 9) == UNCONFIRMED
    made.observe(REOPENED, 100.5)
    closed = write_permission.AckDenied(outcomes.Reason.term_closed)
    assert made.ack_permission(1, LOCAL, 100.5, (), 9) == closed


def test_replicated_writes_are_not_acknowledged_by_the_window():
    made = make((OPEN, 100))
    assert made.ack_permission(1, REPLICATED, 100.1, (), 9) == UNCONFIRMED
    behind = (answer('a'), answer('b', applied=8))
    assert made.ack_permission(1, REPLICATED, 100.1, behind, 9) == UNCONFIRMED
    held = (answer('a'), answer('b', applied=9))
    final = write_permission.AckPermitted(None)
    assert made.ack_permission(1, REPLICATED, 100.1, held, 9) == final


def test_a_replicated_acknowledgement_stays_true_after_a_failover():
    made = make((REOPENED, 100))
    held = (answer('a'), answer('b'))
    final = write_permission.AckPermitted(None)
    assert made.ack_permission(1, REPLICATED, 200, held, 9) == final


def test_an_offset_of_an_older_term_does_not_confirm_a_position():
    # The slot was raised to term 2 with unreplicated entries of term 1 and
    # does not follow the new primary yet.
    made = make((REOPENED, 100))
    answers = (
        answer('b', term=2, log_term=2),
        answer('a', term=2, log_term=1, applied=50),
    )
    assert made.ack_permission(2, REPLICATED, 100.1, answers, 9) == UNCONFIRMED


def test_one_slot_that_answers_twice_counts_once():
    made = make((OPEN, 0))
    twice = (answer('b'), answer('b', sent_at=100.05))
    for durability in (LOCAL, REPLICATED):
        assert (
            made.ack_permission(1, durability, 100.1, twice, 9) == UNCONFIRMED
        )


def test_slots_of_another_term_confirm_nothing():
    made = make((OPEN, 0))
    raised = (answer('a'), answer('b', term=2))
    for durability in (LOCAL, REPLICATED):
        assert (
            made.ack_permission(1, durability, 100.1, raised, 9) == UNCONFIRMED
        )


def test_slots_confirm_local_writes_for_a_limited_time():
    made = make((OPEN, 0))
    answers = (
        answer('a', sent_at=100.02),
        answer('b', applied=0, log_term=0, sent_at=100.01),
    )
    until = 100.01 + 0.594 / 4
    limited = write_permission.AckPermitted(pytest.approx(until))
    assert made.ack_permission(1, LOCAL, 100.1, answers, 9) == limited
    assert made.ack_permission(1, LOCAL, until, answers, 9) == UNCONFIRMED


def test_the_primary_counts_only_if_it_answered_after_the_commit():
    made = make((OPEN, 0))
    before = (answer('a', applied=8), answer('b', applied=0, log_term=0))
    assert made.ack_permission(1, LOCAL, 100.1, before, 9) == UNCONFIRMED
    alone = (answer('b', applied=0, log_term=0),)
    assert made.ack_permission(1, LOCAL, 100.1, alone, 9) == UNCONFIRMED


def test_two_slot_groups_need_both_slots_for_a_confirmation():
    made = make((OPEN, 0), slots=2)
    alone = (answer('a'),)
    assert made.ack_permission(1, REPLICATED, 100.1, alone, 9) == UNCONFIRMED
    both = (answer('a'), answer('b'))
    final = write_permission.AckPermitted(None)
    assert made.ack_permission(1, REPLICATED, 100.1, both, 9) == final
