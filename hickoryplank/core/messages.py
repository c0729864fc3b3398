"""Messages between nodes."""

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
    """Periodic heartbeat.

    :param confirmed: the log offset before which no edit affects a start that the
        sender has in flight.
    :param leaving: whether the sender is shutting down.
    """

    confirmed: int
    leaving: bool


class RunningCounts(msgspec.Struct, frozen=True, tag="run", array_like=True):
    """The number of runs that the sender has of each team.

    :param whole: whether ``counts`` is complete, so that teams not named have no
        runs; otherwise the counts of teams not named are unchanged.
    """

    counts: dict[TeamId, int]
    whole: bool


class DemandReport(msgspec.Struct, frozen=True, tag="dem", array_like=True):
    """The demand on the pools that the sender owns."""

    rows: tuple[PoolDemand, ...]


class Inquiry(msgspec.Struct, frozen=True, tag="inq", array_like=True):
    """Inquiry of a node that cannot read the log for the view of a peer.

    :param offset: the offset that the sender folds next.
    """

    id: int
    offset: int


class LogEntry(msgspec.Struct, frozen=True, array_like=True):
    """An entry of the control stream of the log, forwarded by a peer."""

    offset: int
    data: bytes


class InquiryAnswer(msgspec.Struct, frozen=True, tag="ans", array_like=True):
    """View of a peer, with log entries from the offset of the inquiry on."""

    id: int
    view: PeerView
    entries: tuple[LogEntry, ...] = ()


class Forward(msgspec.Struct, frozen=True, tag="fwd", array_like=True):
    """A work request, forwarded to the owner of its queue's pool."""

    request: WorkRequest


class Accepted(msgspec.Struct, frozen=True, tag="acc", array_like=True):
    """The receiver of a forwarded request has queued it."""

    request: RequestId


class Answered(msgspec.Struct, frozen=True, tag="done", array_like=True):
    """The answer to a forwarded request."""

    request: RequestId
    answer: WorkAnswer


class Cancel(msgspec.Struct, frozen=True, tag="cancel", array_like=True):
    """The caller has disconnected or cancelled its request."""

    request: RequestId


class UnitsRequest(msgspec.Struct, frozen=True, tag="want", array_like=True):
    """The sender lacks units of a team and requests them from the receiver.

    :param demand: units for all work that the sender runs and has waiting.
    :param waited: seconds since the sender first lacked units or last received
        one.
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
    """A message with its addresses, which is sent under a keyed digest.

    :param sender: the incarnation that sends the message.
    :param receiver: the incarnation to which the message is addressed.
    :param sequence: increases with each message from sender to receiver.
    """

    sender: Incarnation
    receiver: Incarnation
    sequence: int
    message: Message
