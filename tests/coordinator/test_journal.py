"""Tests of fenced appends: retries, splitting, and fencing by a higher epoch."""

import anyio
import pytest

from hickoryplank.coordinator.journal import MAX_APPEND_BYTES, Journal, TermEnded
from hickoryplank.coordinator.ports import Topic
from hickoryplank.jobs.records import Record, StoreBounds
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


def stored_keys(store: MemoryStore) -> list[str]:
    return [one.key for one in store.partition(Topic.JOBS).records]


# Guards against a record that the store refuses for good and that is repeated for ever,
# while nothing of any other job is stored (review case 7).
async def test_a_record_refused_for_good_does_not_block_the_records_of_others():
    store = MemoryStore(record_bytes=1000)
    journal = Journal(store, 1)
    await journal.open()
    with anyio.fail_after(5):
        records = [Record(f"s:{number}", b"x") for number in range(10)]
        records[7] = Record("s:7", b"x" * 1000)
        assert await journal.append(records) == {"s:7"}
        assert await journal.append([Record("s:8", b"y")]) == frozenset()
    keys = [f"s:{number}" for number in range(10) if number != 7]
    assert stored_keys(store) == [*keys, "s:8"]
    assert not journal.failing


async def test_each_append_that_went_with_others_is_told_its_own_refused_records():
    store = MemoryStore(record_bytes=1000)
    faulty = FaultyStore(store)
    journal = Journal(faulty, 1)
    await journal.open()
    faulty.delay_s = 0.05
    refused = {}

    async def append(number: int) -> None:
        value = b"x" * 1000 if number % 2 else b"x"
        refused[number] = await journal.append([Record(f"s:{number}", value)])

    with anyio.fail_after(5):
        async with anyio.create_task_group() as tasks:
            for number in range(6):
                tasks.start_soon(append, number)
                await anyio.sleep(0.005)
    assert refused == {
        number: frozenset([f"s:{number}"] if number % 2 else []) for number in range(6)
    }


async def test_nothing_of_a_job_is_appended_after_a_record_of_it_was_refused():
    store = MemoryStore(record_bytes=1000)
    journal = Journal(store, 1, StoreBounds(call_bytes=500))
    await journal.open()
    large = [
        Record("t:a:0.0.0", b"x" * 400),
        Record("t:a:0.0.1", b"x" * 1000),
        Record("s:a", b"x"),
    ]
    with anyio.fail_after(5):
        refused = await journal.append([*large, Record("s:b", b"x")])
    assert refused == {one.key for one in large}
    assert stored_keys(store) == ["t:a:0.0.0", "s:b"]


async def test_records_of_a_job_stay_in_one_append_if_it_holds_them():
    store = MemoryStore()
    journal = Journal(store, 1, StoreBounds(call_bytes=1000))
    await journal.open()
    keys = ["s:a", "s:b", "t:b:0.0.0", "t:b:0.0.1"]
    await journal.append([Record(key, b"x" * 250) for key in keys])
    assert store.partition(Topic.JOBS).answers[1].end == 1
    assert store.partition(Topic.JOBS).answers[2].end == 4
