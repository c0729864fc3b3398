"""Messages between the system's own processes."""

import msgspec

from hickoryplank.core.demand import PoolDemand
from hickoryplank.core.freshness import PeerView
from hickoryplank.core.ids import Incarnation, RequestId, TeamId
from hickoryplank.core.work import WorkAnswer, WorkRequest

__all__ = [
    "Accepted",
    "Answered",
    "Cancel",
    "DemandReport",
    "Envelope",
    "Forward",
    "Heartbeat",
    "Inquiry",
    "InquiryAnswer",
    "LogEntry",
    "Message",
    "RunningCounts",
    "UnitsRequest",
]


class Heartbeat(msgspec.Struct, frozen=True, tag="hb", array_like=True):
    """A sign of life.

    :param confirmed: the log offset before which no edit concerns a start that
        the sender has under way.
    :param leaving: whether the sender is shutting down.
    """

    confirmed: int
    leaving: bool


class RunningCounts(msgspec.Struct, frozen=True, tag="run", array_like=True):
    """How much the sender runs for each team.

    :param whole: whether teams that are not named run nothing; else they run
        what they did.
    """

    counts: dict[TeamId, int]
    whole: bool


class DemandReport(msgspec.Struct, frozen=True, tag="dem", array_like=True):
    """The demand that the sender sees as owner of pools."""

    rows: tuple[PoolDemand, ...]


class Inquiry(msgspec.Struct, frozen=True, tag="inq", array_like=True):
    """A node that cannot read the log asks a peer for what it knows.

    :param offset: the offset that the sender folds next.
    """

    id: int
    offset: int


class LogEntry(msgspec.Struct, frozen=True, array_like=True):
    """One entry of the control stream, passed on by a peer."""

    offset: int
    data: bytes


class InquiryAnswer(msgspec.Struct, frozen=True, tag="ans", array_like=True):
    """What a peer knows of the log, with entries from the asker's offset on."""

    id: int
    view: PeerView
    entries: tuple[LogEntry, ...] = ()


class Forward(msgspec.Struct, frozen=True, tag="fwd", array_like=True):
    """A request for the owner of its queue's pool."""

    request: WorkRequest


class Accepted(msgspec.Struct, frozen=True, tag="acc", array_like=True):
    """The receiver of a forwarded request has queued it."""

    request: RequestId


class Answered(msgspec.Struct, frozen=True, tag="done", array_like=True):
    """The answer to a forwarded request."""

    request: RequestId
    answer: WorkAnswer


class Cancel(msgspec.Struct, frozen=True, tag="cancel", array_like=True):
    """The caller has gone or withdrawn its request."""

    request: RequestId


class UnitsRequest(msgspec.Struct, frozen=True, tag="want", array_like=True):
    """The sender lacks units of a team.

    :param demand: units for the work that it runs and that waits there.
    :param waited: seconds since it first lacked units, or last got one.
    """

    team: TeamId
    demand: int
    waited: float


Message = (
    Heartbeat
    | RunningCounts
    | DemandReport
    | Inquiry
    | InquiryAnswer
    | Forward
    | Accepted
    | Answered
    | Cancel
    | UnitsRequest
)


class Envelope(msgspec.Struct, frozen=True, array_like=True):
    """What goes over the wire, under a keyed digest.

    :param sender: incarnation that sends.
    :param receiver: incarnation that it is meant for.
    :param sequence: grows with each message from sender to receiver.
    """

    sender: Incarnation
    receiver: Incarnation
    sequence: int
    message: Message
