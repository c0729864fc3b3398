"""Records of the platform's log that all nodes fold in the same order."""

from enum import Enum

import msgspec

from hickoryplank.core.ids import (
    ClaimId,
    Incarnation,
    NodeId,
    OperatorId,
    PoolId,
    QueueId,
    RecordId,
    Revision,
    TeamId,
    VmId,
    WaveId,
    Zone,
)
from hickoryplank.core.objects import ConfigObject, Ref

__all__ = [
    "BaseRevision",
    "Claim",
    "ClaimsForgotten",
    "Delete",
    "Dispatch",
    "EditSet",
    "Evidence",
    "Logged",
    "NodeGone",
    "NodeJoined",
    "NodeLeft",
    "NodeReclaimed",
    "Outcome",
    "OutcomeKind",
    "Proof",
    "Put",
    "Record",
    "UnitsMoved",
    "UnitsReturned",
    "UnitsTaken",
    "VmMoved",
    "VmReport",
    "VmState",
    "VmStep",
    "WaveChange",
    "WaveState",
    "decode_batch",
    "encode_batch",
]


class VmState(Enum):
    """Where a VM stands in its maintenance."""

    ACTIVE = "active"
    LEAVING = "leaving"
    DRAINED = "drained"
    REBOOTING = "rebooting"
    PROBING = "probing"


class WaveState(Enum):
    """What a maintenance wave is doing."""

    RUNNING = "running"
    PAUSED = "paused"
    CANCELLED = "cancelled"
    DONE = "done"


class Evidence(Enum):
    """Why a node is known to be gone."""

    VM_GONE = "vm_gone"
    SUPERSEDED = "superseded"


class OutcomeKind(Enum):
    """What is known about the end of a non-idempotent request."""

    DONE = "done"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


class Proof(Enum):
    """Why one more attempt does no harm.

    ``REFUSED`` holds only for an attempt that was sent once, and never ran. The
    refusal of a start that was sent again says nothing of the first sending.

    ``START_MISSED`` holds only for a worker that is still in the boot that the
    dispatch named, has never seen the task and whose clock is past ``start_by``.

    After ``CHECKPOINTED`` the next attempt goes on where the earlier one stopped;
    ``IDEMPOTENT`` work may run twice.
    """

    REFUSED = "refused"
    START_MISSED = "start_missed"
    CHECKPOINTED = "checkpointed"
    IDEMPOTENT = "idempotent"


class Put(msgspec.Struct, frozen=True, tag="put"):
    """Create or replace one object."""

    obj: ConfigObject


class Delete(msgspec.Struct, frozen=True, tag="delete"):
    """Remove one object."""

    ref: Ref


class BaseRevision(msgspec.Struct, frozen=True):
    """The revision at which an edit's author read an object; 0 for absent."""

    ref: Ref
    revision: Revision


class Logged(msgspec.Struct, frozen=True, kw_only=True):
    """What all records have.

    :param id: the same in each append of the record; only the first one counts.
    :param since: the sequence number up to which the author had folded when it
        made the record. A record that lands so late that the fold may have
        forgotten its id is refused. ``None`` only where a repeated record is
        harmless at any time.
    """

    id: RecordId
    since: Revision | None = None


class EditSet(Logged, frozen=True, tag="edit_set", kw_only=True):
    """A set of edits that is accepted whole or refused whole.

    :param author: the incarnation that appends the set. A set that lands after
        its author is gone is refused, for nobody could ask the author about it.
        ``None`` only in sets that no node appends while others serve.
    """

    operator: OperatorId
    base: tuple[BaseRevision, ...]
    edits: tuple[Put | Delete, ...]
    at: float = 0.0
    author: Incarnation | None = None


class NodeJoined(Logged, frozen=True, tag="node_joined", kw_only=True):
    """A process starts; its incarnation is the sequence number of this record."""

    node: NodeId
    api: str
    peer: str
    zone: Zone


class NodeLeft(Logged, frozen=True, tag="node_left", kw_only=True):
    """A process ends in good order: it runs nothing and holds no units."""

    node: NodeId
    incarnation: Incarnation


class NodeGone(Logged, frozen=True, tag="node_gone", kw_only=True):
    """A process is proved gone; its units come back once its leases lapse."""

    node: NodeId
    incarnation: Incarnation
    evidence: Evidence


class NodeReclaimed(Logged, frozen=True, tag="node_reclaimed", kw_only=True):
    """The leases of a gone process have lapsed; its units are free again."""

    node: NodeId
    incarnation: Incarnation


class UnitsTaken(Logged, frozen=True, tag="units_taken", kw_only=True):
    """A node asks for unassigned units; it gets what is left, up to ``units``."""

    team: TeamId
    holder: Incarnation
    units: int


class UnitsMoved(Logged, frozen=True, tag="units_moved", kw_only=True):
    """A node, which has lowered its own count, gives units to another."""

    team: TeamId
    giver: Incarnation
    receiver: Incarnation
    units: int


class UnitsReturned(Logged, frozen=True, tag="units_returned", kw_only=True):
    """A node, which has lowered its own count, gives units back to nobody."""

    team: TeamId
    holder: Incarnation
    units: int


class Claim(Logged, frozen=True, tag="claim", kw_only=True):
    """A node claims a non-idempotent request; the first claim in the log wins.

    :param request: digest of the request, so that one idempotency key cannot
        stand for two different requests.
    :param durable: whether the request was accepted for good; another node then
        runs it from ``body`` if its holder goes before it is dispatched.
    :param expires: when the claim may be forgotten, in seconds since the epoch.
    """

    claim: ClaimId
    team: TeamId
    queue: QueueId
    holder: Incarnation
    request: str
    expires: float
    durable: bool = False
    content_type: str = ""
    body: bytes = b""


class ClaimsForgotten(Logged, frozen=True, tag="claims_forgotten", kw_only=True):
    """Settled claims that expired before ``before`` leave the table."""

    before: float


class Dispatch(Logged, frozen=True, tag="dispatch", kw_only=True):
    """The holder of a claim is about to send attempt ``attempt`` to a worker.

    :param boot: the worker's boot id, as it last reported it.
    :param start_by: the worker's own clock reading, in seconds, after which it
        refuses to start the attempt.
    :param proof: why the attempt before this one did not run; needed from the
        second attempt on.
    """

    claim: ClaimId
    holder: Incarnation
    attempt: int
    vm: VmId
    boot: str
    start_by: float
    proof: Proof | None = None


class Outcome(Logged, frozen=True, tag="outcome", kw_only=True):
    """The end of a claimed request, with the whole answer where there is one.

    :param holder: the holder of the claim; ``None`` when an operator settles it.
    """

    claim: ClaimId
    holder: Incarnation | None
    kind: OutcomeKind
    status: int = 0
    content_type: str = ""
    body: bytes = b""
    detail: str = ""


class VmStep(Logged, frozen=True, tag="vm_step", kw_only=True):
    """One planned step of a VM's maintenance or move.

    :param revision: the revision of the VM's row that the proposer read.
    :param wave: the maintenance wave that the step belongs to, if any.
    :param target: for a VM that leaves to change pools, the pool that it joins.
    :param boot: for a reboot, the boot id that the worker reported last.
    """

    vm: VmId
    revision: Revision
    state: VmState
    wave: WaveId | None = None
    target: PoolId | None = None
    boot: str = ""


class VmMoved(Logged, frozen=True, tag="vm_moved", kw_only=True):
    """A drained VM changes its pool."""

    vm: VmId
    revision: Revision
    pool: PoolId


class VmReport(Logged, frozen=True, tag="vm_report", kw_only=True):
    """Evidence that a VM has failed without a plan, or is healthy again."""

    vm: VmId
    healthy: bool


class WaveChange(Logged, frozen=True, tag="wave_change", kw_only=True):
    """An operator starts, pauses, resumes or cancels a maintenance wave.

    :param pools: pools that a new wave goes through; ignored afterwards.
    """

    wave: WaveId
    operator: OperatorId
    state: WaveState
    pools: tuple[PoolId, ...] = ()


Record = (
    EditSet
    | NodeJoined
    | NodeLeft
    | NodeGone
    | NodeReclaimed
    | UnitsTaken
    | UnitsMoved
    | UnitsReturned
    | Claim
    | ClaimsForgotten
    | Dispatch
    | Outcome
    | VmStep
    | VmMoved
    | VmReport
    | WaveChange
)

_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(tuple[Record, ...])


def encode_batch(records: tuple[Record, ...]) -> bytes:
    """Return the payload of one append that carries ``records`` in order."""
    return _ENCODER.encode(records)


def decode_batch(data: bytes) -> tuple[Record, ...]:
    """Return the records of one append.

    :raises msgspec.DecodeError: the payload is damaged or not ours.
    """
    return _DECODER.decode(data)
