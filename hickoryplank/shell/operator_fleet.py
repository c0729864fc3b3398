"""Handlers of the operator API for VMs, zones, waves, claims and the fleet's status."""

from collections.abc import Callable, Mapping

from result import Err, Ok, Result

from hickoryplank.core.checks import is_name
from hickoryplank.core.ids import ClaimId, Revision, VmId, WaveId, Zone
from hickoryplank.core.records import (
    Outcome,
    OutcomeKind,
    VmMoved,
    VmState,
    VmStep,
    WaveChange,
    WaveState,
    ZoneEvacuated,
    ZoneRestored,
)
from hickoryplank.core.tables import VmRow
from hickoryplank.core.zones import check_zone
from hickoryplank.operator_api import (
    MoveRequest,
    Problem,
    SettleRequest,
    VmRequest,
    WaveAction,
    WaveRequest,
    ZoneRequest,
)
from hickoryplank.operator_status import ClaimsAnswer, ClaimState
from hickoryplank.shell.operator_http import OperatorRequest, Reply, decode_body
from hickoryplank.shell.operator_problems import bad_parameter, conflict, not_found
from hickoryplank.shell.operator_views import claim_views, fleet_status, zone_views
from hickoryplank.shell.publisher import Publisher

__all__ = ["FleetHandlers"]

_WAVE_STATES = {
    WaveAction.START: WaveState.RUNNING,
    WaveAction.RESUME: WaveState.RUNNING,
    WaveAction.PAUSE: WaveState.PAUSED,
    WaveAction.CANCEL: WaveState.CANCELLED,
}


class FleetHandlers:
    """Handles requests on VMs, zones, waves, claims and the fleet's status.

    :param tasks_by_vm: returns the number of tasks that this node runs, by VM.
    """

    def __init__(
        self, publisher: Publisher, tasks_by_vm: Callable[[], Mapping[VmId, int]]
    ) -> None:
        self._publisher = publisher
        self._tasks_by_vm = tasks_by_vm

    async def status(self, req: OperatorRequest) -> Reply:
        """Show nodes, pools, drains, waves, teams and records not yet in force."""
        return Ok(
            fleet_status(self._publisher.tables, self._publisher.records_not_in_force())
        )

    async def drain(self, req: OperatorRequest) -> Reply:
        """Take a VM out of service once its work has finished."""
        return await self._step(req, VmState.LEAVING)

    async def undrain(self, req: OperatorRequest) -> Reply:
        """Put a VM back in service."""
        return await self._step(req, VmState.ACTIVE)

    async def _step(self, req: OperatorRequest, state: VmState) -> Reply:
        match decode_body(req.body, VmRequest), self._find_vm(req):
            case (Err(problem), _) | (_, Err(problem)):
                return Err(problem)
            case Ok(body), Ok(row):
                return await self._publisher.publish(
                    VmStep(
                        id=req.record_id,
                        vm=row.vm,
                        revision=_base_revision(body, row),
                        state=state,
                    )
                )

    async def move(self, req: OperatorRequest) -> Reply:
        """Move a VM to another pool; one in service is drained first."""
        match decode_body(req.body, MoveRequest), self._find_vm(req):
            case (Err(problem), _) | (_, Err(problem)):
                return Err(problem)
            case Ok(body), Ok(row):
                return await self._publisher.publish(_move_record(req, body, row))

    def _find_vm(self, req: OperatorRequest) -> Result[VmRow, Problem]:
        vm = VmId(req.path["vm"])
        row = self._publisher.tables.vms.get(vm)
        if row is None:
            return Err(not_found(f"VM {vm} does not exist"))
        return Ok(row)

    async def zones(self, req: OperatorRequest) -> Reply:
        """List availability zones with their VMs and running work."""
        return Ok(zone_views(self._publisher.tables, self._tasks_by_vm()))

    async def evacuate_zone(self, req: OperatorRequest) -> Reply:
        """Give the VMs of an availability zone no new work."""
        zone = Zone(req.path["zone"])
        return await self._change_zone(req, ZoneEvacuated(id=req.record_id, zone=zone))

    async def restore_zone(self, req: OperatorRequest) -> Reply:
        """Take the evacuation of an availability zone back."""
        zone = Zone(req.path["zone"])
        return await self._change_zone(req, ZoneRestored(id=req.record_id, zone=zone))

    async def _change_zone(
        self, req: OperatorRequest, record: ZoneEvacuated | ZoneRestored
    ) -> Reply:
        match decode_body(req.body, ZoneRequest):
            case Err(problem):
                return Err(problem)
        faults = check_zone(self._publisher.tables, record.zone)
        if faults and not self._publisher.was_folded(record.id):
            return Err(not_found(faults[0].message))
        return await self._publisher.publish(record)

    async def wave(self, req: OperatorRequest) -> Reply:
        """Start, pause, resume or cancel a maintenance wave."""
        match decode_body(req.body, WaveRequest):
            case Err(problem):
                return Err(problem)
            case Ok(body):
                return await self._change_wave(req, body)

    async def _change_wave(self, req: OperatorRequest, body: WaveRequest) -> Reply:
        wave = WaveId(req.path["wave"])
        if not is_name(wave):
            return Err(
                bad_parameter("wave", ["a valid name, by the rules for names of pools"])
            )
        exists = wave in self._publisher.tables.waves
        starts = body.action is WaveAction.START
        if not self._publisher.was_folded(req.record_id) and starts == exists:
            if not exists:
                return Err(not_found(f"wave {wave} does not exist; start it first"))
            return Err(
                conflict(
                    f"wave {wave} already exists; start a new wave under another name"
                )
            )
        record = WaveChange(
            id=req.record_id,
            wave=wave,
            operator=req.operator,
            state=_WAVE_STATES[body.action],
            pools=body.pools,
        )
        return await self._publisher.publish(record)

    async def claims(self, req: OperatorRequest) -> Reply:
        """List claimed requests."""
        state = req.query.get("state")
        states = [each.value for each in ClaimState]
        if state is not None and state not in states:
            return Err(bad_parameter("state", states))
        wanted = ClaimState(state) if state else None
        return Ok(ClaimsAnswer(claim_views(self._publisher.tables, wanted)))

    async def settle(self, req: OperatorRequest) -> Reply:
        """Settle a claim whose outcome is unknown."""
        match decode_body(req.body, SettleRequest):
            case Err(problem):
                return Err(problem)
            case Ok(body):
                return await self._settle(req, body)

    async def _settle(self, req: OperatorRequest, body: SettleRequest) -> Reply:
        claim = ClaimId(req.path["claim"])
        row = self._publisher.tables.claims.get(claim)
        if row is None:
            return Err(not_found(f"claim {claim} does not exist"))
        if body.kind is OutcomeKind.UNKNOWN:
            return Err(bad_parameter("kind", ["done", "not_run"]))
        unknown = row.outcome is not None and row.outcome.kind is OutcomeKind.UNKNOWN
        if not unknown and not self._publisher.was_folded(req.record_id):
            return Err(conflict(f"the outcome of claim {claim} is not unknown"))
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
        return await self._publisher.publish(record)


def _move_record(
    req: OperatorRequest, body: MoveRequest, row: VmRow
) -> VmStep | VmMoved:
    revision = _base_revision(body, row)
    if row.state is VmState.ACTIVE:
        return VmStep(
            id=req.record_id,
            vm=row.vm,
            revision=revision,
            state=VmState.LEAVING,
            target=body.pool,
        )
    return VmMoved(id=req.record_id, vm=row.vm, revision=revision, pool=body.pool)


def _base_revision(body: VmRequest | MoveRequest, row: VmRow) -> Revision:
    return row.revision if body.revision is None else body.revision
