"""Guards against read bounds that do not cover a commit they have to cover."""

import hypothesis
from hypothesis import strategies

from celeryrelay.core import positions
from celeryrelay.sessions import position_samples

SETTINGS = hypothesis.settings(derandomize=True, max_examples=400)
# Events, each with the time since the previous one in seconds and its kind.
EVENTS = strategies.lists(
    strategies.tuples(
        strategies.floats(0.001, 0.4),
        strategies.sampled_from(('commit', 'sample', 'promote')),
    ),
    max_size=60,
)


def replay(events):
    """Return the acknowledged commits, the samples and the end time.

    A promotion removes the last commit of the old term, as if the promoted
    replica had not received it.
    """
    known = position_samples.PrimarySamples(retention_s=30)
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
    commits, known, now = replay(events)
    bound = known.bound(now - max_age_s)
    if bound is None:
        return
    for committed_at, position in commits:
        if committed_at < now - max_age_s:
            assert not position_samples.is_later(position, bound)


@SETTINGS
@hypothesis.given(EVENTS)
def test_bound_is_lower_for_older_data(events):
    """Guards against bounds so recent that no replica has reached them."""
    _, known, now = replay(events)
    tight = known.bound(now - 0.1)
    loose = known.bound(now - 2)
    if tight is not None:
        assert loose is not None
        assert not position_samples.is_later(loose, tight)


def test_samples_of_an_older_term_are_dropped():
    """Guards against a replaced primary that still answers."""
    known = position_samples.PrimarySamples(retention_s=30)
    known.on_sample(1, positions.Position('g', 1, 50))
    known.on_sample(2, positions.Position('g', 2, 40))
    known.on_sample(3, positions.Position('g', 1, 60))
    assert known.bound(0) == positions.Position('g', 2, 40)
    assert known.bound(2.5) is None


def test_samples_do_not_grow_without_bound():
    known = position_samples.PrimarySamples(retention_s=5)
    for number in range(10000):
        known.on_sample(number * 0.001, positions.Position('g', 1, number))
    assert len(known._times) <= 5 / position_samples.MIN_GAP_S + 2
