"""Tests of the stand-in programs as separate processes."""

import json
import math
import subprocess
import sys
from contextlib import contextmanager

import anyio
import httpx
import pytest

from hickoryplank.external.log_http import HttpLog
from hickoryplank.external.vmlist import ListedState
from hickoryplank.external.vmlist_http import HttpVmList
from hickoryplank.external.worker import StartRequest
from hickoryplank.external.worker_http import HttpWorkerDirectory

pytestmark = pytest.mark.anyio

STOP_TIMEOUT_SECONDS = 5
LOOPBACK = "127.0.0.1:0"


@contextmanager
def program(name: str, *options: str):
    """Run a stand-in on a free port and yield its address."""
    command = [sys.executable, "-m", f"tests.standins.{name}", "--bind", LOOPBACK]
    with subprocess.Popen([*command, *options], stdout=subprocess.PIPE) as proc:
        try:
            yield json.loads(proc.stdout.readline())["address"]
        finally:
            proc.terminate()
            proc.wait(STOP_TIMEOUT_SECONDS)


async def test_log_program_keeps_records():
    with program("log") as address:
        client = HttpLog(address)
        assert (await client.append("control", b"x")).ok() == 0
        assert (await client.read("control", 0, 9, 0)).unwrap().tail == 1
        await client.aclose()


async def test_reboot_in_the_list_restarts_the_worker_program():
    with (
        program(
            "worker", "--vm", "vm-0", "--slots", "2", "--seconds", "0.05"
        ) as worker_address,
        program(
            "vms", "--vm", f"vm-0={worker_address}", "--reboot-seconds", "0.3"
        ) as list_address,
    ):
        vms, workers = HttpVmList(list_address), HttpWorkerDirectory()
        worker = workers.at(worker_address)
        before = (await worker.status()).unwrap()
        start = StartRequest(task="t", attempt=1, boot="", start_by=math.inf, lease=9.0)
        assert (await worker.start(start)).unwrap().status == 200
        assert httpx.get(f"http://{worker_address}/effects").json()["did"]["tasks"] == {
            "t": 1
        }
        for _ in range(2):
            assert (await vms.reboot("vm-0", 1)).is_ok()
        assert (await vms.read()).unwrap()[0].state is ListedState.LEAVING
        with anyio.fail_after(5):
            while (await vms.read()).unwrap()[0].generation != 2:
                await anyio.sleep(0.05)
        after = (await worker.status()).unwrap()
        assert before.slots == 2 and after.boot != before.boot
        row = {"vm": "vm-1", "address": "10.0.0.1", "state": "live", "generation": 1}
        httpx.put(f"http://{list_address}/vms", json=row).raise_for_status()
        assert len((await vms.read()).unwrap()) == 2
        await vms.aclose()
        await workers.aclose()
