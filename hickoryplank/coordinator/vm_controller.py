"""Control loop that moves VMs between pools and runs maintenance waves."""

import logging
import math

import anyio
import msgspec
from result import Err, Ok

from hickoryplank.coordinator.journal import Journal, TermEnded
from hickoryplank.coordinator.lease import LeaseManager
from hickoryplank.coordinator.operator_watcher import OperatorWatcher
from hickoryplank.coordinator.ports import (
    ListedVm,
    OperatorRecordCodec,
    OrderOutcome,
    StorePort,
    Topic,
    VmPort,
    VmState,
    WaveOrder,
)
from hickoryplank.core.ids import EndpointId, VmId, WaveId
from hickoryplank.jobs.engine import Engine
from hickoryplank.jobs.evacuation import continue_evacuation, run_count, uncordon
from hickoryplank.jobs.maintenance import ActiveWave, begin_maintenance, is_wave_done
from hickoryplank.jobs.quarantine import (
    Subject,
    SubjectKind,
    vm_subject,
    wave_subject,
)
from hickoryplank.jobs.rebalancing import DemandHistory, rebalance_pools
from hickoryplank.jobs.records import (
    Record,
    VmOrder,
    WaveProgress,
    encode_order,
    encode_wave,
)
from hickoryplank.jobs.vm_supply import read_supply
from hickoryplank.jobs.vms import (
    MaintenanceDue,
    OperationPhase,
    VmListing,
    VmOperation,
    VmTable,
)
from hickoryplank.shell.clock import Clock, wall_ms
from hickoryplank.shell.dependency_monitor import DependencyMonitor

__all__ = ["VmController", "VmOperationBounds", "activate_wave", "to_vm_listing"]

logger = logging.getLogger(__name__)

#: Time between two runs of the control loop, in seconds.
LOOP_INTERVAL_SECONDS = 0.1
#: Time between two reads of the VM list while operations are in progress, in
#: seconds.
LIST_INTERVAL_SECONDS = 0.4
#: Time between two reads of the VM list otherwise, in seconds.
IDLE_LIST_INTERVAL_SECONDS = 2.0
#: Fraction of the configured duration of an operation before which the VM is not
#: expected back. The platform may be faster than the configured duration.
MIN_OUTAGE_FRACTION = 0.8
#: Added to the minimum time between the orders of two coordinators for one VM, in
#: seconds. It covers the difference of their wall clocks and the duration of an
#: order.
ORDER_SPACING_MARGIN_SECONDS = 1.0
_MOVES = Subject(SubjectKind.MOVES, "all pools")


class VmOperationBounds(msgspec.Struct, frozen=True):
    """Durations of operations on VMs, as stated by the platform.

    :param move_s: time for which a move takes a VM out of service, in seconds.
    :param maintenance_s: time for which maintenance takes a VM out of service, in
        seconds.
    :param orders_apart_s: minimum time between orders for one VM by two
        coordinators, in seconds.
    :param orders_per_s: orders that the platform accepts per second.
    """

    move_s: float
    maintenance_s: float
    orders_apart_s: float
    orders_per_s: float

    @property
    def orders_per_round(self) -> int:
        """Orders that the platform accepts in one run of the control loop."""
        return math.ceil(self.orders_per_s * LOOP_INTERVAL_SECONDS)


class VmController:
    """Evacuates VMs, orders moves and maintenance, and follows their return.

    :param vms: interface to the VMs of the platform.
    :param store: store to which completed waves are reported.
    :param codec: encodes the records for operators.
    :param bounds: durations of operations on VMs.
    """

    def __init__(
        self,
        vms: VmPort,
        store: StorePort,
        codec: OperatorRecordCodec,
        lease: LeaseManager,
        watcher: OperatorWatcher,
        clock: Clock,
        bounds: VmOperationBounds,
    ):
        self._vms = vms
        self._store = store
        self._codec = codec
        self._lease = lease
        self._watcher = watcher
        self._clock = clock
        self._bounds = bounds
        self._table = VmTable()
        self._waves: dict[WaveId, ActiveWave] = {}
        self._former_waves: dict[WaveId, WaveProgress] = {}
        self._demand = DemandHistory()
        self._states: dict[VmId, VmState] = {}
        self._former_orders: dict[VmId, VmOrder] = {}
        self._list_requested_at = 0.0
        self._vm_list_availability = DependencyMonitor("VM list", clock)

    def restore_wave(self, progress: WaveProgress) -> None:
        """Restore the progress of a wave that a former coordinator has stored."""
        self._former_waves[progress.wave] = progress

    def restore_order(self, order: VmOrder) -> None:
        """Restore a former coordinator's last order for a VM."""
        self._former_orders[order.vm] = order

    def recently_ordered_endpoints(self) -> frozenset[EndpointId]:
        """Return the endpoints that a former coordinator's recent orders may end yet.

        They are known from the store, before the VM list is read.
        """
        return frozenset(
            order.endpoint
            for order in self._former_orders.values()
            if order.endpoint is not None and self._is_recent(order)
        )

    async def run(self, engine: Engine, journal: Journal, token: int) -> None:
        """Run the control loop until the term ends.

        :param journal: stores the progress of waves and the orders.
        :param token: fencing token that is sent with each order.
        """
        while True:
            await anyio.sleep(LOOP_INTERVAL_SECONDS)
            now = self._clock.now()
            if await self._refresh_vm_list(engine, now) and self._lease.valid():
                self._plan_operations(engine, now)
                engine.cordon(
                    self._table.leaving_endpoints() | self.recently_ordered_endpoints()
                )
                engine.vm_supply = read_supply(self._table, engine.evacuated_zones)
                if not journal.failing:
                    await self._run_operations(engine, journal, token)

    def _may_order(self, vm: VmId) -> bool:
        """Return whether a former coordinator's order for a VM is long enough ago."""
        order = self._former_orders.get(vm)
        if order is None:
            return True
        if self._is_recent(order):
            return False
        del self._former_orders[vm]
        return True

    def _is_recent(self, order: VmOrder) -> bool:
        min_spacing_s = self._bounds.orders_apart_s + ORDER_SPACING_MARGIN_SECONDS
        return wall_ms() - order.at_ms < min_spacing_s * 1000

    async def _refresh_vm_list(self, engine: Engine, now: float) -> bool:
        """Read the VM list if it is due; return whether it has ever been read."""
        silent = any(one.silent_since for one in engine.endpoints.values())
        busy = silent or bool(self._table.operations()) or self._has_open_waves()
        busy = busy or engine.has_unlisted_assignments
        interval_s = LIST_INTERVAL_SECONDS if busy else IDLE_LIST_INTERVAL_SECONDS
        if now - self._list_requested_at >= interval_s:
            self._list_requested_at = now
            match await self._vms.list():
                case Ok(listed):
                    self._vm_list_availability.note_answer()
                    self._log_changes(listed)
                    listings = tuple(to_vm_listing(one) for one in listed)
                    self._table.update(listings, now)
                    alive = frozenset(
                        listing.endpoint
                        for listing in listings
                        if listing.up and listing.endpoint
                    )
                    engine.end_down_incarnations(alive, now, self._clock.now())
                    self._uncordon_idle(engine)
                case Err(fault):
                    self._vm_list_availability.note_failure(fault.detail)
        return self._table.listed_at is not None

    def _uncordon_idle(self, engine: Engine) -> None:
        """Uncordon the endpoints of VMs that no order may end any more."""
        recent = self.recently_ordered_endpoints()
        for row in self._table.rows.values():
            if row.operation is None and row.listing.endpoint not in recent:
                uncordon(engine, row)

    def _log_changes(self, listed: tuple[ListedVm, ...]) -> None:
        for one in listed:
            before = self._states.get(one.id)
            self._states[one.id] = one.state
            if before is not None and before is not one.state:
                logger.info(
                    "VM changed",
                    extra={
                        "vm": one.id,
                        "pool": one.pool,
                        "before": before.value,
                        "state": one.state.value,
                        "endpoint": one.endpoint,
                    },
                )

    def _has_open_waves(self) -> bool:
        return any(
            wave not in self._waves or not self._waves[wave].completion_reported
            for wave in self._watcher.waves
        )

    def _plan_operations(self, engine: Engine, now: float) -> None:
        quarantine = engine.quarantine
        for order in self._watcher.waves.values():
            subject = wave_subject(order.id)
            if not quarantine.is_paused(subject, now):
                with quarantine.guard(subject):
                    self._plan_wave(engine, order, now)
                    quarantine.release(subject, now)
        if not quarantine.is_paused(_MOVES, now):
            with quarantine.guard(_MOVES):
                self._plan_moves(engine, now)
                quarantine.release(_MOVES, now)

    def _plan_wave(self, engine: Engine, order: WaveOrder, now: float) -> None:
        wave = self._active_wave(order)
        if wave.completion_reported:
            return
        recently_ordered = frozenset(vm for vm in wave.vms if not self._may_order(vm))
        operations = begin_maintenance(
            wave,
            self._table,
            engine,
            now,
            self._bounds.maintenance_s,
            recently_ordered,
        )
        for operation in operations:
            logger.info(
                "VM is emptied",
                extra={
                    "vm": operation.vm,
                    "wave": operation.wave,
                    "left": len(wave.vms) - len(wave.done),
                    **self._describe_endpoint(engine, operation.vm),
                },
            )

    def _plan_moves(self, engine: Engine, now: float) -> None:
        pools = engine.configuration.pools.values()
        standby = next((pool.id for pool in pools if pool.standby), None)
        if standby is None:
            return
        for operation in rebalance_pools(
            engine,
            self._table,
            self._demand,
            now,
            standby,
            self._bounds.orders_per_round,
        ):
            logger.info(
                "VM is to move",
                extra={
                    "vm": operation.vm,
                    "from": self._table.rows[operation.vm].listing.pool,
                    "to": operation.pool,
                    **self._describe_endpoint(engine, operation.vm),
                },
            )

    def _describe_endpoint(self, engine: Engine, vm: VmId) -> dict:
        """Return log fields for what an operation on a VM is decided by."""
        id = self._table.rows[vm].listing.endpoint
        return {
            "endpoint": id,
            "listed": engine.endpoint_of(id) is not None,
            "runs": run_count(engine, id),
        }

    def _active_wave(self, order: WaveOrder) -> ActiveWave:
        wave = self._waves.get(order.id)
        if wave is None:
            wave = self._waves[order.id] = activate_wave(
                order,
                self._clock.now() - self._watcher.wave_seen_at[order.id],
                self._clock.now(),
                wall_ms(),
                self._former_waves.get(order.id),
            )
        return wave

    async def _record_waves(self, engine: Engine, journal: Journal) -> None:
        records: dict[WaveId, Record] = {}
        for wave in self._waves.values():
            if not wave.recorded:
                with engine.quarantine.guard(wave_subject(wave.id)):
                    records[wave.id] = encode_wave(wave.progress())
        if records:
            refused = await journal.append(list(records.values()))
            for id, record in records.items():
                self._waves[id].recorded = record.key not in refused

    async def _run_operations(
        self, engine: Engine, journal: Journal, token: int
    ) -> None:
        ready = [
            operation
            for operation in self._table.operations()
            if self._is_ready(engine, operation)
        ]
        await self._record_waves(engine, journal)
        if ready:
            # The next coordinator must not give orders for these VMs too soon.
            at_ms = wall_ms()
            records = [
                encode_order(
                    VmOrder(one.vm, at_ms, self._table.rows[one.vm].listing.endpoint)
                )
                for one in ready
            ]
            refused = await journal.append(records)
            ready = [
                operation
                for operation, record in zip(ready, records, strict=True)
                if record.key not in refused
            ]
        async with anyio.create_task_group() as tasks:
            for operation in ready:
                tasks.start_soon(self._order, engine, journal, operation, token)
        for wave in self._waves.values():
            await self._complete_if_done(engine, wave)

    async def _complete_if_done(self, engine: Engine, wave: ActiveWave) -> None:
        subject, quarantine = wave_subject(wave.id), engine.quarantine
        if wave.completion_reported or quarantine.is_paused(subject, self._clock.now()):
            return
        with quarantine.guard(subject, passes=(TermEnded,)):
            if is_wave_done(wave, self._table):
                await self._report_completion(wave)
            quarantine.release(subject, self._clock.now())

    def _is_ready(self, engine: Engine, operation: VmOperation) -> bool:
        """Return whether the order of an operation may be sent."""
        subject, now = vm_subject(operation.vm), self._clock.now()
        if engine.quarantine.is_paused(subject, now):
            return False
        ready = False
        with engine.quarantine.guard(subject):
            if operation.phase is OperationPhase.EVACUATING:
                ready = self._is_evacuated(engine, operation)
            else:
                ready = operation.phase is OperationPhase.ORDERED
            ready = ready and self._may_order(operation.vm)
            if not ready:
                engine.quarantine.release(subject, now)
        return ready

    async def _order(
        self, engine: Engine, journal: Journal, operation: VmOperation, token: int
    ) -> None:
        subject = vm_subject(operation.vm)
        with engine.quarantine.guard(subject, passes=(TermEnded,)):
            await self._send_order(engine, journal, operation, token)
            engine.quarantine.release(subject, self._clock.now())

    def _is_evacuated(self, engine: Engine, operation: VmOperation) -> bool:
        id = self._table.rows[operation.vm].listing.endpoint
        return continue_evacuation(engine, operation, id, self._clock.now())

    async def _send_order(
        self, engine: Engine, journal: Journal, operation: VmOperation, token: int
    ) -> None:
        if not self._lease.valid():
            return
        operation.phase = OperationPhase.ORDERED
        operation.phase_since = self._clock.now()
        if operation.wave is not None:
            outcome = await self._vms.maintain(
                operation.vm, operation.wave, token, self._lease.valid
            )
        else:
            assert operation.pool is not None
            outcome = await self._vms.move(
                operation.vm, operation.pool, token, self._lease.valid
            )
        logger.info(
            "VM ordered",
            extra={
                "vm": operation.vm,
                "pool": operation.pool,
                "wave": operation.wave,
                "outcome": outcome.value,
            },
        )
        match outcome:
            case OrderOutcome.DONE:
                await self._note_carried_out(journal, operation)
            case OrderOutcome.UNKNOWN | OrderOutcome.NOT_DONE:
                # The operation stays in its phase, so that the order is repeated.
                pass
            case OrderOutcome.NOT_IN_WAVE if operation.wave is not None:
                self._note_maintained(operation.wave, operation.vm)
                self._abandon(engine, operation)
            case _:
                self._abandon(engine, operation)

    async def _note_carried_out(self, journal: Journal, operation: VmOperation) -> None:
        """Record that the platform has carried out an order, now or earlier.

        Runs on the endpoint of the VM are left as they are: an order that was carried
        out earlier has not ended them now. Polls of the endpoint and the VM list show
        whether they have ended.
        """
        now = self._clock.now()
        operation.phase = OperationPhase.AWAITING_RETURN
        operation.phase_since = now
        outage_s = self._bounds.move_s
        if operation.wave is not None:
            outage_s = self._bounds.maintenance_s
        operation.earliest_return_at = now + outage_s * MIN_OUTAGE_FRACTION
        if operation.wave is not None:
            self._note_maintained(operation.wave, operation.vm)
            progress = self._waves[operation.wave].progress()
            await journal.append([encode_wave(progress)])

    def _note_maintained(self, wave: WaveId, vm: VmId) -> None:
        self._waves[wave].done.add(vm)
        row = self._table.rows.get(vm)
        if row is not None:
            row.maintenance_due = MaintenanceDue.NONE

    def _abandon(self, engine: Engine, operation: VmOperation) -> None:
        row = self._table.rows[operation.vm]
        row.operation = None
        uncordon(engine, row)

    async def _report_completion(self, wave: ActiveWave) -> None:
        record = self._codec.encode_wave_status(wave.id, completed=True)
        match await self._store.append(Topic.STATUS, [record], None):
            case Ok(_):
                wave.completion_reported = True
                logger.info("wave completed", extra={"wave": wave.id})
            case Err(fault):
                logger.info(
                    "completion of wave not stored; retrying",
                    extra={"detail": fault.detail},
                )


def activate_wave(
    order: WaveOrder,
    seen_for_s: float,
    now: float,
    now_ms: int,
    former: WaveProgress | None,
) -> ActiveWave:
    """Return a wave whose deadline counts from when any coordinator first read it.

    :param order: the operator's request.
    :param seen_for_s: how long ago this entry first read the request, in seconds.
    :param now: current time of the monotonic clock, in seconds.
    :param now_ms: current wall-clock time, in Unix milliseconds.
    :param former: progress that a former coordinator has stored, if any.
    """
    first_seen_ms = now_ms - int(seen_for_s * 1000)
    done: set[VmId] = set()
    if former is not None:
        first_seen_ms = min(first_seen_ms, former.first_seen_ms)
        done.update(former.done)
    until = now + order.within_s - (now_ms - first_seen_ms) / 1000
    return ActiveWave(
        order.id,
        order.vms,
        until,
        order.max_concurrent,
        done,
        first_seen_ms,
        recorded=former is not None,
    )


def to_vm_listing(one: ListedVm) -> VmListing:
    """Convert an entry of the VM list to the type of the engine."""
    return VmListing(
        id=one.id,
        pool=one.pool,
        up=one.state is VmState.UP,
        endpoint=one.endpoint,
        capacity=one.capacity,
        in_maintenance=one.state is VmState.MAINTENANCE,
        zone=one.zone,
    )
