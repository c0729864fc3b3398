"""Fault tests of outcomes: work reported as ``not_run`` never takes effect."""

import json
import time
from concurrent.futures import ThreadPoolExecutor

import httpx
import pytest

from tests.callers import CALL_TIMEOUT_SECONDS, Caller
from tests.fleet import Fleet, wait_until

#: Time to wait for an effect of work that must not run.
EFFECT_WAIT_SECONDS = 3.0


@pytest.fixture(scope="module")
def fleet(tmp_path_factory):
    with Fleet(tmp_path_factory.mktemp("answers")) as running:
        running.start(workers=3)
        running.publish(running.objects(budget=1))
        yield running


def test_one_batch_submitted_everywhere_at_once_is_accepted_by_all(fleet):
    caller = Caller(fleet, "cierre", "at-once")
    with ThreadPoolExecutor(12) as pool:
        answers = list(pool.map(caller.post, [0, 1, 2] * 4))
    assert [res and res.status_code for res in answers].count(None) == 0
    assert {res.status_code for res in answers} <= {200, 202}
    wait_until(lambda: caller.state(0) == "done")
    caller.check_answers(fleet.effects()["at-once"])


@pytest.mark.parametrize(
    ("queue", "fault", "recovery"),
    [
        ("cierre", {"slow_seconds": 2.0}, {"slow_seconds": 0.0}),
        ("pagos", {"slow_seconds": 2.0}, {"slow_seconds": 0.0}),
        ("cierre", {"outage": True}, {"outage": False}),
        ("pagos", {"outage": True}, {"outage": False}),
        ("cierre", {"lose_answers": 1}, {"lose_answers": 0}),
    ],
)
def test_claim_refused_while_the_log_fails_never_runs(fleet, queue, fault, recovery):
    name = f"refused-{queue}-{'-'.join(fault)}"
    caller = Caller(fleet, queue, name)
    fleet.log.inject(**fault)
    answer = caller.post(0, wait=0.5)
    fleet.log.inject(**recovery)
    time.sleep(EFFECT_WAIT_SECONDS)
    if answer.headers.get("hickoryplank-outcome") == "not_run":
        assert fleet.effects()[name] == 0
        assert caller.state(0) in ("", "not_run")
    else:
        assert caller.submit_until_final(1) == "done"
        caller.check_answers(fleet.effects()[name])


def test_batch_of_a_caller_that_hung_up_while_it_was_claimed_is_finished(fleet):
    caller = Caller(fleet, "cierre", "hung-up-claim")
    owner = fleet.owner()
    fleet.log.inject(slow_seconds=1.0)
    fleet.submit_and_hang_up(
        owner,
        "cierre",
        caller.body,
        caller.name,
        until=lambda: fleet.is_appending(caller.claim),
    )
    fleet.log.inject(slow_seconds=0.0)
    wait_until(lambda: caller.state(0), what="the claim")
    assert caller.submit_until_final(1) == "done"
    caller.check_answers(fleet.effects()["hung-up-claim"])


def test_request_whose_owner_is_lost_is_not_reported_as_not_run(fleet):
    owner = fleet.owner()
    body = json.dumps({"effect": "owner-lost", "seconds": 0.6}).encode()
    with ThreadPoolExecutor(2) as pool:
        entry = (owner + 1) % len(fleet.entries)
        answer = pool.submit(fleet.submit, entry, "rondas", body, Prefer="wait=0.9")
        time.sleep(0.4)
        fleet.entries[owner].kill()
        outcome = answer.result().headers["hickoryplank-outcome"]
    time.sleep(0.5)
    fleet.replace(owner)
    fleet.wait_ready()
    assert fleet.effects()["owner-lost"] >= 1
    assert outcome != "not_run"


def test_claim_proved_not_run_after_its_deadline_is_settled(fleet):
    caller = Caller(fleet, "pagos", "late-proof")
    for _ in range(6):
        assert fleet.submit(0, "rondas", b"warm").status_code == 200
    for worker in fleet.workers:
        worker.inject(paused=True)
    answer = caller.post(0, wait=1.0)
    assert answer is None or answer.json()["outcome"] in ("unknown", "not_run")
    time.sleep(9)
    for worker in fleet.workers:
        worker.inject(paused=False)
    assert caller.submit_until_final(1) in ("done", "unknown")
    caller.check_answers(fleet.effects()["late-proof"])


def test_hung_up_callers_stop_their_work_and_free_its_slots(fleet):
    before = fleet.running()
    body = json.dumps({"effect": "hung-up", "seconds": 30}).encode()

    def hang_up(i):
        with pytest.raises(httpx.TimeoutException):
            fleet.submit(i % 3, "rondas", body, timeout=1.5)

    with ThreadPoolExecutor(30) as pool:
        list(pool.map(hang_up, range(30)))
    wait_until(lambda: fleet.running() == before, CALL_TIMEOUT_SECONDS, "free slots")
    assert fleet.submit(0, "rondas", b"after").status_code == 200
    assert fleet.effects()["hung-up"] == 0
