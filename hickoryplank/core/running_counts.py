"""Exchange of running counts between nodes, within a bound on traffic."""

from collections.abc import Mapping

from hickoryplank.core.ids import TeamId
from hickoryplank.core.messages import RunningCounts

__all__ = ["RunningCountsReporter", "merge_running_counts"]

#: Bound on the traffic of one node to all its peers.
BYTES_A_SECOND = 600.0
#: Encoded size assumed for the count of one team and for the rest of a message.
TEAM_BYTES = 16
MESSAGE_BYTES = 48
#: Shortest interval between two reports.
SHORTEST_INTERVAL_SECONDS = 0.4
#: Interval between two complete reports.
WHOLE_REPORT_SECONDS = 30.0


class RunningCountsReporter:
    """Decides when to report running counts to peers, and of which teams.

    Most reports contain only the counts that changed. The interval grows with
    the size of the report. A complete report is sent periodically, since
    messages may be lost.
    """

    def __init__(self) -> None:
        self._reported: dict[TeamId, int] = {}
        self._next_report_at = 0.0
        self._next_whole_at = 0.0

    def next_report(
        self, counts: Mapping[TeamId, int], peers: int, now: float
    ) -> RunningCounts | None:
        """Return the report to send to all peers now, or ``None`` if none is due.

        :param counts: number of runs of each team that has any.
        :param peers: number of peers.
        :param now: the node's clock, in seconds.
        """
        if now < self._next_report_at:
            return None
        whole = now >= self._next_whole_at
        changed = dict(counts) if whole else self._changes(counts)
        if not changed and not whole:
            return None
        if whole:
            self._next_whole_at = now + WHOLE_REPORT_SECONDS
        self._reported = dict(counts)
        size = MESSAGE_BYTES + TEAM_BYTES * len(changed)
        self._next_report_at = now + max(
            SHORTEST_INTERVAL_SECONDS, size * peers / BYTES_A_SECOND
        )
        return RunningCounts(changed, whole)

    def _changes(self, counts: Mapping[TeamId, int]) -> dict[TeamId, int]:
        teams = counts.keys() | self._reported.keys()
        return {
            team: counts.get(team, 0)
            for team in sorted(teams)
            if counts.get(team, 0) != self._reported.get(team, 0)
        }


def merge_running_counts(
    known: Mapping[TeamId, int], report: RunningCounts
) -> dict[TeamId, int]:
    """Return a peer's counts after one of its reports.

    :param known: the counts before the report.
    """
    merged = report.counts if report.whole else {**known, **report.counts}
    return {team: count for team, count in merged.items() if count}
