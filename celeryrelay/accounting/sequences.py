"""Sets of sequence numbers, stored as sorted, disjoint, closed ranges."""

import bisect
import operator
from collections import abc

Ranges = list[list[int]]

_FIRST = operator.itemgetter(0)


def contains(ranges: Ranges, number: int) -> bool:
    """Return whether `number` is in one of the ranges."""
    index = bisect.bisect_right(ranges, number, key=_FIRST)
    return index > 0 and number <= ranges[index - 1][1]


def add(ranges: Ranges, number: int) -> bool:
    """Add `number` in place; return False if it was already included."""
    index = bisect.bisect_right(ranges, number, key=_FIRST)
    if index > 0 and number <= ranges[index - 1][1]:
        return False
    joins_left = index > 0 and ranges[index - 1][1] == number - 1
    joins_right = index < len(ranges) and ranges[index][0] == number + 1
    if joins_left and joins_right:
        ranges[index - 1][1] = ranges.pop(index)[1]
    elif joins_left:
        ranges[index - 1][1] = number
    elif joins_right:
        ranges[index][0] = number
    else:
        ranges.insert(index, [number, number])
    return True


def union(range_lists: abc.Iterable[Ranges]) -> Ranges:
    """Return the numbers that are in any of the range lists."""
    merged: Ranges = []
    every_range = sorted(
        one_range for ranges in range_lists for one_range in ranges
    )
    for first, last in every_range:
        if merged and first <= merged[-1][1] + 1:
            merged[-1][1] = max(merged[-1][1], last)
        else:
            merged.append([first, last])
    return merged


def overlaps(range_lists: abc.Iterable[Ranges]) -> Ranges:
    """Return the numbers that are in more than one of the range lists."""
    shared: Ranges = []
    highest = None
    every_range = sorted(
        one_range for ranges in range_lists for one_range in ranges
    )
    for first, last in every_range:
        if highest is not None and first <= highest:
            shared.append([first, min(last, highest)])
        highest = last if highest is None else max(last, highest)
    return union([shared])


def missing(ranges: Ranges, first: int) -> Ranges:
    """Return the numbers from `first` to the highest that are not included."""
    gaps: Ranges = []
    expected = first
    for start, end in ranges:
        if start > expected:
            gaps.append([expected, start - 1])
        expected = max(expected, end + 1)
    return gaps
