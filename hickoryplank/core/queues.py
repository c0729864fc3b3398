"""Queues of waiting work, and the choice of the item that starts next."""

import heapq
from collections import OrderedDict
from collections.abc import Callable, Mapping
from enum import IntEnum
from itertools import count

import msgspec

from hickoryplank.core.ids import PoolId, QueueId, RequestId, TaskId, TeamId
from hickoryplank.core.objects import WorkClass

__all__ = [
    "DEFAULT_BACKLOG_LIMITS",
    "MIN_WEIGHT",
    "BacklogLimits",
    "WorkItem",
    "WorkQueues",
]

#: Weight of a team without a share, in percent of the fleet.
MIN_WEIGHT = 0.01
#: Added to the running units of a team when teams are compared. With this divisor
#: method (Sainte-Laguë), each of a few teams stays within one unit of its share.
HALF_UNIT = 0.5
#: Fraction of its entitlement up to which a team has priority over urgent work of
#: other teams.
BELOW_FRACTION = 0.98
#: Longest time for which urgent work may starve the batch work of a pool.
MAX_BATCH_STARVATION_SECONDS = 20.0
#: Number of stale heap entries that is tolerated before the heap is rebuilt.
MAX_STALE_ENTRIES = 1024


class WorkItem(msgspec.Struct, frozen=True, kw_only=True):
    """A request that waits for a slot.

    :param arrived: when the request reached the owner of its pool, in seconds.
    :param deadline: when the request must have started, in seconds.
    """

    request: RequestId
    task: TaskId
    team: TeamId
    queue: QueueId
    pool: PoolId
    work_class: WorkClass
    arrived: float
    deadline: float
    idempotent: bool = True


class BacklogLimits(msgspec.Struct, frozen=True):
    """Largest backlog of one pool; items beyond it are shed.

    :param urgent: number of waiting items of urgent work.
    :param batch: number of waiting items of batch work.
    """

    urgent: int = 512
    batch: int = 4096

    def of(self, work_class: WorkClass) -> int:
        """Return the limit for ``work_class``."""
        return self.urgent if work_class is WorkClass.URGENT else self.batch


DEFAULT_BACKLOG_LIMITS = BacklogLimits()

_TeamLane = OrderedDict[RequestId, WorkItem]


class _EntitlementStatus(IntEnum):
    """Running work of a team relative to its entitlement, by priority."""

    BELOW = 0
    MET = 1
    BORROWING = 2


class _ClassLanes:
    """Waiting work of one class in one pool, by team; empty lanes are removed."""

    def __init__(self) -> None:
        self.teams: dict[TeamId, _TeamLane] = {}
        self.size = 0

    def add(self, item: WorkItem) -> None:
        self.teams.setdefault(item.team, OrderedDict())[item.request] = item
        self.size += 1

    def remove(self, item: WorkItem) -> None:
        lane = self.teams[item.team]
        del lane[item.request]
        self.size -= 1
        if not lane:
            del self.teams[item.team]


class _PoolQueue:
    """Waiting work of one pool.

    :ivar batch_starved_since: since when urgent work has been picked while batch
        work waited, in seconds; ``None`` if it was not.
    """

    def __init__(self) -> None:
        self.lanes = {work_class: _ClassLanes() for work_class in WorkClass}
        self.batch_starved_since: float | None = None


class WorkQueues:
    """Waiting work of all pools that this node owns.

    Work of a pool waits in lanes, one for each class and team. Picking an item
    takes time proportional to the number of teams that wait in the pool, not to
    the number of items; adding, cancelling and expiring an item take at most one
    heap operation.

    :param backlog_limits: largest backlog of each pool.
    """

    def __init__(self, backlog_limits: BacklogLimits = DEFAULT_BACKLOG_LIMITS) -> None:
        self._backlog_limits = backlog_limits
        self._pools: dict[PoolId, _PoolQueue] = {}
        self._items: dict[RequestId, WorkItem] = {}
        self._deadlines: list[tuple[float, int, RequestId]] = []
        self._serial = count()

    def __len__(self) -> int:
        return len(self._items)

    def __contains__(self, request: RequestId) -> bool:
        return request in self._items

    def push(self, item: WorkItem, shares: Mapping[TeamId, float]) -> WorkItem | None:
        """Enqueue ``item``; return the item shed for it, which may be ``item``.

        If the backlog of the class exceeds its limit, the newest item of the team
        with the largest backlog relative to its share is shed.

        :param shares: each team's share, in percent of the fleet.
        """
        if item.request in self._items:
            return None
        lanes = self._pools.setdefault(item.pool, _PoolQueue()).lanes[item.work_class]
        lanes.add(item)
        self._index_item(item)
        if lanes.size <= self._backlog_limits.of(item.work_class):
            return None
        victim = _newest_of_largest_backlog(lanes, shares)
        self._remove(victim)
        return victim

    def requeue(self, item: WorkItem) -> None:
        """Put a picked item back in front of its team's other items."""
        if item.request in self._items:
            return
        lanes = self._pools.setdefault(item.pool, _PoolQueue()).lanes[item.work_class]
        lanes.add(item)
        lanes.teams[item.team].move_to_end(item.request, last=False)
        self._index_item(item)

    def cancel(self, request: RequestId) -> WorkItem | None:
        """Remove and return a waiting item, or ``None`` if it is not waiting."""
        item = self._items.get(request)
        if item is not None:
            self._remove(item)
        return item

    def expire(self, now: float) -> list[WorkItem]:
        """Remove and return the items whose deadline has passed.

        :param now: the node's clock, in seconds.
        """
        expired = []
        while self._deadlines and self._deadlines[0][0] <= now:
            deadline, _, request = heapq.heappop(self._deadlines)
            item = self._items.get(request)
            if item is not None and item.deadline == deadline:
                self._remove(item)
                expired.append(item)
        return expired

    def next_deadline(self) -> float | None:
        """Return when the next item expires, in seconds, or ``None`` if none waits."""
        while self._deadlines and self._deadlines[0][2] not in self._items:
            heapq.heappop(self._deadlines)
        return self._deadlines[0][0] if self._deadlines else None

    def pop_next(
        self,
        pool: PoolId,
        shares: Mapping[TeamId, float],
        running: Mapping[TeamId, float],
        may_start: Callable[[TeamId], bool],
        now: float,
        entitled_units: Mapping[TeamId, float] | None = None,
    ) -> WorkItem | None:
        """Remove and return the item that starts next in ``pool``.

        Teams well below their entitlement come first, then teams up to their
        entitlement, then teams that borrow units of others. Within each group
        urgent work comes first, except that it starves batch work for at most
        ``MAX_BATCH_STARVATION_SECONDS``. Within a class, the team with the least
        running work relative to its share comes first, with its oldest item.

        :param shares: each team's share, in percent of the fleet.
        :param running: units that each team runs across the fleet.
        :param may_start: returns whether this node has a free unit of a team.
        :param now: the node's clock, in seconds.
        :param entitled_units: entitlement of each team, in units; without it, no
            team counts as borrowing.
        """
        waiting = self._pools.get(pool)
        if waiting is None:
            return None
        best: tuple[_EntitlementStatus, int, float] | None = None
        choice: tuple[WorkClass, TeamId] | None = None
        for rank, work_class in enumerate(_class_order(waiting, now)):
            for team in waiting.lanes[work_class].teams:
                if not may_start(team):
                    continue
                next_run = running.get(team, 0.0) + HALF_UNIT
                status = _entitlement_status(next_run, team, entitled_units)
                key = (status, rank, next_run / _weight(shares, team))
                if best is None or key < best:
                    best, choice = key, (work_class, team)
        return self._pop(waiting, *choice, now) if choice else None

    def waiting_counts(self, pool: PoolId, work_class: WorkClass) -> dict[TeamId, int]:
        """Return the number of waiting items of each team in ``pool``."""
        queue = self._pools.get(pool)
        if queue is None:
            return {}
        teams = queue.lanes[work_class].teams
        return {team: len(lane) for team, lane in teams.items()}

    def oldest_items(
        self, pool: PoolId, work_class: WorkClass
    ) -> dict[TeamId, WorkItem]:
        """Return the oldest waiting item of each team in ``pool``."""
        queue = self._pools.get(pool)
        if queue is None:
            return {}
        teams = queue.lanes[work_class].teams
        return {team: next(iter(lane.values())) for team, lane in teams.items()}

    def _pop(
        self, waiting: _PoolQueue, work_class: WorkClass, team: TeamId, now: float
    ) -> WorkItem:
        item = next(iter(waiting.lanes[work_class].teams[team].values()))
        self._remove(item)
        _update_batch_starvation(waiting, work_class, now)
        return item

    def _index_item(self, item: WorkItem) -> None:
        self._items[item.request] = item
        entry = (item.deadline, next(self._serial), item.request)
        heapq.heappush(self._deadlines, entry)
        if len(self._deadlines) > 2 * len(self._items) + MAX_STALE_ENTRIES:
            waiting = (e for e in self._deadlines if e[2] in self._items)
            self._deadlines = list(waiting)
            heapq.heapify(self._deadlines)

    def _remove(self, item: WorkItem) -> None:
        del self._items[item.request]
        self._pools[item.pool].lanes[item.work_class].remove(item)


def _weight(shares: Mapping[TeamId, float], team: TeamId) -> float:
    return max(shares.get(team, 0.0), MIN_WEIGHT)


def _entitlement_status(
    next_run: float, team: TeamId, entitled_units: Mapping[TeamId, float] | None
) -> _EntitlementStatus:
    entitled = entitled_units.get(team) if entitled_units else None
    if entitled is None or BELOW_FRACTION * entitled < next_run <= entitled:
        return _EntitlementStatus.MET
    return (
        _EntitlementStatus.BELOW
        if next_run <= entitled
        else _EntitlementStatus.BORROWING
    )


def _newest_of_largest_backlog(
    lanes: _ClassLanes, shares: Mapping[TeamId, float]
) -> WorkItem:
    longest = max(
        lanes.teams, key=lambda team: len(lanes.teams[team]) / _weight(shares, team)
    )
    return next(reversed(lanes.teams[longest].values()))


def _class_order(waiting: _PoolQueue, now: float) -> tuple[WorkClass, WorkClass]:
    since = waiting.batch_starved_since
    if since is not None and now - since >= MAX_BATCH_STARVATION_SECONDS:
        return WorkClass.BATCH, WorkClass.URGENT
    return WorkClass.URGENT, WorkClass.BATCH


def _update_batch_starvation(
    waiting: _PoolQueue, work_class: WorkClass, now: float
) -> None:
    if work_class is WorkClass.BATCH or not waiting.lanes[WorkClass.BATCH].size:
        waiting.batch_starved_since = None
    elif waiting.batch_starved_since is None:
        waiting.batch_starved_since = now
