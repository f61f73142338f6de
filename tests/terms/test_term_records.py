"""Guards against misread term records and histories of unlimited length."""

import pytest

from celeryrelay.core import positions
from celeryrelay.terms import term_records


def test_a_dumped_record_is_parsed_to_the_same_record():
    record = term_records.open_term(
        term_records.close_term(term_records.initial('g', 'a')),
        'b',
        7,
        1,
    )
    assert term_records.dump(record) == {
        'term': 2,
        'primary': 'b',
        'state': 'open',
        'history': [[1, 0, 0], [2, 7, 1]],
    }
    assert term_records.parse('g', term_records.dump(record)).unwrap() == record


def test_history_keeps_the_last_sixteen_terms():
    record = term_records.initial('g', 'a')
    for offset in range(30):
        record = term_records.open_term(
            term_records.close_term(record), 'a', offset, 1
        )
    assert len(record.history) == 16
    assert record.history[-1] == positions.TermStart(31, 29, 1)
    assert term_records.parse('g', term_records.dump(record)).unwrap() == record


def test_closing_starts_a_new_term_and_keeps_the_old_primary():
    closed = term_records.close_term(term_records.initial('g', 'a'))
    assert (closed.term, closed.primary, closed.state) == (2, 'a', 'closed')
    again = term_records.close_term(closed)
    assert (again.term, again.history) == (3, closed.history)


@pytest.mark.parametrize(
    ('change', 'field'),
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
def test_the_error_names_the_invalid_field(change, field):
    raw = term_records.dump(term_records.initial('g', 'a')) | change
    message = term_records.parse('g', raw).unwrap_err()
    assert message.startswith('groups/g/term: {0}'.format(field))


@pytest.mark.parametrize('raw', [None, [], 'open', 3, {}])
def test_a_value_that_is_not_a_record_is_refused(raw):
    assert term_records.parse('g', raw).is_err()


def test_shorter_log_of_a_later_primary_is_accepted():
    """Guards against a record that no daemon accepts after two failovers.

    If the most advanced slot fails, a slot with a shorter log may be promoted
    in a later term.
    """
    raw = term_records.dump(term_records.initial('g', 'a'))
    raw |= {'term': 3, 'history': [[1, 0], [2, 100, 1], [3, 50, 1]]}
    starts = term_records.parse('g', raw).unwrap().history
    assert starts[-1] == positions.TermStart(3, 50, 1)


def test_log_newer_than_its_term_is_refused():
    raw = term_records.dump(term_records.initial('g', 'a'))
    raw |= {'term': 2, 'history': [[1, 5], [2, 4, 2]]}
    assert term_records.parse('g', raw).is_err()
