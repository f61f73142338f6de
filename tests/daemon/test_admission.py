"""Tests of the asyncio interface of the admission queue."""

import asyncio

from celeryrelay.admission import decisions
from celeryrelay.conf import sets
from celeryrelay.core import clock, ranks
from celeryrelay.daemon.holding import admission

POLICIES = {
    rank: sets.RankPolicy(rank, 1000, 5000, 1, 1, sets.Durability.local)
    for rank in ranks.Rank
}


def make_admission(maximum=1):
    return admission.SlotAdmission(POLICIES, maximum, clock.SystemClock())


async def test_cancelled_waiter_lets_the_next_one_start():
    """Guards against a caller that disconnects and blocks the queue."""
    slot_admission = make_admission()
    first = await slot_admission.admit(ranks.Rank.bookings, 1000)
    cancelled = asyncio.create_task(
        slot_admission.admit(ranks.Rank.bookings, 1000)
    )
    follower = asyncio.create_task(
        slot_admission.admit(ranks.Rank.bookings, 1000)
    )
    await asyncio.sleep(0)
    cancelled.cancel()
    await asyncio.gather(cancelled, return_exceptions=True)
    slot_admission.release(first.ticket_id, 1, ok=True)
    assert isinstance(await follower, decisions.Start)
    assert slot_admission.waiting == 0


async def test_waiter_cancelled_just_after_its_start_frees_its_ticket():
    """Guards against leaking a ticket between start and cancellation."""
    slot_admission = make_admission()
    first = await slot_admission.admit(ranks.Rank.bookings, 1000)
    cancelled = asyncio.create_task(
        slot_admission.admit(ranks.Rank.bookings, 1000)
    )
    await asyncio.sleep(0)
    slot_admission.release(first.ticket_id, 1, ok=True)
    cancelled.cancel()
    await asyncio.gather(cancelled, return_exceptions=True)
    follower = await asyncio.wait_for(
        slot_admission.admit(ranks.Rank.bookings, 1000),
        1,
    )
    assert isinstance(follower, decisions.Start)


async def test_deadline_refuses_and_forgets_the_waiter():
    """Guards against waiting past the deadline of the rank."""
    slot_admission = make_admission()
    first = await slot_admission.admit(ranks.Rank.bookings, 1000)
    refused = await slot_admission.admit(ranks.Rank.bookings, 20)
    assert isinstance(refused, decisions.Refuse)
    assert slot_admission.waiting == 0
    slot_admission.release(first.ticket_id, 1, ok=True)
    again = await slot_admission.admit(ranks.Rank.bookings, 20)
    assert isinstance(again, decisions.Start)
