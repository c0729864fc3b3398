"""Operators' views of the tables: plans, objects, claims, zones and status."""

from collections import Counter
from collections.abc import Mapping

from msgspec.structs import asdict

from hickoryplank.core.ids import PoolId, TeamId, VmId, Zone
from hickoryplank.core.objects import ConfigObject, Kind, Pool, Ref, Share, ref_of
from hickoryplank.core.records import Delete, Put
from hickoryplank.core.tables import ClaimRow, Tables, VmRow
from hickoryplank.core.units import free_units
from hickoryplank.core.vms import budget_of, in_service
from hickoryplank.core.zones import known_zones
from hickoryplank.ini_values import format_value
from hickoryplank.operator_api import (
    Change,
    ChangeKind,
    FieldChange,
    ObjectView,
    Published,
)
from hickoryplank.operator_status import (
    ClaimState,
    ClaimView,
    NodeView,
    PoolView,
    StatusAnswer,
    TeamView,
    VmView,
    WaveView,
    ZonesAnswer,
    ZoneView,
)

__all__ = [
    "claim_views",
    "fleet_status",
    "object_views",
    "plan_changes",
    "zone_views",
]


def plan_changes(tables: Tables, edits: tuple[Put | Delete, ...]) -> tuple[Change, ...]:
    """Return the changes that ``edits`` would make, by object."""
    return tuple(_change(tables, edit) for edit in edits)


def _change(tables: Tables, edit: Put | Delete) -> Change:
    match edit:
        case Put(obj):
            ref, new = ref_of(obj), _field_values(obj)
        case Delete(target):
            ref, new = target, {}
    row = tables.find(ref)
    old = _field_values(row.obj) if row else {}
    fields = tuple(
        FieldChange(key, old.get(key), new.get(key))
        for key in dict.fromkeys((*old, *new))
        if old.get(key) != new.get(key)
    )
    return Change(ref, _change_kind(edit, row is not None, fields), fields)


def _change_kind(
    edit: Put | Delete, exists: bool, fields: tuple[FieldChange, ...]
) -> ChangeKind:
    if isinstance(edit, Delete):
        return ChangeKind.DELETE
    if not exists:
        return ChangeKind.CREATE
    return ChangeKind.REPLACE if fields else ChangeKind.NONE


def _field_values(obj: ConfigObject) -> dict[str, str]:
    return {
        key: format_value(value)
        for key, value in asdict(obj).items()
        if key != "name" and value is not None and value != ()
    }


def object_views(
    tables: Tables, kind: Kind | None, name: str | None
) -> tuple[ObjectView, ...]:
    """Return the objects in force, of one kind or name if given."""
    return tuple(
        ObjectView(row.obj, row.revision)
        for each in Kind
        if kind in (None, each)
        for row in tables.objects[each].values()
        if name in (None, row.obj.name)
    )


def claim_state(row: ClaimRow) -> ClaimState:
    """Return the state of a claim."""
    return ClaimState(row.outcome.kind.value) if row.outcome else ClaimState.OPEN


def claim_views(tables: Tables, state: ClaimState | None) -> tuple[ClaimView, ...]:
    """Return the claims in ``state``, or all claims if it is ``None``."""
    return tuple(
        _claim_view(row)
        for row in tables.claims.values()
        if state in (None, claim_state(row))
    )


def _claim_view(row: ClaimRow) -> ClaimView:
    return ClaimView(
        claim=row.claim,
        team=row.team,
        queue=row.queue,
        state=claim_state(row),
        holder=row.holder,
        attempt=row.attempt,
        vm=row.vm,
        expires=row.expires,
        detail=row.outcome.detail if row.outcome else "",
    )


def fleet_status(tables: Tables, published: tuple[Published, ...]) -> StatusAnswer:
    """Return the status of the fleet according to the tables.

    :param published: accepted records that some node may not have folded yet.
    """
    return StatusAnswer(
        revision=tables.revision,
        offset=tables.next_offset,
        nodes=tuple(
            NodeView(row.node, row.incarnation, row.api, row.zone, row.state)
            for row in tables.nodes.values()
        ),
        pools=tuple(_pool_view(tables, name) for name in tables.objects[Kind.POOL]),
        out_of_service=tuple(
            _vm_view(tables, row)
            for row in tables.vms.values()
            if not tables.takes_work(row)
        ),
        waves=tuple(
            WaveView(row.wave, row.pools, row.state, len(row.done))
            for row in tables.waves.values()
        ),
        teams=tuple(_team_view(tables, name) for name in tables.objects[Kind.TEAM]),
        unknown_claims=len(claim_views(tables, ClaimState.UNKNOWN)),
        published=published,
    )


def _pool_view(tables: Tables, name: str) -> PoolView:
    pool = PoolId(name)
    obj = tables.objects[Kind.POOL][name].obj
    return PoolView(
        pool=pool,
        spare=isinstance(obj, Pool) and obj.spare,
        vms=len(tables.members(pool)),
        in_service=in_service(tables, pool),
        min_available=budget_of(tables, pool),
    )


def _vm_view(tables: Tables, row: VmRow) -> VmView:
    endpoint = tables.endpoint_of(row.vm)
    return VmView(
        vm=row.vm,
        pool=row.pool,
        zone=endpoint.zone if endpoint else None,
        rack=endpoint.rack if endpoint else None,
        state=row.state,
        healthy=row.healthy,
        revision=row.revision,
        wave=row.wave,
        target=row.target,
    )


def _team_view(tables: Tables, name: str) -> TeamView:
    team = TeamId(name)
    share = tables.find(Ref(Kind.SHARE, name))
    percent = share.obj.percent if share and isinstance(share.obj, Share) else 0.0
    return TeamView(
        team=team,
        percent=percent,
        limit=tables.limit_of(team),
        held=sum(tables.units.get(team, {}).values()),
        free=free_units(tables, team),
    )


def zone_views(tables: Tables, tasks_by_vm: Mapping[VmId, int]) -> ZonesAnswer:
    """Return the availability zones, by name.

    :param tasks_by_vm: number of tasks that this node runs, by VM.
    """
    vms: Counter[Zone] = Counter()
    running: Counter[Zone] = Counter()
    for vm in tables.vms:
        endpoint = tables.endpoint_of(vm)
        if endpoint is not None:
            vms[endpoint.zone] += 1
            running[endpoint.zone] += tasks_by_vm.get(vm, 0)
    return ZonesAnswer(
        offset=tables.next_offset,
        nodes=len(tables.live_nodes()),
        counted=1,
        zones=tuple(
            ZoneView(
                zone=zone,
                vms=vms[zone],
                running=running[zone],
                evacuated=zone in (tables.evacuated_zones or ()),
            )
            for zone in known_zones(tables)
        ),
    )
