"""Guards against ranks that gain credit while idle or stay in debt for ever."""

import collections

import pytest

from celeryrelay.admission import shares
from celeryrelay.conf import sets
from celeryrelay.core import ranks

BOOKINGS, CHECKS = ranks.Rank.bookings, ranks.Rank.checks
POLICIES = {
    rank: sets.RankPolicy(rank, 1, 1, 2, 1, sets.Durability.local)
    for rank in (BOOKINGS, CHECKS)
}


def serve(fair, count):
    """Let both ranks compete for `count` uses of a connection for 10 ms."""
    served = collections.Counter()
    for _ in range(count):
        rank = fair.choose([BOOKINGS, CHECKS])
        fair.charge(rank, 10)
        served[rank] += 1
    return served


def test_an_idle_rank_gains_no_credit():
    fair = shares.FairShares(POLICIES)
    for _ in range(10_000):
        fair.choose([BOOKINGS])
        fair.charge(BOOKINGS, 10)
    fair.activate(CHECKS)
    assert serve(fair, 100)[CHECKS] == pytest.approx(50, abs=2)


def test_a_lead_is_charged_up_to_a_limit():
    fair = shares.FairShares(POLICIES)
    fair.charge(BOOKINGS, 1_000_000)
    limit = shares.MAX_LEAD_MS * 2 // 10
    served = serve(fair, limit + 100)
    assert served[CHECKS] - served[BOOKINGS] == pytest.approx(limit, abs=2)


def test_fraction_counts_only_competing_ranks():
    fair = shares.FairShares(POLICIES)
    assert fair.fraction(BOOKINGS, []) == 1
    assert fair.fraction(BOOKINGS, [CHECKS]) == 0.5
    assert fair.fraction(BOOKINGS, [BOOKINGS, CHECKS]) == 0.5
