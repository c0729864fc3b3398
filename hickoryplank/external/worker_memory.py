"""In-memory clients of simulated workers."""

import anyio
from result import Err, Ok, Result

from hickoryplank.core.ids import TaskId
from hickoryplank.external.errors import (
    StartNotRun,
    StartOutcomeUnknown,
    StartRefusal,
    WorkerFailure,
)
from hickoryplank.external.worker import (
    Answer,
    StartRequest,
    TaskReport,
    Worker,
    WorkerDirectory,
    WorkerStatus,
)
from hickoryplank.external.worker_simulator import Interrupted, Sent, WorkerSimulator

__all__ = ["MemoryWorker", "MemoryWorkerDirectory"]

RESPONSE_TIMEOUT_SECONDS = 5.0

_NO_RESPONSE = WorkerFailure("worker did not respond")


class MemoryWorker(Worker):
    """Client of a simulated worker in memory.

    :param simulator: the simulated worker.
    :param timeout_seconds: response time-out.
    """

    def __init__(
        self,
        simulator: WorkerSimulator,
        timeout_seconds: float = RESPONSE_TIMEOUT_SECONDS,
    ) -> None:
        self.simulator = simulator
        self._timeout_seconds = timeout_seconds

    async def status(self) -> Result[WorkerStatus, WorkerFailure]:
        """Return the worker's boot id, clock and load."""
        with anyio.move_on_after(self._timeout_seconds):
            return Ok(await self.simulator.status())
        return Err(_NO_RESPONSE)

    async def start(
        self, start: StartRequest
    ) -> Result[Answer, StartNotRun | StartOutcomeUnknown]:
        """Run a task and return its answer; a repeated attempt is run once."""
        async with anyio.create_task_group() as group:
            group.start_soon(self._cancel_if_unresponsive, group.cancel_scope)
            outcome = await self.simulator.start(start)
            group.cancel_scope.cancel()
            return _to_result(start, outcome)
        return Err(StartOutcomeUnknown("worker did not respond"))

    async def _cancel_if_unresponsive(self, scope: anyio.CancelScope) -> None:
        while (await self.status()).is_ok():
            await anyio.sleep(self._timeout_seconds)
        scope.cancel()

    async def renew(
        self, task: TaskId, attempt: int, lease: float
    ) -> Result[None, WorkerFailure]:
        """Renew the lease of a running task for ``lease`` seconds from now."""
        with anyio.move_on_after(self._timeout_seconds):
            if await self.simulator.renew(task, attempt, lease):
                return Ok(None)
            return Err(WorkerFailure("attempt is not running"))
        return Err(_NO_RESPONSE)

    async def task_report(self, task: TaskId) -> Result[TaskReport, WorkerFailure]:
        """Return the worker's report on a task."""
        with anyio.move_on_after(self._timeout_seconds):
            return Ok(await self.simulator.task_report(task))
        return Err(_NO_RESPONSE)

    async def checkpoint(self, task: TaskId) -> Result[None, WorkerFailure]:
        """Checkpoint and stop a task, so that a later attempt resumes it."""
        with anyio.move_on_after(self._timeout_seconds):
            return Ok(await self.simulator.checkpoint(task))
        return Err(_NO_RESPONSE)

    async def stop(self, task: TaskId) -> Result[None, WorkerFailure]:
        """Stop a task permanently."""
        with anyio.move_on_after(self._timeout_seconds):
            return Ok(await self.simulator.stop(task))
        return Err(_NO_RESPONSE)


def _to_result(
    start: StartRequest, outcome: Sent | StartRefusal | Interrupted
) -> Result[Answer, StartNotRun | StartOutcomeUnknown]:
    match outcome:
        case Sent(answer, length):
            if answer.task != start.task or len(answer.body) != length:
                return Err(
                    StartOutcomeUnknown(
                        "answer is truncated or belongs to another task"
                    )
                )
            return Ok(answer)
        case StartRefusal():
            return Err(StartNotRun(outcome))
        case Interrupted():
            return Err(StartOutcomeUnknown(outcome.value))


class MemoryWorkerDirectory(WorkerDirectory):
    """Directory of simulated workers in memory."""

    def __init__(self) -> None:
        self.simulators: dict[str, WorkerSimulator] = {}

    def at(self, address: str) -> Worker:
        """Return the client of the worker at ``address``, creating it if missing."""
        return MemoryWorker(self.simulators.setdefault(address, WorkerSimulator()))
