"""Tests of the operators' records that a watcher keeps: evacuated zones."""

import logging

import anyio
import pytest
from result import Ok

from hickoryplank.coordinator.operator_watcher import OperatorWatcher
from hickoryplank.coordinator.ports import Newest, Page, Topic
from hickoryplank.core.ids import Zone
from hickoryplank.shell.clock import MonotonicClock
from tests.coordinator.memory_platform import (
    FaultyStore,
    MemoryOperatorRecordCodec,
    MemoryStore,
)
from tests.jobs.driver import configuration

pytestmark = pytest.mark.anyio
NORTH, SOUTH = Zone("north"), Zone("south")


@pytest.fixture
def anyio_backend() -> str:
    return "asyncio"


class Operator:
    """An operator, the store, and a watcher that has read it."""

    def __init__(self) -> None:
        self.memory = MemoryStore()
        self.store = FaultyStore(self.memory)
        self.codec = MemoryOperatorRecordCodec()
        self.watcher = OperatorWatcher(self.store, self.codec, MonotonicClock())

    async def write(self, zone: Zone, requested: bool) -> None:
        record = self.codec.encode_evacuation(zone, requested=requested)
        await self.memory.append(Topic.OPERATOR, [record], None)

    async def read(self) -> frozenset[Zone]:
        """Let the watcher read until it knows all that is stored now."""
        partition = self.memory.partition(Topic.OPERATOR)
        with anyio.move_on_after(2.0):
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self.watcher.run)
                while self.watcher._next_offset != len(partition.records):
                    await anyio.sleep(0.005)
                tasks.cancel_scope.cancel()
        return self.watcher.evacuated_zones


WRITES = [
    ([], set()),
    ([(NORTH, True)], {NORTH}),
    ([(NORTH, True), (SOUTH, True)], {NORTH, SOUTH}),
    ([(NORTH, True), (NORTH, False)], set()),
    ([(NORTH, True), (NORTH, False), (NORTH, True)], {NORTH}),
    ([(NORTH, True), (NORTH, True), (NORTH, False)], set()),
    ([(NORTH, False), (SOUTH, True)], {SOUTH}),
]


@pytest.mark.parametrize(("writes", "zones"), WRITES)
@pytest.mark.parametrize("read_before", [False, True])
@pytest.mark.parametrize("trimmed", [False, True])
async def test_newest_record_of_each_zone_decides(writes, zones, read_before, trimmed):
    operator = Operator()
    if read_before:
        await operator.read()
    for zone, requested in writes:
        await operator.write(zone, requested)
    if trimmed:
        operator.memory.trim(Topic.OPERATOR)
    assert await operator.read() == zones


async def test_removal_whose_record_was_deleted_is_noticed():
    """Guards against a zone that stays evacuated, as its removal left no trace."""
    operator = Operator()
    await operator.write(NORTH, True)
    await operator.write(SOUTH, True)
    assert await operator.read() == {NORTH, SOUTH}
    await operator.write(SOUTH, False)
    operator.memory.trim(Topic.OPERATOR)
    assert await operator.read() == {NORTH}


async def test_zones_stay_while_the_store_cannot_be_read():
    operator = Operator()
    await operator.write(NORTH, True)
    await operator.read()
    await operator.write(NORTH, False)
    operator.store.unavailable = True
    with anyio.move_on_after(0.3):
        await operator.watcher.run()
    assert operator.watcher.evacuated_zones == {NORTH}
    operator.store.unavailable = False
    assert await operator.read() == set()


@pytest.mark.parametrize("late", ["page", "newest"])
async def test_late_answer_changes_nothing_back(late):
    """Guards against two reads whose answers arrive in the other order."""
    operator = Operator()
    requested = operator.codec.encode_evacuation(NORTH, requested=True)
    removed = operator.codec.encode_evacuation(NORTH, requested=False)

    async def answer(*args):
        return Ok(answers.pop(0))

    operator.store.read = operator.store.newest = answer
    first: list[Newest | Page] = [Newest((), 4), Page((requested, removed), 6, 6)]
    answers = [*first, Page((requested,), 5, 6) if late == "page" else Newest((), 5)]
    if late == "newest":
        answers[1] = Page((removed, requested), 6, 6)
    await operator.watcher._read(0)
    await operator.watcher._read(0)
    zones = operator.watcher.evacuated_zones
    assert zones == (set() if late == "page" else {NORTH})
    if late == "page":
        await operator.watcher._read(0)
    else:
        await operator.watcher._read_newest()
    assert operator.watcher.evacuated_zones == zones
    assert operator.watcher._next_offset == 6


async def test_each_change_is_logged_once_and_notified(caplog):
    caplog.set_level(logging.INFO)
    operator = Operator()
    for requested in (True, True, False, False):
        before = operator.watcher.changed
        zones = operator.watcher.evacuated_zones
        await operator.write(NORTH, requested)
        await operator.read()
        assert before.is_set() == (operator.watcher.evacuated_zones != zones)
    lines = [(one.message, one.zone) for one in caplog.records if hasattr(one, "zone")]
    assert lines == [("zone evacuated", NORTH), ("zone taken back", NORTH)]


async def test_configuration_is_kept_beside_zones():
    operator = Operator()
    await operator.memory.append(
        Topic.OPERATOR, [operator.codec.encode("config", configuration())], None
    )
    await operator.write(NORTH, True)
    await operator.read()
    await operator.write(NORTH, False)
    assert await operator.read() == set()
    assert operator.watcher.version == 1
