"""Claims of non-idempotent requests, which run at most once."""

from hickoryplank.core.errors import Fault, FaultCode
from hickoryplank.core.records import (
    Claim,
    ClaimsForgotten,
    Dispatch,
    Outcome,
    OutcomeKind,
)
from hickoryplank.core.tables import ClaimRow, Tables

__all__ = ["apply_claim", "apply_dispatch", "apply_outcome", "forget_claims"]


def apply_claim(tables: Tables, record: Claim) -> list[Fault]:
    """Assign the request to the first node that claims it.

    A later claim succeeds only if the holder is gone and has left no outcome, or
    if the outcome is that the request did not run.
    """
    if not tables.is_live(record.holder):
        return [Fault(FaultCode.NOT_LIVE, f"holder {record.holder} is not live")]
    row = tables.claims.get(record.claim)
    if row is None:
        tables.claims[record.claim] = _new_row(record)
        return []
    faults = _check_takeover(tables, row, record)
    if not faults:
        row.reopened = row.outcome is not None
        row.holder = record.holder
        row.outcome = None
        row.expires = max(row.expires, record.expires)
    return faults


def _new_row(record: Claim) -> ClaimRow:
    return ClaimRow(
        claim=record.claim,
        team=record.team,
        queue=record.queue,
        holder=record.holder,
        request=record.request,
        expires=record.expires,
        durable=record.durable,
        content_type=record.content_type,
        body=record.body,
    )


def _check_takeover(tables: Tables, row: ClaimRow, record: Claim) -> list[Fault]:
    if record.request != row.request:
        message = "the idempotency key was used before for another request"
        return [Fault(FaultCode.REQUEST_MISMATCH, message)]
    if row.outcome is not None:
        if row.outcome.kind is OutcomeKind.NOT_RUN:
            return []
        return [Fault(FaultCode.SETTLED, f"claim {row.claim} is already settled")]
    if tables.is_live(row.holder):
        message = f"claim {row.claim} is held by incarnation {row.holder}"
        return [Fault(FaultCode.CLAIMED, message)]
    return []


def apply_dispatch(tables: Tables, record: Dispatch) -> list[Fault]:
    """Record an attempt before its start is sent.

    From the second attempt on, the record needs proof that a further attempt is
    safe, or else the request might run twice.
    """
    row = tables.claims.get(record.claim)
    if row is None or row.holder != record.holder or not tables.is_live(record.holder):
        message = f"claim {record.claim} is not held by incarnation {record.holder}"
        return [Fault(FaultCode.NOT_HOLDER, message)]
    if row.outcome is not None:
        return [Fault(FaultCode.SETTLED, f"claim {record.claim} is already settled")]
    if record.attempt != row.attempt + 1:
        message = f"attempt {record.attempt} does not follow attempt {row.attempt}"
        return [Fault(FaultCode.STALE, message)]
    if row.attempt > 0 and record.proof is None and not row.reopened:
        message = f"attempt {row.attempt} may have run; a further attempt needs proof"
        return [Fault(FaultCode.PROOF_MISSING, message)]
    row.attempt = record.attempt
    row.reopened = False
    row.vm = record.vm
    row.boot = record.boot
    row.start_by = record.start_by
    return []


def apply_outcome(tables: Tables, record: Outcome) -> list[Fault]:
    """Settle a claim with its first outcome.

    An ``unknown`` outcome can still be replaced by ``done`` or ``not_run``, by
    the holder or by an operator.
    """
    row = tables.claims.get(record.claim)
    if row is None or record.holder not in (row.holder, None):
        message = f"claim {record.claim} is not held by incarnation {record.holder}"
        return [Fault(FaultCode.NOT_HOLDER, message)]
    known = row.outcome is not None and row.outcome.kind is not OutcomeKind.UNKNOWN
    if known or (row.outcome is not None and record.kind is OutcomeKind.UNKNOWN):
        return [Fault(FaultCode.SETTLED, f"claim {record.claim} is already settled")]
    row.outcome = record
    row.body = b""
    return []


def forget_claims(tables: Tables, record: ClaimsForgotten) -> list[Fault]:
    """Delete expired claims; open claims and those settled as unknown are kept."""
    expired = [
        claim
        for claim, row in tables.claims.items()
        if row.expires < record.before and _is_final(row)
    ]
    for claim in expired:
        del tables.claims[claim]
    return []


def _is_final(row: ClaimRow) -> bool:
    return row.outcome is not None and row.outcome.kind is not OutcomeKind.UNKNOWN
