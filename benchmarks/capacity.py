"""CPU time, memory and bytes as linear functions of the size of the fleet.

Run on its own with ``python -m benchmarks.capacity``.
"""

import gc
import tracemalloc
from collections.abc import Callable, Iterator
from itertools import count

from benchmarks.figure import Figure
from benchmarks.fit import Fit, best_of, fit
from benchmarks.fleets import fleet, new_id
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
EDITS_A_DAY = 3600
DAY_SECONDS = 86_400
MAINTENANCE_SECONDS = 7 * 7 * DAY_SECONDS
REPLACED_A_DAY = 200
STEPS_A_VM = 5
CORE_SHARE_TARGET = 2.6
MEMORY_TARGET_MB = 128.0
TRAFFIC_TARGET_KB = 4.0
MS = 1e3
US = 1e6
MB = 1e6
KB = 1e3
HEARTBEAT_SECONDS = 0.5
RUNS = 5
REPEATS = 50
SIZES = (375, 750, 1500, 3000)


def _fleet(vms: int) -> Tables:
    return fleet(vms, max(1, POOLS * vms // VMS), max(1, TEAMS * vms // VMS))


def _edit(tables: Tables, units: int) -> EditSet:
    edits = (Put(Limit(name="team-1", units=units)),)
    return EditSet(
        id=new_id(),
        operator=OperatorId("bench"),
        base=base_for(tables, edits),
        edits=edits,
    )


def _fold_edits() -> Fit:
    sizes, times = [], []
    for vms in SIZES:
        tables, units = _fleet(vms), count(1)
        for _ in range(RUNS):
            fold(tables, _edit(tables, next(units))).unwrap()

        def work(tables=tables, units=units):
            return fold(tables, _edit(tables, next(units))).unwrap()

        sizes.append(sum(len(rows) for rows in tables.objects.values()))
        times.append(best_of(REPEATS, work) * MS)
    return fit("fold of an edit set", "ms", "object", sizes, times)


def _fold_whole() -> Fit:
    """Fold a whole configuration in one edit set, as at the first start of a fleet."""
    sizes, times = [], []
    for vms in SIZES:
        tables = _fleet(vms)
        sizes.append(sum(len(rows) for rows in tables.objects.values()))
        times.append(best_of(RUNS, lambda vms=vms: _fleet(vms)) * MS)
    return fit("whole configuration in one set", "ms", "object", sizes, times)


def _join(tables: Tables, nodes: int) -> list[Incarnation]:
    joined = []
    for i in range(nodes):
        record = NodeJoined(
            id=new_id(),
            node=f"entry-{i}",
            api=f"10.9.0.{i}:443",
            peer=f"10.9.0.{i}:7000",
            zone=f"zone-{i % 6}",
        )
        joined.append(Incarnation(fold(tables, record).unwrap()))
    return joined


def _vm_cycle(tables: Tables) -> Callable[[], object]:
    def work() -> None:
        for i in range(0, REPEATS):
            vm = f"vm-{i}"
            for state in (VmState.LEAVING, VmState.ACTIVE):
                revision = tables.vms[vm].revision
                step = VmStep(id=new_id(), vm=vm, revision=revision, state=state)
                fold(tables, step).unwrap()

    return work


def _fold_steps() -> Fit:
    times = []
    for vms in SIZES:
        work = _vm_cycle(_fleet(vms))
        times.append(best_of(RUNS, work) * US / REPEATS / 2)
    return fit("fold of a VM's step", "us", "VM", SIZES, times)


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


def _with_claims(claims: int) -> Tables:
    tables = fleet(300, 40, 20)
    (holder,) = _join(tables, 1)
    for number in range(claims):
        fold(tables, _claim(tables, holder, number)).unwrap()
    return tables


def _with_recent(records: int) -> Tables:
    tables = fleet(300, 40, 20)
    for number in range(records):
        fold(tables, VmReport(id=f"{number:032x}", vm="vm-0", healthy=True)).unwrap()
    return tables


def _memory(tables: Tables) -> float:
    """Return the memory of the decoded tables and their index, in MB."""
    data = encode_tables(tables)
    gc.collect()
    tracemalloc.start()
    copy = decode_tables(data)
    copy.members(PoolId("pool-0"))
    size = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del copy
    return size / MB


def _table_fits(
    per: str, sizes: tuple[int, ...], build: Callable[[int], Tables]
) -> Iterator[tuple[Fit, float | None]]:
    memory, snapshots, decoding = [], [], []
    for size in sizes:
        tables = build(size)
        data = encode_tables(tables)
        memory.append(_memory(tables))
        snapshots.append(len(data) / KB)
        decoding.append(best_of(RUNS, lambda data=data: decode_tables(data)) * MS)
    yield fit(f"memory of tables by {per}", "MB", per, sizes, memory), MEMORY_TARGET_MB
    yield fit(f"snapshot by {per}", "KB", per, sizes, snapshots), None
    yield fit(f"snapshot decoding by {per}", "ms", per, sizes, decoding), None


def _tick_by_changed() -> Fit:
    sizes, times = (25, 50, 100, 200), []
    for changed in sizes:
        tables = fleet()
        for i in range(changed):
            row = tables.vms[f"vm-{i}"]
            step = VmStep(
                id=new_id(), vm=row.vm, revision=row.revision, state=VmState.LEAVING
            )
            fold(tables, step).unwrap()
        times.append(_tick_time(tables))
    return fit("planner tick", "us", "VM out of service", sizes, times)


def _tick_by_fleet() -> Fit:
    times = [_tick_time(_fleet(vms)) for vms in SIZES]
    return fit("planner tick with no change", "us", "VM", SIZES, times)


def _tick_time(tables: Tables) -> float:
    planner = MaintenancePlanner(MaintenancePolicy(), new_id)
    report = WorkerReport(boot="1", running=1, age=0.1)
    seen = {
        vm: VmObservation(since=9.0, report=report) for vm in tables.vm_index.inactive
    }
    planner.tick(tables, seen, 0.0)

    def work() -> None:
        for _ in range(REPEATS):
            planner.tick(tables, seen, 1.0)

    return best_of(RUNS, work) * US / REPEATS


def _ledger() -> Fit:
    sizes, values = [], []
    for nodes in (3, 6, 9, 18):
        tables = fleet(300, 40, TEAMS)
        holders = _join(tables, nodes)
        empty = len(encode_tables(tables))
        for team in range(TEAMS):
            for holder in holders:
                name = f"team-{team}"
                take = UnitsTaken(id=new_id(), team=name, holder=holder, units=2)
                fold(tables, take).unwrap()
        tables.recent.clear()
        sizes.append(TEAMS * nodes)
        values.append((len(encode_tables(tables)) - empty) / KB)
    return fit("escrow ledger in a snapshot", "KB", "team and node", sizes, values)


def _ownership() -> Fit:
    sizes, times = [], []
    pools = [PoolId(f"pool-{i}") for i in range(POOLS)]
    for nodes in (3, 6, 9, 18):
        members = [Incarnation(100 + i) for i in range(nodes)]

        def work(members=members):
            return [owner(pool, members) for pool in pools]

        sizes.append(nodes * POOLS)
        times.append(best_of(RUNS, work) * MS)
    return fit("owners of all pools", "ms", "pool and node", sizes, times)


def _sealed_bytes(message: Message) -> int:
    sealer = MessageSigner(b"secret", Incarnation(10**7))
    return len(sealer.sign(Incarnation(10**7 + 1), message))


def _heartbeats() -> Fit:
    """Fit the traffic of the heartbeats that a node sends and receives."""
    size = _sealed_bytes(Heartbeat(10**9, False))
    sizes = (3, 6, 9, 18)
    values = [2 * (nodes - 1) * size / HEARTBEAT_SECONDS / KB for nodes in sizes]
    return fit("heartbeats, both ways", "KB/s", "node", sizes, values)


def _running_counts() -> Fit:
    """Fit the size of one exchange of running counts with 8 peers, both ways."""
    sizes, values = (14, 28, 55, 110), []
    for teams in sizes:
        counts = {TeamId(f"team-{i}"): 7 for i in range(teams)}
        values.append(2 * (NODES - 1) * _sealed_bytes(RunningCounts(counts, True)) / KB)
    return fit("a round of running counts, both ways", "KB", "team", sizes, values)


def _moves_tick() -> Fit:
    sizes, times = [], []
    for vms in SIZES:
        tables = _fleet(vms)
        planner = MovePlanner(MovePolicy(buffer_vms=0), new_id)
        demand = {
            pool: PoolDemand(pool=pool, slots=20.0, peak=20.0)
            for pool in tables.objects[Kind.POOL]
        }
        planner.tick(tables, demand, 0.0)

        def work(planner=planner, tables=tables, demand=demand):
            return planner.tick(tables, demand, 1.0)

        sizes.append(vms)
        times.append(best_of(REPEATS, work) * MS)
    return fit("moves planner tick", "ms", "VM", sizes, times)


def _record_bytes(record: Record) -> int:
    return len(encode_batch((record,)))


def _log_figures() -> Iterator[Figure]:
    tables = fleet()
    (holder,) = _join(tables, 1)
    step = VmStep(
        id=new_id(), vm="vm-1000", revision=1, state=VmState.DRAINED, wave="wave-1"
    )
    steps = STEPS_A_VM * (VMS / MAINTENANCE_SECONDS + REPLACED_A_DAY / DAY_SECONDS)
    edits = EDITS_A_DAY / DAY_SECONDS
    size = steps * _record_bytes(step) + edits * _record_bytes(_edit(tables, 5))
    yield Figure(name="control records a second", value=steps + edits, unit="1/s")
    yield Figure(
        name="control records read by a node",
        value=size / KB,
        unit="KB/s",
        target=TRAFFIC_TARGET_KB,
    )
    claim = _record_bytes(_claim(tables, holder, 1))
    yield Figure(name="claim with a body of 512 bytes", value=claim, unit="bytes")


def figures() -> Iterator[Figure]:
    """Yield each fitted line and its value for a fleet of 1,500 VMs."""
    edits = _fold_edits()
    objects = VMS + 2 * POOLS + 4 * TEAMS
    yield from edits.figures(objects)
    share = edits.at(objects) / MS * EDITS_A_DAY / DAY_SECONDS * 100
    yield Figure(
        name="fold of 3,600 edit sets a day",
        value=share,
        unit="% of a core",
        target=CORE_SHARE_TARGET,
    )
    yield from _fold_whole().figures(objects)
    yield from _fold_steps().figures(VMS)
    for per, sizes, build, size in (
        ("VM", SIZES, lambda vms: fleet(vms, POOLS, TEAMS), VMS),
        ("team", (28, 55, 110, 220), lambda teams: fleet(VMS, POOLS, teams), TEAMS),
        ("recent record", (2000, 4000, 8000, 16_000), _with_recent, RECENT_RECORDS),
        ("claim", (1000, 2000, 4000, 8000), _with_claims, 10_000),
    ):
        for line, target in _table_fits(per, sizes, build):
            yield from line.figures(size, target)
    yield from _tick_by_changed().figures(60)
    yield from _tick_by_fleet().figures(VMS)
    yield from _ledger().figures(TEAMS * NODES)
    yield from _ownership().figures(POOLS * NODES)
    yield from _moves_tick().figures(VMS)
    yield from _heartbeats().figures(NODES, TRAFFIC_TARGET_KB)
    yield from _running_counts().figures(TEAMS)
    yield from _log_figures()


if __name__ == "__main__":
    for figure in figures():
        print(figure)
