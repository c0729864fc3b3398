"""Tests of the settings file of an entry on the users' platform."""

import re
from pathlib import Path

import msgspec
import pytest
from result import Err, Ok

from hickoryplank.entry import _shortage_order, _store_bounds
from hickoryplank.entry_settings import load_entry_settings
from hickoryplank.jobs.records import StoreBounds
from hickoryplank.jobs.shortage import ShortageOrder

REQUIRED = """
[node]
name = edge-1
[listen]
callers = 127.0.0.1:1
readiness = 127.0.0.1:2
peers = 127.0.0.1:3
metrics = 127.0.0.1:4
[platform]
store = 127.0.0.1:5
vms = 127.0.0.1:6
[bounds]
grace_s = 6
lease_max_ms = 6000
move_s = 1.5
maintenance_s = 2
orders_apart_ms = 3000
"""

TEMPLATE = Path(__file__).parents[1] / "deploy" / "entry.ini"
STATED = {
    "node": "edge-1",
    "ip": "127.0.0.1",
    "listen.front": "127.0.0.1:1",
    "listen.readiness": "127.0.0.1:2",
    "port_range.0": "3",
    "port_range.1": "4",
    "limits.cpu_share": "0.5",
    "limits.cores": "2",
    "limits.link_mbps": "1000.0",
    "platform.address": "127.0.0.1:5",
    "cloud_api.address": "127.0.0.1:6",
    "bounds.grace_s": "6",
    "bounds.hold_max_ms": "6000",
    "bounds.stop_grace_ms": "900",
    "bounds.migrate_s": "1.5",
    "bounds.maintenance_s": "2",
    "bounds.lease_ms": "3000",
    "bounds.status_s": "120",
}


def render(template: str, values: dict[str, str]) -> str:
    """Render sections and placeholders of a template as the platform does."""
    text = re.sub(
        r"\{\{#([^}]+)\}\}(.*?)\{\{/\1\}\}",
        lambda one: one[2] if one[1] in values else "",
        template,
    )
    return re.sub(r"\{\{([^}]+)\}\}", lambda one: values.get(one[1], ""), text)


@pytest.mark.parametrize(
    "stated, restore_ms",
    [({}, msgspec.UNSET), ({"bounds.restore_ms": "600"}, 600)],
)
def test_deployed_settings_are_valid_without_a_bound_that_has_a_default(
    tmp_path, stated, restore_ms
):
    # No entry started on a platform that doesn't state restore_ms.
    path = tmp_path / "entry.ini"
    path.write_text(render(TEMPLATE.read_text(), STATED | stated))
    match load_entry_settings(path):
        case Ok(cfg):
            assert cfg.restore_ms == restore_ms
        case Err(detail):
            pytest.fail(detail)


@pytest.mark.parametrize(
    "section, order",
    [
        ("", ShortageOrder.DEADLINE),
        ("[scheduling]\n\n", ShortageOrder.DEADLINE),
        ("[scheduling]\nshortage_order = deadline\n", ShortageOrder.DEADLINE),
        ("[scheduling]\nshortage_order = least-cost\n", ShortageOrder.LEAST_COST),
    ],
)
def test_the_order_in_a_shortage_is_set_by_its_section(tmp_path, section, order):
    path = tmp_path / "entry.ini"
    path.write_text(REQUIRED + section)
    match load_entry_settings(path):
        case Ok(cfg):
            assert _shortage_order(cfg) is order
        case Err(detail):
            pytest.fail(detail)


@pytest.mark.parametrize(
    "section, named",
    [
        ("[scheduling]\nshortage_order = cheapest\n", "shortage_order"),
        ("[scheduling]\norder = deadline\n", "unknown key order in [scheduling]"),
    ],
)
def test_what_is_wrong_is_named(tmp_path, section, named):
    path = tmp_path / "entry.ini"
    path.write_text(REQUIRED + section)
    match load_entry_settings(path):
        case Err(detail):
            assert named in detail
        case Ok(cfg):
            pytest.fail(f"accepted as {cfg.shortage_order}")


@pytest.mark.parametrize(
    ("lines", "bounds"),
    [
        ("", StoreBounds(262_144, 2_097_152)),
        ("record_bytes = 1000", StoreBounds(1000, 2_097_152)),
        ("call_bytes = 5000\nrecord_bytes = 1000", StoreBounds(1000, 5000)),
    ],
)
def test_bounds_of_the_store_are_those_of_the_platform_unless_set(
    tmp_path, lines, bounds
):
    path = tmp_path / "entry.ini"
    path.write_text(REQUIRED + lines + "\n")
    assert _store_bounds(load_entry_settings(path).unwrap()) == bounds


def test_a_bound_that_is_no_number_is_an_error(tmp_path):
    path = tmp_path / "entry.ini"
    path.write_text(REQUIRED + "record_bytes = many\n")
    assert "record_bytes" in load_entry_settings(path).unwrap_err()
