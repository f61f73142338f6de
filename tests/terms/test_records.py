"""Guards against records that are misread, and histories without a limit."""

import pytest

from celeryrelay.core import positions
from celeryrelay.terms import records


def test_a_record_survives_the_store():
    record = records.open_term(
        records.close_term(records.initial('g', 'a')),
        'b',
        7,
        1,
    )
    assert records.dump(record) == {
        'term': 2,
        'primary': 'b',
        'state': 'open',
        'history': [[1, 0, 0], [2, 7, 1]],
    }
    assert records.parse('g', records.dump(record)).unwrap() == record


def test_history_keeps_the_last_sixteen_terms():
    record = records.initial('g', 'a')
    for offset in range(30):
        record = records.open_term(records.close_term(record), 'a', offset, 1)
    assert len(record.history) == 16
    assert record.history[-1] == positions.TermStart(31, 29, 1)
    assert records.parse('g', records.dump(record)).unwrap() == record


def test_closing_takes_a_new_term_and_keeps_the_old_primary():
    closed = records.close_term(records.initial('g', 'a'))
    assert (closed.term, closed.primary, closed.state) == (2, 'a', 'closed')
    again = records.close_term(closed)
    assert (again.term, again.history) == (3, closed.history)


@pytest.mark.parametrize(
    ('change', 'named'),
    [
        ({'term': 0}, 'term'),
        ({'term': '2'}, 'term'),
        ({'term': True}, 'term'),
        ({'primary': ''}, 'primary'),
        ({'state': 'ajar'}, 'state'),
        ({'owner': 'x'}, 'owner'),
        ({'history': []}, 'history'),
        ({'history': [[2, 0]]}, 'history'),
        ({'history': [[1, 5], [1, 6]]}, 'history'),
        ({'history': [[1, -1]]}, 'history'),
        ({'history': [[1, 0]], 'state': 'closed'}, 'history'),
        ({'history': [[1]]}, 'history'),
    ],
)
def test_a_faulty_value_is_refused_by_name(change, named):
    raw = records.dump(records.initial('g', 'a')) | change
    message = records.parse('g', raw).unwrap_err()
    assert message.startswith('groups/g/term: {0}'.format(named))


@pytest.mark.parametrize('raw', [None, [], 'open', 3, {}])
def test_a_value_that_is_no_record_is_refused(raw):
    assert records.parse('g', raw).is_err()


def test_shorter_log_of_a_later_primary_is_accepted():
    """Guards against a group that no daemon can read after two failovers.

    A slot that was promoted after the most advanced one has died can have a
    shorter log.
    """
    raw = records.dump(records.initial('g', 'a'))
    raw |= {'term': 3, 'history': [[1, 0], [2, 100, 1], [3, 50, 1]]}
    starts = records.parse('g', raw).unwrap().history
    assert starts[-1] == positions.TermStart(3, 50, 1)


def test_log_newer_than_its_term_is_refused():
    raw = records.dump(records.initial('g', 'a'))
    raw |= {'term': 2, 'history': [[1, 5], [2, 4, 2]]}
    assert records.parse('g', raw).is_err()
