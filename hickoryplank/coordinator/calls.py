"""Callers' calls and their answers, as entries pass them to the coordinator."""

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
    "Cancel",
    "Cancelled",
    "Count",
    "Faulty",
    "NoKey",
    "NoSuchJob",
    "NoSuchQueue",
    "NotRun",
    "PendingIs",
    "StateIs",
    "Submission",
    "Submit",
    "Unsettled",
    "CallContext",
    "NotRunReason",
    "decode_answer",
    "decode_call",
    "encode",
]


class CallContext(msgspec.Struct, frozen=True):
    """Where a call came in.

    :param key: the key that it carries; empty for none.
    :param version: configuration that the entry has.
    """

    host: str
    path: str
    key: str
    version: int
    request: str = ""


class Submission(msgspec.Struct, frozen=True):
    """A job as a caller hands it in."""

    payload: str
    steps: tuple[Step, ...]
    repeats: int = 0
    first_ms: int = 0
    period_ms: int = 0


class Submit(msgspec.Struct, frozen=True, tag=True):
    """A job is handed in."""

    where: CallContext
    id: JobId
    submission: Submission


class Cancel(msgspec.Struct, frozen=True, tag=True):
    """A job is cancelled."""

    where: CallContext
    id: JobId


class Ask(msgspec.Struct, frozen=True, tag=True):
    """A job's state is asked for."""

    where: CallContext
    id: JobId


class Count(msgspec.Struct, frozen=True, tag=True):
    """The number of jobs that wait in a queue is asked for."""

    where: CallContext


Call = Submit | Cancel | Ask | Count


class NotRunReason(Enum):
    """Why a call has not been carried out."""

    NO_COORDINATOR = "no_coordinator"
    NO_CONFIGURATION = "no_configuration"
    STORE_AWAY = "store_away"
    OVERLOADED = "overloaded"
    STOPPING = "stopping"


class Accepted(msgspec.Struct, frozen=True, tag=True):
    """The job is stored."""


class Cancelled(msgspec.Struct, frozen=True, tag=True):
    """The job's end is stored."""


class StateIs(msgspec.Struct, frozen=True, tag=True):
    """A job's state."""

    state: JobState


class PendingIs(msgspec.Struct, frozen=True, tag=True):
    """Jobs of a queue that wait."""

    pending: int


class NoSuchJob(msgspec.Struct, frozen=True, tag=True):
    """No job has that id."""


class NoSuchQueue(msgspec.Struct, frozen=True, tag=True):
    """No queue has that host and prefix."""


class NoKey(msgspec.Struct, frozen=True, tag=True):
    """The call carries no valid key."""


class Faulty(msgspec.Struct, frozen=True, tag=True):
    """The call can't be read."""

    detail: str


class NotRun(msgspec.Struct, frozen=True, tag=True):
    """Nothing was done, and nothing will be.

    :param again_s: when to come back, in seconds.
    """

    why: NotRunReason
    again_s: int = 1


class Unsettled(msgspec.Struct, frozen=True, tag=True):
    """Whether it was done isn't known."""

    detail: str = ""


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

_encoder = msgspec.msgpack.Encoder()
_calls = msgspec.msgpack.Decoder(Call)
_answers = msgspec.msgpack.Decoder(Answer)


def encode(message: Call | Answer) -> bytes:
    """Return the form in which entries send a message to each other."""
    return _encoder.encode(message)


def decode_call(data: bytes) -> Call:
    """Read a call.

    :raises msgspec.MsgspecError: it can't be read.
    """
    return _calls.decode(data)


def decode_answer(data: bytes) -> Answer:
    """Read an answer.

    :raises msgspec.MsgspecError: it can't be read.
    """
    return _answers.decode(data)
