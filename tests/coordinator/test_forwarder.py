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
class KnownLease:
    """A fake lease that no entry holds."""

    is_handover_expected: bool
    coordinator_address: str | None = None
    changed: anyio.Event = field(default_factory=anyio.Event)

    def handover_expected(self) -> bool:
        return self.is_handover_expected


class OwnTerm:
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
async def test_a_call_waits_for_a_coordinator_that_is_to_be_expected(
    handover_expected, within_s, served
):
    lease = KnownLease(handover_expected)
    gateway = CallForwarder(lease, HttpClient(), MonotonicClock())

    async def take_later() -> None:
        await anyio.sleep(TAKEOVER_AFTER_SECONDS)
        gateway.local_coordinator = OwnTerm()

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(take_later)
        answer = await gateway.answer(CALL, within_s)
        tasks.cancel_scope.cancel()
    if served:
        assert answer == RUNNING
    else:
        assert isinstance(answer, NotRun)
        assert gateway.local_coordinator is None
