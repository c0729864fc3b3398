"""Tests that what one job, endpoint, wave or VM raises ends no other work."""

import logging

import pytest

from hickoryplank.coordinator import vm_controller
from hickoryplank.coordinator.calls import Accepted, Cancel, Cancelled, Unsettled
from hickoryplank.coordinator.journal import TermEnded
from hickoryplank.coordinator.ports import Topic
from hickoryplank.core.ids import EndpointId, JobId, VmId
from hickoryplank.jobs import records
from hickoryplank.jobs.model import Step
from hickoryplank.jobs.table import JobState
from hickoryplank.meter import Metrics
from tests.coordinator.test_coordinator import (
    Entry,
    Platform,
    running,
    submit,
    wait_for_state,
    wait_until,
    where,
)
from tests.jobs.driver import TASK
from tests.jobs.raising import Raiser

pytestmark = pytest.mark.anyio
BAD = JobId("bad")
ALWAYS = 1_000_000


@pytest.fixture
def anyio_backend() -> str:
    return "asyncio"


@pytest.fixture
def raiser():
    one = Raiser()
    with one.installed():
        yield one


class Raising:
    """Calls a function of the platform, and raises in the first calls for one id.

    :param concerns: whether the arguments of a call are about that id.
    """

    def __init__(self, function, concerns, left: int, exc: type = ValueError):
        self.function = function
        self.concerns = concerns
        self.left = left
        self.exc = exc

    def __call__(self, *args, **kwargs):
        if self.left and self.concerns(*args):
            self.left -= 1
            raise self.exc("not expected")
        return self.function(*args, **kwargs)


def logged(caplog) -> list[logging.LogRecord]:
    return [record for record in caplog.records if record.msg == "set aside"]


def metric(metrics: Metrics, name: str) -> float:
    lines = metrics.text().decode().splitlines()
    return sum(float(line.split()[-1]) for line in lines if line.startswith(name))


def metrics_of(entry: Entry) -> Metrics:
    metrics = Metrics("entry-1")
    entry.metrics.attach(metrics.meter)
    return metrics


@pytest.mark.parametrize(
    "place", ["assign a job", "order jobs", "whether a start is due"]
)
async def test_a_job_that_raises_ends_no_term(raiser, caplog, place: str):
    caplog.set_level(logging.INFO)
    platform = Platform()
    await platform.open()
    entry = Entry(platform, "a")
    metrics = metrics_of(entry)
    raiser.arm(place, BAD, ALWAYS, False)
    async with running(entry):
        await wait_until(lambda: entry.serving)
        first = entry.local_coordinator
        for id in ("bad", "good"):
            assert await first.answer(submit(id, Step(2, TASK))) == Accepted()
        await wait_for_state(entry, "good", JobState.COMPLETED)
        await wait_until(lambda: logged(caplog))
        assert metric(metrics, 'hickoryplank_set_aside_now{kind="job"}') == 1
        raiser.left = 0
        await wait_for_state(entry, "bad", JobState.COMPLETED)
        assert entry.local_coordinator is first
        await wait_until(
            lambda: metric(metrics, 'hickoryplank_set_aside_now{kind="job"}') == 0
        )
    records = logged(caplog)
    assert {record.request for record in records} == {BAD}
    assert all(record.exc_info[2] is not None for record in records)
    assert metric(metrics, 'hickoryplank_set_aside_total{kind="job"}') == len(records)
    assert len(records) <= raiser.raised


@pytest.mark.parametrize("place", ["encode a job", "encode a state"])
async def test_what_can_not_be_encoded_is_not_acknowledged(raiser, place: str):
    platform = Platform()
    await platform.open()
    entry = Entry(platform, "a")
    raiser.arm(place, BAD, ALWAYS, False)
    async with running(entry):
        await wait_until(lambda: entry.serving)
        first = entry.local_coordinator
        taken = await first.answer(submit("bad", Step(1, TASK)))
        assert isinstance(taken, Unsettled if place == "encode a job" else Accepted)
        assert await first.answer(submit("good", Step(2, TASK))) == Accepted()
        await wait_for_state(entry, "good", JobState.COMPLETED)
        cancel = Cancel(where("/p/bad"), BAD)
        assert isinstance(await first.answer(cancel), Unsettled)
        raiser.left = 0
        await wait_for_state(entry, "bad", JobState.CANCELLED)
        assert await first.answer(cancel) == Cancelled()
        assert entry.local_coordinator is first


async def test_the_next_coordinator_is_not_ended_by_the_same_end(raiser):
    platform = Platform()
    await platform.open()
    entries = [Entry(platform, "a"), Entry(platform, "b")]
    raiser.arm("context of an end", BAD, ALWAYS, False)
    async with running(*entries):
        await wait_until(lambda: any(one.serving for one in entries))
        first = next(one for one in entries if one.serving)
        (second,) = [one for one in entries if one is not first]
        for id in ("bad", "good"):
            taken = await first.local_coordinator.answer(submit(id, Step(2, TASK)))
            assert taken == Accepted()
        await wait_for_state(first, "good", JobState.COMPLETED)
        first.store.unavailable = True
        await wait_until(lambda: second.serving)
        after = second.local_coordinator
        assert await after.answer(submit("more", Step(2, TASK))) == Accepted()
        await wait_for_state(second, "more", JobState.COMPLETED)
        assert second.local_coordinator is after
        raiser.left = 0
        await wait_for_state(second, "bad", JobState.COMPLETED)
        assert second.local_coordinator is after
    started = [key for one in platform.fake_endpoints.values() for key in one.started]
    assert len(started) == len(set(started))


async def test_a_stored_state_that_raises_is_left_alone(monkeypatch):
    platform = Platform()
    await platform.open()
    entry = Entry(platform, "a")
    async with running(entry):
        await wait_until(lambda: entry.serving)
        await entry.local_coordinator.answer(submit("bad", Step(1, TASK)))
        await wait_for_state(entry, "bad", JobState.COMPLETED)
    raising = Raising(
        records.apply_state, lambda row, record, parts: row.job.id == BAD, ALWAYS
    )
    monkeypatch.setattr(records, "apply_state", raising)
    entry = Entry(platform, "b")
    async with running(entry):
        await wait_until(lambda: entry.serving)
        answer = await entry.local_coordinator.answer(submit("bad", Step(1, TASK)))
        assert isinstance(answer, Unsettled)
        taken = await entry.local_coordinator.answer(submit("good", Step(1, TASK)))
        assert taken == Accepted()
        await wait_for_state(entry, "good", JobState.COMPLETED)


@pytest.mark.parametrize("owner", ["poll", "decode"])
async def test_an_endpoint_that_raises_is_used_again_later(caplog, owner: str):
    platform = Platform()
    await platform.open()
    entry = Entry(platform, "a")
    metrics = metrics_of(entry)
    if owner == "poll":
        raising = Raising(
            platform.endpoints.poll, lambda request, token: request.endpoint == "e0", 2
        )
        platform.endpoints.poll = raising
    else:
        raising = Raising(
            platform.listings.decode, lambda record: record.key == "e0", 2
        )
        platform.listings.decode = raising
    async with running(entry):
        await wait_until(lambda: entry.serving)
        first = entry.local_coordinator
        assert await first.answer(submit("one", Step(6, TASK))) == Accepted()
        await wait_until(lambda: logged(caplog))
        assert metric(metrics, 'hickoryplank_set_aside_now{kind="endpoint"}') == 1
        await wait_for_state(entry, "one", JobState.COMPLETED)
        await wait_until(
            lambda: (
                not raising.left
                and metric(metrics, 'hickoryplank_set_aside_now{kind="endpoint"}') == 0
            )
        )
        two = first.engine.endpoints
        await wait_until(lambda: two[EndpointId("e0")].token_confirmed)
        assert await first.answer(submit("two", Step(8, TASK))) == Accepted()
        await wait_for_state(entry, "two", JobState.COMPLETED)
        assert entry.local_coordinator is first
    assert len(logged(caplog)) == 2
    assert platform.fake_endpoints[EndpointId("e0")].started


@pytest.mark.parametrize("place", ["plan", "order", "encode", "report"])
async def test_a_wave_that_raises_is_completed_later(monkeypatch, caplog, place: str):
    platform = Platform()
    await platform.open()
    vm = VmId("m-e0")
    owner, name, concerns = {
        "plan": (vm_controller, "begin_maintenance", lambda *args: True),
        "order": (platform.vms, "maintain", lambda one, *args: one == vm),
        "encode": (vm_controller, "encode_wave", lambda *args: True),
        "report": (platform.operator, "encode_wave_status", lambda *args: True),
    }[place]
    raising = Raising(getattr(owner, name), concerns, 2)
    monkeypatch.setattr(owner, name, raising)
    entry = Entry(platform, "a")
    async with running(entry):
        await wait_until(lambda: entry.serving)
        first = entry.local_coordinator
        await platform.request_wave()
        assert await first.answer(submit("j", Step(2, TASK))) == Accepted()
        await wait_for_state(entry, "j", JobState.COMPLETED)
        status = platform.store.partition(Topic.STATUS)
        await wait_until(lambda: status.records)
        assert entry.local_coordinator is first
    assert raising.left == 0
    assert logged(caplog)
    maintained = [one for _, one, _, _ in platform.vms.orders]
    assert sorted(maintained) == sorted(platform.vms.vms)


@pytest.mark.parametrize("name", ["start", "stop"])
async def test_a_request_that_raises_sets_only_its_job_aside(caplog, name: str):
    work_ms = None if name == "stop" else 100.0
    platform = Platform(lambda key: work_ms if key.job == BAD else 100.0)
    await platform.open()
    raising = Raising(
        getattr(platform.endpoints, name), lambda run, *args: run.key.job == BAD, 1
    )
    setattr(platform.endpoints, name, raising)
    entry = Entry(platform, "a")
    async with running(entry):
        await wait_until(lambda: entry.serving)
        first = entry.local_coordinator
        step = Step(1, TASK, lasting=name == "stop")
        for id, one in (("bad", step), ("good", Step(1, TASK))):
            assert await first.answer(submit(id, one)) == Accepted()
        await wait_for_state(entry, "good", JobState.COMPLETED)
        fakes = platform.fake_endpoints.values()
        if name == "stop":
            await wait_until(lambda: any(one.running for one in fakes))
            assert await first.answer(Cancel(where("/p/bad"), BAD)) == Cancelled()
            await wait_until(lambda: not any(one.running for one in fakes))
        else:
            await wait_for_state(entry, "bad", JobState.COMPLETED)
        assert entry.local_coordinator is first
    assert [record.request for record in logged(caplog)] == [BAD]


async def test_the_end_of_a_term_passes_the_guards(caplog):
    platform = Platform()
    await platform.open()
    entry = Entry(platform, "a")
    raising = Raising(
        platform.endpoints.poll, lambda request, token: True, 1, TermEnded
    )
    async with running(entry):
        await wait_until(lambda: entry.serving)
        first = entry.local_coordinator
        platform.endpoints.poll = raising
        await wait_until(lambda: entry.serving and entry.local_coordinator is not first)
    assert not logged(caplog)
