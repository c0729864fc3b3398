"""Tests of tasks that go on after unexpected errors."""

import anyio
import pytest

from hickoryplank import entry_tasks
from hickoryplank.entry_tasks import keep_running

pytestmark = pytest.mark.anyio


@pytest.fixture
def anyio_backend() -> str:
    return "asyncio"


@pytest.mark.parametrize("errors", [0, 1, 3])
@pytest.mark.parametrize(
    "error", [RuntimeError("x"), ExceptionGroup("x", [ValueError()])]
)
async def test_a_task_is_run_again_after_each_error(monkeypatch, caplog, errors, error):
    monkeypatch.setattr(entry_tasks, "RESTART_DELAY_SECONDS", 0.01)
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
