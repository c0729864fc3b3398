"""Tables that the fold of the log builds, the same on every node."""

import hashlib
from enum import Enum

import msgspec

from hickoryplank.core.ids import (
    ClaimId,
    Incarnation,
    NodeId,
    PoolId,
    QueueId,
    RecordId,
    Revision,
    TeamId,
    VmId,
    WaveId,
    Zone,
)
from hickoryplank.core.objects import ConfigObject, Endpoint, Kind, Limit, Ref
from hickoryplank.core.records import Outcome, VmState, WaveState
from hickoryplank.core.vmindex import VmIndex

__all__ = [
    "ClaimRow",
    "NodeRow",
    "NodeState",
    "ObjectRow",
    "Tables",
    "VmRow",
    "WaveRow",
    "decode_tables",
    "encode_tables",
]


class NodeState(Enum):
    """Whether a process of ours may still run."""

    LIVE = "live"
    GONE = "gone"


class ObjectRow(msgspec.Struct):
    """A configuration object and the revision that last changed it."""

    obj: ConfigObject
    revision: Revision


class NodeRow(msgspec.Struct):
    """One incarnation of a node."""

    node: NodeId
    incarnation: Incarnation
    api: str
    peer: str
    zone: Zone
    state: NodeState = NodeState.LIVE


class VmRow(msgspec.Struct):
    """The pool and the maintenance state of a VM.

    :param target: the pool that the VM joins once drained, if it is on a move.
    :param boot: the worker's boot id before the reboot that was asked for.
    :param reboots: reboots since the VM left service.
    """

    vm: VmId
    pool: PoolId
    state: VmState
    healthy: bool
    revision: Revision
    wave: WaveId | None = None
    target: PoolId | None = None
    boot: str = ""
    reboots: int = 0

    @property
    def in_service(self) -> bool:
        """Whether the VM counts as available for its pool's budget."""
        return self.healthy and self.state is VmState.ACTIVE


class WaveRow(msgspec.Struct):
    """A maintenance wave and the VMs that it has finished."""

    wave: WaveId
    pools: tuple[PoolId, ...]
    state: WaveState
    done: list[VmId] = msgspec.field(default_factory=list)


class ClaimRow(msgspec.Struct):
    """A claimed request, its last dispatch and its outcome.

    :param reopened: whether the last attempt was settled as not run.
    """

    claim: ClaimId
    team: TeamId
    queue: QueueId
    holder: Incarnation
    request: str
    expires: float
    durable: bool
    content_type: str
    body: bytes
    attempt: int = 0
    reopened: bool = False
    vm: VmId | None = None
    boot: str = ""
    start_by: float = 0.0
    outcome: Outcome | None = None


class Tables(msgspec.Struct, dict=True):
    """Everything that nodes must agree on.

    :param sequence: how many records have been folded.
    :param next_offset: the log offset to read next.
    :param revision: the sequence number of the last accepted edit set.
    :param recent: ids of the records folded last, oldest first.
    """

    sequence: int = 0
    next_offset: int = 0
    revision: Revision = Revision(0)
    objects: dict[Kind, dict[str, ObjectRow]] = msgspec.field(
        default_factory=lambda: {kind: {} for kind in Kind}
    )
    nodes: dict[Incarnation, NodeRow] = msgspec.field(default_factory=dict)
    vms: dict[VmId, VmRow] = msgspec.field(default_factory=dict)
    waves: dict[WaveId, WaveRow] = msgspec.field(default_factory=dict)
    units: dict[TeamId, dict[Incarnation, int]] = msgspec.field(default_factory=dict)
    claims: dict[ClaimId, ClaimRow] = msgspec.field(default_factory=dict)
    recent: dict[RecordId, int] = msgspec.field(default_factory=dict)

    def find(self, ref: Ref) -> ObjectRow | None:
        """Return the row of ``ref``, or ``None`` where there is no such object."""
        return self.objects[ref.kind].get(ref.name)

    def limit_of(self, team: TeamId) -> int:
        """Return the upper limit of ``team``; a team without one may run nothing."""
        row = self.objects[Kind.LIMIT].get(team)
        return row.obj.units if row and isinstance(row.obj, Limit) else 0

    def endpoint_of(self, vm: VmId) -> Endpoint | None:
        """Return the endpoint on ``vm``."""
        row = self.objects[Kind.ENDPOINT].get(vm)
        return row.obj if row and isinstance(row.obj, Endpoint) else None

    @property
    def vm_index(self) -> VmIndex:
        """The VMs by pool; it follows from ``vms`` and is not encoded."""
        index = self.__dict__.get("_vm_index")
        if index is None or index.size != len(self.vms):
            index = VmIndex(self.vms.values(), self.sequence)
            self.__dict__["_vm_index"] = index
        return index

    def members(self, pool: PoolId) -> list[VmRow]:
        """Return the VMs of ``pool``, in no particular order."""
        return self.vm_index.members(pool)

    def add_vm(self, row: VmRow) -> None:
        """Take in a new VM."""
        index = self.vm_index
        self.vms[row.vm] = row
        index.add(row, self.sequence)

    def drop_vm(self, vm: VmId) -> None:
        """Forget a VM, if there is one."""
        index = self.vm_index
        row = self.vms.pop(vm, None)
        if row is not None:
            index.drop(row, self.sequence)

    def live_nodes(self) -> list[NodeRow]:
        """Return the incarnations that may still run."""
        return [row for row in self.nodes.values() if row.state is NodeState.LIVE]

    def is_live(self, incarnation: Incarnation) -> bool:
        """Return whether ``incarnation`` has joined and is not known to be gone."""
        row = self.nodes.get(incarnation)
        return row is not None and row.state is NodeState.LIVE

    def digest(self) -> str:
        """Return the SHA-256 of the tables, equal on nodes that agree."""
        return hashlib.sha256(encode_tables(self)).hexdigest()


_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(Tables)


def encode_tables(tables: Tables) -> bytes:
    """Return the tables as bytes, equal for tables folded from equal records.

    Nothing in the tables is ordered by hash: rows stand in the order in which
    they were folded, and decoding keeps it.
    """
    return _ENCODER.encode(tables)


def decode_tables(data: bytes) -> Tables:
    """Return the tables that ``encode_tables`` wrote.

    :raises msgspec.DecodeError: the data is damaged.
    """
    return _DECODER.decode(data)
