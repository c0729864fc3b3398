"""The operator HTTP API: what operators ask of the replicated tables."""

import time
from collections.abc import Callable

from result import Err, Ok, Result
from starlette.routing import Route

from hickoryplank.core.edits import base_for, check_edits
from hickoryplank.core.errors import FaultCode, Refusal
from hickoryplank.core.ids import ClaimId, RecordId, Revision, VmId, WaveId
from hickoryplank.core.objects import Kind
from hickoryplank.core.records import (
    BaseRevision,
    Delete,
    EditSet,
    Outcome,
    OutcomeKind,
    Put,
    Record,
    VmMoved,
    VmState,
    VmStep,
    WaveChange,
    WaveState,
)
from hickoryplank.core.tables import VmRow
from hickoryplank.operator_api import (
    PREFIX,
    ClaimsAnswer,
    ClaimState,
    EditRequest,
    HistoryAnswer,
    HistoryEntry,
    MoveRequest,
    ObjectsAnswer,
    PlanAnswer,
    PlanRequest,
    Problem,
    Published,
    PublishState,
    SettleRequest,
    VmRequest,
    WaveAction,
    WaveRequest,
)
from hickoryplank.platform.errors import LogFailure
from hickoryplank.shell.control import Control
from hickoryplank.shell.history import History
from hickoryplank.shell.operator_http import (
    OperatorRequest,
    OperatorSecurity,
    Reply,
    decode_body,
    forgotten_problem,
    log_problem,
    operator_route,
    refusal_problem,
)
from hickoryplank.shell.operator_views import (
    claim_views,
    object_views,
    plan_changes,
    status_of,
)

__all__ = ["operator_routes"]

_WAVE_STATES = {
    WaveAction.START: WaveState.RUNNING,
    WaveAction.RESUME: WaveState.RUNNING,
    WaveAction.PAUSE: WaveState.PAUSED,
    WaveAction.CANCEL: WaveState.CANCELLED,
}


def operator_routes(
    control: Control,
    history: History,
    security: OperatorSecurity,
    now: Callable[[], float] = time.time,
) -> list[Route]:
    """Return the routes under ``/operator/v1``.

    :param history: fed by whoever folds the log.
    :param now: the time in seconds since the epoch.
    """
    api = _Operators(control, history, now)
    routes = (
        ("edits", "POST", api.edit),
        ("plan", "POST", api.plan),
        ("objects", "GET", api.objects),
        ("published", "GET", api.published),
        ("history", "GET", api.history),
        ("status", "GET", api.status),
        ("vms/{vm}/drain", "POST", api.drain),
        ("vms/{vm}/undrain", "POST", api.undrain),
        ("vms/{vm}/move", "POST", api.move),
        ("waves/{wave}", "POST", api.wave),
        ("claims", "GET", api.claims),
        ("claims/{claim:path}/settle", "POST", api.settle),
    )
    return [
        operator_route(f"{PREFIX}/{path}", method, handler, security)
        for path, method, handler in routes
    ]


class _Operators:
    """The handlers, which see the tables through ``Control`` only."""

    def __init__(
        self, control: Control, history: History, now: Callable[[], float]
    ) -> None:
        self._control = control
        self._history = history
        self._now = now

    async def edit(self, req: OperatorRequest) -> Reply:
        """Publish a set of edits, or refuse it with every fault."""
        match decode_body(req.body, EditRequest):
            case Err(problem):
                return Err(problem)
            case Ok(body):
                edit_set = self._edit_set(req, body.base, body.edits)
                if not self._folded(edit_set.id):
                    faults = check_edits(self._control.tables, edit_set)
                    if faults:
                        return Err(refusal_problem(tuple(faults)))
                return await self._publish(edit_set)

    async def plan(self, req: OperatorRequest) -> Reply:
        """Check a set of edits and tell what it would change."""
        match decode_body(req.body, PlanRequest):
            case Err(problem):
                return Err(problem)
            case Ok(body):
                return self._plan(req, body)

    def _plan(self, req: OperatorRequest, body: PlanRequest) -> Reply:
        tables = self._control.tables
        base = base_for(tables, body.edits) if body.base is None else body.base
        edit_set = self._edit_set(req, base, body.edits)
        faults = check_edits(tables, edit_set)
        if faults:
            return Err(refusal_problem(tuple(faults)))
        return Ok(PlanAnswer(base, plan_changes(tables, body.edits)))

    def _edit_set(
        self,
        req: OperatorRequest,
        base: tuple[BaseRevision, ...],
        edits: tuple[Put | Delete, ...],
    ) -> EditSet:
        return EditSet(
            id=req.record_id,
            operator=req.operator,
            base=base,
            edits=edits,
            at=self._now(),
        )

    def _folded(self, record_id: RecordId) -> bool:
        """Return whether a record came by before, under the same id."""
        return record_id in self._control.tables.recent

    async def _publish(self, record: Record) -> Reply:
        """Submit a record; one that was folded before keeps its first verdict."""
        if self._folded(record.id):
            return self._first_verdict(record.id)
        match await self._control.submit(record):
            case Ok(revision):
                return Ok(self._published(revision, self._control.offset))
            case Err(Refusal(faults)):
                if any(fault.code is FaultCode.DUPLICATE for fault in faults):
                    return self._first_verdict(record.id)
                return Err(refusal_problem(faults))
            case Err(LogFailure() as failure):
                return Err(log_problem(failure))

    def _first_verdict(self, record_id: RecordId) -> Reply:
        match self._history.find(record_id):
            case None:
                return Err(forgotten_problem())
            case HistoryEntry(revision=None, faults=faults):
                return Err(refusal_problem(faults))
            case HistoryEntry(revision=revision, offset=offset):
                return Ok(self._published(revision, offset + 1))

    def _published(self, revision: Revision, offset: int) -> Published:
        waiting = self._control.waiting_for(offset)
        done = not waiting and self._control.offset >= offset
        state = PublishState.IN_FORCE if done else PublishState.PUBLISHED
        return Published(state, revision, offset, waiting)

    async def objects(self, req: OperatorRequest) -> Reply:
        """List the objects in force."""
        tables = self._control.tables
        kind = req.query.get("kind")
        kinds = [each.value for each in Kind]
        if kind is not None and kind not in kinds:
            return Err(_bad_query("kind", kinds))
        views = object_views(
            tables, Kind(kind) if kind else None, req.query.get("name")
        )
        return Ok(ObjectsAnswer(tables.revision, self._control.offset, views))

    async def published(self, req: OperatorRequest) -> Reply:
        """Tell whether every node has folded up to an offset."""
        text = req.query.get("offset", "")
        if not (text.isascii() and text.isdigit() and len(text) < 16):
            return Err(_bad_query("offset", ["a log offset"]))
        return Ok(self._published(self._control.tables.revision, int(text)))

    async def history(self, req: OperatorRequest) -> Reply:
        """List the operators' records that this node has seen."""
        return Ok(HistoryAnswer(self._history.entries()))

    async def status(self, req: OperatorRequest) -> Reply:
        """Show nodes, pools, drains, waves, teams and what is under way."""
        published = tuple(
            self._published(entry.revision, entry.offset + 1)
            for entry in self._history.entries()
            if entry.revision is not None
        )
        waiting = (one for one in published if one.state is PublishState.PUBLISHED)
        return Ok(status_of(self._control.tables, tuple(waiting)))

    async def drain(self, req: OperatorRequest) -> Reply:
        """Take a VM out of service once its work has finished."""
        return await self._step(req, VmState.LEAVING)

    async def undrain(self, req: OperatorRequest) -> Reply:
        """Put a VM back in service."""
        return await self._step(req, VmState.ACTIVE)

    async def _step(self, req: OperatorRequest, state: VmState) -> Reply:
        match decode_body(req.body, VmRequest), self._vm(req):
            case (Err(problem), _) | (_, Err(problem)):
                return Err(problem)
            case Ok(body), Ok(row):
                return await self._publish(
                    VmStep(
                        id=req.record_id,
                        vm=row.vm,
                        revision=_read_revision(body, row),
                        state=state,
                    )
                )

    async def move(self, req: OperatorRequest) -> Reply:
        """Move a drained VM to another pool."""
        match decode_body(req.body, MoveRequest), self._vm(req):
            case (Err(problem), _) | (_, Err(problem)):
                return Err(problem)
            case Ok(body), Ok(row):
                return await self._publish(
                    VmMoved(
                        id=req.record_id,
                        vm=row.vm,
                        revision=_read_revision(body, row),
                        pool=body.pool,
                    )
                )

    def _vm(self, req: OperatorRequest) -> Result[VmRow, Problem]:
        vm = VmId(req.path["vm"])
        row = self._control.tables.vms.get(vm)
        if row is None:
            return Err(_not_found(f"VM {vm} does not exist"))
        return Ok(row)

    async def wave(self, req: OperatorRequest) -> Reply:
        """Start, pause, resume or cancel a maintenance wave."""
        match decode_body(req.body, WaveRequest):
            case Err(problem):
                return Err(problem)
            case Ok(body):
                return await self._change_wave(req, body)

    async def _change_wave(self, req: OperatorRequest, body: WaveRequest) -> Reply:
        wave = WaveId(req.path["wave"])
        exists = wave in self._control.tables.waves
        starts = body.action is WaveAction.START
        if not self._folded(req.record_id) and starts == exists:
            if not exists:
                return Err(_not_found(f"wave {wave} does not exist; start it first"))
            return Err(_conflict(f"wave {wave} exists; give a new one another name"))
        record = WaveChange(
            id=req.record_id,
            wave=wave,
            operator=req.operator,
            state=_WAVE_STATES[body.action],
            pools=body.pools,
        )
        return await self._publish(record)

    async def claims(self, req: OperatorRequest) -> Reply:
        """List claimed requests."""
        state = req.query.get("state")
        states = [each.value for each in ClaimState]
        if state is not None and state not in states:
            return Err(_bad_query("state", states))
        wanted = ClaimState(state) if state else None
        return Ok(ClaimsAnswer(claim_views(self._control.tables, wanted)))

    async def settle(self, req: OperatorRequest) -> Reply:
        """Settle a claim whose outcome is unknown."""
        match decode_body(req.body, SettleRequest):
            case Err(problem):
                return Err(problem)
            case Ok(body):
                return await self._settle(req, body)

    async def _settle(self, req: OperatorRequest, body: SettleRequest) -> Reply:
        claim = ClaimId(req.path["claim"])
        row = self._control.tables.claims.get(claim)
        if row is None:
            return Err(_not_found(f"claim {claim} does not exist"))
        if body.kind is OutcomeKind.UNKNOWN:
            return Err(_bad_query("kind", ["done", "not_run"]))
        unknown = row.outcome is not None and row.outcome.kind is OutcomeKind.UNKNOWN
        if not unknown and not self._folded(req.record_id):
            return Err(_conflict(f"the outcome of claim {claim} is not unknown"))
        record = Outcome(
            id=req.record_id,
            claim=claim,
            holder=None,
            kind=body.kind,
            status=body.status,
            content_type=body.content_type,
            body=body.body.encode(),
            detail=body.detail,
        )
        return await self._publish(record)


def _read_revision(body: VmRequest | MoveRequest, row: VmRow) -> Revision:
    return row.revision if body.revision is None else body.revision


def _bad_query(key: str, right: list[str]) -> Problem:
    detail = f"{key} must be {' or '.join(right)}"
    return Problem(title="Bad parameter", status=400, detail=detail)


def _not_found(detail: str) -> Problem:
    return Problem(title="Not found", status=404, detail=detail)


def _conflict(detail: str) -> Problem:
    title = "In conflict with the current state"
    return Problem(title=title, status=409, detail=detail)
