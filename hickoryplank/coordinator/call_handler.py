"""Handling of callers' calls by the coordinator."""

import logging

import anyio
import msgspec

from hickoryplank.coordinator.calls import (
    Accepted,
    Answer,
    Ask,
    Call,
    CallContext,
    Cancel,
    Cancelled,
    Count,
    Faulty,
    NoKey,
    NoSuchJob,
    NoSuchQueue,
    NotRun,
    NotRunReason,
    PendingIs,
    StateIs,
    Submit,
    Unsettled,
    is_refusal,
)
from hickoryplank.coordinator.term_state import Term
from hickoryplank.core.ids import TeamId
from hickoryplank.jobs.admission import Refusal
from hickoryplank.jobs.configuration import Queue
from hickoryplank.jobs.model import Job, Step
from hickoryplank.jobs.records import job_fault
from hickoryplank.jobs.table import JobState
from hickoryplank.shell.clock import wall_ms

__all__ = ["CallHandler"]

logger = logging.getLogger(__name__)

#: Staleness of the configuration above which calls are rejected, in seconds. A
#: withdrawn key has to stop working within 5 s.
MAX_STALENESS_SECONDS = 3.0
#: Longest wait for a configuration version that the forwarding entry has already
#: read, in seconds.
VERSION_TIMEOUT_SECONDS = 0.3
#: Longest wait for open calls before the lease is released, in seconds.
DRAIN_TIMEOUT_SECONDS = 0.4


class CallHandler:
    """Handles calls on the engine while the lease of the term is valid."""

    def __init__(self, term: Term):
        self._term = term
        self._open_calls = 0
        self._draining = False

    async def answer(self, call: Call) -> Answer:
        """Handle a call and return its answer.

        :param call: the call, with the context in which it was received.
        """
        if not self._serving():
            return NotRun(NotRunReason.NO_COORDINATOR)
        self._open_calls += 1
        try:
            answer = await self._answer(call)
        finally:
            self._open_calls -= 1
        if is_refusal(answer) and self._is_known(call):
            return Unsettled("an earlier call with this id may have taken effect")
        return answer

    def _serving(self) -> bool:
        return (
            self._term.engine is not None
            and not self._draining
            and self._term.lease.valid()
        )

    def _is_known(self, call: Call) -> bool:
        """Return whether a submission names a job whose record may have been sent."""
        engine = self._term.engine
        if engine is None or not isinstance(call, Submit):
            return False
        return call.id in engine.jobs or call.id in self._term.malformed_jobs

    def reject_calls(self) -> None:
        """Reject new calls from now on."""
        self._draining = True

    async def drain_calls(self) -> None:
        """Reject new calls and wait until the open ones have been answered.

        The wait is bounded by ``DRAIN_TIMEOUT_SECONDS``.
        """
        self.reject_calls()
        with anyio.move_on_after(DRAIN_TIMEOUT_SECONDS):
            while self._open_calls:
                await anyio.sleep(0.01)

    async def _answer(self, call: Call) -> Answer:
        await self._await_version(call.where.version)
        if not self._serving():
            return NotRun(NotRunReason.NO_COORDINATOR)
        admitted = self._admit(call.where)
        if not isinstance(admitted, _Admitted):
            return admitted
        if not isinstance(call, Count) and call.id in self._term.malformed_jobs:
            return Unsettled("the stored state of the job is malformed")
        match call:
            case Submit():
                return await self._submit(call, admitted)
            case Cancel(_, id):
                return await self._cancel(id, admitted)
            case Ask(_, id):
                return self._job_state(id, admitted)
            case Count():
                if admitted.subpath:
                    return NoSuchQueue()
                return PendingIs(
                    self._term.require_engine().pending_count(admitted.queue.id)
                )

    async def _await_version(self, version: int) -> None:
        with anyio.move_on_after(VERSION_TIMEOUT_SECONDS):
            while self._term.watcher.version < version:
                await self._term.watcher.changed.wait()

    def _admit(self, context: CallContext) -> "_Admitted | Answer":
        configuration = self._term.watcher.configuration
        if configuration is None:
            return NotRun(NotRunReason.NO_CONFIGURATION)
        if self._term.watcher.staleness() > MAX_STALENESS_SECONDS:
            return NotRun(NotRunReason.STORE_AWAY)
        route = configuration.resolve(context.host, context.path)
        if route is None:
            return NoSuchQueue()
        team = configuration.team_of_key.get(context.key)
        if team is None and not route.queue.public:
            return NoKey()
        return _Admitted(route.queue, route.subpath, team or TeamId(""))

    async def _submit(self, call: Submit, admitted: "_Admitted") -> Answer:
        engine = self._term.require_engine()
        if admitted.subpath != call.id:
            return NoSuchQueue()
        known = engine.jobs.get(call.id)
        if known is not None and known.recorded:
            return Accepted()
        if known is None and self._term.journal.failing:
            return NotRun(NotRunReason.STORE_AWAY)
        fault = _check_steps(call)
        if fault:
            return Faulty(fault)
        submission = call.submission
        job = Job(
            id=call.id,
            queue=admitted.queue.id,
            pool=admitted.queue.pool,
            team=admitted.team,
            payload=submission.payload,
            steps=submission.steps,
            accepted_ms=wall_ms(),
            repeats=submission.repeats,
            first_ms=submission.first_ms,
            period_ms=submission.period_ms,
            terms=admitted.queue.terms,
        )
        fault = job_fault(job, self._term.context.store_bounds)
        if known is None and fault:
            return Faulty(fault)
        now = self._term.context.clock.now()
        refusal = engine.refusal(job, now) if known is None else None
        if refusal is not None:
            self._note_refusal(job, refusal)
            return NotRun(NotRunReason.NO_ROOM, refusal.again_s)
        row = engine.submit(job, now)
        if known is None:
            self._term.context.metrics.acceptance(returned=row.returned)
        # A batch lacks the job if it could not be encoded, or was refused.
        stored = await self._term.wait_until_stored() and row.recorded
        logger.info(
            "job taken",
            extra={
                "request": job.id,
                "queue": job.queue,
                "team": job.team,
                "stored": stored,
                "steps": [_step_summary(step) for step in job.steps],
            },
        )
        if stored:
            return Accepted()
        if row.refusals:
            return Faulty("the store refuses the records of the job")
        return Unsettled("the job is not stored yet")

    def _note_refusal(self, job: Job, refusal: Refusal) -> None:
        self._term.context.metrics.refusal(refusal.again_s)
        logger.info(
            "job refused for want of room",
            extra={
                "request": job.id,
                "queue": job.queue,
                "team": job.team,
                "expected_s": round(refusal.expected_s, 1),
                "patience_s": round(refusal.patience_s, 1),
                "ahead": refusal.ahead,
                "again_s": refusal.again_s,
            },
        )

    async def _cancel(self, id, admitted: "_Admitted") -> Answer:
        engine = self._term.require_engine()
        row = engine.jobs.get(id)
        if row is None or row.job.queue != admitted.queue.id:
            return NoSuchJob()
        if row.stored_state.final:
            return Cancelled()
        engine.cancel(row, self._term.context.clock.now())
        if await self._term.wait_until_stored() and row.stored_state.final:
            return Cancelled()
        return Unsettled("the cancellation is not stored yet")

    def _job_state(self, id, admitted: "_Admitted") -> Answer:
        engine = self._term.require_engine()
        row = engine.jobs.get(id)
        if row is None or row.job.queue != admitted.queue.id:
            return NoSuchJob()
        if row.stored_state.final:
            return StateIs(row.stored_state)
        return StateIs(JobState.RUNNING if engine.has_begun(row) else JobState.QUEUED)


class _Admitted(msgspec.Struct, frozen=True):
    """The queue and team to which the configuration admits a call."""

    queue: Queue
    subpath: str
    team: TeamId


def _step_summary(step: Step) -> str:
    """Return a one-line description of a step for the log."""
    flags = [
        name
        for name in ("gang", "same_rack", "checkpointing", "speculative", "lasting")
        if getattr(step, name)
    ]
    flags += ["fills"] if step.fills else []
    flags += (
        [f"max per endpoint {step.max_per_endpoint}"] if step.max_per_endpoint else []
    )
    flags += [f"target {step.target_ms} ms"] if step.target_ms else []
    flags += [f"may miss {step.may_miss}"] if step.may_miss else []
    flags += [f"label {step.required_label}"] if step.required_label else []
    flags += [f"affinity {step.affinity}"] if step.affinity else []
    size = step.size
    return (
        f"{step.count}x{size.cpu}m/{size.mem_mb}MB/{size.gpu}"
        f" {step.estimate_ms}ms after {list(step.after)} {' '.join(flags)}"
    )


def _check_steps(call: Submit) -> str:
    """Return why the steps of a submission are invalid; empty if they are valid."""
    steps = call.submission.steps
    if not steps:
        return "job has no steps"
    for number, step in enumerate(steps):
        if step.count < 1:
            return f"step {number} has no tasks"
        if any(not 0 <= one < number for one in step.after):
            return f"step {number} depends on a step that does not precede it"
    return ""
