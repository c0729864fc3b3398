"""Errors of the platform's clients."""

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
    """What went wrong in a call to the log service.

    ``UNKNOWN`` is an append whose answer was lost: it may have taken effect.
    """

    UNAVAILABLE = "unavailable"
    UNKNOWN = "unknown"
    BAD_ANSWER = "bad_answer"


class LogFailure(msgspec.Struct, frozen=True):
    """A call to the log service failed."""

    error: LogError
    detail: str = ""


class Trimmed(msgspec.Struct, frozen=True):
    """The records asked for are older than the log keeps.

    :param first: the oldest offset that can still be read.
    """

    first: int


class VmListFailure(msgspec.Struct, frozen=True):
    """The VM list could not be read, or a reboot could not be asked for."""

    detail: str


class StartRefusal(Enum):
    """Why a worker refused a start; the task did not run."""

    BUSY = "busy"
    LATE = "late"
    SUPERSEDED = "superseded"
    OTHER_BOOT = "other_boot"
    LEAVING = "leaving"


class StartNotRun(msgspec.Struct, frozen=True):
    """The task did not run.

    :param refusal: the worker's reason; ``None`` if nothing reached the worker.
    """

    refusal: StartRefusal | None
    detail: str = ""


class StartOutcomeUnknown(msgspec.Struct, frozen=True):
    """The start may have reached the worker, and no whole answer came back."""

    detail: str = ""


class WorkerFailure(msgspec.Struct, frozen=True):
    """A call other than a start failed."""

    detail: str
