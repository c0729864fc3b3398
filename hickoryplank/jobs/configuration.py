"""The operators' configuration as the engine uses it: queues, pools and teams."""

import msgspec

from hickoryplank.core.ids import PoolId, QueueId, TeamId
from hickoryplank.jobs.sizes import Size

__all__ = [
    "AdviceTiming",
    "Configuration",
    "Pool",
    "Queue",
    "QueueTerms",
    "RouteMatch",
    "Team",
]


class AdviceTiming(msgspec.Struct, frozen=True):
    """Stated durations of the advice service, for a queue that uses it.

    :param decide_ms: base time of an answer, in milliseconds.
    :param per_endpoint_ms: additional time for each endpoint, in milliseconds.
    :param valid_ms: validity of the tickets in an answer, in milliseconds.
    """

    decide_ms: int
    per_endpoint_ms: int
    valid_ms: int


class QueueTerms(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """How a queue serves its jobs.

    :param priority: 0 is served first.
    :param attempts: number of failed runs of a task at which its job fails.
    :param stretch: factor from the critical path of a job to its latency objective.
    :param slack_ms: time that the objective adds to that product, in milliseconds.
    :param advice: the advice service's durations, if its tickets are required.
    """

    priority: int = 0
    attempts: int = 1
    stretch: float = 1.0
    slack_ms: int = 0
    advice: AdviceTiming | None = None


class Queue(QueueTerms, frozen=True):
    """A queue.

    :param prefix: prefix of the paths of its calls.
    :param public: whether calls need no key.
    """

    id: QueueId
    host: str
    prefix: str
    pool: PoolId
    public: bool = False

    @property
    def terms(self) -> QueueTerms:
        """How the queue serves its jobs, without its address."""
        return QueueTerms(
            priority=self.priority,
            attempts=self.attempts,
            stretch=self.stretch,
            slack_ms=self.slack_ms,
            advice=self.advice,
        )


class Pool(msgspec.Struct, frozen=True):
    """A pool of VMs.

    :param enforces_capacity: the endpoints refuse runs that exceed their capacity.
    :param standby: the VMs are switched off and cost nothing.
    """

    id: PoolId
    enforces_capacity: bool = False
    standby: bool = False


class Team(msgspec.Struct, frozen=True):
    """A team.

    :param weight: share of the team, in jobs per second.
    :param limit: upper bound of the resources that its runs use together; 0 for no
        limit of a resource.
    """

    id: TeamId
    keys: frozenset[str]
    weight: float = 1.0
    limit: Size = Size()


class RouteMatch(msgspec.Struct, frozen=True):
    """The queue that matches a path.

    :param subpath: remainder of the path after the prefix of the queue.
    """

    queue: Queue
    subpath: str


class Configuration(msgspec.Struct, frozen=True):
    """One complete version of the configuration.

    :param version: increases with each version.
    :param queues_of_host: queues by host, with the longest prefix first.
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
        """Create a version of the configuration with its indexes."""
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
                host: tuple(sorted(host_queues, key=lambda one: -len(one.prefix)))
                for host, host_queues in by_host.items()
            },
        )

    def resolve(self, host: str, path: str) -> RouteMatch | None:
        """Return the queue at ``host`` with the longest matching prefix of ``path``."""
        for queue in self.queues_of_host.get(host, ()):
            if path.startswith(queue.prefix):
                return RouteMatch(queue, path[len(queue.prefix) :])
        return None
