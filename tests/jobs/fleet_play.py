"""Plays a load on an engine whose VMs move between pools, without a network."""

import heapq
import random
from collections.abc import Iterator

import msgspec

from hickoryplank.core.ids import (
    EndpointId,
    JobId,
    PoolId,
    QueueId,
    TeamId,
    VmId,
    Zone,
)
from hickoryplank.jobs.configuration import Configuration, Pool, Queue, Team
from hickoryplank.jobs.endpoints import Listing
from hickoryplank.jobs.engine import Engine, EngineTiming
from hickoryplank.jobs.evacuation import evacuate, is_empty
from hickoryplank.jobs.messages import StartOutcome
from hickoryplank.jobs.model import Job, Step
from hickoryplank.jobs.ordering import objective_s
from hickoryplank.jobs.rebalancing import DemandHistory, rebalance_pools
from hickoryplank.jobs.shortage import ShortageOrder
from hickoryplank.jobs.sizes import ZERO, Size
from hickoryplank.jobs.table import JobState
from hickoryplank.jobs.vm_supply import read_supply
from hickoryplank.jobs.vms import OperationPhase, VmListing, VmOperation, VmTable
from tests.jobs.fake_endpoint import FakeEndpoint

STANDBY = PoolId("standby")
CAPACITY = Size(16_000, 64_000, 0)
STEP_MS = 50
CONTROL_INTERVAL_MS = 100
MOVE_SECONDS = 1.5
TEAM = TeamId("norte")


class FakeVm(msgspec.Struct):
    """A VM, its pool, and when a move into that pool ends."""

    id: VmId
    pool: PoolId
    back_at: float = 0.0
    endpoint: EndpointId | None = None


class FleetPlay:
    """An engine and the VMs of several pools.

    :param sizes: number of VMs of each pool other than standby.
    :param standby: number of VMs in standby.
    :param max_moves: moves begun in one run of the control loop.
    :param order: order of service while a pool has too little room.
    """

    def __init__(
        self,
        sizes: dict[PoolId, int],
        standby: int,
        max_moves: int,
        order: ShortageOrder = ShortageOrder.DEADLINE,
    ):
        queues = [
            Queue(
                QueueId(pool),
                "a.example",
                f"/{pool}/",
                pool,
                stretch=1.6,
                slack_ms=600,
                public=False,
            )
            for pool in sizes
        ]
        pools = [*map(Pool, sizes), Pool(STANDBY, standby=True)]
        teams = [Team(TEAM, frozenset(["key"]), 1000.0, ZERO)]
        cfg = Configuration.build(1, queues, pools, teams)
        self.now = 100.0
        self.max_moves = max_moves
        self.engine = Engine(
            cfg,
            EngineTiming(4000, 600, 9.0, 10_000, 180, 400, 250),
            self.now,
            100_000,
            order,
        )
        self.table = VmTable()
        self.demand = DemandHistory()
        self.vms: list[FakeVm] = []
        self.fakes: dict[EndpointId, FakeEndpoint] = {}
        self.moves = 0
        self.vm_seconds = 0.0
        self._ended_at: dict[JobId, float] = {}
        for pool, count in [*sizes.items(), (STANDBY, standby)]:
            for number in range(count):
                vm = FakeVm(VmId(f"{pool}-{number}"), pool)
                self.vms.append(vm)
                self._join(vm)

    def run_ms(self, key) -> float:
        """Return how long a task runs: as long as its job says."""
        step = self.engine.jobs[key.job].job.steps[key.step]
        return float(step.estimate_ms)

    def _join(self, vm: FakeVm) -> None:
        if vm.pool == STANDBY:
            return
        vm.endpoint = EndpointId(f"{vm.id}@{self.now:.2f}")
        self.fakes[vm.endpoint] = FakeEndpoint(1, self.run_ms)
        listing = Listing(
            vm.endpoint, 1, f"{vm.id}:1", vm.pool, Zone("z"), CAPACITY, ("a", "r1")
        )
        self.engine.update_listing(listing, self.now)

    def step(self) -> None:
        """Advance the time, poll each endpoint, run one tick and the control loop."""
        self.now = round(self.now + STEP_MS / 1000, 3)
        for vm in self.vms:
            if vm.back_at and vm.back_at <= self.now:
                vm.back_at = 0.0
                self._join(vm)
            self.vm_seconds += (vm.pool != STANDBY) * STEP_MS / 1000
        self._run_engine()
        if round(self.now * 1000) % CONTROL_INTERVAL_MS == 0:
            self._run_control_loop()

    def _run_engine(self) -> None:
        for endpoint in list(self.engine.endpoints.values()):
            fake = self.fakes[endpoint.id]
            fake.advance(STEP_MS)
            request = self.engine.next_poll(endpoint, self.now, renew=True)
            report = fake.poll(1, request.acknowledged, request.until_ms)
            assert report is not None
            self.engine.poll_answered(endpoint, report, self.now, self.now)
        self.engine.tick(self.now, int(self.now * 1000))
        runs = self.engine.take_preassigned_starts(self.now)
        runs += self.engine.batch_stored(self.engine.take_batch(), self.now)
        for run in runs:
            fake = self.fakes[run.endpoint.id]
            outcome = fake.start(run.key, run.attempt, "", run.until_ms, 1)
            assert outcome is StartOutcome.STARTED
            self.engine.start_answered(run, outcome, 1, int(fake.clock_ms), self.now)
        stops, self.engine.stops = self.engine.stops, []
        for run in stops:
            self.fakes[run.endpoint.id].stop(run.key, run.attempt, 1)
            self.engine.stop_answered(run, self.now)
        for row in self.engine.jobs.values():
            if row.state is JobState.COMPLETED:
                self._ended_at.setdefault(row.job.id, self.now)

    def _run_control_loop(self) -> None:
        listings = [
            VmListing(vm.id, vm.pool, not vm.back_at, vm.endpoint, CAPACITY)
            for vm in self.vms
        ]
        self.table.update(tuple(listings), self.now)
        rebalance_pools(
            self.engine, self.table, self.demand, self.now, STANDBY, self.max_moves
        )
        self.engine.vm_supply = read_supply(self.table, self.engine.evacuated_zones)
        by_id = {vm.id: vm for vm in self.vms}
        for operation in self.table.operations():
            if operation.phase is OperationPhase.EVACUATING:
                self._try_move(by_id[operation.vm], operation)

    def _try_move(self, vm: FakeVm, operation: VmOperation) -> None:
        endpoint = self.engine.endpoint_of(vm.endpoint)
        if endpoint is not None:
            endpoint.cordoned = True
            evacuate(self.engine, endpoint, self.now)
            if not is_empty(endpoint):
                return
            self.engine.end_incarnation(endpoint, self.now)
        assert operation.pool is not None
        self.moves += 1
        vm.pool, vm.endpoint, vm.back_at = operation.pool, None, self.now + MOVE_SECONDS
        operation.phase = OperationPhase.AWAITING_RETURN
        operation.earliest_return_at = self.now + MOVE_SECONDS * 0.8

    def took_s(self, id: JobId) -> float:
        """Return how long a job took, in seconds; infinity if it hasn't ended."""
        ended_at = self._ended_at.get(id, float("inf"))
        return ended_at - self.engine.jobs[id].accepted_at

    def in_time(self) -> dict[JobId, bool]:
        """Return for each job whether it was completed within its objective."""
        met = {}
        for id, row in self.engine.jobs.items():
            queue = self.engine.configuration.queues[row.job.queue]
            latest = row.accepted_at + objective_s(row, queue)
            met[id] = self._ended_at.get(id, float("inf")) <= latest
        return met


class Turn(msgspec.Struct, frozen=True):
    """A rise and fall of a queue's arrivals.

    :param begin_s: begin of the turn, from the begin of the play, in seconds.
    :param ramp_s: time until the highest rate, and from it, in seconds.
    :param hold_s: time at the highest rate, in seconds.
    :param jobs_per_s: the highest rate.
    :param run_ms: shortest and longest run time of a task, in milliseconds.
    """

    pool: PoolId
    begin_s: float
    ramp_s: float
    hold_s: float
    jobs_per_s: float
    run_ms: tuple[int, int] = (600, 1500)

    def rate(self, at_s: float) -> float:
        """Return the arrivals per second at a time."""
        since = at_s - self.begin_s
        until = self.begin_s + 2 * self.ramp_s + self.hold_s - at_s
        return self.jobs_per_s * min(1.0, max(0.0, min(since, until) / self.ramp_s))


def play_turns(fleet: FleetPlay, turns: list[Turn], for_s: float, seed: int) -> None:
    """Submit the jobs of several turns, and run until all of them have ended."""
    rng = random.Random(seed)
    begun = fleet.now
    jobs = _jobs(turns, for_s, rng)
    while jobs:
        while jobs and jobs[0][0] <= fleet.now - begun:
            fleet.engine.submit(heapq.heappop(jobs)[2], fleet.now)
        fleet.step()
    for _ in range(400):
        if not fleet.engine.open_jobs:
            break
        fleet.step()


def _jobs(turns: list[Turn], for_s: float, rng: random.Random) -> list:
    return sorted(arrivals_of(turns, for_s, rng))


def arrivals_of(
    turns: list[Turn], for_s: float, rng: random.Random
) -> Iterator[tuple[float, int, Job]]:
    """Return the jobs of some turns, each with its time in seconds and a number."""
    for number, (at_s, job) in enumerate(_arrivals(turns, for_s, rng)):
        yield at_s, number, job


def _arrivals(
    turns: list[Turn], for_s: float, rng: random.Random
) -> Iterator[tuple[float, Job]]:
    count = 0
    for turn in turns:
        at_s = 0.0
        while at_s < for_s:
            at_s += rng.expovariate(turn.jobs_per_s)
            if rng.random() * turn.jobs_per_s >= turn.rate(at_s):
                continue
            count += 1
            size = Size(rng.choice([1500, 2500, 3500]), 4000, 0)
            first = Step(
                rng.randint(4, 12), size, estimate_ms=rng.randint(*turn.run_ms)
            )
            steps = [first]
            if rng.random() < 0.5:
                steps.append(msgspec.structs.replace(first, after=(0,)))
            yield (
                at_s,
                Job(
                    JobId(f"{turn.pool}-{count}"),
                    QueueId(turn.pool),
                    turn.pool,
                    TEAM,
                    "",
                    tuple(steps),
                    accepted_ms=0,
                ),
            )
