"""Availability zones that operators have evacuated, in which nothing may be started.

Endpoints hold a reference to the one table of their engine, so that the zones apply to
endpoints that are listed later, or begin a new incarnation, without being copied.
"""

from collections.abc import Iterable

from hickoryplank.core.ids import EndpointId, Zone

__all__ = ["WARM_UP_RUNS_PER_ENDPOINT", "WARM_UP_SECONDS", "EvacuatedZones"]

#: Time after a zone was taken back for which the runs on its idle endpoints are
#: limited. It is less than the 3 s for which a task may wait beside free capacity.
WARM_UP_SECONDS = 2.0
#: Most runs at once on such an endpoint. They may be slower at first, as caches and
#: connections have been dropped meanwhile.
WARM_UP_RUNS_PER_ENDPOINT = 3


class EvacuatedZones:
    """The evacuated zones, and the endpoints that warm up after one was taken back."""

    def __init__(self) -> None:
        self.zones: frozenset[Zone] = frozenset()
        self._warm_up_until: dict[EndpointId, float] = {}

    def __contains__(self, zone: Zone) -> bool:
        return zone in self.zones

    def replace(
        self, zones: frozenset[Zone], idle: Iterable[EndpointId], now: float
    ) -> None:
        """Replace the evacuated zones.

        :param idle: endpoints without runs in the zones that are taken back by this.
        :param now: time by the local clock, in seconds.
        """
        self.zones = zones
        for id in idle:
            self._warm_up_until[id] = now + WARM_UP_SECONDS

    def end_warm_ups(self, now: float) -> None:
        """Lift the limits that have lasted for ``WARM_UP_SECONDS``."""
        for id, until in list(self._warm_up_until.items()):
            if now >= until:
                del self._warm_up_until[id]

    def admits_run(self, id: EndpointId, run_count: int) -> bool:
        """Return whether an endpoint may have one more run, by its warm-up alone.

        :param run_count: runs that it has, or has been given, already.
        """
        return id not in self._warm_up_until or run_count < WARM_UP_RUNS_PER_ENDPOINT
