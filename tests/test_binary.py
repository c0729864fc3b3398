"""Tests of the single-file binary."""

import os
import subprocess
from pathlib import Path

import pytest

from tests.binary import ROOT, build
from tests.fleet import KEY, Fleet, Program, wait_until

EXAMPLE_OBJECTS = ROOT / "examples" / "cascoteo-sur.ini"


@pytest.fixture(scope="module")
def binary(tmp_path_factory):
    output = tmp_path_factory.mktemp("dist") / "hickoryplank"
    build(output)
    return output


@pytest.fixture(scope="module")
def environment(tmp_path_factory):
    """Environment of a VM: sets ``PEX_ROOT`` and hides the source tree."""
    cache = tmp_path_factory.mktemp("cache")
    return {"PATH": os.environ["PATH"], "PEX_ROOT": str(cache)}


@pytest.mark.parametrize(
    ("args", "text"),
    [
        (("--help",), "usage: hickoryplank"),
        (("check", "--complete", str(EXAMPLE_OBJECTS)), "objects"),
    ],
)
def test_command_runs_from_the_binary(binary, environment, tmp_path, args, text):
    done = subprocess.run(
        [str(binary), *args],
        capture_output=True,
        text=True,
        env=environment,
        cwd=tmp_path,
        timeout=120,
    )
    assert done.returncode == 0, done.stderr
    assert text in done.stdout


def child_pids(pid: int) -> str:
    tasks = Path(f"/proc/{pid}/task")
    return "".join((task / "children").read_text() for task in tasks.iterdir())


def test_serve_stays_one_process(binary, environment, tmp_path):
    with Fleet(tmp_path) as fleet:
        fleet.start(entries=1, workers=1)
        fleet.publish(fleet.objects(budget=0))
        settings = fleet.root / "entry-0.ini"
        fleet.entries[0].stop()
        entry = Program(
            "binary",
            ["env", "-i", *(f"{k}={v}" for k, v in environment.items())]
            + [str(binary), "serve", str(settings)],
            fleet.entries[0].address,
            log=tmp_path / "binary.log",
        )
        entry.start()
        fleet.programs.append(entry)
        fleet.entries[0] = entry
        fleet.wait_entry_ready(entry, 60)
        pid = entry.process.pid
        assert child_pids(pid) == ""
        wait_until(lambda: fleet.submit(0, "rondas", b"x", KEY).status_code == 200)
        assert child_pids(pid) == ""
        command = Path(f"/proc/{pid}/cmdline").read_bytes()
        assert environment["PEX_ROOT"].encode() in command and b"serve" in command
        assert entry.stop() == 0
