"""Problem details (RFC 9457) that state whether the caller's work ran."""

import math

import msgspec
from starlette.responses import Response

from hickoryplank.core.work import Failed, NotRun, NotRunReason, Unknown

__all__ = ["OUTCOME_HEADER", "Problem", "problem_response", "refusal"]

OUTCOME_HEADER = "Hickoryplank-Outcome"
_MEDIA_TYPE = "application/problem+json"

_STATUS = {
    NotRunReason.UNKNOWN_QUEUE: 404,
    NotRunReason.KEY_REUSED: 422,
    NotRunReason.CANCELLED: 409,
    NotRunReason.REFUSED: 409,
    NotRunReason.OVERLOAD: 429,
}
_UNAVAILABLE = 503
_GATEWAY_TIMEOUT = 504
_RETRYABLE = (429, 503)


class Problem(msgspec.Struct, frozen=True, kw_only=True):
    """The body of an error response to a caller.

    :param outcome: ``not_run``, ``failed`` or ``unknown``.
    """

    status: int
    title: str
    detail: str
    outcome: str
    type: str = "about:blank"


def refusal(
    status: int, title: str, detail: str = "", retry_after: float = 0.0
) -> Response:
    """Return the response to a request that was refused and not run."""
    problem = Problem(status=status, title=title, detail=detail, outcome="not_run")
    return _response(problem, retry_after)


def problem_response(answer: NotRun | Failed | Unknown) -> Response:
    """Return the response for work that ended without an endpoint's answer."""
    match answer:
        case NotRun(reason=reason, detail=detail, retry_after=retry_after):
            status = _STATUS.get(reason, _UNAVAILABLE)
            title = f"not run: {reason.value}"
            return refusal(status, title, detail, retry_after)
        case Failed(detail=detail):
            problem = Problem(
                status=_GATEWAY_TIMEOUT,
                title="no answer in time",
                detail=detail,
                outcome="failed",
            )
        case Unknown(detail=detail):
            problem = Problem(
                status=_GATEWAY_TIMEOUT,
                title="not known whether it ran",
                detail=detail,
                outcome="unknown",
            )
    return _response(problem, 0.0)


def _response(problem: Problem, retry_after: float) -> Response:
    headers = {OUTCOME_HEADER: problem.outcome}
    if retry_after and problem.status in _RETRYABLE:
        headers["Retry-After"] = str(math.ceil(retry_after))
    return Response(
        msgspec.json.encode(problem),
        problem.status,
        headers=headers,
        media_type=_MEDIA_TYPE,
    )
