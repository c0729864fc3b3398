"""Claims: non-idempotent requests run at most once, whoever handles them."""

import hashlib
import logging
from collections import Counter

import anyio
import msgspec
from anyio.abc import TaskGroup
from result import Err, Ok, Result

from hickoryplank.core.errors import FaultCode, Refusal
from hickoryplank.core.fold import Verdict
from hickoryplank.core.ids import ClaimId, QueueId, TaskId, TeamId, VmId
from hickoryplank.core.placement import RunResult
from hickoryplank.core.records import (
    Claim,
    Dispatch,
    Outcome,
    OutcomeKind,
    Proof,
    Record,
)
from hickoryplank.core.tables import ClaimRow
from hickoryplank.core.work import (
    Completed,
    NotRun,
    NotRunReason,
    Queued,
    Unknown,
    WorkAnswer,
    WorkRequest,
)
from hickoryplank.platform.errors import (
    LogError,
    LogFailure,
    RefusedStart,
    StartFailure,
    StartLost,
)
from hickoryplank.platform.worker import Answer, Start, TaskReport, TaskState, Worker
from hickoryplank.shell.clock import Clock
from hickoryplank.shell.jobs import Again, Closed, Job, Step
from hickoryplank.shell.replica import Replica, new_record_id
from hickoryplank.shell.workers import LEASE_SECONDS, WorkerClock, WorkerPool

__all__ = ["CLAIM_SECONDS", "Claims", "answer_of", "claim_of", "digest_of", "task_of"]

logger = logging.getLogger(__name__)

CLAIM_SECONDS = 24 * 3600.0
CLAIM_ID_DIGITS = 40
START_SECONDS = 5.0
LOG_PAUSE_SECONDS = 0.1
FIND_PAUSE_SECONDS = 0.25
RESOLVE_SECONDS = 30.0
RETRY_PAUSE_SECONDS = 0.02


def claim_of(team: TeamId, queue: QueueId, key: str) -> ClaimId:
    """Return the claim that stands for a caller's idempotency key."""
    text = "\0".join((team, queue, key))
    return ClaimId(hashlib.sha256(text.encode()).hexdigest()[:CLAIM_ID_DIGITS])


def task_of(claim: ClaimId) -> TaskId:
    """Return the task that a claim runs, the same on every node."""
    return TaskId(f"claim-{claim}")


def digest_of(request: WorkRequest) -> str:
    """Return what tells two requests under one idempotency key apart."""
    digest = hashlib.sha256()
    for part in (request.queue, request.content_type):
        digest.update(part.encode() + b"\0")
    digest.update(request.body)
    return digest.hexdigest()


def answer_of(outcome: Outcome) -> WorkAnswer:
    """Return the answer that an outcome in the log stands for."""
    match outcome.kind:
        case OutcomeKind.DONE:
            return Completed(
                status=outcome.status,
                content_type=outcome.content_type,
                body=outcome.body,
            )
        case OutcomeKind.NOT_RUN:
            return NotRun(reason=NotRunReason.REFUSED, detail=outcome.detail)
        case OutcomeKind.UNKNOWN:
            return Unknown(detail=outcome.detail)


class Claims:
    """Claims that this node holds, and waiting for those of others."""

    def __init__(
        self, replica: Replica, workers: WorkerPool, group: TaskGroup, clock: Clock
    ):
        self._replica = replica
        self._workers = workers
        self._group = group
        self._clock = clock
        self._open: set[ClaimId] = set()
        self._active: set[ClaimId] = set()
        self._claiming: Counter[ClaimId] = Counter()
        self._settled: dict[ClaimId, anyio.Event] = {}
        self._unsaved = 0
        replica.subscribe(self._note_record)
        replica.subscribe_adoption(self.rebuild)
        self.rebuild()

    @property
    def unsaved(self) -> int:
        """How many outcomes are not in the log yet."""
        return self._unsaved

    def rebuild(self) -> None:
        """Find the open claims anew after the tables were replaced."""
        claims = self._replica.tables.claims
        self._open = {claim for claim, row in claims.items() if row.outcome is None}
        for claim in list(self._settled):
            if claim not in self._open and claim in claims:
                self._settled.pop(claim).set()

    def orphans(self) -> list[ClaimRow]:
        """Return open claims that no live process of any node works on."""
        tables = self._replica.tables
        rows = [tables.claims[claim] for claim in self._idle()]
        me = self._replica.incarnation
        return [
            row for row in rows if row.holder == me or not tables.is_live(row.holder)
        ]

    def _idle(self) -> set[ClaimId]:
        return self._open - self._active - self._claiming.keys()

    def _note_record(self, record: Record, verdict: Verdict) -> None:
        if verdict.is_err():
            return
        match record:
            case Claim(claim=claim):
                self._open.add(claim)
            case Outcome(claim=claim):
                self._open.discard(claim)
                event = self._settled.pop(claim, None)
                if event is not None:
                    event.set()

    async def acquire(
        self, request: WorkRequest, expires: float, durable: bool, deadline: float
    ) -> Result[None, WorkAnswer]:
        """Claim a request, or wait for the outcome of whoever holds it.

        :param expires: when the claim may be forgotten, in seconds since the
            epoch.
        :param deadline: when the caller gives up, on this node's clock.
        :return: ``Ok`` if this node is to run the request, else the answer.
        """
        record = Claim(
            id=new_record_id(),
            claim=request.claim,
            team=request.team,
            queue=request.queue,
            holder=self._replica.incarnation,
            request=digest_of(request),
            expires=expires,
            durable=durable,
            content_type=request.content_type,
            body=request.body,
        )
        while True:
            known = await self._wait_for_other(record, deadline)
            if known is not None:
                return Err(known)
            claimed = await self._try_claim(record, deadline)
            if claimed is None or claimed.is_err():
                return claimed or Err(self._not_logged(record))
            if claimed.unwrap():
                return Ok(None)
            record = _renamed(record)

    def _not_logged(self, record: Claim) -> NotRun | Unknown:
        """Return the answer to a claim that had no verdict by its deadline.

        Durable work whose claim is still logged later runs; other work does not.
        """
        detail = "the claim could not be logged before the deadline"
        if record.durable and self._replica.may_take_effect(record.id):
            return Unknown(detail=detail)
        return NotRun(reason=NotRunReason.LOG_DOWN, detail=detail)

    async def _try_claim(
        self, record: Claim, deadline: float
    ) -> Result[bool, WorkAnswer] | None:
        """Return whether the claim was won, or ``None`` at the deadline."""
        claimed = None
        self._claiming[record.claim] += 1
        try:
            with anyio.move_on_after(deadline - self._clock.now()):
                claimed = await self._submit_claim(record)
            if claimed == Ok(True):
                self._active.add(record.claim)
        finally:
            self._claiming[record.claim] -= 1
            self._claiming += Counter()
        return claimed

    async def _submit_claim(self, record: Claim) -> Result[bool, WorkAnswer]:
        while True:
            match await self._replica.submit(record):
                case Ok():
                    return Ok(True)
                case Err(Refusal(faults)):
                    codes = {fault.code for fault in faults}
                    if FaultCode.REQUEST_MISMATCH in codes:
                        return Err(_mismatch())
                    if FaultCode.NOT_LIVE in codes:
                        detail = "this node was replaced"
                        return Err(NotRun(reason=NotRunReason.STOPPING, detail=detail))
                    return Ok(False)
                case Err(LogFailure()):
                    await anyio.sleep(LOG_PAUSE_SECONDS)

    async def _wait_for_other(
        self, record: Claim, deadline: float
    ) -> WorkAnswer | None:
        """Return the outcome of a claim that another holds, if there is one."""
        while (row := self._replica.tables.claims.get(record.claim)) is not None:
            if row.request != record.request:
                return _mismatch()
            if row.outcome is not None:
                if row.outcome.kind is OutcomeKind.NOT_RUN:
                    return None
                return answer_of(row.outcome)
            held = self._replica.tables.is_live(row.holder)
            if not held and not row.durable and row.attempt == 0:
                return None
            if row.durable:
                return Queued(claim=record.claim)
            if not await self._outcome_by(record.claim, deadline):
                return Unknown(detail="the first request is still under way")
        return None

    async def _outcome_by(self, claim: ClaimId, deadline: float) -> bool:
        event = self._settled.setdefault(claim, anyio.Event())
        with anyio.move_on_after(deadline - self._clock.now()):
            await event.wait()
            return True
        return False

    def adopt(self, claim: ClaimId) -> None:
        """Note that a job on this node works on ``claim``."""
        self._active.add(claim)

    def release(self, claim: ClaimId) -> None:
        """Note that no job on this node works on ``claim`` any more."""
        self._active.discard(claim)

    def settle_not_run(self, claim: ClaimId, detail: str) -> None:
        """Log that a claim of this node did not run."""
        self._save(claim, OutcomeKind.NOT_RUN, detail=detail)

    def _save(
        self,
        claim: ClaimId,
        kind: OutcomeKind,
        answer: Answer | None = None,
        detail: str = "",
    ) -> None:
        record = Outcome(
            id=new_record_id(),
            claim=claim,
            holder=self._replica.incarnation,
            kind=kind,
            status=answer.status if answer else 0,
            content_type=answer.content_type if answer else "",
            body=answer.body if answer else b"",
            detail=detail,
        )
        self._unsaved += 1
        self._group.start_soon(self._save_outcome, record)

    async def _save_outcome(self, record: Outcome) -> None:
        try:
            while isinstance(await self._failure_of(record), LogFailure):
                await anyio.sleep(LOG_PAUSE_SECONDS)
        finally:
            self._unsaved -= 1
            self.release(record.claim)

    async def _failure_of(self, record: Record) -> Refusal | LogFailure | None:
        submitted = await self._replica.submit(record)
        return submitted.err()

    async def take_over(self, row: ClaimRow) -> bool:
        """Claim what a process that is gone left open; tell whether it worked."""
        record = Claim(
            id=new_record_id(),
            claim=row.claim,
            team=row.team,
            queue=row.queue,
            holder=self._replica.incarnation,
            request=row.request,
            expires=row.expires,
        )
        failure = await self._failure_of(record)
        if failure is not None:
            self.release(row.claim)
        return failure is None

    async def run(self, job: Job, vm: VmId, worker: Worker) -> tuple[RunResult, Step]:
        """Dispatch a claimed job once, and find out how it ended."""
        claim = job.request.claim
        row = self._replica.tables.claims.get(claim)
        if row is None or row.outcome is not None:
            answer = answer_of(row.outcome) if row else _forgotten()
            return RunResult.STOPPED, Closed(answer)
        known = await self._workers.clock_of(worker, vm)
        if known.is_err():
            return RunResult.SILENT, Again(RETRY_PAUSE_SECONDS)
        if job.pinned is not None and known.unwrap().boot != row.boot:
            step = self.give_up(claim, "the worker restarted and lost its checkpoint")
            return RunResult.STOPPED, step
        start = self._start_of(job, row, known.unwrap())
        refused = await self._log_dispatch(job, vm, start)
        if refused is not None:
            return RunResult.STOPPED, refused
        return await self._send(job, vm, worker, self._bounded(start, known.unwrap()))

    def _bounded(self, start: Start, known: WorkerClock) -> Start:
        """Return the start with the bound that this node's freshness sets.

        The log may name a later one: a start that the worker refuses by the
        earlier bound does not run by the later one either.
        """
        now = self._clock.now()
        fresh = self._replica.freshness.fresh_until() - now
        start_by = min(start.start_by, known.at(now) + fresh)
        return msgspec.structs.replace(start, start_by=start_by)

    def _start_of(self, job: Job, row: ClaimRow, known: WorkerClock) -> Start:
        return Start(
            task=job.request.task,
            attempt=row.attempt + 1,
            boot=known.boot,
            start_by=known.at(self._clock.now()) + START_SECONDS,
            lease=LEASE_SECONDS,
            content_type=job.request.content_type,
            body=job.request.body,
            traceparent=job.traceparent,
        )

    async def _log_dispatch(self, job: Job, vm: VmId, start: Start) -> Step | None:
        """Log the attempt before it is sent; say why it must not be sent."""
        record = Dispatch(
            id=new_record_id(),
            claim=job.request.claim,
            holder=self._replica.incarnation,
            attempt=start.attempt,
            vm=vm,
            boot=start.boot,
            start_by=start.start_by,
            proof=job.proof,
        )
        failure: Refusal | LogFailure | None = LogFailure(LogError.UNKNOWN)
        with anyio.move_on_after(START_SECONDS):
            failure = await self._failure_of(record)
        if failure is None:
            return None
        if isinstance(failure, Refusal) and not self._holds(job.request.claim):
            return Closed(Unknown(detail="another node has taken the request over"))
        if isinstance(failure, Refusal) and job.proof is None:
            return Closed(Unknown(detail="another attempt is under way"))
        job.proof = job.proof or Proof.REFUSED
        return Again(LOG_PAUSE_SECONDS)

    def _holds(self, claim: ClaimId) -> bool:
        row = self._replica.tables.claims.get(claim)
        return row is not None and row.holder == self._replica.incarnation

    async def _send(
        self, job: Job, vm: VmId, worker: Worker, start: Start
    ) -> tuple[RunResult, Step]:
        now = self._clock.now()
        freshness = self._replica.freshness
        freshness.open_start(
            start.task, min(now + START_SECONDS, freshness.fresh_until())
        )
        sent = await self._workers.run(worker, start)
        if not isinstance(sent.err(), StartLost):
            freshness.close_start(start.task)
        match sent:
            case Ok(answer):
                return RunResult.DONE, self._finish(job, answer)
            case Err(StartFailure(refusal)):
                job.proof = Proof.REFUSED
                self._workers.forget(vm)
                if refusal is RefusedStart.BUSY:
                    return RunResult.BUSY, Again(RETRY_PAUSE_SECONDS)
                return RunResult.SILENT, Again(RETRY_PAUSE_SECONDS)
            case _ if job.queue.idempotent:
                self._workers.forget(vm)
                job.proof = Proof.IDEMPOTENT
                result = RunResult.STOPPED if job.preempted else RunResult.SILENT
                job.preempted = False
                return result, Again(RETRY_PAUSE_SECONDS)
            case _:
                self._workers.forget(vm)
                step = await self._resolve(job, vm, worker, start)
                result = RunResult.STOPPED if job.preempted else RunResult.SILENT
                job.preempted = False
                return result, step

    def _finish(self, job: Job, answer: Answer) -> Closed:
        self._save(job.request.claim, OutcomeKind.DONE, answer)
        return Closed(
            Completed(
                status=answer.status,
                content_type=answer.content_type,
                body=answer.body,
            )
        )

    async def resume(self, job: Job, row: ClaimRow, worker: Worker) -> Step:
        """Find out what became of an attempt that another process had sent."""
        sent = Start(
            task=job.request.task,
            attempt=row.attempt,
            boot=row.boot,
            start_by=row.start_by,
            lease=LEASE_SECONDS,
        )
        return await self._resolve(job, row.vm, worker, sent, renew=False)

    async def _resolve(
        self, job: Job, vm: VmId, worker: Worker, sent: Start, renew: bool = True
    ) -> Step:
        """Ask the worker until it is known whether an attempt ran.

        The caller gets ``unknown`` at its deadline; the claim goes on.

        :param renew: whether this node holds a unit for the attempt, and so may
            renew its lease; else the lease lapses and the work is resumed.
        """
        until = self._clock.now() + RESOLVE_SECONDS
        while self._clock.now() < until:
            if self._clock.now() > job.deadline:
                job.close(Unknown(detail="the worker's answer was lost"))
                job.deadline = self._clock.now() + CLAIM_SECONDS
            found = await worker.find(job.request.task)
            step = None
            if found.is_ok():
                step = self._read_report(job, vm, sent, found.unwrap())
                if renew and found.unwrap().state is TaskState.RUNNING:
                    await worker.renew(job.request.task, sent.attempt, LEASE_SECONDS)
            if step is not None:
                return step
            await anyio.sleep(FIND_PAUSE_SECONDS)
        return self.give_up(job.request.claim, "the worker could not be asked")

    def _read_report(
        self, job: Job, vm: VmId, sent: Start, report: TaskReport
    ) -> Step | None:
        if report.boot != sent.boot:
            return self.give_up(job.request.claim, "the worker restarted in between")
        match report.state:
            case TaskState.DONE if report.answer is not None:
                return self._finish(job, report.answer)
            case TaskState.CHECKPOINTED:
                job.proof = Proof.CHECKPOINTED
                job.pinned = vm
                job.deadline = self._clock.now() + CLAIM_SECONDS
                return Again(FIND_PAUSE_SECONDS)
            case TaskState.NEVER_SEEN if report.clock > sent.start_by:
                job.proof = Proof.START_MISSED
                return Again(RETRY_PAUSE_SECONDS)
        return None

    def give_up(self, claim: ClaimId, detail: str) -> Closed:
        """Log that nobody can tell whether a request ran."""
        self._save(claim, OutcomeKind.UNKNOWN, detail=detail)
        return Closed(Unknown(detail=detail))


def _mismatch() -> NotRun:
    return NotRun(
        reason=NotRunReason.KEY_REUSED,
        detail="the idempotency key was used before for another request",
    )


def _forgotten() -> Unknown:
    return Unknown(detail="the claim is no longer kept")


def _renamed(record: Claim) -> Claim:
    return msgspec.structs.replace(record, id=new_record_id())
