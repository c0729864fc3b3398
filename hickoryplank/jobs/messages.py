"""What the engine orders, and what it is told."""

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
    "EngineEventKind",
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
    LAPSED = "lapsed"
    #: Another member of its gang ended.
    BROKEN = "broken"
    #: The other members of its gang didn't come.
    ALONE = "alone"


class RunningTask(msgspec.Struct, frozen=True):
    """A run that an endpoint has.

    :param percent: of its work that is done; for a lasting task 100 at work.
    :param load: over the last half second: the tail of response times in ms of a
        task that serves, the processor in use of any other.
    """

    key: TaskKey
    attempt: int
    checkpoint: str
    percent: int
    load: int


class End(msgspec.Struct, frozen=True):
    """An end of a run, with its number in this life of the endpoint."""

    number: int
    key: TaskKey
    attempt: int
    kind: EndKind
    checkpoint: str


class PollReport(msgspec.Struct, frozen=True):
    """All that runs on an endpoint, and the ends that weren't acknowledged."""

    born_ms: int
    clock_ms: int
    running: tuple[RunningTask, ...]
    ends: tuple[End, ...]


class PollRequest(msgspec.Struct, frozen=True):
    """A look at an endpoint that renews its lease.

    :param acknowledged: number of the last end that is stored.
    :param until_ms: new end of the lease by the endpoint's clock; none: as it is.
    """

    endpoint: EndpointId
    address: str
    acknowledged: int
    until_ms: int | None
    wait_ms: int


class StartOutcome(Enum):
    """What a start or its answer says."""

    #: It has the run.
    STARTED = "started"
    #: The endpoint has seen this run, or a later one, end.
    ALREADY_ENDED = "old"
    #: The lease in the start had passed.
    LEASE_EXPIRED = "late"
    #: No room by the endpoint's own count.
    NO_ROOM = "no_room"
    #: The advice that came with it isn't valid.
    NO_TICKET = "no_ticket"
    #: A higher fencing token has been seen.
    FENCED = "fenced"
    #: The endpoint has done nothing, as it isn't well.
    UNHEALTHY = "unwell"
    #: Another life answers at the address.
    OTHER_INCARNATION = "other_life"
    #: It will never take this start.
    REFUSED = "refused"
    #: Nothing reached it.
    NOT_SENT = "not_sent"
    #: It may have been carried out, or may be yet.
    UNKNOWN = "unknown"


class StoredEnd(msgspec.Struct, frozen=True):
    """The last end of an endpoint that a batch stores."""

    endpoint: EndpointId
    born_ms: int
    number: int


class Permit(msgspec.Struct, frozen=True):
    """An endpoint that may run a step, and the ticket that says so."""

    endpoint: EndpointId
    ticket: str


class AdviceAnswer(msgspec.Struct, frozen=True):
    """The policy's answer on one step.

    :param valid_ms: how long the tickets are valid.
    """

    allowed: tuple[Permit, ...]
    valid_ms: int


class PaceChange(msgspec.Struct, frozen=True):
    """An order that lets a run work at a share of its speed."""

    run: Run
    percent: int


class EngineEventKind(Enum):
    """What the engine decided, or took note of, for its logs."""

    #: Tasks of a step were given endpoints.
    ASSIGNED = "assigned"
    #: A run ended otherwise than done.
    ENDED = "ended"
    #: A run was given up without an end.
    LOST = "lost"
    #: A run is to stop.
    STOPPED = "stopped"
    #: A job came to an end.
    JOB_ENDED = "job ended"


class EngineEvent(msgspec.Struct, frozen=True):
    """One line for the logs.

    :param reason: what decided it.
    """

    kind: EngineEventKind
    job: JobId
    key: TaskKey | None
    attempt: int
    endpoint: EndpointId | None
    reason: str


class Batch(msgspec.Struct):
    """What one append stores, and what may follow once it is stored."""

    records: list[Record]
    starts: list[Run]
    ends: list[StoredEnd]
