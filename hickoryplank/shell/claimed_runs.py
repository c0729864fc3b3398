"""Runs attempts of claimed requests and determines their outcomes."""

import logging

import anyio
import msgspec
from result import Err, Ok

from hickoryplank.core.errors import Refusal
from hickoryplank.core.ids import ClaimId, VmId
from hickoryplank.core.placement import RunResult
from hickoryplank.core.records import (
    Dispatch,
    OutcomeKind,
    Proof,
)
from hickoryplank.core.tables import ClaimRow
from hickoryplank.core.work import (
    Unknown,
)
from hickoryplank.external.errors import (
    LogError,
    LogFailure,
    StartNotRun,
    StartOutcomeUnknown,
    StartRefusal,
)
from hickoryplank.external.worker import (
    Answer,
    StartRequest,
    TaskReport,
    TaskState,
    Worker,
)
from hickoryplank.shell.claim_ids import answer_from_outcome
from hickoryplank.shell.claim_manager import CLAIM_LIFETIME_SECONDS, ClaimManager
from hickoryplank.shell.clock import Clock
from hickoryplank.shell.replica import Replica, new_record_id
from hickoryplank.shell.work_execution import (
    AttemptOutcome,
    FinalAnswer,
    RetryAfter,
    WorkExecution,
    completed_answer,
)
from hickoryplank.shell.worker_clients import (
    RELEASE_DELAY_SECONDS,
    TASK_LEASE_SECONDS,
    WorkerClients,
    WorkerClock,
)

__all__ = ["ClaimedAttemptRunner"]

logger = logging.getLogger(__name__)

START_TIMEOUT_SECONDS = 5.0
LOG_RETRY_DELAY_SECONDS = 0.1
REPORT_POLL_SECONDS = 0.25
RESOLVE_TIMEOUT_SECONDS = 30.0
RETRY_DELAY_SECONDS = 0.02


class ClaimedAttemptRunner:
    """Dispatches claims that this node holds and determines their outcomes."""

    def __init__(
        self,
        claims: ClaimManager,
        replica: Replica,
        workers: WorkerClients,
        clock: Clock,
    ):
        self._claims = claims
        self._replica = replica
        self._workers = workers
        self._clock = clock

    async def run(
        self, execution: WorkExecution, vm: VmId, worker: Worker
    ) -> tuple[RunResult, AttemptOutcome]:
        """Dispatch a claimed request once and determine the outcome."""
        claim = execution.request.claim
        row = self._replica.tables.claims.get(claim)
        if row is None or row.outcome is not None:
            answer = answer_from_outcome(row.outcome) if row else _claim_not_stored()
            return RunResult.STOPPED, FinalAnswer(answer)
        clock_reading = await self._workers.clock_of(worker, vm)
        if clock_reading.is_err():
            return RunResult.SILENT, RetryAfter(RETRY_DELAY_SECONDS)
        if execution.pinned_vm is not None and clock_reading.unwrap().boot != row.boot:
            outcome = self.submit_unknown_outcome(
                claim, "the worker restarted and lost its checkpoint"
            )
            return RunResult.STOPPED, outcome
        start = self._start_request(execution, row, clock_reading.unwrap())
        rejection = await self._submit_dispatch(execution, vm, start)
        if rejection is not None:
            return RunResult.STOPPED, rejection
        return await self._send(
            execution, vm, worker, self._limit_start_by(start, clock_reading.unwrap())
        )

    def _limit_start_by(
        self, start: StartRequest, clock_reading: WorkerClock
    ) -> StartRequest:
        """Return ``start`` with ``start_by`` limited to this node's freshness.

        The logged dispatch may name a later time. That is safe, because a start
        that the worker refuses by the earlier bound does not run by the later one.
        """
        now = self._clock.now()
        fresh_seconds = self._replica.freshness.fresh_until() - now
        start_by = min(start.start_by, clock_reading.at(now) + fresh_seconds)
        return msgspec.structs.replace(start, start_by=start_by)

    def _start_request(
        self, execution: WorkExecution, row: ClaimRow, clock_reading: WorkerClock
    ) -> StartRequest:
        return StartRequest(
            task=execution.request.task,
            attempt=row.attempt + 1,
            boot=clock_reading.boot,
            start_by=clock_reading.at(self._clock.now()) + START_TIMEOUT_SECONDS,
            lease=TASK_LEASE_SECONDS,
            content_type=execution.request.content_type,
            body=execution.request.body,
            traceparent=execution.traceparent,
        )

    async def _submit_dispatch(
        self, execution: WorkExecution, vm: VmId, start: StartRequest
    ) -> AttemptOutcome | None:
        """Submit the record of the attempt, which must be in the log before the start.

        :return: ``None`` if the attempt may be sent, otherwise its outcome.
        """
        record = Dispatch(
            id=new_record_id(),
            claim=execution.request.claim,
            holder=self._replica.incarnation,
            attempt=start.attempt,
            vm=vm,
            boot=start.boot,
            start_by=start.start_by,
            proof=execution.proof,
        )
        failure: Refusal | LogFailure | None = LogFailure(LogError.UNKNOWN)
        with anyio.move_on_after(START_TIMEOUT_SECONDS):
            failure = await self._claims.submit_record(record)
        if failure is None:
            return None
        if isinstance(failure, Refusal) and not self._holds(execution.request.claim):
            return FinalAnswer(
                Unknown(detail="another node has taken over the request")
            )
        if isinstance(failure, Refusal) and execution.proof is None:
            return FinalAnswer(
                Unknown(detail="another attempt of the request is in progress")
            )
        execution.proof = execution.proof or Proof.REFUSED
        return RetryAfter(LOG_RETRY_DELAY_SECONDS)

    def _holds(self, claim: ClaimId) -> bool:
        row = self._replica.tables.claims.get(claim)
        return row is not None and row.holder == self._replica.incarnation

    async def _send(
        self, execution: WorkExecution, vm: VmId, worker: Worker, start: StartRequest
    ) -> tuple[RunResult, AttemptOutcome]:
        now = self._clock.now()
        freshness = self._replica.freshness
        freshness.open_start(
            start.task, min(now + START_TIMEOUT_SECONDS, freshness.fresh_until())
        )
        sent = await self._workers.run(worker, start)
        if not isinstance(sent.err(), StartOutcomeUnknown):
            freshness.close_start(start.task)
        match sent:
            case Ok(answer):
                return RunResult.DONE, self._finish(execution, answer)
            case Err(StartNotRun(refusal)):
                execution.proof = Proof.REFUSED
                self._workers.forget_clock(vm)
                if refusal is StartRefusal.BUSY:
                    return RunResult.BUSY, RetryAfter(RETRY_DELAY_SECONDS)
                return RunResult.SILENT, RetryAfter(RETRY_DELAY_SECONDS)
            case _ if execution.queue.idempotent:
                self._workers.forget_clock(vm)
                execution.proof = Proof.IDEMPOTENT
                execution.release_delay = (
                    0.0 if execution.preempted else RELEASE_DELAY_SECONDS
                )
                result = RunResult.STOPPED if execution.preempted else RunResult.SILENT
                execution.preempted = False
                return result, RetryAfter(RETRY_DELAY_SECONDS)
            case _:
                self._workers.forget_clock(vm)
                outcome = await self._resolve(execution, vm, worker, start)
                result = RunResult.STOPPED if execution.preempted else RunResult.SILENT
                execution.preempted = False
                return result, outcome

    def _finish(self, execution: WorkExecution, answer: Answer) -> FinalAnswer:
        self._claims.submit_outcome(execution.request.claim, OutcomeKind.DONE, answer)
        return FinalAnswer(completed_answer(answer))

    async def resume(
        self, execution: WorkExecution, row: ClaimRow, worker: Worker
    ) -> AttemptOutcome:
        """Determine the outcome of an attempt that another process sent."""
        sent = StartRequest(
            task=execution.request.task,
            attempt=row.attempt,
            boot=row.boot,
            start_by=row.start_by,
            lease=TASK_LEASE_SECONDS,
        )
        return await self._resolve(execution, row.vm, worker, sent, renew=False)

    async def _resolve(
        self,
        execution: WorkExecution,
        vm: VmId,
        worker: Worker,
        sent: StartRequest,
        renew: bool = True,
    ) -> AttemptOutcome:
        """Ask the worker until it is known whether an attempt ran.

        The caller is answered ``unknown`` at its deadline, while the outcome of
        the claim is still being determined.

        :param renew: whether this node holds a unit for the attempt and so may
            renew its lease. Otherwise the lease expires and the work is resumed.
        """
        give_up_at = self._clock.now() + RESOLVE_TIMEOUT_SECONDS
        while self._clock.now() < give_up_at:
            if self._clock.now() > execution.deadline:
                execution.set_answer(Unknown(detail="the worker's answer was lost"))
                execution.deadline = self._clock.now() + CLAIM_LIFETIME_SECONDS
            found = await worker.task_report(execution.request.task)
            outcome = None
            if found.is_ok():
                outcome = self._read_report(execution, vm, sent, found.unwrap())
                if found.unwrap().state is TaskState.RUNNING:
                    give_up_at = self._clock.now() + RESOLVE_TIMEOUT_SECONDS
                    if renew:
                        task = execution.request.task
                        await worker.renew(task, sent.attempt, TASK_LEASE_SECONDS)
            if outcome is not None:
                return outcome
            await anyio.sleep(REPORT_POLL_SECONDS)
        return self.submit_unknown_outcome(
            execution.request.claim, "the worker could not be reached"
        )

    def _read_report(
        self, execution: WorkExecution, vm: VmId, sent: StartRequest, report: TaskReport
    ) -> AttemptOutcome | None:
        """Return the outcome of the attempt, or ``None`` if it is not known yet."""
        if report.boot != sent.boot:
            return self.submit_unknown_outcome(
                execution.request.claim, "the worker restarted during the attempt"
            )
        match report.state:
            case TaskState.DONE if report.answer is not None:
                return self._finish(execution, report.answer)
            case TaskState.CHECKPOINTED:
                execution.proof = Proof.CHECKPOINTED
                execution.pinned_vm = vm
                execution.deadline = self._clock.now() + CLAIM_LIFETIME_SECONDS
                return RetryAfter(REPORT_POLL_SECONDS)
            case TaskState.NEVER_SEEN if report.clock > sent.start_by:
                execution.proof = Proof.START_MISSED
                return RetryAfter(RETRY_DELAY_SECONDS)
        return None

    def submit_unknown_outcome(self, claim: ClaimId, detail: str) -> FinalAnswer:
        """Submit the outcome that it is unknown whether a claimed request ran."""
        self._claims.submit_outcome(claim, OutcomeKind.UNKNOWN, detail=detail)
        return FinalAnswer(Unknown(detail=detail))


def _claim_not_stored() -> Unknown:
    return Unknown(detail="the claim is no longer stored")
