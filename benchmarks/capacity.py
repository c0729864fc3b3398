"""CPU time, memory and bytes as linear functions of the size of the fleet.

Run on its own with ``python -m benchmarks.capacity``.
"""

import gc
import tracemalloc
from collections.abc import Callable, Iterator
from itertools import count

from benchmarks.figure import Figure
from benchmarks.fit import LinearFit, fit_line, shortest_time
from benchmarks.fleets import build_fleet, new_id
from hickoryplank.core.demand import PoolDemand
from hickoryplank.core.edits import base_for
from hickoryplank.core.fold import RECENT_RECORDS, fold
from hickoryplank.core.ids import Incarnation, OperatorId, PoolId, TeamId
from hickoryplank.core.maintenance import (
    MaintenancePlanner,
    MaintenancePolicy,
    VmObservation,
    WorkerReport,
)
from hickoryplank.core.message_auth import MessageSigner
from hickoryplank.core.messages import Heartbeat, Message, RunningCounts
from hickoryplank.core.moves import MovePlanner, MovePolicy
from hickoryplank.core.objects import Kind, Limit
from hickoryplank.core.ownership import owner
from hickoryplank.core.records import (
    Claim,
    EditSet,
    NodeJoined,
    Put,
    Record,
    UnitsTaken,
    VmReport,
    VmState,
    VmStep,
    encode_batch,
)
from hickoryplank.core.tables import Tables, decode_tables, encode_tables

VMS = 1500
POOLS = 194
TEAMS = 110
NODES = 9
EDITS_PER_DAY = 3600
DAY_SECONDS = 86_400
MAINTENANCE_INTERVAL_SECONDS = 7 * 7 * DAY_SECONDS
VM_REPLACEMENTS_PER_DAY = 200
VM_STEPS_PER_STOP = 5
CPU_TARGET_PERCENT = 2.6
MEMORY_TARGET_MB = 128.0
TRAFFIC_TARGET_KB_PER_SECOND = 4.0
MS_PER_SECOND = 1e3
US_PER_SECOND = 1e6
BYTES_PER_MB = 1e6
BYTES_PER_KB = 1e3
HEARTBEAT_INTERVAL_SECONDS = 0.5
#: Number of runs of a slow operation, or of a batch of fast ones, per measurement.
RUNS = 5
#: Number of runs of a fast operation per measurement.
REPEATS = 50
FLEET_SIZES_VMS = (375, 750, 1500, 3000)


def _scaled_fleet(vms: int) -> Tables:
    return build_fleet(vms, max(1, POOLS * vms // VMS), max(1, TEAMS * vms // VMS))


def _edit_set(tables: Tables, units: int) -> EditSet:
    edits = (Put(Limit(name="team-1", units=units)),)
    return EditSet(
        id=new_id(),
        operator=OperatorId("bench"),
        base=base_for(tables, edits),
        edits=edits,
    )


def _fit_edit_set_folds() -> LinearFit:
    sizes, times = [], []
    for vms in FLEET_SIZES_VMS:
        tables, units = _scaled_fleet(vms), count(1)
        for _ in range(RUNS):
            fold(tables, _edit_set(tables, next(units))).unwrap()

        def timed_function(tables=tables, units=units):
            return fold(tables, _edit_set(tables, next(units))).unwrap()

        sizes.append(sum(len(rows) for rows in tables.objects.values()))
        times.append(shortest_time(REPEATS, timed_function) * MS_PER_SECOND)
    return fit_line("fold of an edit set", "ms", "object", sizes, times)


def _fit_configuration_folds() -> LinearFit:
    """Fold a whole configuration in one edit set, as at the first start of a fleet."""
    sizes, times = [], []
    for vms in FLEET_SIZES_VMS:
        tables = _scaled_fleet(vms)
        sizes.append(sum(len(rows) for rows in tables.objects.values()))
        times.append(
            shortest_time(RUNS, lambda vms=vms: _scaled_fleet(vms)) * MS_PER_SECOND
        )
    return fit_line("whole configuration in one set", "ms", "object", sizes, times)


def _join_nodes(tables: Tables, nodes: int) -> list[Incarnation]:
    incarnations = []
    for i in range(nodes):
        record = NodeJoined(
            id=new_id(),
            node=f"entry-{i}",
            api=f"10.9.0.{i}:443",
            peer=f"10.9.0.{i}:7000",
            zone=f"zone-{i % 6}",
        )
        incarnations.append(Incarnation(fold(tables, record).unwrap()))
    return incarnations


def _vm_step_cycle(tables: Tables) -> Callable[[], object]:
    def timed_function() -> None:
        for i in range(0, REPEATS):
            vm = f"vm-{i}"
            for state in (VmState.LEAVING, VmState.ACTIVE):
                revision = tables.vms[vm].revision
                step = VmStep(id=new_id(), vm=vm, revision=revision, state=state)
                fold(tables, step).unwrap()

    return timed_function


def _fit_vm_step_folds() -> LinearFit:
    times = []
    for vms in FLEET_SIZES_VMS:
        timed_function = _vm_step_cycle(_scaled_fleet(vms))
        times.append(shortest_time(RUNS, timed_function) * US_PER_SECOND / REPEATS / 2)
    return fit_line("fold of a VM's step", "us", "VM", FLEET_SIZES_VMS, times)


def _claim(tables: Tables, holder: Incarnation, number: int) -> Claim:
    return Claim(
        id=new_id(),
        claim=f"team-1/{number:032x}",
        team="team-1",
        queue="queue-pool-1",
        holder=holder,
        request=f"{number:064x}",
        expires=1e9,
        content_type="application/json",
        body=b"x" * 512,
    )


def _tables_with_claims(claims: int) -> Tables:
    tables = build_fleet(300, 40, 20)
    (holder,) = _join_nodes(tables, 1)
    for number in range(claims):
        fold(tables, _claim(tables, holder, number)).unwrap()
    return tables


def _tables_with_recent_records(records: int) -> Tables:
    tables = build_fleet(300, 40, 20)
    for number in range(records):
        fold(tables, VmReport(id=f"{number:032x}", vm="vm-0", healthy=True)).unwrap()
    return tables


def _memory_mb(tables: Tables) -> float:
    """Return the memory of the decoded tables and their index, in MB."""
    data = encode_tables(tables)
    gc.collect()
    tracemalloc.start()
    copy = decode_tables(data)
    copy.members(PoolId("pool-0"))
    size = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del copy
    return size / BYTES_PER_MB


def _fit_tables(
    size_unit: str, sizes: tuple[int, ...], build: Callable[[int], Tables]
) -> Iterator[tuple[LinearFit, float | None]]:
    memory, snapshots, decoding = [], [], []
    for size in sizes:
        tables = build(size)
        data = encode_tables(tables)
        memory.append(_memory_mb(tables))
        snapshots.append(len(data) / BYTES_PER_KB)
        decoding.append(
            shortest_time(RUNS, lambda data=data: decode_tables(data)) * MS_PER_SECOND
        )
    yield (
        fit_line(f"memory of tables by {size_unit}", "MB", size_unit, sizes, memory),
        MEMORY_TARGET_MB,
    )
    yield fit_line(f"snapshot by {size_unit}", "KB", size_unit, sizes, snapshots), None
    yield (
        fit_line(f"snapshot decoding by {size_unit}", "ms", size_unit, sizes, decoding),
        None,
    )


def _fit_ticks_by_inactive_vms() -> LinearFit:
    sizes, times = (25, 50, 100, 200), []
    for inactive_vms in sizes:
        tables = build_fleet()
        for i in range(inactive_vms):
            row = tables.vms[f"vm-{i}"]
            step = VmStep(
                id=new_id(), vm=row.vm, revision=row.revision, state=VmState.LEAVING
            )
            fold(tables, step).unwrap()
        times.append(_tick_us(tables))
    return fit_line("planner tick", "us", "VM out of service", sizes, times)


def _fit_ticks_by_fleet_size() -> LinearFit:
    times = [_tick_us(_scaled_fleet(vms)) for vms in FLEET_SIZES_VMS]
    return fit_line("planner tick with no change", "us", "VM", FLEET_SIZES_VMS, times)


def _tick_us(tables: Tables) -> float:
    planner = MaintenancePlanner(MaintenancePolicy(), new_id)
    report = WorkerReport(boot="1", running=1, age=0.1)
    observations = {
        vm: VmObservation(since=9.0, report=report) for vm in tables.vm_index.inactive
    }
    planner.tick(tables, observations, 0.0)

    def timed_function() -> None:
        for _ in range(REPEATS):
            planner.tick(tables, observations, 1.0)

    return shortest_time(RUNS, timed_function) * US_PER_SECOND / REPEATS


def _fit_ledger_size() -> LinearFit:
    sizes, values = [], []
    for nodes in (3, 6, 9, 18):
        tables = build_fleet(300, 40, TEAMS)
        holders = _join_nodes(tables, nodes)
        empty_size = len(encode_tables(tables))
        for team in range(TEAMS):
            for holder in holders:
                name = f"team-{team}"
                units_taken = UnitsTaken(id=new_id(), team=name, holder=holder, units=2)
                fold(tables, units_taken).unwrap()
        tables.recent.clear()
        sizes.append(TEAMS * nodes)
        values.append((len(encode_tables(tables)) - empty_size) / BYTES_PER_KB)
    return fit_line("escrow ledger in a snapshot", "KB", "team and node", sizes, values)


def _fit_ownership() -> LinearFit:
    sizes, times = [], []
    pools = [PoolId(f"pool-{i}") for i in range(POOLS)]
    for nodes in (3, 6, 9, 18):
        members = [Incarnation(100 + i) for i in range(nodes)]

        def timed_function(members=members):
            return [owner(pool, members) for pool in pools]

        sizes.append(nodes * POOLS)
        times.append(shortest_time(RUNS, timed_function) * MS_PER_SECOND)
    return fit_line("owners of all pools", "ms", "pool and node", sizes, times)


def _signed_bytes(message: Message) -> int:
    signer = MessageSigner(b"secret", Incarnation(10**7))
    return len(signer.sign(Incarnation(10**7 + 1), message))


def _fit_heartbeats() -> LinearFit:
    """Fit the traffic of the heartbeats that a node sends and receives."""
    size = _signed_bytes(Heartbeat(10**9, False))
    sizes = (3, 6, 9, 18)
    values = [
        2 * (nodes - 1) * size / HEARTBEAT_INTERVAL_SECONDS / BYTES_PER_KB
        for nodes in sizes
    ]
    return fit_line("heartbeats, both ways", "KB/s", "node", sizes, values)


def _fit_running_counts() -> LinearFit:
    """Fit the size of one exchange of running counts with 8 peers, both ways."""
    sizes, values = (14, 28, 55, 110), []
    for teams in sizes:
        counts = {TeamId(f"team-{i}"): 7 for i in range(teams)}
        values.append(
            2 * (NODES - 1) * _signed_bytes(RunningCounts(counts, True)) / BYTES_PER_KB
        )
    return fit_line("a round of running counts, both ways", "KB", "team", sizes, values)


def _fit_move_planner_ticks() -> LinearFit:
    sizes, times = [], []
    for vms in FLEET_SIZES_VMS:
        tables = _scaled_fleet(vms)
        planner = MovePlanner(MovePolicy(buffer_vms=0), new_id)
        demand = {
            pool: PoolDemand(pool=pool, slots=20.0, peak=20.0)
            for pool in tables.objects[Kind.POOL]
        }
        planner.tick(tables, demand, 0.0)

        def timed_function(planner=planner, tables=tables, demand=demand):
            return planner.tick(tables, demand, 1.0)

        sizes.append(vms)
        times.append(shortest_time(REPEATS, timed_function) * MS_PER_SECOND)
    return fit_line("moves planner tick", "ms", "VM", sizes, times)


def _record_bytes(record: Record) -> int:
    return len(encode_batch((record,)))


def _log_figures() -> Iterator[Figure]:
    tables = build_fleet()
    (holder,) = _join_nodes(tables, 1)
    step = VmStep(
        id=new_id(), vm="vm-1000", revision=1, state=VmState.DRAINED, wave="wave-1"
    )
    steps = VM_STEPS_PER_STOP * (
        VMS / MAINTENANCE_INTERVAL_SECONDS + VM_REPLACEMENTS_PER_DAY / DAY_SECONDS
    )
    edits = EDITS_PER_DAY / DAY_SECONDS
    size = steps * _record_bytes(step) + edits * _record_bytes(_edit_set(tables, 5))
    yield Figure(name="control records a second", value=steps + edits, unit="1/s")
    yield Figure(
        name="control records read by a node",
        value=size / BYTES_PER_KB,
        unit="KB/s",
        target=TRAFFIC_TARGET_KB_PER_SECOND,
    )
    claim = _record_bytes(_claim(tables, holder, 1))
    yield Figure(name="claim with a body of 512 bytes", value=claim, unit="bytes")


def figures() -> Iterator[Figure]:
    """Yield each fitted line and its value for a fleet of 1,500 VMs."""
    edits = _fit_edit_set_folds()
    objects = VMS + 2 * POOLS + 4 * TEAMS
    yield from edits.figures(objects)
    core_percent = (
        edits.value_at(objects) / MS_PER_SECOND * EDITS_PER_DAY / DAY_SECONDS * 100
    )
    yield Figure(
        name="fold of 3,600 edit sets a day",
        value=core_percent,
        unit="% of a core",
        target=CPU_TARGET_PERCENT,
    )
    yield from _fit_configuration_folds().figures(objects)
    yield from _fit_vm_step_folds().figures(VMS)
    for size_unit, sizes, build, size in (
        ("VM", FLEET_SIZES_VMS, lambda vms: build_fleet(vms, POOLS, TEAMS), VMS),
        (
            "team",
            (28, 55, 110, 220),
            lambda teams: build_fleet(VMS, POOLS, teams),
            TEAMS,
        ),
        (
            "recent record",
            (2000, 4000, 8000, 16_000),
            _tables_with_recent_records,
            RECENT_RECORDS,
        ),
        ("claim", (1000, 2000, 4000, 8000), _tables_with_claims, 10_000),
    ):
        for line, target in _fit_tables(size_unit, sizes, build):
            yield from line.figures(size, target)
    yield from _fit_ticks_by_inactive_vms().figures(60)
    yield from _fit_ticks_by_fleet_size().figures(VMS)
    yield from _fit_ledger_size().figures(TEAMS * NODES)
    yield from _fit_ownership().figures(POOLS * NODES)
    yield from _fit_move_planner_ticks().figures(VMS)
    yield from _fit_heartbeats().figures(NODES, TRAFFIC_TARGET_KB_PER_SECOND)
    yield from _fit_running_counts().figures(TEAMS)
    yield from _log_figures()


if __name__ == "__main__":
    for figure in figures():
        print(figure)
