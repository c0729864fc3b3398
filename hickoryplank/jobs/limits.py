"""Resource limits and rate limits of teams."""

from hickoryplank.core.ids import TeamId
from hickoryplank.jobs.configuration import Configuration
from hickoryplank.jobs.sizes import ZERO, Size

__all__ = ["TeamRates", "TeamUse"]

#: Burst that a team may submit at once, as the time in which its share accrues.
BURST_SECONDS = 1.0


class TeamUse:
    """Resources in use by the runs of each team, over all pools."""

    def __init__(self) -> None:
        self._used: dict[TeamId, Size] = {}

    def used(self, team: TeamId) -> Size:
        """Return the resources in use by a team."""
        return self._used.get(team, ZERO)

    def add(self, team: TeamId, size: Size) -> None:
        """Add the resources of a run."""
        self._used[team] = self.used(team).plus(size)

    def remove(self, team: TeamId, size: Size) -> None:
        """Subtract the resources of a run that has ended."""
        self._used[team] = self.used(team).minus(size)

    def allows(self, team: TeamId, size: Size, configuration: Configuration) -> bool:
        """Return whether the limit of a team permits another run of the given size.

        Jobs of queues that require no key, and of teams that have been removed, are
        not limited.
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
    """Token buckets that tell which jobs exceed the share of their team.

    The share of a team is its weight, in jobs per second. When a team sends many times
    its usual load, the jobs beyond its share are served after all other work, so that
    the response times of the other teams' jobs are kept.
    """

    def __init__(self) -> None:
        self._buckets: dict[TeamId, _Bucket] = {}

    def take(self, team: TeamId, configuration: Configuration, now: float) -> bool:
        """Take a token for a job; return whether the job is within its team's share."""
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
