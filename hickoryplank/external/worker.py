"""Workers: back ends that run tasks under leases."""

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
    """A task to run.

    :param attempt: grows with each dispatch of the task; a worker refuses one
        that is lower than what it has seen.
    :param boot: the boot id that the worker last reported; empty to accept any.
    :param start_by: the worker's clock reading, in seconds, after which it
        refuses to start.
    :param lease: seconds for which the worker may run the task without renewal.
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
    """The whole answer to one task."""

    task: TaskId
    status: int
    content_type: str
    body: bytes


class WorkerStatus(msgspec.Struct, frozen=True, kw_only=True):
    """What a worker reports of itself.

    :param boot: new each time the worker starts.
    :param clock: the worker's monotonic clock, in seconds.
    """

    boot: str
    clock: float
    running: int
    slots: int


class TaskState(Enum):
    """What a worker knows of a task."""

    NEVER_SEEN = "never_seen"
    RUNNING = "running"
    CHECKPOINTED = "checkpointed"
    DONE = "done"


class TaskReport(msgspec.Struct, frozen=True, kw_only=True):
    """What a worker says of one task, with its boot id and clock at that time."""

    task: TaskId
    state: TaskState
    boot: str
    clock: float
    attempt: int = 0
    answer: Answer | None = None


class Worker(ABC):
    """A client of one worker."""

    @abstractmethod
    async def status(self) -> Result[WorkerStatus, WorkerFailure]:
        """Return the worker's boot id, clock and load."""

    @abstractmethod
    async def start(
        self, start: StartRequest
    ) -> Result[Answer, StartNotRun | StartOutcomeUnknown]:
        """Run a task and return its answer; a repeated attempt runs once."""

    @abstractmethod
    async def renew(
        self, task: TaskId, attempt: int, lease: float
    ) -> Result[None, WorkerFailure]:
        """Extend the lease of a running task to ``lease`` seconds from now."""

    @abstractmethod
    async def task_report(self, task: TaskId) -> Result[TaskReport, WorkerFailure]:
        """Return what the worker knows of a task."""

    @abstractmethod
    async def checkpoint(self, task: TaskId) -> Result[None, WorkerFailure]:
        """Stop a task at a point from which a later attempt resumes."""

    @abstractmethod
    async def stop(self, task: TaskId) -> Result[None, WorkerFailure]:
        """Stop a task for good."""


class WorkerDirectory(ABC):
    """Gives the client of the worker at an address."""

    @abstractmethod
    def at(self, address: str) -> Worker:
        """Return the client for ``address``, as ``host:port``."""
