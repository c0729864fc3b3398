"""The replicated tables, which every node builds by folding the log."""

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
    """Whether a node may still be running."""

    LIVE = "live"
    GONE = "gone"


class ObjectRow(msgspec.Struct):
    """A configuration object and the revision of its last change."""

    obj: ConfigObject
    revision: Revision


class NodeRow(msgspec.Struct):
    """One incarnation of a node.

    :param api: address of the operators' and callers' API, as ``host:port``.
    :param peer: address for messages of other nodes, as ``host:port``.
    """

    node: NodeId
    incarnation: Incarnation
    api: str
    peer: str
    zone: Zone
    state: NodeState = NodeState.LIVE


class VmRow(msgspec.Struct):
    """The pool and the maintenance state of a VM.

    :param target: the pool that the VM joins once drained, if it moves.
    :param boot: the boot id of the worker before the reboot was requested.
    :param reboots: number of reboots since the VM left service.
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
        """Whether the VM is healthy and not taken out of service."""
        return self.healthy and self.state is VmState.ACTIVE


class WaveRow(msgspec.Struct):
    """A maintenance wave and the VMs whose maintenance is done."""

    wave: WaveId
    pools: tuple[PoolId, ...]
    state: WaveState
    done: list[VmId] = msgspec.field(default_factory=list)


class ClaimRow(msgspec.Struct):
    """A claimed request, its last dispatch and its outcome.

    :param reopened: whether the claim was settled as not run and then claimed
        again, so that the next attempt needs no proof.
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
    """The replicated state, equal on all nodes that have folded to one offset.

    :param sequence: number of records folded.
    :param next_offset: the log offset to fold next.
    :param revision: the sequence number of the last accepted edit set.
    :param units: the units of each team that each incarnation holds.
    :param recent: sequence numbers of the records folded last, by id, oldest
        first.
    :param evacuated_zones: the evacuated availability zones, each with the sequence
        number of the record that evacuated it. ``UNSET`` while there is none, so that
        the encoding and its digest are the same as before the field existed.
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
    evacuated_zones: dict[Zone, Revision] | msgspec.UnsetType = msgspec.UNSET

    def find(self, ref: Ref) -> ObjectRow | None:
        """Return the row of ``ref``, or ``None`` if there is no such object."""
        return self.objects[ref.kind].get(ref.name)

    def limit_of(self, team: TeamId) -> int:
        """Return the limit of ``team`` in units; 0 for a team without a limit."""
        row = self.objects[Kind.LIMIT].get(team)
        return row.obj.units if row and isinstance(row.obj, Limit) else 0

    def endpoint_of(self, vm: VmId) -> Endpoint | None:
        """Return the endpoint on ``vm``, or ``None`` if there is none."""
        row = self.objects[Kind.ENDPOINT].get(vm)
        return row.obj if row and isinstance(row.obj, Endpoint) else None

    def is_evacuated(self, vm: VmId) -> bool:
        """Return whether the availability zone of ``vm`` is evacuated."""
        if not self.evacuated_zones:
            return False
        endpoint = self.endpoint_of(vm)
        return endpoint is not None and endpoint.zone in self.evacuated_zones

    def takes_work(self, row: VmRow) -> bool:
        """Return whether a VM is in service in a zone that is not evacuated."""
        return row.in_service and not self.is_evacuated(row.vm)

    @property
    def vm_index(self) -> VmIndex:
        """The index of the VMs by pool, derived from ``vms`` and never encoded."""
        index = self.__dict__.get("_vm_index")
        if index is None or index.size != len(self.vms):
            index = VmIndex(self.vms.values(), self.sequence)
            self.__dict__["_vm_index"] = index
        return index

    def members(self, pool: PoolId) -> list[VmRow]:
        """Return the VMs of ``pool``, in no particular order."""
        return self.vm_index.members(pool)

    def add_vm(self, row: VmRow) -> None:
        """Add a new VM."""
        index = self.vm_index
        self.vms[row.vm] = row
        index.add(row, self.sequence)

    def remove_vm(self, vm: VmId) -> None:
        """Remove a VM, if it exists."""
        index = self.vm_index
        row = self.vms.pop(vm, None)
        if row is not None:
            index.remove(row, self.sequence)

    def live_nodes(self) -> list[NodeRow]:
        """Return the rows of the incarnations that may still be running."""
        return [row for row in self.nodes.values() if row.state is NodeState.LIVE]

    def is_live(self, incarnation: Incarnation) -> bool:
        """Return whether ``incarnation`` has joined and is not known to be gone."""
        row = self.nodes.get(incarnation)
        return row is not None and row.state is NodeState.LIVE

    def digest(self) -> str:
        """Return the SHA-256 of the encoded tables, in hexadecimal."""
        return hashlib.sha256(encode_tables(self)).hexdigest()


_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(Tables)


def encode_tables(tables: Tables) -> bytes:
    """Return the tables as bytes, equal for tables folded from equal records.

    The encoding is deterministic because the rows are kept in the order in which
    they were folded, never in hash order, and decoding preserves that order.
    """
    return _ENCODER.encode(tables)


def decode_tables(data: bytes) -> Tables:
    """Return the tables that ``encode_tables`` encoded.

    :raises msgspec.DecodeError: if the data is damaged.
    """
    return _DECODER.decode(data)
