"""Guards against ranges that differ from the set of numbers they represent."""

from hypothesis import given, settings
from hypothesis import strategies as st

from celeryrelay.accounting import sequences

NUMBERS = st.lists(st.integers(1, 30), max_size=25)


def make_ranges(numbers):
    ranges = []
    for number in numbers:
        sequences.add(ranges, number)
    return ranges


def expand(ranges):
    return [n for first, last in ranges for n in range(first, last + 1)]


@settings(derandomize=True, deadline=None)
@given(NUMBERS, NUMBERS)
def test_range_operations_equal_set_operations(left, right):
    ranges, others = make_ranges(left), make_ranges(right)
    assert expand(ranges) == sorted(set(left))
    gaps = [(first, last) for first, last in zip(ranges, ranges[1:])]
    assert all(one[1] + 1 < other[0] for one, other in gaps)
    assert all(sequences.contains(ranges, n) == (n in left) for n in range(32))
    assert expand(sequences.union([ranges, others])) == sorted({*left, *right})
    shared = sorted(set(left) & set(right))
    assert expand(sequences.overlaps([ranges, others])) == shared
    missing = set(range(1, max(left, default=0))) - set(left)
    assert expand(sequences.missing(ranges, 1)) == sorted(missing)


def test_add_returns_whether_the_number_is_new():
    ranges = [[1, 3]]
    assert not sequences.add(ranges, 2)
    assert sequences.add(ranges, 4)
    assert ranges == [[1, 4]]
