"""Endpoints: their incarnations, leases, free resources and runs."""

from enum import Enum
from typing import TYPE_CHECKING

import msgspec

from hickoryplank.core.ids import EndpointId, JobId, PoolId, Zone
from hickoryplank.jobs.evacuated_zones import EvacuatedZones
from hickoryplank.jobs.model import Step, TaskKey
from hickoryplank.jobs.sizes import ZERO, Size

if TYPE_CHECKING:
    from hickoryplank.jobs.messages import End

__all__ = [
    "LATE_CALL_SECONDS",
    "MIN_CLOCK_RATE",
    "Endpoint",
    "Listing",
    "Run",
    "RunState",
    "endpoint_token",
]

#: Lowest rate of an endpoint's clock relative to true time. The platform states that
#: clocks may be up to 2 % slow; the rest is margin.
MIN_CLOCK_RATE = 0.97
#: Added to the end of a lease before it counts as expired, for the granularity of
#: clocks and timers.
EXPIRY_MARGIN_MS = 60
#: Jobs that must fail on an endpoint, without a success in between, for it to be
#: ejected. A single job may be unable to run anywhere; failures of several jobs point
#: to the endpoint.
EJECTION_JOBS = 3
#: Time for which an ejected endpoint gets no new runs.
EJECTION_SECONDS = 3.0
#: Time after which a call that had no answer is taken to be lost, in seconds. Until
#: then it may be carried out, also by a later incarnation. It is less than the 6 s
#: after which the platform expects a lasting task to run again.
LATE_CALL_SECONDS = 5.0

#: Fencing tokens of one term at endpoints, by which each term raises the epoch. The
#: epoch is the highest of them: a coordinator of a former version, which raises it by
#: one, can take over.
TOKENS_PER_TERM = 1 << 20


def endpoint_token(epoch: int, number: int) -> int:
    """Return the fencing token of calls to an endpoint.

    It is higher than all tokens of former terms.

    :param epoch: epoch of the coordinator's term.
    :param number: number of the token in the term, from 0.
    """
    first = epoch - TOKENS_PER_TERM + 1
    return min(first + number, epoch)


class RunState(Enum):
    """State of a run."""

    #: Assigned to an endpoint; the assignment is not stored yet.
    ASSIGNED = "assigned"
    #: The start was sent; no answer has confirmed yet that the endpoint has the run.
    SENT = "sent"
    #: The endpoint has confirmed that it has the run.
    STARTED = "started"
    #: The run is to be stopped.
    STOPPING = "stopping"


class Run:
    """One run of a task on one endpoint.

    :param percent: progress as last reported, in percent.
    :param progressed_at_ms: time by the endpoint's clock of the first report in which
        the run had this progress; 0 before the first.
    :param pace_percent: pace, in percent of full speed.
    :param load: load as last reported, in the unit of ``RunningTask.load``.
    :param until_ms: end of the lease in the start, by the endpoint's clock.
    :param confirmed_at: time at which the endpoint first confirmed that it has, or
        had, the run; each later report must contain the run or its end.
    :param reported: a report of this incarnation of the endpoint contained the run.
    :param preassigned: a former coordinator stored it as a pre-assignment, so that its
        start may never have been sent.
    :param adopted: it was taken over from a former coordinator.
    :param first_sent_at: time at which this coordinator first sent its start.
    :param unanswered_at: time of the last start that this coordinator has sent, unless
        its first one was answered; of a run that was taken over, the latest time at
        which a former coordinator is taken to have sent one.
    :param held: it was kept longer than by the leases of the known incarnation.
    :param fenced_at: when this incarnation of the endpoint first accepted a stop,
        after which it refuses the start.
    :param start_withdrawn_at: time from which its start, which had no answer yet, is
        not sent any more; none while it may be.
    """

    __slots__ = (
        "adopted",
        "attempt",
        "confirmed_at",
        "counted_size",
        "endpoint",
        "fenced_at",
        "first_sent_at",
        "held",
        "key",
        "reported",
        "load",
        "pace_percent",
        "percent",
        "preassigned",
        "progressed_at_ms",
        "checkpoint",
        "size",
        "start_withdrawn_at",
        "state",
        "step",
        "team",
        "ticket",
        "unanswered_at",
        "until_ms",
    )

    def __init__(self, key: TaskKey, attempt: int, step: Step, team, endpoint):
        self.key = key
        self.attempt = attempt
        self.step = step
        self.team = team
        self.endpoint: Endpoint = endpoint
        self.size = step.size
        self.counted_size = step.counted_size
        self.state = RunState.ASSIGNED
        self.checkpoint = ""
        self.ticket = ""
        self.percent = 0
        self.progressed_at_ms = 0
        self.pace_percent = 100
        self.load = 0
        self.until_ms = 0
        self.confirmed_at: float | None = None
        self.reported = False
        self.preassigned = False
        self.adopted = False
        self.start_withdrawn_at: float | None = None
        self.first_sent_at: float | None = None
        self.unanswered_at: float | None = None
        self.fenced_at: float | None = None
        self.held = False

    @property
    def awaits_first_report(self) -> bool:
        """Whether it was taken over, and its endpoint has not been asked for it yet."""
        asked = self.endpoint.token_confirmed or self.endpoint.silent_since is not None
        return self.adopted and not self.preassigned and not asked

    @property
    def may_be_in_next_incarnation(self) -> bool:
        """Whether the start may have reached a later incarnation of the endpoint."""
        return self.state is not RunState.ASSIGNED and not self.reported

    def start_may_arrive(self, at: float) -> bool:
        """Return whether a start without an answer may be carried out after a time."""
        sent_at = self.unanswered_at
        return sent_at is not None and at < sent_at + LATE_CALL_SECONDS

    @property
    def may_be_in_unseen_incarnation(self) -> bool:
        """Whether an incarnation that has not reported yet may have begun it.

        That is so until a report contains it, and also afterwards if an earlier start
        could still arrive after the last report.
        """
        return self.may_be_in_next_incarnation or self.start_may_arrive(
            self.endpoint.reported_at
        )

    @property
    def run_key(self) -> tuple[TaskKey, int]:
        """Task and attempt number, which identify the run on its endpoint."""
        return (self.key, self.attempt)


class Listing(msgspec.Struct, frozen=True):
    """An endpoint as described in the platform's list.

    :param born_ms: start of this incarnation, in Unix milliseconds.
    :param drain_remaining_ms: least time until a draining endpoint is removed.
    """

    id: EndpointId
    born_ms: int
    address: str
    pool: PoolId
    zone: Zone
    capacity: Size
    labels: tuple[str, ...] = ()
    draining: bool = False
    drain_remaining_ms: int = 0


class Endpoint:
    """One incarnation of an endpoint.

    :param now: time by the local clock, in seconds.
    :param evacuated_zones: the table of the engine; by default one without zones.
    :param token_number: number of the fencing token of its calls in this term. A call
        names only the id, which a later incarnation may have. That one refuses calls
        that were meant for this one once it has seen a higher token.
    """

    def __init__(
        self,
        listing: Listing,
        now: float,
        evacuated_zones: EvacuatedZones | None = None,
        token_number: int = 0,
    ):
        self.listing = listing
        if evacuated_zones is None:
            evacuated_zones = EvacuatedZones()
        self._evacuated_zones = evacuated_zones
        self.id = listing.id
        self.token_number = token_number
        self.listed = True
        self.listed_at = now
        self.runs: dict[tuple[TaskKey, int], Run] = {}
        self.used = ZERO
        #: Free resources, by the coordinator's own accounting.
        self.free = listing.capacity
        #: Number of runs of filling tasks, of tasks with a target response time, and of
        #: lasting tasks, and the resources that the latter use.
        self.filling_count = 0
        self.serving_count = 0
        self.lasting_count = 0
        self.lasting_used = ZERO
        #: Whether the incarnation began in this coordinator's term, so that nobody else
        #: can have acknowledged its ends.
        self.begun_in_term = False
        #: Time of the first unanswered call since the last answer; none if there is no
        #: such call. While it is set, no run is assigned here and no lease extended.
        self.silent_since: float | None = None
        #: Time of the first report in which the endpoint had accepted this
        #: coordinator's fencing token; none before it.
        self.token_confirmed_at: float | None = None
        #: Latest reading of the clock of the endpoint, 0 before the first, and the
        #: time at which it arrived, by the local clock.
        self.clock_ms = 0
        self.clock_read_at = now
        #: Latest end of any lease that was sent, by the clock of the endpoint.
        self.latest_lease_ms = 0
        #: Time of the last call that extends leases, by the local clock.
        self.lease_call_at = float("-inf")
        #: Latest end of a lease that a former coordinator renewed, or that a call sent
        #: to the previous incarnation granted, by the local clock.
        self.former_leases_until = 0.0
        #: Time until which calls that were sent to the previous incarnation may have
        #: granted leases here, by the local clock.
        self.stale_leases_until = 0.0
        self.last_end_number = 0
        self.stored_end_number = 0
        #: Job of each reported end that is not stored yet, by the number of the end.
        self.unstored_end_jobs: dict[int, JobId] = {}
        #: Reported ends that have not been noted, as their job is set aside.
        self.unnoted_ends: dict[int, End] = {}
        #: Lowest number of an end that the next batch does not store; none if there is
        #: no such end. It is not acknowledged, nor are later ones.
        self.held_end_number: int | None = None
        #: Time of the last report of this incarnation, by the local clock.
        self.reported_at = float("-inf")
        #: Last end acknowledged in a poll that was sent, and in one that was answered.
        self.sent_ack_number = 0
        self.confirmed_ack_number = 0
        #: Jobs that failed here since the last run that ended ``done``.
        self.failed_jobs: set[JobId] = set()
        self.ejected_until = 0.0
        #: Time of the last change of pace of the filling tasks.
        self.pace_changed_at = 0.0
        #: Whether the VM is to be moved or maintained; no new run is assigned here.
        self.cordoned = False
        #: Whether the VM list has shown the VM as down since the last answer.
        self.vm_down = False
        #: Whether the VM awaits maintenance; lasting tasks prefer other endpoints.
        self.maintenance_due = False

    @property
    def token_confirmed(self) -> bool:
        """Whether the endpoint has accepted this coordinator's fencing token."""
        return self.token_confirmed_at is not None

    def reported_since_confirmation(self, seconds: float) -> bool:
        """Return whether a report came so long after the token was first accepted."""
        confirmed_at = self.token_confirmed_at
        return confirmed_at is not None and self.reported_at >= confirmed_at + seconds

    @property
    def draining(self) -> bool:
        """Whether the listing says that the endpoint is draining, or is gone."""
        return self.listing.draining or not self.listed

    @property
    def rack(self) -> str:
        """The rack, which is the last label."""
        return self.listing.labels[-1] if self.listing.labels else ""

    def relist(self, listing: Listing) -> None:
        """Apply a newer listing of the same incarnation."""
        self.listing = listing
        self.listed = True
        self.free = listing.capacity.minus(self.used)

    @property
    def in_evacuated_zone(self) -> bool:
        """Whether operators have evacuated its availability zone."""
        return self.listing.zone in self._evacuated_zones

    def admits_run(self, placed_count: int = 0) -> bool:
        """Return whether one more run is within the limit while it warms up.

        :param placed_count: runs that have been placed here, but are not added yet.
        """
        return self._evacuated_zones.admits_run(self.id, len(self.runs) + placed_count)

    @property
    def takes_starts(self) -> bool:
        """Whether starts may be sent to it, for the first time or again."""
        return (
            not self.draining
            and not self.cordoned
            and not self.vm_down
            and not self.in_evacuated_zone
        )

    def usable(self, now: float) -> bool:
        """Return whether new runs may be assigned here."""
        return (
            self.token_confirmed
            and self.silent_since is None
            and self.takes_starts
            and now >= self.ejected_until
        )

    def add(self, run: Run) -> None:
        """Add a run and reserve its resources."""
        self.runs[run.run_key] = run
        self.used = self.used.plus(run.counted_size)
        if run.step.lasting:
            self.lasting_used = self.lasting_used.plus(run.counted_size)
        self._count(run, 1)

    def remove(self, run: Run) -> None:
        """Remove a run that is known to have ended, and free its resources."""
        if self.runs.pop(run.run_key, None) is not None:
            self.used = self.used.minus(run.counted_size)
            if run.step.lasting:
                self.lasting_used = self.lasting_used.minus(run.counted_size)
            self._count(run, -1)

    def _count(self, run: Run, change: int) -> None:
        step = run.step
        self.free = self.listing.capacity.minus(self.used)
        self.filling_count += change if step.fills else 0
        self.serving_count += change if step.target_ms else 0
        self.lasting_count += change if step.lasting else 0

    @property
    def storable_end_number(self) -> int:
        """Number of the last end that may be acknowledged once it is stored."""
        if self.held_end_number is not None:
            return self.held_end_number - 1
        return self.last_end_number

    def hold_ends(self, jobs: set[JobId]) -> None:
        """Hold back the ends that the next batch does not store.

        :param jobs: jobs whose state the batch lacks.
        """
        self.held_end_number = None
        if not jobs and not self.unnoted_ends:
            return
        held = [number for number, job in self.unstored_end_jobs.items() if job in jobs]
        self.held_end_number = min([*held, *self.unnoted_ends], default=None)

    def note_stored_ends(self, number: int) -> None:
        """Record that the ends up to a number are stored."""
        self.stored_end_number = max(self.stored_end_number, number)
        for stored in [one for one in self.unstored_end_jobs if one <= number]:
            del self.unstored_end_jobs[stored]

    @property
    def has_unstored_ends(self) -> bool:
        """Whether it has reported ends that are to be stored and are not yet."""
        return self.storable_end_number > self.stored_end_number

    def estimated_clock_ms(self, now: float) -> int:
        """Return an estimate of the endpoint's clock, in milliseconds."""
        return self.clock_ms + int((now - self.clock_read_at) * 1000)

    def note_answer(self) -> None:
        """Record that it has answered a call."""
        self.silent_since = None
        self.vm_down = False

    def note_clock(self, clock_ms: int, now: float) -> None:
        """Record a reading of its clock in a report.

        Answers to starts and stops do not tell which incarnation sent them, and may
        arrive after the first report of the next one.
        """
        if clock_ms > self.clock_ms:
            self.clock_ms = clock_ms
            self.clock_read_at = now

    def record_lease(self, until_ms: int) -> None:
        """Record that a lease until ``until_ms`` was sent."""
        self.latest_lease_ms = max(self.latest_lease_ms, until_ms)

    def leases_expired(self, now: float) -> bool:
        """Return whether every lease sent to this endpoint is certain to have expired.

        The clock of the endpoint is assumed to run at ``MIN_CLOCK_RATE`` or faster.
        """
        if now < self.former_leases_until:
            return False
        if not self.clock_ms:
            return True
        least = self.clock_ms + (now - self.clock_read_at) * 1000 * MIN_CLOCK_RATE
        return least > self.latest_lease_ms + EXPIRY_MARGIN_MS

    def unseen_leases_until(self, max_lease_s: float) -> float:
        """Return until when leases in an incarnation that has not reported may last.

        The calls name the end by the clock of the known incarnation, which may be far
        ahead of that of the next one, so that this one grants the longest lease.

        :param max_lease_s: duration of the longest lease, by the local clock.
        """
        return self.lease_call_at + LATE_CALL_SECONDS + max_lease_s

    def note_failure(self, job: JobId, now: float) -> None:
        """Record a failure of a job; eject the endpoint at ``EJECTION_JOBS`` jobs."""
        self.failed_jobs.add(job)
        if len(self.failed_jobs) >= EJECTION_JOBS:
            self.ejected_until = now + EJECTION_SECONDS

    def note_success(self) -> None:
        """Clear the failed jobs, as a run ended ``done``."""
        self.failed_jobs.clear()
