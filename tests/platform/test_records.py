"""Tests of records of operators and executors: valid, partial and malformed."""

import json
import logging

import pytest

from hickoryplank.coordinator.ports import WaveOrder, ZoneEvacuation
from hickoryplank.core.ids import Zone
from hickoryplank.jobs.configuration import Configuration
from hickoryplank.jobs.records import Record
from hickoryplank.jobs.sizes import Size
from hickoryplank.platform.records import (
    PlatformListingDecoder,
    PlatformOperatorRecordCodec,
)

SERVER = {
    "service": "huvo11a",
    "address": "10.128.0.9:8080",
    "zone": "bergen-a",
    "version": "v1",
    "slots": 8,
    "state": "ready",
    "cold_left_ms": 0,
    "capacity": {"cpu": 16000, "mem_mb": 32768, "gpu": 0},
    "labels": ["a", "r1-3"],
    "clock_ms": 482113,
    "born": 1234,
    "seq": 4,
}
CONFIG = {
    "version": 7,
    "routes": [
        {
            "name": "r-1",
            "host": "a.example",
            "path_prefix": "/p/",
            "kind": "non_idempotent",
            "timeout_ms": 3000,
            "target_latency_ms": 600,
            "priority": 1,
            "service": "s-1",
            "attempts": 4,
            "stretch": 1.6,
            "public": False,
        },
        {"name": "r-2", "host": "a.example", "path_prefix": "/p/q/", "service": "s-2"},
    ],
    "services": [
        {"name": "s-1", "enforces_capacity": False, "standby": False},
        {"name": "s-2", "standby": True},
    ],
    "limits": {"max_header_bytes": 16384},
    "tenants": [
        {
            "name": "t",
            "api_keys": ["k1", "k2"],
            "weight": 17,
            "cap": {"cpu": 323023, "mem_mb": 931273, "gpu": 0},
        }
    ],
}


def record(key: str, body) -> Record:
    return Record(key, json.dumps(body).encode())


def test_server_is_decoded_to_a_listing():
    listing = PlatformListingDecoder().decode(record("i-1", SERVER))
    assert listing is not None
    assert (listing.id, listing.pool, listing.born_ms) == ("i-1", "huvo11a", 1234)
    assert listing.capacity == Size(16000, 32768, 0)
    assert not listing.draining


def test_draining_server_tells_its_remaining_time():
    body = {**SERVER, "state": "draining", "remaining_ms": 900}
    listing = PlatformListingDecoder().decode(record("i-1", body))
    assert listing is not None
    assert listing.draining
    assert listing.drain_remaining_ms == 900


@pytest.mark.parametrize(
    "value",
    [
        b"",
        b"\xff\xfe",
        b"[]",
        json.dumps({**SERVER, "state": "asleep"}).encode(),
        json.dumps({**SERVER, "capacity": "much"}).encode(),
        json.dumps({k: v for k, v in SERVER.items() if k != "address"}).encode(),
        json.dumps({**SERVER, "born": "noon"}).encode(),
    ],
)
def test_malformed_server_records_are_ignored(value):
    assert PlatformListingDecoder().decode(Record("i-1", value)) is None


DEPTH = 50_000
NESTED = "[" * DEPTH + "]" * DEPTH
#: Texts that replace the value of a field, as JSON.
ODD_VALUES = {
    "deeply nested": NESTED,
    "beyond 64 bits": "9" * 30,
    "beyond a float": "9" * 400,
    "beyond the digits of an integer": "9" * 5000,
    "infinite": "1e999",
    "negative": "-1",
}


# Guards against entries of other writers that end each coordinator in turn: one that is
# deeply nested was not ignored, and one with a large number was taken for an endpoint.
@pytest.mark.parametrize("field", ["born", "capacity", "labels"])
@pytest.mark.parametrize("odd", ODD_VALUES.values(), ids=ODD_VALUES)
def test_server_records_with_an_odd_value_are_ignored(field, odd):
    body = {**SERVER, field: {"cpu": "ODD"} if field == "capacity" else "ODD"}
    value = json.dumps(body).replace('"ODD"', odd).encode()
    assert PlatformListingDecoder().decode(Record("i-1", value)) is None


@pytest.mark.parametrize("text", [NESTED, '{"a":' * DEPTH + "1" + "}" * DEPTH])
def test_deeply_nested_records_are_ignored(text):
    in_unknown_field = json.dumps({**SERVER, "x": "ODD"}).replace('"ODD"', text)
    for value in (text.encode(), in_unknown_field.encode()):
        assert PlatformListingDecoder().decode(Record("i-1", value)) is None
        for key in ("config", "wave/1"):
            assert PlatformOperatorRecordCodec().decode(Record(key, value)) is None


# Guards against a coordinator that ends at its first call to an entry whose id can't be
# sent in a header, or whose address can't be looked up (review case 1).
@pytest.mark.parametrize(
    ("id", "address"),
    [
        ("\x00\x7f", "10.128.0.9:8080"),
        ("i 1", "10.128.0.9:8080"),
        ("i-\ufffd", "10.128.0.9:8080"),
        ("i-é", "10.128.0.9:8080"),
        ("i-1\r\nX: y", "10.128.0.9:8080"),
        ("", "10.128.0.9:8080"),
        ("i-1", ""),
        ("i-1", "10.128.0.9"),
        ("i-1", "10.128.0.9:"),
        ("i-1", "10.128.0.9:0"),
        ("i-1", "10.128.0.9:65536"),
        ("i-1", "10.128.0.9:-1"),
        ("i-1", "10.128.0.9:+80"),
        ("i-1", "10.128.0.9:8_0"),
        ("i-1", "10.128.0.9:٨٠"),
        ("i-1", "10.128.0.9:80/x"),
        ("i-1", "10.128.0.256:80"),
        ("i-1", "a..b:80"),
        ("i-1", "x" * 70 + ":80"),
        ("i-1", "user@10.128.0.9:80"),
        ("i-1", "[::1]:80"),
    ],
)
def test_servers_that_cannot_be_called_are_ignored(id, address):
    body = {**SERVER, "address": address}
    assert PlatformListingDecoder().decode(record(id, body)) is None


def test_configuration_is_decoded():
    cfg = PlatformOperatorRecordCodec().decode(record("config", CONFIG))
    assert isinstance(cfg, Configuration)
    assert cfg.version == 7
    longest = cfg.resolve("a.example", "/p/q/0123")
    assert longest is not None
    assert (longest.queue.id, longest.subpath) == ("r-2", "0123")
    shorter = cfg.resolve("a.example", "/p/0123")
    assert shorter is not None
    assert (shorter.queue.id, shorter.queue.attempts) == ("r-1", 4)
    assert cfg.resolve("b.example", "/p/0123") is None
    assert cfg.team_of_key["k2"] == "t"
    assert cfg.teams["t"].limit == Size(323023, 931273, 0)
    assert cfg.pools["s-2"].standby


def test_wave_is_decoded():
    body = {"wave": 1, "machines": ["m-1", "m-2"], "deadline_s": 20, "cap": 1}
    wave = PlatformOperatorRecordCodec().decode(record("wave/1", body))
    assert wave == WaveOrder("1", ("m-1", "m-2"), 20.0, 1)


@pytest.mark.parametrize(
    ("key", "value", "zone", "requested"),
    [
        ("evacuate/coronel", b"{}", "coronel", True),
        ("evacuate/coronel", b' {"since": 3} ', "coronel", True),
        ("evacuate/coronel", b"", "coronel", False),
        ("evacuate/bio/bio \u00e9", b"{}", "bio/bio \u00e9", True),
    ],
)
def test_request_to_evacuate_a_zone_and_its_removal_are_decoded(
    key, value, zone, requested, caplog
):
    decoded = PlatformOperatorRecordCodec().decode(Record(key, value))
    assert decoded == ZoneEvacuation(Zone(zone), requested)
    assert not caplog.records


@pytest.mark.parametrize(
    "value", [b"[]", b"null", b"true", b"\xff", b"{", b" ", NESTED.encode()]
)
def test_request_with_an_odd_value_is_logged_and_applied(value, caplog):
    """Guards against a set that differs between increments and a read of all keys."""
    decoded = PlatformOperatorRecordCodec().decode(Record("evacuate/coronel", value))
    assert decoded == ZoneEvacuation(Zone("coronel"), True)
    (line,) = caplog.records
    assert (line.levelno, line.key) == (logging.ERROR, "evacuate/coronel")


@pytest.mark.parametrize("value", [b"{}", b""])
def test_request_without_a_zone_is_logged_and_ignored(value, caplog):
    assert PlatformOperatorRecordCodec().decode(Record("evacuate/", value)) is None
    (line,) = caplog.records
    assert (line.levelno, line.key) == (logging.ERROR, "evacuate/")


@pytest.mark.parametrize(
    ("key", "value"),
    [
        ("config", b"{}"),
        ("config", b"\xff"),
        ("wave/1", b"[]"),
        ("other", b"{}"),
        ("evacuate", b"{}"),
    ],
)
def test_malformed_and_other_operator_records_are_ignored(key, value):
    assert PlatformOperatorRecordCodec().decode(Record(key, value)) is None
