"""Tests of maintenance waves: budgets, drains, races, failures, cancellation."""

from random import Random

import pytest
from hypothesis import example, given, settings
from hypothesis import strategies as st

from hickoryplank.core.maintenance import (
    MaintenancePolicy,
    ProbeResult,
    VmObservation,
    WorkerReport,
    is_drained,
)
from hickoryplank.core.objects import Endpoint, Pool
from hickoryplank.core.records import (
    VmMoved,
    VmReport,
    VmState,
    VmStep,
    WaveChange,
    WaveState,
    ZoneEvacuated,
    ZoneRestored,
)
from hickoryplank.core.tables import VmRow
from hickoryplank.core.vms import budget_of, in_service
from tests.core.builders import new_id, tables_with
from tests.core.fake_vms import FakeVms

POLICY = MaintenancePolicy()
POOLS = ("farmdesk", "ruteplan", "smaatt")
LONG_ENOUGH_SECONDS = 4000


def fleet(size: int = 4, budget: int = 2):
    objects = [
        Pool(name=pool, min_available=budget, spare=pool == "smaatt") for pool in POOLS
    ]
    for i in range(size * len(POOLS)):
        objects.append(
            Endpoint(
                name=f"vm-{i}",
                address=f"127.0.0.1:{9000 + i}",
                pool=POOLS[i % len(POOLS)],
                zone=f"bergen-{'abc'[i // 4 % 3]}",
                rack=f"rack-{i // 4}",
            )
        )
    return tables_with(objects)


def wave(name: str, state: WaveState, pools=POOLS) -> WaveChange:
    return WaveChange(id=new_id(), wave=name, operator="olga", state=state, pools=pools)


def leave(fake: FakeVms, vm: str, target: str | None = None) -> None:
    revision = fake.tables.vms[vm].revision
    fake.append(
        VmStep(
            id=new_id(),
            vm=vm,
            revision=revision,
            state=VmState.LEAVING,
            target=target,
        )
    ).unwrap()


def run(fake: FakeVms, seconds: int) -> None:
    for _ in range(seconds):
        fake.step()


def run_until_done(fake: FakeVms, *waves: str) -> None:
    for _ in range(LONG_ENOUGH_SECONDS):
        fake.step()
        if all(fake.tables.waves[w].state is WaveState.DONE for w in waves):
            return
    raise AssertionError("a wave was not done in time")


def run_until_recovered(fake: FakeVms) -> None:
    for _ in range(LONG_ENOUGH_SECONDS):
        if all(row.in_service for row in fake.tables.vms.values()):
            return
        fake.step()
    raise AssertionError("a failed VM did not return in time")


def missing(fake: FakeVms, wave_id: str, pools) -> list[VmRow]:
    """Return the VMs of a wave's pools that it has not completed."""
    done = fake.tables.waves[wave_id].done
    rows = [row for pool in pools for row in fake.tables.members(pool)]
    return [row for row in rows if row.vm not in done]


def check_safe(fake: FakeVms) -> None:
    assert fake.cut_off == 0
    assert fake.over_budget == 0


@given(
    seed=st.integers(0, 2**32),
    lags=st.lists(st.sampled_from([0.0, 0.5, 1.9, 7.0]), min_size=1, max_size=3),
    failures=st.lists(st.tuples(st.integers(0, 300), st.integers(0, 11)), max_size=3),
)
@settings(max_examples=40)
@example(seed=210, lags=[0.0], failures=[])
@example(seed=3445174, lags=[0.5], failures=[(89, 6)])
def test_waves_end_within_budgets_whatever_fails_and_whoever_proposes(
    seed, lags, failures
):
    fake = FakeVms(
        fleet(), Random(seed), POLICY, tuple(lags), reboot=(5.0, 30.0), bad_probe=0.2
    )
    fake.append(wave("w1", WaveState.RUNNING)).unwrap()
    fake.append(wave("w2", WaveState.RUNNING, POOLS[:2])).unwrap()
    for second in range(400):
        for at, i in failures:
            if second in (at, at + 60):
                healthy = second != at
                fake.append(VmReport(id=new_id(), vm=f"vm-{i}", healthy=healthy))
        fake.step()
    run_until_done(fake, "w1", "w2")
    for wave_id, pools in (("w1", POOLS), ("w2", POOLS[:2])):
        for row in missing(fake, wave_id, pools):
            assert (row.wave, row.healthy) == (wave_id, False)
            assert row.reboots >= POLICY.max_reboots
    run_until_recovered(fake)
    check_safe(fake)
    assert sorted(fake.tables.waves["w1"].done) == sorted(fake.tables.vms)
    assert len(fake.tables.waves["w2"].done) == 8


@given(seed=st.integers(0, 2**32), at=st.integers(1, 60), every=st.integers(1, 40))
@settings(max_examples=25)
def test_replacing_every_node_loses_nothing(seed, at, every):
    fake = FakeVms(fleet(), Random(seed), POLICY, (0.0, 1.0), reboot=(5.0, 30.0))
    fake.append(wave("w1", WaveState.RUNNING)).unwrap()
    for second in range(300):
        if second >= at and (second - at) % every == 0 and second < at + 3 * every:
            fake.nodes = [fake.new_node(1.0), fake.new_node(0.0)]
        fake.step()
    run_until_done(fake, "w1")
    check_safe(fake)


@given(seed=st.integers(0, 2**32), at=st.integers(1, 120))
@settings(max_examples=25)
def test_cancelled_wave_returns_its_vms_and_stops_no_reboot(seed, at):
    fake = FakeVms(fleet(), Random(seed), POLICY, (0.0, 1.9), reboot=(5.0, 30.0))
    fake.append(wave("w1", WaveState.RUNNING)).unwrap()
    run(fake, at)
    fake.append(wave("w1", WaveState.CANCELLED))
    run(fake, 120)
    check_safe(fake)
    assert not fake.tables.vm_index.inactive


def test_paused_wave_drains_no_further_vm_and_resumes():
    fake = FakeVms(fleet(), Random(1), POLICY, reboot=(5.0, 30.0))
    fake.append(wave("w1", WaveState.RUNNING)).unwrap()
    run(fake, 20)
    fake.append(wave("w1", WaveState.PAUSED)).unwrap()
    run(fake, 60)
    states = {row.state for row in fake.tables.vm_index.inactive.values()}
    done = len(fake.tables.waves["w1"].done)
    assert states <= {VmState.LEAVING, VmState.DRAINED}
    run(fake, 60)
    assert len(fake.tables.waves["w1"].done) == done < 12
    fake.append(wave("w1", WaveState.RUNNING)).unwrap()
    run_until_done(fake, "w1")
    check_safe(fake)


def test_failures_return_leaving_vms_to_service():
    fake = FakeVms(fleet(), Random(1), POLICY)
    fake.append(wave("w1", WaveState.RUNNING, ("farmdesk",))).unwrap()
    run(fake, 1)
    assert in_service(fake.tables, "farmdesk") == budget_of(fake.tables, "farmdesk")
    serving = [row.vm for row in fake.tables.members("farmdesk") if row.in_service]
    fake.append(VmReport(id=new_id(), vm=serving[0], healthy=False)).unwrap()
    run(fake, 1)
    assert in_service(fake.tables, "farmdesk") == budget_of(fake.tables, "farmdesk")


def test_operators_drain_stays_until_undrained():
    fake = FakeVms(fleet(), Random(1), POLICY)
    leave(fake, "vm-0")
    run(fake, 100)
    row = fake.tables.vms["vm-0"]
    assert row.state is VmState.DRAINED
    back = VmStep(id=new_id(), vm="vm-0", revision=row.revision, state=VmState.ACTIVE)
    fake.append(back).unwrap()
    run(fake, 10)
    assert row.in_service


@pytest.mark.parametrize(
    ("target", "state"),
    [("ruteplan", VmState.ACTIVE), ("smaatt", VmState.DRAINED)],
)
def test_vm_on_a_move_joins_its_target(target, state):
    fake = FakeVms(fleet(), Random(1), POLICY, (0.0, 1.0))
    leave(fake, "vm-0", target)
    run(fake, 60)
    row = fake.tables.vms["vm-0"]
    assert (row.pool, row.state) == (target, state)
    check_safe(fake)


def test_standby_vms_are_rebooted_by_a_wave_without_a_drain():
    fake = FakeVms(fleet(), Random(1), POLICY)
    leave(fake, "vm-0", "smaatt")
    run(fake, 60)
    fake.append(wave("w1", WaveState.RUNNING, ("smaatt",))).unwrap()
    run_until_done(fake, "w1")
    assert "vm-0" in fake.tables.waves["w1"].done
    check_safe(fake)


def test_wave_halts_while_rebooted_vms_fail_and_completes_once_they_recover():
    fake = FakeVms(fleet(), Random(1), POLICY, reboot=(5.0, 6.0), bad_probe=1.0)
    fake.append(wave("w1", WaveState.RUNNING, ("farmdesk",))).unwrap()
    run(fake, 1000)
    rows = fake.tables.members("farmdesk")
    assert [row.healthy for row in rows].count(False) == 2
    assert in_service(fake.tables, "farmdesk") == budget_of(fake.tables, "farmdesk")
    assert all(row.reboots > POLICY.max_reboots for row in rows if not row.healthy)
    fake.bad_probe = 0.0
    run_until_done(fake, "w1")
    check_safe(fake)
    assert all(row.in_service for row in rows)


@pytest.mark.parametrize(
    ("since", "running", "age", "healthy", "drained"),
    [
        (1.0, 0, 0.1, True, False),
        (3.0, 0, 0.1, True, True),
        (3.0, 1, 0.1, True, False),
        (3.0, 0, 1.0, True, False),
        (900.0, None, 0.0, True, False),
        (900.0, None, 0.0, False, True),
        (60.0, None, 0.0, False, False),
    ],
)
def test_drained_needs_a_report_from_after_the_last_start(
    since, running, age, healthy, drained
):
    row = VmRow(vm="vm-0", pool="p", state=VmState.LEAVING, healthy=healthy, revision=1)
    report = None
    if running is not None:
        report = WorkerReport(boot="1", running=running, age=age)
    seen = VmObservation(since=since, report=report, probe=ProbeResult.PENDING)
    assert is_drained(row, seen, POLICY) is drained


def test_move_into_a_deleted_pool_returns_the_vm_to_service():
    fake = FakeVms(fleet(size=3, budget=1), Random(1), POLICY)
    leave(fake, "vm-0", "smaatt")
    del fake.tables.objects[next(iter(fake.tables.objects))]["smaatt"]
    run(fake, 30)
    row = fake.tables.vms["vm-0"]
    assert (row.pool, row.state) == ("farmdesk", VmState.ACTIVE)
    moved = VmMoved(id=new_id(), vm="vm-0", revision=row.revision, pool="ruteplan")
    assert fake.append(moved).is_err()


@pytest.mark.parametrize(
    ("zones", "done"),
    [(("bergen-a",), ["vm-0", "vm-3"]), (("bergen-b", "bergen-c"), ["vm-6", "vm-9"])],
)
def test_wave_maintains_evacuated_zones_and_keeps_the_budget_elsewhere(zones, done):
    fake = FakeVms(fleet(), Random(5), POLICY)
    for zone in zones:
        fake.append(ZoneEvacuated(id=new_id(), zone=zone)).unwrap()
    fake.append(wave("w", WaveState.RUNNING, pools=("farmdesk",))).unwrap()
    for _ in range(1000):
        fake.step()
        assert in_service(fake.tables, "farmdesk") == 2
    assert sorted(fake.tables.waves["w"].done) == done
    assert fake.tables.waves["w"].state is WaveState.RUNNING
    assert fake.refused == 0
    for zone in zones:
        fake.append(ZoneRestored(id=new_id(), zone=zone)).unwrap()
    run_until_done(fake, "w")
    assert missing(fake, "w", ("farmdesk",)) == []
    assert fake.cut_off == fake.over_budget == 0


def test_vm_in_maintenance_is_not_called_back_into_an_evacuated_zone():
    fake = FakeVms(fleet(budget=2), Random(5), POLICY)
    fake.append(wave("w", WaveState.RUNNING, pools=("farmdesk",))).unwrap()
    fake.step()
    leaving = {vm for vm, row in fake.tables.vms.items() if row.wave == "w"}
    assert leaving == {"vm-0", "vm-3"}
    fake.append(ZoneEvacuated(id=new_id(), zone="bergen-a")).unwrap()
    fake.append(VmReport(id=new_id(), vm="vm-6", healthy=False)).unwrap()
    run(fake, 2)
    assert all(
        fake.tables.vms[vm].state is VmState.LEAVING and fake.tables.vms[vm].wave == "w"
        for vm in leaving
    )


def test_vm_on_a_move_stays_in_its_pool_if_its_zone_is_evacuated():
    fake = FakeVms(fleet(), Random(5), POLICY)
    leave(fake, "vm-0", target="ruteplan")
    fake.append(ZoneEvacuated(id=new_id(), zone="bergen-a")).unwrap()
    run(fake, 1000)
    row = fake.tables.vms["vm-0"]
    assert (row.pool, row.state, row.target) == ("farmdesk", VmState.ACTIVE, None)
    assert fake.refused == 0
