"""Guards against acknowledging writes without a valid permission."""

import pytest

from celeryrelay.conf import sets, settings
from celeryrelay.core import outcomes
from celeryrelay.terms import term_records, write_permission

LOCAL = sets.Durability.local
REPLICATED = sets.Durability.replicated
OPEN = term_records.initial('g', 'a')
CLOSED = term_records.close_term(OPEN)
REOPENED = term_records.open_term(CLOSED, 'b', 5, 1)
UNCONFIRMED = write_permission.AckDenied(outcomes.Reason.unconfirmed)


def make_permissions(*observed, slots=3):
    permissions = write_permission.WritePermissions(
        settings.TermSettings(), slots
    )
    for record, sent_at in observed:
        permissions.observe(record, sent_at)
    return permissions


def answer(slot, term=1, applied=9, log_term=1, sent_at=100.0):
    return write_permission.Confirmation(slot, term, applied, log_term, sent_at)


@pytest.mark.parametrize('count', range(1, 10))
def test_promotion_and_confirmation_quorums_share_a_slot(count):
    promote = write_permission.promote_count(count)
    confirm = write_permission.confirm_count(count)
    assert promote + confirm == count + 1
    assert 1 <= promote <= confirm


def test_quorums_of_two_and_three_slots_are_as_documented():
    assert (
        write_permission.promote_count(3),
        write_permission.confirm_count(3),
    ) == (2, 2)
    assert (
        write_permission.promote_count(2),
        write_permission.confirm_count(2),
    ) == (1, 2)


def test_the_window_is_shortened_by_the_clock_rate_error():
    permissions = make_permissions((OPEN, 100))
    until = 100 + 0.6 * 0.99
    assert permissions.permission(100) == write_permission.AckWindow(
        1, 'a', pytest.approx(until)
    )
    assert permissions.permission(
        until
    ) == write_permission.ConfirmationRequired(1, 'a')


def test_nothing_is_permitted_without_a_record_or_with_a_closed_one():
    unknown = write_permission.SendRefused(outcomes.Reason.term_unknown)
    closed = write_permission.SendRefused(outcomes.Reason.term_closed)
    assert make_permissions().permission(0) == unknown
    assert (
        make_permissions((OPEN, 100), (CLOSED, 100.1)).permission(100.2)
        == closed
    )


def test_late_reads_do_not_restore_an_older_record():
    permissions = make_permissions((OPEN, 100), (CLOSED, 100.1), (OPEN, 100.2))
    assert permissions.record == CLOSED
    permissions.observe(REOPENED, 100.3)
    permissions.observe(CLOSED, 100.4)
    permissions.observe(OPEN, 100.5)
    assert permissions.record == REOPENED
    assert permissions.permission(100.4).until == pytest.approx(100.3 + 0.594)


def test_an_older_read_of_the_same_record_does_not_shorten_the_window():
    permissions = make_permissions((OPEN, 100), (OPEN, 99))
    assert permissions.permission(100).until == pytest.approx(100.594)


def test_local_writes_need_a_valid_window_of_their_own_term():
    permissions = make_permissions((OPEN, 100))
    window = write_permission.AckPermitted(pytest.approx(100.594))
    assert permissions.ack_permission(1, LOCAL, 100.5, (), 9) == window
    assert permissions.ack_permission(1, LOCAL, 100.6, (), 9) == UNCONFIRMED
    permissions.observe(REOPENED, 100.5)
    closed = write_permission.AckDenied(outcomes.Reason.term_closed)
    assert permissions.ack_permission(1, LOCAL, 100.5, (), 9) == closed


def test_replicated_writes_are_not_acknowledged_by_the_window():
    permissions = make_permissions((OPEN, 100))
    assert (
        permissions.ack_permission(1, REPLICATED, 100.1, (), 9) == UNCONFIRMED
    )
    behind = (answer('a'), answer('b', applied=8))
    assert (
        permissions.ack_permission(1, REPLICATED, 100.1, behind, 9)
        == UNCONFIRMED
    )
    held = (answer('a'), answer('b', applied=9))
    final = write_permission.AckPermitted(None)
    assert permissions.ack_permission(1, REPLICATED, 100.1, held, 9) == final


def test_a_replicated_write_stays_acknowledgeable_after_a_failover():
    permissions = make_permissions((REOPENED, 100))
    held = (answer('a'), answer('b'))
    final = write_permission.AckPermitted(None)
    assert permissions.ack_permission(1, REPLICATED, 200, held, 9) == final


def test_an_offset_of_an_older_term_does_not_confirm_a_position():
    # Slot a was raised to term 2 with entries of term 1 that were not
    # replicated, and doesn't follow the new primary yet.
    permissions = make_permissions((REOPENED, 100))
    answers = (
        answer('b', term=2, log_term=2),
        answer('a', term=2, log_term=1, applied=50),
    )
    assert (
        permissions.ack_permission(2, REPLICATED, 100.1, answers, 9)
        == UNCONFIRMED
    )


def test_one_slot_that_answers_twice_counts_once():
    permissions = make_permissions((OPEN, 0))
    twice = (answer('b'), answer('b', sent_at=100.05))
    for durability in (LOCAL, REPLICATED):
        assert (
            permissions.ack_permission(1, durability, 100.1, twice, 9)
            == UNCONFIRMED
        )


def test_slots_of_another_term_confirm_nothing():
    permissions = make_permissions((OPEN, 0))
    raised = (answer('a'), answer('b', term=2))
    for durability in (LOCAL, REPLICATED):
        assert (
            permissions.ack_permission(1, durability, 100.1, raised, 9)
            == UNCONFIRMED
        )


def test_slots_confirm_local_writes_for_a_limited_time():
    permissions = make_permissions((OPEN, 0))
    answers = (
        answer('a', sent_at=100.02),
        answer('b', applied=0, log_term=0, sent_at=100.01),
    )
    until = 100.01 + 0.594 / 4
    limited = write_permission.AckPermitted(pytest.approx(until))
    assert permissions.ack_permission(1, LOCAL, 100.1, answers, 9) == limited
    assert (
        permissions.ack_permission(1, LOCAL, until, answers, 9) == UNCONFIRMED
    )


def test_the_primary_counts_only_if_it_answered_after_the_commit():
    permissions = make_permissions((OPEN, 0))
    before = (answer('a', applied=8), answer('b', applied=0, log_term=0))
    assert permissions.ack_permission(1, LOCAL, 100.1, before, 9) == UNCONFIRMED
    alone = (answer('b', applied=0, log_term=0),)
    assert permissions.ack_permission(1, LOCAL, 100.1, alone, 9) == UNCONFIRMED


def test_two_slot_groups_need_both_slots_for_a_confirmation():
    permissions = make_permissions((OPEN, 0), slots=2)
    alone = (answer('a'),)
    assert (
        permissions.ack_permission(1, REPLICATED, 100.1, alone, 9)
        == UNCONFIRMED
    )
    both = (answer('a'), answer('b'))
    final = write_permission.AckPermitted(None)
    assert permissions.ack_permission(1, REPLICATED, 100.1, both, 9) == final
