"""Tests of how long a forwarded call waits for a coordinator."""

from dataclasses import dataclass, field

import anyio
import pytest

from hickoryplank.coordinator.calls import (
    Answer,
    Ask,
    Call,
    CallContext,
    NotRun,
    StateIs,
)
from hickoryplank.coordinator.forwarder import (
    ELECTION_WAIT_SECONDS,
    HANDOVER_WAIT_SECONDS,
    CallForwarder,
)
from hickoryplank.core.ids import JobId
from hickoryplank.http_client import HttpClient
from hickoryplank.jobs.table import JobState
from hickoryplank.shell.clock import MonotonicClock

pytestmark = pytest.mark.anyio

WHERE = CallContext("host", "/queue/", "", 1)
CALL = Ask(WHERE, JobId("00000000000000aa"))
RUNNING = StateIs(JobState.RUNNING)
#: When a coordinator appears: after the short wait and before the long one.
TAKEOVER_AFTER_SECONDS = (ELECTION_WAIT_SECONDS + HANDOVER_WAIT_SECONDS) / 2


@pytest.fixture
def anyio_backend() -> str:
    return "asyncio"


@dataclass
class FakeLease:
    """A fake lease that no entry holds."""

    is_handover_expected: bool
    coordinator_address: str | None = None
    changed: anyio.Event = field(default_factory=anyio.Event)

    def handover_expected(self) -> bool:
        return self.is_handover_expected


class FakeCoordinator:
    """A fake coordinator that answers every call."""

    async def answer(self, call: Call) -> Answer:
        return RUNNING


@pytest.mark.parametrize(
    ("handover_expected", "within_s", "served"),
    [
        (True, 3.0, True),
        (False, 3.0, False),
        (True, 0.4, False),
    ],
)
async def test_call_waits_longer_while_a_handover_is_expected(
    handover_expected, within_s, served
):
    lease = FakeLease(handover_expected)
    forwarder = CallForwarder(lease, HttpClient(), MonotonicClock())

    async def become_coordinator_later() -> None:
        await anyio.sleep(TAKEOVER_AFTER_SECONDS)
        forwarder.local_coordinator = FakeCoordinator()

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(become_coordinator_later)
        answer = await forwarder.answer(CALL, within_s)
        tasks.cancel_scope.cancel()
    if served:
        assert answer == RUNNING
    else:
        assert isinstance(answer, NotRun)
        assert forwarder.local_coordinator is None
