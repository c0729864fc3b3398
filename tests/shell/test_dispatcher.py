"""Tests that the dispatcher holds a unit for as long as its work may run."""

import anyio
import pytest

from hickoryplank.core.escrow import Escrow
from hickoryplank.core.objects import WorkClass
from hickoryplank.core.records import Put, UnitsTaken
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
