"""Clients of workers, readings of their clocks, and leases of running tasks."""

import logging

import anyio
import msgspec
from result import Err, Ok, Result

from hickoryplank.core.freshness import MAX_STALENESS_SECONDS
from hickoryplank.core.ids import TaskId, VmId
from hickoryplank.core.tables import Tables
from hickoryplank.external.errors import StartNotRun, StartOutcomeUnknown, WorkerFailure
from hickoryplank.external.worker import Answer, StartRequest, Worker, WorkerDirectory
from hickoryplank.shell.clock import Clock

__all__ = [
    "TASK_LEASE_SECONDS",
    "RELEASE_DELAY_SECONDS",
    "WorkerClock",
    "WorkerClients",
]

logger = logging.getLogger(__name__)

TASK_LEASE_SECONDS = 6.0
LEASE_RENEWAL_SECONDS = 2.0
RELEASE_DELAY_SECONDS = TASK_LEASE_SECONDS + MAX_STALENESS_SECONDS
MAX_CLOCK_AGE_SECONDS = 30.0


class WorkerClock(msgspec.Struct, frozen=True):
    """The boot id of a worker and a reading of its clock.

    :param reading: the worker's clock in seconds.
    :param received: when the reading arrived, on this node's clock in seconds.
    """

    boot: str
    reading: float
    received: float

    def at(self, now: float) -> float:
        """Return a lower bound of the worker's clock at ``now``."""
        return self.reading + (now - self.received)


class WorkerClients:
    """Clients of the workers on all VMs, by VM."""

    def __init__(self, workers: WorkerDirectory, clock: Clock):
        self._workers = workers
        self._clock = clock
        self._clocks: dict[VmId, WorkerClock] = {}
        self._addresses: dict[VmId, str] = {}

    def client(self, tables: Tables, vm: VmId) -> Worker | None:
        """Return the client of the worker on ``vm``; ``None`` without an endpoint."""
        endpoint = tables.endpoint_of(vm)
        if endpoint is None:
            return None
        if self._addresses.get(vm) != endpoint.address:
            self._clocks.pop(vm, None)
            self._addresses[vm] = endpoint.address
        return self._workers.at(endpoint.address)

    async def clock_of(
        self, worker: Worker, vm: VmId
    ) -> Result[WorkerClock, WorkerFailure]:
        """Return the worker's clock; a reading that is too old is renewed."""
        clock_reading = self._clocks.get(vm)
        if (
            clock_reading is not None
            and self._clock.now() - clock_reading.received < MAX_CLOCK_AGE_SECONDS
        ):
            return Ok(clock_reading)
        match await worker.status():
            case Ok(status):
                clock_reading = WorkerClock(
                    status.boot, status.clock, self._clock.now()
                )
                self._clocks[vm] = clock_reading
                return Ok(clock_reading)
            case Err(failure):
                return Err(failure)

    def forget_clock(self, vm: VmId) -> None:
        """Discard the clock reading of ``vm``, so that the next start renews it."""
        self._clocks.pop(vm, None)

    async def run(
        self, worker: Worker, start: StartRequest
    ) -> Result[Answer, StartNotRun | StartOutcomeUnknown]:
        """Start a task, and renew its lease until the worker answers."""
        async with anyio.create_task_group() as group:
            group.start_soon(renew_lease, worker, start.task, start.attempt)
            answer = await worker.start(start)
            group.cancel_scope.cancel()
        return answer


async def renew_lease(worker: Worker, task: TaskId, attempt: int) -> None:
    """Renew the lease of a task until cancelled."""
    while True:
        await anyio.sleep(LEASE_RENEWAL_SECONDS)
        renewed = await worker.renew(task, attempt, TASK_LEASE_SECONDS)
        if renewed.is_err():
            logger.info(
                "lease of task %s not renewed: %s", task, renewed.unwrap_err().detail
            )
