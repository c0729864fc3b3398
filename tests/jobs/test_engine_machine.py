"""Plays random faults on the engine, and holds what endpoints ran against the rules."""

from contextlib import ExitStack
from itertools import combinations

import msgspec
import pytest
from hypothesis import assume, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from hickoryplank.core.ids import EndpointId, JobId, VmId, WaveId, Zone
from hickoryplank.jobs.configuration import AdviceTiming
from hickoryplank.jobs.evacuation import continue_evacuation
from hickoryplank.jobs.model import Job, Step, TaskKey
from hickoryplank.jobs.quarantine import SubjectKind
from hickoryplank.jobs.records import StoreBounds
from hickoryplank.jobs.sizes import Size
from hickoryplank.jobs.table import JobState
from hickoryplank.jobs.vms import OperationPhase, VmOperation
from tests.jobs.driver import POOL, QUEUE, configuration, job, without_queues
from tests.jobs.ledger import Ledger, LedgerDriver, task_keys
from tests.jobs.raising import PLACES, Raiser

ENDPOINTS = [EndpointId(f"e{number}") for number in range(3)]
#: Availability zones, of which the second has two endpoints.
ZONES = [Zone("z0"), Zone("z1")]
TEAM_LIMIT = Size(9000, 0, 0)
#: Runs of a task, or gang, that may fail.
ATTEMPTS = 3
#: Jobs of one play, of which the last may wait for all others.
MAX_JOBS = 12
#: Steps of 0.1 s within which some task has to end once all faults have ended. The
#: longest wait is for leases that former coordinators granted.
STALL_STEPS = 150
#: Steps for which a lasting task may wait though an endpoint has room for it: the 6 s
#: after its last run that the platform allows.
MAX_WAITING_STEPS = 60
ADVICE = AdviceTiming(10, 1, 3000)
#: Slowest clock of an endpoint that the platform allows.
SLOW_CLOCK = 0.98

SIZES = st.builds(Size, st.sampled_from([500, 1500, 3000]), st.just(1000))
PLAIN = st.builds(
    Step,
    st.integers(1, 4),
    SIZES,
    estimate_ms=st.sampled_from([0, 200, 2000]),
    max_per_endpoint=st.integers(0, 2),
    checkpointing=st.booleans(),
)
GANGS = st.builds(Step, st.integers(2, 3), SIZES, gang=st.just(True))
LASTING = st.builds(
    Step,
    st.integers(1, 3),
    st.just(Size(500, 500)),
    lasting=st.just(True),
    may_miss=st.integers(0, 1),
    max_per_endpoint=st.integers(0, 2),
)
SUBSETS = st.sets(st.sampled_from(ENDPOINTS))
#: Subsets that are not empty.
SOME_ENDPOINTS = st.sets(st.sampled_from(ENDPOINTS), min_size=1)
SOME_ZONES = st.sets(st.sampled_from(ZONES), min_size=1)


#: Fields of a job or step that the pages allow together, two of which are drawn; advice
#: is a field of the queue.
FIELDS = [
    "gang",
    "repeats",
    "lasting",
    "checkpointing",
    "labels",
    "after",
    "speculative",
    "fills",
    "affinity",
    "max_per_endpoint",
]
PAIRS = list(combinations(FIELDS, 2))


def step_with(fields: tuple[str, ...], count: int, size: Size) -> Step:
    """Return a step that has some fields."""
    return Step(
        count,
        size,
        estimate_ms=200,
        gang="gang" in fields,
        lasting="lasting" in fields,
        may_miss=1 if "lasting" in fields else 0,
        checkpointing="checkpointing" in fields,
        required_label="a" if "labels" in fields else "",
        affinity="r1" if "affinity" in fields else "",
        speculative="speculative" in fields,
        fills="fills" in fields,
        max_per_endpoint=1 if "max_per_endpoint" in fields else 0,
    )


def run_ms(key, step: Step) -> float | None:
    """Return how long a task runs; none for a lasting task."""
    if step.lasting:
        return None
    return 200.0 + 700.0 * ((key.index * 7 + key.step * 3 + len(key.job)) % 4)


def permits(job: JobId, id: EndpointId, born_ms: int) -> bool:
    """Return whether advice allows a job on an incarnation of an endpoint.

    A gang may need all endpoints. Any other job may run on the first one, so that it
    can be done, and on some incarnations of the others.
    """
    return job.startswith("gang") or id == ENDPOINTS[0] or (len(job) + born_ms) % 2 == 0


class EngineMachine(RuleBasedStateMachine):
    """One engine after the other, their store, and three endpoints with faults."""

    @initialize(
        slow=st.booleans(),
        advised=st.booleans(),
        ends_per_report=st.sampled_from([1, 2, 500]),
        split=st.booleans(),
    )
    def begin(
        self, slow: bool, advised: bool, ends_per_report: int, split: bool
    ) -> None:
        self.ledger = Ledger()
        self.cfg = configuration(TEAM_LIMIT, ATTEMPTS, ADVICE if advised else None)
        self.driver = LedgerDriver(
            self.ledger,
            len(ENDPOINTS),
            lambda key: run_ms(key, self.ledger.jobs[key.job].steps[key.step]),
            self.cfg,
        )
        if split:
            # No state fits into one record.
            self.driver.bounds = self.driver.engine.bounds = StoreBounds(1)
        zones = [ZONES[0], ZONES[1], ZONES[1]]
        self.driver.assign_zones(dict(zip(ENDPOINTS, zones, strict=True)))
        self.driver.permits = permits if advised else None
        self.driver.clock_rate = SLOW_CLOCK if slow else 1.0
        self.driver.ends_per_report = ends_per_report
        for fake in self.driver.endpoints.values():
            fake.ends_per_report = ends_per_report
        self.store_up = True
        self.cancelled: set[str] = set()
        #: Operations on the VMs of endpoints, until they are ordered.
        self.operations: dict[EndpointId, VmOperation] = {}
        #: Endpoints whose VM has been ordered away, until the order is carried out.
        self.ordered: set[EndpointId] = set()

    def submit(self, id: str, *steps: Step) -> None:
        self.accept(job(id, *steps))

    def accept(self, new: Job) -> None:
        """Submit a job with the terms that its queue has in the configuration."""
        terms = self.cfg.queues[QUEUE].terms
        new = msgspec.structs.replace(new, terms=terms)
        self.ledger.jobs[new.id] = new
        self.driver.engine.submit(new, self.driver.now)

    @precondition(lambda self: len(self.ledger.jobs) < MAX_JOBS)
    @rule(steps=st.lists(PLAIN, min_size=1, max_size=3), chained=st.booleans())
    def submit_plain(self, steps: list[Step], chained: bool) -> None:
        steps = [
            Step(
                one.count,
                one.size,
                estimate_ms=one.estimate_ms,
                max_per_endpoint=one.max_per_endpoint,
                checkpointing=one.checkpointing,
                after=(number - 1,) if chained and number else (),
            )
            for number, one in enumerate(steps)
        ]
        self.submit(f"plain{len(self.ledger.jobs)}", *steps)

    @precondition(lambda self: len(self.ledger.jobs) < MAX_JOBS)
    @rule(step=GANGS)
    def submit_gang(self, step: Step) -> None:
        self.submit(f"gang{len(self.ledger.jobs)}", step)

    @precondition(lambda self: len(self.ledger.jobs) < MAX_JOBS)
    @rule(step=LASTING)
    def submit_lasting(self, step: Step) -> None:
        self.submit(f"lasting{len(self.ledger.jobs)}", step)

    @precondition(lambda self: len(self.ledger.jobs) < MAX_JOBS)
    @rule(
        step=PLAIN,
        repeats=st.integers(1, 4),
        first_ms=st.integers(-500, 1000),
        period_ms=st.sampled_from([0, 100, 1000]),
    )
    def submit_timed(
        self, step: Step, repeats: int, first_ms: int, period_ms: int
    ) -> None:
        plain = job(f"timed{len(self.ledger.jobs)}", step)
        first_ms += int(self.driver.now * 1000)
        new = msgspec.structs.replace(
            plain, repeats=repeats, first_ms=first_ms, period_ms=period_ms
        )
        self.accept(new)

    @precondition(lambda self: len(self.ledger.jobs) < MAX_JOBS)
    @rule(
        fields=st.sampled_from(PAIRS),
        count=st.integers(2, 3),
        repeats=st.integers(1, 3),
        first_ms=st.integers(-500, 500),
        period_ms=st.sampled_from([0, 100, 1000]),
    )
    def submit_with_fields(
        self,
        fields: tuple[str, ...],
        count: int,
        repeats: int,
        first_ms: int,
        period_ms: int,
    ) -> None:
        """Submit a job with a pair of fields."""
        kind = next((one for one in ("gang", "lasting") if one in fields), "pair")
        steps = [step_with(fields, count, Size(500, 500))]
        if "after" in fields:
            before = tuple(one for one in fields if one != "lasting")
            steps.insert(0, step_with(before, 2, Size(500, 500)))
            steps[1] = msgspec.structs.replace(steps[1], after=(0,))
        new = job(f"{kind}{len(self.ledger.jobs)}", *steps)
        if "repeats" in fields:
            new = msgspec.structs.replace(
                new,
                repeats=repeats,
                first_ms=first_ms + int(self.driver.now * 1000),
                period_ms=period_ms,
            )
        self.accept(new)

    @rule(number=st.integers(0, 20))
    def cancel(self, number: int) -> None:
        rows = list(self.driver.engine.open_jobs.values())
        assume(number < len(rows))
        self.cancelled.add(rows[number].job.id)
        self.driver.engine.cancel(rows[number], self.driver.now)

    @rule(present=st.booleans())
    def change_configuration(self, present: bool) -> None:
        """Drop the queue from the configuration, or add it again."""
        self.driver.configure(self.cfg if present else without_queues(self.cfg))

    @rule(ids=SUBSETS)
    def cut_endpoints(self, ids: set[EndpointId]) -> None:
        self.driver.unreachable = ids

    @rule(ids=SUBSETS)
    def lose_answers_to_starts(self, ids: set[EndpointId]) -> None:
        self.driver.lost_answers = ids

    @rule(ids=SUBSETS, stalled=st.booleans())
    def turn_endpoints_unwell(self, ids: set[EndpointId], stalled: bool) -> None:
        for id, fake in self.driver.endpoints.items():
            fake.failing = id in ids and not stalled
            fake.stalled = id in ids and stalled

    @rule(count=st.integers(1, 12))
    def fail_all_runs(self, count: int) -> None:
        self.turn_endpoints_unwell(set(ENDPOINTS), stalled=False)
        self.step(count, 400)

    @rule(id=st.sampled_from(ENDPOINTS), listed=st.booleans())
    def restart_endpoint(self, id: EndpointId, listed: bool) -> None:
        """Begin a new incarnation, which is listed, or noticed by its next report."""
        if listed:
            self.driver.restart_endpoint(id)
        else:
            born_ms = self.driver.endpoints[id].born_ms + 1
            self.driver.endpoints[id] = self.driver.build_endpoint(id, born_ms)

    @precondition(lambda self: len(self.ledger.jobs) < MAX_JOBS)
    @rule(
        id=st.sampled_from(ENDPOINTS),
        step=LASTING,
        taken_over=st.booleans(),
        count=st.integers(10, 90),
    )
    def restart_endpoint_unseen_and_cut_it(
        self, id: EndpointId, step: Step, taken_over: bool, count: int
    ) -> None:
        """Have a start reach an incarnation that is cut off before it is noticed."""
        self.driver.endpoints[id].clock_ms += 60_000
        self.step(3, 100)
        self.submit_lasting(step)
        self.restart_endpoint(id, listed=False)
        self.driver.engine.tick(self.driver.now, self.driver.wall_ms)
        if self.store_up:
            self.driver.commit()
        self.cut_endpoints({id})
        if taken_over:
            self.begin_next_term(applied=False)
        self.step(count, 100)

    @precondition(lambda self: len(self.ledger.jobs) < MAX_JOBS - 1)
    @rule(id=st.sampled_from(ENDPOINTS), step=PLAIN, listed=st.booleans())
    def hold_up_an_acknowledgement(
        self, id: EndpointId, step: Step, listed: bool
    ) -> None:
        """Have a poll without an answer arrive in the next incarnation."""
        self.submit_plain([step], chained=False)
        for _ in range(12):
            self.step(1, 100)
            endpoint = self.driver.engine.endpoint_of(id)
            if endpoint is None or id in self.driver.unreachable:
                return
            if endpoint.stored_end_number > endpoint.confirmed_ack_number:
                break
        self.driver.unreachable = self.driver.unreachable | {id}
        self.driver.poll_endpoints()
        self.driver.unreachable = self.driver.unreachable - {id}
        self.driver.deliver_last_poll_later(id)
        self.restart_endpoint(id, listed)
        self.submit_plain([step], chained=False)
        self.step(12, 100)

    @rule(id=st.sampled_from(ENDPOINTS), draining=st.booleans())
    def drain_endpoint(self, id: EndpointId, draining: bool) -> None:
        self.driver.list_endpoint(id, draining)

    @rule(zones=SOME_ZONES)
    def evacuate_zones(self, zones: set[Zone]) -> None:
        """Evacuate zones, and take back all others."""
        self.driver.evacuate_zones(*zones)

    @rule()
    def take_zones_back(self) -> None:
        self.driver.evacuate_zones()

    @precondition(lambda self: len(self.ledger.jobs) < MAX_JOBS)
    @rule(
        zones=SOME_ZONES, step=PLAIN, count=st.integers(0, 6), taken_over=st.booleans()
    )
    def evacuate_zones_as_work_begins(
        self, zones: set[Zone], step: Step, count: int, taken_over: bool
    ) -> None:
        """Evacuate zones while starts are decided, stored or sent."""
        self.submit_plain([step, step], chained=True)
        self.step(count, 50)
        self.evacuate_zones(zones)
        if taken_over:
            self.begin_next_term(applied=False)
        self.step(12, 100)

    @precondition(lambda self: len(self.ledger.jobs) < MAX_JOBS)
    @rule(zone=st.sampled_from(ZONES), step=LASTING)
    def evacuate_a_zone_with_lasting_tasks(self, zone: Zone, step: Step) -> None:
        self.submit_lasting(step)
        self.step(8, 100)
        self.evacuate_zones({zone})
        self.step(12, 100)

    @rule(ids=SOME_ENDPOINTS)
    def begin_wave(self, ids: set[EndpointId]) -> None:
        """Begin to evacuate the VMs of endpoints."""
        for id in sorted(ids - self.ordered):
            self.operations[id] = VmOperation(
                VmId(f"m-{id}"),
                None,
                WaveId("1"),
                OperationPhase.EVACUATING,
                self.driver.now,
            )

    @rule(id=st.sampled_from(ENDPOINTS))
    def cancel_operation(self, id: EndpointId) -> None:
        """Keep a VM in service that was to be evacuated."""
        assume(id in self.operations)
        self.operations.pop(id)
        self.driver.engine.cordon(frozenset(self.operations) | self.ordered)
        endpoint = self.driver.engine.endpoint_of(id)
        if endpoint is not None:
            endpoint.cordoned = False

    @rule()
    def carry_out_orders(self) -> None:
        """Take VMs out of service, and return them at once with new incarnations."""
        carried_out, self.ordered = sorted(self.ordered), set()
        self.driver.engine.cordon(frozenset(self.operations))
        for id in carried_out:
            ended = self._in_operation(id)
            self.ledger.check_budgets(ended)
            self.ledger.stopped |= ended
            self.driver.restart_endpoint(id)

    def _in_operation(self, id: EndpointId) -> set[TaskKey]:
        """Return the lasting tasks of open jobs that are in full operation."""
        fake = self.driver.endpoints[id]
        jobs = self.driver.engine.open_jobs
        return {key for key in fake.in_operation() if key.job in jobs}

    @rule(up=st.booleans())
    def change_store(self, up: bool) -> None:
        self.store_up = up

    @rule(applied=st.booleans(), unlisted=SUBSETS)
    def take_over(self, applied: bool, unlisted: set[EndpointId]) -> None:
        self.driver.unlisted = unlisted
        self.begin_next_term(applied)

    @rule(unlisted=SUBSETS, ids=SOME_ENDPOINTS)
    def take_over_during_a_wave(
        self, unlisted: set[EndpointId], ids: set[EndpointId]
    ) -> None:
        self.step(3, 100)
        self.take_over(False, unlisted)
        self.begin_wave(ids)
        self.step(1, 100)
        self.carry_out_orders()

    @rule()
    def relist_endpoints(self) -> None:
        self.driver.relist()

    @rule(count=st.integers(1, 12), applied=st.booleans())
    def take_over_in_an_outage_of_the_store(self, count: int, applied: bool) -> None:
        self.store_up = False
        self.step(count, 400)
        self.begin_next_term(applied)
        self.store_up = True

    def begin_next_term(self, applied: bool) -> None:
        """Begin the term of another coordinator, which knows the orders given so far.

        They are stored with the endpoints that they end.
        """
        self.driver.take_over(applied)
        self.driver.engine.cordon(frozenset(self.ordered))

    @rule(count=st.integers(1, 12), ms=st.sampled_from([50, 100, 400]))
    def step(self, count: int, ms: int) -> None:
        for _ in range(count):
            self.driver.step(ms, self.store_up)
            self.evacuate_vms()
            self.driver.check()

    def evacuate_vms(self) -> None:
        """Go on with the operations on VMs, and check the disruption budgets."""
        engine = self.driver.engine
        engine.cordon(frozenset(self.operations) | self.ordered)
        for id, operation in list(self.operations.items()):
            before = set(engine.stop_repeat_at)
            if continue_evacuation(engine, operation, id, self.driver.now):
                del self.operations[id]
                self.ordered.add(id)
            stopped = {run.key for run in set(engine.stop_repeat_at) - before}
            for key in stopped:
                step = engine.jobs[key.job].step_of(key)
                assert step.unavailable_count() <= max(1, step.step.may_miss)
            if id not in self.driver.unreachable:
                self.ledger.check_budgets(stopped & self._in_operation(id))
            self.ledger.stopped |= stopped

    @precondition(lambda self: hasattr(self, "driver"))
    @invariant()
    def what_runs_is_within_bounds(self) -> None:
        self.driver.check()

    @precondition(lambda self: hasattr(self, "driver"))
    @invariant()
    def jobs_end_as_their_tasks_did(self) -> None:
        for row in self.driver.engine.jobs.values():
            keys = task_keys(row.job)
            if row.stored_state is JobState.COMPLETED and row.job.id[:4] != "gang":
                assert keys <= self.ledger.done, f"{row.job.id} is not done"
            if row.stored_state is JobState.CANCELLED:
                assert row.job.id in self.cancelled
            if row.stored_state is JobState.FAILED:
                self.ledger.check_failed(row.job, ATTEMPTS)

    @precondition(lambda self: hasattr(self, "driver"))
    @invariant()
    def only_started_jobs_count_as_begun(self) -> None:
        """Guards against jobs that count as begun once a task was assigned."""
        started = {key.job for key in self.ledger.highest_attempts}
        begun = {row.job.id for row in self.driver.engine.jobs.values() if row.begun}
        assert begun <= started, f"{begun - started} have begun without a start"

    def teardown(self) -> None:
        """End all faults and lasting jobs; all other work then has to be done."""
        if not hasattr(self, "driver"):
            return
        self.end_faults()
        self.driver.unreachable = set()
        self.driver.lost_answers = set()
        self.driver.configure(self.cfg)
        self.turn_well()
        self.lasting_tasks_run_where_there_is_room()
        for row in list(self.driver.engine.open_jobs.values()):
            if row.lasting:
                self.cancelled.add(row.job.id)
                self.driver.engine.cancel(row, self.driver.now)
        done, steps = -1, 0
        while self.driver.engine.open_jobs:
            done, steps = (
                (done, steps + 1)
                if len(self.ledger.done) == done
                else (len(self.ledger.done), 0)
            )
            left = list(self.driver.engine.open_jobs)
            if self.count_held_back():
                steps = 0
            assert steps < STALL_STEPS, f"{left} were left open"
            self.driver.step()
            self.driver.check()
        self.jobs_end_as_their_tasks_did()

    def end_faults(self) -> None:
        """End faults of the engine itself, of which there are none."""

    def count_held_back(self) -> int:
        """Return the number of jobs that are set aside, or refused."""
        return self.driver.engine.quarantine.counts()[SubjectKind.JOB]

    def lasting_tasks_run_where_there_is_room(self) -> None:
        """Check that no lasting task waits beside room for long."""
        waiting_steps: dict[JobId, int] = {}
        for _ in range(STALL_STEPS):
            self.driver.step()
            self.driver.check()
            engine = self.driver.engine
            rows = [
                row
                for id, row in engine.open_jobs.items()
                if row.lasting
                and not engine.quarantine.has_job(id)
                and not row.refusals
            ]
            waiting_steps = {
                row.job.id: waiting_steps.get(row.job.id, 0) + 1
                for row in rows
                if self.driver.waits_beside_room(row)
            }
        assert max(waiting_steps.values(), default=0) < MAX_WAITING_STEPS

    def turn_well(self) -> None:
        self.driver.evacuate_zones()
        self.operations.clear()
        self.ordered.clear()
        self.driver.engine.cordon(frozenset())
        self.driver.unlisted = set()
        for id, fake in self.driver.endpoints.items():
            fake.failing = fake.stalled = False
            self.driver.list_endpoint(id, draining=False)
            endpoint = self.driver.engine.endpoint_of(id)
            if endpoint is not None:
                endpoint.cordoned = False


EngineMachine.TestCase.settings = settings(max_examples=150, stateful_step_count=40)


def test_endpoints_run_what_the_rules_allow_and_all_work_is_done():
    EngineMachine.TestCase().runTest()


class RaisingMachine(EngineMachine):
    """Plays the same while functions raise for one job after the other."""

    @initialize(
        slow=st.booleans(),
        advised=st.booleans(),
        ends_per_report=st.sampled_from([1, 2, 500]),
        split=st.booleans(),
    )
    def begin(
        self, slow: bool, advised: bool, ends_per_report: int, split: bool
    ) -> None:
        self.raiser = Raiser()
        self.installed = ExitStack()
        self.installed.enter_context(self.raiser.installed())
        super().begin(slow, advised, ends_per_report, split)
        self.driver.may_set_aside = True

    @rule(
        place=st.sampled_from(sorted(PLACES)),
        number=st.integers(0, MAX_JOBS - 1),
        left=st.integers(1, 4),
        after=st.booleans(),
    )
    def raise_for_a_job(self, place: str, number: int, left: int, after: bool) -> None:
        jobs = list(self.ledger.jobs)
        assume(number < len(jobs))
        self.raiser.arm(place, jobs[number], left, after)

    @rule(number=st.integers(0, MAX_JOBS - 1))
    def refuse_the_state_of_a_job(self, number: int) -> None:
        """Have the store refuse what it is sent of an accepted job."""
        jobs = [id for id, row in self.driver.engine.jobs.items() if row.recorded]
        assume(number < len(jobs))
        self.driver.refused_jobs.add(jobs[number])

    @rule()
    def refuse_nothing(self) -> None:
        self.driver.refused_jobs.clear()

    @precondition(lambda self: hasattr(self, "driver"))
    @invariant()
    def only_jobs_that_raised_are_set_aside(self) -> None:
        aside = {one.subject.id for one in self.driver.faults}
        assert aside <= self.raiser.jobs | {POOL}

    def end_faults(self) -> None:
        self.raiser.left = 0
        self.driver.refused_jobs.clear()

    def count_held_back(self) -> int:
        rows = self.driver.engine.jobs.values()
        return super().count_held_back() + sum(bool(row.refusals) for row in rows)

    def teardown(self) -> None:
        try:
            super().teardown()
        finally:
            if hasattr(self, "installed"):
                self.installed.close()


RaisingMachine.TestCase.settings = settings(max_examples=100, stateful_step_count=40)


def test_rules_hold_and_all_work_is_done_though_functions_raise_for_single_jobs():
    RaisingMachine.TestCase().runTest()


@pytest.mark.parametrize("split", [False, True])
@pytest.mark.parametrize("takes_over", [False, True])
@pytest.mark.parametrize("advised", [False, True])
@pytest.mark.parametrize("fields", PAIRS)
def test_a_job_with_a_pair_of_fields_is_done(
    fields: tuple[str, ...], advised: bool, takes_over: bool, split: bool
):
    machine = EngineMachine()
    machine.begin(slow=False, advised=advised, ends_per_report=2, split=split)
    machine.submit_with_fields(fields, 2, 2, 0, 100)
    for number in range(60):
        machine.step(1, 100)
        if takes_over and number % 8 == 7:
            machine.take_over(False, set())
    machine.teardown()
    assert not machine.driver.engine.open_jobs


def test_a_successor_starts_nothing_where_an_order_may_end_it():
    """Plays steps that broke a disruption budget, with and without an outage."""
    machine = EngineMachine()
    machine.begin(slow=False, advised=False, ends_per_report=1, split=False)
    machine.begin_wave({EndpointId("e0")})
    machine.take_over_in_an_outage_of_the_store(count=1, applied=False)
    machine.submit_lasting(Step(2, Size(500, 500, 0), lasting=True))
    machine.fail_all_runs(count=2)
    machine.carry_out_orders()
    machine.teardown()
