"""The operators' configuration as the engine uses it: queues, pools and teams."""

import msgspec

from hickoryplank.core.ids import PoolId, QueueId, TeamId
from hickoryplank.jobs.sizes import Size

__all__ = ["AdviceTiming", "Configuration", "Pool", "Queue", "RouteMatch", "Team"]


class AdviceTiming(msgspec.Struct, frozen=True):
    """How an outside policy says which endpoints may run a step of a queue."""

    decide_ms: int
    per_endpoint_ms: int
    valid_ms: int


class Queue(msgspec.Struct, frozen=True):
    """A queue.

    :param priority: 0 goes first.
    :param attempts: runs of a task that may fail before its job has failed.
    :param stretch: factor from a job's longest chain of work to its objective.
    :param slack_ms: time that the objective adds to that.
    :param public: whether calls need no key.
    """

    id: QueueId
    host: str
    prefix: str
    pool: PoolId
    priority: int = 0
    attempts: int = 1
    stretch: float = 1.0
    slack_ms: int = 0
    public: bool = False
    advice: AdviceTiming | None = None


class Pool(msgspec.Struct, frozen=True):
    """A pool of VMs.

    :param guards_capacity: its endpoints refuse what doesn't fit.
    :param standby: its VMs are off, and cost nothing.
    """

    id: PoolId
    guards_capacity: bool = False
    standby: bool = False


class Team(msgspec.Struct, frozen=True):
    """A team with its keys, share and upper limit (0 in a part: none)."""

    id: TeamId
    keys: frozenset[str]
    weight: float = 1.0
    limit: Size = Size()


class RouteMatch(msgspec.Struct, frozen=True):
    """A queue, and what follows its prefix in a path."""

    queue: Queue
    subpath: str


class Configuration(msgspec.Struct, frozen=True):
    """One version of the configuration, whole.

    :param version: grows with each version.
    """

    version: int
    queues: dict[QueueId, Queue]
    pools: dict[PoolId, Pool]
    teams: dict[TeamId, Team]
    team_of_key: dict[str, TeamId]
    queues_of_host: dict[str, tuple[Queue, ...]]

    @classmethod
    def build(
        cls, version: int, queues: list[Queue], pools: list[Pool], teams: list[Team]
    ) -> "Configuration":
        """Index the objects of one version."""
        by_host: dict[str, list[Queue]] = {}
        for queue in queues:
            by_host.setdefault(queue.host, []).append(queue)
        return cls(
            version=version,
            queues={queue.id: queue for queue in queues},
            pools={pool.id: pool for pool in pools},
            teams={team.id: team for team in teams},
            team_of_key={key: team.id for team in teams for key in team.keys},
            queues_of_host={
                host: tuple(sorted(some, key=lambda one: -len(one.prefix)))
                for host, some in by_host.items()
            },
        )

    def resolve(self, host: str, path: str) -> RouteMatch | None:
        """Return the queue with the longest prefix of ``path`` at ``host``."""
        for queue in self.queues_of_host.get(host, ()):
            if path.startswith(queue.prefix):
                return RouteMatch(queue, path[len(queue.prefix) :])
        return None
