"""Tests of fenced appends: retries, splitting, and fencing by a higher epoch."""

import anyio
import pytest

from hickoryplank.coordinator.journal import MAX_APPEND_BYTES, Journal, TermEnded
from hickoryplank.coordinator.ports import Topic
from hickoryplank.jobs.records import Record
from tests.coordinator.memory_platform import FaultyStore, MemoryStore

pytestmark = pytest.mark.anyio


@pytest.fixture
def anyio_backend() -> str:
    return "asyncio"


async def test_higher_epoch_fences_off_an_older_journal():
    store = MemoryStore()
    old, new = Journal(store, 1), Journal(store, 2)
    await old.open()
    await old.append([Record("k", b"old")])
    await new.open()
    with pytest.raises(TermEnded):
        await old.append([Record("k", b"late")])
    assert [one.value for one in store.partition(Topic.JOBS).records] == [b"old"]


async def test_appends_without_answer_are_repeated_and_done_once():
    store = MemoryStore()
    faulty = FaultyStore(store)
    answers = iter([True, True, False] * 10)
    faulty.lose_answer = lambda: next(answers)
    journal = Journal(faulty, 1)
    await journal.open()
    for number in range(4):
        await journal.append([Record("k", bytes([number]))])
    values = [one.value for one in store.partition(Topic.JOBS).records]
    assert values == [bytes([number]) for number in range(4)]


async def test_an_append_waits_for_the_store_to_come_back():
    store = MemoryStore()
    faulty = FaultyStore(store)
    journal = Journal(faulty, 1)
    await journal.open()
    faulty.unavailable = True
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(journal.append, [Record("k", b"v")])
        await anyio.sleep(0.2)
        assert journal.failing
        faulty.unavailable = False
    assert not journal.failing
    assert len(store.partition(Topic.JOBS).records) == 1


async def test_large_batches_are_split():
    store = MemoryStore()
    journal = Journal(store, 1)
    await journal.open()
    value = b"x" * (MAX_APPEND_BYTES // 2 + 1)
    await journal.append([Record(str(number), value) for number in range(3)])
    assert len(store.partition(Topic.JOBS).records) == 3
    assert store.partition(Topic.JOBS).last_sequence == 3


async def test_appends_that_wait_for_a_slow_store_go_in_one():
    store = MemoryStore()
    faulty = FaultyStore(store)
    journal = Journal(faulty, 1)
    await journal.open()
    faulty.delay_s = 0.05
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(journal.append, [Record("k", b"\0")])
        await anyio.sleep(0.01)
        for number in range(1, 20):
            tasks.start_soon(journal.append, [Record("k", bytes([number]))])
    values = [one.value for one in store.partition(Topic.JOBS).records]
    assert values == [bytes([number]) for number in range(20)]
    assert store.partition(Topic.JOBS).last_sequence == 2


async def test_each_append_that_went_with_others_reports_that_the_term_has_ended():
    store = MemoryStore()
    faulty = FaultyStore(store)
    journal, successor = Journal(faulty, 1), Journal(store, 2)
    await journal.open()
    faulty.delay_s = 0.05
    ended = []

    async def append(number: int) -> None:
        try:
            await journal.append([Record("k", bytes([number]))])
        except TermEnded:
            ended.append(number)

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(append, 0)
        await anyio.sleep(0.01)
        for number in (1, 2, 3):
            tasks.start_soon(append, number)
        await successor.open()
    assert sorted(ended) == [0, 1, 2, 3]
    assert not store.partition(Topic.JOBS).records


async def test_an_append_that_nobody_waits_for_any_more_is_not_sent_with_others():
    store = MemoryStore()
    faulty = FaultyStore(store)
    journal = Journal(faulty, 1)
    await journal.open()
    faulty.delay_s = 0.05
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(journal.append, [Record("k", b"first")])
        await anyio.sleep(0.01)
        with anyio.move_on_after(0.01):
            await journal.append([Record("k", b"given up")])
        tasks.start_soon(journal.append, [Record("k", b"last")])
    values = [one.value for one in store.partition(Topic.JOBS).records]
    assert values == [b"first", b"last"]
