"""Messages in which entries forward callers' calls to the coordinator."""

from enum import Enum

import msgspec

from hickoryplank.core.ids import JobId
from hickoryplank.jobs.model import Step
from hickoryplank.jobs.table import JobState

__all__ = [
    "Accepted",
    "Answer",
    "Ask",
    "Call",
    "CallContext",
    "Cancel",
    "Cancelled",
    "Count",
    "Faulty",
    "NoKey",
    "NoSuchJob",
    "NoSuchQueue",
    "NotRun",
    "NotRunReason",
    "PendingIs",
    "StateIs",
    "Submission",
    "Submit",
    "Unsettled",
    "decode_answer",
    "decode_call",
    "encode",
    "is_refusal",
]


class CallContext(msgspec.Struct, frozen=True):
    """Where and with which credentials a call was received.

    :param host: host name from the request, without the port.
    :param path: path of the request.
    :param key: API key from the request; empty if it has none.
    :param version: version of the configuration that the receiving entry has.
    :param request: id of the request for the logs; empty if it names no job.
    """

    host: str
    path: str
    key: str
    version: int
    request: str = ""


class Submission(msgspec.Struct, frozen=True):
    """A job as submitted by a caller.

    :param payload: passed to the endpoints unchanged.
    :param repeats: number of timed occurrences; 0 for a job that runs once, now.
    :param first_ms: due time of the first occurrence, in Unix milliseconds.
    :param period_ms: time from one occurrence to the next, in milliseconds.
    """

    payload: str
    steps: tuple[Step, ...]
    repeats: int = 0
    first_ms: int = 0
    period_ms: int = 0


class Submit(msgspec.Struct, frozen=True, tag=True):
    """Request to submit a job."""

    where: CallContext
    id: JobId
    submission: Submission


class Cancel(msgspec.Struct, frozen=True, tag=True):
    """Request to cancel a job."""

    where: CallContext
    id: JobId


class Ask(msgspec.Struct, frozen=True, tag=True):
    """Request for the state of a job."""

    where: CallContext
    id: JobId


class Count(msgspec.Struct, frozen=True, tag=True):
    """Request for the number of jobs that wait in a queue."""

    where: CallContext


Call = Submit | Cancel | Ask | Count


class NotRunReason(Enum):
    """Why a call was rejected without effect."""

    NO_COORDINATOR = "no_coordinator"
    NO_CONFIGURATION = "no_configuration"
    STORE_AWAY = "store_away"
    NO_ROOM = "no_room"
    OVERLOADED = "overloaded"
    STOPPING = "stopping"


class Accepted(msgspec.Struct, frozen=True, tag=True):
    """The job has been stored."""


class Cancelled(msgspec.Struct, frozen=True, tag=True):
    """The cancellation of the job has been stored."""


class StateIs(msgspec.Struct, frozen=True, tag=True):
    """The state of a job."""

    state: JobState


class PendingIs(msgspec.Struct, frozen=True, tag=True):
    """The number of jobs that wait in a queue."""

    pending: int


class NoSuchJob(msgspec.Struct, frozen=True, tag=True):
    """The queue has no job with the given id."""


class NoSuchQueue(msgspec.Struct, frozen=True, tag=True):
    """No queue is configured for the host and path."""


class NoKey(msgspec.Struct, frozen=True, tag=True):
    """The call carries no valid API key."""


class Faulty(msgspec.Struct, frozen=True, tag=True):
    """The call is malformed.

    :param detail: what is wrong with it.
    """

    detail: str


class NotRun(msgspec.Struct, frozen=True, tag=True):
    """The call had no effect and will have none.

    :param why: why it was rejected.
    :param again_s: after how long the caller should retry, in seconds.
    """

    why: NotRunReason
    again_s: int = 1


class Unsettled(msgspec.Struct, frozen=True, tag=True, omit_defaults=True):
    """It is unknown whether the call, or an earlier one with its id, has taken effect.

    :param detail: why no result is known.
    :param again_s: after how long the caller should retry, in seconds; 0 for at once.
    """

    detail: str = ""
    again_s: int = 0


Answer = (
    Accepted
    | Cancelled
    | StateIs
    | PendingIs
    | NoSuchJob
    | NoSuchQueue
    | NoKey
    | Faulty
    | NotRun
    | Unsettled
)


def is_refusal(answer: Answer) -> bool:
    """Return whether an answer says that the call had no effect and will have none."""
    return isinstance(answer, NotRun | NoKey | NoSuchQueue)


_encoder = msgspec.msgpack.Encoder()
_call_decoder = msgspec.msgpack.Decoder(Call)
_answer_decoder = msgspec.msgpack.Decoder(Answer)


def encode(message: Call | Answer) -> bytes:
    """Encode a call or an answer for transfer between entries."""
    return _encoder.encode(message)


def decode_call(data: bytes) -> Call:
    """Decode a call.

    :raises msgspec.MsgspecError: if the call is malformed.
    """
    return _call_decoder.decode(data)


def decode_answer(data: bytes) -> Answer:
    """Decode an answer.

    :raises msgspec.MsgspecError: if the answer is malformed.
    """
    return _answer_decoder.decode(data)
