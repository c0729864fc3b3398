"""Requests and events that the engine emits, and the reports that it receives."""

from enum import Enum

import msgspec

from hickoryplank.core.ids import EndpointId, JobId
from hickoryplank.jobs.endpoints import Run
from hickoryplank.jobs.model import TaskKey
from hickoryplank.jobs.records import Record

__all__ = [
    "AdviceAnswer",
    "Batch",
    "End",
    "EndKind",
    "EndpointState",
    "EngineEventKind",
    "MissingEnds",
    "PollRequest",
    "PollReport",
    "EngineEvent",
    "PaceChange",
    "Permit",
    "RunningTask",
    "StartOutcome",
    "StoredEnd",
]


class EndKind(Enum):
    """How a run ended."""

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LEASE_EXPIRED = "lapsed"
    #: Another member of the gang ended.
    GANG_BROKEN = "broken"
    #: The other members of the gang did not start.
    GANG_INCOMPLETE = "alone"


class RunningTask(msgspec.Struct, frozen=True):
    """A run as reported by its endpoint.

    :param checkpoint: newest checkpoint; empty if there is none.
    :param percent: progress in percent; 100 for a lasting task in full operation.
    :param load: over the last half second, the tail of the response times of a
        serving task, in milliseconds, or the CPU use of any other task.
    """

    key: TaskKey
    attempt: int
    checkpoint: str
    percent: int
    load: int


class End(msgspec.Struct, frozen=True):
    """The end of a run.

    :param number: sequence number of the end in this incarnation of the endpoint.
    :param checkpoint: newest checkpoint; empty if there is none.
    """

    number: int
    key: TaskKey
    attempt: int
    kind: EndKind
    checkpoint: str


class PollReport(msgspec.Struct, frozen=True):
    """The runs of an endpoint, and the ends that are not acknowledged yet.

    :param born_ms: start of the endpoint's incarnation, in Unix milliseconds.
    :param clock_ms: the endpoint's clock, in milliseconds.
    :param may_have_more_ends: the endpoint may have ends after these, which it reports
        once these are acknowledged.
    """

    born_ms: int
    clock_ms: int
    running: tuple[RunningTask, ...]
    ends: tuple[End, ...]
    may_have_more_ends: bool = False


class PollRequest(msgspec.Struct, frozen=True):
    """A poll of an endpoint, which may extend its leases.

    :param acknowledged: number of the last end that is stored; 0 for no new one.
    :param until_ms: new end of the leases by the endpoint's clock; none to leave
        them unchanged.
    :param wait_ms: time that the endpoint may wait for an end before it answers.
    """

    endpoint: EndpointId
    address: str
    acknowledged: int
    until_ms: int | None
    wait_ms: int


class StartOutcome(Enum):
    """Outcome of a start."""

    #: The endpoint has the run.
    STARTED = "started"
    #: This run or a later run of the task has ended on the endpoint.
    ALREADY_ENDED = "old"
    #: The lease in the start had expired.
    LEASE_EXPIRED = "late"
    #: The endpoint lacks room by its own accounting.
    NO_ROOM = "no_room"
    #: The ticket in the start is not valid.
    NO_TICKET = "no_ticket"
    #: The endpoint has seen a higher fencing token.
    FENCED = "fenced"
    #: The endpoint is unhealthy and has done nothing.
    UNHEALTHY = "unwell"
    #: Another incarnation answers at the address.
    OTHER_INCARNATION = "other_life"
    #: The endpoint will never accept this start.
    REFUSED = "refused"
    #: The start did not reach the endpoint.
    NOT_SENT = "not_sent"
    #: The start may have been carried out, or may be carried out later.
    UNKNOWN = "unknown"


class StoredEnd(msgspec.Struct, frozen=True):
    """The last end of an endpoint whose effect a batch stores.

    :param born_ms: start of the endpoint's incarnation, in Unix milliseconds.
    """

    endpoint: EndpointId
    born_ms: int
    number: int


class Permit(msgspec.Struct, frozen=True):
    """An endpoint that may run a step, and the ticket that proves it."""

    endpoint: EndpointId
    ticket: str


class AdviceAnswer(msgspec.Struct, frozen=True):
    """Answer of the advice service for one step.

    :param valid_ms: validity of the tickets, in milliseconds from the request.
    """

    allowed: tuple[Permit, ...]
    valid_ms: int


class PaceChange(msgspec.Struct, frozen=True):
    """A change of the pace of a run.

    :param percent: new pace, in percent of full speed.
    """

    run: Run
    percent: int


class EngineEventKind(Enum):
    """Kind of an engine event."""

    #: A task was assigned to an endpoint. Among first attempts, only that of the
    #: first task of a step is reported.
    ASSIGNED = "assigned"
    #: A run ended without being done.
    ENDED = "ended"
    #: The end was read of a run that had been given up, while its task wasn't done.
    LATE_END = "late end"
    #: A run was given up, as its end will not be reported.
    LOST = "lost"
    #: A run on a silent endpoint was kept, as it may go on although its lease has
    #: lapsed by the clock of the known incarnation.
    HELD = "held"
    #: A run is to be stopped.
    STOPPED = "stopped"
    #: A job ended.
    JOB_ENDED = "job ended"
    #: A job that was set aside is served again.
    RESUMED = "job resumed"


class EndpointState(msgspec.Struct, frozen=True):
    """What was known of an incarnation of an endpoint when a run was given up.

    :param born_ms: start of the incarnation, in Unix milliseconds.
    :param reported_at: time of its last report, by the local clock, in seconds;
        negative infinity before the first.
    :param silent_since: time of the first call since then without an answer; none if
        there is none.
    :param read_end: number of the last end that was read.
    :param stored_end: number of the last end whose effect is stored, up to which polls
        acknowledge.
    """

    born_ms: int
    reported_at: float
    silent_since: float | None
    read_end: int
    stored_end: int


class EngineEvent(msgspec.Struct, frozen=True):
    """An event for logs and metrics.

    :param reason: reason of the decision, or outcome.
    :param endpoint_state: evidence for a decision to give a run up.
    """

    kind: EngineEventKind
    job: JobId
    key: TaskKey | None
    attempt: int
    endpoint: EndpointId | None
    reason: str
    endpoint_state: EndpointState | None = None


class MissingEnds(msgspec.Struct, frozen=True):
    """Ends that an endpoint has dropped before they were read.

    Only an acknowledgement that was meant for a former incarnation can cause that.

    :param born_ms: start of the endpoint's incarnation, in Unix milliseconds.
    :param first: number of the first of these ends.
    :param last: number of the last of these ends.
    """

    endpoint: EndpointId
    born_ms: int
    first: int
    last: int


class Batch(msgspec.Struct):
    """Records of one append, and what may follow once they are stored.

    :param starts: runs that may be started.
    :param ends: ends that may be acknowledged.
    """

    records: list[Record]
    starts: list[Run]
    ends: list[StoredEnd]
