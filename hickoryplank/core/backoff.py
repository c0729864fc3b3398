"""Exponential backoff."""

__all__ = ["doubled"]

#: Cap on the exponent, which keeps large retry counts from overflowing.
MAX_DOUBLINGS = 30


def doubled(first: float, times: int, longest: float) -> float:
    """Return ``first`` doubled ``times`` times, at most ``longest``.

    :param first: the shortest time, in seconds.
    :param times: number of doublings.
    :param longest: the longest time, in seconds.
    """
    return min(first * 2.0 ** min(times, MAX_DOUBLINGS), longest)
