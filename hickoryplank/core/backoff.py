"""Times that double with each try."""

__all__ = ["doubled"]

#: Doublings after which no time that matters is below its longest.
MOST_DOUBLINGS = 30


def doubled(first: float, times: int, longest: float) -> float:
    """Return ``first`` doubled ``times`` times, at most ``longest``.

    :param first: the shortest time, in seconds.
    :param longest: the longest time, in seconds.
    """
    return min(first * 2.0 ** min(times, MOST_DOUBLINGS), longest)
