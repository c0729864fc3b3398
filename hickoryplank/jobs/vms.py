"""Table of VMs, and what is under way with each."""

from enum import Enum

import msgspec

from hickoryplank.core.ids import EndpointId, PoolId, VmId, WaveId
from hickoryplank.jobs.sizes import Size

__all__ = ["Due", "Errand", "Phase", "VmRow", "VmTable", "VmView"]


class VmView(msgspec.Struct, frozen=True):
    """What the platform's list says of a VM.

    :param up: it is in service, and can be moved or maintained.
    :param maintaining: it is down for its maintenance.
    """

    id: VmId
    pool: PoolId
    up: bool
    endpoint: EndpointId | None
    capacity: Size = Size()
    maintaining: bool = False


class Due(Enum):
    """Whether a VM is to be maintained for a wave, and how soon."""

    NOT = "not"
    LATER = "later"
    #: The wave's deadline is so near that nothing else may come first.
    SOON = "soon"


class Phase(Enum):
    """How far an errand has come."""

    #: Its endpoint gets nothing new, and what runs there ends or moves off.
    EMPTYING = "emptying"
    #: The order was sent, and may have been carried out.
    ORDERED = "ordered"
    #: The order was carried out; the VM isn't back yet.
    AWAY = "away"


class Errand(msgspec.Struct):
    """A move or a maintenance of one VM.

    :param pool: where it moves; none for maintenance.
    :param wave: the wave that it is maintained for; none for a move.
    :param back_at: once ordered, when it can be back at the earliest.
    """

    vm: VmId
    pool: PoolId | None
    wave: WaveId | None
    phase: Phase
    since: float
    back_at: float = 0.0


class VmRow(msgspec.Struct):
    """A VM as last listed, and its errand."""

    view: VmView
    errand: Errand | None = None
    due: Due = Due.NOT


class VmTable:
    """All VMs."""

    def __init__(self) -> None:
        self.rows: dict[VmId, VmRow] = {}
        self.listed_at: float | None = None

    def take(self, views: tuple[VmView, ...], asked_at: float) -> None:
        """Take a new list.

        :param asked_at: when it was asked for; an errand that was ordered later
            doesn't show in it.
        """
        self.listed_at = asked_at
        named = {view.id for view in views}
        for gone in set(self.rows) - named:
            del self.rows[gone]
        for view in views:
            row = self.rows.get(view.id)
            if row is None:
                self.rows[view.id] = VmRow(view)
                continue
            row.view = view
            errand = row.errand
            if errand is None or errand.phase is not Phase.AWAY:
                continue
            if view.up and asked_at > errand.back_at:
                row.errand = None

    def pool_rows(self, pool: PoolId) -> list[VmRow]:
        """Return the VMs that the list shows in a pool."""
        return [row for row in self.rows.values() if row.view.pool == pool]

    def errands(self) -> list[Errand]:
        """Return all errands under way."""
        return [row.errand for row in self.rows.values() if row.errand is not None]
