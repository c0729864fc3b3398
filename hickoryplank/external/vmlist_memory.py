"""In-memory VM list with fault injection."""

import time
from collections.abc import Callable, Iterable

import msgspec
from result import Err, Ok, Result

from hickoryplank.core.ids import VmId
from hickoryplank.external.errors import VmListFailure
from hickoryplank.external.faults import VmListFaults
from hickoryplank.external.vmlist import ListedState, ListedVm, VmList

__all__ = ["MemoryVmList"]

_HISTORY_SECONDS = 600.0


class _ListVersion(msgspec.Struct, frozen=True):
    valid_from: float
    rows: dict[VmId, ListedVm]


class MemoryVmList(VmList):
    """In-memory VM list.

    :param rows: the VMs at the start.
    :param reboot_seconds: duration of a reboot.
    :param clock: clock for reboots and the lag, in seconds.
    """

    def __init__(
        self,
        rows: Iterable[ListedVm] = (),
        reboot_seconds: float = 0.0,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self.faults = VmListFaults()
        self._reboot_seconds = reboot_seconds
        self._clock = clock
        self._reboot_ends: dict[VmId, float] = {}
        self._history = [_ListVersion(clock(), {row.vm: row for row in rows})]

    def set_faults(self, faults: VmListFaults) -> None:
        """Replace the injected faults."""
        self.faults = faults

    def current_rows(self) -> tuple[ListedVm, ...]:
        """Return the current rows, without the lag."""
        self._finish_reboots()
        return tuple(self._history[-1].rows.values())

    def put(self, row: ListedVm) -> None:
        """Add or replace the row of a VM."""
        self._finish_reboots()
        self._put(row, self._clock())

    def _put(self, row: ListedVm, when: float) -> None:
        rows = {**self._history[-1].rows, row.vm: row}
        self._history.append(_ListVersion(when, rows))
        while self._history[1].valid_from < when - _HISTORY_SECONDS:
            self._history.pop(0)

    def _finish_reboots(self) -> None:
        due = sorted((end, vm) for vm, end in self._reboot_ends.items())
        for end, vm in due:
            if end > self._clock():
                return
            del self._reboot_ends[vm]
            row = self._history[-1].rows[vm]
            if row.state is not ListedState.GONE:
                live = msgspec.structs.replace(
                    row, state=ListedState.LIVE, generation=row.generation + 1
                )
                self._put(live, end)

    async def read(self) -> Result[tuple[ListedVm, ...], VmListFailure]:
        """Return the VM list as it was ``lag_seconds`` ago."""
        if self.faults.outage:
            return Err(VmListFailure("outage (injected fault)"))
        self._finish_reboots()
        as_of = self._clock() - self.faults.lag_seconds
        past = [version for version in self._history if version.valid_from <= as_of]
        version = past[-1] if past else self._history[0]
        return Ok(tuple(version.rows.values()))

    async def reboot(
        self, vm: VmId, generation: int | None = None
    ) -> Result[None, VmListFailure]:
        """Reboot ``vm``, unless it is rebooting or not at ``generation``."""
        if self.faults.outage:
            return Err(VmListFailure("outage (injected fault)"))
        self._finish_reboots()
        row = self._history[-1].rows.get(vm)
        if row is None or row.state is ListedState.GONE:
            return Err(VmListFailure(f"VM {vm} is gone or not listed"))
        if vm not in self._reboot_ends and generation in (None, row.generation):
            self._put(
                msgspec.structs.replace(row, state=ListedState.LEAVING), self._clock()
            )
            self._reboot_ends[vm] = self._clock() + self._reboot_seconds
        if self.faults.lose_answers > 0:
            self.faults.lose_answers -= 1
            return Err(VmListFailure("response lost (injected fault)"))
        return Ok(None)
