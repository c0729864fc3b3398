"""Tests of how long forwarded calls wait, and of which of them are refused."""

from dataclasses import dataclass, field

import anyio
import pytest

from hickoryplank.coordinator import forwarder as forwarder_module
from hickoryplank.coordinator.calls import (
    Accepted,
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
    ANSWER_RESERVE_SECONDS,
    ELECTION_WAIT_SECONDS,
    HANDOVER_WAIT_SECONDS,
    RETRY_AFTER_SECONDS,
    CallForwarder,
)
from hickoryplank.core.ids import JobId
from hickoryplank.http_client import HttpClient
from hickoryplank.jobs.table import JobState
from hickoryplank.shell.clock import MonotonicClock

pytestmark = pytest.mark.anyio

WHERE = CallContext("host", "/queue/", "", 1)
CALL = Ask(WHERE, JobId("00000000000000aa"))
SUBMIT = Submit(WHERE, CALL.id, Submission("", ()))
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
    store_answers: bool = True
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
    ("call", "handover_expected", "within_s", "served"),
    [
        (CALL, True, 3.0, True),
        (CALL, False, 3.0, False),
        (CALL, True, 0.4, False),
        (SUBMIT, True, 3.0, True),
        (SUBMIT, False, 3.0, True),
        (SUBMIT, True, 0.4, False),
        (Cancel(WHERE, CALL.id), False, 3.0, True),
    ],
    ids=str,
)
async def test_call_that_may_be_refused_waits_longer_while_a_handover_is_expected(
    call, handover_expected, within_s, served
):
    lease = FakeLease(handover_expected)
    forwarder = build_forwarder(lease)

    async def become_coordinator_later() -> None:
        await anyio.sleep(TAKEOVER_AFTER_SECONDS)
        forwarder.local_coordinator = FakeCoordinator(RUNNING)

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(become_coordinator_later)
        answer = await forwarder.answer(call, within_s)
        tasks.cancel_scope.cancel()
    if served:
        assert answer == RUNNING
    else:
        assert isinstance(answer, NotRun if call is CALL else Unsettled)
        assert forwarder.local_coordinator is None


@pytest.mark.parametrize("store_answers", [True, False])
@pytest.mark.parametrize("call", [SUBMIT, Cancel(WHERE, CALL.id)], ids=type)
async def test_an_entry_that_may_be_cut_off_leaves_its_caller_time_for_another(
    store_answers, call
):
    forwarder = build_forwarder(FakeLease(False, store_answers))
    answer: Answer | None = None
    with anyio.move_on_after(0.8):
        answer = await forwarder.answer(call, 1.0 + ANSWER_RESERVE_SECONDS)
    if store_answers:
        assert answer is None
    else:
        assert isinstance(answer, Unsettled)


REFUSALS = [
    NoKey(),
    NoSuchQueue(),
    NotRun(NotRunReason.STORE_AWAY),
    NotRun(NotRunReason.NO_COORDINATOR),
]


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


class SilentCoordinator:
    """A fake coordinator that never answers."""

    async def answer(self, call: Call) -> Answer:
        await anyio.sleep_forever()
        raise AssertionError("unreachable")


@pytest.mark.parametrize("coordinator", [None, SilentCoordinator()], ids=type)
@pytest.mark.parametrize("opened", ["before", "after"])
@pytest.mark.parametrize(
    ("call", "expected"),
    [
        (SUBMIT, Unsettled("the entry is stopping", RETRY_AFTER_SECONDS)),
        (
            Cancel(WHERE, CALL.id),
            Unsettled("the entry is stopping", RETRY_AFTER_SECONDS),
        ),
        (CALL, NotRun(NotRunReason.NO_COORDINATOR, RETRY_AFTER_SECONDS)),
    ],
    ids=["submit", "cancel", "ask"],
)
async def test_abandoned_calls_are_answered_with_a_time_to_call_again(
    call, expected, opened, coordinator
):
    forwarder = build_forwarder(FakeLease(is_handover_expected=True))
    forwarder.local_coordinator = coordinator
    answers: list[Answer] = []

    async def submit() -> None:
        answers.append(await forwarder.answer(call, 9.0))

    with anyio.fail_after(1.0):
        async with anyio.create_task_group() as tasks:
            if opened == "before":
                tasks.start_soon(submit)
                await anyio.wait_all_tasks_blocked()
            assert forwarder.abandon_calls() == (opened == "before")
            if opened == "after":
                tasks.start_soon(submit)
    assert answers == [expected]


async def test_abandoning_calls_leaves_those_that_were_answered_alone():
    forwarder = build_forwarder(FakeLease(is_handover_expected=False))
    forwarder.local_coordinator = FakeCoordinator(RUNNING)
    assert await forwarder.answer(CALL, 3.0) == RUNNING
    assert forwarder.abandon_calls() == 0


#: Time for which no entry is coordinator, as the store is down, in seconds.
OUTAGE_SECONDS = 1.8
#: Callers in that time, and the timeout, the number of calls and the shortest pause of
#: each, in seconds: as the users' callers do with a call that is not refused.
CALLERS = 20
#: How long an attempt lasted before, with the time that is reserved for its answer.
FORMER_WAIT_SECONDS = ELECTION_WAIT_SECONDS + ANSWER_RESERVE_SECONDS
CALLER_TIMEOUT_SECONDS = 3.0
CALLS_OF_A_CALLER = 5
CALLER_PAUSE_SECONDS = 0.2


async def count_served_callers() -> int:
    """Return how many of the callers in an outage of the store are served."""
    forwarder = build_forwarder(FakeLease(is_handover_expected=False))
    served = 0

    async def call_until_served() -> None:
        nonlocal served
        with anyio.move_on_after(CALLER_TIMEOUT_SECONDS):
            deadline = anyio.current_effective_deadline()
            for _ in range(CALLS_OF_A_CALLER):
                remaining_s = deadline - anyio.current_time()
                if await forwarder.answer(SUBMIT, remaining_s) == Accepted():
                    served += 1
                    return
                await anyio.sleep(CALLER_PAUSE_SECONDS)

    async with anyio.create_task_group() as tasks:
        for _ in range(CALLERS):
            tasks.start_soon(call_until_served)
            await anyio.sleep(OUTAGE_SECONDS / CALLERS)
        forwarder.local_coordinator = FakeCoordinator(Accepted())
    return served


async def test_callers_in_an_outage_of_the_store_are_served_after_it(monkeypatch):
    served = await count_served_callers()
    assert served == CALLERS
    monkeypatch.setattr(forwarder_module, "MAX_CALL_SECONDS", FORMER_WAIT_SECONDS)
    assert await count_served_callers() < served
