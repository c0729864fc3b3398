"""Runs single attempts of requests on VMs, and decides on retries."""

import logging
import random
from typing import assert_never

import anyio
from result import Err, Ok

from hickoryplank.core.ids import VmId
from hickoryplank.core.placement import EndpointTable, RunResult, RunVerdict
from hickoryplank.core.retries import GiveUp, Retry, RetryBudget, next_attempt
from hickoryplank.core.work import Completed, Failed, WorkAnswer
from hickoryplank.external.errors import StartNotRun, StartOutcomeUnknown, StartRefusal
from hickoryplank.external.worker import Answer, StartRequest, Worker
from hickoryplank.shell.claimed_runs import ClaimedAttemptRunner
from hickoryplank.shell.clock import Clock
from hickoryplank.shell.replica import Replica
from hickoryplank.shell.telemetry import Hop, Telemetry
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
)

__all__ = ["AttemptRunner", "cancelled_answer"]

logger = logging.getLogger(__name__)

START_TIMEOUT_SECONDS = 1.0
RETRY_DELAY_SECONDS = 0.02
MIN_SERVER_ERROR_STATUS = 500


def cancelled_answer() -> Failed:
    """Return the answer to a request whose caller no longer waits for it."""
    return Failed(detail="the request was cancelled")


class AttemptRunner:
    """Runs attempts and reports their results to the endpoint table."""

    def __init__(
        self,
        replica: Replica,
        workers: WorkerClients,
        claimed_runner: ClaimedAttemptRunner,
        clock: Clock,
        telemetry: Telemetry | None = None,
    ):
        self._telemetry = telemetry or Telemetry()
        self._replica = replica
        self._workers = workers
        self._claimed_runner = claimed_runner
        self._clock = clock
        self._budget = RetryBudget()

    def worker_on(self, vm: VmId) -> Worker | None:
        """Return the client of the worker on ``vm``; ``None`` without an endpoint."""
        return self._workers.client(self._replica.tables, vm)

    async def run(
        self, execution: WorkExecution, vm: VmId, endpoints: EndpointTable
    ) -> AttemptOutcome:
        """Run an attempt of ``execution`` on ``vm`` and return its outcome."""
        began = self._clock.now()
        if execution.attempts == 1:
            self._budget.note_attempt(execution.queue.pool, execution.request.team)
        worker = self.worker_on(vm)
        if worker is None:
            endpoints.note_finish(
                vm,
                execution.request.task,
                execution.queue.name,
                RunResult.STOPPED,
                0.0,
                began,
            )
            return RetryAfter(RETRY_DELAY_SECONDS)
        self._telemetry.note_attempt(execution.request, execution.attempts)
        with self._telemetry.trace_hop(Hop.ATTEMPT, execution.request) as traced:
            execution.traceparent = traced.traceparent
            if execution.request.claim is None:
                result, outcome = await self._run_idempotent(execution, vm, worker)
            else:
                result, outcome = await self._claimed_runner.run(execution, vm, worker)
        now = self._clock.now()
        verdict = endpoints.note_finish(
            vm, execution.request.task, execution.queue.name, result, now - began, now
        )
        return self._decide_retry(execution, result, outcome, verdict)

    def _decide_retry(
        self,
        execution: WorkExecution,
        result: RunResult,
        outcome: AttemptOutcome,
        verdict: RunVerdict,
    ) -> AttemptOutcome:
        match outcome:
            case FinalAnswer(Completed(status=status)) if (
                status >= MIN_SERVER_ERROR_STATUS
                and execution.request.claim is None
                and verdict is RunVerdict.RETRY
            ):
                return self._retry(execution, result, outcome.answer)
            case RetryAfter() if execution.request.claim is None:
                failed = Failed(
                    detail="all attempts failed, and no further retry is allowed"
                )
                return self._retry(execution, result, failed)
            case _:
                return outcome

    def _retry(
        self, execution: WorkExecution, result: RunResult, last: WorkAnswer
    ) -> AttemptOutcome:
        """Retry if the deadline and the retry budget allow, else answer ``last``."""
        if result is RunResult.STOPPED:
            return RetryAfter(RETRY_DELAY_SECONDS)
        now = self._clock.now()
        retry = max(execution.attempts - 1, 0)
        jitter = random.random()
        match next_attempt(execution.item(), result, retry, self._budget, now, jitter):
            case Retry(at=at):
                return RetryAfter(at - now)
            case GiveUp(reason):
                logger.info(
                    "request %s is not retried: %s", execution.request.id, reason.value
                )
                return FinalAnswer(last)

    async def _run_idempotent(
        self, execution: WorkExecution, vm: VmId, worker: Worker
    ) -> tuple[RunResult, AttemptOutcome]:
        clock_reading = await self._workers.clock_of(worker, vm)
        if clock_reading.is_err():
            return RunResult.SILENT, RetryAfter(RETRY_DELAY_SECONDS)
        if execution.cancelled:
            return RunResult.STOPPED, FinalAnswer(cancelled_answer())
        now = self._clock.now()
        fresh_seconds = self._replica.freshness.fresh_until() - now
        start = StartRequest(
            task=execution.request.task,
            attempt=execution.attempts,
            boot=clock_reading.unwrap().boot,
            start_by=clock_reading.unwrap().at(now)
            + min(START_TIMEOUT_SECONDS, fresh_seconds),
            lease=TASK_LEASE_SECONDS,
            content_type=execution.request.content_type,
            body=execution.request.body,
            traceparent=execution.traceparent,
        )
        freshness = self._replica.freshness
        freshness.open_start(
            start.task, now + min(START_TIMEOUT_SECONDS, fresh_seconds)
        )
        with anyio.move_on_after(execution.deadline - now) as execution.attempt_scope:
            answer = await self._workers.run(worker, start)
            if not isinstance(answer.err(), StartOutcomeUnknown):
                freshness.close_start(start.task)
            return self._interpret_answer(execution, vm, answer)
        if not await self._stop_task(worker, execution):
            execution.release_delay = RELEASE_DELAY_SECONDS
        return RunResult.STOPPED, FinalAnswer(
            Failed(detail="the endpoint did not answer before the deadline")
        )

    async def _stop_task(self, worker: Worker, execution: WorkExecution) -> bool:
        """Stop a task and return whether the worker confirmed it."""
        with anyio.move_on_after(START_TIMEOUT_SECONDS):
            return (await worker.stop(execution.request.task)).is_ok()
        return False

    def _interpret_answer(
        self,
        execution: WorkExecution,
        vm: VmId,
        answer: Ok[Answer] | Err[StartNotRun | StartOutcomeUnknown],
    ) -> tuple[RunResult, AttemptOutcome]:
        match answer:
            case Ok(worker_answer):
                failed = worker_answer.status >= MIN_SERVER_ERROR_STATUS
                result = RunResult.FAILED if failed else RunResult.DONE
                return result, FinalAnswer(completed_answer(worker_answer))
            case Err(StartNotRun(StartRefusal.BUSY)):
                return RunResult.BUSY, RetryAfter(RETRY_DELAY_SECONDS)
            case Err(StartNotRun(refusal)):
                self._workers.forget_clock(vm)
                execution.avoided_vms.add(vm)
                result = RunResult.SILENT if refusal is None else RunResult.STOPPED
                return result, RetryAfter(RETRY_DELAY_SECONDS)
            case Err(StartOutcomeUnknown()):
                execution.may_have_run = True
                execution.release_delay = RELEASE_DELAY_SECONDS
                self._workers.forget_clock(vm)
                execution.avoided_vms.add(vm)
                return RunResult.SILENT, RetryAfter(RETRY_DELAY_SECONDS)
            case other:
                assert_never(other)
