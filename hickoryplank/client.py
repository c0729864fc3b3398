"""Client library for the operator API.

Each function takes a ``Session`` and returns ``Ok`` with the entry's response, or
``Err`` with ``Refused`` or ``Unreachable``.
"""

import hashlib
import secrets
import time
from collections.abc import Callable, Mapping
from typing import TypeVar
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
from hickoryplank.core.ids import (
    ClaimId,
    KeyId,
    PoolId,
    Revision,
    TeamId,
    VmId,
    WaveId,
    Zone,
)
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
    ZoneRequest,
)
from hickoryplank.operator_status import (
    ClaimsAnswer,
    ClaimState,
    ReportAnswer,
    StatusAnswer,
    ZonesAnswer,
    merge_reports,
    merge_zones,
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
    "evacuate_zone",
    "get_claims",
    "get_history",
    "get_objects",
    "get_report",
    "get_status",
    "get_zones",
    "move_vm",
    "empty_fleet_base",
    "plan_edits",
    "restore_zone",
    "settle_claim",
    "undrain_vm",
    "wait_in_force",
    "withdraw_key",
]

T = TypeVar("T")

_WAIT_TIMEOUT_SECONDS = 10.0
_POLL_INTERVAL_SECONDS = 0.1
_KEY_BYTES = 32
_NO_ENTRY_CONFIGURED = Unreachable("no entry is configured", ProblemOutcome.NOT_RUN)


class NewKey(msgspec.Struct, frozen=True):
    """A newly created key; its secret is not stored anywhere."""

    name: KeyId
    secret: str
    published: Published


def plan_edits(
    session: Session,
    edits: tuple[Put | Delete, ...],
    revisions: Mapping[Ref, Revision] | None = None,
) -> Result[PlanAnswer, ClientError]:
    """Validate a set of edits and return the changes it would make.

    :param revisions: base revisions of objects that the author has already read;
        the entry supplies the others.
    """
    plan = post(session, "plan", PlanRequest(edits), PlanAnswer, safe=True)
    if plan.is_err() or not revisions:
        return plan
    base = _override_revisions(plan.unwrap().base, revisions)
    return post(session, "plan", PlanRequest(edits, base), PlanAnswer, safe=True)


def _override_revisions(
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
    """Publish the edits that change an object, as one set.

    :param revisions: base revisions of objects that the author has already read;
        the entry supplies the others.
    :return: the publication state of the set, or of the latest record that the
        entry has folded if the edits change nothing.
    """
    plan = post(session, "plan", PlanRequest(edits), PlanAnswer, safe=True)
    if plan.is_err():
        return plan
    answer = plan.unwrap()
    effective_edits = tuple(
        edit
        for edit, change in zip(edits, answer.changes, strict=True)
        if change.kind is not ChangeKind.NONE
    )
    if not effective_edits:
        return get(session, f"published?offset={answer.offset}", Published)
    edited_refs = {one.ref for one in empty_fleet_base(effective_edits)}
    base = tuple(one for one in answer.base if one.ref in edited_refs)
    request = EditRequest(_override_revisions(base, revisions or {}), effective_edits)
    return post(session, "edits", request, Published)


def wait_in_force(
    session: Session,
    published: Published,
    timeout_seconds: float = _WAIT_TIMEOUT_SECONDS,
    sleep: Callable[[float], None] = time.sleep,
    clock: Callable[[], float] = time.monotonic,
) -> Published:
    """Poll until a record is in force, and return its publication state.

    Polling continues while entries are unreachable. It stops on a refusal or after
    the timeout, and then returns the last known state.

    :param timeout_seconds: longest time to poll.
    :param sleep: replaces ``time.sleep`` in tests.
    :param clock: replaces ``time.monotonic`` in tests.
    """
    end = clock() + timeout_seconds
    while published.state is not PublishState.IN_FORCE and clock() < end:
        sleep(_POLL_INTERVAL_SECONDS)
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
    """Return the objects in force, optionally only those of a kind or name."""
    query = httpx.QueryParams()
    if kind is not None:
        query = query.set("kind", kind.value)
    if name is not None:
        query = query.set("name", name)
    return get(session, f"objects?{query}", ObjectsAnswer)


def get_history(session: Session) -> Result[HistoryAnswer, ClientError]:
    """Return the operator records that the entry has folded."""
    return get(session, "history", HistoryAnswer)


def get_status(session: Session) -> Result[StatusAnswer, ClientError]:
    """Return the state of the fleet as the entry has folded it."""
    return get(session, "status", StatusAnswer)


def get_report(session: Session) -> Result[ReportAnswer, ClientError]:
    """Return the policy metrics, aggregated over the entries that respond.

    Return the last error if no entry returns a report.
    """
    return _get_from_all(session, "report", ReportAnswer).map(merge_reports)


def get_zones(session: Session) -> Result[ZonesAnswer, ClientError]:
    """Return the availability zones, with the work that the responding entries run.

    Return the last error if no entry responds.
    """
    return _get_from_all(session, "zones", ZonesAnswer).map(merge_zones)


def _get_from_all(
    session: Session, path: str, cls: type[T]
) -> Result[list[T], ClientError]:
    """Return the answers of the entries that respond, or the last error."""
    answers: list[T] = []
    failed: Result[list[T], ClientError] = Err(_NO_ENTRY_CONFIGURED)
    for entry in session.entries:
        one = msgspec.structs.replace(session, entries=(entry,))
        match get(one, path, cls):
            case Ok(answer):
                answers.append(answer)
            case Err() as failed:
                pass
    return Ok(answers) if answers else failed


def drain_vm(session: Session, vm: VmId) -> Result[Published, ClientError]:
    """Drain a VM: take it out of service once its work has finished."""
    return post(session, f"vms/{_quote(vm)}/drain", VmRequest(), Published)


def undrain_vm(session: Session, vm: VmId) -> Result[Published, ClientError]:
    """Return a drained VM to service."""
    return post(session, f"vms/{_quote(vm)}/undrain", VmRequest(), Published)


def move_vm(session: Session, vm: VmId, pool: PoolId) -> Result[Published, ClientError]:
    """Move a VM to another pool, draining it first if it is in service."""
    return post(session, f"vms/{_quote(vm)}/move", MoveRequest(pool), Published)


def evacuate_zone(session: Session, zone: Zone) -> Result[Published, ClientError]:
    """Evacuate an availability zone: its VMs finish their work and get no more."""
    return post(session, f"zones/{_quote(zone)}/evacuate", ZoneRequest(), Published)


def restore_zone(session: Session, zone: Zone) -> Result[Published, ClientError]:
    """Take the evacuation of an availability zone back."""
    return post(session, f"zones/{_quote(zone)}/restore", ZoneRequest(), Published)


def change_wave(
    session: Session, wave: WaveId, action: WaveAction, pools: tuple[PoolId, ...] = ()
) -> Result[Published, ClientError]:
    """Start, pause, resume or cancel a maintenance wave."""
    body = WaveRequest(action, pools)
    return post(session, f"waves/{_quote(wave)}", body, Published)


def get_claims(
    session: Session, state: ClaimState | None = None
) -> Result[ClaimsAnswer, ClientError]:
    """Return claimed requests, optionally only those in one state."""
    query = f"?state={state.value}" if state else ""
    return get(session, f"claims{query}", ClaimsAnswer)


def settle_claim(
    session: Session, claim: ClaimId, settlement: SettleRequest
) -> Result[Published, ClientError]:
    """Record the outcome of a claim whose outcome is unknown."""
    path = f"claims/{_quote(claim)}/settle"
    return post(session, path, settlement, Published)


def create_key(
    session: Session, name: KeyId, team: TeamId
) -> Result[NewKey, ClientError]:
    """Create a key of ``team`` with a new secret.

    An existing key of this name is left as it is, and the request is refused.
    """
    secret = secrets.token_urlsafe(_KEY_BYTES)
    digest = hashlib.sha256(secret.encode()).hexdigest()
    edits = (Put(Key(name=name, team=team, digest=digest)),)
    match plan_edits(session, edits):
        case Err(error):
            return Err(error)
        case Ok(plan) if plan.changes[0].kind is not ChangeKind.CREATE:
            detail = f"key {name} already exists; withdraw it or choose another name"
            problem = Problem(title="Key exists", status=409, detail=detail)
            return Err(Refused(problem))
        case Ok(plan):
            published = post(session, "edits", EditRequest(plan.base, edits), Published)
            return published.map(lambda done: NewKey(name, secret, done))


def empty_fleet_base(edits: tuple[Put | Delete, ...]) -> tuple[BaseRevision, ...]:
    """Return the base revisions of edits made against an empty fleet."""
    return base_for(Tables(), edits)


def withdraw_key(session: Session, name: KeyId) -> Result[Published, ClientError]:
    """Withdraw a key; it is refused once the record is in force."""
    edits = (Delete(Ref(Kind.KEY, name)),)
    plan = plan_edits(session, edits)
    return plan.and_then(
        lambda answer: post(
            session, "edits", EditRequest(answer.base, edits), Published
        )
    )


def _quote(name: str) -> str:
    return quote(name, safe="")
