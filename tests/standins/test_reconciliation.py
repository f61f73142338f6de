import pytest

from celeryrelay.load import tallies
from standins.deployment import reconciliation

RESULTS = tallies.StatementResult


@pytest.mark.parametrize(
    ('stored', 'fields'),
    [
        (['done', 'doubt'], ()),
        (['done'], ()),
        (['doubt'], ('missing',)),
        (['done', 'done'], ('duplicated',)),
        (['done', 'doubt', 'doubt'], ('duplicated',)),
        (['done', 'refused'], ('contradicted',)),
        (['done', 'foreign'], ('contradicted',)),
    ],
)
def test_only_consistent_bookings_are_accepted(stored, fields):
    """Guards against a demo that passes with lost or duplicated bookings."""
    group = tallies.GroupTally()
    group.keys_by_result[RESULTS.served].append('done')
    group.keys_by_result[RESULTS.unknown].append('doubt')
    group.keys_by_result[RESULTS.not_run].append('refused')
    compared = reconciliation.compare(group, stored)
    wrong = [
        field
        for field in ('missing', 'duplicated', 'contradicted')
        if getattr(compared, field)
    ]
    assert tuple(wrong) == fields
    assert compared.agrees == (not fields)
