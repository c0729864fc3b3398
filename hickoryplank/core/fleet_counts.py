"""Estimates of the units that each team runs across the fleet."""

from collections.abc import Mapping

from hickoryplank.core.ids import TeamId

__all__ = ["FleetCounts"]


class FleetCounts:
    """Estimates of running units by team, kept by one owner of pools.

    Owners exchange their counts periodically. Between exchanges an owner knows
    only its own changes, and all owners would correct the same distance from an
    entitlement together. An owner therefore takes its own change as a sample and
    assumes that the others change alike, in proportion to their part of the
    team's work.

    :ivar own: units that run in this owner's pools.
    :ivar running: estimated units that run across the fleet.
    """

    def __init__(self) -> None:
        self.own: dict[TeamId, float] = {}
        self.running: dict[TeamId, float] = {}
        self._base_own: dict[TeamId, float] = {}
        self._base: dict[TeamId, float] = {}
        self._factor: dict[TeamId, float] = {}

    def change(self, team: TeamId, units: float) -> None:
        """Add the units of a run that starts; negative ``units`` for one that ends."""
        self.own[team] = self.own.get(team, 0.0) + units
        self._estimate(team)

    def exchange(
        self, running: Mapping[TeamId, float], parts: Mapping[TeamId, float]
    ) -> None:
        """Replace the estimates by counts of the whole fleet, including this owner.

        :param running: units that each team runs across the fleet.
        :param parts: this owner's part of each team's work, running and waiting,
            from 0 to 1.
        """
        self._base = dict(running)
        self._base_own = dict(self.own)
        self._factor = {team: 1.0 / part for team, part in parts.items() if part > 0}
        for team in self.running.keys() | self._base.keys():
            self._estimate(team)

    def _estimate(self, team: TeamId) -> None:
        own = self.own.get(team, 0.0)
        delta = own - self._base_own.get(team, 0.0)
        total = self._base.get(team, 0.0) + delta * self._factor.get(team, 1.0)
        self.running[team] = max(total, own)
