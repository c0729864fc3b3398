"""Moves VMs between pools according to the demand that pool owners report."""

import logging

import anyio

from hickoryplank.core.demand import DemandTracker, PoolDemand
from hickoryplank.core.ids import Incarnation, PoolId
from hickoryplank.core.messages import DemandReport
from hickoryplank.core.moves import MovePlanner, MovePolicy
from hickoryplank.core.objects import Kind
from hickoryplank.core.records import VmMoved, VmStep
from hickoryplank.shell.clock import Clock
from hickoryplank.shell.dispatcher import Dispatcher
from hickoryplank.shell.maintenance_controller import MAINTENANCE_POOL
from hickoryplank.shell.membership import Membership
from hickoryplank.shell.peer_transport import PeerTransport
from hickoryplank.shell.replica import Replica, new_record_id
from hickoryplank.shell.tasks import TaskSpawner

__all__ = ["MoveController"]

logger = logging.getLogger(__name__)

PLAN_INTERVAL_SECONDS = 1.0
MAX_REPORT_AGE_SECONDS = 15.0
FULL_REPORT_INTERVAL_SECONDS = 5.0


class MoveController:
    """Tracks the demand on pools; the node that does maintenance plans the moves."""

    def __init__(
        self,
        replica: Replica,
        membership: Membership,
        transport: PeerTransport,
        dispatcher: Dispatcher,
        policy: MovePolicy,
        spawner: TaskSpawner,
        clock: Clock,
    ):
        self._replica = replica
        self._membership = membership
        self._transport = transport
        self._dispatcher = dispatcher
        self._policy = policy
        self._spawner = spawner
        self._clock = clock
        self._planner = MovePlanner(policy, new_record_id)
        self._trackers: dict[PoolId, DemandTracker] = {}
        self._reported: dict[PoolId, PoolDemand] = {}
        self._full_report_at = clock.now()
        self._latest_demand: dict[PoolId, tuple[PoolDemand, float]] = {}

    def note_demand_report(
        self, sender: Incarnation, demand_report: DemandReport
    ) -> None:
        """Record the demand on pools that a peer owns."""
        now = self._clock.now()
        for demand in demand_report.rows:
            self._latest_demand[demand.pool] = (demand, now)

    async def serve(self) -> None:
        """Track demand, and report it or plan moves with it, until cancelled."""
        while True:
            await anyio.sleep(PLAN_INTERVAL_SECONDS)
            now = self._clock.now()
            rows = self._observe(now)
            planning_node = self._membership.owner_of(MAINTENANCE_POOL)
            if planning_node != self._membership.own_incarnation:
                self._transport.send(planning_node, self._changed_demand(rows, now))
                continue
            self.note_demand_report(planning_node, DemandReport(rows))
            self._plan(now)

    def _observe(self, now: float) -> tuple[PoolDemand, ...]:
        running = self._dispatcher.running_by_pool()
        waiting = self._dispatcher.waiting_by_pool()
        owned = self._tracked_pools({*running, *waiting})
        return tuple(
            self._trackers[pool].observe(
                running[pool],
                now,
                waiting[pool],
                self._dispatcher.longest_urgent_wait(pool, now),
            )
            for pool in owned
        )

    def _tracked_pools(self, busy: set[PoolId]) -> list[PoolId]:
        """Return the pools that this node owns or still has work for.

        Each of them gets a tracker; the trackers of other pools are dropped.
        """
        pools = self._replica.tables.objects[Kind.POOL]
        me = self._membership.own_incarnation
        owned = {pool for pool in pools if self._membership.owner_of(pool) == me}
        owned.update(busy & set(pools))
        for pool in set(self._trackers) - owned:
            del self._trackers[pool]
        for pool in owned - set(self._trackers):
            self._trackers[pool] = DemandTracker(pool, self._policy.hysteresis)
        return sorted(owned)

    def _changed_demand(self, rows: tuple[PoolDemand, ...], now: float) -> DemandReport:
        """Return the demand that changed since its last report.

        Periodically, all demand is returned, because reports may be lost and are
        ignored when they are older than ``MAX_REPORT_AGE_SECONDS``.
        """
        if now - self._full_report_at >= FULL_REPORT_INTERVAL_SECONDS:
            self._full_report_at = now
            self._reported.clear()
        changed = [row for row in rows if self._reported.get(row.pool) != row]
        self._reported.update((row.pool, row) for row in changed)
        return DemandReport(tuple(changed))

    def _plan(self, now: float) -> None:
        demand = {
            pool: row
            for pool, (row, at) in self._latest_demand.items()
            if now - at <= MAX_REPORT_AGE_SECONDS
        }
        for record in self._planner.tick(self._replica.tables, demand, now):
            self._spawner.start_soon(self._submit, record)

    async def _submit(self, record: VmStep | VmMoved) -> None:
        submitted = await self._replica.submit(record)
        if submitted.is_err():
            logger.info("record of a VM move not accepted: %s", submitted.unwrap_err())
