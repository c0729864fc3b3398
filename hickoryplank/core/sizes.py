"""Learned sizes of runs, in units of the scarcest resource."""

import msgspec

from hickoryplank.core.ids import QueueId, TeamId

__all__ = ["SizeTable", "Usage", "units_of"]

#: Weight of the newest usage report.
SIZE_GAIN = 0.2


class Usage(msgspec.Struct, frozen=True):
    """Resources used by a run, or available to one slot.

    :param cores: processor cores.
    :param memory: memory in MB.
    :param accelerators: accelerator devices.
    """

    cores: float = 0.0
    memory: float = 0.0
    accelerators: float = 0.0


def units_of(used: Usage, slot: Usage) -> float:
    """Return the units that a run takes.

    One unit is a slot with its part of the resources of the VM. A run takes at
    least one unit, or the largest ratio of any resource that it uses to the
    slot's part of that resource.

    :param used: the resources that the run uses.
    :param slot: a slot's part of the resources of its VM.
    """
    pairs = (
        (used.cores, slot.cores),
        (used.memory, slot.memory),
        (used.accelerators, slot.accelerators),
    )
    return max(1.0, *(use / part for use, part in pairs if part > 0))


class SizeTable:
    """Sizes of the runs of each queue and team, learned from usage reports.

    A declared size is used only until the first report.
    """

    def __init__(self) -> None:
        self._units: dict[tuple[QueueId, TeamId], float] = {}

    def of(self, queue: QueueId, team: TeamId, declared: float = 1.0) -> float:
        """Return the units that a run is expected to take."""
        return self._units.get((queue, team), declared)

    def observe(self, queue: QueueId, team: TeamId, units: float) -> None:
        """Update the moving average with one usage report."""
        old = self._units.get((queue, team), units)
        self._units[queue, team] = old + SIZE_GAIN * (units - old)
