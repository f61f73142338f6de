"""Guards against differences that are missing or name the wrong object."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from celeryrelay.configuration import differences

OLD = {
    'routes': [{'name': 'a', 'group': 'g'}, {'name': 'b', 'group': 'g'}],
    'ranks': [{'rank': 'bookings', 'share': 1}],
}


@pytest.mark.parametrize(
    ('new', 'expected'),
    [
        (OLD, []),
        ({**OLD, 'routes': OLD['routes'][::-1]}, []),
        ({**OLD, 'routes': OLD['routes'][1:]}, ['- routes[a]: ']),
        (
            {**OLD, 'routes': [{'name': 'a', 'group': 'h'}]},
            ["~ routes[a].group: 'g' -> 'h'", '- routes[b]: '],
        ),
        ({'ranks': OLD['ranks']}, ['- routes[a]: ', '- routes[b]: ']),
        ({**OLD, 'x': [{'name': 'n'}]}, ['+ x[n]: ']),
        ({**OLD, 'x': []}, ['+ x: []']),
        (
            {**OLD, 'ranks': [{'rank': 'bookings', 'share': True}]},
            ['~ ranks[bookings].share: 1 -> True'],
        ),
        # Objects that share a name are matched by position.
        (
            {**OLD, 'routes': [OLD['routes'][0], OLD['routes'][0]]},
            ["~ routes[1].name: 'b' -> 'a'"],
        ),
        ([], ['~ (top level): ']),
    ],
)
def test_paths_contain_object_names(new, expected):
    found = [str(one) for one in differences.diff(OLD, new)]
    assert len(found) == len(expected)
    for line, start in zip(found, expected, strict=True):
        assert line.startswith(start)


DOCUMENTS = st.recursive(
    st.none() | st.booleans() | st.integers(0, 2) | st.text('ab', max_size=2),
    lambda children: (
        st.lists(children, max_size=3)
        | st.dictionaries(st.sampled_from(['name', 'x']), children)
    ),
    max_leaves=8,
)


@settings(derandomize=True, max_examples=300, deadline=None)
@given(DOCUMENTS, DOCUMENTS)
def test_any_documents_can_be_compared(old, new):
    assert not differences.diff(old, old)
    found = differences.diff(old, new)
    if not found:
        assert not differences.diff(new, old)
