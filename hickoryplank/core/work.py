"""Requests of callers and the answers to them."""

from enum import Enum

import msgspec

from hickoryplank.core.ids import ClaimId, QueueId, RequestId, TaskId, TeamId

__all__ = [
    "Completed",
    "Failed",
    "NotRun",
    "NotRunReason",
    "Queued",
    "Unknown",
    "WorkAnswer",
    "WorkRequest",
]


class NotRunReason(Enum):
    """Why a request was not run."""

    DEADLINE = "deadline"
    OVERLOAD = "overload"
    LOG_DOWN = "log_down"
    STALE_NODE = "stale_node"
    STOPPING = "stopping"
    CANCELLED = "cancelled"
    NO_ENDPOINT = "no_endpoint"
    NO_UNITS = "no_units"
    UNKNOWN_QUEUE = "unknown_queue"
    KEY_REUSED = "key_reused"
    REFUSED = "refused"


class WorkRequest(msgspec.Struct, frozen=True, kw_only=True):
    """One request, as the caller's entry node hands it to the queue's owner.

    :param patience: seconds left until the caller's deadline.
    :param claim: the claim under which the work runs at most once.
    :param durable: whether to accept the request for good and answer at once.
    """

    id: RequestId
    task: TaskId
    queue: QueueId
    team: TeamId
    patience: float
    content_type: str = ""
    body: bytes = b""
    claim: ClaimId | None = None
    durable: bool = False
    traceparent: str = ""


class Completed(msgspec.Struct, frozen=True, tag="completed", kw_only=True):
    """The endpoint's answer, byte for byte."""

    status: int
    content_type: str
    body: bytes


class NotRun(msgspec.Struct, frozen=True, tag="not_run", kw_only=True):
    """The request was not run and will not be.

    :param retry_after: seconds after which a new try makes sense.
    """

    reason: NotRunReason
    detail: str = ""
    retry_after: float = 1.0


class Failed(msgspec.Struct, frozen=True, tag="failed", kw_only=True):
    """Idempotent work was tried and gave no answer within its deadline."""

    detail: str


class Unknown(msgspec.Struct, frozen=True, tag="unknown", kw_only=True):
    """Non-idempotent work may have run; nothing proves that it did not."""

    detail: str


class Queued(msgspec.Struct, frozen=True, tag="queued", kw_only=True):
    """The request was accepted for good and will be finished."""

    claim: ClaimId


WorkAnswer = Completed | NotRun | Failed | Unknown | Queued
