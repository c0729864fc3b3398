"""Tests of the replica and its snapshots on the in-memory log, with log faults."""

import contextlib

import anyio
import pytest
from result import Err

from hickoryplank.core.edits import base_for
from hickoryplank.core.ids import OperatorId
from hickoryplank.core.objects import Kind, Pool
from hickoryplank.core.records import EditSet, NodeJoined, Put
from hickoryplank.core.snapshots import encode_chunk, split_into_chunks
from hickoryplank.external.errors import LogError, LogFailure
from hickoryplank.external.faults import LogFaults
from hickoryplank.external.log_memory import MemoryLog
from hickoryplank.shell.clock import MonotonicClock
from hickoryplank.shell.replica import Replica, new_record_id
from hickoryplank.shell.snapshot_manager import SNAPSHOT_STREAM, SnapshotManager

pytestmark = pytest.mark.anyio


@pytest.fixture
def anyio_backend():
    return "asyncio"


def pool_edit(replica: Replica, name: str) -> EditSet:
    edits = (Put(Pool(name=name)),)
    return EditSet(
        id=new_record_id(),
        operator=OperatorId("olga"),
        base=base_for(replica.tables, edits),
        edits=edits,
    )


@contextlib.asynccontextmanager
async def joined_replica(log: MemoryLog, name: str):
    """Run a replica that has joined, starting from a snapshot if there is one."""
    clock = MonotonicClock()
    replica = Replica(log, clock)
    snapshots = SnapshotManager(log, replica, clock)
    await snapshots.restore()
    async with anyio.create_task_group() as group:
        group.start_soon(replica.follow)
        group.start_soon(replica.append)
        group.start_soon(snapshots.recover)
        record = NodeJoined(
            id=new_record_id(), node=name, api="", peer=f"{name}:1", zone="coronel"
        )
        replica.incarnation = (await replica.submit(record)).unwrap()
        replica.freshness.joined = replica.offset
        yield replica, snapshots
        group.cancel_scope.cancel()


async def wait_until_caught_up(replica: Replica, offset: int) -> None:
    with anyio.fail_after(5):
        while replica.offset < offset:
            await replica.wait_until_advanced()


@pytest.mark.parametrize("lost", [1, 3])
async def test_lost_append_answers_are_resolved_by_reading_the_log(lost):
    log = MemoryLog()
    async with joined_replica(log, "entry-1") as (replica, _):
        log.faults.lose_answers = lost
        with anyio.fail_after(5):
            assert (await replica.submit(pool_edit(replica, "spare"))).is_ok()
        assert list(replica.tables.objects[Kind.POOL]) == ["spare"]


async def test_submit_fails_at_once_during_an_outage_and_succeeds_after_it():
    log = MemoryLog()
    async with joined_replica(log, "entry-1") as (replica, _):
        log.set_faults(LogFaults(outage=True))
        refused = await replica.submit(pool_edit(replica, "spare"))
        assert isinstance(refused.unwrap_err(), LogFailure)
        assert refused.unwrap_err().error is LogError.UNAVAILABLE
        log.set_faults(LogFaults())
        assert (await replica.submit(pool_edit(replica, "spare"))).is_ok()


async def test_edit_waits_until_the_other_nodes_know_the_author():
    log = MemoryLog()
    async with (
        joined_replica(log, "entry-1") as (first, _),
        joined_replica(log, "entry-2") as (second, _),
    ):
        outcomes = []

        async def publish():
            outcomes.append(await second.submit(pool_edit(second, "spare")))

        with anyio.fail_after(5):
            async with anyio.create_task_group() as group:
                group.start_soon(publish)
                await anyio.sleep(0.1)
                assert not outcomes
                second.freshness.note_confirmed(first.incarnation, second.offset)
        assert outcomes[0].is_ok()


async def test_edit_is_refused_while_another_node_stays_unaware_of_the_author():
    log = MemoryLog()
    async with (
        joined_replica(log, "entry-1"),
        joined_replica(log, "entry-2") as (second, _),
    ):
        refused = await second.submit(pool_edit(second, "spare"))
        assert refused.unwrap_err().error is LogError.UNAVAILABLE
        assert not second.tables.objects[Kind.POOL]


async def test_many_records_share_few_appends():
    log = MemoryLog()
    async with joined_replica(log, "entry-1") as (replica, _):
        before = replica.offset
        async with anyio.create_task_group() as group:
            for i in range(100):
                group.start_soon(replica.submit, pool_edit(replica, f"pool-{i}"))
        assert len(replica.tables.objects[Kind.POOL]) == 100
        assert replica.offset - before < 10


async def test_undecodable_entry_is_skipped():
    log = MemoryLog()
    async with joined_replica(log, "entry-1") as (replica, _):
        await log.append("control", b"\xc1 not a batch")
        assert (await replica.submit(pool_edit(replica, "spare"))).is_ok()


async def test_new_node_starts_from_a_snapshot_and_a_trimmed_log():
    log = MemoryLog()
    async with joined_replica(log, "entry-1") as (first, snapshots):
        for i in range(5):
            await first.submit(pool_edit(first, f"pool-{i}"))
        await snapshots.write()
        log.set_faults(LogFaults(keep_records=2))
        await first.submit(pool_edit(first, "last"))
        async with joined_replica(log, "entry-2") as (second, _):
            await wait_until_caught_up(first, second.offset)
            assert second.tables.digest() == first.tables.digest()


@pytest.mark.parametrize("damage", ["flipped", "cut short"])
async def test_damaged_snapshot_is_skipped_for_the_previous_one(damage):
    log = MemoryLog()
    async with joined_replica(log, "entry-1") as (first, snapshots):
        await snapshots.write()
        kept = first.offset
        await first.submit(pool_edit(first, "spare"))
        chunk = split_into_chunks(first.tables, first.incarnation)[0]
        data = encode_chunk(chunk)
        await log.append(SNAPSHOT_STREAM, data[:-9] + bytes(9))
        if damage == "cut short":
            await log.append(SNAPSHOT_STREAM, data[: len(data) // 2])
        fresh = Replica(log, MonotonicClock())
        assert await SnapshotManager(log, fresh, MonotonicClock()).restore()
        assert fresh.offset == kept


async def test_older_snapshot_is_not_loaded():
    log = MemoryLog()
    async with joined_replica(log, "entry-1") as (replica, snapshots):
        await snapshots.write()
        await replica.submit(pool_edit(replica, "spare"))
        offset = replica.offset
        assert not await snapshots.restore()
        assert replica.offset == offset


async def test_submit_to_an_unresponsive_log_can_be_cancelled():
    log = MemoryLog()
    async with joined_replica(log, "entry-1") as (replica, _):
        log.set_faults(LogFaults(slow_seconds=60))
        fold_result = Err(LogFailure(LogError.UNKNOWN))
        with anyio.move_on_after(0.05):
            fold_result = await replica.submit(pool_edit(replica, "spare"))
        assert fold_result.is_err()
        assert replica.has_pending_edit()


async def test_the_loss_and_the_return_of_the_log_are_logged_once(caplog):
    caplog.set_level("INFO")
    log = MemoryLog()
    async with joined_replica(log, "a"):
        log.faults.outage = True
        await anyio.sleep(0.5)
        log.faults.outage = False
        with anyio.fail_after(5):
            while "dependency regained" not in caplog.messages:
                await anyio.sleep(0.01)
    seen = [one for one in caplog.records if "dependency" in one.message]
    assert [one.message for one in seen] == ["dependency lost", "dependency regained"]
    assert {one.dependency for one in seen} == {"log"}
