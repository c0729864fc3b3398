"""Tests of terms on an in-memory platform: calls, outages, handovers and waves."""

import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import anyio
import msgspec
import pytest

from hickoryplank.coordinator import term_state, vm_controller
from hickoryplank.coordinator.call_handler import MAX_STALENESS_SECONDS
from hickoryplank.coordinator.calls import (
    Accepted,
    Ask,
    CallContext,
    Cancel,
    Cancelled,
    Count,
    Faulty,
    NoKey,
    NoSuchJob,
    NoSuchQueue,
    NotRun,
    NotRunReason,
    PendingIs,
    StateIs,
    Submission,
    Submit,
    Unsettled,
)
from hickoryplank.coordinator.coordinator import Coordinator, CoordinatorContext
from hickoryplank.coordinator.lease import Holder, LeaseManager
from hickoryplank.coordinator.metrics import EntryMetrics
from hickoryplank.coordinator.operator_watcher import OperatorWatcher
from hickoryplank.coordinator.ports import (
    ListedVm,
    OrderOutcome,
    Topic,
    VmState,
    WaveOrder,
)
from hickoryplank.coordinator.vm_controller import VmOperationBounds
from hickoryplank.core.ids import EndpointId, JobId, PoolId, VmId, WaveId, Zone
from hickoryplank.jobs import evacuation
from hickoryplank.jobs.configuration import Configuration, Pool
from hickoryplank.jobs.engine import EngineTiming
from hickoryplank.jobs.model import Step
from hickoryplank.jobs.records import (
    Record,
    VmOrder,
    WaveProgress,
    decode_order,
    decode_wave,
    encode_order,
    is_wave_key,
)
from hickoryplank.jobs.shortage import ShortageOrder
from hickoryplank.jobs.table import JobState
from hickoryplank.meter import Metrics
from hickoryplank.shell.clock import MonotonicClock
from tests.coordinator.memory_platform import (
    FaultyStore,
    MemoryEndpoints,
    MemoryListingDecoder,
    MemoryOperatorRecordCodec,
    MemoryStore,
    MemoryVms,
)
from tests.jobs.driver import CAPACITY, POOL, TASK, configuration, listing
from tests.jobs.fake_endpoint import FakeEndpoint

pytestmark = pytest.mark.anyio
TIMEOUT_SECONDS = 8.0


@pytest.fixture
def anyio_backend() -> str:
    return "asyncio"


class Platform:
    """A platform in memory with some endpoints, each on a VM of its own.

    :param work_ms: run time of a task, in milliseconds; none for lasting tasks.
    :param count: number of endpoints.
    """

    def __init__(self, work_ms=lambda key: 100.0, count: int = 2):
        self.store = MemoryStore()
        self.work_ms = work_ms
        ids = [EndpointId(f"e{number}") for number in range(count)]
        self.fake_endpoints = {id: FakeEndpoint(1, work_ms) for id in ids}
        self.endpoints = MemoryEndpoints(self.fake_endpoints)
        self.listings = MemoryListingDecoder({id: listing(id, 1) for id in ids})
        self.operator = MemoryOperatorRecordCodec()
        self.vms = MemoryVms(
            {
                VmId(f"m-{id}"): ListedVm(
                    VmId(f"m-{id}"), POOL, VmState.UP, Zone("z"), (), CAPACITY, id
                )
                for id in ids
            }
        )

    async def open(self) -> None:
        """Publish a configuration and list the endpoints."""
        await self.publish(configuration())
        for id in self.fake_endpoints:
            await self.store.append(Topic.LISTINGS, [Record(id, b"listed")], None)

    async def publish(self, cfg) -> None:
        """Publish a configuration."""
        record = self.operator.encode("config", cfg)
        await self.store.append(Topic.OPERATOR, [record], None)

    async def evacuate(self, zone: Zone, requested: bool = True) -> None:
        """Request to evacuate a zone, or remove the request."""
        record = self.operator.encode_evacuation(zone, requested=requested)
        await self.store.append(Topic.OPERATOR, [record], None)

    async def request_wave(
        self, within_s: float = 5.0, max_concurrent: int = 2
    ) -> None:
        """Request a maintenance wave for all VMs."""
        wave = WaveOrder(WaveId("1"), tuple(self.vms.vms), within_s, max_concurrent)
        record = self.operator.encode("wave/1", wave)
        await self.store.append(Topic.OPERATOR, [record], None)


class Entry:
    """An entry without its network listeners."""

    def __init__(self, platform: Platform, name: str):
        self.store = FaultyStore(platform.store)
        clock = MonotonicClock()
        self.metrics = EntryMetrics()
        self.watcher = OperatorWatcher(self.store, platform.operator, clock)
        holder = Holder.fresh(name, f"{name}:7000")
        self.lease = LeaseManager(self.store, holder, clock)
        self.context = CoordinatorContext(
            store=self.store,
            endpoints=platform.endpoints,
            listings=platform.listings,
            clock=clock,
            timing=EngineTiming(4000, 100, 9.2, 10_000, 180.0, 400, 250),
            vms=platform.vms,
            operator=platform.operator,
            vm_bounds=VmOperationBounds(0.1, 0.1, 0.2, 64.0),
            metrics=self.metrics,
        )
        self.local_coordinator: Coordinator | None = None

    async def run(self) -> None:
        """Run a term whenever this entry holds the lease, until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self.watcher.run)
            tasks.start_soon(self.lease.run)
            while True:
                changed = self.lease.changed
                if self.lease.held:
                    self.local_coordinator = Coordinator(
                        self.context, self.lease, self.watcher
                    )
                    await self.local_coordinator.run()
                    self.local_coordinator = None
                else:
                    await changed.wait()

    @property
    def serving(self) -> bool:
        """Whether this entry is the coordinator and has restored its engine."""
        return (
            self.local_coordinator is not None
            and self.local_coordinator.engine is not None
        )


@asynccontextmanager
async def running(*entries: Entry) -> AsyncIterator[None]:
    async with anyio.create_task_group() as tasks:
        for entry in entries:
            tasks.start_soon(entry.run)
        yield
        tasks.cancel_scope.cancel()


async def wait_until(condition) -> None:
    with anyio.fail_after(TIMEOUT_SECONDS):
        while not condition():
            await anyio.sleep(0.01)


def where(path: str, key: str = "key", version: int = 0) -> CallContext:
    return CallContext("a.example", path, key, version)


def submit(id: str, *steps: Step, key: str = "key") -> Submit:
    path = f"/p/{id}"
    return Submit(where(path, key), JobId(id), Submission("payload", steps))


async def state(entry: Entry, id: str):
    return await entry.local_coordinator.answer(Ask(where(f"/p/{id}"), JobId(id)))


async def wait_for_state(entry: Entry, id: str, wanted: JobState) -> None:
    with anyio.fail_after(TIMEOUT_SECONDS):
        while await state(entry, id) != StateIs(wanted):
            await anyio.sleep(0.02)


async def test_submitted_job_runs_and_completes():
    platform = Platform()
    await platform.open()
    entry = Entry(platform, "a")
    async with running(entry):
        await wait_until(lambda: entry.serving)
        assert (
            await entry.local_coordinator.answer(submit("j", Step(3, TASK)))
            == Accepted()
        )
        await wait_for_state(entry, "j", JobState.COMPLETED)
        assert (
            await entry.local_coordinator.answer(submit("j", Step(3, TASK)))
            == Accepted()
        )
        assert await entry.local_coordinator.answer(Count(where("/p/"))) == PendingIs(0)
    metrics = Metrics("entry-1")
    entry.metrics.attach(metrics.meter)
    page = metrics.text().decode()
    assert 'hickoryplank_starts_total{outcome="started"} 3.0' in page
    assert 'why="completed"' in page
    assert sum(len(one.started) for one in platform.fake_endpoints.values()) == 3


@pytest.mark.parametrize(
    ("call", "answer"),
    [
        (submit("j", Step(1, TASK), key="other"), NoKey()),
        (submit("j", Step(1, TASK), key=""), NoKey()),
        (Ask(where("/p/none"), JobId("none")), NoSuchJob()),
        (Cancel(where("/p/none"), JobId("none")), NoSuchJob()),
        (Count(where("/q/")), NoSuchQueue()),
        (Count(where("/p/more/")), NoSuchQueue()),
    ],
)
async def test_rejected_calls(call, answer):
    platform = Platform()
    await platform.open()
    entry = Entry(platform, "a")
    async with running(entry):
        await wait_until(lambda: entry.serving)
        assert await entry.local_coordinator.answer(call) == answer


async def test_a_job_that_cant_be_served_in_time_is_refused_before_it_is_stored():
    platform = Platform(work_ms=lambda key: 60_000.0, count=1)
    await platform.open()
    entry = Entry(platform, "a")
    entry.context = msgspec.structs.replace(
        entry.context, shortage_order=ShortageOrder.LEAST_COST
    )
    backlog, more = Step(160, TASK, 1000), Step(160, TASK, 1000)
    async with running(entry):
        await wait_until(lambda: entry.serving)
        coordinator = entry.local_coordinator
        assert await coordinator.answer(submit("first", backlog)) == Accepted()
        await wait_until(lambda: coordinator.engine.vm_supply is not None)
        await wait_until(
            lambda: any(one.runs for one in coordinator.engine.endpoints.values())
        )
        answer = await coordinator.answer(submit("second", more))
        assert isinstance(answer, NotRun)
        assert answer.why is NotRunReason.NO_ROOM
        assert answer.again_s >= 1
        assert await state(entry, "second") == NoSuchJob()
        assert await coordinator.answer(submit("first", backlog)) == Accepted()
    stored = platform.store.partition(Topic.JOBS).records
    assert not any(record.key.endswith("second") for record in stored)


@pytest.mark.parametrize(
    "steps", [(), (Step(0, TASK),), (Step(1, TASK), Step(1, TASK, after=(1,)))]
)
async def test_malformed_jobs_are_rejected(steps):
    platform = Platform()
    await platform.open()
    entry = Entry(platform, "a")
    async with running(entry):
        await wait_until(lambda: entry.serving)
        assert isinstance(
            await entry.local_coordinator.answer(submit("j", *steps)), Faulty
        )


async def test_withdrawn_key_is_rejected():
    platform = Platform()
    await platform.open()
    entry = Entry(platform, "a")
    async with running(entry):
        await wait_until(lambda: entry.serving)
        cfg = configuration()
        without_teams = type(cfg).build(
            2, list(cfg.queues.values()), list(cfg.pools.values()), []
        )
        await platform.publish(without_teams)
        call = Submit(
            where("/p/j", version=2), JobId("j"), Submission("", (Step(1, TASK),))
        )
        assert await entry.local_coordinator.answer(call) == NoKey()


async def test_restarted_entry_uses_no_withdrawn_key_and_no_departed_endpoint():
    platform = Platform()
    await platform.open()
    before = Entry(platform, "a")
    async with running(before):
        await wait_until(lambda: before.serving)
        await before.local_coordinator.answer(submit("j", Step(2, TASK)))
        await wait_for_state(before, "j", JobState.COMPLETED)
    gone, stays = platform.fake_endpoints
    cfg = configuration()
    teams = [
        msgspec.structs.replace(team, keys=frozenset(["other"]))
        for team in cfg.teams.values()
    ]
    await platform.publish(
        type(cfg).build(2, list(cfg.queues.values()), list(cfg.pools.values()), teams)
    )
    await platform.store.append(Topic.LISTINGS, [Record(gone, b"")], None)
    started_before = len(platform.fake_endpoints[gone].started)
    after = Entry(platform, "a")
    async with running(after):
        await wait_until(lambda: after.serving)
        coordinator = after.local_coordinator
        assert await coordinator.answer(submit("k", Step(1, TASK))) == NoKey()
        await coordinator.answer(submit("l", Step(3, TASK), key="other"))
        context = where("/p/l", key="other")
        with anyio.fail_after(TIMEOUT_SECONDS):
            while await coordinator.answer(Ask(context, JobId("l"))) != StateIs(
                JobState.COMPLETED
            ):
                await anyio.sleep(0.02)
    assert len(platform.fake_endpoints[gone].started) == started_before
    assert len(platform.fake_endpoints[stays].started) >= 3


@pytest.mark.parametrize(
    "refuse",
    ["withdraw key", "remove queue", "stale configuration"],
)
async def test_submission_is_not_refused_while_its_record_may_arrive(refuse):
    platform = Platform()
    await platform.open()
    entry = Entry(platform, "a")
    async with running(entry):
        await wait_until(lambda: entry.serving)
        coordinator = entry.local_coordinator
        entry.store.delay_s = 0.4
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(coordinator.answer, submit("j", Step(1, TASK)))
            await anyio.sleep(0.1)
            await _make_coordinator_refuse(refuse, platform, entry)
            known = await coordinator.answer(submit("j", Step(1, TASK)))
            other = await coordinator.answer(submit("k", Step(1, TASK)))
        assert isinstance(known, Unsettled)
        assert isinstance(other, NoKey | NoSuchQueue | NotRun)
        assert "j" in coordinator.engine.jobs


async def _make_coordinator_refuse(how: str, platform: Platform, entry: Entry) -> None:
    cfg = configuration()
    queues, pools = list(cfg.queues.values()), list(cfg.pools.values())
    match how:
        case "withdraw key":
            await platform.publish(type(cfg).build(5, queues, pools, []))
            await wait_until(lambda: entry.watcher.version == 5)
        case "remove queue":
            teams = list(cfg.teams.values())
            await platform.publish(type(cfg).build(5, [], pools, teams))
            await wait_until(lambda: entry.watcher.version == 5)
        case "stale configuration":
            entry.watcher.staleness = lambda: MAX_STALENESS_SECONDS + 1


@pytest.mark.parametrize("call", ["submit", "cancel"])
async def test_a_repeated_call_for_what_is_stored_does_not_wait_for_the_store(call):
    platform = Platform(work_ms=lambda key: None)
    await platform.open()
    entry = Entry(platform, "a")
    calls = {
        "submit": (submit("j", Step(1, TASK)), Accepted()),
        "cancel": (Cancel(where("/p/j"), JobId("j")), Cancelled()),
    }
    async with running(entry):
        await wait_until(lambda: entry.serving)
        coordinator = entry.local_coordinator
        assert await coordinator.answer(calls["submit"][0]) == Accepted()
        repeated, answer = calls[call]
        assert await coordinator.answer(repeated) == answer
        entry.store.delay_s = 30.0
        with anyio.fail_after(0.5):
            assert await coordinator.answer(repeated) == answer


async def test_a_cancelled_job_ends_and_stays_cancelled():
    platform = Platform(work_ms=lambda key: None)
    await platform.open()
    entry = Entry(platform, "a")
    async with running(entry):
        await wait_until(lambda: entry.serving)
        await entry.local_coordinator.answer(submit("j", Step(2, TASK, lasting=True)))
        await wait_until(
            lambda: any(one.running for one in platform.fake_endpoints.values())
        )
        cancel = Cancel(where("/p/j"), JobId("j"))
        assert await entry.local_coordinator.answer(cancel) == Cancelled()
        await wait_for_state(entry, "j", JobState.CANCELLED)
        await wait_until(
            lambda: not any(one.running for one in platform.fake_endpoints.values())
        )


async def test_start_without_an_answer_is_not_sent_again_after_a_cancellation():
    """Guards against starts that follow the cancellation of their job."""
    platform = Platform(count=1)
    await platform.open()
    entry = Entry(platform, "a")
    async with running(entry):
        await wait_until(lambda: entry.serving)
        engine = entry.local_coordinator.engine
        await wait_until(lambda: engine.endpoints[EndpointId("e0")].token_confirmed)
        platform.endpoints.unreachable.add(EndpointId("e0"))
        await entry.local_coordinator.answer(submit("j", Step(1, TASK)))
        await wait_until(lambda: len(platform.endpoints.starts_sent) > 1)
        cancel = Cancel(where("/p/j"), JobId("j"))
        assert await entry.local_coordinator.answer(cancel) == Cancelled()
        sent = len(platform.endpoints.starts_sent)
        await anyio.sleep(0.6)
        assert len(platform.endpoints.starts_sent) == sent


async def test_next_coordinator_restores_jobs_and_starts_none_twice():
    platform = Platform(work_ms=lambda key: None)
    await platform.open()
    a, b = Entry(platform, "a"), Entry(platform, "b")
    async with running(a):
        await wait_until(lambda: a.serving)
        await a.local_coordinator.answer(submit("j", Step(3, TASK, lasting=True)))
        await wait_until(
            lambda: (
                sum(len(one.running) for one in platform.fake_endpoints.values()) == 3
            )
        )
        async with running(b):
            a.store.unavailable = True
            await wait_until(lambda: b.serving)
            assert await state(b, "j") == StateIs(JobState.RUNNING)
            await anyio.sleep(0.5)
            await wait_until(lambda: a.local_coordinator is None)
    assert sum(len(one.started) for one in platform.fake_endpoints.values()) == 3


@pytest.mark.parametrize("prefix", ["j:", "s:"], ids=["job", "state"])
async def test_job_with_a_malformed_record_is_not_run_again(prefix):
    platform = Platform(work_ms=lambda key: 400.0)
    await platform.open()
    first, second = Entry(platform, "a"), Entry(platform, "b")
    async with running(first):
        await wait_until(lambda: first.serving)
        for id in ("j", "k"):
            await first.local_coordinator.answer(submit(id, Step(2, TASK)))
        await wait_until(lambda: _started(platform) == 4)
    broken = Record(f"{prefix}j", b"\xc1")
    await platform.store.append(Topic.JOBS, [broken], None)
    async with running(second):
        await wait_until(lambda: second.serving)
        await wait_for_state(second, "k", JobState.COMPLETED)
        assert isinstance(await state(second, "j"), Unsettled)
        repeated = await second.local_coordinator.answer(submit("j", Step(2, TASK)))
        assert isinstance(repeated, Unsettled)
        await anyio.sleep(0.5)
    assert _started(platform) == 4


async def test_an_endpoint_is_called_once_its_pool_is_known():
    platform = Platform()
    await platform.open()
    later = EndpointId("e9")
    platform.fake_endpoints[later] = FakeEndpoint(1, platform.work_ms)
    platform.listings.listings[later] = msgspec.structs.replace(
        listing(later, 1), pool=PoolId("later")
    )
    await platform.store.append(Topic.LISTINGS, [Record(later, b"listed")], None)
    entry = Entry(platform, "a")
    async with running(entry):
        await wait_until(lambda: entry.serving)
        await entry.local_coordinator.answer(submit("j", Step(1, TASK)))
        await wait_for_state(entry, "j", JobState.COMPLETED)
        assert platform.fake_endpoints[later].token == 0
        cfg = configuration()
        pools = [*cfg.pools.values(), Pool(PoolId("later"))]
        await platform.publish(
            Configuration.build(
                2, list(cfg.queues.values()), pools, list(cfg.teams.values())
            )
        )
        await wait_until(lambda: platform.fake_endpoints[later].token > 0)


async def test_store_outage_rejects_jobs_and_keeps_leases():
    platform = Platform(work_ms=lambda key: None)
    await platform.open()
    entry = Entry(platform, "a")
    async with running(entry):
        await wait_until(lambda: entry.serving)
        await entry.local_coordinator.answer(submit("j", Step(2, TASK, lasting=True)))
        await wait_until(
            lambda: (
                sum(len(one.running) for one in platform.fake_endpoints.values()) == 2
            )
        )
        entry.store.unavailable = True
        await anyio.sleep(1.5)
        answer = await entry.local_coordinator.answer(submit("k", Step(1, TASK)))
        assert isinstance(answer, NotRun)
        await anyio.sleep(3.0)
        assert sum(len(one.running) for one in platform.fake_endpoints.values()) == 2
        entry.store.unavailable = False
        with anyio.fail_after(TIMEOUT_SECONDS):
            while answer != Accepted():
                assert isinstance(answer, NotRun)
                await anyio.sleep(0.05)
                answer = await entry.local_coordinator.answer(
                    submit("k", Step(1, TASK))
                )


async def test_call_with_a_newer_version_is_answered_after_a_wait():
    platform = Platform()
    await platform.open()
    entry = Entry(platform, "a")
    async with running(entry):
        await wait_until(lambda: entry.serving)
        call = Count(where("/p/", version=9))
        assert await entry.local_coordinator.answer(call) == PendingIs(0)


async def test_calls_are_rejected_without_a_valid_lease():
    platform = Platform()
    await platform.open()
    entry = Entry(platform, "a")
    async with running(entry):
        await wait_until(lambda: entry.serving)
        entry.store.unavailable = True
        await wait_until(lambda: not entry.lease.valid())
        answer = await state(entry, "none")
        assert answer == NotRun(NotRunReason.NO_COORDINATOR)


async def test_wave_maintains_each_vm_once_within_its_limit():
    platform = Platform(count=4)
    await platform.open()
    entry = Entry(platform, "a")
    async with running(entry):
        await wait_until(lambda: entry.serving)
        await platform.request_wave()
        status = platform.store.partition(Topic.STATUS)
        await wait_until(
            lambda: [one.value for one in status.records] == [b"completed"]
        )
    maintained = [vm for kind, vm, _, _ in platform.vms.orders if kind == "maintain"]
    assert sorted(maintained) == sorted(platform.vms.vms)
    assert platform.vms.max_down <= 2


async def test_next_coordinator_restores_when_a_wave_was_first_seen():
    platform = Platform(count=2)
    await platform.open()
    for vm in list(platform.vms.vms):
        platform.vms.set_state(vm, VmState.DOWN)
    entry = Entry(platform, "a")
    async with running(entry):
        await wait_until(lambda: entry.serving)
        await platform.request_wave(within_s=60.0)
        await wait_until(lambda: _wave_progress(platform) is not None)
    first = _wave_progress(platform)
    await anyio.sleep(0.3)
    for vm in list(platform.vms.vms):
        platform.vms.set_state(vm, VmState.UP)
    entry = Entry(platform, "b")
    async with running(entry):
        await wait_until(lambda: len(_wave_progress(platform).done) == 2)
    assert _wave_progress(platform).first_seen_ms == first.first_seen_ms


def _wave_progress(platform: Platform) -> WaveProgress | None:
    records = platform.store.partition(Topic.JOBS).records
    waves = [one for one in records if is_wave_key(one.key)]
    return decode_wave(waves[-1]) if waves else None


@pytest.mark.parametrize(
    "former_age_s, left_s", [(None, 18.0), (12.0, 8.0), (1.0, 18.0), (30.0, -10.0)]
)
def test_wave_deadline_counts_from_the_first_sighting(former_age_s, left_s):
    order = WaveOrder(WaveId("1"), (VmId("m"),), 20.0, 2)
    now_ms = 1_700_000_000_000
    former = None
    if former_age_s is not None:
        first_seen_ms = now_ms - int(former_age_s * 1000)
        former = WaveProgress(order.id, first_seen_ms, (VmId("m"),))
    row = vm_controller.activate_wave(order, 2.0, 100.0, now_ms, former)
    assert row.deadline == pytest.approx(100.0 + left_s)
    assert row.done == (set() if former is None else {"m"})


async def test_calls_are_rejected_with_a_stale_configuration():
    platform = Platform()
    await platform.open()
    entry = Entry(platform, "a")
    async with running(entry):
        await wait_until(lambda: entry.serving)
        entry.watcher.staleness = lambda: MAX_STALENESS_SECONDS + 1
        answer = await entry.local_coordinator.answer(submit("j", Step(1, TASK)))
        assert answer == NotRun(NotRunReason.STORE_AWAY)


async def test_an_older_version_never_replaces_a_newer_one():
    platform = Platform()
    await platform.open()
    entry = Entry(platform, "a")
    async with running(entry):
        await wait_until(lambda: entry.serving)
        cfg = configuration()
        parts = (list(cfg.queues.values()), list(cfg.pools.values()), [])
        await platform.publish(type(cfg).build(5, *parts))
        await platform.publish(type(cfg).build(4, *parts))
        await wait_until(lambda: entry.watcher.version == 5)
        await anyio.sleep(0.2)
        assert entry.watcher.version == 5


async def test_recently_ordered_vm_waits_after_a_takeover():
    platform = Platform(count=1)
    await platform.open()
    vm = next(iter(platform.vms.vms))
    ordered_at = time.time()
    order = encode_order(VmOrder(vm, int(ordered_at * 1000)))
    await platform.store.append(Topic.JOBS, [order], None)
    await platform.request_wave(max_concurrent=1)
    entry = Entry(platform, "a")
    async with running(entry):
        await wait_until(lambda: bool(platform.vms.orders))
        assert time.time() - ordered_at >= entry.context.vm_bounds.orders_apart_s + 0.9


async def test_nothing_starts_where_a_recent_order_may_end_it(monkeypatch):
    """Guards against starts on a VM that a former coordinator has ordered away.

    The VM list, which shows the operation, isn't read before the first tick.
    """
    platform = Platform(work_ms=lambda key: None, count=2)
    await platform.open()
    ordered_at = time.time()
    order = VmOrder(VmId("m-e0"), int(ordered_at * 1000), EndpointId("e0"))
    await platform.store.append(Topic.JOBS, [encode_order(order)], None)
    monkeypatch.setattr(vm_controller, "LOOP_INTERVAL_SECONDS", 0.5)
    entry = Entry(platform, "a")
    started = [fake.started for fake in platform.fake_endpoints.values()]
    async with running(entry):
        await wait_until(lambda: entry.serving)
        step = Step(2, TASK, lasting=True, max_per_endpoint=1, may_miss=1)
        await entry.local_coordinator.answer(submit("j", step))
        await wait_until(lambda: bool(started[1]))
        await wait_until(lambda: bool(started[0]))
        assert time.time() - ordered_at >= entry.context.vm_bounds.orders_apart_s + 0.9


@pytest.mark.parametrize("endpoint", [None, EndpointId("e0")])
def test_stored_orders_name_their_endpoint(endpoint):
    order = VmOrder(VmId("m-e0"), 5, endpoint)
    assert decode_order(encode_order(order)) == order


async def test_vm_is_not_ordered_away_while_its_runs_are_only_known_from_the_store():
    """Guards against maintenance of VMs whose endpoints aren't listed after a takeover.

    Such a VM was taken for empty, so that the order ended what ran there.
    """
    platform = Platform(work_ms=lambda key: None, count=3)
    platform.vms.on_down = lambda vm: ended_by_order.extend(
        platform.fake_endpoints[vm.endpoint].running
    )
    ended_by_order: list = []
    await platform.open()
    former = Entry(platform, "a")
    async with running(former):
        await wait_until(lambda: former.serving)
        step = Step(2, TASK, lasting=True, max_per_endpoint=1, may_miss=1)
        await former.local_coordinator.answer(submit("j", step))
        await wait_until(lambda: _started(platform) == 2)
    for id in platform.fake_endpoints:
        await platform.store.append(Topic.LISTINGS, [Record(id, b"")], None)
    await platform.request_wave(within_s=20.0, max_concurrent=3)
    entry = Entry(platform, "b")
    async with running(entry):
        await wait_until(lambda: bool(platform.vms.orders))
        await anyio.sleep(0.5)
        assert (ended_by_order, len(platform.vms.orders)) == ([], 1)
        for id in platform.fake_endpoints:
            await platform.store.append(Topic.LISTINGS, [Record(id, b"listed")], None)
        await wait_until(lambda: len(platform.vms.orders) == 3)
    assert ended_by_order == []


async def test_nothing_starts_on_a_vm_whose_order_is_under_way(monkeypatch):
    """Guards against starts on an endpoint that is listed after its VM was ordered.

    The order, which the platform accepts only later, ended what ran there.
    """
    platform = Platform(work_ms=lambda key: None, count=2)
    ended_by_order: list = []
    platform.vms.on_down = lambda vm: ended_by_order.extend(
        platform.fake_endpoints[vm.endpoint].running
    )
    await platform.open()
    late = EndpointId("e0")
    await platform.store.append(Topic.LISTINGS, [Record(late, b"")], None)
    maintain, accepting, attempts = platform.vms.maintain, False, 0

    async def maintain_once_accepting(vm, wave, token, permitted):
        nonlocal attempts
        attempts += 1
        if not accepting:
            return OrderOutcome.NOT_DONE
        return await maintain(vm, wave, token, permitted)

    monkeypatch.setattr(platform.vms, "maintain", maintain_once_accepting)
    del platform.vms.vms[VmId("m-e1")]
    entry = Entry(platform, "a")
    async with running(entry):
        await wait_until(lambda: entry.serving)
        await platform.request_wave(max_concurrent=1)
        await wait_until(lambda: attempts > 0)
        await platform.store.append(Topic.LISTINGS, [Record(late, b"listed")], None)
        step = Step(2, TASK, lasting=True, max_per_endpoint=1, may_miss=1)
        await entry.local_coordinator.answer(submit("j", step))
        await wait_until(lambda: late in entry.local_coordinator.engine.endpoints)
        await anyio.sleep(0.5)
        accepting = True
        await wait_until(lambda: bool(platform.vms.orders))
    assert _started(platform) == 1
    assert ended_by_order == []


async def test_open_calls_are_answered_before_the_lease_is_released():
    platform = Platform()
    await platform.open()
    entry = Entry(platform, "a")
    answers = []

    async def ask() -> None:
        answers.append(await entry.local_coordinator.answer(submit("j", Step(1, TASK))))

    async with running(entry):
        await wait_until(lambda: entry.serving)
        entry.store.delay_s = 0.15
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(ask)
            await anyio.sleep(0.02)
            await entry.local_coordinator.drain_calls()
            assert answers == [Accepted()]


async def test_open_calls_end_with_a_term_that_another_entry_asked_for():
    platform = Platform()
    await platform.open()
    entry = Entry(platform, "a")
    answers = []

    async def ask() -> None:
        answers.append(await entry.local_coordinator.answer(submit("j", Step(1, TASK))))

    async with running(entry):
        await wait_until(lambda: entry.serving)
        entry.store.delay_s = 0.9
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(ask)
            await anyio.sleep(0.05)
            entry.store.delay_s = 0.0
            request = msgspec.structs.replace(
                entry.lease.newest_record, step_down_requested_by="b"
            )
            record = Record("lease", msgspec.msgpack.encode(request))
            await platform.store.append(Topic.LEASE, [record], None)
            with anyio.fail_after(0.8):
                while not answers:
                    await anyio.sleep(0.01)
        assert isinstance(answers[0], Unsettled)


@pytest.mark.parametrize("max_renewal_age_s, started", [(5.0, 2), (0.0, 1)])
async def test_preassigned_steps_start_in_an_outage_after_a_recent_renewal(
    max_renewal_age_s, started, monkeypatch
):
    monkeypatch.setattr(term_state, "MAX_RENEWAL_AGE_SECONDS", max_renewal_age_s)
    platform = Platform(work_ms=lambda key: 400.0)
    await platform.open()
    entry = Entry(platform, "a")
    async with running(entry):
        await wait_until(lambda: entry.serving)
        await entry.local_coordinator.answer(
            submit("j", Step(1, TASK), Step(1, TASK, after=(0,)))
        )
        await wait_until(lambda: _started(platform) == 1)
        entry.store.unavailable = True
        await anyio.sleep(1.5)
        assert _started(platform) == started
        assert (
            entry.local_coordinator.engine.jobs[JobId("j")].stored_state
            is not JobState.COMPLETED
        )
        entry.store.unavailable = False
        await wait_for_state(entry, "j", JobState.COMPLETED)
    assert _started(platform) == 2


def _started(platform: Platform) -> int:
    return sum(len(one.started) for one in platform.fake_endpoints.values())


async def test_order_that_was_carried_out_before_ends_no_runs(monkeypatch):
    monkeypatch.setattr(evacuation, "EVACUATION_GRACE_SECONDS", 0.2)
    platform = Platform(work_ms=lambda key: 2500.0)
    await platform.open()
    entry = Entry(platform, "a")
    async with running(entry):
        await wait_until(lambda: entry.serving)
        await entry.local_coordinator.answer(submit("j", Step(2, TASK)))
        await wait_until(
            lambda: any(one.running for one in platform.fake_endpoints.values())
        )
        await platform.request_wave()
        await wait_until(lambda: len(platform.vms.orders) == 2)
        await wait_for_state(entry, "j", JobState.COMPLETED)
    assert _started(platform) == 2


def put_into_zones(platform: Platform, *zones: str) -> None:
    """Put each endpoint into an availability zone."""
    listings = platform.listings.listings
    for id, zone in zip(platform.fake_endpoints, zones, strict=True):
        listings[id] = msgspec.structs.replace(listings[id], zone=Zone(zone))


def starts_by_endpoint(platform: Platform) -> list[int]:
    sent = [run.endpoint.id for run in platform.endpoints.starts_sent]
    return [sent.count(id) for id in platform.fake_endpoints]


@pytest.mark.parametrize("trimmed", [False, True])
async def test_nothing_starts_in_an_evacuated_zone_until_it_is_taken_back(trimmed):
    platform = Platform()
    put_into_zones(platform, "north", "south")
    await platform.open()
    entry = Entry(platform, "a")
    async with running(entry):
        await wait_until(lambda: entry.serving)
        coordinator = entry.local_coordinator
        await platform.evacuate(Zone("north"))
        zones = coordinator.engine.evacuated_zones
        await wait_until(lambda: zones.zones == {"north"})
        for number in range(3):
            await coordinator.answer(submit(f"j{number}", Step(4, TASK)))
            await wait_for_state(entry, f"j{number}", JobState.COMPLETED)
        assert starts_by_endpoint(platform) == [0, 12]
        await platform.evacuate(Zone("north"), requested=False)
        if trimmed:
            platform.store.trim(Topic.OPERATOR)
        await wait_until(lambda: not zones.zones)
        await coordinator.answer(submit("k", Step(6, TASK)))
        await wait_for_state(entry, "k", JobState.COMPLETED)
        assert starts_by_endpoint(platform)[0] > 0


async def test_first_tick_of_a_new_term_starts_nothing_in_an_evacuated_zone():
    """The zone was evacuated while no entry was coordinator, with work waiting."""
    platform = Platform(work_ms=lambda key: 400.0)
    put_into_zones(platform, "north", "south")
    await platform.open()
    before = Entry(platform, "a")
    async with running(before):
        await wait_until(lambda: before.serving)
        for number in range(3):
            call = submit(f"j{number}", Step(4, TASK), Step(4, TASK, after=(0,)))
            assert await before.local_coordinator.answer(call) == Accepted()
        await wait_until(lambda: len(platform.endpoints.starts_sent) >= 8)
    await platform.evacuate(Zone("north"))
    platform.endpoints.starts_sent.clear()
    after = Entry(platform, "b")
    async with running(after):
        await wait_until(lambda: after.serving)
        for number in range(3):
            await wait_for_state(after, f"j{number}", JobState.COMPLETED)
    north, south = starts_by_endpoint(platform)
    assert (north, south > 0) == (0, True)


async def test_zones_stay_evacuated_while_the_store_is_unavailable():
    platform = Platform(work_ms=lambda key: 150.0)
    put_into_zones(platform, "north", "south")
    await platform.open()
    entry = Entry(platform, "a")
    async with running(entry):
        await wait_until(lambda: entry.serving)
        engine = entry.local_coordinator.engine
        await platform.evacuate(Zone("north"))
        await wait_until(lambda: engine.evacuated_zones.zones == {"north"})
        chain = [Step(4, TASK)] + [Step(4, TASK, after=(n,)) for n in range(3)]
        assert await entry.local_coordinator.answer(submit("j", *chain)) == Accepted()
        await wait_until(lambda: starts_by_endpoint(platform)[1] >= 4)
        entry.store.unavailable = True
        await wait_until(lambda: starts_by_endpoint(platform)[1] >= 8)
        assert starts_by_endpoint(platform)[0] == 0
        assert engine.evacuated_zones.zones == {"north"}
