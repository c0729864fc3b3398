"""Errors of the clients of the platform's services."""

from enum import Enum

import msgspec

__all__ = [
    "LogError",
    "LogFailure",
    "StartRefusal",
    "StartNotRun",
    "StartOutcomeUnknown",
    "Trimmed",
    "VmListFailure",
    "WorkerFailure",
]


class LogError(Enum):
    """Kind of failure of a call to the log service.

    ``UNAVAILABLE``: the call had no effect. ``UNKNOWN``: the response to an append
    was lost or is invalid, so the append may have taken effect. ``BAD_ANSWER``: the
    response to a read cannot be decoded.
    """

    UNAVAILABLE = "unavailable"
    UNKNOWN = "unknown"
    BAD_ANSWER = "bad_answer"


class LogFailure(msgspec.Struct, frozen=True):
    """A failed call to the log service."""

    error: LogError
    detail: str = ""


class Trimmed(msgspec.Struct, frozen=True):
    """The requested records have been trimmed from the log.

    :param first: oldest offset that can still be read.
    """

    first: int


class VmListFailure(msgspec.Struct, frozen=True):
    """A failed call to the VM list, to read it or to request a reboot."""

    detail: str


class StartRefusal(Enum):
    """Reason for which a worker refused to start a task.

    ``BUSY``: no free slot. ``LATE``: ``start_by`` has passed. ``SUPERSEDED``: a later
    attempt is known, or the task was stopped. ``OTHER_BOOT``: the worker restarted.
    ``LEAVING``: the worker is about to leave.
    """

    BUSY = "busy"
    LATE = "late"
    SUPERSEDED = "superseded"
    OTHER_BOOT = "other_boot"
    LEAVING = "leaving"


class StartNotRun(msgspec.Struct, frozen=True):
    """A start that had no effect.

    :param refusal: the worker's reason; ``None`` if the worker was not reached.
    """

    refusal: StartRefusal | None
    detail: str = ""


class StartOutcomeUnknown(msgspec.Struct, frozen=True):
    """A start that may have had an effect, but yielded no complete answer."""

    detail: str = ""


class WorkerFailure(msgspec.Struct, frozen=True):
    """A failed call to a worker, other than a start."""

    detail: str
