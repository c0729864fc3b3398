"""State of requests in the dispatcher, and outcomes of their attempts."""

from dataclasses import dataclass, field

import anyio
import msgspec

from hickoryplank.core.ids import VmId
from hickoryplank.core.objects import Queue, WorkClass
from hickoryplank.core.queues import WorkItem
from hickoryplank.core.records import Proof
from hickoryplank.core.work import Completed, WorkAnswer, WorkRequest
from hickoryplank.external.worker import Answer

__all__ = [
    "RetryAfter",
    "FinalAnswer",
    "WorkExecution",
    "RunningAttempt",
    "AttemptOutcome",
    "completed_answer",
]


@dataclass(eq=False)
class WorkExecution:
    """A request on this node, from its arrival to its answer.

    :param arrived: when the request arrived, on this node's clock in seconds.
    :param deadline: when the caller stops waiting, on this node's clock in
        seconds.
    :param preempted: whether the running attempt was told to stop or to
        checkpoint in favour of other work.
    :param cancelled: whether nobody waits for the answer any more.
    :param may_have_run: whether an attempt of idempotent work was lost after it
        was sent.
    :param proof: why another attempt is allowed after the previous one.
    :param release_delay: how long the work of the attempt that just ended may
        still run on its worker, in seconds; its unit is not released before.
    :param pinned_vm: the only VM that the next attempt may run on.
    :param queued_at: when the request was last queued, on this node's clock in
        seconds.
    :param traceparent: the trace context of the running attempt.
    :param durable: whether the request was accepted durably and is completed even
        if its caller is gone.
    :param avoided_vms: VMs that the next attempt avoids if another one is available.
    :param attempt_scope: cancels the wait for the running attempt.
    """

    request: WorkRequest
    queue: Queue
    arrived: float
    deadline: float
    durable: bool = False
    queued_at: float = 0.0
    traceparent: str = ""
    preempted: bool = False
    cancelled: bool = False
    may_have_run: bool = False
    proof: Proof | None = None
    pinned_vm: VmId | None = None
    attempts: int = 0
    release_delay: float = 0.0
    avoided_vms: set[VmId] = field(default_factory=set)
    answer: WorkAnswer | None = None
    attempt_scope: anyio.CancelScope | None = None
    done: anyio.Event = field(default_factory=anyio.Event)

    def set_answer(self, answer: WorkAnswer) -> None:
        """Set the answer and ``done``, unless the request is answered already."""
        if self.answer is None:
            self.answer = answer
            self.done.set()

    def item(self) -> WorkItem:
        """Return the item that represents the request in the work queues."""
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
class RunningAttempt:
    """An attempt that is running on a VM.

    :param started: when the attempt started, on this node's clock in seconds.
    """

    execution: WorkExecution
    vm: VmId
    started: float


class FinalAnswer(msgspec.Struct, frozen=True):
    """The outcome of an attempt that determines the answer to the request."""

    answer: WorkAnswer


class RetryAfter(msgspec.Struct, frozen=True):
    """The outcome of an attempt after which the request may be tried again.

    :param pause: the delay before the request is queued again, in seconds.
    """

    pause: float = 0.0


AttemptOutcome = FinalAnswer | RetryAfter


def completed_answer(answer: Answer) -> Completed:
    """Convert a worker's answer into the answer to the caller."""
    return Completed(
        status=answer.status, content_type=answer.content_type, body=answer.body
    )
