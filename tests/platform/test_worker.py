"""Workers: whole answers, attempts, leases, slots and every fault."""

import json
import math

import anyio
import msgspec
import pytest
from result import Err, Ok

from hickoryplank.platform.errors import RefusedStart, StartFailure, StartLost
from hickoryplank.platform.worker import Start, TaskState
from hickoryplank.platform.worker_engine import answer_body
from hickoryplank.platform.worker_http import HttpWorkers
from tests.platform.conftest import OPTIONS, READ_SECONDS, SLOTS
from tests.standins import service

pytestmark = pytest.mark.anyio


def new_start(task="t", attempt=1, **changes) -> Start:
    fields = {"boot": "", "start_by": math.inf, "lease": 30.0, **changes}
    return Start(task=task, attempt=attempt, **fields)


def lasting(seconds, **changes) -> Start:
    return new_start(body=json.dumps({"seconds": seconds}).encode(), **changes)


def short(outcome):
    """Return what a table says of an outcome."""
    match outcome:
        case Ok(answer):
            return answer.status
        case Err(StartFailure(refusal)):
            return refusal
        case Err(StartLost()):
            return "lost"


async def find(side, task="t"):
    return (await side.client.find(task)).unwrap()


async def count(side):
    did = side.model.effects()
    return did.starts["t"], did.tasks["t"]


@pytest.mark.parametrize(
    "body", [b"", b"{}", bytes(range(256)), b"\r\n\r\n", b"\x00" * 1_000_000]
)
@pytest.mark.parametrize("kind", ["", "application/json", "text/plain; charset=ü"])
async def test_answer_is_byte_for_byte_the_endpoints(worker_side, body, kind):
    start = new_start("tæsk/1 ?%", body=body, content_type=kind)
    answer = (await worker_side.client.start(start)).unwrap()
    assert (answer.task, answer.status) == (start.task, 200)
    assert (answer.body, answer.content_type) == (answer_body(body), kind)


@pytest.mark.parametrize(
    ("fault", "memory", "http", "counts"),
    [
        ({}, 200, 200, (1, 1)),
        ({"fail": True}, 500, 500, (1, 0)),
        ({"late_seconds": READ_SECONDS * 2}, 200, 200, (1, 1)),
        ({"cross_answers": 1}, "lost", "lost", (1, 1)),
        ({"shorten_answers": 1}, "lost", "lost", (1, 1)),
        ({"lose_answers": 1}, "lost", 200, (1, 1)),
        ({"paused": True}, "lost", "lost", (0, 0)),
        *(({"refuse": why}, why, why, (0, 0)) for why in RefusedStart),
    ],
)
async def test_start_under_a_fault(worker_side, fault, memory, http, counts):
    await worker_side.fault(**fault)
    outcome = await worker_side.client.start(new_start(body=b"work"))
    assert short(outcome) == (http if worker_side.http else memory)
    assert await count(worker_side) == counts


@pytest.mark.parametrize(
    ("changes", "refusal"),
    [
        ({"start_by": 0.0}, RefusedStart.LATE),
        ({"boot": "another"}, RefusedStart.OTHER_BOOT),
        ({"attempt": 4}, RefusedStart.SUPERSEDED),
    ],
)
async def test_worker_refuses_what_it_must_not_run(worker_side, changes, refusal):
    await worker_side.client.start(new_start(attempt=5))
    fields = {"attempt": 6, **changes}
    outcome = await worker_side.client.start(new_start(**fields))
    assert short(outcome) is refusal
    assert await count(worker_side) == (1, 1)


async def test_full_worker_is_busy(worker_side):
    async with anyio.create_task_group() as group:
        for i in range(SLOTS):
            group.start_soon(worker_side.client.start, lasting(5, task=f"t{i}"))
        await anyio.sleep(0.2)
        outcome = await worker_side.client.start(new_start())
        status = (await worker_side.client.status()).unwrap()
        group.cancel_scope.cancel()
    assert short(outcome) is RefusedStart.BUSY
    assert (status.running, status.slots) == (SLOTS, SLOTS)


async def test_repeated_attempt_runs_once_and_gives_one_answer(worker_side):
    outcomes = []

    async def run():
        outcomes.append(await worker_side.client.start(lasting(0.1, start_by=late)))

    late = (await worker_side.client.status()).unwrap().clock + 5
    async with anyio.create_task_group() as group:
        for _ in range(3):
            group.start_soon(run)
    await run()
    await worker_side.client.start(new_start(attempt=2, body=b"another"))
    await run()
    assert len({outcome.unwrap().body for outcome in outcomes}) == 1
    assert await count(worker_side) == (2, 2)


async def test_effects_are_counted_by_the_name_in_the_body(worker_side):
    body = json.dumps({"effect": "slip-7"}).encode()
    for task in ("a", "b"):
        await worker_side.client.start(new_start(task, body=body))
    assert worker_side.model.effects().effects == {"slip-7": 2}


async def test_lapsed_lease_stops_at_a_checkpoint_and_a_later_attempt_resumes(
    worker_side,
):
    outcome = await worker_side.client.start(lasting(0.5, lease=0.2))
    assert short(outcome) == "lost"
    assert (await find(worker_side)).state is TaskState.CHECKPOINTED
    with anyio.fail_after(0.45):
        outcome = await worker_side.client.start(lasting(0.5, attempt=2))
    assert short(outcome) == 200
    assert await count(worker_side) == (1, 1)


async def test_renewed_lease_lets_a_task_end(worker_side):
    async def renew():
        for _ in range(4):
            await anyio.sleep(0.1)
            assert (await worker_side.client.renew("t", 1, 0.3)).is_ok()

    async with anyio.create_task_group() as group:
        group.start_soon(renew)
        outcome = await worker_side.client.start(lasting(0.6, lease=0.3))
    assert short(outcome) == 200
    assert (await worker_side.client.renew("t", 1, 0.3)).is_err()


@pytest.mark.parametrize(
    ("call", "state", "later"),
    [
        ("checkpoint", TaskState.CHECKPOINTED, 200),
        ("stop", TaskState.DONE, RefusedStart.SUPERSEDED),
    ],
)
async def test_stopped_task_has_no_answer(worker_side, call, state, later):
    async def end():
        await anyio.sleep(0.1)
        assert (await getattr(worker_side.client, call)("t")).is_ok()

    async with anyio.create_task_group() as group:
        group.start_soon(end)
        assert short(await worker_side.client.start(lasting(0.3))) == "lost"
    report = await find(worker_side)
    assert (report.state, report.answer) == (state, None)
    outcome = await worker_side.client.start(new_start(attempt=2))
    assert short(outcome) == later


async def test_task_stopped_before_it_arrives_does_not_run(worker_side):
    assert (await worker_side.client.stop("t")).is_ok()
    outcome = await worker_side.client.start(new_start())
    assert short(outcome) is RefusedStart.SUPERSEDED
    assert await count(worker_side) == (0, 0)


async def test_higher_attempt_supersedes_a_running_one(worker_side):
    outcomes = []

    async def run(attempt):
        start = lasting(0.5, attempt=attempt)
        outcomes.append(short(await worker_side.client.start(start)))

    async with anyio.create_task_group() as group:
        group.start_soon(run, 1)
        await anyio.sleep(0.1)
        group.start_soon(run, 2)
    assert outcomes == ["lost", 200]
    assert await count(worker_side) == (1, 1)


async def test_restart_loses_tasks_under_a_new_boot(worker_side):
    before = (await worker_side.client.status()).unwrap().boot

    async def restart():
        await anyio.sleep(0.1)
        worker_side.model.restart()

    async with anyio.create_task_group() as group:
        group.start_soon(restart)
        outcome = await worker_side.client.start(lasting(5, boot=before))
    report = await find(worker_side)
    assert short(outcome) == "lost"
    assert report.state is TaskState.NEVER_SEEN and report.boot != before
    assert worker_side.model.effects().cut_off == 1


async def test_paused_worker_refuses_late_starts_by_its_own_clock(worker_side):
    clock = (await worker_side.client.status()).unwrap().clock
    await worker_side.fault(paused=True)
    outcome = await worker_side.client.start(new_start(start_by=clock + 0.1))
    assert short(outcome) == "lost"
    await worker_side.fault(paused=False)
    await anyio.sleep(0.1)
    report = await find(worker_side)
    assert report.state is TaskState.NEVER_SEEN and report.clock > clock + 0.1
    assert await count(worker_side) == (0, 0)


async def test_caller_that_goes_away_leaves_the_task_running(worker_side):
    with anyio.move_on_after(0.1):
        await worker_side.client.start(lasting(0.3))
    await anyio.sleep(0.4)
    report = await find(worker_side)
    assert report.state is TaskState.DONE
    assert report.answer.body == answer_body(lasting(0.3).body)
    assert await count(worker_side) == (1, 1)


async def test_silent_connections_cost_no_answer(worker_side):
    status = (await worker_side.client.status()).unwrap()
    named = {"boot": status.boot, "start_by": status.clock + 10}
    outcomes = {}

    async def run(start):
        outcomes[start.task] = short(await worker_side.client.start(start))

    with anyio.fail_after(4):
        async with anyio.create_task_group() as group:
            group.start_soon(run, lasting(0.6, task="under way"))
            await anyio.sleep(0.3)
            if worker_side.http:
                await worker_side.post("/silence")
            group.start_soon(run, new_start("t", **named))
            group.start_soon(run, new_start("u", start_by=status.clock + 0.5))
        await run(new_start("later"))
    lost = "lost" if worker_side.http else 200
    assert outcomes.pop("u") in {200, lost}
    assert outcomes == {"under way": 200, "t": 200, "later": 200}
    assert await count(worker_side) == (1, 1)


@pytest.mark.parametrize("named", [True, False])
async def test_start_is_not_run_again_by_a_restarted_worker(worker_side, named):
    status = (await worker_side.client.status()).unwrap()
    boot = status.boot if named else ""
    start = lasting(0.05, boot=boot, start_by=status.clock + 0.5)

    async def lose():
        await anyio.sleep(0.02)
        await worker_side.fault(lose_answers=1)
        await anyio.sleep(0.04)
        worker_side.model.restart()

    async with anyio.create_task_group() as group:
        group.start_soon(lose)
        outcome = await worker_side.client.start(start)
    assert short(outcome) == "lost"
    assert await count(worker_side) == (1, 1)


async def test_each_of_many_answers_is_whole_and_its_own(worker_side):
    worker_side.model._slots = 100
    await worker_side.fault(cross_answers=9, shorten_answers=9)
    outcomes = {}

    async def run(i):
        start = new_start(f"t{i}", body=b"%d" % i)
        outcomes[i] = await worker_side.client.start(start)

    async with anyio.create_task_group() as group:
        for i in range(60):
            group.start_soon(run, i)
    answers = {i: answer.ok().body for i, answer in outcomes.items() if answer.is_ok()}
    assert len(answers) >= 42
    assert answers == {i: answer_body(b"%d" % i) for i in answers}
    assert {short(outcome) for outcome in outcomes.values()} == {200, "lost"}


async def test_start_that_reached_nothing_is_no_loss():
    sock = service.listen("127.0.0.1:0")
    address = service.address_of(sock)
    sock.close()
    client = HttpWorkers(OPTIONS).at(address)
    assert (await client.start(new_start())).err().refusal is None
    assert (await client.find("t")).is_err()
    await client.aclose()


def test_messages_keep_every_field():
    start = new_start(boot="b", content_type="c", body=b"x", traceparent="p")
    packed = msgspec.msgpack.encode(start)
    assert msgspec.msgpack.decode(packed, type=Start) == start
