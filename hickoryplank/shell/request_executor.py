"""Runs requests on the node that owns their pool, and takes over orphaned claims."""

import logging
import time

import anyio
import msgspec
from result import Err

from hickoryplank.core.ids import RequestId
from hickoryplank.core.objects import Kind, Queue
from hickoryplank.core.records import Proof
from hickoryplank.core.tables import ClaimRow, Tables
from hickoryplank.core.work import (
    Failed,
    NotRun,
    NotRunReason,
    Queued,
    Unknown,
    WorkAnswer,
    WorkRequest,
)
from hickoryplank.shell.claim_ids import task_id_for
from hickoryplank.shell.claim_manager import CLAIM_LIFETIME_SECONDS, ClaimManager
from hickoryplank.shell.claimed_runs import ClaimedAttemptRunner
from hickoryplank.shell.clock import Clock
from hickoryplank.shell.dispatcher import Dispatcher
from hickoryplank.shell.membership import Membership
from hickoryplank.shell.replica import Replica
from hickoryplank.shell.tasks import TaskSpawner
from hickoryplank.shell.work_execution import FinalAnswer, RetryAfter, WorkExecution
from hickoryplank.shell.worker_clients import WorkerClients

__all__ = ["RequestExecutor", "find_queue"]

logger = logging.getLogger(__name__)

ORPHAN_SCAN_SECONDS = 0.5
ANSWER_GRACE_SECONDS = 0.5


def find_queue(tables: Tables, name: str) -> Queue | None:
    """Return the queue object of that name, or ``None``."""
    row = tables.objects[Kind.QUEUE].get(name)
    return row.obj if row and isinstance(row.obj, Queue) else None


class RequestExecutor:
    """Runs requests for the pools that this node owns."""

    def __init__(
        self,
        replica: Replica,
        membership: Membership,
        dispatcher: Dispatcher,
        claims: ClaimManager,
        claimed: ClaimedAttemptRunner,
        workers: WorkerClients,
        spawner: TaskSpawner,
        clock: Clock,
    ):
        self._replica = replica
        self._membership = membership
        self._dispatcher = dispatcher
        self._claims = claims
        self._claimed_runner = claimed
        self._workers = workers
        self._spawner = spawner
        self._clock = clock

    async def handle(self, request: WorkRequest) -> WorkAnswer:
        """Run a request and return its answer; cancellation stops it if possible."""
        queue = find_queue(self._replica.tables, request.queue)
        if queue is None:
            return NotRun(reason=NotRunReason.UNKNOWN_QUEUE)
        now = self._clock.now()
        if not self._replica.freshness.is_fresh(now):
            return _stale_answer()
        deadline = now + request.patience
        if request.claim is None:
            return await self._run(self._new_execution(request, queue, deadline))
        if request.durable:
            return await self._accept_durable(request, queue, deadline)
        return await self._run_claimed(request, queue, deadline)

    def _new_execution(
        self, request: WorkRequest, queue: Queue, deadline: float
    ) -> WorkExecution:
        return WorkExecution(request, queue, self._clock.now(), deadline)

    async def _run(self, execution: WorkExecution) -> WorkAnswer:
        self._dispatcher.submit(execution)
        try:
            with anyio.move_on_after(self._remaining_wait(execution)):
                await execution.done.wait()
        finally:
            if execution.answer is None:
                self._dispatcher.cancel(execution.request.id)
        return execution.answer or Failed(
            detail="no answer arrived before the deadline"
        )

    def _remaining_wait(self, execution: WorkExecution) -> float:
        return execution.deadline - self._clock.now() + ANSWER_GRACE_SECONDS

    async def _run_claimed(
        self, request: WorkRequest, queue: Queue, deadline: float
    ) -> WorkAnswer:
        expires = time.time() + CLAIM_LIFETIME_SECONDS
        claimed = await self._claims.acquire(request, expires, False, deadline)
        if isinstance(claimed, Err):
            return claimed.unwrap_err()
        execution = self._new_execution(request, queue, deadline)
        self._spawner.start_soon(self._finish_claimed, execution)
        with anyio.move_on_after(self._remaining_wait(execution)):
            await execution.done.wait()
        return execution.answer or Unknown(detail="the endpoint has not answered yet")

    async def _finish_claimed(self, execution: WorkExecution) -> None:
        """Complete a claimed request, even if its caller is gone."""
        self._claims.mark_active(execution.request.claim)
        self._dispatcher.submit(execution)
        await execution.done.wait()
        match execution.answer:
            case NotRun(detail=detail):
                self._claims.submit_not_run_outcome(execution.request.claim, detail)

    async def _accept_durable(
        self, request: WorkRequest, queue: Queue, deadline: float
    ) -> WorkAnswer:
        expires = time.time() + CLAIM_LIFETIME_SECONDS
        claimed = await self._claims.acquire(request, expires, True, deadline)
        if isinstance(claimed, Err):
            return claimed.unwrap_err()
        self._start_durable(request, queue)
        return Queued(claim=request.claim)

    def _start_durable(self, request: WorkRequest, queue: Queue) -> None:
        durable_request = msgspec.structs.replace(request, id=RequestId(request.task))
        execution = self._new_execution(
            durable_request, queue, self._clock.now() + CLAIM_LIFETIME_SECONDS
        )
        execution.durable = True
        self._spawner.start_soon(self._finish_claimed, execution)

    def cancel(self, request: RequestId) -> None:
        """Cancel a request that nobody waits for any more."""
        self._dispatcher.cancel(request)

    async def adopt_orphans(self) -> None:
        """Take over open claims of processes that are gone, until cancelled."""
        while True:
            await anyio.sleep(ORPHAN_SCAN_SECONDS)
            for row in self._claims.orphans():
                queue = find_queue(self._replica.tables, row.queue)
                if queue is not None and self._is_responsible(queue, row):
                    self._claims.mark_active(row.claim)
                    self._spawner.start_soon(self._adopt_orphan, row, queue)

    def _is_responsible(self, queue: Queue, row: ClaimRow) -> bool:
        me = self._membership.own_incarnation
        return row.holder == me or self._membership.owner_of(queue.pool) == me

    async def _adopt_orphan(self, row: ClaimRow, queue: Queue) -> None:
        request = WorkRequest(
            id=RequestId(task_id_for(row.claim)),
            task=task_id_for(row.claim),
            queue=row.queue,
            team=row.team,
            patience=CLAIM_LIFETIME_SECONDS,
            content_type=row.content_type,
            body=row.body,
            claim=row.claim,
            durable=row.durable,
        )
        if (
            row.holder != self._membership.own_incarnation
            and not await self._claims.take_over(row)
        ):
            return
        execution = self._new_execution(
            request, queue, self._clock.now() + CLAIM_LIFETIME_SECONDS
        )
        execution.durable = row.durable
        if row.attempt > 0 and not row.reopened:
            await self._resume_attempt(execution, row)
        if execution.answer is not None:
            self._claims.mark_idle(row.claim)
        elif row.durable or execution.proof is Proof.CHECKPOINTED:
            self._spawner.start_soon(self._finish_claimed, execution)
        else:
            self._claims.submit_not_run_outcome(
                row.claim, "the node that held the claim is gone"
            )

    async def _resume_attempt(self, execution: WorkExecution, row: ClaimRow) -> None:
        worker = self._workers.client(self._replica.tables, row.vm)
        if worker is None:
            execution.set_answer(
                self._claimed_runner.submit_unknown_outcome(
                    row.claim, "the VM of the attempt is gone"
                ).answer
            )
            return
        match await self._claimed_runner.resume(execution, row, worker):
            case FinalAnswer(answer):
                execution.set_answer(answer)
            case RetryAfter():
                logger.info(
                    "claim %s may be dispatched again after attempt %d",
                    row.claim,
                    row.attempt,
                )


def _stale_answer() -> NotRun:
    return NotRun(
        reason=NotRunReason.STALE_NODE,
        detail="this node's view of the configuration is stale",
    )
