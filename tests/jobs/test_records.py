"""Tests of the stored state of jobs: in one record, and spread over several."""

import random

import msgspec
import pytest

from hickoryplank.core.ids import EndpointId, JobId
from hickoryplank.jobs.messages import Batch
from hickoryplank.jobs.model import Job, Step, TaskKey
from hickoryplank.jobs.records import (
    Record,
    StoreBounds,
    _TaskRecord,
    apply_states,
    encode_state,
    group_of_key,
    job_fault,
    job_of_key,
)
from hickoryplank.jobs.sizes import Size
from hickoryplank.jobs.table import JobRow, JobState
from tests.jobs.driver import RETENTION_SECONDS, TASK, Driver, job

SMALL = Size(50, 50, 0)
BOUNDS = StoreBounds()
A = JobId("a")
#: Runs of a task that may fail, by the configuration of the driver.
ATTEMPTS = 3


class CountingDriver(Driver):
    """A driver that counts what is written, and refuses what the store would."""

    written = 0
    largest = 0
    keys: list[str] = []

    def _write(self, batch: Batch) -> None:
        sizes = [5 + len(one.key) + len(one.value) for one in batch.records]
        self.written += sum(sizes)
        self.largest = max(self.largest, *sizes, 0, 0)
        self.keys = [one.key for one in batch.records]
        super()._write(batch)


class InterruptedDriver(Driver):
    """A driver whose coordinators end between two appends of a batch, now and then."""

    def __init__(self, seed: int):
        super().__init__(count=4, work_ms=lambda key: 200.0 + 90 * (key.index % 9))
        self.rng = random.Random(seed)
        self.interrupted = 0

    def commit(self) -> None:
        batch = self.pending_batch or self.engine.take_batch()
        self.pending_batch = batch
        if len(batch.records) > 1 and self.rng.random() < 0.4:
            kept = self.rng.randrange(len(batch.records))
            self._write(Batch(batch.records[:kept], [], []))
            self.interrupted += 1
            self.take_over()
        else:
            super().commit()


def restored(driver: Driver) -> JobRow:
    """Return the row that a successor restores of the job."""
    row = JobRow(driver.engine.jobs[A].job, 0.0)
    states = [one for one in driver.records() if not one.key.startswith("j:")]
    assert apply_states({A: row}, states) == ([], [])
    return row


def submit(driver: Driver, *steps: Step) -> JobRow:
    """Submit job ``a`` to endpoints that have been polled."""
    driver.step()
    return driver.engine.submit(job("a", *steps), driver.now)


def test_a_small_state_is_one_record_as_before():
    driver = Driver()
    row = submit(driver, Step(20, SMALL))
    driver.engine.tick(driver.now, driver.wall_ms)
    batch = driver.engine.take_batch()
    assert [one.key for one in batch.records] == ["s:a", "j:a"]
    assert batch.records[0] == encode_state(row)
    assert len(batch.records[0].value) > 20 * 13


# Guards against a state that outgrows a record of the store (review case 7).
@pytest.mark.parametrize("count", [1500, 5000, 20_000])
def test_records_stay_within_the_bound_whatever_the_number_of_tasks(count):
    driver = CountingDriver(count=4)
    driver.engine.submit(job("a", Step(count, SMALL)), driver.now)
    for _ in range(40):
        driver.step()
    assert driver.largest <= BOUNDS.record_bytes
    assert restored(driver).stored.split_in_store


def test_bytes_written_for_each_end_do_not_grow_with_the_number_of_tasks():
    each = []
    for count in (5000, 40_000):
        driver = CountingDriver(count=4)
        driver.engine.submit(job("a", Step(count, SMALL)), driver.now)
        for _ in range(5):
            driver.step()
        written, ends = driver.written, sum(e.number for e in driver.endpoints.values())
        for _ in range(10):
            driver.step()
        ends = sum(one.number for one in driver.endpoints.values()) - ends
        assert ends > 400
        each.append((driver.written - written) / ends)
    assert each[1] < 1.5 * each[0]


def test_only_parts_with_changes_are_written():
    driver = CountingDriver(count=1, work_ms=lambda key: 250.0 if key.index else 5000.0)
    driver.engine.submit(job("a", Step(1500, SMALL)), driver.now)
    for _ in range(3):
        driver.step()
    for _ in range(10):
        driver.step()
        assert len(driver.keys) < 12


def test_a_successor_restores_what_is_stored():
    driver = Driver(count=4, work_ms=lambda key: 100.0 + 30 * (key.index % 7))
    driver.engine.submit(job("a", Step(1500, SMALL, checkpointing=True)), driver.now)
    for number in range(30):
        driver.step()
        for fake in driver.endpoints.values():
            fake.failing = number % 10 == 9
            for run in fake.running.values():
                run.checkpoint = f"{run.key.index:016}"
        row = restored(driver)
        assert row.stored.split_in_store
        driver.engine.mark_dirty(driver.engine.jobs[A])
        driver.commit()
        assert encode_state(restored(driver)) == encode_state(driver.engine.jobs[A])


def play(driver: Driver, submitted: Job, split: bool) -> list[TaskKey]:
    """Play a job to its end; return the tasks that were started, with repeats.

    :param split: the state is stored as a head and parts from the first record on.
    """
    driver.step()
    for _ in range(400):
        row = driver.engine.jobs.get(A)
        if row is None:
            row = driver.engine.submit(submitted, driver.now)
            row.stored.tasks_per_part = 8
            row.stored.split = split
        elif row.stored_state.final:
            break
        driver.step()
    assert driver.engine.jobs[A].stored_state is JobState.COMPLETED
    return [key for one in driver.endpoints.values() for key, _ in one.started]


@pytest.mark.parametrize("seed", range(12))
def test_a_successor_between_two_appends_of_a_batch_runs_each_task_once(seed):
    driver = InterruptedDriver(seed)
    started = play(driver, job("a", Step(1600, SMALL)), split=False)
    assert driver.interrupted > 2
    assert len(started) == len(set(started)) == 1600


@pytest.mark.parametrize("seed", range(6))
def test_a_timed_job_taken_over_between_two_appends_runs_each_task_once(seed):
    driver = InterruptedDriver(seed)
    timed = Job(A, *_fields(), (Step(40, SMALL),), 0, 20, 100_000, 300)
    started = play(driver, timed, split=True)
    assert driver.interrupted > 2
    assert len(started) == len(set(started)) == 800
    driver.engine.mark_dirty(driver.engine.jobs[A])
    Driver.commit(driver)
    assert not [key for key in driver.store if key.startswith("t:")]


@pytest.mark.parametrize("seed", range(6))
def test_a_gang_taken_over_between_two_appends_ends_once(seed):
    driver = InterruptedDriver(seed)
    steps = [
        Step(60, SMALL, gang=True),
        *(Step(60, SMALL, gang=True, after=(n,)) for n in range(3)),
    ]
    started = play(driver, job("a", *steps), split=True)
    assert driver.interrupted > 0
    assert len(set(started)) == 240


def _fields():
    other = job("a")
    return other.queue, other.pool, other.team, other.payload


def test_an_interrupted_change_to_parts_leaves_the_former_state():
    driver = Driver()
    row = submit(driver, Step(1500, SMALL))
    before = encode_state(row)
    driver.engine.tick(driver.now, driver.wall_ms)
    records = driver.engine.take_batch().records
    driver.store = {"s:a": before.value}
    for record in records[: [one.key for one in records].index("s:a")]:
        driver.store[record.key] = record.value
    again = restored(driver)
    assert encode_state(again) == before
    assert len(again.stored.parts) > 2
    assert not again.stored.split_in_store


class PrefixDriver(Driver):
    """A driver that looks at what a successor finds after any first few records."""

    def __init__(self, check, **options):
        super().__init__(**options)
        self.check = check
        self.cuts = 0

    def _write(self, batch: Batch) -> None:
        before = dict(self.store)
        for record in batch.records:
            super()._write(Batch([record], [], []))
            if "j:a" in self.store and "s:a" in self.store:
                self.check(restored(self))
                self.cuts += 1
        self.store = before
        super()._write(batch)


def play_split(driver: Driver, *steps: Step) -> JobRow:
    """Play a job with small parts to its end; return its row."""
    row = submit(driver, *steps)
    row.stored.tasks_per_part = 4
    row.stored.split = True
    for _ in range(200):
        driver.step()
        if row.stored_state.final:
            break
    return row


def test_a_successor_finds_no_failed_tasks_without_their_failed_job():
    def check(row: JobRow) -> None:
        failed = any(task.failures >= ATTEMPTS for task in row.all_tasks())
        assert not failed or row.state is JobState.FAILED

    driver = PrefixDriver(check)
    for fake in driver.endpoints.values():
        fake.failing = True
    assert play_split(driver, Step(20, SMALL)).state is JobState.FAILED
    assert driver.cuts > 10


def test_a_successor_finds_a_gang_done_as_a_whole_or_not_at_all():
    def check(row: JobRow) -> None:
        assert all(step.remaining in (0, 20) for step in row.steps[0])

    driver = PrefixDriver(check)
    steps = (Step(20, SMALL, gang=True), Step(20, SMALL, gang=True, after=(0,)))
    assert play_split(driver, *steps).state is JobState.COMPLETED
    assert driver.cuts > 10


def test_parts_of_an_interrupted_split_are_deleted_before_they_mean_anything():
    def check(row: JobRow) -> None:
        assert row.open_occurrence(0)[0].tasks[4999].attempt == 0

    driver = PrefixDriver(check)
    submit(driver, Step(5000, SMALL))
    driver.step()
    parts = [key for key in driver.store if key.startswith("t:")]
    assert "t:a:0.0.78" not in parts
    stale = msgspec.msgpack.encode([[0, 0, 4999, 2, 1, 0]])
    driver.store = {
        "j:a": driver.store["j:a"],
        "s:a": msgspec.msgpack.encode(["queued", []]),
        "t:a:0.0.78": stale,
    }
    driver.take_over()
    driver.cuts = 0
    for _ in range(3):
        driver.step()
    assert driver.cuts > 10
    assert "t:a:0.0.78" not in driver.store


def test_a_cancelled_job_forgets_what_was_recorded_ahead():
    driver = Driver()
    row = driver.engine.submit(job("a", Step(1500, SMALL)), driver.now)
    for _ in range(3):
        driver.step()
    driver.engine.cancel(row, driver.now)
    for _ in range(10):
        driver.step()
    again = restored(driver)
    assert again.state is JobState.CANCELLED
    assert not any(
        task.stored_assignment.preassigned and not task.attempt
        for task in again.all_tasks()
        if task.stored_assignment
    )
    assert encode_state(again) == encode_state(row)


def test_the_parts_of_an_expired_job_are_deleted():
    driver = Driver()
    row = driver.engine.submit(job("a", Step(1500, SMALL)), driver.now)
    driver.step()
    assert any(key.startswith("t:") for key in driver.store)
    driver.engine.cancel(row, driver.now)
    for _ in range(10):
        driver.step()
    driver.take_over()
    driver.now += RETENTION_SECONDS + 1
    for _ in range(3):
        driver.step()
    assert driver.store == {}


#: State of a job with two steps, the first with checkpoints, as version 609ada3 stored
#: it: four tasks are done, one runs, and those of the second step are recorded ahead.
RECORDED_STATE = bytes.fromhex(
    "92a772756e6e696e67979a000000020100a000b030303030303030303030303030303030c29a00"
    "0001020100a000b030303030303030303030303030303031c29a000002010100a2653001b03030"
    "3030303030303030303030303032c29a000003020100a000b03030303030303030303030303030"
    "3033c29a000004020100a000b030303030303030303030303030303034c29a000100010100a265"
    "3001a0c39a000101010100a2653001a0c3"
)


def test_a_recorded_state_of_a_former_version_is_read():
    steps = (Step(5, TASK, checkpointing=True), Step(2, TASK, after=(0,)))
    row = JobRow(job("a", *steps), 0.0)
    assert apply_states({A: row}, [Record("s:a", RECORDED_STATE)]) == ([], [])
    assert row.state is JobState.RUNNING
    first, second = row.steps[0]
    assert (first.remaining, second.remaining) == (1, 2)
    assert first.tasks[2].checkpoint == "0000000000000002"
    assert first.tasks[2].stored_assignment.endpoint == "e0"
    assert all(task.stored_assignment.preassigned for task in second.tasks)
    assert encode_state(row).value == RECORDED_STATE


def old_state(count: int) -> bytes:
    """Return a state as the former version stored it: one record for all tasks."""
    tasks = [
        (0, 0, index, 2, 1, 0, "", 0, "", False)
        if index % 2
        else (0, 0, index, 1, 1, 0, "e0", 1, "", False)
        for index in range(count)
    ]
    return msgspec.msgpack.encode(("running", tasks))


def test_a_large_state_of_a_former_version_is_read_and_then_split():
    driver = CountingDriver(count=2)
    driver.engine.submit(job("a", Step(5000, SMALL)), driver.now)
    driver.store = {"s:a": old_state(5000)}
    driver.store["j:a"] = msgspec.msgpack.encode(driver.engine.jobs[A].job)
    driver.take_over()
    row = driver.engine.jobs[A]
    assert row.steps[0][0].remaining == 2500
    assert encode_state(row).value == old_state(5000)
    for _ in range(3):
        driver.step()
    assert driver.largest <= BOUNDS.record_bytes
    assert restored(driver).stored.split_in_store
    assert encode_state(restored(driver)) == encode_state(driver.engine.jobs[A])


def test_the_form_of_a_split_state_is_kept():
    driver = Driver(count=1)
    row = submit(driver, Step(3, TASK))
    row.stored.tasks_per_part = 2
    row.stored.split = True
    driver.engine.tick(driver.now, driver.wall_ms)
    records = driver.engine.take_batch().records
    assert [(one.key, one.value.hex()) for one in records[:-1]] == [
        ("t:a:0.0.0", "929a000000010100a2653001a0c29a000001010100a2653001a0c2"),
        ("t:a:0.0.1", "919a000002010100a2653001a0c2"),
        ("s:a", "92a671756575656402"),
    ]


class _FormerState(msgspec.Struct, array_like=True):
    state: JobState
    tasks: list[_TaskRecord]
    ended_occurrences: list[tuple[int, int]] = []


def test_a_former_version_takes_a_split_state_for_malformed_and_not_for_a_new_job():
    driver = Driver()
    driver.engine.submit(job("a", Step(1500, SMALL)), driver.now)
    driver.step()
    with pytest.raises(msgspec.ValidationError):
        msgspec.msgpack.decode(driver.store["s:a"], type=_FormerState)


@pytest.mark.parametrize(
    ("key", "value"),
    [
        ("t:a:0.0", b"\x90"),
        ("t:a:0.0.x", b"\x90"),
        ("t:a:0.0.0", b"\xc1"),
        ("t:a:0.0.0", msgspec.msgpack.encode([[0, 7, 0, 1, 1, 0]])),
        ("t:a:0.0.0", msgspec.msgpack.encode([[0, 0, 0, 9, 1, 0]])),
        ("s:a", msgspec.msgpack.encode(["running", 0])),
    ],
)
def test_a_malformed_part_is_a_fault(key, value):
    row = JobRow(job("a", Step(2, TASK)), 0.0)
    records = {"s:a": msgspec.msgpack.encode(["running", 64]), key: value}
    faults, unowned = apply_states({A: row}, [Record(*one) for one in records.items()])
    assert [job_of_key(one.key) for one in faults] == ["a"]
    assert unowned == []


def test_states_without_a_job_are_returned():
    records = [Record("s:b", b"x"), Record("t:b:c:0.0.0", b"x")]
    assert apply_states({}, records) == ([], records)
    assert [job_of_key(one.key) for one in records] == ["b", "b:c"]
    assert group_of_key("t:b:0.0.1") == group_of_key("s:b") == group_of_key("j:b")
    assert group_of_key("v:b") != group_of_key("w:b")


@pytest.mark.parametrize(
    ("submitted", "bound"),
    [
        (job("a" * 250, Step(1, TASK)), "215"),
        (job("a", Step(200_000, TASK), Step(1, TASK)), "200000"),
        (msgspec.structs.replace(job("a", Step(1)), payload="x" * 262_144), "262144"),
    ],
)
def test_why_a_job_does_not_fit_names_the_bound(submitted, bound):
    assert bound in job_fault(submitted, BOUNDS)
    assert job_fault(job("a", Step(100_000, TASK)), BOUNDS) == ""


# Refusals


def refuse(driver: Driver, *jobs: str) -> tuple[Batch, frozenset[str]]:
    """Store the next batch but for some jobs; return it, and the refused keys."""
    batch = driver.engine.take_batch()
    refused = frozenset(one.key for one in batch.records if job_of_key(one.key) in jobs)
    kept = [one for one in batch.records if one.key not in refused]
    driver._write(Batch(kept, [], []))
    for run in driver.engine.batch_stored(batch, driver.now, refused):
        driver._send_start(run)
    return batch, refused


def test_a_new_job_whose_records_are_refused_is_dropped_and_others_start():
    driver = Driver()
    driver.step()
    for id in "ab":
        driver.engine.submit(job(id, Step(2, TASK)), driver.now)
    driver.engine.tick(driver.now, driver.wall_ms)
    row = driver.engine.jobs[A]
    refuse(driver, "a")
    assert A not in driver.engine.jobs
    assert row.refusals
    assert not row.recorded
    started = {key.job for e in driver.endpoints.values() for key, _ in e.started}
    assert started == {"b"}
    for _ in range(5):
        driver.step()
    assert {key.job for e in driver.endpoints.values() for key, _ in e.started} == {"b"}
    assert sorted(driver.store) == ["j:b", "s:b"]


def test_a_start_is_not_sent_if_the_state_with_its_assignment_is_refused():
    driver = Driver(count=1, work_ms=lambda key: None)
    row = driver.engine.submit(job("a", Step(1, TASK, lasting=True)), driver.now)
    driver.commit()
    driver.poll_endpoints()
    driver.engine.tick(driver.now, driver.wall_ms)
    batch, refused = refuse(driver, "a")
    assert batch.starts
    assert refused
    fake = driver.endpoints[EndpointId("e0")]
    assert not fake.started
    assert row.recorded
    for _ in range(20):
        driver.step()
    assert len(fake.started) == 1


def test_a_refused_state_is_written_again_and_its_ends_are_not_acknowledged():
    driver = Driver(count=1, work_ms=lambda key: 150.0)
    for id in "ab":
        driver.engine.submit(job(id, Step(2, TASK)), driver.now)
    driver.step()
    fake = driver.endpoints[EndpointId("e0")]
    while not fake.ends:
        fake.advance(100)
    held = min(end.number for end in fake.ends if end.key.job == "a")
    last = max(end.number for end in fake.ends)
    batches = 0
    for _ in range(30):
        driver.now += 0.1
        fake.advance(100)
        driver.poll_endpoints()
        driver.engine.tick(driver.now, driver.wall_ms)
        _, refused = refuse(driver, "a")
        batches += bool(refused)
        assert fake.acknowledged < held
        assert driver.engine.jobs[A].stored_state is not JobState.COMPLETED
    assert 2 < batches < 8
    assert driver.engine.jobs[JobId("b")].stored_state is JobState.COMPLETED
    for _ in range(40):
        driver.step()
    assert fake.acknowledged >= last
    assert driver.engine.jobs[A].stored_state is JobState.COMPLETED
    started = [key for key, _ in fake.started]
    assert started.count(TaskKey(A, 0, 0, 0)) == 1
