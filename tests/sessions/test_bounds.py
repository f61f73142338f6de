"""Guards against bounds that are lowered, and lost positions taken as present.

In both cases, a session could read data that is older than what it has seen.
"""

import hypothesis
from hypothesis import strategies

from celeryrelay.core import positions
from celeryrelay.sessions import bounds

GROUP = 'rounds'
POSITIONS = strategies.builds(
    positions.Position,
    group=strategies.sampled_from(['rounds', 'crews']),
    term=strategies.integers(1, 4),
    offset=strategies.integers(0, 9),
)
# For each term: entries written, entries that the next promotion removes from
# the end of the log, and the increment of the term number.
TERMS = strategies.lists(
    strategies.tuples(
        strategies.integers(0, 4),
        strategies.integers(0, 6),
        strategies.integers(1, 2),
    ),
    min_size=1,
    max_size=6,
)
SETTINGS = hypothesis.settings(derandomize=True, max_examples=400)


class Log:
    """A log that promotions truncate, with its contents at every position."""

    def __init__(self):
        self.term = 1
        self.entries = []
        self.starts = [positions.TermStart(1, 0)]
        self.seen = {positions.Position(GROUP, 1, 0): ()}
        self.written = 0

    def write(self):
        self.written += 1
        self.entries.append((self.term, self.written))
        self._record_position()

    def promote(self, lost, step):
        del self.entries[max(len(self.entries) - lost, 0) :]
        self.term += step
        self.starts.append(
            positions.TermStart(
                self.term,
                len(self.entries),
                self.entries[-1][0] if self.entries else 0,
            ),
        )
        self._record_position()

    def holds(self, position):
        prefix = self.seen[position]
        return tuple(self.entries[: len(prefix)]) == prefix

    def _record_position(self):
        position = positions.Position(GROUP, self.term, len(self.entries))
        self.seen[position] = tuple(self.entries)


def build_log(terms):
    log = Log()
    for writes, lost, step in terms:
        for _ in range(writes):
            log.write()
        log.promote(lost, step)
    return log


@SETTINGS
@hypothesis.given(strategies.lists(POSITIONS, max_size=12))
def test_bound_is_the_greatest_position_of_the_group(seen):
    session = bounds.SessionBounds()
    for position in seen:
        session.advance(position)
    for group in ('rounds', 'crews'):
        own = [position for position in seen if position.group == group]
        expected = max(
            own,
            key=lambda position: (position.term, position.offset),
            default=None,
        )
        assert session.bound(group) == expected


@SETTINGS
@hypothesis.given(TERMS)
def test_position_state_agrees_with_the_contents_of_the_log(terms):
    log = build_log(terms)
    for position in log.seen:
        found = bounds.position_state(position, log.term, log.starts)
        assert (found is bounds.PositionState.present) == log.holds(position)


@SETTINGS
@hypothesis.given(TERMS, strategies.integers(1, 3))
def test_short_history_never_reports_a_lost_position_as_present(terms, kept):
    log = build_log(terms)
    history = log.starts[-kept:]
    for position in log.seen:
        found = bounds.position_state(position, log.term, history)
        if position.term < history[0].term:
            assert found is bounds.PositionState.lost
        else:
            assert (found is bounds.PositionState.present) == log.holds(
                position
            )


@SETTINGS
@hypothesis.given(
    strategies.lists(
        strategies.tuples(
            strategies.integers(0, 3),
            strategies.permutations([0, 1, 2]),
            strategies.lists(strategies.integers(0, 5), min_size=3, max_size=3),
        ),
        min_size=1,
        max_size=6,
    ),
)
def test_slot_that_missed_a_term_never_makes_a_lost_write_present(steps):
    """Guards against a promoted slot with other entries at the same offsets.

    There are three slots. In each step the primary writes, each other slot
    copies the primary's log up to some offset or not at all, and the more
    advanced of two slots is promoted.
    """
    logs = [[], [], []]
    primary, term = 0, 1
    starts = [positions.TermStart(1, 0, 0)]
    written = {}
    for writes, order, copied in steps:
        for _ in range(writes):
            logs[primary].append((term, len(written)))
            position = positions.Position(GROUP, term, len(logs[primary]))
            written[position] = logs[primary][-1]
        for slot, count in enumerate(copied):
            if slot != primary and count:
                logs[slot] = logs[primary][: -count or None]
        term += 1
        primary = max(order[:2], key=lambda slot: _log_order(logs[slot]))
        log_term, length = _log_order(logs[primary])
        starts.append(positions.TermStart(term, length, log_term))
        for position, entry in written.items():
            if bounds.position_state(position, term, starts) is _PRESENT:
                assert entry in logs[primary]


_PRESENT = bounds.PositionState.present


def _log_order(log):
    return (log[-1][0] if log else 0), len(log)


def test_promotion_of_an_isolated_primary_does_not_hide_a_lost_write():
    """Guards against a comparison of offsets alone.

    Slot a is isolated in term 1 with 100 entries. Term 2 starts with 50
    entries; its primary acknowledges offset 60 and fails. Slot a is promoted in
    term 3.
    """
    history = [
        positions.TermStart(1, 0, 0),
        positions.TermStart(2, 50, 1),
        positions.TermStart(3, 100, 1),
    ]
    lost_position = positions.Position(GROUP, 2, 60)
    assert (
        bounds.position_state(lost_position, 3, history)
        is bounds.PositionState.lost
    )
    kept = positions.Position(GROUP, 2, 50)
    assert (
        bounds.position_state(kept, 3, history) is bounds.PositionState.present
    )


def test_order_of_the_history_does_not_matter():
    history = [
        positions.TermStart(3, 50, 2),
        positions.TermStart(1, 0),
        positions.TermStart(2, 40, 1),
    ]
    position = positions.Position(GROUP, 1, 45)
    found = bounds.position_state(position, 3, history)
    assert found is bounds.PositionState.lost


def test_newer_term_is_ahead_and_not_lost():
    position = positions.Position(GROUP, 5, 1)
    history = [positions.TermStart(4, 90)]
    found = bounds.position_state(position, 4, history)
    assert found is bounds.PositionState.ahead


def test_position_older_than_any_history_is_lost():
    position = positions.Position(GROUP, 1, 0)
    assert bounds.position_state(position, 2, []) is bounds.PositionState.lost


def test_closed_current_term_does_not_lose_positions():
    position = positions.Position(GROUP, 4, 120)
    history = [positions.TermStart(3, 10, 1), positions.TermStart(4, 90, 3)]
    assert (
        bounds.position_state(position, 5, history)
        is bounds.PositionState.present
    )
