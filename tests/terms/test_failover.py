"""Guards against wrong steps of one failover."""

import pytest

from celeryrelay.conf import settings
from celeryrelay.terms import failover, failover_messages, records

OPEN = records.initial('g', 'a')
CLOSED = records.close_term(OPEN)
TWICE = records.close_term(CLOSED)
WAIT_S = 0.606
RAISES = tuple(failover_messages.RaiseTerm(name, 2) for name in 'abc')


class Run:
    def __init__(self, slots='abc'):
        self.machine = failover.FailoverStateMachine(
            settings.TermSettings(), slots
        )

    def __call__(self, event, now):
        return self.machine.handle(event, now)

    def start(self, record=OPEN, seen_at=0):
        return self(failover_messages.Start(record, 1, seen_at), 0)

    def close(self, now=0.1):
        self.start()
        return self(failover_messages.SwapStored(CLOSED, 2), now)

    def raise_slot(self, slot, applied, now, log_term=1, term=2):
        return self(
            failover_messages.RaiseTermAnswered(slot, term, log_term, applied),
            now,
        )


def tick(run, now):
    return run(failover_messages.Tick(), now)


def test_a_failover_runs_through_all_steps():
    run = Run()
    assert run.start() == (failover_messages.SwapRecord(CLOSED, 1),)
    assert run(failover_messages.SwapStored(CLOSED, 2), 0.1) == RAISES
    assert not run.raise_slot('b', 10, 0.11)
    assert not run.raise_slot('c', 11, 0.15)
    assert not tick(run, 0.1 + WAIT_S - 0.01)
    promote = (failover_messages.PromoteSlot('c', 2),)
    assert tick(run, 0.1 + WAIT_S + 0.01) == promote
    opened = records.open_term(CLOSED, 'c', 11, 1)
    assert run(failover_messages.PromoteAnswered('c', 2, 11), 0.75) == (
        failover_messages.SwapRecord(opened, 2),
        failover_messages.FollowPrimary('a', 2, 'c'),
        failover_messages.FollowPrimary('b', 2, 'c'),
    )
    run(failover_messages.FollowAnswered('b', 2), 0.76)
    (finished,) = run(failover_messages.SwapStored(opened, 3), 0.8)
    split = finished.durations
    assert (finished.record, finished.not_following) == (opened, ('a',))
    assert split.closing == pytest.approx(100)
    assert split.raising == pytest.approx(50)
    assert split.waiting == pytest.approx(616)
    assert split.promoting + split.opening == pytest.approx(84)


def test_the_wait_ends_early_only_by_the_old_primary():
    run = Run()
    run.close()
    run.raise_slot('b', 10, 0.11)
    assert not run.raise_slot('c', 10, 0.12)
    # The old primary holds a write that the others don't have.
    assert run.raise_slot('a', 11, 0.13) == (
        failover_messages.PromoteSlot('a', 2),
    )


def test_among_equals_the_old_primary_is_not_chosen():
    run = Run()
    run.close()
    run.raise_slot('a', 10, 0.11)
    assert run.raise_slot('b', 10, 0.12) == (
        failover_messages.PromoteSlot('b', 2),
    )


def test_a_higher_log_term_precedes_a_higher_offset():
    run = Run()
    run.close()
    run.raise_slot('b', 90, 0.11)
    run.raise_slot('c', 10, 0.12, log_term=2)
    assert tick(run, 1) == (failover_messages.PromoteSlot('c', 2),)


def test_a_late_raise_prolongs_the_wait_for_confirmations():
    # A slot may have confirmed a write just before it was raised.
    run = Run()
    run.close()
    run.raise_slot('b', 10, 0.11)
    assert not tick(run, 1)
    assert not run.raise_slot('c', 10, 1)
    assert not tick(run, 1.15)
    assert tick(run, 1.16)


def test_one_slot_is_enough_in_groups_of_two_only():
    for slots, is_enough in (('ab', True), ('abc', False)):
        run = Run(slots)
        run.close()
        run.raise_slot('b', 10, 0.11)
        assert bool(tick(run, 1)) is is_enough


def test_unanswered_raises_are_repeated_and_late_terms_ignored():
    run = Run()
    run.close()
    run(failover_messages.RaiseTermFailed('b', 2), 0.4)
    run(failover_messages.RaiseTermFailed('c', 1), 0.4)
    assert not tick(run, 0.45)
    assert tick(run, 0.51) == (failover_messages.RaiseTerm('b', 2),)
    assert not tick(run, 0.7)
    run.raise_slot('b', 10, 0.71, term=1)
    run.raise_slot('c', 10, 0.71)
    assert not tick(run, 3)


def test_a_lost_closing_that_had_no_effect_is_repeated():
    run = Run()
    run.start()
    read = (failover_messages.ReadRecord('g'),)
    assert run(failover_messages.StoreAnswerLost(), 0.3) == read
    assert not run(failover_messages.StoreAnswerLost(), 0.6)
    assert tick(run, 0.71) == read
    again = run(failover_messages.RecordRead(OPEN, 1), 0.8)
    assert again == (failover_messages.SwapRecord(CLOSED, 1),)
    assert run(failover_messages.SwapStored(CLOSED, 2), 0.9) == RAISES


def test_an_equal_closed_record_of_uncertain_origin_is_not_continued():
    # Another promoter may have written it and promote another slot in it.
    run = Run()
    run.start()
    run(failover_messages.StoreAnswerLost(), 0.3)
    next_term = (failover_messages.SwapRecord(TWICE, 2),)
    assert run(failover_messages.RecordRead(CLOSED, 2), 0.4) == next_term
    repeated = Run()
    repeated.start()
    repeated(failover_messages.StoreAnswerLost(), 0.3)
    repeated(failover_messages.RecordRead(OPEN, 1), 0.4)
    assert repeated(failover_messages.SwapConflict(CLOSED, 2), 0.5) == next_term


def test_the_record_of_another_promoter_is_taken_over_after_two_seconds():
    run = Run()
    run.start()
    assert not run(failover_messages.SwapConflict(CLOSED, 2), 0.1)
    assert not tick(run, 2.05)
    assert tick(run, 2.15) == (failover_messages.SwapRecord(TWICE, 2),)


def test_an_old_closed_record_is_taken_over_at_once():
    run = Run()
    take_over = (failover_messages.SwapRecord(TWICE, 1),)
    assert run.start(CLOSED, seen_at=-2.5) == take_over


def test_a_failover_by_another_promoter_ends_this_one():
    run = Run()
    run.start()
    opened = records.open_term(CLOSED, 'b', 4, 1)
    given_up = (
        failover_messages.GivenUp(failover_messages.GiveUpReason.superseded),
    )
    assert run(failover_messages.SwapConflict(opened, 3), 0.1) == given_up
    assert not tick(run, 0.2)


def reach_opening(run):
    run.close()
    run.raise_slot('b', 10, 0.11)
    run.raise_slot('a', 10, 0.12)
    run(failover_messages.PromoteAnswered('b', 2, 10), 0.2)
    return records.open_term(CLOSED, 'b', 10, 1)


@pytest.mark.parametrize(
    'event', [failover_messages.RecordRead, failover_messages.SwapConflict]
)
def test_a_lost_opening_that_took_effect_finishes(event):
    run = Run()
    opened = reach_opening(run)
    run(failover_messages.StoreAnswerLost(), 0.5)
    (finished,) = run(event(opened, 3), 0.6)
    assert finished.record == opened


def test_a_taken_over_term_is_not_opened():
    run = Run()
    reach_opening(run)
    assert not run(failover_messages.SwapConflict(TWICE, 3), 0.5)
    assert run.machine.phase == 'watching'


def test_failed_follow_requests_are_repeated_until_the_end():
    run = Run()
    reach_opening(run)
    run(failover_messages.FollowFailed('c', 2), 0.3)
    assert tick(run, 0.5) == (failover_messages.FollowPrimary('c', 2, 'b'),)


def test_a_slot_that_dies_before_its_promotion_costs_a_term():
    # Another slot must not be promoted in the same term.
    run = Run()
    run.close()
    run.raise_slot('a', 10, 0.11)
    run.raise_slot('b', 10, 0.12)
    failed = failover_messages.PromoteFailed('b', 2)
    run(failed, 0.4)
    assert tick(run, 0.51) == (failover_messages.PromoteSlot('b', 2),)
    run(failed, 0.8)
    tick(run, 1)
    assert run(failed, 1.3) == (failover_messages.SwapRecord(TWICE, 2),)


def test_a_refusing_slot_leads_to_a_higher_term():
    run = Run()
    run.close()
    next_term = (failover_messages.SwapRecord(TWICE, 2),)
    assert not run(failover_messages.SlotRefused('b', 1), 0.2)
    assert run(failover_messages.SlotRefused('b', 2), 0.2) == next_term


def test_the_deadline_ends_a_failover_that_cannot_go_on():
    run = Run()
    run.close()
    assert not tick(run, 5.9)
    given_up = (
        failover_messages.GivenUp(failover_messages.GiveUpReason.deadline),
    )
    assert tick(run, 6) == given_up
    assert not run.raise_slot('b', 10, 6.1)
