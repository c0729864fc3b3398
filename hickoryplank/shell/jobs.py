"""Jobs: requests in the hands of the dispatcher."""

from dataclasses import dataclass, field

import anyio
import msgspec

from hickoryplank.core.ids import VmId
from hickoryplank.core.objects import Queue, WorkClass
from hickoryplank.core.queues import WorkItem
from hickoryplank.core.records import Proof
from hickoryplank.core.work import Completed, WorkAnswer, WorkRequest
from hickoryplank.external.worker import Answer

__all__ = ["Again", "Closed", "Job", "Run", "Step", "completed"]


@dataclass(eq=False)
class Job:
    """One request from its arrival at this node to its answer.

    :param deadline: when the caller gives up, on this node's clock in seconds.
    :param preempted: whether the running attempt was told to make room.
    :param cancelled: whether nobody waits for the answer any more.
    :param may_have_run: whether an attempt of idempotent work was lost after it
        was sent.
    :param proof: why the attempt before the next one did not run.
    :param linger: seconds for which the attempt that just ended may still run on
        its worker, so that its unit stays taken.
    :param pinned: the only VM that the next attempt may run on.
    :param queued: when it was last queued, on this node's clock in seconds.
    :param traceparent: the trace context of the running attempt.
    :param durable: whether the request was accepted for good, so that it is
        finished whatever becomes of its caller.
    """

    request: WorkRequest
    queue: Queue
    arrived: float
    deadline: float
    durable: bool = False
    queued: float = 0.0
    traceparent: str = ""
    preempted: bool = False
    cancelled: bool = False
    may_have_run: bool = False
    proof: Proof | None = None
    pinned: VmId | None = None
    attempts: int = 0
    linger: float = 0.0
    avoided: set[VmId] = field(default_factory=set)
    answer: WorkAnswer | None = None
    scope: anyio.CancelScope | None = None
    done: anyio.Event = field(default_factory=anyio.Event)

    def close(self, answer: WorkAnswer) -> None:
        """Set the answer, once."""
        if self.answer is None:
            self.answer = answer
            self.done.set()

    def item(self) -> WorkItem:
        """Return the job's row in the table of waiting work."""
        return WorkItem(
            request=self.request.id,
            task=self.request.task,
            team=self.request.team,
            queue=self.queue.name,
            pool=self.queue.pool,
            work_class=self.queue.work_class,
            arrived=self.arrived,
            deadline=self.deadline,
            idempotent=self.queue.idempotent,
        )

    @property
    def urgent(self) -> bool:
        """Whether the work belongs to the urgent class."""
        return self.queue.work_class is WorkClass.URGENT


@dataclass(eq=False)
class Run:
    """An attempt of a job that is under way on a VM.

    :param started: when it started, on this node's clock in seconds.
    """

    job: Job
    vm: VmId
    started: float


class Closed(msgspec.Struct, frozen=True):
    """An attempt has settled its job."""

    answer: WorkAnswer


class Again(msgspec.Struct, frozen=True):
    """An attempt did not settle its job, which may be tried again."""

    pause: float = 0.0


Step = Closed | Again


def completed(answer: Answer) -> Completed:
    """Return the caller's answer from the worker's."""
    return Completed(
        status=answer.status, content_type=answer.content_type, body=answer.body
    )
