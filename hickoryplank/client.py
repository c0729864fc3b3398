"""Client of the operator API: plain functions that scripts can call.

Each function takes a ``Session`` and returns ``Ok`` with the entry's answer or
``Err`` with ``Refused`` or ``Unreachable``.
"""

import hashlib
import secrets
import time
from collections.abc import Callable, Mapping
from urllib.parse import quote

import httpx
import msgspec
from result import Err, Ok, Result

from hickoryplank.client_http import (
    ClientError,
    Refused,
    Session,
    Unreachable,
    get,
    post,
)
from hickoryplank.core.edits import base_for
from hickoryplank.core.ids import ClaimId, KeyId, PoolId, Revision, TeamId, VmId, WaveId
from hickoryplank.core.objects import Key, Kind, Ref
from hickoryplank.core.records import BaseRevision, Delete, Put
from hickoryplank.core.tables import Tables
from hickoryplank.operator_api import (
    ChangeKind,
    EditRequest,
    HistoryAnswer,
    MoveRequest,
    ObjectsAnswer,
    PlanAnswer,
    PlanRequest,
    Problem,
    ProblemOutcome,
    Published,
    PublishState,
    SettleRequest,
    VmRequest,
    WaveAction,
    WaveRequest,
)
from hickoryplank.operator_status import (
    ClaimsAnswer,
    ClaimState,
    ReportAnswer,
    StatusAnswer,
    merge_reports,
)

__all__ = [
    "ClientError",
    "NewKey",
    "Refused",
    "Session",
    "Unreachable",
    "apply_edits",
    "change_wave",
    "create_key",
    "drain_vm",
    "get_claims",
    "get_history",
    "get_objects",
    "get_report",
    "get_status",
    "move_vm",
    "new_base",
    "plan_edits",
    "settle_claim",
    "undrain_vm",
    "wait_in_force",
    "withdraw_key",
]

_TIMEOUT_SECONDS = 10.0
_POLL_SECONDS = 0.1
_KEY_BYTES = 32
_NO_ENTRIES = Unreachable("no entry is named", ProblemOutcome.NOT_RUN)


class NewKey(msgspec.Struct, frozen=True):
    """A key that was just created; its secret is kept nowhere."""

    name: KeyId
    secret: str
    published: Published


def plan_edits(
    session: Session,
    edits: tuple[Put | Delete, ...],
    revisions: Mapping[Ref, Revision] | None = None,
) -> Result[PlanAnswer, ClientError]:
    """Check a set of edits and return what it would change.

    :param revisions: the revisions at which the author read objects; the others
        are read from the entry.
    """
    plan = post(session, "plan", PlanRequest(edits), PlanAnswer, safe=True)
    if plan.is_err() or not revisions:
        return plan
    base = _with_revisions(plan.unwrap().base, revisions)
    return post(session, "plan", PlanRequest(edits, base), PlanAnswer, safe=True)


def _with_revisions(
    base: tuple[BaseRevision, ...], revisions: Mapping[Ref, Revision]
) -> tuple[BaseRevision, ...]:
    return tuple(
        BaseRevision(one.ref, revisions.get(one.ref, one.revision)) for one in base
    )


def apply_edits(
    session: Session,
    edits: tuple[Put | Delete, ...],
    revisions: Mapping[Ref, Revision] | None = None,
) -> Result[Published, ClientError]:
    """Publish the edits that change something, as one set.

    :param revisions: the revisions at which the author read objects; the others
        are read from the entry.
    :return: how far the set has come; if nothing changes, how far all that the
        entry has folded has come.
    """
    plan = post(session, "plan", PlanRequest(edits), PlanAnswer, safe=True)
    if plan.is_err():
        return plan
    answer = plan.unwrap()
    kept = tuple(
        edit
        for edit, change in zip(edits, answer.changes, strict=True)
        if change.kind is not ChangeKind.NONE
    )
    if not kept:
        return get(session, f"published?offset={answer.offset}", Published)
    needed = {one.ref for one in new_base(kept)}
    base = tuple(one for one in answer.base if one.ref in needed)
    request = EditRequest(_with_revisions(base, revisions or {}), kept)
    return post(session, "edits", request, Published)


def wait_in_force(
    session: Session,
    published: Published,
    timeout_seconds: float = _TIMEOUT_SECONDS,
    sleep: Callable[[float], None] = time.sleep,
    clock: Callable[[], float] = time.monotonic,
) -> Published:
    """Return how far a record has come, at the latest after the timeout.

    An entry that does not answer is asked again.
    """
    end = clock() + timeout_seconds
    while published.state is not PublishState.IN_FORCE and clock() < end:
        sleep(_POLL_SECONDS)
        path = f"published?offset={published.offset}"
        match get(session, path, Published):
            case Ok(now):
                published = msgspec.structs.replace(
                    published, state=now.state, waiting_for=now.waiting_for
                )
            case Err(Refused()):
                return published
    return published


def get_objects(
    session: Session, kind: Kind | None = None, name: str | None = None
) -> Result[ObjectsAnswer, ClientError]:
    """Return the objects in force, or those of one kind or name."""
    query = httpx.QueryParams()
    if kind is not None:
        query = query.set("kind", kind.value)
    if name is not None:
        query = query.set("name", name)
    return get(session, f"objects?{query}", ObjectsAnswer)


def get_history(session: Session) -> Result[HistoryAnswer, ClientError]:
    """Return the operators' records that the entry has seen."""
    return get(session, "history", HistoryAnswer)


def get_status(session: Session) -> Result[StatusAnswer, ClientError]:
    """Return the fleet as the entry has it."""
    return get(session, "status", StatusAnswer)


def get_report(session: Session) -> Result[ReportAnswer, ClientError]:
    """Return the policies' measures, added up over the entries that answer."""
    reports: list[ReportAnswer] = []
    failed: Result[ReportAnswer, ClientError] = Err(_NO_ENTRIES)
    for entry in session.entries:
        one = msgspec.structs.replace(session, entries=(entry,))
        match get(one, "report", ReportAnswer):
            case Ok(report):
                reports.append(report)
            case Err() as failed:
                pass
    return Ok(merge_reports(reports)) if reports else failed


def drain_vm(session: Session, vm: VmId) -> Result[Published, ClientError]:
    """Take a VM out of service once its work has finished."""
    return post(session, f"vms/{_quote(vm)}/drain", VmRequest(), Published)


def undrain_vm(session: Session, vm: VmId) -> Result[Published, ClientError]:
    """Put a VM back in service."""
    return post(session, f"vms/{_quote(vm)}/undrain", VmRequest(), Published)


def move_vm(session: Session, vm: VmId, pool: PoolId) -> Result[Published, ClientError]:
    """Move a VM to another pool; one in service is drained first."""
    return post(session, f"vms/{_quote(vm)}/move", MoveRequest(pool), Published)


def change_wave(
    session: Session, wave: WaveId, action: WaveAction, pools: tuple[PoolId, ...] = ()
) -> Result[Published, ClientError]:
    """Start, pause, resume or cancel a maintenance wave."""
    body = WaveRequest(action, pools)
    return post(session, f"waves/{_quote(wave)}", body, Published)


def get_claims(
    session: Session, state: ClaimState | None = None
) -> Result[ClaimsAnswer, ClientError]:
    """Return claimed requests, or those in one state."""
    query = f"?state={state.value}" if state else ""
    return get(session, f"claims{query}", ClaimsAnswer)


def settle_claim(
    session: Session, claim: ClaimId, settlement: SettleRequest
) -> Result[Published, ClientError]:
    """Settle a claim whose outcome is unknown."""
    path = f"claims/{_quote(claim)}/settle"
    return post(session, path, settlement, Published)


def create_key(
    session: Session, name: KeyId, team: TeamId
) -> Result[NewKey, ClientError]:
    """Create a key of ``team`` with a new secret; a key that exists stays."""
    secret = secrets.token_urlsafe(_KEY_BYTES)
    digest = hashlib.sha256(secret.encode()).hexdigest()
    edits = (Put(Key(name=name, team=team, digest=digest)),)
    match plan_edits(session, edits):
        case Err(error):
            return Err(error)
        case Ok(plan) if plan.changes[0].kind is not ChangeKind.CREATE:
            detail = f"key {name} exists; withdraw it, or give the new one another name"
            problem = Problem(title="Key exists", status=409, detail=detail)
            return Err(Refused(problem))
        case Ok(plan):
            published = post(session, "edits", EditRequest(plan.base, edits), Published)
            return published.map(lambda done: NewKey(name, secret, done))


def new_base(edits: tuple[Put | Delete, ...]) -> tuple[BaseRevision, ...]:
    """Return the revisions of edits made against an empty fleet."""
    return base_for(Tables(), edits)


def withdraw_key(session: Session, name: KeyId) -> Result[Published, ClientError]:
    """Withdraw a key, which stops working once the record is in force."""
    edits = (Delete(Ref(Kind.KEY, name)),)
    plan = plan_edits(session, edits)
    return plan.and_then(
        lambda answer: post(
            session, "edits", EditRequest(answer.base, edits), Published
        )
    )


def _quote(name: str) -> str:
    return quote(name, safe="")
