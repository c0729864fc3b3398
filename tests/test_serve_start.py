"""Tests of the start of ``serve``: it binds its addresses before it joins."""

import json
import socket

import pytest

from tests.fleet import Fleet, wait_until


@pytest.fixture
def fleet(tmp_path):
    with Fleet(tmp_path) as fleet:
        fleet.start(entries=1, workers=1)
        yield fleet


def bound_addresses(entry):
    """Return the fields of the line with which an entry names its addresses."""
    rows = [json.loads(line) for line in entry.log.read_text().splitlines()]
    return next((row for row in rows if row["message"] == "addresses bound"), None)


def test_port_0_is_bound_by_the_entry_which_names_it(fleet):
    entry = fleet.add_entry(1, api_bind="127.0.0.1:0", peer_bind="127.0.0.1:0")
    bound = wait_until(lambda: bound_addresses(entry), program=entry)
    entry.address = bound["api"]
    fleet.wait_ready()
    host, port = bound["peers"].split(":")
    socket.create_connection((host, int(port))).close()
    rows = {row["node"]: row for row in fleet.status()["nodes"]}
    assert rows["entry-1"]["state"] == "live"
    assert rows["entry-1"]["api"] == entry.address
    # An edit is in force everywhere only once the peers reach each other.
    fleet.publish(fleet.objects(budget=0))


@pytest.mark.parametrize("key", ["api_bind", "peer_bind"])
def test_entry_whose_address_is_taken_does_not_join(fleet, key):
    with socket.create_server(("127.0.0.1", 0)) as taken:
        address = "{}:{}".format(*taken.getsockname())
        entry = fleet.add_entry(1, **{key: address})
        with pytest.raises(AssertionError) as caught:
            fleet.wait_entry_ready(entry)
    assert "entry-1: exited with code 1" in str(caught.value)
    assert address in str(caught.value)
    assert [row["node"] for row in fleet.status()["nodes"]] == ["entry-0"]
