"""Tests of calls that were meant for a former incarnation of an endpoint."""

import anyio
import pytest

from hickoryplank.coordinator.calls import Cancel, Cancelled
from hickoryplank.coordinator.ports import StartAnswer, Topic
from hickoryplank.core.ids import EndpointId, JobId
from hickoryplank.jobs.endpoints import TOKENS_PER_TERM, endpoint_token
from hickoryplank.jobs.messages import EndKind, StartOutcome
from hickoryplank.jobs.model import Step
from hickoryplank.jobs.records import Record
from hickoryplank.jobs.table import JobState
from hickoryplank.meter import Metrics
from tests.coordinator.memory_platform import MemoryEndpoints
from tests.coordinator.test_coordinator import (
    Entry,
    Platform,
    running,
    submit,
    wait_for_state,
    wait_until,
    where,
)
from tests.jobs.driver import TASK, listing
from tests.jobs.fake_endpoint import FakeEndpoint

pytestmark = pytest.mark.anyio
E0 = EndpointId("e0")


@pytest.fixture
def anyio_backend() -> str:
    return "asyncio"


@pytest.mark.parametrize("number", [0, 1, TOKENS_PER_TERM - 1, 2 * TOKENS_PER_TERM])
def test_tokens_of_a_term_lie_above_the_epoch_before_and_not_above_its_own(number):
    assert 5 < endpoint_token(5 + TOKENS_PER_TERM, number) <= 5 + TOKENS_PER_TERM


class DelayedEndpoints(MemoryEndpoints):
    """Fake endpoints at which one call arrives late.

    :ivar delayed: the next call of this name is delayed; none if empty.
    :ivar arrived: set to let the delayed call arrive.
    :ivar refusal: what the delayed call is answered instead of being carried out.
    """

    def __init__(self, endpoints: dict[EndpointId, FakeEndpoint]):
        super().__init__(endpoints)
        self.delayed = ""
        self.arrived = anyio.Event()
        self.refusal: StartAnswer | None = None
        self.outcome: object = None

    async def _call(self, name: str, *args):
        is_delayed = name == self.delayed
        if is_delayed:
            self.delayed = ""
            await self.arrived.wait()
        if is_delayed and self.refusal is not None:
            self.outcome = self.refusal
            return self.refusal
        outcome = await getattr(super(), name)(*args)
        if is_delayed:
            self.outcome = outcome
        return outcome

    async def poll(self, request, token):
        """Poll the runs and ends of an endpoint."""
        return await self._call("poll", request, token)

    async def start(self, run, payload, token):
        """Start a run."""
        return await self._call("start", run, payload, token)

    async def stop(self, run, token):
        """Stop a run."""
        return await self._call("stop", run, token)


class RestartingPlatform(Platform):
    """A platform with one endpoint, at which one call arrives late."""

    def __init__(self, work_ms):
        super().__init__(work_ms, count=1)
        self.endpoints = DelayedEndpoints(self.fake_endpoints)

    async def restart_endpoint(self) -> None:
        """Begin a new incarnation of the endpoint under its id, and list it."""
        fake = self.fake_endpoints[E0] = FakeEndpoint(2, self.work_ms)
        self.listings.listings[E0] = listing(E0, 2)
        await self.store.append(Topic.LISTINGS, [Record(E0, b"listed")], None)
        await wait_until(lambda: fake.token > 1)


@pytest.mark.parametrize("call", ["poll", "start", "stop"])
async def test_a_refused_call_to_a_former_incarnation_does_not_end_the_term(call):
    platform = RestartingPlatform(lambda key: None if key.job == "a" else 100.0)
    await platform.open()
    entry = Entry(platform, "a")
    async with running(entry):
        await wait_until(lambda: entry.serving)
        coordinator = entry.local_coordinator
        await wait_until(lambda: coordinator.engine.endpoints[E0].token_confirmed)
        if call != "start":
            await coordinator.answer(submit("a", Step(1, TASK, lasting=True)))
            await wait_until(lambda: platform.fake_endpoints[E0].running)
        platform.endpoints.delayed = call
        if call == "start":
            await coordinator.answer(submit("b", Step(1, TASK)))
        if call == "stop":
            cancel = Cancel(where("/p/a"), JobId("a"))
            assert await coordinator.answer(cancel) == Cancelled()
        await wait_until(lambda: not platform.endpoints.delayed)
        await platform.restart_endpoint()
        platform.endpoints.arrived.set()
        await wait_until(lambda: platform.endpoints.outcome is not None)
        assert "FENCED" in repr(platform.endpoints.outcome).upper()
        if call != "start":
            await coordinator.answer(submit("b", Step(1, TASK)))
        await wait_for_state(entry, "b", JobState.COMPLETED)
        assert entry.local_coordinator is coordinator
    started = [key.job for key, _ in platform.fake_endpoints[E0].started]
    assert started.count("b") == 1


@pytest.mark.parametrize("call", ["poll", "start", "stop"])
async def test_a_call_that_a_later_coordinator_has_fenced_off_ends_the_term(call):
    platform = RestartingPlatform(lambda key: None)
    await platform.open()
    entry = Entry(platform, "a")
    async with running(entry):
        await wait_until(lambda: entry.serving)
        coordinator = entry.local_coordinator
        await wait_until(lambda: coordinator.engine.endpoints[E0].token_confirmed)
        await platform.restart_endpoint()
        await wait_until(lambda: coordinator.engine.endpoints[E0].token_confirmed)
        if call == "stop":
            await coordinator.answer(submit("a", Step(1, TASK, lasting=True)))
            await wait_until(lambda: platform.fake_endpoints[E0].running)
        platform.endpoints.delayed = call
        if call == "start":
            await coordinator.answer(submit("a", Step(1, TASK, lasting=True)))
        if call == "stop":
            await coordinator.answer(Cancel(where("/p/a"), JobId("a")))
        await wait_until(lambda: not platform.endpoints.delayed)
        platform.fake_endpoints[E0].token = 2 * TOKENS_PER_TERM
        platform.endpoints.arrived.set()
        await wait_until(lambda: entry.local_coordinator is not coordinator)


async def test_ends_that_were_dropped_unread_are_logged_and_counted(caplog):
    platform = RestartingPlatform(lambda key: 100.0)
    await platform.open()
    entry = Entry(platform, "a")
    with caplog.at_level("INFO", "hickoryplank"):
        async with running(entry):
            await wait_until(lambda: entry.serving)
            await platform.restart_endpoint()
            platform.fake_endpoints[E0].number = 2
            await entry.local_coordinator.answer(submit("b", Step(1, TASK)))
            await wait_for_state(entry, "b", JobState.COMPLETED)
    (begun,) = [r for r in caplog.records if r.msg == "endpoint incarnation begun"]
    assert (begun.former_born_ms, begun.born_ms) == (1, 2)
    assert begun.source in {"listing", "report"}
    (dropped,) = [r for r in caplog.records if r.msg == "ends dropped unread"]
    assert (dropped.endpoint, dropped.first, dropped.last) == (E0, 1, 2)
    metrics = Metrics("entry-1")
    entry.metrics.attach(metrics.meter)
    assert "hickoryplank_ends_missing_total 2.0" in metrics.text().decode()


async def test_a_start_that_reached_another_endpoint_ends_only_its_own_incarnation():
    platform = RestartingPlatform(lambda key: 100.0)
    await platform.open()
    entry = Entry(platform, "a")
    async with running(entry):
        await wait_until(lambda: entry.serving)
        engine = entry.local_coordinator.engine
        await wait_until(lambda: engine.endpoints[E0].token_confirmed)
        platform.endpoints.delayed = "start"
        platform.endpoints.refusal = StartAnswer(StartOutcome.OTHER_INCARNATION)
        await entry.local_coordinator.answer(submit("b", Step(1, TASK)))
        await wait_until(lambda: not platform.endpoints.delayed)
        await platform.restart_endpoint()
        restarted = engine.endpoints[E0]
        platform.endpoints.arrived.set()
        await wait_for_state(entry, "b", JobState.COMPLETED)
        assert engine.endpoints[E0] is restarted


async def test_a_run_in_a_later_incarnation_can_be_stopped():
    platform = RestartingPlatform(lambda key: None)
    await platform.open()
    entry = Entry(platform, "a")
    async with running(entry):
        await wait_until(lambda: entry.serving)
        await platform.restart_endpoint()
        fake = platform.fake_endpoints[E0]
        coordinator = entry.local_coordinator
        await coordinator.answer(submit("a", Step(1, TASK, lasting=True)))
        await wait_until(lambda: fake.running)
        cancel = Cancel(where("/p/a"), JobId("a"))
        assert await coordinator.answer(cancel) == Cancelled()
        await wait_until(lambda: not fake.running)
        assert [end.kind for end in fake.ends] in ([], [EndKind.STOPPED])
        assert entry.local_coordinator is coordinator
