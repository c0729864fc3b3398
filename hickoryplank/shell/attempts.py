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
from hickoryplank.shell.claimed_runs import ClaimedRuns
from hickoryplank.shell.clock import Clock
from hickoryplank.shell.jobs import Again, Closed, Job, Step, completed
from hickoryplank.shell.replica import Replica
from hickoryplank.shell.telemetry import Hop, Telemetry
from hickoryplank.shell.workers import LEASE_SECONDS, LINGER_SECONDS, WorkerPool

__all__ = ["Attempts", "withdrawn"]

logger = logging.getLogger(__name__)

START_SECONDS = 1.0
RETRY_PAUSE_SECONDS = 0.02
SERVER_ERROR = 500


def withdrawn() -> Failed:
    """Return the answer to a request whose caller no longer waits for it."""
    return Failed(detail="the request was cancelled")


class Attempts:
    """Runs attempts and reports their results to the endpoint table."""

    def __init__(
        self,
        replica: Replica,
        workers: WorkerPool,
        claimed: ClaimedRuns,
        clock: Clock,
        telemetry: Telemetry | None = None,
    ):
        self._telemetry = telemetry or Telemetry()
        self._replica = replica
        self._workers = workers
        self._claimed = claimed
        self._clock = clock
        self._budget = RetryBudget()

    def worker_on(self, vm: VmId) -> Worker | None:
        """Return the client of the worker on ``vm``; ``None`` without an endpoint."""
        return self._workers.client(self._replica.tables, vm)

    async def run(self, job: Job, vm: VmId, endpoints: EndpointTable) -> Step:
        """Run an attempt of ``job`` on ``vm`` and return its outcome."""
        began = self._clock.now()
        if job.attempts == 1:
            self._budget.note_attempt(job.queue.pool, job.request.team)
        worker = self.worker_on(vm)
        if worker is None:
            endpoints.note_finish(
                vm, job.request.task, job.queue.name, RunResult.STOPPED, 0.0, began
            )
            return Again(RETRY_PAUSE_SECONDS)
        self._telemetry.note_attempt(job.request, job.attempts)
        with self._telemetry.trace_hop(Hop.ATTEMPT, job.request) as traced:
            job.traceparent = traced.traceparent
            if job.request.claim is None:
                result, step = await self._run_idempotent(job, vm, worker)
            else:
                result, step = await self._claimed.run(job, vm, worker)
        now = self._clock.now()
        verdict = endpoints.note_finish(
            vm, job.request.task, job.queue.name, result, now - began, now
        )
        return self._judge(job, result, step, verdict)

    def _judge(
        self, job: Job, result: RunResult, step: Step, verdict: RunVerdict
    ) -> Step:
        match step:
            case Closed(Completed(status=status)) if (
                status >= SERVER_ERROR
                and job.request.claim is None
                and verdict is RunVerdict.RETRY
            ):
                return self._retry(job, result, step.answer)
            case Again() if job.request.claim is None:
                failed = Failed(
                    detail="all attempts failed, and no further retry is allowed"
                )
                return self._retry(job, result, failed)
            case _:
                return step

    def _retry(self, job: Job, result: RunResult, last: WorkAnswer) -> Step:
        """Retry if the deadline and the retry budget allow, else answer ``last``."""
        if result is RunResult.STOPPED:
            return Again(RETRY_PAUSE_SECONDS)
        now = self._clock.now()
        retry = max(job.attempts - 1, 0)
        jitter = random.random()
        match next_attempt(job.item(), result, retry, self._budget, now, jitter):
            case Retry(at=at):
                return Again(at - now)
            case GiveUp(reason):
                logger.info(
                    "request %s is not retried: %s", job.request.id, reason.value
                )
                return Closed(last)

    async def _run_idempotent(
        self, job: Job, vm: VmId, worker: Worker
    ) -> tuple[RunResult, Step]:
        known = await self._workers.clock_of(worker, vm)
        if known.is_err():
            return RunResult.SILENT, Again(RETRY_PAUSE_SECONDS)
        if job.cancelled:
            return RunResult.STOPPED, Closed(withdrawn())
        now = self._clock.now()
        fresh = self._replica.freshness.fresh_until() - now
        start = StartRequest(
            task=job.request.task,
            attempt=job.attempts,
            boot=known.unwrap().boot,
            start_by=known.unwrap().at(now) + min(START_SECONDS, fresh),
            lease=LEASE_SECONDS,
            content_type=job.request.content_type,
            body=job.request.body,
            traceparent=job.traceparent,
        )
        freshness = self._replica.freshness
        freshness.open_start(start.task, now + min(START_SECONDS, fresh))
        with anyio.move_on_after(job.deadline - now) as job.scope:
            answer = await self._workers.run(worker, start)
            if not isinstance(answer.err(), StartOutcomeUnknown):
                freshness.close_start(start.task)
            return self._read(job, vm, answer)
        if not await self._stop(worker, job):
            job.linger = LINGER_SECONDS
        return RunResult.STOPPED, Closed(
            Failed(detail="the endpoint did not answer before the deadline")
        )

    async def _stop(self, worker: Worker, job: Job) -> bool:
        """Stop a task and return whether the worker confirmed it."""
        with anyio.move_on_after(START_SECONDS):
            return (await worker.stop(job.request.task)).is_ok()
        return False

    def _read(
        self,
        job: Job,
        vm: VmId,
        answer: Ok[Answer] | Err[StartNotRun | StartOutcomeUnknown],
    ) -> tuple[RunResult, Step]:
        match answer:
            case Ok(whole):
                failed = whole.status >= SERVER_ERROR
                result = RunResult.FAILED if failed else RunResult.DONE
                return result, Closed(completed(whole))
            case Err(StartNotRun(StartRefusal.BUSY)):
                return RunResult.BUSY, Again(RETRY_PAUSE_SECONDS)
            case Err(StartNotRun(refusal)):
                self._workers.forget(vm)
                job.avoided.add(vm)
                result = RunResult.SILENT if refusal is None else RunResult.STOPPED
                return result, Again(RETRY_PAUSE_SECONDS)
            case Err(StartOutcomeUnknown()):
                job.may_have_run = True
                job.linger = LINGER_SECONDS
                self._workers.forget(vm)
                job.avoided.add(vm)
                return RunResult.SILENT, Again(RETRY_PAUSE_SECONDS)
            case other:
                assert_never(other)
