"""Tests of tasks that go on after unexpected errors."""

import anyio
import pytest

from hickoryplank.shell import tasks
from hickoryplank.shell.tasks import TaskSpawner, keep_running

pytestmark = pytest.mark.anyio


@pytest.fixture
def anyio_backend() -> str:
    return "asyncio"


@pytest.mark.parametrize("errors", [0, 1, 3])
@pytest.mark.parametrize(
    "error", [RuntimeError("x"), ExceptionGroup("x", [ValueError()])]
)
async def test_a_task_is_run_again_after_each_error(monkeypatch, caplog, errors, error):
    monkeypatch.setattr(tasks, "RESTART_DELAY_SECONDS", 0.01)
    runs = 0

    async def run() -> None:
        nonlocal runs
        runs += 1
        if runs <= errors:
            raise error

    await keep_running("name", run)
    assert runs == errors + 1
    assert [record.task for record in caplog.records] == ["name"] * errors


async def test_cancellation_ends_a_task():
    with anyio.move_on_after(0.05) as scope:
        await keep_running("name", anyio.sleep_forever)
    assert scope.cancelled_caught


async def test_a_task_that_fails_ends_neither_the_group_nor_its_services(
    monkeypatch, caplog
):
    monkeypatch.setattr(tasks, "RESTART_DELAY_SECONDS", 0.01)
    served = anyio.Event()
    runs = 0

    async def fail(detail: str) -> None:
        raise RuntimeError(detail)

    async def serve() -> None:
        nonlocal runs
        runs += 1
        if runs == 1:
            raise ExceptionGroup("x", [KeyError("malformed")])
        served.set()

    with anyio.fail_after(2):
        async with anyio.create_task_group() as group:
            spawner = TaskSpawner(group)
            spawner.start_soon(fail, "malformed")
            spawner.start_service(serve)
            await served.wait()
    assert runs == 2
    assert len(caplog.records) == 2
