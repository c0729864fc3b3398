"""Configuration objects that operators edit, and references between them."""

from enum import Enum

import msgspec

from hickoryplank.core.ids import KeyId, PoolId, QueueId, Rack, TeamId, VmId, Zone

__all__ = [
    "ConfigObject",
    "Endpoint",
    "Key",
    "Kind",
    "Limit",
    "Pool",
    "Queue",
    "Ref",
    "Share",
    "Team",
    "WorkClass",
    "ref_of",
    "references_of",
]


class WorkClass(Enum):
    """Scheduling class of the work in a queue."""

    URGENT = "urgent"
    BATCH = "batch"


class Kind(Enum):
    """Kind of a configuration object."""

    POOL = "pool"
    TEAM = "team"
    KEY = "key"
    QUEUE = "queue"
    SHARE = "share"
    LIMIT = "limit"
    ENDPOINT = "endpoint"


class Ref(msgspec.Struct, frozen=True):
    """The kind and name that identify one configuration object."""

    kind: Kind
    name: str

    def __str__(self) -> str:
        return f"{self.kind.value} {self.name}"


class Pool(msgspec.Struct, frozen=True, tag="pool", kw_only=True):
    """A set of VMs that serve the same queues.

    :param min_available: availability budget: the number of VMs that planned
        maintenance and moves must leave in service.
    :param spare: whether the pool is the spare pool, whose drained VMs are the
        buffer from which other pools grow.
    """

    name: PoolId
    min_available: int = 0
    spare: bool = False


class Team(msgspec.Struct, frozen=True, tag="team", kw_only=True):
    """A group of callers that has one share and one limit."""

    name: TeamId


class Key(msgspec.Struct, frozen=True, tag="key", kw_only=True):
    """A secret with which callers authenticate as a team; only its digest is kept.

    :param digest: SHA-256 of the secret, in hexadecimal.
    """

    name: KeyId
    team: TeamId
    digest: str


class Queue(msgspec.Struct, frozen=True, tag="queue", kw_only=True):
    """A queue to which callers submit work; one pool serves it.

    :param idempotent: whether a request may run more than once.
    :param open_team: for a queue open to all, the team that work without a key
        is accounted to; ``None`` for a queue that needs a key.
    :param teams: teams that may submit; empty for every team.
    """

    name: QueueId
    pool: PoolId
    work_class: WorkClass = WorkClass.URGENT
    idempotent: bool = True
    open_team: TeamId | None = None
    teams: tuple[TeamId, ...] = ()


class Share(msgspec.Struct, frozen=True, tag="share", kw_only=True):
    """The entitlement of a team while the fleet is full, in percent of the fleet.

    The object has the name of its team.
    """

    name: TeamId
    percent: float


class Limit(msgspec.Struct, frozen=True, tag="limit", kw_only=True):
    """Upper limit on the units that a team may use at once across the fleet.

    The object has the name of its team.
    """

    name: TeamId
    units: int


class Endpoint(msgspec.Struct, frozen=True, tag="endpoint", kw_only=True):
    """A worker endpoint on one VM; the object has the name of the VM.

    :param address: IP address and port of the worker, as ``host:port``.
    :param pool: the pool that the VM joins when the object is created; the VM
        changes pools later by ``VmMoved`` records, not by an edit.
    :param slots: maximum number of runs at once.
    """

    name: VmId
    address: str
    pool: PoolId
    zone: Zone
    rack: Rack
    slots: int = 8


ConfigObject = Pool | Team | Key | Queue | Share | Limit | Endpoint

_KINDS = {
    Pool: Kind.POOL,
    Team: Kind.TEAM,
    Key: Kind.KEY,
    Queue: Kind.QUEUE,
    Share: Kind.SHARE,
    Limit: Kind.LIMIT,
    Endpoint: Kind.ENDPOINT,
}


def ref_of(obj: ConfigObject) -> Ref:
    """Return the reference that identifies ``obj``."""
    return Ref(_KINDS[type(obj)], obj.name)


def references_of(obj: ConfigObject) -> tuple[Ref, ...]:
    """Return references to the objects that ``obj`` names."""
    refs = []
    for key, kind in (
        ("pool", Kind.POOL),
        ("team", Kind.TEAM),
        ("open_team", Kind.TEAM),
    ):
        name = getattr(obj, key, None)
        if name is not None:
            refs.append(Ref(kind, name))
    refs.extend(Ref(Kind.TEAM, team) for team in getattr(obj, "teams", ()))
    return tuple(refs)
