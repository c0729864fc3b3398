"""Shortest run times of tasks that were done lately, by pool."""

import msgspec

from hickoryplank.core.ids import PoolId

__all__ = ["RunTimes"]

#: Time for which a run time counts at least, and for which at most twice as long, in
#: seconds: several times as long as tasks usually take.
WINDOW_SECONDS = 10.0


class _Window(msgspec.Struct):
    """Shortest run times of the present window and of the one before, in seconds.

    :param since: begin of the present window, by the local clock.
    """

    since: float
    present: float = float("inf")
    before: float = float("inf")


class RunTimes:
    """Run times from the first send of a start to the report that the run is done."""

    def __init__(self) -> None:
        self._windows: dict[PoolId, _Window] = {}

    def note_done(self, pool: PoolId, run_s: float, now: float) -> None:
        """Record the run time of a run that is done, in seconds."""
        window = self._window_at(pool, now)
        window.present = min(window.present, run_s)

    def shortest(self, pool: PoolId, now: float) -> float | None:
        """Return the shortest run time lately, in seconds; none if there is no run."""
        window = self._window_at(pool, now)
        shortest = min(window.present, window.before)
        return None if shortest == float("inf") else shortest

    def _window_at(self, pool: PoolId, now: float) -> _Window:
        window = self._windows.setdefault(pool, _Window(now))
        age_s = now - window.since
        if age_s >= WINDOW_SECONDS:
            window.before = (
                window.present if age_s < 2 * WINDOW_SECONDS else float("inf")
            )
            window.present = float("inf")
            window.since = now
        return window
