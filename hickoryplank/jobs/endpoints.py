"""Table of endpoints: their lives, leases, rooms and what runs there."""

from enum import Enum

import msgspec

from hickoryplank.core.ids import EndpointId, JobId, PoolId, Zone
from hickoryplank.jobs.model import Step, TaskKey
from hickoryplank.jobs.sizes import ZERO, Size

__all__ = ["Endpoint", "Listing", "Run", "RunState", "SLOW_CLOCK"]

#: Part of true time that an endpoint's clock counts at least; the platform states
#: that it may be 2 % slow, the rest is margin.
SLOW_CLOCK = 0.97
#: Added to a lease before it counts as lapsed, in milliseconds: granularity of
#: clocks and of timers.
LAPSE_MARGIN_MS = 60
#: Jobs that fail in a row on an endpoint, with no success between, until nothing
#: more is placed there. One job may be unable to run anywhere; two are evidence.
DISTRUST_JOBS = 3
#: How long an endpoint that fails what it runs gets nothing, in seconds.
DISTRUST_SECONDS = 3.0


class RunState(Enum):
    """How far a run has come."""

    #: Decided, and on its way into the store.
    ASSIGNED = "assigned"
    #: Its start was sent, and no answer has settled whether it runs.
    SENT = "sent"
    #: The endpoint has said that it has it.
    STARTED = "started"
    #: A stop was decided.
    STOPPING = "stopping"


class Run:
    """One run of a task on one endpoint.

    :param confirmed_at: when the endpoint was first heard to have it, or to have
        had it; a list that was asked for later must show it or its end.
    :param listed: a list of its endpoint's life has shown it.
    :param planned: a former coordinator recorded it ahead; it may never have been sent.
    """

    __slots__ = (
        "attempt",
        "confirmed_at",
        "counted",
        "endpoint",
        "key",
        "listed",
        "load",
        "paced",
        "percent",
        "planned",
        "checkpoint",
        "size",
        "state",
        "step",
        "team",
        "ticket",
        "until_ms",
    )

    def __init__(self, key: TaskKey, attempt: int, step: Step, team, endpoint):
        self.key = key
        self.attempt = attempt
        self.step = step
        self.team = team
        self.endpoint: Endpoint = endpoint
        self.size = step.size
        self.counted = step.counted_size
        self.state = RunState.ASSIGNED
        self.checkpoint = ""
        self.ticket = ""
        self.percent = 0
        self.paced = 100
        self.load = 0
        self.until_ms = 0
        self.confirmed_at: float | None = None
        self.listed = False
        self.planned = False

    @property
    def in_doubt(self) -> bool:
        """Whether its start may have reached a later life of its endpoint."""
        return self.state is not RunState.ASSIGNED and not self.listed

    @property
    def name(self) -> tuple[TaskKey, int]:
        """The key of the run in its endpoint's table."""
        return (self.key, self.attempt)


class Listing(msgspec.Struct, frozen=True):
    """What an endpoint says of itself in the platform's list.

    :param born_ms: start of this life, in Unix milliseconds.
    :param drain_remaining_ms: least time until a draining endpoint goes.
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
    """One life of an endpoint."""

    def __init__(self, listing: Listing, now: float):
        self.listing = listing
        self.id = listing.id
        self.listed = True
        self.listed_at = now
        self.runs: dict[tuple[TaskKey, int], Run] = {}
        self.used = ZERO
        #: No answer to the last call; nothing is placed here and no lease extended.
        self.silent_since: float | None = None
        #: Whether it has confirmed this coordinator's fencing token.
        self.token_confirmed = False
        self.clock_ms = 0
        self.clock_at = now
        #: Longest lease that it was ever sent, by its own clock.
        self.lease_ms = 0
        #: Until when a former coordinator may have renewed, by our clock.
        self.inherited_until = 0.0
        #: Whether starts that were meant for the life before may run here.
        self.has_strays = False
        self.last_end = 0
        self.stored_end = 0
        #: The last end that a look has acknowledged, and one that was answered has.
        self.sent_end = 0
        self.acknowledged_end = 0
        self.failed_jobs: set[JobId] = set()
        self.distrusted_until = 0.0
        #: When the pace of what fills was last changed.
        self.paced_at = 0.0
        #: Its VM is to leave; nothing new is placed here.
        self.cordoned = False
        #: Its VM is to be maintained later; what lasts had better not start here.
        self.maintenance_due = False

    @property
    def draining(self) -> bool:
        """Whether it says that it leaves, or its listing is gone."""
        return self.listing.draining or not self.listed

    @property
    def rack(self) -> str:
        """The rack, as its last label names it."""
        return self.listing.labels[-1] if self.listing.labels else ""

    @property
    def room(self) -> Size:
        """What is free by our own count."""
        return self.listing.capacity.minus(self.used)

    def usable(self, now: float) -> bool:
        """Return whether new runs may be placed here."""
        return (
            self.token_confirmed
            and self.silent_since is None
            and not self.draining
            and not self.cordoned
            and now >= self.distrusted_until
        )

    def add(self, run: Run) -> None:
        """Take room for a run."""
        self.runs[run.name] = run
        self.used = self.used.plus(run.counted)

    def remove(self, run: Run) -> None:
        """Free the room of a run that has ended for certain."""
        if self.runs.pop(run.name, None) is not None:
            self.used = self.used.minus(run.counted)

    def clock(self, now: float) -> int:
        """Return its clock as last told, plus the time since then, in ms."""
        return self.clock_ms + int((now - self.clock_at) * 1000)

    def note_answer(self, clock_ms: int, now: float) -> None:
        """Note an answer that arrived now."""
        self.silent_since = None
        if clock_ms > self.clock_ms:
            self.clock_ms = clock_ms
            self.clock_at = now

    def grant(self, until_ms: int) -> None:
        """Note that a lease was sent."""
        self.lease_ms = max(self.lease_ms, until_ms)

    def lapsed(self, now: float) -> bool:
        """Return whether nothing that was ever leased here can still run."""
        if now < self.inherited_until:
            return False
        if not self.clock_ms:
            return True
        least = self.clock_ms + (now - self.clock_at) * 1000 * SLOW_CLOCK
        return least > self.lease_ms + LAPSE_MARGIN_MS

    def note_failure(self, job: JobId, now: float) -> None:
        """Count a run that ended ``failed``."""
        self.failed_jobs.add(job)
        if len(self.failed_jobs) >= DISTRUST_JOBS:
            self.distrusted_until = now + DISTRUST_SECONDS

    def note_success(self) -> None:
        """Count a run that ended ``done``."""
        self.failed_jobs.clear()
