"""Simulated worker with slots, leases, attempts, stored answers and fault injection.

The simulated tasks are not run by the event loop. Their state is computed from the
clock on each access, so a caller that disconnects does not affect them.
"""

import hashlib
import math
import time
from collections import Counter
from collections.abc import Callable
from enum import Enum
from uuid import uuid4

import anyio
import msgspec

from hickoryplank.core.ids import TaskId
from hickoryplank.external.errors import StartRefusal
from hickoryplank.external.faults import WorkerFaults
from hickoryplank.external.worker import (
    Answer,
    StartRequest,
    TaskReport,
    TaskState,
    WorkerStatus,
)

__all__ = ["Effects", "Interrupted", "Sent", "Work", "WorkerSimulator", "answer_body"]

_OK = 200
_FAILED = 500


class Work(msgspec.Struct, kw_only=True):
    """Options in the JSON body of a start; defaults apply to any other body.

    :param seconds: service time; ``None`` for the worker's default.
    :param effect: name under which the effect is counted in addition to the task id.
    """

    seconds: float | None = None
    effect: str = ""


class Effects(msgspec.Struct, kw_only=True):
    """Counts of executions and effects of a worker, over all of its restarts.

    :param starts: executions started, by task; resuming from a checkpoint does not
        count.
    :param tasks: effects, by task.
    :param effects: effects, by the name given in the body.
    :param cut_off: tasks that were running when the worker restarted.
    """

    starts: Counter[str]
    tasks: Counter[str]
    effects: Counter[str]
    cut_off: int = 0


class Sent(msgspec.Struct, frozen=True):
    """An answer as sent, possibly altered by an injected fault.

    :param length: length of the original body, in bytes.
    """

    answer: Answer
    length: int


class Interrupted(Enum):
    """Reason for which an accepted start yields no answer."""

    CHECKPOINTED = "checkpointed"
    STOPPED = "stopped"
    RESTARTED = "restarted"
    SUPERSEDED = "superseded"
    ANSWER_LOST = "answer_lost"


class _Run(msgspec.Struct, kw_only=True):
    attempt: int
    state: TaskState
    work: Work
    content_type: str = ""
    body: bytes = b""
    finish_at: float = math.inf
    lease_end: float = math.inf
    remaining: float = 0.0
    stopped: bool = False
    attempts: set[int] = msgspec.field(default_factory=set)
    answers: dict[int, Answer] = msgspec.field(default_factory=dict)


def answer_body(body: bytes) -> bytes:
    """Return the body of the answer to a start with ``body``."""
    return b"answer %s %s" % (hashlib.sha256(body).hexdigest().encode(), body)


class WorkerSimulator:
    """Simulation of one worker.

    :param slots: tasks that may run at the same time.
    :param seconds: default service time of a task.
    :param clock: monotonic clock of the worker, in seconds.
    """

    def __init__(
        self,
        slots: int = 8,
        seconds: float = 0.0,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self.faults = WorkerFaults()
        self.boot = uuid4().hex
        self._slots = slots
        self._default_seconds = seconds
        self._clock = clock
        self._runs: dict[TaskId, _Run] = {}
        self._running: set[TaskId] = set()
        self._paused_at: float | None = None
        self._changed = anyio.Event()
        self._effects = Effects(starts=Counter(), tasks=Counter(), effects=Counter())

    def set_faults(self, faults: WorkerFaults) -> None:
        """Replace the injected faults."""
        self._advance_tasks()
        self.faults = faults
        if faults.paused and self._paused_at is None:
            self._paused_at = self._clock()
        if not faults.paused and self._paused_at is not None:
            self._postpone_ends(self._clock() - self._paused_at)
            self._paused_at = None
        self._notify_waiters()

    def restart(self) -> None:
        """Restart with a new boot id, losing all tasks and answers."""
        self._advance_tasks()
        self._effects.cut_off += len(self._running)
        self._runs.clear()
        self._running.clear()
        self.boot = uuid4().hex
        self._notify_waiters()

    def effects(self) -> Effects:
        """Return the counts of executions and effects so far."""
        self._advance_tasks()
        return self._effects

    async def status(self) -> WorkerStatus:
        """Return the worker's boot id, clock and load."""
        await self._wait_until_resumed()
        return WorkerStatus(
            boot=self.boot,
            clock=self._clock(),
            running=len(self._running),
            slots=self._slots,
        )

    async def start(self, start: StartRequest) -> Sent | StartRefusal | Interrupted:
        """Run a task and return its answer; a repeated attempt is run once."""
        await self._wait_until_resumed()
        boot = self.boot
        refusal = self._accept(start)
        if refusal is not None:
            return refusal
        outcome = await self._wait_for_outcome(start, boot)
        await anyio.sleep(self.faults.late_seconds)
        await self._wait_until_resumed()
        return (
            self._apply_answer_faults(outcome)
            if isinstance(outcome, Answer)
            else outcome
        )

    async def renew(self, task: TaskId, attempt: int, lease: float) -> bool:
        """Renew a lease and return whether the attempt is running."""
        await self._wait_until_resumed()
        run = self._runs.get(task)
        if run is None or run.state is not TaskState.RUNNING or run.attempt != attempt:
            return False
        run.lease_end = self._clock() + lease
        self._notify_waiters()
        return True

    async def task_report(self, task: TaskId) -> TaskReport:
        """Return the report on a task."""
        await self._wait_until_resumed()
        run = self._runs.get(task)
        return TaskReport(
            task=task,
            state=run.state if run else TaskState.NEVER_SEEN,
            boot=self.boot,
            clock=self._clock(),
            attempt=run.attempt if run else 0,
            answer=run.answers.get(run.attempt) if run else None,
        )

    async def checkpoint(self, task: TaskId) -> None:
        """Checkpoint and stop a running task, so that a later attempt resumes it."""
        await self._wait_until_resumed()
        if task in self._running:
            self._checkpoint(task, self._clock())
        self._notify_waiters()

    async def stop(self, task: TaskId) -> None:
        """Stop a task permanently, even if its start has not arrived yet."""
        await self._wait_until_resumed()
        new = _Run(attempt=0, state=TaskState.DONE, work=Work())
        run = self._runs.setdefault(task, new)
        run.stopped = True
        run.state = TaskState.DONE
        self._running.discard(task)
        self._notify_waiters()

    def _accept(self, start: StartRequest) -> StartRefusal | None:
        run = self._runs.get(start.task)
        if run is not None and start.attempt in run.attempts:
            return None
        refusal = self._refusal(start, run)
        if refusal is None:
            self._begin(start, run)
        return refusal

    def _refusal(self, start: StartRequest, run: _Run | None) -> StartRefusal | None:
        if start.boot and start.boot != self.boot:
            return StartRefusal.OTHER_BOOT
        if run is not None and (run.stopped or run.attempt > start.attempt):
            return StartRefusal.SUPERSEDED
        if self._clock() > start.start_by:
            return StartRefusal.LATE
        if self.faults.refuse is not None:
            return self.faults.refuse
        if start.task not in self._running and len(self._running) >= self._slots:
            return StartRefusal.BUSY
        return None

    def _begin(self, start: StartRequest, run: _Run | None) -> None:
        now = self._clock()
        if run is not None and run.state is TaskState.RUNNING:
            self._checkpoint(start.task, now)
        if run is None or run.state is TaskState.DONE:
            work = _parse_work(start.body)
            seconds = self._default_seconds if work.seconds is None else work.seconds
            old = run or _Run(attempt=0, state=TaskState.NEVER_SEEN, work=work)
            run = msgspec.structs.replace(old, work=work, remaining=seconds)
            self._runs[start.task] = run
            self._effects.starts[start.task] += 1
        run.attempt = start.attempt
        run.attempts.add(start.attempt)
        run.state = TaskState.RUNNING
        run.content_type = start.content_type
        run.body = start.body
        run.finish_at = now + run.remaining
        run.lease_end = now + start.lease
        self._running.add(start.task)
        self._notify_waiters()

    async def _wait_for_outcome(
        self, start: StartRequest, boot: str
    ) -> Answer | Interrupted:
        while True:
            self._advance_tasks()
            if self.boot != boot:
                return Interrupted.RESTARTED
            run = self._runs[start.task]
            if start.attempt in run.answers:
                return run.answers[start.attempt]
            if run.attempt != start.attempt:
                return Interrupted.SUPERSEDED
            if run.stopped:
                return Interrupted.STOPPED
            if run.state is TaskState.CHECKPOINTED:
                return Interrupted.CHECKPOINTED
            changed = self._changed
            with anyio.move_on_after(self._seconds_to_next_event(run)):
                await changed.wait()

    def _seconds_to_next_event(self, run: _Run) -> float:
        if self._paused_at is not None:
            return math.inf
        return max(0.0, min(run.finish_at, run.lease_end) - self._clock())

    def _apply_answer_faults(self, answer: Answer) -> Sent | Interrupted:
        faults, length = self.faults, len(answer.body)
        if faults.lose_answers > 0:
            faults.lose_answers -= 1
            return Interrupted.ANSWER_LOST
        if faults.cross_answers > 0:
            faults.cross_answers -= 1
            other = TaskId(f"{answer.task}-other")
            answer = msgspec.structs.replace(answer, task=other)
        if faults.shorten_answers > 0:
            faults.shorten_answers -= 1
            answer = msgspec.structs.replace(answer, body=answer.body[:-1])
        return Sent(answer, length)

    async def _wait_until_resumed(self) -> None:
        while self._paused_at is not None:
            await self._changed.wait()
        self._advance_tasks()

    def _advance_tasks(self) -> None:
        if self._paused_at is not None:
            return
        now = self._clock()
        for task in list(self._running):
            run = self._runs[task]
            if run.finish_at <= min(now, run.lease_end):
                self._finish(task, run)
            elif run.lease_end <= now:
                self._checkpoint(task, run.lease_end)

    def _finish(self, task: TaskId, run: _Run) -> None:
        self._running.discard(task)
        run.state = TaskState.DONE
        run.answers[run.attempt] = Answer(
            task=task,
            status=_FAILED if self.faults.fail else _OK,
            content_type=run.content_type,
            body=answer_body(run.body),
        )
        if not self.faults.fail:
            self._effects.tasks[task] += 1
            if run.work.effect:
                self._effects.effects[run.work.effect] += 1

    def _checkpoint(self, task: TaskId, when: float) -> None:
        self._running.discard(task)
        run = self._runs[task]
        run.state = TaskState.CHECKPOINTED
        run.remaining = max(0.0, run.finish_at - when)

    def _postpone_ends(self, seconds: float) -> None:
        for task in self._running:
            self._runs[task].finish_at += seconds

    def _notify_waiters(self) -> None:
        self._changed.set()
        self._changed = anyio.Event()


def _parse_work(body: bytes) -> Work:
    try:
        return msgspec.json.decode(body, type=Work)
    except msgspec.DecodeError:
        return Work()
