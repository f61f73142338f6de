"""Guards against a daemon that returns to an older configuration."""

from hypothesis import given, settings
from hypothesis import strategies as st

from celeryrelay.conf import sets
from celeryrelay.configuration import revisions


def published(revision, publication='p'):
    object_set = sets.ObjectSet({}, (), {}, {})
    return sets.PublishedSet(revision, publication, object_set, {})


def test_lower_equal_and_conflicting_revisions_are_ignored():
    state = revisions.RevisionState()
    assert state.offer(published(3)) == revisions.Accepted(None)
    assert state.offer(published(3)) == revisions.Ignored('same')
    assert state.offer(published(3, 'q')) == revisions.Ignored('conflicting')
    assert state.offer(published(2)) == revisions.Ignored('older')
    assert state.offer(published(5)) == revisions.Accepted(published(3))
    assert state.current == published(5)


def test_set_is_current_while_its_confirmation_is_recent():
    state = revisions.RevisionState()
    assert not state.is_current(0)
    state.offer(published(3))
    assert state.confirmation_age(0) is None
    state.on_confirmation(3, 10)
    # An earlier confirmation that arrives late is ignored.
    state.on_confirmation(3, 8)
    assert state.confirmation_age(12) == 2
    assert state.is_current(15)
    assert not state.is_current(15.1)
    state.on_known_revision(4)
    assert not state.is_current(12)
    assert state.needs_fetch
    state.offer(published(4))
    # The confirmation was for the previous set.
    assert not state.is_current(12)


ACTIONS = st.lists(
    st.tuples(
        st.sampled_from(
            ['publish', 'store', 'stale', 'peer', 'mention', 'restart'],
        ),
        st.integers(0, 2),
        st.integers(0, 2),
        st.integers(0, 5),
    ),
    max_size=60,
)


@settings(derandomize=True, max_examples=300, deadline=None)
@given(ACTIONS)
def test_revision_never_decreases_in_any_order_of_messages(actions):
    """Compare with a model that lists all revisions a daemon received.

    Sets come from the store, from stale store answers and from peers with
    older revisions; daemons restart without state.
    """
    newest = 1
    states = [revisions.RevisionState() for _ in range(3)]
    received = [[] for _ in states]
    reported = [[0] for _ in states]
    for now, (kind, first, second, lag) in enumerate(actions):
        state = states[first]
        offered = None
        if kind == 'publish':
            newest += 1
        if kind == 'restart':
            states[first] = revisions.RevisionState()
            received[first] = []
            reported[first] = [0]
        if kind == 'store':
            offered = newest
        if kind == 'stale':
            offered = max(newest - lag, 1)
        if kind == 'peer' and states[second].current:
            offered = states[second].current.revision
        if kind == 'mention':
            state.on_known_revision(states[second].known_revision)
            reported[first].append(states[second].known_revision)
        if offered is not None:
            answer = state.offer(published(offered, str(offered)))
            reported[first].append(offered)
            accepts = not received[first] or offered > max(received[first])
            assert isinstance(answer, revisions.Accepted) == accepts
            received[first].append(offered)
        if kind == 'store':
            state.on_confirmation(newest, now)
        for one, received_revisions, reported_revisions in zip(
            states,
            received,
            reported,
            strict=True,
        ):
            assert one.revision == max(received_revisions, default=0)
            assert one.known_revision == max(reported_revisions)
            assert one.known_revision <= newest
            if one.is_current(now):
                assert one.revision == one.known_revision
