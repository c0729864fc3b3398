"""Tests of the coordinator's lease with several entries."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import anyio
import msgspec
import pytest

from hickoryplank.coordinator.lease import (
    MIN_WEAK_TERM_SECONDS,
    RENEW_INTERVAL_SECONDS,
    RETRY_SECONDS,
    TAKEOVER_SECONDS,
    VALIDITY_SECONDS,
    Holder,
    LeaseManager,
    LeaseRecord,
)
from hickoryplank.coordinator.ports import Topic
from hickoryplank.jobs.endpoints import TOKENS_PER_TERM
from hickoryplank.shell.clock import MonotonicClock
from tests.coordinator.memory_platform import FaultyStore, MemoryStore

pytestmark = pytest.mark.anyio
TIMEOUT_SECONDS = 6.0


@pytest.fixture
def anyio_backend() -> str:
    return "asyncio"


class FakeSpeed:
    """Speed of a VM that a test sets.

    :ivar present: what a new measurement gives.
    :ivar known: what earlier measurements have given.
    """

    def __init__(self):
        self.present = self.known = 1.0

    def relative_speed(self) -> float:
        return self.known

    def measure_anew(self) -> float:
        self.known = self.present
        return self.known


class Entry:
    """A lease manager with a store connection of its own."""

    def __init__(
        self, store: MemoryStore, name: str, strength: float = 1.0, age_s: float = 0.0
    ):
        self.speed = FakeSpeed()
        self.store = FaultyStore(store)
        holder = Holder.fresh(name, f"{name}:7000", strength)
        clock = MonotonicClock()
        self.lease = LeaseManager(
            self.store, holder, clock, clock.now() - age_s, self.speed
        )


@asynccontextmanager
async def running(*entries: Entry) -> AsyncIterator[None]:
    async with anyio.create_task_group() as tasks:
        for entry in entries:
            tasks.start_soon(entry.lease.run)
        yield
        tasks.cancel_scope.cancel()


async def wait_until(condition) -> None:
    with anyio.fail_after(TIMEOUT_SECONDS):
        while not condition():
            await anyio.sleep(0.01)


def holders(*entries: Entry) -> list[Entry]:
    return [entry for entry in entries if entry.lease.valid()]


async def test_one_entry_takes_the_lease_and_the_others_know_its_address():
    store = MemoryStore()
    entries = [Entry(store, name) for name in "abc"]
    async with running(*entries):
        await wait_until(lambda: len(holders(*entries)) == 1)
        (holder,) = holders(*entries)
        others = [entry for entry in entries if entry is not holder]
        address = holder.lease.newest_record.address
        await wait_until(
            lambda: all(one.lease.coordinator_address == address for one in others)
        )
        assert holder.lease.coordinator_address is None


async def test_validity_ends_before_another_may_take_over():
    assert VALIDITY_SECONDS < TAKEOVER_SECONDS


async def test_holder_without_the_store_is_replaced_and_never_two_are_valid():
    store = MemoryStore()
    a, b = Entry(store, "a"), Entry(store, "b")
    async with running(a):
        await wait_until(a.lease.valid)
        async with running(b):
            a.store.unavailable = True
            with anyio.fail_after(TIMEOUT_SECONDS):
                while not b.lease.valid():
                    assert len(holders(a, b)) <= 1
                    await anyio.sleep(0.005)
            assert not a.lease.valid()
            assert b.lease.epoch == 2 * TOKENS_PER_TERM
            a.store.unavailable = False
            await wait_until(lambda: a.lease.epoch == 2 * TOKENS_PER_TERM)
            assert not a.lease.held


async def test_nobody_takes_over_while_the_store_is_unavailable_to_all():
    store = MemoryStore()
    a, b = Entry(store, "a"), Entry(store, "b")
    async with running(a, b):
        await wait_until(lambda: len(holders(a, b)) == 1)
        (holder,) = holders(a, b)
        a.store.unavailable = b.store.unavailable = True
        await anyio.sleep(TAKEOVER_SECONDS * 2)
        assert holders(a, b) == []
        a.store.unavailable = b.store.unavailable = False
        await wait_until(lambda: len(holders(a, b)) == 1)


async def test_a_released_lease_is_taken_at_once():
    store = MemoryStore()
    a, b = Entry(store, "a"), Entry(store, "b")
    async with running(a):
        await wait_until(a.lease.valid)
        async with running(b):
            await wait_until(lambda: b.lease.epoch == TOKENS_PER_TERM)
            await a.lease.release()
            with anyio.fail_after(VALIDITY_SECONDS / 2):
                while not b.lease.valid():
                    await anyio.sleep(0.005)


async def test_entry_takes_over_from_its_earlier_incarnation_at_once():
    store = MemoryStore()
    before = Entry(store, "a")
    async with running(before):
        await wait_until(before.lease.valid)
    after = Entry(store, "a")
    async with running(after):
        with anyio.fail_after(VALIDITY_SECONDS / 2):
            while not after.lease.valid():
                await anyio.sleep(0.005)
    assert after.lease.epoch == 2 * TOKENS_PER_TERM


async def test_lost_answers_to_renewals_do_not_end_the_lease():
    store = MemoryStore()
    a, b = Entry(store, "a"), Entry(store, "b")
    async with running(a):
        await wait_until(a.lease.valid)
        appends = 0

        def lose_every_other_answer() -> bool:
            nonlocal appends
            appends += 1
            return appends % 2 == 0

        a.store.lose_answer = lose_every_other_answer
        async with running(b):
            for _ in range(300):
                assert a.lease.valid()
                await anyio.sleep(0.01)
            assert b.lease.epoch == TOKENS_PER_TERM


@pytest.mark.parametrize("weak", [0.0, 0.1, 0.5])
async def test_free_lease_goes_to_the_strongest_entry(weak):
    for _ in range(3):
        store = MemoryStore()
        a, b = Entry(store, "a", weak), Entry(store, "b", 1.0)
        async with running(a, b):
            await wait_until(lambda: holders(a, b) != [])  # noqa: B023
            assert holders(a, b) == [b]


async def test_weak_entry_takes_the_lease_without_stronger_ones():
    store = MemoryStore()
    a, b = Entry(store, "a", 0.1), Entry(store, "b", 0.1)
    async with running(a, b):
        await wait_until(lambda: len(holders(a, b)) == 1)


@pytest.mark.parametrize(
    ("holder", "other", "asked"),
    [(0.1, 1.0, True), (0.4, 1.0, True), (0.6, 1.0, False), (0.1, 0.15, False)],
)
async def test_a_much_weaker_holder_is_asked_to_step_down(holder, other, asked):
    store = MemoryStore()
    a, b = Entry(store, "a", holder), Entry(store, "b", other)
    async with running(a):
        await wait_until(a.lease.valid)
        async with running(b):
            await anyio.sleep(MIN_WEAK_TERM_SECONDS + 0.8)
            assert a.lease.step_down_requested == asked
            assert a.lease.valid()
            assert b.lease.epoch == TOKENS_PER_TERM
            await (a.lease.release() if asked else a.lease.stop())
            await wait_until(b.lease.valid)
            assert b.lease.epoch == 2 * TOKENS_PER_TERM


@pytest.mark.parametrize(
    ("holder_speed", "other_speed", "other_known", "asked"),
    [
        (0.13, 1.0, 1.0, True),
        (0.13, 0.13, 0.13, False),
        (0.13, 0.13, 1.0, False),
        (1.0, 1.0, 1.0, False),
    ],
    ids=["slow holder", "all slow", "all slow, holder noticed first", "none slow"],
)
async def test_a_holder_whose_vm_turns_slow_is_asked_to_step_down(
    holder_speed, other_speed, other_known, asked
):
    store = MemoryStore()
    a, b = Entry(store, "a"), Entry(store, "b")
    async with running(a):
        await wait_until(a.lease.valid)
        async with running(b):
            await anyio.sleep(MIN_WEAK_TERM_SECONDS + 0.1)
            a.speed.present = a.speed.known = holder_speed
            b.speed.present, b.speed.known = other_speed, other_known
            await anyio.sleep(0.8)
            assert a.lease.step_down_requested == asked
            await a.lease.release()
            await wait_until(lambda: holders(a, b) != [])
            if asked:
                assert holders(a, b) == [b]


async def test_a_lease_marked_lost_while_it_is_taken_over_ends_nothing():
    a = Entry(MemoryStore(), "a", strength=0.2)
    async with running(a):
        await wait_until(a.lease.valid)
        await a.lease.release()
        # The delay of a weak entry begins within RENEW_INTERVAL_SECONDS.
        await anyio.sleep(RENEW_INTERVAL_SECONDS + 0.08)
        a.lease.mark_lost()
        await wait_until(a.lease.valid)
        assert a.lease.epoch == 2 * TOKENS_PER_TERM


async def test_a_release_during_a_renewal_is_not_undone():
    store = MemoryStore()
    a = Entry(store, "a")
    async with running(a):
        for _ in range(20):
            await wait_until(a.lease.valid)
            epoch = a.lease.epoch
            await anyio.sleep(RENEW_INTERVAL_SECONDS * 0.98)
            await a.lease.release()
            newest = (await store.newest(Topic.LEASE)).unwrap().records[-1]
            record = msgspec.msgpack.decode(newest.value, type=LeaseRecord)
            assert record.released or record.epoch > epoch


async def test_handover_is_expected_only_while_the_store_answers():
    store = MemoryStore()
    a, b = Entry(store, "a"), Entry(store, "b")
    assert b.lease.handover_expected()
    async with running(a):
        await wait_until(a.lease.valid)
        async with running(b):
            await wait_until(
                lambda: (
                    b.lease.epoch == TOKENS_PER_TERM and not b.lease.handover_expected()
                )
            )
            assert not a.lease.handover_expected()
            b.lease.mark_holder_unreachable()
            assert b.lease.handover_expected()
            b.store.unavailable = True
            await wait_until(lambda: not b.lease.handover_expected())


@pytest.mark.parametrize("fault", ["away", "lost"])
async def test_a_release_is_repeated_until_it_is_stored(fault):
    store = MemoryStore()
    a = Entry(store, "a")
    async with running(a):
        await wait_until(a.lease.valid)
        attempts = 0

        def lose_answer() -> bool:
            nonlocal attempts
            attempts += 1
            return attempts <= 2

        if fault == "lost":
            a.store.lose_answer = lose_answer
        else:
            a.store.unavailable = True
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(a.lease.stop)
            await anyio.sleep(RETRY_SECONDS * 2.5)
            a.store.unavailable = False
        newest = (await store.newest(Topic.LEASE)).unwrap().records[-1]
        assert msgspec.msgpack.decode(newest.value, type=LeaseRecord).released
        assert not a.lease.held


@pytest.mark.parametrize("ages_s", [(30.0, 0.0), (300.0, 10.0)])
async def test_released_lease_goes_to_the_youngest_entry(ages_s):
    store = MemoryStore()
    holder = Entry(store, "holder")
    old, young = (Entry(store, f"{age}", age_s=age) for age in ages_s)
    async with running(holder):
        await wait_until(holder.lease.valid)
        async with running(old, young):
            await wait_until(
                lambda: old.lease.epoch == young.lease.epoch == TOKENS_PER_TERM
            )
            await holder.lease.stop()
            await wait_until(lambda: holders(old, young) != [])
            assert holders(old, young) == [young]
