"""Tests of sets of occurrences against plain sets."""

from itertools import pairwise

from hypothesis import given
from hypothesis import strategies as st

from hickoryplank.jobs.occurrences import OccurrenceSet


@given(st.lists(st.integers(0, 30)), st.integers(0, 32))
def test_ranges_hold_what_a_plain_set_holds(numbers, asked):
    ranges, plain = OccurrenceSet(), set()
    for number in numbers:
        ranges.add(number)
        plain.add(number)
    assert len(ranges) == len(plain)
    assert (asked in ranges) == (asked in plain)
    expected = next(one for one in range(asked, 64) if one not in plain)
    assert ranges.next_missing(asked) == expected
    assert {one for first, end in ranges.ranges for one in range(first, end)} == plain
    assert all(end < later for (_, end), (later, _) in pairwise(ranges.ranges))
    assert OccurrenceSet(ranges.ranges).ranges == ranges.ranges
