"""Tests of worker clients: answers, attempts, leases, slots and injected faults."""

import json
import math

import anyio
import pytest
from result import Err, Ok

from hickoryplank.external.channel import ChannelOptions
from hickoryplank.external.errors import StartNotRun, StartOutcomeUnknown, StartRefusal
from hickoryplank.external.worker import StartRequest, TaskReport, TaskState
from hickoryplank.external.worker_http import HttpWorkerDirectory
from hickoryplank.external.worker_simulator import WorkerSimulator, answer_body
from tests.external.conftest import (
    OPTIONS,
    PROBE_INTERVAL_SECONDS,
    READ_TIMEOUT_SECONDS,
    SLOTS,
    serve_app,
)
from tests.standins import service, worker

pytestmark = pytest.mark.anyio

NEVER_SEEN, DONE = TaskState.NEVER_SEEN, TaskState.DONE
CHECKPOINTED = TaskState.CHECKPOINTED
LATE, SUPERSEDED = StartRefusal.LATE, StartRefusal.SUPERSEDED


def new_start(task="t", attempt=1, **changes) -> StartRequest:
    fields = {"boot": "", "start_by": math.inf, "lease": 30.0, **changes}
    if "seconds" in fields:
        fields["body"] = json.dumps({"seconds": fields.pop("seconds")}).encode()
    return StartRequest(task=task, attempt=attempt, **fields)


async def start_outcome(harness, *args, **changes):
    """Start a task; return its status, the refusal or ``"lost"``."""
    match await harness.client.start(new_start(*args, **changes)):
        case Ok(answer):
            return answer.status
        case Err(StartNotRun(refusal)):
            return refusal
        case Err(StartOutcomeUnknown()):
            return "lost"


async def fetch_report(harness):
    return (await harness.client.task_report("t")).unwrap()


def execution_counts(harness):
    effects = harness.simulator.effects()
    return effects.starts["t"], effects.tasks["t"]


@pytest.mark.parametrize("kind", ["", "text/plain; charset=ü"])
@pytest.mark.parametrize("body", [b"", b"{}", b"\r\n\r\n\xff", b"\x00" * 1_000_000])
async def test_answer_is_returned_byte_for_byte(worker_harness, body, kind):
    start = new_start("tæsk/1 ?%", body=body, content_type=kind)
    answer = (await worker_harness.client.start(start)).unwrap()
    assert (answer.task, answer.status) == (start.task, 200)
    assert (answer.body, answer.content_type) == (answer_body(body), kind)


@pytest.mark.parametrize(
    ("fault", "outcome", "expected"),
    [
        ({"fail": True}, 500, (1, 0)),
        ({"late_seconds": READ_TIMEOUT_SECONDS * 2}, 200, (1, 1)),
        ({"cross_answers": 1}, "lost", (1, 1)),
        ({"shorten_answers": 1}, "lost", (1, 1)),
        ({"lose_answers": 1}, {"memory": "lost", "http": 200}, (1, 1)),
        ({"paused": True}, "lost", (0, 0)),
        *(({"refuse": why}, why, (0, 0)) for why in StartRefusal),
    ],
)
async def test_start_under_a_fault(worker_harness, fault, outcome, expected):
    await worker_harness.inject(**fault)
    if isinstance(outcome, dict):
        outcome = outcome["http" if worker_harness.over_http else "memory"]
    assert await start_outcome(worker_harness, body=b"work") == outcome
    assert execution_counts(worker_harness) == expected


@pytest.mark.parametrize(
    ("call", "lease", "state", "later", "expected"),
    [
        (None, 0.2, CHECKPOINTED, 200, (1, 1)),
        ("checkpoint", 30, CHECKPOINTED, 200, (1, 1)),
        ("stop", 30, DONE, SUPERSEDED, (1, 0)),
        ("restart", 30, NEVER_SEEN, 200, (2, 1)),
    ],
)
async def test_task_ended_before_completion(
    worker_harness, call, lease, state, later, expected
):
    boot = (await worker_harness.client.status()).unwrap().boot

    async def end():
        await anyio.sleep(0.2)
        if call == "restart":
            await worker_harness.blackhole()
            worker_harness.simulator.restart()
        elif call:
            assert (await getattr(worker_harness.client, call)("t")).is_ok()

    async with anyio.create_task_group() as group:
        group.start_soon(end)
        with anyio.fail_after(2):
            assert (
                await start_outcome(worker_harness, seconds=0.5, lease=lease) == "lost"
            )
    report = await fetch_report(worker_harness)
    assert (report.state, report.answer) == (state, None)
    assert (report.boot != boot) == (call == "restart")
    with anyio.fail_after(0.45 if state is CHECKPOINTED else 2):
        assert await start_outcome(worker_harness, attempt=2, seconds=0.5) == later
    assert execution_counts(worker_harness) == expected
    assert worker_harness.simulator.effects().cut_off == (call == "restart")


async def test_renewed_lease_lets_a_task_complete(worker_harness):
    async def renew():
        for _ in range(4):
            await anyio.sleep(0.1)
            assert (await worker_harness.client.renew("t", 1, 0.3)).is_ok()

    async with anyio.create_task_group() as group:
        group.start_soon(renew)
        assert await start_outcome(worker_harness, seconds=0.6, lease=0.3) == 200
    assert (await worker_harness.client.renew("t", 1, 0.3)).is_err()


@pytest.mark.parametrize(
    ("changes", "refusal"),
    [
        ({"start_by": 0.0}, LATE),
        ({"boot": "another"}, StartRefusal.OTHER_BOOT),
        ({"attempt": 4}, SUPERSEDED),
        ({"task": "stopped"}, SUPERSEDED),
    ],
)
async def test_worker_refuses_stale_starts(worker_harness, changes, refusal):
    await start_outcome(worker_harness, attempt=5)
    assert (await worker_harness.client.stop("stopped")).is_ok()
    assert await start_outcome(worker_harness, **{"attempt": 6, **changes}) is refusal
    assert sum(worker_harness.simulator.effects().starts.values()) == 1


async def test_full_worker_is_busy_and_tasks_outlive_their_callers(worker_harness):
    async with anyio.create_task_group() as group:
        for task in ["t", "a", "b"][:SLOTS]:
            group.start_soon(
                lambda task: start_outcome(worker_harness, task, seconds=0.5), task
            )
        await anyio.sleep(0.2)
        assert await start_outcome(worker_harness, "more") is StartRefusal.BUSY
        status = (await worker_harness.client.status()).unwrap()
        group.cancel_scope.cancel()
    assert (status.running, status.slots) == (SLOTS, SLOTS)
    await anyio.sleep(0.4)
    report = await fetch_report(worker_harness)
    assert report.state is DONE and report.answer.status == 200
    assert execution_counts(worker_harness) == (1, 1)


async def test_repeated_attempt_runs_once_and_gives_one_answer(worker_harness):
    bodies = []
    clock = (await worker_harness.client.status()).unwrap().clock
    start = new_start(body=b'{"seconds": 0.1, "effect": "slip-7"}', start_by=clock + 1)

    async def repeat():
        bodies.append((await worker_harness.client.start(start)).unwrap().body)

    async with anyio.create_task_group() as group:
        for _ in range(3):
            group.start_soon(repeat)
    assert await start_outcome(worker_harness, attempt=2, body=b"another") == 200
    await anyio.sleep(1)
    await repeat()
    assert bodies == [answer_body(start.body)] * 4
    assert execution_counts(worker_harness) == (2, 2)
    assert worker_harness.simulator.effects().effects == {"slip-7": 1}


async def test_higher_attempt_supersedes_a_running_one(worker_harness):
    outcomes = {}

    async def attempt(number):
        outcomes[number] = await start_outcome(worker_harness, "t", number, seconds=0.5)

    async with anyio.create_task_group() as group:
        group.start_soon(attempt, 1)
        await anyio.sleep(0.1)
        group.start_soon(attempt, 2)
    assert outcomes == {1: "lost", 2: 200}
    assert execution_counts(worker_harness) == (1, 1)


async def test_clock_of_a_paused_worker_advances(worker_harness):
    clock = (await worker_harness.client.status()).unwrap().clock
    outcomes = {}

    async def start(task, **changes):
        outcomes[task] = await start_outcome(worker_harness, task, **changes)

    async with anyio.create_task_group() as group:
        group.start_soon(lambda: start("leased", seconds=1.0, lease=0.5))
        group.start_soon(lambda: start("going", seconds=0.5))
        await anyio.sleep(0.1)
        await worker_harness.inject(paused=True)
        await start("t", start_by=clock + 0.3)
    assert outcomes == {"t": "lost", "leased": "lost", "going": "lost"}
    await worker_harness.inject(paused=False)
    await anyio.sleep(0.2)
    tasks = ("t", "going", "leased")
    states = [
        (await worker_harness.client.task_report(task)).unwrap().state for task in tasks
    ]
    assert states == [NEVER_SEEN, TaskState.RUNNING, CHECKPOINTED]
    assert execution_counts(worker_harness) == (0, 0)


async def test_answers_survive_blackholed_connections(worker_harness):
    status = (await worker_harness.client.status()).unwrap()
    named = {"boot": status.boot, "start_by": status.clock + 10}
    outcomes = {}

    async def start(task, **changes):
        outcomes[task] = await start_outcome(worker_harness, task, **changes)

    with anyio.fail_after(4):
        async with anyio.create_task_group() as group:
            group.start_soon(lambda: start("going", seconds=0.6))
            await anyio.sleep(0.3)
            await worker_harness.blackhole()
            group.start_soon(lambda: start("t", **named))
        await start("later")
    assert outcomes == {"going": 200, "t": 200, "later": 200}
    assert execution_counts(worker_harness) == (1, 1)


@pytest.mark.parametrize("named", [True, False])
async def test_restarted_worker_does_not_run_a_start_again(worker_harness, named):
    status = (await worker_harness.client.status()).unwrap()
    boot = status.boot if named else ""
    # Long enough for the fault to be injected before the answer is sent.
    seconds = 0.3
    answered_at = anyio.current_time() + seconds

    async def lose():
        await anyio.sleep(0.02)
        await worker_harness.inject(lose_answers=1)
        await anyio.sleep_until(answered_at + 0.02)
        worker_harness.simulator.restart()

    async with anyio.create_task_group() as group:
        group.start_soon(lose)
        start_by = status.clock + seconds + 0.5
        outcome = await start_outcome(
            worker_harness, boot=boot, seconds=seconds, start_by=start_by
        )
    assert outcome == "lost"
    assert execution_counts(worker_harness) == (1, 1)


async def test_full_start_channel_leaves_probes_and_renewals_working():
    options = ChannelOptions(connect_seconds=0.1, max_connections=2)
    outcomes = []

    async def start(client, task):
        outcomes.append((await client.start(new_start(task, seconds=1.5))).is_ok())

    async with serve_app(worker.make_app(WorkerSimulator())) as address:
        client = HttpWorkerDirectory(options, PROBE_INTERVAL_SECONDS).at(address)
        async with anyio.create_task_group() as group:
            for task in ("t", "u"):
                group.start_soon(start, client, task)
            await anyio.sleep(0.3)
            assert (await client.renew("t", 1, 9.0)).is_ok()
        await client.aclose()
    assert outcomes == [True, True]


async def test_refusal_of_a_resent_start_leaves_the_outcome_unknown():
    sent = []

    async def start(request):
        sent.append(request)
        if len(sent) == 1:
            return await service.no_answer(request)
        return service.reply(status=409, task="t", attempt="1", refusal="busy")

    async def task(_):
        return service.msgpack_reply(
            TaskReport(task="t", state=NEVER_SEEN, boot="b", clock=0.0)
        )

    app = service.App(None, {"POST /start": start, "GET /task": task})
    async with serve_app(app) as address:
        client = HttpWorkerDirectory(OPTIONS, PROBE_INTERVAL_SECONDS).at(address)
        outcome = await client.start(new_start(boot="b"))
        await client.aclose()
    assert len(sent) == 2 and isinstance(outcome.err(), StartOutcomeUnknown)


async def test_concurrent_answers_are_complete_and_match_their_tasks(worker_harness):
    await worker_harness.inject(cross_answers=9, shorten_answers=9)
    outcomes = {}

    async def start(i):
        start_request = new_start(f"t{i}", body=b"%d" % i)
        outcomes[i] = await worker_harness.client.start(start_request)

    async with anyio.create_task_group() as group:
        for i in range(60):
            group.start_soon(start, i)
    answers = {i: outcome.ok() for i, outcome in outcomes.items() if outcome.is_ok()}
    assert len(outcomes) == 60 and len(answers) >= 42
    assert all(answers[i].body == answer_body(b"%d" % i) for i in answers)


async def test_start_without_connection_is_not_run():
    with service.listen("127.0.0.1:0") as sock:
        address = service.address_of(sock)
    client = HttpWorkerDirectory(OPTIONS).at(address)
    assert (await client.start(new_start())).err().refusal is None
    assert (await client.task_report("t")).is_err()
    await client.aclose()
