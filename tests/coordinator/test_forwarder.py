"""Tests of how long forwarded calls wait, and of which of them are refused."""

from dataclasses import dataclass, field

import anyio
import pytest

from hickoryplank.coordinator.calls import (
    Answer,
    Ask,
    Call,
    CallContext,
    Cancel,
    NoKey,
    NoSuchQueue,
    NotRun,
    NotRunReason,
    StateIs,
    Submission,
    Submit,
    Unsettled,
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
    """A fake coordinator that gives the answers in turn, and repeats the last one."""

    def __init__(self, *answers: Answer):
        self._answers = list(answers)
        self.calls: list[Call] = []

    async def answer(self, call: Call) -> Answer:
        self.calls.append(call)
        return self._answers.pop(0) if len(self._answers) > 1 else self._answers[0]


def build_forwarder(lease: FakeLease) -> CallForwarder:
    return CallForwarder(lease, HttpClient(), MonotonicClock())


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
    forwarder = build_forwarder(lease)

    async def become_coordinator_later() -> None:
        await anyio.sleep(TAKEOVER_AFTER_SECONDS)
        forwarder.local_coordinator = FakeCoordinator(RUNNING)

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(become_coordinator_later)
        answer = await forwarder.answer(CALL, within_s)
        tasks.cancel_scope.cancel()
    if served:
        assert answer == RUNNING
    else:
        assert isinstance(answer, NotRun)
        assert forwarder.local_coordinator is None


REFUSALS = [
    NoKey(),
    NoSuchQueue(),
    NotRun(NotRunReason.STORE_AWAY),
    NotRun(NotRunReason.NO_COORDINATOR),
]
SUBMIT = Submit(WHERE, CALL.id, Submission("", ()))


@pytest.mark.parametrize("refusal", REFUSALS, ids=str)
@pytest.mark.parametrize("call", [SUBMIT, Cancel(WHERE, CALL.id), CALL], ids=type)
@pytest.mark.parametrize("first", [(), (Unsettled(),)], ids=["only", "after silence"])
async def test_call_is_refused_only_by_a_coordinator_and_if_it_had_no_effect(
    first, call, refusal
):
    forwarder = build_forwarder(FakeLease(is_handover_expected=False))
    forwarder.local_coordinator = FakeCoordinator(*first, refusal)
    answer = await forwarder.answer(call, 0.5)
    by_coordinator = refusal != NotRun(NotRunReason.NO_COORDINATOR)
    if not first and (by_coordinator or call is CALL):
        assert answer == refusal
    else:
        assert isinstance(answer, Unsettled)


async def test_no_attempt_is_made_after_the_deadline_of_the_caller():
    forwarder = build_forwarder(FakeLease(is_handover_expected=False))
    coordinator = FakeCoordinator(RUNNING)
    forwarder.local_coordinator = coordinator
    assert isinstance(await forwarder.answer(SUBMIT, 0.0), Unsettled)
    assert coordinator.calls == []
