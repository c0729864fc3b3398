"""Learned sizes of runs, in units of the scarcest resource.

One unit is a slot together with the slot's part of its VM's resources. A run
takes the largest of these: its slot, and each resource that it was seen to use
over the slot's part of it. Declared sizes are only the first guess.
"""

import msgspec

from hickoryplank.core.ids import QueueId, TeamId

__all__ = ["SizeTable", "Usage", "units_of"]

#: Weight of the newest usage report.
SIZE_GAIN = 0.2


class Usage(msgspec.Struct, frozen=True):
    """Resources used by a run, or offered by one slot.

    :param cores: processor cores.
    :param memory: memory in MB.
    :param accelerators: accelerator devices.
    """

    cores: float = 0.0
    memory: float = 0.0
    accelerators: float = 0.0


def units_of(used: Usage, slot: Usage) -> float:
    """Return the units that a run takes which uses ``used``.

    :param slot: a slot's part of its VM's resources.
    """
    pairs = (
        (used.cores, slot.cores),
        (used.memory, slot.memory),
        (used.accelerators, slot.accelerators),
    )
    return max(1.0, *(use / part for use, part in pairs if part > 0))


class SizeTable:
    """Sizes of the runs of each queue and team, learned from usage reports."""

    def __init__(self) -> None:
        self._units: dict[tuple[QueueId, TeamId], float] = {}

    def of(self, queue: QueueId, team: TeamId, declared: float = 1.0) -> float:
        """Return the units that a run is expected to take."""
        return self._units.get((queue, team), declared)

    def observe(self, queue: QueueId, team: TeamId, units: float) -> None:
        """Learn from one usage report."""
        old = self._units.get((queue, team), units)
        self._units[queue, team] = old + SIZE_GAIN * (units - old)
