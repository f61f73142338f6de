"""Guards against tickets that are lost, served twice or served too late.

A property test compares every decision with a simple model of all tickets.
"""

import heapq
import random

import hypothesis
import pytest
from hypothesis import strategies

from celeryrelay.admission import limits, queue
from celeryrelay.conf import sets
from celeryrelay.core import errors, outcomes, ranks

SETTINGS = hypothesis.settings(derandomize=True, max_examples=150)


def policy(rank, target_ms, deadline_ms, share):
    return sets.RankPolicy(
        rank,
        target_ms,
        deadline_ms,
        share,
        1,
        sets.Durability.local,
    )


POLICIES = {
    ranks.Rank.bookings: policy(ranks.Rank.bookings, 50, 500, 5),
    ranks.Rank.checks: policy(ranks.Rank.checks, 100, 1000, 3),
    ranks.Rank.reports: policy(ranks.Rank.reports, 1000, 2000, 2),
}
STEPS = strategies.lists(
    strategies.tuples(
        strategies.sampled_from(
            ['offer', 'offer', 'release', 'expire', 'cancel']
        ),
        strategies.sampled_from(list(ranks.Rank)),
        strategies.integers(0, 120),
        strategies.booleans(),
        strategies.integers(0, 3),
    ),
    max_size=80,
)


class TicketModel:
    """Reference model: the state of each ticket."""

    def __init__(self, admission, limit):
        self.admission = admission
        self.limit = limit
        self.deadlines = {}
        self.states = {}

    def of_state(self, state):
        return [key for key, found in self.states.items() if found == state]

    def apply(self, decisions, now):
        for decision in decisions:
            key = decision.ticket_id
            assert self.states[key] in {'new', 'waiting'}
            match decision:
                case queue.Start():
                    assert now < self.deadlines[key]
                    self.states[key] = 'running'
                case queue.Wait():
                    assert self.states[key] == 'new'
                    self.states[key] = 'waiting'
                case queue.Refuse():
                    assert decision.retry_after_ms > 0
                    self.states[key] = 'refused'
        running = len(self.of_state('running'))
        if any(isinstance(decision, queue.Start) for decision in decisions):
            assert running <= self.limit.current
        assert self.admission.running == running
        assert self.admission.waiting == len(self.of_state('waiting'))
        if self.of_state('waiting'):
            assert running >= self.limit.current

    def offer(self, rank, now, duration):
        key = len(self.states)
        self.states[key] = 'new'
        self.deadlines[key] = now + duration
        ticket = queue.Ticket(key, rank, now, now + duration)
        self.apply([self.admission.offer(ticket, now)], now)
        assert self.states[key] != 'new'

    def release(self, now, service_ms, ok):
        running = self.of_state('running')
        if running:
            self.states[running[0]] = 'done'
            found = self.admission.release(running[0], now, service_ms, ok)
            self.apply(found, now)

    def cancel(self, now):
        waiting = self.of_state('waiting')
        if waiting:
            self.states[waiting[-1]] = 'cancelled'
            self.admission.cancel(waiting[-1])
            self.apply([], now)


def new_queue(maximum, parameters=queue.QueueParameters()):
    limit = limits.AdaptiveLimit(1, maximum)
    return queue.AdmissionQueue(POLICIES, limit, 7, parameters), limit


@SETTINGS
@hypothesis.given(
    STEPS,
    strategies.integers(1, 4),
    strategies.sampled_from([0, 1, 2]),
)
def test_every_ticket_ends_exactly_once(steps, maximum, margin):
    parameters = queue.QueueParameters(service_margin=margin)
    admission, limit = new_queue(maximum, parameters)
    model = TicketModel(admission, limit)
    now = 0.0
    for action, rank, gap_ms, ok, extra in steps:
        now += gap_ms / 1000
        match action:
            case 'offer':
                duration = POLICIES[rank].deadline_ms / 1000 / (1 + extra)
                model.offer(rank, now, duration)
            case 'release':
                model.release(now, gap_ms * (1 + extra), ok)
            case 'expire':
                model.apply(admission.expire(now), now)
                waiting = model.of_state('waiting')
                assert all(model.deadlines[key] > now for key in waiting)
            case 'cancel':
                model.cancel(now)
    while model.of_state('running'):
        now += 0.01
        model.release(now, 10, ok=True)
    assert not model.of_state('waiting')
    assert not model.of_state('new')


class Flood:
    """Feeds one queue with open-loop arrivals of constant service time."""

    def __init__(self, maximum, service_ms=20, hold_ms=None):
        self.admission, self.limit = new_queue(maximum)
        self.service_ms = service_ms
        self.hold_ms = hold_ms or dict.fromkeys(ranks.Rank, service_ms)
        self.ends = []
        self.arrived = {}
        self.ranks = {}
        self.waits = {rank: [] for rank in ranks.Rank}
        self.refused = []

    def run(self, rates, duration, seed=1):
        source = random.Random(seed)
        arrivals = []
        for rank, rate in rates.items():
            at = source.expovariate(rate)
            while at < duration:
                arrivals.append((at, rank))
                at += source.expovariate(rate)
        for now, rank in sorted(arrivals):
            self.finish_until(now)
            key = len(self.ranks)
            self.ranks[key] = rank
            self.arrived[key] = now
            deadline = now + POLICIES[rank].deadline_ms / 1000
            ticket = queue.Ticket(key, rank, now, deadline)
            self.apply([self.admission.offer(ticket, now)], now)

    def finish_until(self, now):
        while self.ends and self.ends[0][0] <= now:
            at, key = heapq.heappop(self.ends)
            found = self.admission.release(key, at, self.service_ms, ok=True)
            self.apply(found, at)

    def apply(self, decisions, now):
        for decision in decisions:
            key = decision.ticket_id
            match decision:
                case queue.Start():
                    self.waits[self.ranks[key]].append(now - self.arrived[key])
                    end = now + self.hold_ms[self.ranks[key]] / 1000
                    heapq.heappush(self.ends, (end, key))
                case queue.Refuse():
                    self.refused.append(decision)


# Four connections and a service time of 20 ms serve 200 tickets per second.
CAPACITY = 200


@pytest.mark.parametrize('flooding', list(ranks.Rank))
def test_each_rank_keeps_its_share_when_one_floods(flooding):
    flood = Flood(4)
    rates = dict.fromkeys(ranks.Rank, CAPACITY * 2)
    rates[flooding] = CAPACITY * 10
    flood.run(rates, duration=20)
    total = sum(map(len, flood.waits.values()))
    assert total >= CAPACITY * 20 * 0.95
    for rank in ranks.Rank:
        part = len(flood.waits[rank]) / total
        assert part == pytest.approx(POLICIES[rank].share / 10, abs=0.05)


@pytest.mark.parametrize(
    'flooding',
    [
        [ranks.Rank.checks],
        [ranks.Rank.reports],
        [ranks.Rank.checks, ranks.Rank.reports],
    ],
)
def test_bookings_within_capacity_keep_their_target(flooding):
    flood = Flood(4)
    rates = {rank: CAPACITY * 10 for rank in flooding}
    rates[ranks.Rank.bookings] = CAPACITY * 0.7
    flood.run(rates, duration=20)
    waits = sorted(flood.waits[ranks.Rank.bookings])
    assert len(waits) >= CAPACITY * 0.7 * 20 * 0.9
    target = POLICIES[ranks.Rank.bookings].target_ms / 1000
    assert waits[int(len(waits) * 0.99)] <= target


def test_overload_is_refused_early_with_a_jittered_hint():
    flood = Flood(4)
    flood.run({ranks.Rank.checks: CAPACITY * 10}, duration=5)
    early = [
        refused
        for refused in flood.refused
        if refused.reason is outcomes.Reason.overload
    ]
    assert len(early) > len(flood.refused) * 0.9
    hints = {refused.retry_after_ms for refused in early}
    assert len(hints) > 100
    assert max(hints) > min(hints) * 2


def test_the_same_seed_gives_the_same_decisions():
    floods = [Flood(4), Flood(4)]
    for flood in floods:
        flood.run({ranks.Rank.checks: CAPACITY * 3}, duration=2)
    assert floods[0].refused == floods[1].refused


def test_an_empty_queue_accepts_a_ticket_despite_a_high_estimate():
    admission, _ = new_queue(1)
    for key, rank in ((1, 'reports'), (2, 'checks')):
        ticket = queue.Ticket(key, ranks.Rank(rank), 0, 2)
        admission.offer(ticket, 0)
        admission.cancel(2)
    admission.release(1, 1, 60_000, ok=True)
    admission.offer(queue.Ticket(3, ranks.Rank.checks, 1, 2), 1)
    ticket = queue.Ticket(4, ranks.Rank.reports, 1, 3)
    assert admission.offer(ticket, 1) == queue.Wait(4)


def serve_bookings(admission, numbers, service_ms, now):
    """Serve one booking after another; a second caller gives up each time."""
    for key in numbers:
        deadline = now + 1
        ticket = queue.Ticket(key, ranks.Rank.bookings, now, deadline)
        assert admission.offer(ticket, now) == queue.Start(key)
        left = queue.Ticket(-key - 1, ranks.Rank.bookings, now, deadline)
        admission.offer(left, now)
        admission.cancel(left.ticket_id)
        now += service_ms / 1000
        assert not admission.release(key, now, service_ms, ok=True)
    return now


def offer_to_busy_server(admission, now, *waiting):
    """Start a booking on the only connection and enqueue other tickets."""
    for key, rank in (('running', ranks.Rank.bookings), *waiting):
        admission.offer(queue.Ticket(key, rank, now, now + 1), now)


def test_a_slow_server_does_not_look_like_a_flood_of_bookings():
    admission, _ = new_queue(1)
    now = serve_bookings(admission, range(200), 10, now=0)
    now = serve_bookings(admission, range(200, 240), 150, now + 5)
    offer_to_busy_server(
        admission,
        now,
        ('check', ranks.Rank.checks),
        ('booking', ranks.Rank.bookings),
    )
    found = admission.release('running', now + 0.15, 150, ok=True)
    assert found == [queue.Start('booking')]


def test_bookings_within_target_come_first_even_in_a_flood_of_bookings():
    admission, _ = new_queue(1)
    now = serve_bookings(admission, range(300), 20, now=0)
    offer_to_busy_server(
        admission,
        now,
        ('check', ranks.Rank.checks),
        ('booking', ranks.Rank.bookings),
    )
    found = admission.release('running', now + 0.04, 20, ok=True)
    assert found == [queue.Start('booking')]


def test_bookings_above_target_in_a_flood_leave_the_others_their_share():
    admission, _ = new_queue(1)
    now = serve_bookings(admission, range(300), 20, now=0)
    offer_to_busy_server(
        admission,
        now,
        ('check', ranks.Rank.checks),
        ('booking', ranks.Rank.bookings),
    )
    found = admission.release('running', now + 0.06, 20, ok=True)
    assert found == [queue.Start('check')]


def test_a_ticket_past_its_deadline_is_refused_without_contention():
    admission, _ = new_queue(1)
    refused = admission.offer(queue.Ticket(1, ranks.Rank.checks, 0, 1), 1)
    assert refused.reason is outcomes.Reason.deadline
    assert not admission.running


def test_a_ticket_without_time_for_its_service_is_not_started():
    admission, _ = new_queue(1)
    now = serve_bookings(admission, range(20), 50, now=0)
    offer_to_busy_server(admission, now, ('booking', ranks.Rank.bookings))
    found = admission.release('running', now + 0.95, 50, ok=True)
    assert [type(decision) for decision in found] == [queue.Refuse]


def test_shares_count_the_time_that_a_connection_is_held():
    hold_ms = {
        ranks.Rank.bookings: 20,
        ranks.Rank.checks: 120,
        ranks.Rank.reports: 20,
    }
    flood = Flood(4, hold_ms=hold_ms)
    flood.run(dict.fromkeys(ranks.Rank, CAPACITY * 2), duration=30)
    used = {rank: len(flood.waits[rank]) * hold_ms[rank] for rank in ranks.Rank}
    for rank in ranks.Rank:
        part = used[rank] / sum(used.values())
        assert part == pytest.approx(POLICIES[rank].share / 10, abs=0.08)


def test_an_idle_rank_gains_no_credit_while_others_are_served():
    admission, _ = new_queue(1)
    now = 0
    for key in range(500):
        ticket = queue.Ticket(key, ranks.Rank.checks, now, now + 1)
        assert admission.offer(ticket, now) == queue.Start(key)
        now += 0.02
        admission.release(key, now, 20, ok=True)
    waiting = [
        (f'{rank} {number}', rank)
        for number in range(40)
        for rank in (ranks.Rank.checks, ranks.Rank.reports)
    ]
    for key, rank in (('running', ranks.Rank.checks), *waiting):
        admission.offer(queue.Ticket(key, rank, now, now + 60), now)
    started = ['running']
    for _ in range(25):
        now += 0.02
        found = admission.release(started[-1], now, 20, ok=True)
        started.extend(decision.ticket_id for decision in found)
    checks = [key for key in started[1:] if key.startswith('checks')]
    assert len(checks) == pytest.approx(15, abs=2)


def test_tickets_start_up_to_a_raised_limit():
    admission, limit = new_queue(4)
    limit._limit = 1
    for key in range(6):
        admission.offer(queue.Ticket(key, ranks.Rank.checks, 0, 10), 0)
    limit._limit = 4
    found = admission.release(0, 0.01, 10, ok=True)
    assert found == [queue.Start(key) for key in (1, 2, 3, 4)]


def test_failures_lower_the_limit():
    admission, limit = new_queue(4)
    for key in range(40):
        now = key / 10
        ticket = queue.Ticket(key, ranks.Rank.checks, now, now + 1)
        assert admission.offer(ticket, now) == queue.Start(key)
        admission.release(key, now + 0.05, 50, ok=False)
    assert limit.current == 1


def test_release_of_an_unknown_ticket_raises_an_invariant_error():
    admission, _ = new_queue(1)
    with pytest.raises(errors.InvariantError):
        admission.release(1, 0, 1, ok=True)
