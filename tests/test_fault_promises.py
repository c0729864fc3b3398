"""Fault tests of key withdrawal, team limits, rolling replacement and drains."""

import json
import signal
import threading
import time
from concurrent.futures import ThreadPoolExecutor

import httpx
import pytest

from tests.callers import Caller
from tests.fleet import Fleet, wait_until

#: Time within which a published record comes into force on every entry.
IN_FORCE_SECONDS = 3.0
LIMIT = 2
SHORT_REQUESTS = 40


@pytest.fixture(scope="module")
def fleet(tmp_path_factory):
    with Fleet(tmp_path_factory.mktemp("promises")) as running:
        running.start(workers=4)
        running.publish(running.objects(budget=2))
        yield running


def make_key(fleet, name):
    made = fleet.cli("key", "create", name, "rutas", "--wait", "--format", "json")
    assert made.returncode == 0, made.stderr
    return json.loads(made.stdout)["secret"]


def withdraw(fleet, name, entry):
    done = fleet.cli("key", "withdraw", name, entry=entry)
    assert done.returncode in (0, 4), done.stderr


def statuses_by_entry(fleet, secret):
    """Return the status of each entry's response to a request with ``secret``."""
    entries = range(len(fleet.entries))
    return [fleet.submit(i, "rondas", b"x", secret).status_code for i in entries]


def cut(fleet, entry):
    fleet.proxies[entry].cut()


def freeze(fleet, entry):
    fleet.proxies[entry].freeze()


def pause(fleet, entry):
    fleet.entries[entry].signal(signal.SIGSTOP)


def no_fault(fleet, entry):
    pass


@pytest.mark.parametrize("fault", [no_fault, cut, freeze, pause])
def test_withdrawn_key_is_refused_everywhere(fleet, fault):
    secret = make_key(fleet, f"rutas-{fault.__name__}")
    assert statuses_by_entry(fleet, secret) == [200, 200, 200]
    fault(fleet, 2)
    withdraw(fleet, f"rutas-{fault.__name__}", entry=0)
    time.sleep(IN_FORCE_SECONDS)
    fleet.entries[2].signal(signal.SIGCONT)
    for _ in range(3):
        assert set(statuses_by_entry(fleet, secret)) <= {401, 503}
    assert statuses_by_entry(fleet, secret)[:2] == [401, 401]
    fleet.proxies[2].restore()
    wait_until(lambda: statuses_by_entry(fleet, secret) == [401, 401, 401])


def test_key_withdrawn_while_a_body_arrives_is_refused(fleet):
    secret = make_key(fleet, "rutas-slow")

    def body():
        yield b"first"
        withdraw(fleet, "rutas-slow", entry=0)
        time.sleep(IN_FORCE_SECONDS)
        yield b"last"

    assert fleet.submit(1, "rondas", body(), secret).status_code == 401


def test_keys_and_work_survive_a_log_outage(fleet):
    secret = make_key(fleet, "rutas-down")
    fleet.log.inject(outage=True)
    try:
        refused = fleet.cli("key", "withdraw", "rutas-down")
        assert refused.returncode not in (0, 4), refused.stdout
        until = time.monotonic() + IN_FORCE_SECONDS
        while time.monotonic() < until:
            assert statuses_by_entry(fleet, secret) == [200, 200, 200]
    finally:
        fleet.log.inject(outage=False)
    withdraw(fleet, "rutas-down", entry=1)
    time.sleep(IN_FORCE_SECONDS)
    assert statuses_by_entry(fleet, secret) == [401, 401, 401]


def test_accepted_edits_survive_restarts(fleet):
    secret = make_key(fleet, "rutas-kept")
    withdraw(fleet, "rutas-kept", entry=0)
    for i, entry in enumerate(fleet.entries):
        entry.kill()
        fleet.replace(i)
    seen = set()
    for i, entry in enumerate(fleet.entries):
        fleet.wait_entry_ready(entry)
        seen.add(fleet.submit(i, "rondas", b"x", secret).status_code)
    assert seen == {401}


def submit_until_accepted(fleet, first, name):
    """Submit short work through the entries in turn until one accepts it."""
    body = json.dumps({"effect": name, "seconds": 0.2}).encode()
    for turn in range(first, first + 100):
        try:
            entry = turn % len(fleet.entries)
            res = fleet.submit(entry, "rondas", body, timeout=30.0)
        except httpx.ConnectError:
            continue
        if res.status_code != 503:
            return res
        assert res.json()["outcome"] == "not_run"
        time.sleep(0.05)
    return res


def test_upper_limit_holds_while_an_entry_is_killed(fleet):
    fleet.publish(fleet.objects(budget=2, limit=LIMIT))
    max_running, done = 0, threading.Event()

    def watch():
        nonlocal max_running
        while not done.wait(0.02):
            max_running = max(max_running, fleet.running())

    with ThreadPoolExecutor(SHORT_REQUESTS + 1) as pool:
        watching = pool.submit(watch)
        running = [
            pool.submit(submit_ignoring_errors, fleet, i, f"limit-{i}")
            for i in range(SHORT_REQUESTS)
        ]
        time.sleep(1.0)
        fleet.entries[1].kill()
        outcomes = [future.result() for future in running]
        done.set()
        watching.result()
    fleet.replace(1)
    fleet.wait_ready()
    fleet.publish(fleet.objects(budget=2))
    effects = fleet.effects()
    assert 0 < max_running <= LIMIT
    for i, outcome in enumerate(outcomes):
        assert outcome in ("completed", "not_run", "failed", "broken"), (i, outcome)
        known = outcome in ("completed", "not_run")
        assert not known or effects[f"limit-{i}"] == (outcome == "completed")


def submit_ignoring_errors(fleet, i, name):
    body = json.dumps({"effect": name, "seconds": 0.2}).encode()
    try:
        res = fleet.submit(i % 3, "rondas", body, Prefer="wait=20")
    except httpx.HTTPError:
        return "broken" if i % 3 == 1 else "broken by a live entry"
    return res.headers["hickoryplank-outcome"]


def test_rolling_replacement_breaks_no_request(fleet):
    stop = threading.Event()

    def load(i):
        answers = []
        while not stop.is_set():
            answers.append(submit_until_accepted(fleet, i, f"rolling-{i}").status_code)
        return answers

    with ThreadPoolExecutor(8) as pool:
        loads = [pool.submit(load, i) for i in range(8)]
        try:
            for i, entry in enumerate(fleet.entries):
                assert entry.stop() == 0
                fleet.replace(i)
                fleet.wait_ready()
        finally:
            stop.set()
        assert {status for future in loads for status in future.result()} == {200}


def test_drained_vm_gets_no_new_work_and_comes_back(fleet):
    def state():
        out = fleet.status()["out_of_service"]
        return {row["vm"]: row["state"] for row in out}.get("vm-0", "active")

    worker = fleet.workers[0]

    def started():
        return len(
            fleet.client.get(f"http://{worker.address}/effects").json()["did"]["starts"]
        )

    callers = [Caller(fleet, "cierre", f"drain-{i}", 4.0) for i in range(8)]
    assert {c.post(i % 3).status_code for i, c in enumerate(callers)} == {202}
    assert fleet.cli("drain", "vm-0").returncode in (0, 4)
    time.sleep(IN_FORCE_SECONDS)
    before = started()
    with ThreadPoolExecutor(12) as pool:
        list(
            pool.map(
                lambda i: submit_until_accepted(fleet, i, f"drained-{i}"), range(24)
            )
        )
    assert started() == before
    wait_until(lambda: state() == "drained", what="the drain")
    wait_until(lambda: all(c.state(0) == "done" for c in callers), what="the batches")
    assert {fleet.effects()[c.name] for c in callers} == {1}
    assert fleet.cli("undrain", "vm-0").returncode in (0, 4)
    wait_until(lambda: state() == "active", what="the VM")
