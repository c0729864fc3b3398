"""Tests of ends whose job's state a batch lacks, for one reason or the other."""

import pytest

from hickoryplank.core.ids import EndpointId, JobId
from hickoryplank.jobs import engine, records, service_order
from hickoryplank.jobs.messages import End, EndKind, PollReport
from hickoryplank.jobs.model import Step
from hickoryplank.jobs.quarantine import FIRST_PAUSE_SECONDS, SubjectKind
from hickoryplank.jobs.records import StoreBounds
from hickoryplank.jobs.shortage import ShortageOrder
from hickoryplank.jobs.sizes import Size
from hickoryplank.jobs.table import JobState, TaskState
from tests.jobs.driver import POOL, Driver, job
from tests.jobs.raising import Raiser

SMALL = Size(500, 500, 0)
ID = EndpointId("e0")
ASIDE, REFUSED, GOOD = JobId("aside"), JobId("refused"), JobId("good")
ALWAYS = 1_000_000


@pytest.fixture
def raiser():
    one = Raiser()
    with one.installed():
        yield one


class FaultyDriver(Driver):
    """A driver in which jobs may be set aside."""

    def __init__(self) -> None:
        super().__init__()
        self.may_set_aside = True

    def held_jobs(self) -> set[JobId]:
        """Return the jobs whose ends no poll has acknowledged."""
        return {end.key.job for one in self.endpoints.values() for end in one.ends}

    def state(self, id: JobId) -> JobState:
        return self.engine.jobs[id].stored_state


def begin(split: bool) -> FaultyDriver:
    """Begin a job of each kind, one task of each on every endpoint."""
    driver = FaultyDriver()
    if split:
        driver.bounds = driver.engine.bounds = StoreBounds(1)
    for id in (ASIDE, REFUSED, GOOD):
        one = job(id, Step(2, SMALL, max_per_endpoint=1))
        row = driver.engine.submit(one, driver.now)
        row.stored.tasks_per_part = 1
    driver.step()
    running = [key.job for one in driver.endpoints.values() for key, _ in one.running]
    assert sorted(running) == sorted([ASIDE, REFUSED, GOOD] * 2)
    return driver


@pytest.mark.parametrize("takes_over", [False, True])
@pytest.mark.parametrize("first", [ASIDE, REFUSED])
@pytest.mark.parametrize("split", [False, True])
def test_ends_are_held_for_both_reasons_and_released_one_by_one(
    raiser, split: bool, first: JobId, takes_over: bool
):
    driver = begin(split)
    raiser.arm("encode a state", ASIDE, ALWAYS, False)
    driver.refused_jobs = {REFUSED}
    for _ in range(30):
        driver.step()
    counts = driver.engine.quarantine.counts()
    # One is set aside and not refused, the other is refused and not set aside.
    assert counts[SubjectKind.JOB] == 1
    assert driver.engine.quarantine.has_job(ASIDE)
    assert not driver.engine.jobs[ASIDE].refusals
    assert driver.engine.jobs[REFUSED].refusals
    assert driver.state(GOOD) is JobState.COMPLETED
    assert {ASIDE, REFUSED} <= driver.held_jobs()
    if first == ASIDE:
        raiser.left = 0
    else:
        driver.refused_jobs = set()
    if takes_over:
        driver.take_over()
    for _ in range(400):
        driver.step()
    other = REFUSED if first == ASIDE else ASIDE
    assert driver.state(first) is JobState.COMPLETED
    assert driver.state(other) is not JobState.COMPLETED
    assert other in driver.held_jobs()
    raiser.left = 0
    driver.refused_jobs = set()
    for _ in range(800):
        driver.step()
    assert driver.state(other) is JobState.COMPLETED
    assert not driver.held_jobs()
    # Nothing was lost: no task ran again.
    started = [key for one in driver.endpoints.values() for key, _ in one.started]
    assert len(started) == len(set(started)) == 6


def test_a_job_that_is_set_aside_is_refused_too():
    driver = begin(split=True)
    driver.refused_jobs = {ASIDE}
    driver.engine.set_job_aside(ASIDE, ValueError("not expected"))
    for _ in range(100):
        driver.step()
    # It is back in service, but its state is refused still.
    assert not driver.engine.quarantine.has_job(ASIDE)
    assert driver.engine.jobs[ASIDE].refusals
    assert ASIDE in driver.held_jobs()
    assert driver.state(GOOD) is JobState.COMPLETED
    driver.refused_jobs = set()
    for _ in range(300):
        driver.step()
    assert driver.state(ASIDE) is JobState.COMPLETED
    assert not driver.held_jobs()


# Guards against a batch whose refusal comes after it has named an end for storing.
def test_an_end_whose_state_is_refused_with_its_batch_is_not_acknowledged():
    driver = begin(split=False)
    fake = driver.endpoints[ID]
    driver.refused_jobs = {REFUSED}
    while not fake.ends:
        driver.step(100, store_up=False)
    endpoint = driver.engine.endpoints[ID]
    held = min(end.number for end in fake.ends if end.key.job == REFUSED)
    assert max(end.number for end in driver.pending_batch.ends) >= held
    driver.commit()
    assert endpoint.stored_end_number == held - 1
    assert endpoint.held_end_number == held
    assert not endpoint.has_unstored_ends


@pytest.mark.parametrize("after", [False, True])
@pytest.mark.parametrize("place", ["encode a part", "encode a state"])
def test_a_split_state_that_raises_halfway_is_written_whole_later(
    raiser, monkeypatch, place: str, after: bool
):
    driver = begin(split=True)
    if place == "encode a state":
        raiser.arm(place, ASIDE, 1, after)
    else:
        encode_part, calls = records._encode_part, []

        def raise_once(row, part):
            if row.job.id == ASIDE and not calls:
                calls.append(part)
                raise ValueError("not expected")
            return encode_part(row, part)

        monkeypatch.setattr(records, "_encode_part", raise_once)
    for _ in range(60):
        driver.step()
    assert driver.faults
    assert driver.state(ASIDE) is JobState.COMPLETED
    driver.take_over()
    row = driver.engine.jobs[ASIDE]
    assert row.complete
    assert not any(task.stored_assignment for task in row.all_tasks())


# Guards against an end that is acknowledged though its part was not written.
def test_an_end_of_an_unknown_run_is_stored_with_its_part_while_set_aside(raiser):
    driver = begin(split=True)
    raiser.arm("rebuild a job", ASIDE, ALWAYS, False)
    driver.engine.set_job_aside(ASIDE, ValueError("not expected"))
    task = driver.engine.jobs[ASIDE].steps[0][0].tasks[0]
    (other,) = set(driver.endpoints) - {task.run.endpoint.id}
    endpoint = driver.engine.endpoints[other]
    end = End(endpoint.last_end_number + 1, task.key, 1, EndKind.DONE, "")
    report = PollReport(endpoint.listing.born_ms, endpoint.clock_ms, (), (end,), True)
    driver.engine.poll_answered(endpoint, report, driver.now, driver.now)
    driver.commit()
    assert endpoint.stored_end_number == end.number
    driver.take_over()
    restored = driver.engine.jobs[ASIDE].steps[0][0].tasks
    assert [one.state for one in restored] == [TaskState.DONE, TaskState.ACTIVE]


def test_a_rebuilt_job_is_stored_with_all_its_parts():
    driver = begin(split=True)
    tasks = driver.engine.jobs[ASIDE].steps[0][0].tasks
    # As if what raised had changed a task, and not said so.
    tasks[1].failures = 1
    driver.engine.set_job_aside(ASIDE, ValueError("not expected"))
    driver.engine.tick(driver.now, driver.wall_ms)
    driver.engine.tick(driver.now + FIRST_PAUSE_SECONDS, driver.wall_ms)
    assert not driver.engine.quarantine.has_job(ASIDE)
    driver.commit()
    driver.take_over()
    restored = driver.engine.jobs[ASIDE].steps[0][0].tasks
    assert [one.failures for one in restored] == [0, 1]


def test_a_job_that_the_plan_of_service_raises_for_is_set_aside_alone(monkeypatch):
    driver = FaultyDriver()
    driver.engine.shortage_order = ShortageOrder.LEAST_COST
    waiting_job = service_order.waiting_job

    def raise_for_one(tables, row, supply, now):
        if row.job.id == ASIDE:
            raise ValueError("not expected")
        return waiting_job(tables, row, supply, now)

    monkeypatch.setattr(service_order, "waiting_job", raise_for_one)
    for id in (ASIDE, GOOD):
        # Each alone has room, so that only both together are planned.
        one = job(id, Step(5, Size(1000, 500, 0)))
        driver.engine.submit(one, driver.now).over_share = False
    for _ in range(40):
        driver.step()
    assert {one.subject.id for one in driver.faults} == {ASIDE}
    assert POOL not in driver.engine.shortages
    assert driver.state(GOOD) is JobState.COMPLETED
    # Once it lacks no room, it is served.
    assert driver.state(ASIDE) is JobState.COMPLETED


def test_a_job_is_accepted_if_its_admission_raises(monkeypatch):
    def raise_always(*args):
        raise ValueError("not expected")

    monkeypatch.setattr(engine, "refusal", raise_always)
    driver = FaultyDriver()
    assert driver.engine.refusal(job(GOOD, Step(1, SMALL)), driver.now) is None
    driver.collect_faults()
    assert [one.subject.id for one in driver.faults] == [POOL]
