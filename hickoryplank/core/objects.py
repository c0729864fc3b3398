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
    """How soon the work of a queue must start."""

    URGENT = "urgent"
    BATCH = "batch"


class Kind(Enum):
    """The kinds of configuration object."""

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

    :param min_available: availability budget: VMs that stay in service through
        every planned stop.
    :param spare: whether the pool is the buffer that other pools draw on.
    """

    name: PoolId
    min_available: int = 0
    spare: bool = False


class Team(msgspec.Struct, frozen=True, tag="team", kw_only=True):
    """A group of callers with a common share and limit."""

    name: TeamId


class Key(msgspec.Struct, frozen=True, tag="key", kw_only=True):
    """A secret that proves membership of a team; only its digest is kept.

    :param digest: SHA-256 of the secret, in hexadecimal.
    """

    name: KeyId
    team: TeamId
    digest: str


class Queue(msgspec.Struct, frozen=True, tag="queue", kw_only=True):
    """Where callers submit work; served by one pool.

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
    """What a team is due while the fleet is full, in percent of the fleet.

    The object is named after its team.
    """

    name: TeamId
    percent: float


class Limit(msgspec.Struct, frozen=True, tag="limit", kw_only=True):
    """The most work that a team may run at once across the whole fleet.

    The object is named after its team.
    """

    name: TeamId
    units: int


class Endpoint(msgspec.Struct, frozen=True, tag="endpoint", kw_only=True):
    """A back end on one VM; the object is named after the VM.

    :param address: IP address and port of the worker, as ``host:port``.
    :param pool: the pool that the VM joins when the object is created; later
        moves are records of their own.
    :param slots: work that the endpoint runs at once.
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
    """Return the objects that ``obj`` refers to."""
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
