"""What teams have running, against their upper limits."""

from hickoryplank.core.ids import TeamId
from hickoryplank.jobs.configuration import Configuration
from hickoryplank.jobs.sizes import ZERO, Size

__all__ = ["TeamRates", "TeamUse"]

#: Seconds of its share that a team may hand in at once.
BURST_SECONDS = 1.0


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

    def allows(self, team: TeamId, size: Size, configuration: Configuration) -> bool:
        """Return whether the team's limit leaves room for one more run.

        Jobs of queues that are open to all, and of teams that were removed since,
        are bound by no limit.
        """
        known = configuration.teams.get(team)
        if known is None:
            return True
        return self.used(team).plus(size).within_limit(known.limit)


class _Bucket:
    __slots__ = ("at", "left")

    def __init__(self, left: float, at: float):
        self.left = left
        self.at = at


class TeamRates:
    """Which jobs go beyond the share that their team may hand in.

    Load that this answers: one team sends many times its usual. Its share is its
    weight in jobs a second; what goes beyond is served after all other work, so that
    the other teams' jobs keep their time.
    """

    def __init__(self) -> None:
        self._buckets: dict[TeamId, _Bucket] = {}

    def take(self, team: TeamId, configuration: Configuration, now: float) -> bool:
        """Count a job; return whether it is within its team's share."""
        known = configuration.teams.get(team)
        if known is None:
            return True
        most = max(1.0, known.weight * BURST_SECONDS)
        bucket = self._buckets.get(team)
        if bucket is None:
            bucket = self._buckets[team] = _Bucket(most, now)
        earned = (now - bucket.at) * known.weight
        bucket.left = min(most, bucket.left + earned)
        bucket.at = now
        if bucket.left < 1.0:
            return False
        bucket.left -= 1.0
        return True
