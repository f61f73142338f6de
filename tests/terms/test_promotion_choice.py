"""Promotion while slots of the group are leaving."""

import pytest

from celeryrelay.terms import failover_messages, slot_calls

SLOTS = ('slot-0', 'slot-1', 'slot-2')


@pytest.mark.parametrize(
    ('applied', 'chosen'),
    [((5, 5, 5), 'slot-2'), ((5, 6, 5), 'slot-1'), ((6, 5, 5), 'slot-0')],
)
def test_leaving_slot_is_promoted_only_when_more_advanced(applied, chosen):
    """Guards against a leaving primary, and against a lost write."""
    round_ = slot_calls.RaiseRound(2, 'slot-0', SLOTS, 0)
    for slot, offset in zip(SLOTS, applied, strict=True):
        answer = failover_messages.RaiseTermAnswered(
            slot=slot, term=2, log_term=1, applied=offset
        )
        round_.handle(answer, 0)
    assert round_.most_advanced({'slot-0', 'slot-1'}) == chosen
