"""Tests of jobs that one record of the store cannot hold, on an in-memory platform."""

import anyio
import pytest

from hickoryplank.coordinator.calls import Accepted, Cancel, Cancelled, Faulty
from hickoryplank.coordinator.ports import Topic
from hickoryplank.core.ids import JobId
from hickoryplank.jobs.model import Step
from hickoryplank.jobs.sizes import Size
from hickoryplank.jobs.table import JobState
from hickoryplank.meter import Metrics
from tests.coordinator.memory_platform import MemoryStore
from tests.coordinator.test_coordinator import (
    TASK,
    Entry,
    Platform,
    running,
    submit,
    wait_for_state,
    wait_until,
    where,
)

pytestmark = pytest.mark.anyio
RECORD_BYTES = 262_144
#: Bound that the state of some thousand tasks exceeds.
SMALL_RECORD_BYTES = 30_000
SMALL = Size(20, 20, 0)


@pytest.fixture
def anyio_backend() -> str:
    return "asyncio"


async def bounded_platform(record_bytes: int = RECORD_BYTES, **options) -> Platform:
    """Return a platform whose store refuses larger records."""
    platform = Platform(**options)
    platform.store = MemoryStore(record_bytes)
    await platform.open()
    return platform


def started_tasks(platform: Platform) -> list[int]:
    """Return the indices of the tasks of job "large" that were started, sorted."""
    return sorted(
        key.index
        for fake in platform.fake_endpoints.values()
        for key, _ in fake.started
        if key.job == "large"
    )


# Guards against a job whose state blocks every append (review case 7).
async def test_a_large_job_is_accepted_and_others_go_on():
    platform = await bounded_platform(SMALL_RECORD_BYTES)
    entry = Entry(platform, "a")
    async with running(entry):
        await wait_until(lambda: entry.serving)
        answer = entry.local_coordinator.answer
        assert await answer(submit("large", Step(12_000, SMALL))) == Accepted()
        assert await answer(submit("small", Step(1, TASK))) == Accepted()
        await wait_until(lambda: len(started_tasks(platform)) > 1000)
        cancel = Cancel(where("/p/large"), JobId("large"))
        assert await answer(cancel) == Cancelled()
        await wait_for_state(entry, "small", JobState.COMPLETED)


async def test_a_large_job_taken_over_in_the_midst_runs_each_task_once():
    platform = await bounded_platform(SMALL_RECORD_BYTES, work_ms=lambda key: 50.0)
    first, second = Entry(platform, "a"), Entry(platform, "b")
    call = submit("large", Step(3000, SMALL))
    async with running(first):
        await wait_until(lambda: first.serving)
        assert await first.local_coordinator.answer(call) == Accepted()
        await wait_until(lambda: len(started_tasks(platform)) > 500)
    async with running(second):
        await wait_until(lambda: second.serving)
        with anyio.fail_after(20):
            await wait_until(lambda: len(started_tasks(platform)) > 1500)
            while len(started_tasks(platform)) < 3000:
                await anyio.sleep(0.05)
        await wait_for_state(second, "large", JobState.COMPLETED)
    assert started_tasks(platform) == list(range(3000))


async def test_a_job_over_the_bound_is_refused_at_once_with_the_bound():
    platform = await bounded_platform()
    entry = Entry(platform, "a")
    async with running(entry):
        await wait_until(lambda: entry.serving)
        call = submit("large", Step(1, TASK))
        payload = type(call.submission)("x" * RECORD_BYTES, call.submission.steps)
        call = type(call)(call.where, call.id, payload)
        before = len(platform.store.partition(Topic.JOBS).records)
        answer = await entry.local_coordinator.answer(call)
        assert isinstance(answer, Faulty)
        assert str(RECORD_BYTES) in answer.detail
        assert len(platform.store.partition(Topic.JOBS).records) == before
        assert not started_tasks(platform)


async def test_a_job_that_the_store_refuses_is_answered_so_and_others_go_on():
    platform = await bounded_platform(record_bytes=2000)
    entry = Entry(platform, "a")
    async with running(entry):
        await wait_until(lambda: entry.serving)
        call = submit("large", Step(1, TASK))
        payload = type(call.submission)("x" * 3000, call.submission.steps)
        call = type(call)(call.where, call.id, payload)
        answers = {}

        async def answer(id: str, one) -> None:
            answers[id] = await entry.local_coordinator.answer(one)

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(answer, "large", call)
            for id in "xyz":
                tasks.start_soon(answer, id, submit(id, Step(1, TASK)))
        assert isinstance(answers.pop("large"), Faulty)
        assert list(answers.values()) == [Accepted()] * 3
        for id in "xyz":
            await wait_for_state(entry, id, JobState.COMPLETED)
        assert not started_tasks(platform)
    metrics = Metrics("entry-1")
    entry.metrics.attach(metrics.meter)
    assert "hickoryplank_records_refused_total" in metrics.text().decode()
