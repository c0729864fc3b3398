"""Problem details of the operator API."""

from hickoryplank.core.errors import Fault, FaultCode, Refusal
from hickoryplank.external.errors import LogError, LogFailure
from hickoryplank.operator_api import Problem, ProblemOutcome

__all__ = [
    "bad_parameter",
    "conflict",
    "result_lost_problem",
    "log_problem",
    "not_found",
    "refusal_problem",
]

_CONFLICTS = {
    FaultCode.CONFLICT,
    FaultCode.DUPLICATE,
    FaultCode.IN_SERVICE,
    FaultCode.SETTLED,
    FaultCode.STALE,
    FaultCode.WRONG_STATE,
}


def refusal_problem(faults: tuple[Fault, ...]) -> Problem:
    """Return the problem for a record that is refused because of ``faults``."""
    refusal = Refusal(faults)
    if any(fault.code in _CONFLICTS for fault in faults):
        title, status = "In conflict with the current state", 409
    else:
        title, status = "Does not hold together", 422
    return Problem(title=title, status=status, detail=str(refusal), faults=faults)


def result_lost_problem() -> Problem:
    """Return the problem for a repeated record whose result is not known."""
    return Problem(
        title="Outcome unknown",
        status=503,
        detail="the record of this request was folded before, but its result is no"
        " longer kept",
        outcome=ProblemOutcome.UNKNOWN,
    )


def log_problem(failure: LogFailure) -> Problem:
    """Return the problem for a record whose append failed or is unconfirmed."""
    if failure.error is LogError.UNAVAILABLE:
        detail = failure.detail or "the log is unavailable; nothing was published"
        return Problem(title="Not published", status=503, detail=detail)
    return Problem(
        title="Outcome unknown",
        status=503,
        detail="the log has not answered; the request may still take effect; repeat it"
        " with the same Idempotency-Key to learn its outcome",
        outcome=ProblemOutcome.UNKNOWN,
    )


def bad_parameter(key: str, allowed: list[str]) -> Problem:
    """Return the problem for a parameter that is not one of ``allowed``."""
    detail = f"{key} must be {' or '.join(allowed)}"
    return Problem(title="Bad parameter", status=400, detail=detail)


def not_found(detail: str) -> Problem:
    """Return the problem for something that does not exist."""
    return Problem(title="Not found", status=404, detail=detail)


def conflict(detail: str) -> Problem:
    """Return the problem for a request that conflicts with the current state."""
    title = "In conflict with the current state"
    return Problem(title=title, status=409, detail=detail)
