"""Records of the log, which all nodes fold in the same order."""

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
    "LogRecord",
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
    "ZoneEvacuated",
    "ZoneRestored",
    "decode_batch",
    "encode_batch",
]


class VmState(Enum):
    """State of a VM in its maintenance or move."""

    ACTIVE = "active"
    LEAVING = "leaving"
    DRAINED = "drained"
    REBOOTING = "rebooting"
    PROBING = "probing"


class WaveState(Enum):
    """State of a maintenance wave."""

    RUNNING = "running"
    PAUSED = "paused"
    CANCELLED = "cancelled"
    DONE = "done"


class Evidence(Enum):
    """Proof that a node is gone."""

    VM_GONE = "vm_gone"
    SUPERSEDED = "superseded"


class OutcomeKind(Enum):
    """How a non-idempotent request ended, as far as is known."""

    DONE = "done"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


class Proof(Enum):
    """Proof that a further attempt is safe.

    ``REFUSED`` is valid only if the start of the previous attempt was sent once.
    The refusal of a start that was sent twice does not show that the first one
    was refused as well.

    ``START_MISSED`` is valid only if the worker is still in the boot that the
    dispatch named, has never seen the task, and its clock is past ``start_by``.

    After ``CHECKPOINTED`` the next attempt resumes from the checkpoint;
    ``IDEMPOTENT`` work may run more than once.
    """

    REFUSED = "refused"
    START_MISSED = "start_missed"
    CHECKPOINTED = "checkpointed"
    IDEMPOTENT = "idempotent"


class Put(msgspec.Struct, frozen=True, tag="put"):
    """Create or replace a configuration object."""

    obj: ConfigObject


class Delete(msgspec.Struct, frozen=True, tag="delete"):
    """Delete a configuration object."""

    ref: Ref


class BaseRevision(msgspec.Struct, frozen=True):
    """The revision at which the author of an edit read an object; 0 if absent."""

    ref: Ref
    revision: Revision


class LogRecord(msgspec.Struct, frozen=True, kw_only=True):
    """Base of all records.

    :param id: identifies the record in repeated appends, of which only the first
        takes effect.
    :param since: the sequence number up to which the author had folded when it
        created the record. The fold refuses a record that is appended so late
        that it may no longer remember the id. ``None`` only for records whose
        repetition is always harmless.
    """

    id: RecordId
    since: Revision | None = None


class EditSet(LogRecord, frozen=True, tag="edit_set", kw_only=True):
    """A set of edits that is accepted or refused as a whole.

    :param at: when the set was created, in seconds since the epoch.
    :param author: the incarnation that appends the set. A set that is appended
        after its author is gone is refused, because other nodes can no longer
        ask the author whether an edit is pending. ``None`` only in sets that
        are appended while no node serves.
    """

    operator: OperatorId
    base: tuple[BaseRevision, ...]
    edits: tuple[Put | Delete, ...]
    at: float = 0.0
    author: Incarnation | None = None


class NodeJoined(LogRecord, frozen=True, tag="node_joined", kw_only=True):
    """A process joins; the sequence number of this record is its incarnation."""

    node: NodeId
    api: str
    peer: str
    zone: Zone


class NodeLeft(LogRecord, frozen=True, tag="node_left", kw_only=True):
    """A process shuts down gracefully; it runs no work and holds no units."""

    node: NodeId
    incarnation: Incarnation


class NodeGone(LogRecord, frozen=True, tag="node_gone", kw_only=True):
    """A process is proved gone; its units are reclaimed once its leases expire."""

    node: NodeId
    incarnation: Incarnation
    evidence: Evidence


class NodeReclaimed(LogRecord, frozen=True, tag="node_reclaimed", kw_only=True):
    """The leases of a gone process have expired; its units become free."""

    node: NodeId
    incarnation: Incarnation


class UnitsTaken(LogRecord, frozen=True, tag="units_taken", kw_only=True):
    """A node acquires free units: ``units`` of them, or as many as are free."""

    team: TeamId
    holder: Incarnation
    units: int


class UnitsMoved(LogRecord, frozen=True, tag="units_moved", kw_only=True):
    """A node gives units, which it has already stopped using, to another node."""

    team: TeamId
    giver: Incarnation
    receiver: Incarnation
    units: int


class UnitsReturned(LogRecord, frozen=True, tag="units_returned", kw_only=True):
    """A node frees units that it has already stopped using."""

    team: TeamId
    holder: Incarnation
    units: int


class Claim(LogRecord, frozen=True, tag="claim", kw_only=True):
    """A node claims a non-idempotent request; the first claim in the log wins.

    :param request: digest of the request, which detects an idempotency key that
        is reused for a different request.
    :param durable: whether the request was accepted durably; if its holder is
        gone before the first dispatch, another node runs it from ``body``.
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


class ClaimsForgotten(LogRecord, frozen=True, tag="claims_forgotten", kw_only=True):
    """Settled claims that expired before ``before`` are deleted.

    :param before: in seconds since the epoch.
    """

    before: float


class Dispatch(LogRecord, frozen=True, tag="dispatch", kw_only=True):
    """The holder of a claim is about to send attempt ``attempt`` to a worker.

    :param boot: the boot id that the worker reported last.
    :param start_by: reading of the worker's clock, in seconds, after which the
        worker refuses to start the attempt.
    :param proof: why a further attempt is safe; required from the second attempt
        on.
    """

    claim: ClaimId
    holder: Incarnation
    attempt: int
    vm: VmId
    boot: str
    start_by: float
    proof: Proof | None = None


class Outcome(LogRecord, frozen=True, tag="outcome", kw_only=True):
    """The outcome of a claimed request, with the complete answer if there is one.

    :param holder: the holder of the claim; ``None`` if an operator settles it.
    :param status: HTTP status of the answer.
    """

    claim: ClaimId
    holder: Incarnation | None
    kind: OutcomeKind
    status: int = 0
    content_type: str = ""
    body: bytes = b""
    detail: str = ""


class VmStep(LogRecord, frozen=True, tag="vm_step", kw_only=True):
    """A planned step of the maintenance or the move of a VM.

    :param revision: the revision of the VM row that the proposer read.
    :param wave: the maintenance wave that the step belongs to, if any.
    :param target: the pool that the VM is to join, if it leaves for a move.
    :param boot: for a reboot, the boot id that the worker reported last.
    """

    vm: VmId
    revision: Revision
    state: VmState
    wave: WaveId | None = None
    target: PoolId | None = None
    boot: str = ""


class VmMoved(LogRecord, frozen=True, tag="vm_moved", kw_only=True):
    """A drained VM moves to another pool.

    :param revision: the revision of the VM row that the proposer read.
    """

    vm: VmId
    revision: Revision
    pool: PoolId


class VmReport(LogRecord, frozen=True, tag="vm_report", kw_only=True):
    """A VM has failed outside of planned maintenance, or is healthy again."""

    vm: VmId
    healthy: bool


class WaveChange(LogRecord, frozen=True, tag="wave_change", kw_only=True):
    """An operator starts, pauses, resumes or cancels a maintenance wave.

    :param pools: the pools of a new wave; ignored in later changes.
    """

    wave: WaveId
    operator: OperatorId
    state: WaveState
    pools: tuple[PoolId, ...] = ()


class ZoneEvacuated(LogRecord, frozen=True, tag="zone_evacuated", kw_only=True):
    """An operator evacuates an availability zone: its VMs take no new work."""

    zone: Zone


class ZoneRestored(LogRecord, frozen=True, tag="zone_restored", kw_only=True):
    """An operator takes the evacuation of an availability zone back."""

    zone: Zone


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
    | ZoneEvacuated
    | ZoneRestored
)

_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(tuple[Record, ...])


def encode_batch(records: tuple[Record, ...]) -> bytes:
    """Return the payload of the log entry that carries ``records`` in order."""
    return _ENCODER.encode(records)


def decode_batch(data: bytes) -> tuple[Record, ...]:
    """Return the records of a log entry.

    :raises msgspec.DecodeError: if the payload is damaged or not a batch.
    """
    return _DECODER.decode(data)
