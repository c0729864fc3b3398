"""Interface to the platform's VM list, which lags by some seconds, and to reboots."""

from abc import ABC, abstractmethod
from enum import Enum

import msgspec
from result import Result

from hickoryplank.core.ids import VmId
from hickoryplank.external.errors import VmListFailure

__all__ = ["ListedState", "ListedVm", "VmList"]


class ListedState(Enum):
    """Listed state of a VM."""

    LIVE = "live"
    LEAVING = "leaving"
    GONE = "gone"


class ListedVm(msgspec.Struct, frozen=True):
    """One row of the VM list.

    :param address: IP address of the VM.
    :param generation: number that increases with each restart or replacement of the
        VM.
    """

    vm: VmId
    address: str
    state: ListedState
    generation: int


class VmList(ABC):
    """Client of the VM list."""

    @abstractmethod
    async def read(self) -> Result[tuple[ListedVm, ...], VmListFailure]:
        """Return the VM list, which lags by some seconds."""

    @abstractmethod
    async def reboot(
        self, vm: VmId, generation: int | None = None
    ) -> Result[None, VmListFailure]:
        """Request a reboot of ``vm``.

        :param generation: generation to end. The request is ignored if the VM has a
            later one, so a repeated request reboots the VM once. Without it, a
            request that is repeated after the reboot causes a second reboot.
        """
