"""Guards against reads whose server lacks a commit that they have to see."""

import hypothesis
from hypothesis import strategies

from celeryrelay.core import positions
from celeryrelay.sessions import position_samples

SETTINGS = hypothesis.settings(derandomize=True, max_examples=400)
# Commits and questions to the primary, as steps of time and kind.
EVENTS = strategies.lists(
    strategies.tuples(
        strategies.floats(0.001, 0.4),
        strategies.sampled_from(('commit', 'sample', 'promote')),
    ),
    max_size=60,
)


def play(events):
    """Return the acknowledged commits, the samples and the end time.

    A promotion removes the last commit of the old term, like a replica that
    had not received it.
    """
    known = position_samples.PrimarySamples(horizon_s=30)
    now = 0.0
    term, offset = 1, 0
    commits = []
    for step_s, kind in events:
        now += step_s
        if kind == 'commit':
            offset += 1
            commits.append((now, positions.Position('g', term, offset)))
        elif kind == 'sample':
            known.on_sample(now, positions.Position('g', term, offset))
        elif commits and commits[-1][1].term == term:
            commits.pop()
            term, offset = term + 1, offset - 1
    return commits, known, now


@SETTINGS
@hypothesis.given(EVENTS, strategies.floats(0, 3))
def test_bound_covers_every_commit_older_than_the_age(events, max_age_s):
    commits, known, now = play(events)
    bound = known.bound(now - max_age_s)
    if bound is None:
        return
    for committed_at, position in commits:
        if committed_at < now - max_age_s:
            assert not position_samples.is_later(position, bound)


@SETTINGS
@hypothesis.given(EVENTS)
def test_bound_is_the_lowest_that_is_safe(events):
    """Guards against bounds so young that no replica has reached them."""
    _, known, now = play(events)
    tight = known.bound(now - 0.1)
    loose = known.bound(now - 2)
    if tight is not None:
        assert loose is not None
        assert not position_samples.is_later(loose, tight)


def test_samples_of_an_older_term_are_not_taken_back():
    """Guards against an old primary that answers after its replacement."""
    known = position_samples.PrimarySamples(horizon_s=30)
    known.on_sample(1, positions.Position('g', 1, 50))
    known.on_sample(2, positions.Position('g', 2, 40))
    known.on_sample(3, positions.Position('g', 1, 60))
    assert known.bound(0) == positions.Position('g', 2, 40)
    assert known.bound(2.5) is None


def test_samples_do_not_grow_without_bound():
    known = position_samples.PrimarySamples(horizon_s=5)
    for number in range(10000):
        known.on_sample(number * 0.001, positions.Position('g', 1, number))
    assert len(known._times) <= 5 / position_samples.MIN_GAP_S + 2
