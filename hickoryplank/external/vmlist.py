"""The platform's lagging list of VMs, and its switch to reboot one."""

from abc import ABC, abstractmethod
from enum import Enum

import msgspec
from result import Result

from hickoryplank.core.ids import VmId
from hickoryplank.external.errors import VmListFailure

__all__ = ["ListedState", "ListedVm", "VmList"]


class ListedState(Enum):
    """What the list says of a VM."""

    LIVE = "live"
    LEAVING = "leaving"
    GONE = "gone"


class ListedVm(msgspec.Struct, frozen=True):
    """One row of the list.

    :param address: IP address of the VM.
    :param generation: grows each time the VM is restarted or replaced.
    """

    vm: VmId
    address: str
    state: ListedState
    generation: int


class VmList(ABC):
    """A client of the VM list."""

    @abstractmethod
    async def read(self) -> Result[tuple[ListedVm, ...], VmListFailure]:
        """Return the list as it is known now, some seconds late."""

    @abstractmethod
    async def reboot(
        self, vm: VmId, generation: int | None = None
    ) -> Result[None, VmListFailure]:
        """Ask the platform to reboot ``vm``; asking twice for one boot is harmless.

        :param generation: the generation to end; a VM past it is left alone. Without
            it, a second request that comes after the reboot causes another.
        """
