"""Tests of the dispatcher: units are held, and evacuated zones get no work."""

import contextlib

import anyio
import msgspec
import pytest

from hickoryplank.core.escrow import Escrow
from hickoryplank.core.objects import Endpoint, Queue, WorkClass
from hickoryplank.core.placement import RunResult
from hickoryplank.core.records import Put, UnitsTaken, ZoneEvacuated, ZoneRestored
from hickoryplank.core.work import Completed, NotRun, WorkRequest
from hickoryplank.external.log_memory import MemoryLog
from hickoryplank.shell.clock import MonotonicClock
from hickoryplank.shell.dispatcher import Dispatcher
from hickoryplank.shell.replica import new_record_id
from hickoryplank.shell.work_execution import FinalAnswer, WorkExecution
from tests.core.builders import edit_set, small_fleet
from tests.shell.test_replica import joined_replica

pytestmark = pytest.mark.anyio

DONE = Completed(status=200, content_type="", body=b"whole")


@pytest.fixture
def anyio_backend():
    return "asyncio"


class InstantAttemptRunner:
    """Runner of attempts that end at once.

    The work of each attempt may still run for ``release_delay`` seconds.
    """

    def __init__(self, release_delay: float):
        self._release_delay = release_delay

    async def run(self, execution, vm, endpoints):
        execution.release_delay = self._release_delay
        return FinalAnswer(DONE)


def execution_of(queue, number: int) -> WorkExecution:
    request = WorkRequest(
        id=f"request-{number}",
        task=f"task-{number}",
        queue=queue.name,
        team="rutas",
        patience=1.0,
    )
    now = MonotonicClock().now()
    return WorkExecution(request, queue, now, now + 1.0)


@pytest.mark.parametrize(
    ("release_delay", "second"), [(0.0, Completed), (0.2, Completed), (30.0, NotRun)]
)
async def test_unit_is_not_reused_while_its_work_may_run(release_delay, second):
    queue = next(o for o in small_fleet() if getattr(o, "work_class", None))
    assert queue.work_class is WorkClass.URGENT
    async with joined_replica(MemoryLog(), "entry-1") as (replica, _):
        edits = [Put(obj) for obj in small_fleet(limit=1)]
        (await replica.submit(edit_set(replica.tables, *edits))).unwrap()
        me = replica.incarnation
        taken = UnitsTaken(id=new_record_id(), team="rutas", holder=me, units=1)
        (await replica.submit(taken)).unwrap()
        escrow = Escrow(me, new_record_id)
        attempt_runner = InstantAttemptRunner(release_delay)
        dispatcher = Dispatcher(replica, escrow, attempt_runner, MonotonicClock())
        async with anyio.create_task_group() as group:
            group.start_soon(dispatcher.serve)
            for number, kind in ((1, Completed), (2, second)):
                execution = execution_of(queue, number)
                dispatcher.submit(execution)
                await execution.done.wait()
                assert isinstance(execution.answer, kind)
            assert dispatcher.busy is (release_delay > 0)
            group.cancel_scope.cancel()


class HeldAttemptRunner:
    """Runner of attempts that last until ``release`` is set, and notes their VMs."""

    def __init__(self):
        self.vms = []
        self.stopped = []
        self.release = anyio.Event()

    async def run(self, execution, vm, endpoints):
        self.vms.append(vm)
        await self.release.wait()
        endpoints.note_finish(
            vm,
            execution.request.task,
            execution.queue.name,
            RunResult.DONE,
            0.1,
            MonotonicClock().now(),
        )
        return FinalAnswer(DONE)

    def worker_on(self, vm):
        return self

    async def stop(self, task):
        self.stopped.append(task)


@contextlib.asynccontextmanager
async def dispatcher_of(objects):
    """Run a dispatcher that holds eight units; yield it, its replica and its runner."""
    async with joined_replica(MemoryLog(), "entry-1") as (replica, _):
        edits = [Put(obj) for obj in objects]
        (await replica.submit(edit_set(replica.tables, *edits))).unwrap()
        me = replica.incarnation
        taken = UnitsTaken(id=new_record_id(), team="rutas", holder=me, units=8)
        (await replica.submit(taken)).unwrap()
        runner = HeldAttemptRunner()
        escrow = Escrow(me, new_record_id)
        dispatcher = Dispatcher(replica, escrow, runner, MonotonicClock())
        async with anyio.create_task_group() as group:
            group.start_soon(dispatcher.serve)
            yield dispatcher, replica, runner
            group.cancel_scope.cancel()


async def change_zone(replica, kind, zone):
    (await replica.submit(kind(id=new_record_id(), zone=zone))).unwrap()


async def wait_until(condition):
    with anyio.fail_after(5):
        while not condition():
            await anyio.sleep(0.01)


def two_zones(slots: int):
    """Return a fleet with vm-0 and vm-1 in zone ``near``, and vm-2 in zone ``far``."""
    zones = {"vm-0": "near", "vm-1": "near", "vm-2": "far"}
    return [
        msgspec.structs.replace(obj, zone=zones[obj.name], slots=slots)
        if isinstance(obj, Endpoint)
        else obj
        for obj in small_fleet(vms=3, budget=0)
    ]


def submit(dispatcher, objects, numbers, work_class=WorkClass.URGENT, patience=30.0):
    queue = next(obj for obj in objects if isinstance(obj, Queue))
    queue = msgspec.structs.replace(queue, work_class=work_class)
    executions = [execution_of(queue, number) for number in numbers]
    for execution in executions:
        execution.deadline = execution.arrived + patience
    for execution in executions:
        dispatcher.submit(execution)
    return executions


@pytest.mark.parametrize(
    ("evacuated", "restored", "expected"),
    [
        ([], [], {"vm-0", "vm-1", "vm-2"}),
        (["near"], [], {"vm-2"}),
        (["far"], [], {"vm-0", "vm-1"}),
        (["near", "near"], ["near"], {"vm-0", "vm-1", "vm-2"}),
        (["near", "far"], ["far"], {"vm-2"}),
        (["near", "far"], [], set()),
    ],
)
async def test_no_work_starts_in_an_evacuated_zone(evacuated, restored, expected):
    objects = two_zones(slots=2)
    async with dispatcher_of(objects) as (dispatcher, replica, runner):
        for zone in evacuated:
            await change_zone(replica, ZoneEvacuated, zone)
        for zone in restored:
            await change_zone(replica, ZoneRestored, zone)
        patience = 30.0 if expected else 0.5
        executions = submit(dispatcher, objects, range(8), patience=patience)
        if expected:
            await wait_until(lambda: set(runner.vms) == expected)
            runner.release.set()
        await wait_until(lambda: all(one.done.is_set() for one in executions))
        assert set(runner.vms) == expected
        answer = Completed if expected else NotRun
        assert all(isinstance(one.answer, answer) for one in executions)


async def test_running_work_ends_in_an_evacuated_zone_and_waiting_work_resumes():
    objects = two_zones(slots=1)
    async with dispatcher_of(objects) as (dispatcher, replica, runner):
        running = submit(dispatcher, objects, range(3), WorkClass.BATCH)
        await wait_until(lambda: len(runner.vms) == 3)
        await change_zone(replica, ZoneEvacuated, "near")
        await change_zone(replica, ZoneEvacuated, "far")
        (waiting,) = submit(dispatcher, objects, [3])
        await anyio.sleep(0.6)
        assert runner.stopped == []
        runner.release.set()
        await wait_until(lambda: all(one.answer == DONE for one in running))
        assert len(runner.vms) == 3
        await change_zone(replica, ZoneRestored, "far")
        await wait_until(lambda: waiting.answer == DONE)
        assert runner.vms[3:] == ["vm-2"]
