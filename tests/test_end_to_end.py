"""End-to-end tests: publish, submit, answer and withdraw over real sockets."""

import json
import time

import pytest

from tests.fleet import Fleet, wait_until

#: Time within which a published record comes into force on every entry.
IN_FORCE_SECONDS = 3.0


@pytest.fixture(scope="module")
def fleet(tmp_path_factory):
    with Fleet(tmp_path_factory.mktemp("fleet")) as running:
        running.start()
        running.publish(running.objects())
        yield running


def test_work_of_every_entry_gets_its_whole_answer(fleet):
    for entry in range(len(fleet.entries)):
        body = f"ronda {entry} ".encode() * 100
        res = fleet.submit(entry, "rondas", body)
        assert res.status_code == 200, res.text
        assert res.headers["hickoryplank-outcome"] == "completed"
        assert body in res.content


def test_withdrawn_key_stops_working_everywhere(fleet):
    made = fleet.cli("key", "create", "rutas-2", "rutas", "--wait", "--format", "json")
    assert made.returncode == 0, made.stderr
    secret = json.loads(made.stdout)["secret"]
    wait_until(lambda: fleet.submit(2, "rondas", b"x", secret).status_code == 200)
    withdrawn = fleet.cli("key", "withdraw", "rutas-2")
    assert withdrawn.returncode in (0, 4), withdrawn.stderr
    time.sleep(IN_FORCE_SECONDS)
    for entry in range(len(fleet.entries)):
        res = fleet.submit(entry, "rondas", b"x", secret)
        assert res.status_code == 401
        assert res.json()["outcome"] == "not_run"
