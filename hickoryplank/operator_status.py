"""Messages of the operator HTTP API that show the state of the fleet."""

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
    "merge_reports",
]


class ClaimState(Enum):
    """Where a claimed request stands."""

    OPEN = "open"
    DONE = "done"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


class NodeView(msgspec.Struct, frozen=True):
    """One incarnation of a node."""

    node: NodeId
    incarnation: Incarnation
    api: str
    zone: Zone
    state: NodeState


class PoolView(msgspec.Struct, frozen=True, kw_only=True):
    """A pool's VMs against its availability budget."""

    pool: PoolId
    spare: bool
    vms: int
    in_service: int
    min_available: int


class VmView(msgspec.Struct, frozen=True, kw_only=True):
    """A VM that is not in service.

    :param target: the pool that it joins once drained, if it is on a move.
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
    """A maintenance wave."""

    wave: WaveId
    pools: tuple[PoolId, ...]
    state: WaveState
    done: int


class TeamView(msgspec.Struct, frozen=True, kw_only=True):
    """A team's share, limit and the units that nodes hold of the limit."""

    team: TeamId
    percent: float
    limit: int
    held: int
    free: int


class StatusAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """The fleet as one node has folded it.

    :param unknown_claims: claims whose outcome an operator has to settle.
    :param published: accepted records that some node may not have folded yet.
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
    """A claimed request without its body."""

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
    """Claims in the order of the log."""

    claims: tuple[ClaimView, ...]


class PoolReport(msgspec.Struct, frozen=True, kw_only=True):
    """A pool's measures.

    :param buffer_vm_hours: VM-hours that VMs of a spare pool stood idle while
        the node served the pool.
    :param moves_in: VMs that moved into the pool.
    """

    pool: PoolId
    buffer_vm_hours: float
    moves_in: int


class WaveReport(msgspec.Struct, frozen=True, kw_only=True):
    """How far a maintenance wave has come.

    :param vms: VMs that the wave goes through.
    :param seconds: time under way, ``None`` if the node joined after the start.
    """

    wave: WaveId
    state: WaveState
    done: int
    vms: int
    seconds: float | None


class TeamReport(msgspec.Struct, frozen=True, kw_only=True):
    """What a team has running on the node's pools.

    :param distance: units above its share, or below it if negative, averaged
        over the last seconds.
    """

    team: TeamId
    running: int
    distance: float


class ReportAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """The measures of the policies, as one node has added them up.

    :param since: when the node began, in seconds since the epoch.
    """

    since: float
    pools: tuple[PoolReport, ...]
    waves: tuple[WaveReport, ...]
    teams: tuple[TeamReport, ...]


def merge_reports(reports: Sequence[ReportAnswer]) -> ReportAnswer:
    """Return one report for the fleet; there must be at least one.

    Each node adds up the buffer and the running work of the pools that it serves.
    Moves and waves are seen by all nodes, and by the oldest one the longest.
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
