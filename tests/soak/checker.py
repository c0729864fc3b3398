"""Checks of what endpoints and callers observe against the invariants."""

import time
from dataclasses import dataclass, field

from hickoryplank.core.ids import EndpointId, JobId, TeamId, Zone
from hickoryplank.jobs.messages import EndKind
from hickoryplank.jobs.model import Step, TaskKey
from hickoryplank.jobs.sizes import ZERO, Size
from tests.jobs.fake_endpoint import FakeEndpoint

__all__ = [
    "Evacuation",
    "InvariantChecker",
    "ObservedEndpoint",
    "ObservedJob",
    "Timing",
]

#: Time after the answer to a cancellation from which no task of the job may start, in
#: seconds: the bound that users require, and the longest time that a fault delays a
#: start.
CANCEL_GRACE_SECONDS = 3.0 + 4.5
#: Time after the withdrawal of a key from which it must not work, in seconds: the
#: bound that users require.
REVOKE_GRACE_SECONDS = 5.0
#: Time after the request to evacuate a zone from which nothing may start there, in
#: seconds: the bound that users require, and the longest time that a fault delays a
#: start.
EVACUATION_GRACE_SECONDS = 5.0 + 4.5
#: Time by which a task may start before it is due, in milliseconds: the bound of the
#: users.
EARLY_MS = 250
#: Zone of an endpoint for which no zone matters.
NO_ZONE = Zone("")
#: Multiple of its limit up to which a team may have tasks running.
LIMIT_TOLERANCE_FACTOR = 1.1


@dataclass(frozen=True)
class Timing:
    """Due times of a timed job.

    :param first_ms: due time of the first occurrence, in Unix milliseconds.
    :param due_count: occurrences that are due within the run.
    """

    repeats: int
    first_ms: int
    period_ms: int
    due_count: int


@dataclass
class ObservedJob:
    """A job as observed by its caller and by endpoints.

    :param timing: due times, if it is a timed job.
    :ivar sent: number of attempts to submit it.
    :ivar refused: number of those attempts that were answered as rejected.
    :ivar accepted_at: when the caller got the acceptance.
    :ivar cancelled_at: when the caller got the answer to its cancellation.
    :ivar started: whether an endpoint has started a task of it.
    :ivar state: state in the last answer to the caller.
    :ivar done: tasks that have ended ``done`` on an endpoint.
    """

    id: JobId
    team: TeamId
    payload: str
    steps: tuple[Step, ...]
    timing: Timing | None = None
    sent: int = 0
    refused: int = 0
    accepted_at: float | None = None
    cancelled_at: float | None = None
    cancel_sent: bool = False
    started: bool = False
    state: str = ""
    done: set[TaskKey] = field(default_factory=set)

    @property
    def lasting(self) -> bool:
        return any(step.lasting for step in self.steps)

    @property
    def all_refused(self) -> bool:
        return self.sent > 0 and self.sent == self.refused

    def tasks(self, number: int, occurrence: int = 0) -> set[TaskKey]:
        """Return the keys of the tasks of a step."""
        return {
            TaskKey(self.id, occurrence, number, index)
            for index in range(self.steps[number].count)
        }

    def all_tasks(self) -> set[TaskKey]:
        """Return the keys of all tasks that are due within the run."""
        occurrences = self.timing.due_count if self.timing is not None else 1
        return {
            key
            for occurrence in range(occurrences)
            for number in range(len(self.steps))
            for key in self.tasks(number, occurrence)
        }

    @property
    def ends_within_run(self) -> bool:
        return self.timing is None or self.timing.due_count == self.timing.repeats


@dataclass
class UnacknowledgedEnd:
    """An end ``done`` of a run that no coordinator has acknowledged yet.

    :ivar starts: endpoints on which the task has been started since.
    """

    key: TaskKey
    starts: list[EndpointId] = field(default_factory=list)


@dataclass(frozen=True)
class Evacuation:
    """A request to evacuate an availability zone, which is in force.

    :param at: when the store had acknowledged it, by the monotonic clock.
    :param epoch: highest epoch of a coordinator then.
    """

    at: float
    epoch: int


class InvariantChecker:
    """Collects observations and the violations of invariants that they show.

    :param limits: limit of each team.
    :ivar withdrawn_at: when each withdrawn key was withdrawn.
    :ivar evacuations: requests in force, by zone.
    :ivar running: endpoints on which each task runs.
    :ivar acknowledged_done: tasks whose end ``done`` has been acknowledged.
    :ivar unacknowledged_ends: ends that are not acknowledged, by endpoint and number.
    """

    def __init__(self, limits: dict[TeamId, Size]):
        self.jobs: dict[JobId, ObservedJob] = {}
        self.limits = limits
        self.withdrawn_at: dict[str, float] = {}
        self.evacuations: dict[Zone, Evacuation] = {}
        self.running: dict[TaskKey, set[ObservedEndpoint]] = {}
        self.acknowledged_done: set[TaskKey] = set()
        self.unacknowledged_ends: dict[
            tuple[ObservedEndpoint, int], UnacknowledgedEnd
        ] = {}
        self.violations: list[str] = []
        self.starts = 0

    def report_violation(self, invariant: str, detail: str) -> None:
        """Record the violation of an invariant.

        :param invariant: name of the invariant.
        """
        self.violations.append(f"{invariant}: {detail}")

    def note_start(self, endpoint: "ObservedEndpoint", key: TaskKey, payload: str):
        """Record the start of a run, and check the invariants for it."""
        self.starts += 1
        job = self.jobs.get(key.job)
        if job is None or key not in job.all_tasks() or job.payload != payload:
            self.report_violation(
                "unasked", f"{key} on {endpoint.id} matches no submitted job"
            )
            return
        job.started = True
        others = self.running.setdefault(key, set())
        if others:
            names = ", ".join(one.id for one in others)
            self.report_violation(
                "twice", f"{key} on {endpoint.id} while it runs on {names}"
            )
        if key in self.acknowledged_done:
            self.report_violation(
                "twice", f"{key} on {endpoint.id} after its end was acknowledged"
            )
        for end in self.unacknowledged_ends.values():
            if end.key == key:
                end.starts.append(endpoint.id)
        others.add(endpoint)
        self._check_job(job, key, endpoint)
        self._check_capacity_and_limit(job, key, endpoint)

    def check_zone(self, endpoint: "ObservedEndpoint", key: TaskKey, token: int):
        """Check that a start is not in a zone which its sender knew as evacuated.

        A coordinator of a later epoch has read the request before it began.

        :param token: fencing token of the start. Those of a term are above the epoch
            before it, and not above its own.
        """
        evacuation = self.evacuations.get(endpoint.zone)
        if evacuation is None:
            return
        age_s = time.monotonic() - evacuation.at
        if token > evacuation.epoch or age_s > EVACUATION_GRACE_SECONDS:
            self.report_violation(
                "evacuated",
                f"{key} on {endpoint.id} in {endpoint.zone}, {age_s:.2f} s after the"
                f" request, by epoch {token}; the request came in {evacuation.epoch}",
            )

    def _check_job(self, job: ObservedJob, key: TaskKey, endpoint: "ObservedEndpoint"):
        step = job.steps[key.step]
        if job.timing is not None:
            due_ms = job.timing.first_ms + key.occurrence * job.timing.period_ms
            if time.time() * 1000 < due_ms - EARLY_MS:
                self.report_violation("order", f"{key} before its time")
        for before in step.after:
            if not job.tasks(before, key.occurrence) <= job.done:
                self.report_violation("order", f"{key} before step {before} was done")
        if job.cancelled_at is not None:
            delay_s = time.monotonic() - job.cancelled_at
            if delay_s > CANCEL_GRACE_SECONDS:
                self.report_violation(
                    "unasked", f"{key} started {delay_s:.1f} s after the cancellation"
                )
        task_count = sum(
            1
            for other in job.tasks(key.step, key.occurrence)
            if endpoint in self.running.get(other, ())
        )
        if step.max_per_endpoint and task_count > step.max_per_endpoint:
            self.report_violation(
                "spread",
                f"{task_count} tasks of the step of {key} on {endpoint.id}",
            )

    def _check_capacity_and_limit(
        self, job: ObservedJob, key: TaskKey, endpoint: "ObservedEndpoint"
    ):
        used, team_used = ZERO, ZERO
        for other, endpoints in self.running.items():
            owner = self.jobs[other.job]
            size = owner.steps[other.step].size
            if endpoint in endpoints:
                used = used.plus(size)
            if owner.team == job.team:
                team_used = team_used.plus(size.times(len(endpoints)))
        if not used.fits(endpoint.capacity):
            self.report_violation(
                "capacity", f"{used} used of {endpoint.capacity} on {endpoint.id}"
            )
        size = job.steps[key.step].size
        max_cpu = self.limits[job.team].cpu * LIMIT_TOLERANCE_FACTOR + size.cpu
        if team_used.cpu > max_cpu:
            self.report_violation(
                "limit",
                f"{team_used.cpu}m cpu used by team {job.team}, {max_cpu}m allowed",
            )

    def note_end(
        self, endpoint: "ObservedEndpoint", key: TaskKey, kind: EndKind, number: int
    ) -> None:
        """Record the end of a run."""
        self.running.get(key, set()).discard(endpoint)
        job = self.jobs.get(key.job)
        if job is not None and kind is EndKind.DONE:
            job.done.add(key)
            self.unacknowledged_ends[(endpoint, number)] = UnacknowledgedEnd(key)

    def note_acknowledged(self, endpoint: "ObservedEndpoint", number: int) -> None:
        """Record that a coordinator has acknowledged an end."""
        end = self.unacknowledged_ends.pop((endpoint, number), None)
        if end is None:
            return
        self.acknowledged_done.add(end.key)
        for other_endpoint in end.starts:
            detail = f"{end.key} on {other_endpoint} despite its end on {endpoint.id}"
            self.report_violation("twice", detail)

    def note_lapsed(self, endpoint: "ObservedEndpoint") -> None:
        """Record that a lease has lapsed; earlier ends need not be acknowledged."""
        for end_id in [
            end_id for end_id in self.unacknowledged_ends if end_id[0] is endpoint
        ]:
            del self.unacknowledged_ends[end_id]

    def note_incarnation_ended(self, endpoint: "ObservedEndpoint") -> None:
        """Record that an incarnation of an endpoint has ended with all its runs."""
        for endpoints in self.running.values():
            endpoints.discard(endpoint)
        self.note_lapsed(endpoint)

    def note_ordered_away(self, endpoint: "ObservedEndpoint") -> None:
        """Check what the order of a VM ends against the budgets of steps."""
        for job in self.jobs.values():
            if not job.lasting or job.cancel_sent:
                continue
            for number, step in enumerate(job.steps):
                keys = job.tasks(number)
                ended = keys & endpoint.in_operation()
                if step.may_miss and len(ended) > step.may_miss:
                    self.report_violation(
                        "budget",
                        f"order for the VM of {endpoint.id} ended {len(ended)} tasks of"
                        f" {job.id}, of which {step.may_miss} may be missing",
                    )

    def note_state(self, job: ObservedJob, state: str) -> None:
        """Record a state from an answer, and check it against the observed ends."""
        job.state = state
        if state == "completed" and not (
            job.ends_within_run and job.all_tasks() <= job.done
        ):
            self.report_violation(
                "state", f"{job.id} completed although not all of its tasks are done"
            )
        if state == "cancelled" and not job.cancel_sent:
            self.report_violation(
                "state", f"{job.id} cancelled without a cancellation by its caller"
            )

    def note_served(self, key: str) -> None:
        """Record that a call with a key was served, and check that it may be."""
        at = self.withdrawn_at.get(key)
        if at is not None and time.monotonic() - at > REVOKE_GRACE_SECONDS:
            self.report_violation(
                "key", f"{key} works {time.monotonic() - at:.1f} s after its withdrawal"
            )

    def check_refusals(self) -> None:
        """Check that no job has run whose submissions were all rejected."""
        for job in self.jobs.values():
            if job.all_refused and job.started:
                self.report_violation(
                    "refused",
                    f"{job.id} ran although all its submissions were rejected",
                )


class ObservedEndpoint(FakeEndpoint):
    """A fake endpoint that reports what it observes to the checker.

    :param rate: rate of its clock, relative to true time.
    :param zone: availability zone.
    """

    def __init__(
        self,
        id: EndpointId,
        born_ms: int,
        work_ms,
        capacity: Size,
        rate: float,
        checker: InvariantChecker,
        zone: Zone = NO_ZONE,
    ):
        super().__init__(born_ms, work_ms)
        self.zone = zone
        self.id = id
        self.capacity = capacity
        self._rate = rate
        self._checker = checker

    def start(self, key, attempt, payload, until_ms, token):
        before = len(self.started)
        outcome = super().start(key, attempt, payload, until_ms, token)
        if len(self.started) > before:
            self._checker.note_start(self, key, payload)
            self._checker.check_zone(self, key, token)
        return outcome

    def poll(self, token, last_seen, until_ms):
        if token >= self.token:
            for end in self.ends:
                if end.number <= last_seen:
                    self._checker.note_acknowledged(self, end.number)
        return super().poll(token, last_seen, until_ms)

    def in_operation(self) -> set[TaskKey]:
        """Return the tasks in full operation that aren't being stopped."""
        return {
            run.key
            for run in self.running.values()
            if run.percent >= 100 and run.stopping_ms is None
        }

    def advance(self, ms):
        super().advance(ms * self._rate)
        if self.clock_ms > self.until_ms:
            self._checker.note_lapsed(self)

    def _end(self, run, kind):
        super()._end(run, kind)
        self._checker.note_end(self, run.key, kind, self.number)
