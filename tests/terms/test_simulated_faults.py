"""Generated schedules of the real guard and failover.

They guard against writes that are acknowledged although their primary has
been replaced, against replicated writes that a failover loses, and against
two primaries in one term.
"""

import hypothesis
import pytest
from hypothesis import strategies

from . import simulation

HOLDERS = ('h0', 'h1', 'h2', 'h3')
PROMOTERS = ('p0', 'p1', 'p2')
RATES = strategies.floats(0.99, 1.01)


def spans(kind, subjects, others=('',)):
    return strategies.builds(
        lambda subject, other, start, length: simulation.Disturbance(
            kind,
            subject,
            other,
            start,
            start + length,
        ),
        strategies.sampled_from(subjects),
        strategies.sampled_from(others),
        strategies.floats(0, 3),
        strategies.sampled_from((0.1, 0.4, 1.0, 3.0)),
    )


def splits(names):
    """Cut a side with the first primary off from the others."""
    return strategies.builds(
        lambda side, start, length: simulation.Disturbance(
            'split',
            '',
            '',
            start,
            start + length,
            frozenset(side | {'s0'}),
        ),
        strategies.sets(strategies.sampled_from(names)),
        strategies.floats(0.2, 1),
        strategies.sampled_from((0.5, 1.0, 3.0)),
    )


def disturbances(slots):
    clients = HOLDERS + PROMOTERS
    single = strategies.one_of(
        spans('cut', clients, (*slots, 'store')),
        spans('cut', slots, slots),
        spans('pause', clients + slots),
        spans('dead', slots),
        spans('lag', slots),
        spans('slow', ('store', *slots)),
        spans('lose', ('store', *slots)),
        spans('dead', ('store',)),
    )
    return strategies.tuples(
        strategies.lists(splits((*clients, *slots, 'store')), max_size=1),
        strategies.lists(single, max_size=6),
    ).map(lambda lists: [*lists[0], *lists[1]])


@pytest.mark.parametrize('slot_count', [2, 3])
def test_no_schedule_breaks_a_promise(slot_count):
    slots = tuple('s{0}'.format(number) for number in range(slot_count))
    told_late = []
    finished = []

    @hypothesis.settings(
        derandomize=True,
        database=None,
        deadline=None,
        max_examples=150,
        suppress_health_check=list(hypothesis.HealthCheck),
    )
    @hypothesis.given(
        rates=strategies.fixed_dictionaries(
            {name: RATES for name in HOLDERS + PROMOTERS},
        ),
        faults=disturbances(slots),
        starts=strategies.lists(
            strategies.floats(0.2, 2.5),
            min_size=1,
            max_size=len(PROMOTERS),
        ),
        seed=strategies.integers(0, 2**16),
    )
    def check(rates, faults, starts, seed):
        world = simulation.simulate(slot_count, rates, faults, starts, seed)
        assert not world.checker.faults
        told_late.append(world.checker.told_late)
        finished.append(world.finished)

    check()
    # A run in which nothing fails over shows nothing.
    assert sum(finished) > 50
    assert sum(told_late) > 0
