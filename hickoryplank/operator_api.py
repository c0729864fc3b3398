"""Messages of the operator HTTP API, which the entry and its clients share."""

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
]

PREFIX = "/operator/v1"


class PublishState(Enum):
    """How far an accepted record has come."""

    PUBLISHED = "published"
    IN_FORCE = "in_force"


class ChangeKind(Enum):
    """What an edit does to an object."""

    CREATE = "create"
    REPLACE = "replace"
    DELETE = "delete"
    NONE = "none"


class WaveAction(Enum):
    """What an operator asks of a maintenance wave."""

    START = "start"
    PAUSE = "pause"
    RESUME = "resume"
    CANCEL = "cancel"


class ProblemOutcome(Enum):
    """Whether a request that failed has taken effect."""

    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


class EditRequest(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A set of edits and the revisions that its author read."""

    base: tuple[BaseRevision, ...]
    edits: tuple[Put | Delete, ...]


class PlanRequest(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A set of edits to check; without a base, against what is in force now."""

    edits: tuple[Put | Delete, ...]
    base: tuple[BaseRevision, ...] | None = None


class VmRequest(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A drain or its end.

    :param revision: the revision of the VM that was read; ``None`` for any.
    """

    revision: Revision | None = None


class MoveRequest(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A move of a VM to another pool."""

    pool: PoolId
    revision: Revision | None = None


class WaveRequest(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """An action on a maintenance wave.

    :param pools: the pools that a new wave goes through.
    """

    action: WaveAction
    pools: tuple[PoolId, ...] = ()


class SettleRequest(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """What an operator found out about a request whose outcome is unknown.

    :param status: HTTP status of the answer that the caller gets.
    """

    kind: OutcomeKind
    detail: str
    status: int = 0
    content_type: str = ""
    body: str = ""


class Published(msgspec.Struct, frozen=True):
    """An accepted record.

    :param offset: the log offset that the record stands at, at the latest.
    :param waiting_for: nodes that may not have folded it yet.
    """

    state: PublishState
    revision: Revision
    offset: int
    waiting_for: tuple[NodeId, ...] = ()


class FieldChange(msgspec.Struct, frozen=True):
    """One field of an object, before and after; ``None`` for absent."""

    key: str
    old: str | None
    new: str | None


class Change(msgspec.Struct, frozen=True):
    """What an edit set does to one object."""

    ref: Ref
    kind: ChangeKind
    fields: tuple[FieldChange, ...]


class PlanAnswer(msgspec.Struct, frozen=True):
    """What an edit set would change now.

    :param base: the revisions that the check was made against.
    :param offset: the log offset that the entry has folded last.
    """

    base: tuple[BaseRevision, ...]
    offset: int
    changes: tuple[Change, ...]


class ObjectView(msgspec.Struct, frozen=True):
    """An object in force and the revision that last changed it."""

    obj: ConfigObject
    revision: Revision


class ObjectsAnswer(msgspec.Struct, frozen=True):
    """Objects in force at one offset of the log."""

    revision: Revision
    offset: int
    objects: tuple[ObjectView, ...]


class Action(Enum):
    """What kind of record an operator had published."""

    EDIT = "edit"
    VM = "vm"
    WAVE = "wave"
    SETTLE = "settle"


class HistoryEntry(msgspec.Struct, frozen=True, kw_only=True):
    """An operator's record and its verdict.

    :param at: when this node folded the record, in seconds since the epoch.
    :param revision: the sequence number of an accepted record.
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
    """Operators' records that this node has seen, oldest first."""

    entries: tuple[HistoryEntry, ...]


class Problem(msgspec.Struct, frozen=True, kw_only=True):
    """Problem details as in RFC 9457.

    :param outcome: whether the request has taken effect.
    :param faults: everything that was found wrong.
    """

    title: str
    status: int
    detail: str = ""
    type: str = "about:blank"
    outcome: ProblemOutcome = ProblemOutcome.NOT_RUN
    faults: tuple[Fault, ...] = ()
