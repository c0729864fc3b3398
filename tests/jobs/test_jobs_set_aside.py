"""Tests of jobs whose input raises: they are set aside, and all else goes on."""

import msgspec
import pytest

from hickoryplank.core.ids import JobId
from hickoryplank.jobs.endpoints import RunState
from hickoryplank.jobs.model import Job, Step
from hickoryplank.jobs.quarantine import (
    FIRST_PAUSE_SECONDS,
    MAX_PAUSE_SECONDS,
    SubjectKind,
)
from hickoryplank.jobs.records import StoreBounds
from hickoryplank.jobs.sizes import Size
from hickoryplank.jobs.table import JobState, TaskState
from tests.jobs.driver import POOL, QUEUE, TASK, configuration, job
from tests.jobs.ledger import Ledger, LedgerDriver, task_keys
from tests.jobs.raising import PLACES, InjectedFault, Raiser

ATTEMPTS = 3
SMALL = Size(500, 500, 0)
BAD = JobId("bad")
#: Steps of 0.1 s within which a job is done that was set aside a few times.
STEPS = 400
#: Calls that raise for a job for good.
ALWAYS = 1_000_000

KINDS = {
    "plain": job("bad", Step(3, SMALL), Step(2, SMALL, after=(0,))),
    "gang": job("bad", Step(2, SMALL, gang=True, max_per_endpoint=1)),
    "timed": msgspec.structs.replace(
        job("bad", Step(2, SMALL)), repeats=3, first_ms=100_000, period_ms=400
    ),
    "timed gang": msgspec.structs.replace(
        job("bad", Step(2, SMALL, gang=True)),
        repeats=3,
        first_ms=100_000,
        period_ms=400,
    ),
    "lasting": job("bad", Step(2, SMALL, lasting=True, max_per_endpoint=1)),
}


class Play:
    """A driver with one job that raises and others that don't.

    :param split: no state fits into one record.
    """

    def __init__(self, bad: Job, raiser: Raiser, split: bool = False):
        self.raiser = raiser
        self.ledger = Ledger()
        cfg = configuration(attempts=ATTEMPTS)
        lasting = bad.lasting

        def work_ms(key) -> float | None:
            return None if lasting and key.job == BAD else 400.0

        self.driver = LedgerDriver(self.ledger, 2, work_ms, cfg)
        self.driver.may_set_aside = True
        if split:
            self.driver.bounds = self.driver.engine.bounds = StoreBounds(1)
        terms = cfg.queues[QUEUE].terms
        self.good = []
        for one in [bad, *(job(f"good{number}", Step(2, TASK)) for number in range(4))]:
            one = msgspec.structs.replace(one, terms=terms)
            self.ledger.jobs[one.id] = one
            row = self.driver.engine.submit(one, self.driver.now)
            row.stored.tasks_per_part = 1
            if one.id != BAD:
                self.good.append(one.id)

    def step(self, count: int = 1, takes_over: bool = False) -> None:
        for number in range(count):
            self.driver.step()
            self.driver.check()
            if takes_over and number % 9 == 8:
                self.driver.take_over()
            assert {one.subject.id for one in self.driver.faults} <= {BAD, POOL}

    def state(self, id: str) -> JobState:
        return self.driver.engine.jobs[JobId(id)].stored_state

    def count_aside(self) -> int:
        return self.driver.engine.quarantine.counts()[SubjectKind.JOB]


@pytest.fixture
def raiser():
    one = Raiser()
    with one.installed():
        yield one


@pytest.mark.parametrize("split", [False, True])
@pytest.mark.parametrize("takes_over", [False, True])
@pytest.mark.parametrize("after", [False, True])
@pytest.mark.parametrize("kind", KINDS)
@pytest.mark.parametrize("place", PLACES)
def test_a_job_that_raises_a_few_times_is_done_and_others_go_on(
    raiser, place: str, kind: str, after: bool, takes_over: bool, split: bool
):
    bad = KINDS[kind]
    play = Play(bad, raiser, split)
    raiser.arm(place, BAD, 3, after)
    play.step(40, takes_over)
    if takes_over and BAD not in play.driver.engine.jobs:
        # Its record was never stored, so that it was never accepted.
        assert place == "encode a job"
        return
    assert {play.state(id) for id in play.good} == {JobState.COMPLETED}
    assert len(play.driver.faults) >= min(raiser.raised, 1)
    if bad.lasting:
        play.step(60)
        assert len(play.driver.engine.jobs[BAD].all_tasks()) == 2
        running = [key for one in play.driver.endpoints.values() for key in one.running]
        assert len(running) == 2
        play.driver.engine.cancel(play.driver.engine.jobs[BAD], play.driver.now)
    for _ in range(STEPS):
        if play.state(BAD).final and not play.count_aside():
            break
        play.step()
    assert play.state(BAD) is (
        JobState.CANCELLED if bad.lasting else JobState.COMPLETED
    )
    assert play.count_aside() == 0
    if not bad.lasting and not bad.steps[0].gang:
        assert task_keys(bad) <= play.ledger.done
    play.step(30)
    assert not any(one.running for one in play.driver.endpoints.values())
    assert not any(one.runs for one in play.driver.engine.endpoints.values())
    assert not any(one.ends for one in play.driver.endpoints.values())


@pytest.mark.parametrize("split", [False, True])
@pytest.mark.parametrize("after", [False, True])
@pytest.mark.parametrize("place", PLACES)
def test_a_job_that_always_raises_stops_no_term_and_no_other_job(
    raiser, place: str, after: bool, split: bool
):
    play = Play(KINDS["timed gang"], raiser, split)
    raiser.arm(place, BAD, ALWAYS, after)
    play.step(120, takes_over=True)
    assert {play.state(id) for id in play.good} == {JobState.COMPLETED}
    # Once it doesn't raise any more, it is done in the next coordinator.
    raiser.left = 0
    play.driver.take_over()
    for _ in range(STEPS):
        play.step()
    if BAD in play.driver.engine.jobs:
        assert play.state(BAD) is JobState.COMPLETED
    else:
        # Its record was never stored, so that it was never accepted.
        assert place == "encode a job"


def test_pauses_grow_up_to_the_bound_and_each_failure_is_reported_once(raiser):
    play = Play(KINDS["plain"], raiser)
    raiser.arm("rebuild a job", BAD, ALWAYS, False)
    play.driver.engine.set_job_aside(BAD, InjectedFault("first"))
    for _ in range(200):
        play.driver.step(1000)
    pauses = [fault.pause_s for fault in play.driver.faults]
    assert pauses[:4] == [FIRST_PAUSE_SECONDS * 2**number for number in range(4)]
    assert max(pauses) == MAX_PAUSE_SECONDS
    assert len(pauses) < 12
    assert play.count_aside() == 1


@pytest.mark.parametrize("split", [False, True])
def test_what_a_job_does_while_it_is_set_aside(raiser, split: bool):
    play = Play(KINDS["plain"], raiser, split)
    raiser.arm("rebuild a job", BAD, ALWAYS, False)
    play.step(2)
    running = [key for one in play.driver.endpoints.values() for key in one.running]
    own = [key for key, _ in running if key.job == BAD]
    assert len(own) == 3
    play.driver.engine.set_job_aside(BAD, InjectedFault("first"))
    play.step(30)
    # Its runs were left alone and are done, but what follows is not begun.
    started = [key for one in play.driver.endpoints.values() for key, _ in one.started]
    assert sorted(key.index for key in started if key.job == BAD) == [0, 1, 2]
    assert set(own) <= play.ledger.done
    # Their ends were noted, stored and acknowledged.
    assert set(own) <= play.ledger.noted
    assert play.state(BAD) is JobState.RUNNING
    # The next coordinator begins with them.
    raiser.left = 0
    play.driver.take_over()
    play.step(30)
    assert play.state(BAD) is JobState.COMPLETED


@pytest.mark.parametrize("place", ["note an end", "context of an end"])
def test_an_end_that_cannot_be_noted_is_not_acknowledged(raiser, place: str):
    play = Play(KINDS["plain"], raiser)
    play.step(2)
    raiser.arm(place, BAD, ALWAYS, False)
    for _ in range(20):
        play.driver.engine.set_job_aside(BAD, InjectedFault("again"))
        play.step()
    ends = [end for one in play.driver.endpoints.values() for end in one.ends]
    assert BAD in {end.key.job for end in ends}
    assert BAD not in {key.job for key in play.ledger.noted}
    raiser.left = 0
    for _ in range(STEPS):
        play.step()
    assert play.state(BAD) is JobState.COMPLETED
    assert not any(one.ends for one in play.driver.endpoints.values())


@pytest.mark.parametrize("split", [False, True])
@pytest.mark.parametrize("kind", ["plain", "gang"])
def test_failures_that_are_noted_count_once_and_end_the_job(
    raiser, kind: str, split: bool
):
    play = Play(KINDS[kind], raiser, split)
    for fake in play.driver.endpoints.values():
        fake.failing = True
    raiser.arm("apply an end", BAD, 5, True)
    for _ in range(STEPS):
        play.step()
        if play.state(BAD).final:
            break
    assert play.state(BAD) is JobState.FAILED
    play.ledger.check_failed(play.ledger.jobs[BAD], ATTEMPTS)


def test_a_run_of_a_task_that_another_has_done_is_stopped_at_the_next_try(raiser):
    play = Play(job("bad", Step(1, TASK), Step(1, TASK)), raiser)
    play.step(1)
    row = play.driver.engine.jobs[BAD]
    task = row.steps[0][0].tasks[0]
    run = task.run
    task.state = TaskState.DONE
    play.driver.engine.set_job_aside(BAD, InjectedFault("first"))
    engine, now = play.driver.engine, play.driver.now
    engine.tick(now, play.driver.wall_ms)
    assert run.state is not RunState.STOPPING
    engine.tick(now + FIRST_PAUSE_SECONDS, play.driver.wall_ms)
    assert run.state is RunState.STOPPING
    assert engine.stops == [run]
