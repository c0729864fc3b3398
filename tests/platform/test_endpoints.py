"""Tests of the adapter for executors against a fake platform."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import msgspec
import pytest
from aiohttp import web

from hickoryplank.coordinator.ports import CallFaultKind
from hickoryplank.core.ids import EndpointId, JobId
from hickoryplank.http_client import HttpClient
from hickoryplank.jobs.endpoints import Endpoint, Run
from hickoryplank.jobs.messages import EndKind, PollRequest, StartOutcome
from hickoryplank.jobs.model import Step, TaskKey
from hickoryplank.platform.endpoints import PlatformEndpoints, task_key, task_name
from tests.coordinator.memory_platform import MemoryEndpoints, MemoryStore
from tests.jobs.driver import TASK, listing
from tests.jobs.fake_endpoint import FakeEndpoint
from tests.standins.fake_platform import FakePlatform

pytestmark = pytest.mark.anyio
E0 = EndpointId("e0")
KEY = TaskKey(JobId("5c0e7a21d94b36f8"), 0, 1, 17)


@pytest.fixture
def anyio_backend() -> str:
    return "asyncio"


class FakeExecutor:
    """A fake executor that is reached through the adapter."""

    def __init__(self, fake_endpoint: FakeEndpoint, address: str, client: HttpClient):
        self.fake_endpoint = fake_endpoint
        self.port = PlatformEndpoints(client)
        self.address = address
        fake_listing = listing(E0, fake_endpoint.born_ms)
        self.endpoint = Endpoint(
            msgspec.structs.replace(fake_listing, address=address), 0.0
        )

    def run(self, attempt: int = 1, until_ms: int = 9000) -> Run:
        run = Run(KEY, attempt, Step(1, TASK), "", self.endpoint)
        run.until_ms = until_ms
        return run

    async def poll(self, token: int, last_seen: int = 0, id: EndpointId = E0):
        return await self.port.poll(
            PollRequest(id, self.address, last_seen, 9000, 0), token
        )


@asynccontextmanager
async def fake_executor(handler=None) -> AsyncIterator[FakeExecutor]:
    fake_endpoint = FakeEndpoint(77, lambda key: None)
    platform = FakePlatform(MemoryStore(), MemoryEndpoints({E0: fake_endpoint}))
    client = HttpClient()
    address = await platform.serve(handler or platform.handle_endpoint)
    yield FakeExecutor(fake_endpoint, address, client)
    await client.close()
    await platform.close()


async def test_a_start_runs_once_and_is_listed():
    async with fake_executor() as executor:
        for _ in range(2):
            answer = await executor.port.start(executor.run(), "text", 3)
            assert answer.outcome is StartOutcome.STARTED
            assert answer.clock_ms >= 1000
        report = (await executor.poll(3)).unwrap()
        assert [(one.key, one.attempt) for one in report.running] == [(KEY, 1)]
        assert report.born_ms == 77
        assert executor.fake_endpoint.started == [(KEY, 1)]


async def test_stop_is_listed_as_an_end_until_it_is_acknowledged():
    async with fake_executor() as executor:
        executor.fake_endpoint.stop_ms = 0
        await executor.port.start(executor.run(), "text", 3)
        (await executor.port.stop(executor.run(), 3)).unwrap()
        executor.fake_endpoint.advance(1)
        (end,) = (await executor.poll(3)).unwrap().ends
        assert (end.number, end.key, end.kind) == (1, KEY, EndKind.STOPPED)
        assert (await executor.poll(3, last_seen=1)).unwrap().ends == ()


@pytest.mark.parametrize(
    ("count", "foreign", "may_have_more"),
    [(0, 0, False), (499, 0, False), (500, 0, True), (499, 1, True), (0, 500, True)],
)
async def test_a_full_list_of_ends_may_leave_others_out(count, foreign, may_have_more):
    names = [task_name(KEY)] * count + ["of another system"] * foreign
    ended = [[number, name, 1, "done"] for number, name in enumerate(names, 1)]
    lists = {"clock_ms": 5, "running": [], "ended": ended}

    async def answer(request):
        return web.json_response(lists)

    async with fake_executor(answer) as executor:
        report = (await executor.poll(3)).unwrap()
        assert len(report.ends) == count
        assert report.may_have_more_ends is may_have_more


@pytest.mark.parametrize("numbers", [(1, 2, 3), (3, 1, 2), (2, 3, 1)])
async def test_ends_are_read_in_the_order_of_their_numbers(numbers):
    """Guards against ends that are skipped, and then acknowledged with a later one."""
    ended = [[number, task_name(KEY), number, "done"] for number in numbers]

    async def answer(request):
        return web.json_response({"clock_ms": 5, "running": [], "ended": ended})

    async with fake_executor(answer) as executor:
        report = (await executor.poll(3)).unwrap()
        assert [one.number for one in report.ends] == [1, 2, 3]


@pytest.mark.parametrize(
    ("attempt", "until_ms", "token", "outcome"),
    [
        (1, 9000, 2, StartOutcome.FENCED),
        (1, 10, 3, StartOutcome.LEASE_EXPIRED),
        (2, 9000, 3, StartOutcome.ALREADY_ENDED),
    ],
)
async def test_refused_starts(attempt, until_ms, token, outcome):
    async with fake_executor() as executor:
        await executor.poll(3)
        executor.fake_endpoint.highest_attempts[KEY] = (
            2 if outcome is StartOutcome.ALREADY_ENDED else 0
        )
        answer = await executor.port.start(
            executor.run(attempt, until_ms), "text", token
        )
        assert answer.outcome is outcome
        assert executor.fake_endpoint.started == []


async def test_orders_of_a_replaced_coordinator_are_fenced():
    async with fake_executor() as executor:
        await executor.poll(4)
        assert (await executor.poll(3)).unwrap_err().kind is CallFaultKind.FENCED
        stopped = await executor.port.stop(executor.run(), 3)
        assert stopped.unwrap_err().kind is CallFaultKind.FENCED


async def test_other_incarnation_at_the_address_is_reported():
    async with fake_executor() as executor:
        answer = await executor.poll(3, id=EndpointId("e1"))
        assert answer.unwrap_err().kind is CallFaultKind.OTHER_INCARNATION


@pytest.mark.parametrize(
    ("status", "body", "outcome"),
    [
        (429, "", StartOutcome.UNHEALTHY),
        (503, "", StartOutcome.UNHEALTHY),
        (421, "", StartOutcome.OTHER_INCARNATION),
        (400, "{}", StartOutcome.REFUSED),
        (409, '{"clock_ms":5,"reason":"room"}', StartOutcome.NO_ROOM),
        (409, '{"clock_ms":5,"reason":"ticket"}', StartOutcome.NO_TICKET),
        (409, "none of ours", StartOutcome.REFUSED),
    ],
)
async def test_answers_to_starts(status, body, outcome):
    async def answer(request):
        return web.Response(status=status, text=body)

    async with fake_executor(answer) as executor:
        start_answer = await executor.port.start(executor.run(), "text", 3)
        assert start_answer.outcome is outcome


@pytest.mark.parametrize(
    "body", ["", "[]", '{"clock_ms":1}', '{"clock_ms":1,"running":[["x"]],"ended":[]}']
)
async def test_malformed_poll_answers(body):
    async def answer(request):
        return web.Response(text=body)

    async with fake_executor(answer) as executor:
        assert (
            await executor.poll(3)
        ).unwrap_err().kind is CallFaultKind.INVALID_ANSWER


async def test_task_names_round_trip():
    assert task_key(task_name(KEY)) == KEY
    assert task_name(KEY) == "5c0e7a21d94b36f8.0.1.17"
