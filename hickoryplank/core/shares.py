"""Entitlements of teams in a full fleet, and the distance from them."""

from collections import deque
from collections.abc import Iterable, Mapping

import msgspec

from hickoryplank.core.ids import TeamId
from hickoryplank.core.queues import MIN_WEIGHT

__all__ = ["ShareMeter", "TeamDemand", "entitlements"]

#: Time over which the distance from the entitlement is averaged, in seconds.
WINDOW_SECONDS = 10.0


class TeamDemand(msgspec.Struct, frozen=True, kw_only=True):
    """Demand, share and limit of one team.

    :param weight: the team's share, in percent of the fleet.
    :param limit: the team's upper limit, in units.
    :param demand: units of running and waiting work, on pools that the team can
        use.
    """

    team: TeamId
    weight: float
    limit: float
    demand: float

    @property
    def cap(self) -> float:
        """Upper bound of the team's entitlement, in units."""
        return max(min(self.limit, self.demand), 0.0)


def entitlements(demands: Iterable[TeamDemand], capacity: float) -> dict[TeamId, float]:
    """Return the weighted max-min allocation of ``capacity``, in units.

    No team is entitled to more than its demand or its limit; capacity that it
    cannot use is divided among the other teams by weight.

    :param capacity: units of the fleet.
    """
    rows = sorted(demands, key=lambda row: row.cap / _weight(row))
    remaining = max(capacity, 0.0)
    entitled_units = {}
    for index, row in enumerate(rows):
        weights = sum(_weight(other) for other in rows[index:])
        entitled_units[row.team] = min(row.cap, remaining * _weight(row) / weights)
        remaining -= entitled_units[row.team]
    return entitled_units


def _weight(row: TeamDemand) -> float:
    return max(row.weight, MIN_WEIGHT)


class _Observation(msgspec.Struct):
    at: float
    seconds: float
    distances: dict[TeamId, float]


class ShareMeter:
    """Distance of each team from its entitlement, as a moving average.

    :param window: time over which to average, in seconds.
    """

    def __init__(self, window: float = WINDOW_SECONDS) -> None:
        self._window = window
        self._observations: deque[_Observation] = deque()
        self._sums: dict[TeamId, float] = {}
        self._seconds = 0.0
        self._last_observed: float | None = None

    def observe(
        self,
        now: float,
        running: Mapping[TeamId, float],
        entitled_units: Mapping[TeamId, float],
    ) -> None:
        """Add what was running since the last observation.

        :param now: time of the observation, in seconds.
        :param running: units that each team ran.
        :param entitled_units: units to which each team was entitled.
        """
        if self._last_observed is not None and now > self._last_observed:
            teams = running.keys() | entitled_units.keys()
            distances = {
                t: running.get(t, 0.0) - entitled_units.get(t, 0.0) for t in teams
            }
            self._add(_Observation(now, now - self._last_observed, distances), 1)
        self._last_observed = now
        while self._observations and self._observations[0].at <= now - self._window:
            self._add(self._observations.popleft(), -1)

    def distance(self, team: TeamId) -> float:
        """Return how far ``team`` was above its entitlement on average, in units.

        The distance is negative if the team was below its entitlement.
        """
        return self._sums.get(team, 0.0) / self._seconds if self._seconds else 0.0

    def max_distance(self) -> float:
        """Return the largest absolute distance of any team, in units."""
        return max((abs(self.distance(team)) for team in self._sums), default=0.0)

    def _add(self, observation: _Observation, sign: int) -> None:
        if sign > 0:
            self._observations.append(observation)
        self._seconds += sign * observation.seconds
        for team, distance_units in observation.distances.items():
            total = (
                self._sums.get(team, 0.0) + sign * observation.seconds * distance_units
            )
            self._sums[team] = total
