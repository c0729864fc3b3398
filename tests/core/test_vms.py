"""Tests of VM records: budgets hold, and each VM is in exactly one pool."""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from hickoryplank.core.objects import Endpoint, Kind, Pool, Ref
from hickoryplank.core.records import (
    Delete,
    VmMoved,
    VmReport,
    VmState,
    VmStep,
    WaveChange,
    WaveState,
)
from hickoryplank.core.vms import budget_of, in_service
from tests.core.builders import edit_set, new_id, small_fleet
from tests.core.cluster import Cluster

POOLS = ("rondas-norte", "spare")
vms = st.sampled_from([f"vm-{i}" for i in range(8)])
pools = st.sampled_from(POOLS)


class VmMachine(RuleBasedStateMachine):
    """Any node proposes any step at any time, also from a stale view."""

    def __init__(self):
        super().__init__()
        self.cluster = Cluster()
        self.cluster.edit(*small_fleet(budget=3), Pool(name="spare", spare=True))
        self.node = self.cluster.join("a")

    def rows(self, vm):
        """Return the row of ``vm`` as a lagging node and as the tail has it."""
        return self.node.tables.vms.get(vm), self.cluster.tail.vms.get(vm)

    @rule()
    def fold(self):
        self.cluster.fold(self.node)

    @rule(vm=vms, state=st.sampled_from(VmState), waved=st.booleans())
    def step(self, vm, state, waved, stale=True):
        read, row = self.rows(vm)
        read = read if stale else row
        if read is None:
            return
        counted = row is not None and row.in_service
        record = VmStep(
            id=new_id(),
            vm=vm,
            revision=read.revision,
            state=state,
            wave="w" if waved else None,
        )
        verdict = self.cluster.append(record)[0]
        if verdict.is_ok() and state is VmState.LEAVING and counted:
            tail = self.cluster.tail
            assert in_service(tail, row.pool) >= budget_of(tail, row.pool)

    @rule(drained=st.lists(vms, unique=True, max_size=5))
    def drain(self, drained):
        for vm in drained:
            for state in (VmState.LEAVING, VmState.DRAINED):
                self.step(vm, state, False, stale=False)

    @rule(vm=vms)
    def reboot(self, vm):
        for state in (VmState.REBOOTING, VmState.PROBING, VmState.ACTIVE):
            self.step(vm, state, False, stale=False)

    @rule(vm=vms, pool=pools, stale=st.booleans())
    def move(self, vm, pool, stale):
        read, row = self.rows(vm)
        read = read if stale else row
        if read is None:
            return
        before = {p: in_service(self.cluster.tail, p) for p in POOLS}
        self.cluster.append(
            VmMoved(id=new_id(), vm=vm, revision=read.revision, pool=pool)
        )
        assert before == {p: in_service(self.cluster.tail, p) for p in POOLS}

    @rule(vm=vms, healthy=st.booleans())
    def report(self, vm, healthy):
        self.cluster.append(VmReport(id=new_id(), vm=vm, healthy=healthy))

    @rule(state=st.sampled_from(WaveState), pool=pools)
    def wave(self, state, pool):
        self.cluster.append(
            WaveChange(
                id=new_id(), wave="w", operator="olga", state=state, pools=(pool,)
            )
        )

    @rule(pool=pools, budget=st.integers(0, 7))
    def edit_budget(self, pool, budget):
        self.cluster.edit(Pool(name=pool, min_available=budget))

    @rule(index=st.integers(0, 7), pool=pools)
    def put_endpoint(self, index, pool):
        self.cluster.edit(
            Endpoint(
                name=f"vm-{index}",
                address=f"127.0.0.1:{9000 + index}",
                pool=pool,
                zone="talcahuano",
                rack="rack-0",
            )
        )

    @rule(vm=vms)
    def delete_endpoint(self, vm):
        before = {p: in_service(self.cluster.tail, p) for p in POOLS}
        delete = Delete(Ref(Kind.ENDPOINT, vm))
        self.cluster.append(edit_set(self.cluster.tail, delete))
        assert before == {p: in_service(self.cluster.tail, p) for p in POOLS}

    @invariant()
    def each_vm_is_in_the_pool_of_its_endpoint(self):
        tables = self.cluster.tail
        ends = {n: row.obj.pool for n, row in tables.objects[Kind.ENDPOINT].items()}
        assert ends == {row.vm: row.pool for row in tables.vms.values()}
        sizes = sum(len(tables.members(pool)) for pool in tables.objects[Kind.POOL])
        assert sizes == len(tables.vms)

    @invariant()
    def each_pool_can_drain_a_vm(self):
        tables = self.cluster.tail
        for pool in POOLS:
            size = len(tables.members(pool))
            assert size == 0 or budget_of(tables, pool) < size


VmMachine.TestCase.settings = settings(max_examples=150, stateful_step_count=40)
test_vm_machine = VmMachine.TestCase
