"""Messages of the operator HTTP API, shared by entries and clients."""

from enum import Enum

import msgspec

from hickoryplank.core.errors import Fault
from hickoryplank.core.ids import (
    NodeId,
    OperatorId,
    PoolId,
    RecordId,
    Revision,
)
from hickoryplank.core.objects import ConfigObject, Ref
from hickoryplank.core.records import (
    BaseRevision,
    Delete,
    OutcomeKind,
    Put,
)

__all__ = [
    "PREFIX",
    "Action",
    "Change",
    "ChangeKind",
    "EditRequest",
    "FieldChange",
    "HistoryAnswer",
    "HistoryEntry",
    "MoveRequest",
    "ObjectView",
    "ObjectsAnswer",
    "PlanAnswer",
    "PlanRequest",
    "Problem",
    "ProblemOutcome",
    "PublishState",
    "Published",
    "SettleRequest",
    "VmRequest",
    "WaveAction",
    "WaveRequest",
    "ZoneRequest",
]

PREFIX = "/operator/v1"


class PublishState(Enum):
    """Publication state of an accepted record.

    ``PUBLISHED``: in the log, but some nodes may not have folded it yet.
    ``IN_FORCE``: folded by every node that may still serve requests.
    """

    PUBLISHED = "published"
    IN_FORCE = "in_force"


class ChangeKind(Enum):
    """The effect of an edit on an object."""

    CREATE = "create"
    REPLACE = "replace"
    DELETE = "delete"
    NONE = "none"


class WaveAction(Enum):
    """Operator action on a maintenance wave."""

    START = "start"
    PAUSE = "pause"
    RESUME = "resume"
    CANCEL = "cancel"


class ProblemOutcome(Enum):
    """Whether a failed request has taken effect.

    ``NOT_RUN``: certainly not. ``UNKNOWN``: it may have.
    """

    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


class EditRequest(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A set of edits to publish.

    :param base: revision at which the author read each object that the edits
        concern; a conflict with a later revision is refused.
    """

    base: tuple[BaseRevision, ...]
    edits: tuple[Put | Delete, ...]


class PlanRequest(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A set of edits to validate.

    :param base: base revisions of the author; without them, the edits are checked
        against the objects now in force.
    """

    edits: tuple[Put | Delete, ...]
    base: tuple[BaseRevision, ...] | None = None


class VmRequest(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Body of a request to drain or undrain a VM.

    :param revision: revision of the VM that the operator read; ``None`` for any.
    """

    revision: Revision | None = None


class MoveRequest(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Body of a request to move a VM to another pool.

    :param pool: the destination.
    :param revision: revision of the VM that the operator read; ``None`` for any.
    """

    pool: PoolId
    revision: Revision | None = None


class WaveRequest(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Body of a request to start or change a maintenance wave.

    :param pools: pools that a new wave covers; empty for other actions.
    """

    action: WaveAction
    pools: tuple[PoolId, ...] = ()


class ZoneRequest(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Body of a request on an availability zone; it has no fields."""


class SettleRequest(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """An operator's resolution of a claim whose outcome is unknown.

    :param kind: the outcome to record.
    :param detail: how the outcome was established.
    :param status: HTTP status of the answer that the caller gets.
    """

    kind: OutcomeKind
    detail: str
    status: int = 0
    content_type: str = ""
    body: str = ""


class Published(msgspec.Struct, frozen=True):
    """Publication state of an accepted record.

    :param offset: log offset that follows the record; the record is in force on a
        node that has folded the log up to this offset.
    :param waiting_for: nodes that may not have folded the record yet.
    """

    state: PublishState
    revision: Revision
    offset: int
    waiting_for: tuple[NodeId, ...] = ()


class FieldChange(msgspec.Struct, frozen=True):
    """Change of one field of an object; ``None`` stands for an absent value."""

    key: str
    old: str | None
    new: str | None


class Change(msgspec.Struct, frozen=True):
    """Changes that an edit set makes to one object."""

    ref: Ref
    kind: ChangeKind
    fields: tuple[FieldChange, ...]


class PlanAnswer(msgspec.Struct, frozen=True):
    """Changes that an edit set would make to the objects now in force.

    :param base: base revisions against which the edits were checked.
    :param offset: next log offset that the entry will fold.
    """

    base: tuple[BaseRevision, ...]
    offset: int
    changes: tuple[Change, ...]


class ObjectView(msgspec.Struct, frozen=True):
    """An object in force and the revision of its last change."""

    obj: ConfigObject
    revision: Revision


class ObjectsAnswer(msgspec.Struct, frozen=True):
    """Objects in force at one log offset."""

    revision: Revision
    offset: int
    objects: tuple[ObjectView, ...]


class Action(Enum):
    """Kind of record that an operator published."""

    EDIT = "edit"
    VM = "vm"
    WAVE = "wave"
    SETTLE = "settle"
    ZONE = "zone"


class HistoryEntry(msgspec.Struct, frozen=True, kw_only=True):
    """An operator record, and whether it was accepted.

    :param at: time at which this node folded the record, in seconds since the epoch.
    :param revision: sequence number of the record; ``None`` if it was refused.
    :param faults: why the record was refused.
    """

    id: RecordId
    operator: OperatorId
    action: Action
    summary: tuple[str, ...]
    at: float
    offset: int
    revision: Revision | None
    faults: tuple[Fault, ...] = ()


class HistoryAnswer(msgspec.Struct, frozen=True):
    """Operator records that this node has folded, oldest first."""

    entries: tuple[HistoryEntry, ...]


class Problem(msgspec.Struct, frozen=True, kw_only=True):
    """Problem details (RFC 9457) of a failed request.

    :param outcome: whether the request may have taken effect.
    :param faults: all faults found in the request.
    """

    title: str
    status: int
    detail: str = ""
    type: str = "about:blank"
    outcome: ProblemOutcome = ProblemOutcome.NOT_RUN
    faults: tuple[Fault, ...] = ()
