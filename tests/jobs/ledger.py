"""Checks the rules of the platform by what endpoints were told to run."""

from collections.abc import Callable

from hickoryplank.core.ids import EndpointId, JobId
from hickoryplank.jobs.endpoints import Endpoint, Run
from hickoryplank.jobs.engine import Engine
from hickoryplank.jobs.messages import (
    AdviceAnswer,
    End,
    EndKind,
    EngineEventKind,
    Permit,
    PollReport,
    StartOutcome,
)
from hickoryplank.jobs.model import Job, TaskKey
from hickoryplank.jobs.placement import choose_gang, has_room_for
from hickoryplank.jobs.sizes import ZERO, Size
from hickoryplank.jobs.table import JobRow, JobState, StepRow
from tests.jobs.driver import CAPACITY, ZONE, Driver
from tests.jobs.fake_endpoint import FakeEndpoint

__all__ = ["Ledger", "LedgerDriver", "LedgerEndpoint", "task_keys"]

#: Time after which a task that isn't in full operation counts as unavailable whatever
#: the cause, in milliseconds. The platform states it.
UNAVAILABLE_AFTER_MS = 4500
#: Time after the acknowledgement of a cancellation from which no task of the job may
#: start, in milliseconds. The platform states it.
CANCEL_MS = 3000
#: Time after an endpoint was listed as draining from which nothing may start there, in
#: milliseconds. The platform states it.
DRAIN_MS = 2000
#: Validity of a ticket, in milliseconds.
TICKET_MS = 3000


class Ledger:
    """All that endpoints have run, over the terms of all coordinators.

    :ivar jobs: the submitted jobs.
    :ivar done: tasks of which a run has ended ``done``.
    :ivar noted: tasks of which such an end was acknowledged.
    :ivar failures: ends ``failed``, by task.
    :ivar noted_failures: acknowledged ends ``failed``, by task.
    :ivar in_operation_ms: time of day at which each task was last in full operation.
    :ivar stopped: tasks that the system has stopped, until in full operation again.
    :ivar cancelled_ms: time of day at which the cancellation of each job was stored.
    :ivar wall_ms: time of day, in milliseconds.
    """

    def __init__(self) -> None:
        self.jobs: dict[JobId, Job] = {}
        self.done: set[TaskKey] = set()
        self.noted: set[TaskKey] = set()
        self.failures: dict[TaskKey, int] = {}
        self.noted_failures: dict[TaskKey, int] = {}
        self.highest_attempts: dict[TaskKey, int] = {}
        self.in_operation_ms: dict[TaskKey, int] = {}
        self.stopped: set[TaskKey] = set()
        self.cancelled_ms: dict[JobId, int] = {}
        self.wall_ms = 0

    def note_start(self, key: TaskKey, attempt: int, attempts: int) -> None:
        """Check a start that an endpoint has carried out.

        :param attempts: runs of a task that may fail.
        """
        job = self.jobs[key.job]
        step = job.steps[key.step]
        assert self.wall_ms >= job.due_ms(key.occurrence), f"{key} was started early"
        assert key not in self.noted, f"{key} is done, and was started again"
        if step.gang:
            done = _members(job, key) & self.noted
            assert not done, f"{key} was started, though {done} are done"
        cancelled_ms = self.cancelled_ms.get(key.job, self.wall_ms)
        assert self.wall_ms - cancelled_ms <= CANCEL_MS, f"{key} of a cancelled job"
        for number in step.after:
            before = _members(job, TaskKey(key.job, key.occurrence, number, 0))
            # One end of a gang represents those of all its members.
            is_done = before & self.done if job.steps[number].gang else before
            assert is_done and is_done <= self.done, (
                f"{key} was started before {before}"
            )
        if not step.lasting:
            assert self.noted_failures.get(key, 0) < attempts, f"{key} failed too often"
        highest = self.highest_attempts.get(key, 0)
        assert attempt >= highest, f"attempt {attempt} of {key} followed {highest}"
        self.highest_attempts[key] = attempt

    def note_end(self, key: TaskKey, kind: EndKind) -> None:
        """Record how a run has ended."""
        if kind is EndKind.DONE:
            self.done.add(key)
        elif kind is EndKind.FAILED:
            self.failures[key] = self.failures.get(key, 0) + 1

    def check_failed(self, job: Job, attempts: int) -> None:
        """Check that some task, or gang, of a failed job has failed often enough."""
        counts = []
        for key in task_keys(job):
            together = _members(job, key) if job.steps[key.step].gang else {key}
            counts.append(sum(self.failures.get(one, 0) for one in together))
        assert max(counts) >= attempts, f"{job.id} has failed after {max(counts)} runs"

    def note_acknowledged(self, end: End) -> None:
        """Record that the system has taken note of an end."""
        if end.kind is EndKind.DONE:
            self.noted.add(end.key)
        elif end.kind is EndKind.FAILED:
            self.noted_failures[end.key] = self.noted_failures.get(end.key, 0) + 1

    def note_operation(self, key: TaskKey) -> None:
        """Record that a task is in full operation."""
        self.in_operation_ms[key] = self.wall_ms
        self.stopped.discard(key)

    def check_budgets(self, ended: set[TaskKey]) -> None:
        """Check that the system may end these tasks, which are in full operation."""
        for key in ended:
            step = self.jobs[key.job].steps[key.step]
            others = [
                TaskKey(key.job, key.occurrence, key.step, index)
                for index in range(step.count)
                if index != key.index
            ]
            missing = sum(1 for one in others if one in ended or self._is_away(one))
            budget = max(1, step.may_miss)
            assert missing < budget, f"{key} ends, {missing} others miss"

    def _is_away(self, key: TaskKey) -> bool:
        in_operation_ms = self.in_operation_ms.get(key)
        return (
            key in self.stopped
            or in_operation_ms is None
            or self.wall_ms - in_operation_ms > UNAVAILABLE_AFTER_MS
        )

    def size(self, key: TaskKey) -> Size:
        """Return the resources that a run of a task takes."""
        return self.jobs[key.job].steps[key.step].counted_size


def task_keys(job: Job) -> set[TaskKey]:
    """Return the keys of all tasks of a job."""
    return {
        TaskKey(job.id, occurrence, number, index)
        for occurrence in range(job.occurrences)
        for number, step in enumerate(job.steps)
        for index in range(step.count)
    }


def _members(job: Job, key: TaskKey) -> set[TaskKey]:
    """Return the tasks of the step of a task, in the same occurrence."""
    count = job.steps[key.step].count
    return {TaskKey(key.job, key.occurrence, key.step, index) for index in range(count)}


class LedgerEndpoint(FakeEndpoint):
    """A fake endpoint that enters what it runs in a ledger.

    :param rate: rate of its clock relative to true time.
    :param attempts: runs of a task that may fail.
    """

    def __init__(self, born_ms, work_ms, ledger: Ledger, rate: float, attempts: int):
        super().__init__(born_ms, work_ms)
        self._ledger = ledger
        self._rate = rate
        self._attempts = attempts
        #: Ends up to this one don't count as noted, as the lease lapsed after them.
        self._lapsed_number = 0
        #: Time of day since which it is listed as draining; none if it isn't.
        self.draining_since_ms: int | None = None

    def start(self, key, attempt, payload, until_ms, token) -> StartOutcome:
        known = (key, attempt) in self.running
        outcome = super().start(key, attempt, payload, until_ms, token)
        if (key, attempt) in self.running and not known:
            self._ledger.note_start(key, attempt, self._attempts)
            if self.draining_since_ms is not None:
                drained_ms = self._ledger.wall_ms - self.draining_since_ms
                assert drained_ms <= DRAIN_MS, f"{key} on a draining endpoint"
        return outcome

    def poll(self, token, last_seen, until_ms) -> PollReport | None:
        if token >= self.token:
            for end in self.ends:
                if self._lapsed_number < end.number <= last_seen:
                    self._ledger.note_acknowledged(end)
        return super().poll(token, last_seen, until_ms)

    def stop(self, key, attempt, token) -> bool:
        run = self.running.get((key, attempt))
        accepted = super().stop(key, attempt, token)
        if accepted and run is not None:
            self._ledger.stopped.add(key)
        return accepted

    def in_operation(self) -> set[TaskKey]:
        """Return the lasting tasks that are in full operation here."""
        return {
            run.key
            for run in self.running.values()
            if run.work_ms is None and run.percent >= 100 and run.stopping_ms is None
        }

    def advance(self, ms: float) -> None:
        super().advance(ms * self._rate)
        for run in self.running.values():
            if self._ledger.jobs[run.key.job].steps[run.key.step].checkpointing:
                run.checkpoint = f"{run.attempt}-{run.percent}"
        for key in self.in_operation():
            self._ledger.note_operation(key)
        if self.clock_ms > self.until_ms:
            self._lapsed_number = self.number

    def _end(self, run, kind: EndKind) -> None:
        self._ledger.note_end(run.key, kind)
        super()._end(run, kind)


class LedgerDriver(Driver):
    """A driver whose endpoints enter what they run in a ledger.

    :ivar clock_rate: rate of the clocks of endpoints that are built from now on.
    :ivar ends_per_report: most ends in a report of endpoints built from now on.
    :ivar attempts: runs of a task that may fail.
    :ivar permits: whether a job may run on an incarnation of an endpoint, if its queue
        has advice; it is asked for once a step.
    """

    def __init__(self, ledger: Ledger, count: int, work_ms, cfg):
        self.ledger = ledger
        self.clock_rate = 1.0
        self.ends_per_report = 500
        self.attempts = next(iter(cfg.queues.values())).attempts
        self.permits: Callable[[JobId, EndpointId, int], bool] | None = None
        super().__init__(count, work_ms, cfg)

    def step(self, ms: int = 100, store_up: bool = True) -> None:
        """Advance the time, and answer a request for advice."""
        self.ledger.wall_ms = int((self.now + ms / 1000) * 1000)
        super().step(ms, store_up)
        request = self.engine.advice.pop_request()
        if request is None or self.permits is None:
            return
        permits = tuple(
            Permit(id, _ticket(request.step.job, id, self.endpoints[id].born_ms))
            for id in request.endpoints
            if self.permits(request.step.job, id, self.endpoints[id].born_ms)
        )
        answer = AdviceAnswer(permits, TICKET_MS)
        self.engine.advice.add_answer(request, answer, self.now)

    def commit(self) -> None:
        """Store a batch, and note which cancellations are acknowledged from now on."""
        super().commit()
        for row in self.engine.jobs.values():
            if row.stored_state is JobState.CANCELLED:
                self.ledger.cancelled_ms.setdefault(row.job.id, self.ledger.wall_ms)

    def list_endpoint(self, id: EndpointId, draining: bool) -> None:
        """List the present incarnation of an endpoint."""
        fake = self.endpoints[id]
        assert isinstance(fake, LedgerEndpoint)
        if not draining:
            fake.draining_since_ms = None
        elif fake.draining_since_ms is None:
            fake.draining_since_ms = self.ledger.wall_ms
        fresh = self.listing_of(id, fake.born_ms, draining)
        self.engine.update_listing(fresh, self.now)

    def _list_endpoints(self, engine: Engine) -> None:
        """List the endpoints, none of which is draining."""
        for id, fake in self.endpoints.items():
            if id not in self.unlisted and isinstance(fake, LedgerEndpoint):
                fake.draining_since_ms = None
        super()._list_endpoints(engine)

    def note_start_sent(self, run: Run) -> None:
        """Check that no start is sent into an evacuated zone, also not again."""
        zone = self.zones.get(run.endpoint.id, ZONE)
        assert zone not in self.evacuated, f"{run.key} is sent to evacuated {zone}"

    def _send_stops(self) -> None:
        """Check the budgets of the tasks that leave evacuated zones."""
        events, self.engine.events = self.engine.events, []
        leaving = {
            event.key: event.endpoint
            for event in events
            if event.kind is EngineEventKind.STOPPED
            and event.reason == "its zone is evacuated"
        }
        for key in leaving:
            step = self.engine.jobs[key.job].step_of(key)
            assert step.unavailable_count() <= max(1, step.step.may_miss)
        ended = {
            key
            for key, id in leaving.items()
            if id not in self.unreachable and key in self.endpoints[id].in_operation()
        }
        self.ledger.check_budgets(ended)
        self.ledger.stopped |= set(leaving)
        super()._send_stops()

    def accepts_ticket(self, run: Run) -> bool:
        id = run.endpoint.id
        born_ms = self.endpoints[id].born_ms
        if self.permits is None:
            return True
        if not self.permits(run.key.job, id, born_ms):
            return False
        return run.ticket == _ticket(run.key.job, id, born_ms)

    def build_endpoint(self, id: EndpointId, born_ms: int) -> FakeEndpoint:
        attempts = self.attempts
        fake = LedgerEndpoint(
            born_ms, self.work_ms, self.ledger, self.clock_rate, attempts
        )
        fake.ends_per_report = self.ends_per_report
        return fake

    def check(self) -> None:
        """Check what runs now against capacities, limits and the states of jobs."""
        running: list[TaskKey] = []
        for id, fake in self.endpoints.items():
            used = ZERO
            for key, _ in fake.run_keys():
                used = used.plus(self.ledger.size(key))
                running.append(key)
            assert used.fits(CAPACITY), f"{id} runs {used} of {CAPACITY}"
        assert len(set(running)) == len(running), "a task runs twice"
        for team in self.cfg.teams.values():
            used = ZERO
            for key in running:
                if self.ledger.jobs[key.job].team == team.id:
                    used = used.plus(self.ledger.jobs[key.job].steps[key.step].size)
            assert used.within_limit(team.limit), f"{team.id} has {used} running"

    def waits_beside_room(self, row: JobRow) -> bool:
        """Return whether a task of a job waits though it may run on some endpoint."""
        job = row.job
        usable = [
            one
            for one in self.engine.endpoints.values()
            if one.usable(self.now)
            and (
                self.permits is None
                or self.permits(job.id, one.id, one.listing.born_ms)
            )
        ]
        steps = [step for number in row.steps for step in row.ready_steps(number)]
        return any(self._has_room(row, step, usable) for step in steps)

    def _has_room(self, row: JobRow, step: StepRow, usable: list[Endpoint]) -> bool:
        gang = step.step.gang
        size = step.step.size.times(step.step.count if gang else 1)
        if not self.engine.team_usage.allows(row.job.team, size, self.cfg):
            return False
        if not gang:
            return any(has_room_for(one, step) for one in usable)
        all_wait = len(step.waiting) == step.step.count
        return all_wait and choose_gang(usable, step) is not None


def _ticket(job: JobId, id: EndpointId, born_ms: int) -> str:
    return f"{job} on {id} since {born_ms}"
