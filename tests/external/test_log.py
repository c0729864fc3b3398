"""Tests of log clients: offsets, long polls, retention and injected faults."""

import anyio
import pytest

from hickoryplank.external.errors import LogError, LogFailure, Trimmed
from hickoryplank.external.log import Page, StreamRecord
from hickoryplank.external.log_http import HttpLog
from tests.external.conftest import OPTIONS, READ_TIMEOUT_SECONDS
from tests.standins import service

pytestmark = pytest.mark.anyio

BODIES = [b"", bytes(range(256)), b"\xff" * 100_000]


async def append_records(harness, count):
    for i in range(count):
        assert (await harness.client.append("control", b"%d" % i)).ok() == i


@pytest.mark.parametrize(
    ("start", "limit", "expected"),
    [(0, 10, [0, 1, 2]), (1, 1, [1]), (2, 10, [2]), (3, 10, []), (9, 10, [])],
)
async def test_read_gives_the_records_of_a_stream(log_harness, start, limit, expected):
    await append_records(log_harness, 1)
    for body in BODIES:
        await log_harness.client.append("æ /?&", body)
    page = (await log_harness.client.read("æ /?&", start, limit, 0)).unwrap()
    assert page == Page(tuple(StreamRecord(i, BODIES[i]) for i in expected), 3, 0)


async def test_waiting_read_wakes_on_an_append_and_ends_empty(log_harness):
    pages = []

    async def read():
        pages.append((await log_harness.client.read("control", 0, 9, 5.0)).unwrap())

    with anyio.fail_after(2):
        async with anyio.create_task_group() as group:
            group.start_soon(read)
            await anyio.sleep(0.1)
            await log_harness.client.append("control", b"x")
        assert pages == [Page((StreamRecord(0, b"x"),), 1, 0)]
        page = (await log_harness.client.read("control", 1, 9, 0.1)).unwrap()
        assert page == Page((), 1, 0)


async def test_waiting_read_can_be_cancelled(log_harness):
    with anyio.fail_after(2):
        for _ in range(3):
            with anyio.move_on_after(0.05):
                await log_harness.client.read("control", 0, 9, 30.0)
        await append_records(log_harness, 1)


async def test_waiting_read_outlasts_the_read_timeout(log_harness):
    page = await log_harness.client.read("control", 0, 9, READ_TIMEOUT_SECONDS * 2)
    assert page.unwrap() == Page((), 0, 0)


async def test_outage_ends_waiting_reads_and_refuses_without_effect(log_harness):
    await append_records(log_harness, 1)
    failed = []

    async def read():
        failed.append(
            (await log_harness.client.read("control", 1, 9, 30.0)).err().error
        )

    with anyio.fail_after(2):
        async with anyio.create_task_group() as group:
            group.start_soon(read)
            await anyio.sleep(0.1)
            await log_harness.inject(outage=True)
        await read()
    failed.append((await log_harness.client.append("control", b"x")).err().error)
    assert failed == [LogError.UNAVAILABLE] * 3
    await log_harness.inject(outage=False)
    assert (await log_harness.client.read("control", 0, 9, 0)).unwrap().tail == 1


@pytest.mark.parametrize(
    "fault", [{"lose_answers": 1}, {"slow_seconds": READ_TIMEOUT_SECONDS * 1.5}]
)
async def test_lost_answer_to_an_append_is_unknown_and_took_effect(log_harness, fault):
    await log_harness.inject(**fault)
    lost = (await log_harness.client.append("control", b"x")).err()
    assert isinstance(lost, LogFailure) and lost.error is LogError.UNKNOWN
    await log_harness.inject(slow_seconds=READ_TIMEOUT_SECONDS / 2)
    await anyio.sleep(READ_TIMEOUT_SECONDS)
    page = (await log_harness.client.read("control", 0, 9, 0)).unwrap()
    assert page.entries == (StreamRecord(0, b"x"),)
    assert (await log_harness.client.append("control", b"y")).ok() == 1


@pytest.mark.parametrize(
    ("fault", "first"), [({"keep_records": 2}, 3), ({"keep_seconds": 0.05}, 5)]
)
async def test_read_of_trimmed_records_returns_the_first_offset(
    log_harness, fault, first
):
    await append_records(log_harness, 5)
    await log_harness.inject(**fault)
    await anyio.sleep(0.1)
    trimmed = (await log_harness.client.read("control", 1, 9, 0)).err()
    assert trimmed == Trimmed(first)
    page = (await log_harness.client.read("control", first, 9, 0)).unwrap()
    assert (page.first, page.tail) == (first, 5)


async def test_blackholed_connections_are_replaced(log_harness):
    async with anyio.create_task_group() as group:
        for _ in range(3):
            group.start_soon(log_harness.client.read, "control", 0, 9, 0.1)
    if log_harness.over_http:
        await log_harness.blackhole()
        lost = (await log_harness.client.append("control", b"lost")).err()
        assert lost.error is LogError.UNKNOWN
    assert (await log_harness.client.append("control", b"x")).ok() == 0


async def test_refused_connection_means_no_effect():
    with service.listen("127.0.0.1:0") as sock:
        address = service.address_of(sock)
    client = HttpLog(address, OPTIONS)
    assert (await client.append("s", b"")).err().error is LogError.UNAVAILABLE
    assert (await client.read("s", 0, 1, 5)).err().error is LogError.UNAVAILABLE
    await client.aclose()
