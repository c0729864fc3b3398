"""What endpoints and callers saw, held against the promises."""

import time
from dataclasses import dataclass, field

from hickoryplank.core.ids import EndpointId, JobId, TeamId
from hickoryplank.jobs.messages import EndKind
from hickoryplank.jobs.model import Step, TaskKey
from hickoryplank.jobs.sizes import ZERO, Size
from tests.jobs.fake_endpoint import FakeEndpoint

__all__ = ["ObservedJob", "InvariantChecker", "ObservedEndpoint"]

#: From a cancel's answer until nothing of the job may start, in seconds: the users'
#: bound, and the longest time that an order is held back on its way.
CANCEL_SECONDS = 3.0 + 4.5
#: From a withdrawal's answer until its key may not work, in seconds: the users' bound.
REVOKE_SECONDS = 5.0
#: Times its limit that a team may have running.
LIMIT_TIMES = 1.1


@dataclass
class ObservedJob:
    """A job that a caller has handed in.

    :param sent: tries so far; ``refused`` counts those answered as not run.
    """

    id: JobId
    team: TeamId
    payload: str
    steps: tuple[Step, ...]
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
    def only_refused(self) -> bool:
        return self.sent > 0 and self.sent == self.refused

    def tasks(self, number: int) -> set[TaskKey]:
        """Return the tasks of a step."""
        return {
            TaskKey(self.id, 0, number, index)
            for index in range(self.steps[number].count)
        }

    def all_tasks(self) -> set[TaskKey]:
        return set().union(*(self.tasks(n) for n in range(len(self.steps))))


@dataclass
class OpenEnd:
    """A run that ended ``done``, of which the system hasn't taken note yet.

    :param starts: endpoints on which the task was started since.
    """

    key: TaskKey
    starts: list[EndpointId] = field(default_factory=list)


class InvariantChecker:
    """Everything that was seen, and the promises that it breaks."""

    def __init__(self, limits: dict[TeamId, Size]):
        self.jobs: dict[JobId, ObservedJob] = {}
        self.limits = limits
        self.withdrawn_at: dict[str, float] = {}
        self.running: dict[TaskKey, set[ObservedEndpoint]] = {}
        self.noted: set[TaskKey] = set()
        self.open_ends: dict[tuple[ObservedEndpoint, int], OpenEnd] = {}
        self.violations: list[str] = []
        self.starts = 0

    def report_violation(self, promise: str, detail: str) -> None:
        """Note a broken promise."""
        self.violations.append(f"{promise}: {detail}")

    def note_start(self, endpoint: "ObservedEndpoint", key: TaskKey, payload: str):
        """Hold a start against the promises."""
        self.starts += 1
        job = self.jobs.get(key.job)
        if job is None or key not in job.all_tasks() or job.payload != payload:
            self.report_violation("unasked", f"{key} on {endpoint.id}")
            return
        job.started = True
        others = self.running.setdefault(key, set())
        if others:
            names = ", ".join(one.id for one in others)
            self.report_violation("twice", f"{key} on {endpoint.id} beside {names}")
        if key in self.noted:
            self.report_violation(
                "twice", f"{key} on {endpoint.id} after its end was noted"
            )
        for end in self.open_ends.values():
            if end.key == key:
                end.starts.append(endpoint.id)
        others.add(endpoint)
        self._check_job(job, key, endpoint)
        self._check_room(job, key, endpoint)

    def _check_job(self, job: ObservedJob, key: TaskKey, endpoint: "ObservedEndpoint"):
        step = job.steps[key.step]
        for before in step.after:
            if not job.tasks(before) <= job.done:
                self.report_violation("order", f"{key} before step {before} was done")
        if job.cancelled_at is not None:
            late = time.monotonic() - job.cancelled_at
            if late > CANCEL_SECONDS:
                self.report_violation(
                    "unasked", f"{key} {late:.1f} s after the cancel's answer"
                )
        beside = sum(
            1
            for other in job.tasks(key.step)
            if endpoint in self.running.get(other, ())
        )
        if step.max_per_endpoint and beside > step.max_per_endpoint:
            self.report_violation("spread", f"{beside} of {key} on {endpoint.id}")

    def _check_room(self, job: ObservedJob, key: TaskKey, endpoint: "ObservedEndpoint"):
        used, team_used = ZERO, ZERO
        for other, places in self.running.items():
            owner = self.jobs[other.job]
            size = owner.steps[other.step].size
            if endpoint in places:
                used = used.plus(size)
            if owner.team == job.team:
                team_used = team_used.plus(size.times(len(places)))
        if not used.fits(endpoint.capacity):
            self.report_violation(
                "capacity", f"{used} of {endpoint.capacity} on {endpoint.id}"
            )
        size = job.steps[key.step].size
        most = self.limits[job.team].cpu * LIMIT_TIMES + size.cpu
        if team_used.cpu > most:
            self.report_violation(
                "limit", f"{team_used.cpu} of {job.team}, {most} allowed"
            )

    def note_end(
        self, endpoint: "ObservedEndpoint", key: TaskKey, kind: EndKind, number: int
    ) -> None:
        """Note that a run has ended."""
        self.running.get(key, set()).discard(endpoint)
        job = self.jobs.get(key.job)
        if job is not None and kind is EndKind.DONE:
            job.done.add(key)
            self.open_ends[(endpoint, number)] = OpenEnd(key)

    def note_acknowledged(self, endpoint: "ObservedEndpoint", number: int) -> None:
        """Note that the system has taken note of an end."""
        end = self.open_ends.pop((endpoint, number), None)
        if end is None:
            return
        self.noted.add(end.key)
        for where in end.starts:
            detail = f"{end.key} on {where}, and its end on {endpoint.id} was noted"
            self.report_violation("twice", detail)

    def note_lapsed(self, endpoint: "ObservedEndpoint") -> None:
        """Note that a lease has lapsed: ends from before bind nobody any more."""
        for place in [place for place in self.open_ends if place[0] is endpoint]:
            del self.open_ends[place]

    def note_gone(self, endpoint: "ObservedEndpoint") -> None:
        """Note that a life of an endpoint has ended, with all that ran there."""
        for places in self.running.values():
            places.discard(endpoint)
        self.note_lapsed(endpoint)

    def note_state(self, job: ObservedJob, state: str) -> None:
        """Hold a state that a caller was told against what endpoints saw."""
        job.state = state
        if state == "completed" and not job.all_tasks() <= job.done:
            self.report_violation(
                "state", f"{job.id} completed, though not all is done"
            )
        if state == "cancelled" and not job.cancel_sent:
            self.report_violation("state", f"{job.id} cancelled, though nobody asked")

    def note_served(self, key: str) -> None:
        """Note that a call with a key was served."""
        at = self.withdrawn_at.get(key)
        if at is not None and time.monotonic() - at > REVOKE_SECONDS:
            self.report_violation(
                "key", f"{key} works {time.monotonic() - at:.1f} s after"
            )

    def check_refusals(self) -> None:
        """Check that no job has run whose tries were all refused."""
        for job in self.jobs.values():
            if job.only_refused and job.started:
                self.report_violation(
                    "refused", f"{job.id} was refused each time, and ran"
                )


class ObservedEndpoint(FakeEndpoint):
    """A stand-in endpoint that tells the ledger what happens."""

    def __init__(
        self,
        id: EndpointId,
        born_ms: int,
        work_ms,
        capacity: Size,
        rate: float,
        checker: InvariantChecker,
    ):
        super().__init__(born_ms, work_ms)
        self.id = id
        self.capacity = capacity
        self._rate = rate
        self._ledger = checker

    def start(self, key, attempt, payload, until_ms, token):
        before = len(self.started)
        outcome = super().start(key, attempt, payload, until_ms, token)
        if len(self.started) > before:
            self._ledger.note_start(self, key, payload)
        return outcome

    def poll(self, token, last_seen, until_ms):
        if token >= self.token:
            for end in self.ends:
                if end.number <= last_seen:
                    self._ledger.note_acknowledged(self, end.number)
        return super().poll(token, last_seen, until_ms)

    def advance(self, ms):
        super().advance(ms * self._rate)
        if self.clock_ms > self.until_ms:
            self._ledger.note_lapsed(self)

    def _end(self, going, kind):
        super()._end(going, kind)
        self._ledger.note_end(self, going.key, kind, self.number)
