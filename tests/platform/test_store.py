"""Tests of the in-memory store, and of the adapter against a fake platform."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import anyio
import pytest
from result import Err, Ok

from hickoryplank.coordinator.ports import (
    CallFault,
    CallFaultKind,
    Condition,
    Fence,
    StorePort,
    Topic,
)
from hickoryplank.http_client import HttpClient
from hickoryplank.jobs.records import Record
from hickoryplank.platform.store import PlatformStore
from tests.coordinator.memory_platform import MemoryStore
from tests.standins.fake_platform import FakePlatform

pytestmark = pytest.mark.anyio
A, B = Record("a", b"1"), Record("b", b"2")


@pytest.fixture
def anyio_backend() -> str:
    return "asyncio"


@asynccontextmanager
async def over_http(store: MemoryStore) -> AsyncIterator[StorePort]:
    platform = FakePlatform(store)
    client = HttpClient()
    address = await platform.serve(platform.handle_store)
    try:
        yield PlatformStore(client, address)
    finally:
        await client.close()
        await platform.close()


@asynccontextmanager
async def in_memory(store: MemoryStore) -> AsyncIterator[StorePort]:
    yield store


@pytest.fixture(params=[in_memory, over_http], ids=["memory", "http"])
def open_store(request):
    return request.param


async def test_appended_records_are_read_back_in_order(open_store):
    async with open_store(MemoryStore()) as store:
        done = (await store.append(Topic.JOBS, [A, B], None)).unwrap()
        assert (done.offset, done.end) == (0, 2)
        page = (await store.read(Topic.JOBS, 0, 0)).unwrap()
        assert page.records == (A, B)
        assert (page.next, page.end) == (2, 2)


async def test_one_of_two_conditional_appends_succeeds(open_store):
    async with open_store(MemoryStore()) as store:
        first = await store.append(Topic.LEASE, [A], Condition(0))
        second = await store.append(Topic.LEASE, [B], Condition(0))
        assert isinstance(first, Ok)
        assert second.unwrap_err().kind is CallFaultKind.CONDITION_FAILED


async def test_an_older_epoch_appends_nothing(open_store):
    async with open_store(MemoryStore()) as store:
        await store.append(Topic.JOBS, [], Fence(2, 0))
        late = await store.append(Topic.JOBS, [A], Fence(1, 0))
        assert late.unwrap_err().kind is CallFaultKind.FENCED
        page = (await store.read(Topic.JOBS, 0, 0)).unwrap()
        assert page.records == ()


async def test_a_repeated_append_gets_its_first_answer(open_store):
    async with open_store(MemoryStore()) as store:
        await store.append(Topic.JOBS, [], Fence(1, 0))
        first = await store.append(Topic.JOBS, [A], Fence(1, 1))
        again = await store.append(Topic.JOBS, [A], Fence(1, 1))
        assert first == again
        gap = await store.append(Topic.JOBS, [A], Fence(1, 5))
        assert gap.unwrap_err().kind is CallFaultKind.OUT_OF_ORDER


async def test_a_read_waits_for_the_first_record(open_store):
    async with open_store(MemoryStore()) as store, anyio.create_task_group() as tasks:
        tasks.start_soon(store.append, Topic.JOBS, [A], None)
        page = (await store.read(Topic.JOBS, 0, 2000)).unwrap()
        assert page.records == (A,)


async def test_newest_has_each_key_once_over_several_pages(open_store):
    async with open_store(MemoryStore()) as store:
        records = [Record(f"{number:04}", b"x") for number in range(1100)]
        await store.append(Topic.JOBS, records, None)
        await store.append(
            Topic.JOBS, [Record("0003", b"y"), Record("0004", b"")], None
        )
        newest = (await store.newest(Topic.JOBS)).unwrap()
        found = {record.key: record.value for record in newest.records}
        assert len(found) == len(newest.records) == 1099
        assert found["0003"] == b"y"
        assert newest.end == 1102


async def test_read_of_trimmed_records_fails(open_store):
    memory = MemoryStore()
    async with open_store(memory) as store:
        await store.append(Topic.OPERATOR, [A, B], None)
        memory.trim(Topic.OPERATOR)
        answer = await store.read(Topic.OPERATOR, 0, 0)
        assert answer.unwrap_err().kind is CallFaultKind.TRIMMED
        assert len((await store.newest(Topic.OPERATOR)).unwrap().records) == 2


@pytest.mark.parametrize(
    ("status", "fault"),
    [
        (429, CallFaultKind.NOT_DONE),
        (503, CallFaultKind.NOT_DONE),
        (507, CallFaultKind.INVALID_ANSWER),
    ],
)
async def test_rejections_by_the_store(status, fault):
    platform = FakePlatform(MemoryStore())
    platform.store_status = status
    client = HttpClient()
    store = PlatformStore(client, await platform.serve(platform.handle_store))
    calls = [
        store.append(Topic.JOBS, [A], None),
        store.read(Topic.JOBS, 0, 0),
        store.newest(Topic.JOBS),
    ]
    for call in calls:
        assert (await call).unwrap_err().kind is fault
    await client.close()
    await platform.close()


@pytest.mark.parametrize(
    ("status", "fault"),
    [
        (400, CallFaultKind.REFUSED),
        (403, CallFaultKind.REFUSED),
        (413, CallFaultKind.REFUSED),
        (408, CallFaultKind.INVALID_ANSWER),
        (412, CallFaultKind.CONDITION_FAILED),
        (429, CallFaultKind.NOT_DONE),
        (500, CallFaultKind.INVALID_ANSWER),
        (503, CallFaultKind.NOT_DONE),
    ],
)
async def test_an_append_refused_for_good_is_told_from_one_to_repeat(status, fault):
    platform = FakePlatform(MemoryStore())
    platform.store_status = status
    client = HttpClient()
    store = PlatformStore(client, await platform.serve(platform.handle_store))
    answer = await store.append(Topic.JOBS, [A], Fence(1, 0))
    assert answer.unwrap_err().kind is fault
    await client.close()
    await platform.close()


async def test_no_listener_is_not_done_and_no_answer_is_unknown():
    client = HttpClient()
    store = PlatformStore(client, "127.0.0.1:9")
    answer = await store.append(Topic.JOBS, [A], None)
    assert answer.unwrap_err().kind is CallFaultKind.NOT_DONE

    async def silent(request):
        await anyio.sleep(5)

    platform = FakePlatform(MemoryStore())
    store = PlatformStore(client, await platform.serve(silent))
    answer = await store.append(Topic.JOBS, [A], None)
    assert isinstance(answer, Err)
    assert isinstance(answer.err_value, CallFault)
    assert answer.err_value.kind is CallFaultKind.UNKNOWN
    await client.close()
    await platform.close()
