"""Resource limits and rate limits of teams."""

from hickoryplank.core.ids import TeamId
from hickoryplank.jobs.configuration import Configuration
from hickoryplank.jobs.sizes import ZERO, Size

__all__ = ["TeamRateLimiter", "TeamUsage"]

#: Burst that a team may submit at once, as the time in which its share accrues.
BURST_SECONDS = 1.0


class TeamUsage:
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
        team_config = configuration.teams.get(team)
        if team_config is None:
            return True
        return self.used(team).plus(size).within_limit(team_config.limit)


class _TokenBucket:
    __slots__ = ("refilled_at", "tokens")

    def __init__(self, tokens: float, refilled_at: float):
        self.tokens = tokens
        self.refilled_at = refilled_at


class TeamRateLimiter:
    """Token buckets that tell which jobs exceed the share of their team.

    The share of a team is its weight, in jobs per second. When a team sends many times
    its usual load, the jobs beyond its share are served after all other work, so that
    the response times of the other teams' jobs are kept.
    """

    def __init__(self) -> None:
        self._buckets: dict[TeamId, _TokenBucket] = {}

    def take_token(
        self, team: TeamId, configuration: Configuration, now: float
    ) -> bool:
        """Take a token for a job; return whether the job is within its team's share."""
        team_config = configuration.teams.get(team)
        if team_config is None:
            return True
        capacity = max(1.0, team_config.weight * BURST_SECONDS)
        bucket = self._buckets.get(team)
        if bucket is None:
            bucket = self._buckets[team] = _TokenBucket(capacity, now)
        earned = (now - bucket.refilled_at) * team_config.weight
        bucket.tokens = min(capacity, bucket.tokens + earned)
        bucket.refilled_at = now
        if bucket.tokens < 1.0:
            return False
        bucket.tokens -= 1.0
        return True
