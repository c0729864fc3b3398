"""Tests of the start of an entry."""

import asyncio
import json
import socket
import subprocess
import sys
import time

import msgspec
import pytest

from hickoryplank.coordinator.lease import LeaseRecord
from hickoryplank.coordinator.ports import Topic
from tests.fleet import wait_until
from tests.ports import ReservedAddress
from tests.soak.deployment import Deployment

SETTINGS = """
[node]
name = entry-1
[listen]
callers = {callers}
readiness = 127.0.0.1:0
peers = 127.0.0.1:0
metrics = 127.0.0.1:0
[platform]
store = 127.0.0.1:9
vms = 127.0.0.1:9
[bounds]
grace_s = 2
lease_max_ms = 10000
move_s = 1.5
maintenance_s = 2
orders_apart_ms = 3000
"""
#: Injected delay of the library import, as on a slow VM.
SLOW_IMPORT_SECONDS = 3.0


@pytest.fixture
def reserved():
    with ReservedAddress() as reserved:
        yield reserved.address


def write_settings(tmp_path, callers: str):
    path = tmp_path / "entry.ini"
    path.write_text(SETTINGS.format(callers=callers))
    return path


def can_connect(address: str) -> bool:
    host, port = address.split(":")
    try:
        socket.create_connection((host, int(port)), timeout=1).close()
    except OSError:
        return False
    return True


def test_callers_can_connect_before_the_libraries_are_loaded(tmp_path, reserved):
    slow = tmp_path / "aiohttp.py"
    slow.write_text(f"import time\ntime.sleep({SLOW_IMPORT_SECONDS})\nraise SystemExit")
    command = [sys.executable, "-m", "hickoryplank", "entry"]
    started_at = time.monotonic()
    process = subprocess.Popen(
        [*command, str(write_settings(tmp_path, reserved))],
        env={"PYTHONPATH": str(tmp_path)},
    )
    try:
        wait_until(lambda: can_connect(reserved), SLOW_IMPORT_SECONDS)
        assert process.poll() is None
        assert process.wait(SLOW_IMPORT_SECONDS * 3) == 0
        assert time.monotonic() - started_at >= SLOW_IMPORT_SECONDS
    finally:
        process.kill()
        process.wait()


@pytest.mark.parametrize(
    ("text", "code", "expected_message"),
    [
        ("", 2, "required field `name`"),
        ("[listen]\ncaller = a:1\n", 2, "unknown key caller in [listen]"),
        ("[nodes]\nname = a\n", 2, "unknown section [nodes]"),
    ],
)
def test_invalid_settings_are_reported(tmp_path, text, code, expected_message):
    path = tmp_path / "entry.ini"
    path.write_text(text)
    command = [sys.executable, "-m", "hickoryplank", "entry", str(path)]
    ended = subprocess.run(command, capture_output=True, text=True)
    assert ended.returncode == code
    assert expected_message in ended.stderr


def test_port_0_is_bound_by_the_entry_which_names_it(tmp_path):
    command = [sys.executable, "-m", "hickoryplank", "entry"]
    process = subprocess.Popen(
        [*command, str(write_settings(tmp_path, "127.0.0.1:0"))],
        stdout=subprocess.PIPE,
    )
    try:
        started = next(
            row
            for row in map(json.loads, process.stdout)
            if row["message"] == "started"
        )
        names = ("callers", "readiness", "peers", "metrics")
        addresses = [started[name] for name in names]
        assert len(set(addresses)) == len(names)
        assert [address for address in addresses if not can_connect(address)] == []
    finally:
        process.kill()
        process.wait()
        process.stdout.close()


def test_lease_names_the_address_that_was_bound_for_port_0(tmp_path):
    async def address_in_lease():
        deployment = Deployment(tmp_path, seed=1, code=".")
        try:
            await deployment.start()
            for entry in deployment.entries:
                entry.kill()
                settings = tmp_path / f"{entry.name}.ini"
                text = settings.read_text()
                settings.write_text(text.replace(entry.peers, "127.0.0.1:0"))
                entry.start()
            await deployment.wait_until_coordinated()
            record = deployment.store.partition(Topic.LEASE).records[-1]
            address = msgspec.msgpack.decode(record.value, type=LeaseRecord).address
            assert can_connect(address)
        finally:
            await deployment.close()

    asyncio.run(address_in_lease())


def test_address_in_use_is_reported(tmp_path):
    with socket.create_server(("127.0.0.1", 0)) as taken:
        address = "{}:{}".format(*taken.getsockname())
        path = write_settings(tmp_path, address)
        command = [sys.executable, "-m", "hickoryplank", "entry", str(path)]
        ended = subprocess.run(command, capture_output=True, text=True)
    assert ended.returncode == 1
    assert address in ended.stderr
