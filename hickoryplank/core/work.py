"""Work requests of callers and the answers to them."""

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
    """A work request, as the entry node forwards it to the owner of the pool.

    :param patience: seconds left until the caller's deadline.
    :param claim: the claim that ensures that the work runs at most once; ``None``
        for idempotent work.
    :param durable: whether to accept the request durably and answer at once.
    :param traceparent: W3C trace context; empty for none.
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
    """The unmodified answer of the endpoint."""

    status: int
    content_type: str
    body: bytes


class NotRun(msgspec.Struct, frozen=True, tag="not_run", kw_only=True):
    """The request was not run and will not be.

    :param retry_after: seconds after which the caller may try again.
    """

    reason: NotRunReason
    detail: str = ""
    retry_after: float = 1.0


class Failed(msgspec.Struct, frozen=True, tag="failed", kw_only=True):
    """Idempotent work was attempted but not answered within its deadline."""

    detail: str


class Unknown(msgspec.Struct, frozen=True, tag="unknown", kw_only=True):
    """Non-idempotent work may have run; there is no proof that it did not."""

    detail: str


class Queued(msgspec.Struct, frozen=True, tag="queued", kw_only=True):
    """The request was accepted durably and will be completed."""

    claim: ClaimId


WorkAnswer = Completed | NotRun | Failed | Unknown | Queued
