"""Interface to workers, the back ends that run tasks under leases."""

from abc import ABC, abstractmethod
from enum import Enum

import msgspec
from result import Result

from hickoryplank.core.ids import TaskId
from hickoryplank.external.errors import StartNotRun, StartOutcomeUnknown, WorkerFailure

__all__ = [
    "Answer",
    "StartRequest",
    "TaskReport",
    "TaskState",
    "Worker",
    "WorkerStatus",
    "WorkerDirectory",
]


class StartRequest(msgspec.Struct, frozen=True, kw_only=True):
    """Request to run a task.

    :param attempt: number that increases with each dispatch of the task; a worker
        refuses an attempt lower than one that it has seen.
    :param boot: boot id that the worker last reported; empty to accept any.
    :param start_by: reading of the worker's clock after which it refuses to start
        the task, in seconds.
    :param lease: time for which the worker may run the task without renewal, in
        seconds.
    """

    task: TaskId
    attempt: int
    boot: str
    start_by: float
    lease: float
    content_type: str = ""
    body: bytes = b""
    traceparent: str = ""


class Answer(msgspec.Struct, frozen=True, kw_only=True):
    """The complete answer of one task."""

    task: TaskId
    status: int
    content_type: str
    body: bytes


class WorkerStatus(msgspec.Struct, frozen=True, kw_only=True):
    """Status of a worker.

    :param boot: boot id, new at each start of the worker.
    :param clock: reading of the worker's monotonic clock, in seconds.
    :param running: tasks that are running.
    :param slots: tasks that may run at the same time.
    """

    boot: str
    clock: float
    running: int
    slots: int


class TaskState(Enum):
    """State of a task at a worker."""

    NEVER_SEEN = "never_seen"
    RUNNING = "running"
    CHECKPOINTED = "checkpointed"
    DONE = "done"


class TaskReport(msgspec.Struct, frozen=True, kw_only=True):
    """Report of a worker on one task.

    :param boot: boot id of the worker at the time of the report.
    :param clock: reading of the worker's clock at the time of the report, in seconds.
    :param attempt: highest attempt that the worker has seen; 0 if none.
    :param answer: answer of that attempt, if it has completed.
    """

    task: TaskId
    state: TaskState
    boot: str
    clock: float
    attempt: int = 0
    answer: Answer | None = None


class Worker(ABC):
    """Client of one worker."""

    @abstractmethod
    async def status(self) -> Result[WorkerStatus, WorkerFailure]:
        """Return the worker's boot id, clock and load."""

    @abstractmethod
    async def start(
        self, start: StartRequest
    ) -> Result[Answer, StartNotRun | StartOutcomeUnknown]:
        """Run a task and return its answer; a repeated attempt is run once."""

    @abstractmethod
    async def renew(
        self, task: TaskId, attempt: int, lease: float
    ) -> Result[None, WorkerFailure]:
        """Renew the lease of a running task for ``lease`` seconds from now."""

    @abstractmethod
    async def task_report(self, task: TaskId) -> Result[TaskReport, WorkerFailure]:
        """Return the worker's report on a task."""

    @abstractmethod
    async def checkpoint(self, task: TaskId) -> Result[None, WorkerFailure]:
        """Checkpoint and stop a task, so that a later attempt resumes it."""

    @abstractmethod
    async def stop(self, task: TaskId) -> Result[None, WorkerFailure]:
        """Stop a task permanently."""


class WorkerDirectory(ABC):
    """Directory of worker clients by address."""

    @abstractmethod
    def at(self, address: str) -> Worker:
        """Return the client of the worker at ``address``.

        :param address: ``host:port``.
        """
