"""What teams have running, against their upper limits."""

from hickoryplank.core.ids import TeamId
from hickoryplank.jobs.directory import Directory
from hickoryplank.jobs.sizes import ZERO, Size

__all__ = ["TeamUse"]


class TeamUse:
    """Sum of what each team's runs take, in whatever pool."""

    def __init__(self) -> None:
        self._used: dict[TeamId, Size] = {}

    def used(self, team: TeamId) -> Size:
        """Return what a team's runs take."""
        return self._used.get(team, ZERO)

    def add(self, team: TeamId, size: Size) -> None:
        """Count a run."""
        self._used[team] = self.used(team).plus(size)

    def remove(self, team: TeamId, size: Size) -> None:
        """Count a run no more."""
        self._used[team] = self.used(team).minus(size)

    def allows(self, team: TeamId, size: Size, directory: Directory) -> bool:
        """Return whether the team's limit leaves room for one more run.

        Jobs of queues that are open to all, and of teams that were removed since,
        are bound by no limit.
        """
        known = directory.teams.get(team)
        if known is None:
            return True
        return self.used(team).plus(size).within_limit(known.limit)
