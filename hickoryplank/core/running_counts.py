"""Counts of running work that nodes tell each other, within a bound on traffic."""

from collections.abc import Mapping

from hickoryplank.core.ids import TeamId
from hickoryplank.core.messages import RunningCounts

__all__ = ["RunningCountsReporter", "merge_running_counts"]

BYTES_A_SECOND = 600.0
TEAM_BYTES = 16
MESSAGE_BYTES = 48
SHORTEST_SECONDS = 0.4
WHOLE_SECONDS = 30.0


class RunningCountsReporter:
    """Decides when to tell peers what runs here, and which teams to name.

    Only changes are told, the larger the message the less often. Since messages
    may be lost, all counts are told now and then.
    """

    def __init__(self) -> None:
        self._told: dict[TeamId, int] = {}
        self._next = 0.0
        self._whole_at = 0.0

    def next_report(
        self, counts: Mapping[TeamId, int], peers: int, now: float
    ) -> RunningCounts | None:
        """Return what to tell ``peers`` peers now.

        :param counts: running work of each team; none for teams without any.
        """
        if now < self._next:
            return None
        whole = now >= self._whole_at
        changed = dict(counts) if whole else self._changes(counts)
        if not changed and not whole:
            return None
        if whole:
            self._whole_at = now + WHOLE_SECONDS
        self._told = dict(counts)
        size = MESSAGE_BYTES + TEAM_BYTES * len(changed)
        self._next = now + max(SHORTEST_SECONDS, size * peers / BYTES_A_SECOND)
        return RunningCounts(changed, whole)

    def _changes(self, counts: Mapping[TeamId, int]) -> dict[TeamId, int]:
        teams = counts.keys() | self._told.keys()
        return {
            team: counts.get(team, 0)
            for team in sorted(teams)
            if counts.get(team, 0) != self._told.get(team, 0)
        }


def merge_running_counts(
    known: Mapping[TeamId, int], told: RunningCounts
) -> dict[TeamId, int]:
    """Return a peer's counts after it told something."""
    merged = told.counts if told.whole else {**known, **told.counts}
    return {team: count for team, count in merged.items() if count}
