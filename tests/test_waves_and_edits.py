"""Tests of maintenance waves and concurrent edits, with real processes."""

import json
import subprocess
import sys

import msgspec
import pytest

from tests.fleet import Fleet, wait_until

BUDGET = 3
VMS = 5
WAVE_SECONDS = 90


@pytest.fixture(scope="module")
def fleet(tmp_path_factory):
    with Fleet(tmp_path_factory.mktemp("operators")) as running:
        running.start(workers=VMS)
        running.publish(running.objects(budget=BUDGET))
        yield running


def status(fleet: Fleet) -> dict:
    """Return the status as reported by the first entry."""
    shown = fleet.cli("status", "--format", "json", entry=0)
    assert shown.returncode == 0, shown.stderr
    return json.loads(shown.stdout)


def boots(fleet: Fleet) -> list[str]:
    """Return the boot ids of the workers."""
    urls = [f"http://{worker.address}/status" for worker in fleet.workers]
    replies = [fleet.client.get(url).content for url in urls]
    return [msgspec.msgpack.decode(reply)["boot"] for reply in replies]


def test_wave_reboots_every_vm_within_the_budget(fleet):
    before = boots(fleet)
    started = fleet.cli("wave", "start", "w1", "rondas-norte", "--wait")
    assert started.returncode == 0, started.stderr

    def finished() -> bool:
        shown = status(fleet)
        (pool,) = shown["pools"]
        assert pool["in_service"] >= BUDGET
        assert fleet.submit(1, "rondas", b"x").status_code == 200
        (wave,) = shown["waves"]
        return wave["state"] == "done"

    wait_until(finished, WAVE_SECONDS, "the end of the wave")
    assert status(fleet)["waves"][0]["done"] == VMS
    assert not set(before) & set(boots(fleet))


def test_one_of_two_concurrent_edits_is_refused(fleet, tmp_path):
    commands = []
    for units in (20, 30):
        path = tmp_path / f"limit-{units}.ini"
        base = fleet.cli("get", "limit", "rutas", "--format", "ini").stdout
        path.write_text(base.replace("units = 48", f"units = {units}"))
        urls = [x for e in fleet.entries for x in ("--entry", f"http://{e.address}")]
        token = ("--token-file", str(fleet.root / "token"))
        command = [sys.executable, "-m", "hickoryplank", *urls, *token, "apply"]
        commands.append((units, [*command, str(path), "--wait"]))
    running = [
        (units, subprocess.Popen(command, stdout=-1, stderr=-1, text=True))
        for units, command in commands
    ]
    codes = {units: (process.wait(60), process) for units, process in running}
    outputs = {u: "".join(p.communicate()) for u, (_, p) in codes.items()}
    assert sorted(code for code, _ in codes.values()) == [0, 1], outputs
    (winner,) = [units for units, (code, _) in codes.items() if code == 0]
    (loser,) = [units for units, (code, _) in codes.items() if code == 1]
    assert "limit rutas" in outputs[loser]
    assert f"units = {winner}" in fleet.cli("get", "limit", "--format", "ini").stdout
