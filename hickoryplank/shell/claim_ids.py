"""Derives ids of claims and tasks, and answers from logged outcomes."""

import hashlib

from hickoryplank.core.ids import ClaimId, QueueId, TaskId, TeamId
from hickoryplank.core.records import (
    Outcome,
    OutcomeKind,
)
from hickoryplank.core.work import (
    Completed,
    NotRun,
    NotRunReason,
    Unknown,
    WorkAnswer,
    WorkRequest,
)

__all__ = ["answer_from_outcome", "claim_id_for", "request_digest", "task_id_for"]

CLAIM_ID_DIGITS = 40


def claim_id_for(team: TeamId, queue: QueueId, key: str) -> ClaimId:
    """Return the id of the claim for a caller's idempotency key."""
    text = "\0".join((team, queue, key))
    return ClaimId(hashlib.sha256(text.encode()).hexdigest()[:CLAIM_ID_DIGITS])


def task_id_for(claim: ClaimId) -> TaskId:
    """Return the id of the task that runs a claim, equal on every node."""
    return TaskId(f"claim-{claim}")


def request_digest(request: WorkRequest) -> str:
    """Return a digest that detects reuse of a key for another request."""
    digest = hashlib.sha256()
    for part in (request.queue, request.content_type):
        digest.update(part.encode() + b"\0")
    digest.update(request.body)
    return digest.hexdigest()


def answer_from_outcome(outcome: Outcome) -> WorkAnswer:
    """Return the answer that a logged outcome represents."""
    match outcome.kind:
        case OutcomeKind.DONE:
            return Completed(
                status=outcome.status,
                content_type=outcome.content_type,
                body=outcome.body,
            )
        case OutcomeKind.NOT_RUN:
            return NotRun(reason=NotRunReason.REFUSED, detail=outcome.detail)
        case OutcomeKind.UNKNOWN:
            return Unknown(detail=outcome.detail)
