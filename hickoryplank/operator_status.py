"""Status messages of the operator HTTP API."""

from collections import Counter
from collections.abc import Sequence
from enum import Enum

import msgspec

from hickoryplank.core.ids import (
    ClaimId,
    Incarnation,
    NodeId,
    PoolId,
    QueueId,
    Rack,
    Revision,
    TeamId,
    VmId,
    WaveId,
    Zone,
)
from hickoryplank.core.records import VmState, WaveState
from hickoryplank.core.tables import NodeState
from hickoryplank.operator_api import Published

__all__ = [
    "ClaimState",
    "ClaimView",
    "ClaimsAnswer",
    "NodeView",
    "PoolReport",
    "PoolView",
    "ReportAnswer",
    "StatusAnswer",
    "TeamReport",
    "TeamView",
    "VmView",
    "WaveReport",
    "WaveView",
    "ZoneView",
    "ZonesAnswer",
    "merge_reports",
    "merge_zones",
]


class ClaimState(Enum):
    """State of a claimed request."""

    OPEN = "open"
    DONE = "done"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


class NodeView(msgspec.Struct, frozen=True):
    """One incarnation of a node.

    :param api: address of its HTTP API, as ``host:port``.
    """

    node: NodeId
    incarnation: Incarnation
    api: str
    zone: Zone
    state: NodeState


class PoolView(msgspec.Struct, frozen=True, kw_only=True):
    """VMs of a pool and its availability budget.

    :param spare: whether the pool is the buffer that other pools draw on.
    :param min_available: VMs that maintenance must leave in service.
    """

    pool: PoolId
    spare: bool
    vms: int
    in_service: int
    min_available: int


class VmView(msgspec.Struct, frozen=True, kw_only=True):
    """A VM that is not in service.

    :param wave: maintenance wave that the VM takes part in.
    :param target: destination pool of a VM that is being moved.
    """

    vm: VmId
    pool: PoolId
    zone: Zone | None
    rack: Rack | None
    state: VmState
    healthy: bool
    revision: Revision
    wave: WaveId | None
    target: PoolId | None


class WaveView(msgspec.Struct, frozen=True):
    """State of a maintenance wave.

    :param done: VMs that have completed maintenance.
    """

    wave: WaveId
    pools: tuple[PoolId, ...]
    state: WaveState
    done: int


class TeamView(msgspec.Struct, frozen=True, kw_only=True):
    """Share and limit of a team.

    :param held: units of the limit that nodes hold.
    :param free: units that no node holds.
    """

    team: TeamId
    percent: float
    limit: int
    held: int
    free: int


class StatusAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """State of the fleet as one node has folded it.

    :param unknown_claims: number of claims whose outcome an operator has to settle.
    :param published: accepted records that some nodes may not have folded yet.
    """

    revision: Revision
    offset: int
    nodes: tuple[NodeView, ...]
    pools: tuple[PoolView, ...]
    out_of_service: tuple[VmView, ...]
    waves: tuple[WaveView, ...]
    teams: tuple[TeamView, ...]
    unknown_claims: int
    published: tuple[Published, ...]


class ClaimView(msgspec.Struct, frozen=True, kw_only=True):
    """State of a claimed request.

    :param holder: incarnation of the node that runs the request.
    :param expires: time after which the claim may be forgotten, in seconds since the
        epoch.
    """

    claim: ClaimId
    team: TeamId
    queue: QueueId
    state: ClaimState
    holder: Incarnation
    attempt: int
    vm: VmId | None
    expires: float
    detail: str


class ClaimsAnswer(msgspec.Struct, frozen=True):
    """Claimed requests in log order."""

    claims: tuple[ClaimView, ...]


class PoolReport(msgspec.Struct, frozen=True, kw_only=True):
    """Metrics of a pool.

    :param buffer_vm_hours: idle VM-hours of a spare pool, counted while the node
        owned the pool.
    :param moves_in: number of VMs moved into the pool.
    """

    pool: PoolId
    buffer_vm_hours: float
    moves_in: int


class WaveReport(msgspec.Struct, frozen=True, kw_only=True):
    """Progress of a maintenance wave.

    :param done: VMs that have completed maintenance.
    :param vms: VMs that the wave covers.
    :param seconds: duration up to now, or in total once the wave has ended; ``None``
        if the node joined after the start.
    """

    wave: WaveId
    state: WaveState
    done: int
    vms: int
    seconds: float | None


class TeamReport(msgspec.Struct, frozen=True, kw_only=True):
    """Running work of a team in the pools that a node owns.

    :param running: running tasks.
    :param distance: units above the team's share, negative if below, averaged over
        the last seconds.
    """

    team: TeamId
    running: int
    distance: float


class ReportAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """Metrics of the scheduling and maintenance policies, as one node counted them.

    :param since: start of the node, in seconds since the epoch.
    """

    since: float
    pools: tuple[PoolReport, ...]
    waves: tuple[WaveReport, ...]
    teams: tuple[TeamReport, ...]


def merge_reports(reports: Sequence[ReportAnswer]) -> ReportAnswer:
    """Merge the reports of all nodes into one report of the fleet.

    Buffer hours and running work are summed, because each node counts only the pools
    that it owns. Moves and waves are counted by every node, so they are taken from
    the node that has run longest.

    :param reports: at least one report.
    """
    oldest = min(reports, key=lambda report: report.since)
    hours: Counter[PoolId] = Counter()
    running: Counter[TeamId] = Counter()
    distance: Counter[TeamId] = Counter()
    for report in reports:
        hours.update({one.pool: one.buffer_vm_hours for one in report.pools})
        running.update({one.team: one.running for one in report.teams})
        distance.update({one.team: one.distance for one in report.teams})
    return ReportAnswer(
        since=oldest.since,
        pools=tuple(
            msgspec.structs.replace(one, buffer_vm_hours=hours[one.pool])
            for one in oldest.pools
        ),
        waves=oldest.waves,
        teams=tuple(
            TeamReport(
                team=one.team, running=running[one.team], distance=distance[one.team]
            )
            for one in oldest.teams
        ),
    )


class ZoneView(msgspec.Struct, frozen=True, kw_only=True):
    """An availability zone.

    :param vms: number of VMs in the zone.
    :param running: number of tasks that the node runs on VMs of the zone.
    """

    zone: Zone
    vms: int
    running: int
    evacuated: bool


class ZonesAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """Availability zones as one node has folded them.

    :param offset: next log offset that the node will fold.
    :param nodes: number of live nodes.
    :param counted: number of nodes whose running tasks are counted.
    """

    offset: int
    nodes: int
    counted: int
    zones: tuple[ZoneView, ...]


def merge_zones(answers: Sequence[ZonesAnswer]) -> ZonesAnswer:
    """Merge the answers of all nodes into one answer of the fleet.

    Running tasks are summed, because each node counts only its own. All else is
    taken from the node that has folded most of the log.

    :param answers: at least one answer.
    """
    newest = max(answers, key=lambda answer: answer.offset)
    running: Counter[Zone] = Counter()
    for answer in answers:
        running.update({view.zone: view.running for view in answer.zones})
    return msgspec.structs.replace(
        newest,
        counted=sum(answer.counted for answer in answers),
        zones=tuple(
            msgspec.structs.replace(view, running=running[view.zone])
            for view in newest.zones
        ),
    )
