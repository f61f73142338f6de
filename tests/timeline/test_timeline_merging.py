"""Guards against a timeline that shows an effect before its cause.

This can happen when the wall clocks of the processes differ.
"""

from hypothesis import given, settings
from hypothesis import strategies as st

from celeryrelay.conf import settings as conf
from celeryrelay.core import clock, identity
from celeryrelay.timeline import events, merging, rendering

SKEW_MS = 5000

# Actions: (process, receiver of its message, time step); if the receiver is the
# process itself, it records an event.
ACTIONS = st.lists(
    st.tuples(st.integers(0, 2), st.integers(0, 2), st.integers(0, 400)),
    max_size=50,
)
SKEWS = st.lists(st.integers(0, SKEW_MS), min_size=3, max_size=3)


class Process:
    """A process that records in each event which events preceded it."""

    def __init__(self, number, skew_ms):
        self.clock = clock.ManualClock(1000 + skew_ms / 1000)
        self.log = events.EventLog(
            identity.Identity('p:{0}'.format(number), 'z', 'i'),
            self.clock,
            conf.TimelineSettings(),
        )
        self.past = set()

    def emit(self):
        self.log.emit('kind', past=sorted(self.past))
        self.past.add(
            (self.log.recent()[-1]['instance'], len(self.log.recent()))
        )


def simulate(actions, skews):
    processes = [Process(number, skew) for number, skew in enumerate(skews)]
    for sender, receiver, step_ms in actions:
        for process in processes:
            process.clock.advance(step_ms / 1000)
        if sender == receiver:
            processes[sender].emit()
        else:
            processes[receiver].log.observe_clock(
                processes[sender].log.advance_clock()
            )
            processes[receiver].past |= processes[sender].past
    return [
        merging.parse_event(event).ok()
        for process in processes
        for event in process.log.recent()
    ]


@settings(derandomize=True, deadline=None, max_examples=300)
@given(ACTIONS, SKEWS, st.randoms(use_true_random=False))
def test_causes_precede_effects_for_any_skew(actions, skews, shuffle):
    recorded = simulate(actions, skews)
    merged = merging.merge(recorded, SKEW_MS)
    seen = set()
    for event in merged:
        assert {tuple(cause) for cause in event.fields['past']} <= seen
        seen.add((event.instance, event.sequence))
    assert len(merged) == len(recorded)
    mixed = recorded + recorded
    shuffle.shuffle(mixed)
    assert merging.merge(mixed, SKEW_MS) == merged


@settings(derandomize=True, deadline=None)
@given(ACTIONS)
def test_events_without_messages_are_ordered_by_time(actions):
    own = [(sender, sender, step_ms) for sender, _, step_ms in actions]
    merged = merging.merge(simulate(own, [0, 7, 13]))
    times = [event.time_ms for event in merged]
    assert times == sorted(times)


def make_event(instance, sequence, clock_value, time_ms, heard=0, **fields):
    return events.Event(
        instance, 'i', sequence, clock_value, time_ms, 'k', fields, heard
    )


def test_event_beyond_the_skew_is_not_placed_first():
    busy = make_event('a', 1, 1000, 10_000, heard=999)
    quiet = make_event('b', 1, 2, 100_000)
    assert merging.merge([quiet, busy], SKEW_MS) == [busy, quiet]


def test_contradictory_clocks_do_not_prevent_merging():
    recorded = [make_event(name, 1, 1, 0, heard=9) for name in ('a', 'b')]
    assert merging.merge(recorded) == recorded


def test_process_keeps_its_order_when_its_clock_is_set_back():
    recorded = [
        make_event('a', 1, 1, 9000),
        make_event('a', 2, 2, 1000),
        make_event('b', 1, 1, 5000),
    ]
    merged = merging.merge(recorded)
    assert merged == [recorded[2], recorded[0], recorded[1]]


def test_gaps_are_returned_by_process():
    recorded = [make_event('a', number, number, 0) for number in (4, 5, 9)]
    assert merging.gaps(recorded) == {('a', 'i'): [[6, 8]]}


def test_filter_checks_every_condition():
    event = make_event(
        'a', 1, 1, 50, session='s', group='g', term=3, request='r'
    )
    for matching in (
        {},
        {'session': 's', 'request': 'r'},
        {'group': 'g', 'term': 3, 'kinds': ('k', 'x'), 'since_ms': 50},
    ):
        assert rendering.EventFilter(**matching).matches(event)
    for other in (
        {'session': 'x'},
        {'request': 'x'},
        {'group': 'x'},
        {'term': 4},
        {'kinds': ('x',)},
        {'since_ms': 51},
    ):
        assert not rendering.EventFilter(**other).matches(event)


def test_line_has_no_control_characters():
    event = make_event('a', 1, 1, 0, text='one\x1b[2J', two='a b', empty='')
    line = rendering.format_event(event)
    assert line.isprintable()
    assert line.endswith(r'text="one\u001b[2J" two="a b" empty=""')
