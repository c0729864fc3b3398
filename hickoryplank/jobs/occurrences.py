"""Sets of occurrences of a timed job, kept as ranges."""

from bisect import bisect_right

__all__ = ["OccurrenceSet"]


class OccurrenceSet:
    """A set of occurrence numbers, whose size is that of the gaps between them.

    A job may have millions of occurrences, which end nearly in order.

    :param ranges: first number, and number after the last, of each range; in ascending
        order, with gaps between them.
    """

    def __init__(self, ranges: list[tuple[int, int]] | None = None):
        self._ranges = ranges or []
        self._count = sum(end - first for first, end in self._ranges)

    def __len__(self) -> int:
        return self._count

    def __contains__(self, occurrence: int) -> bool:
        return self.next_missing(occurrence) != occurrence

    @property
    def ranges(self) -> list[tuple[int, int]]:
        """The ranges, in ascending order."""
        return list(self._ranges)

    def next_missing(self, occurrence: int) -> int:
        """Return the lowest number from ``occurrence`` on that is not in the set."""
        position = self._position(occurrence)
        if position and self._ranges[position - 1][1] > occurrence:
            return self._ranges[position - 1][1]
        return occurrence

    def add(self, occurrence: int) -> None:
        """Add a number, and join the ranges that it connects."""
        if occurrence in self:
            return
        self._count += 1
        position = self._position(occurrence)
        first, end = occurrence, occurrence + 1
        if position < len(self._ranges) and self._ranges[position][0] == end:
            end = self._ranges.pop(position)[1]
        if position and self._ranges[position - 1][1] == first:
            first = self._ranges.pop(position - 1)[0]
            position -= 1
        self._ranges.insert(position, (first, end))

    def _position(self, occurrence: int) -> int:
        """Return the number of ranges that begin at or before ``occurrence``."""
        return bisect_right(self._ranges, occurrence, key=lambda one: one[0])
