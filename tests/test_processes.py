"""Tests that waiting for a process that has exited ends at once, with its log."""

import asyncio
import json
import sys

import pytest

from tests.fleet import Fleet, Program, wait_until
from tests.soak.deployment import Deployment

CODE = "import sys; sys.exit('first line\\nAddress in use')"


@pytest.fixture
def program(tmp_path):
    command = [sys.executable, "-c", CODE]
    program = Program("entry-2", command, "127.0.0.1:9", log=tmp_path / "entry-2.log")
    yield program
    if program.process is not None:
        program.process.stdout.close()
        program.process.wait()


def test_wait_ends_with_the_log_of_a_process_that_has_exited(program):
    program.start()
    with pytest.raises(AssertionError) as caught:
        wait_until(lambda: False, what="entry-2 ready", program=program)
    assert "entry-2: exited with code 1" in str(caught.value)
    assert "first line\nAddress in use" in str(caught.value)


def test_condition_that_is_met_counts_after_the_process_has_exited(program):
    program.start()
    program.process.wait()
    assert wait_until(lambda: "met", program=program) == "met"


def test_condition_not_met_in_time_is_reported_with_the_log(program):
    program.command = [sys.executable, "-c", "import time; time.sleep(60)"]
    program.log.write_text("the last line")
    program.start()
    with pytest.raises(AssertionError) as caught:
        wait_until(lambda: False, 0.1, "entry-2 ready", program)
    program.kill()
    assert "entry-2 ready: condition not met within 0.1 s" in str(caught.value)
    assert "the last line" in str(caught.value)


def test_start_of_a_program_that_says_no_address_is_reported_with_its_log(program):
    program.address = ""
    with pytest.raises(AssertionError, match="Address in use"):
        program.start()


def test_fleet_does_not_wait_for_an_entry_that_has_exited(tmp_path):
    with Fleet(tmp_path) as fleet:
        fleet.start(entries=1, workers=1)
        fleet.entries[0].stop()
        with pytest.raises(AssertionError) as caught:
            fleet.wait_ready()
    assert "entry-0: exited with code 0" in str(caught.value)
    last = json.loads(str(caught.value).splitlines()[-1])
    assert last["message"] == "stopped"


def test_soak_does_not_wait_for_an_entry_that_has_exited(tmp_path):
    async def start_and_wait():
        deployment = Deployment(tmp_path, seed=1, code=".")
        try:
            await deployment.start()
            deployment.entries[1].kill()
            await deployment.wait_until_coordinated()
        finally:
            await deployment.close()

    with pytest.raises(AssertionError, match="entry-1: exited with code -9"):
        asyncio.run(start_and_wait())
