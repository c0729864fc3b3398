"""Tests of the settings of an entry."""

import pytest

from hickoryplank.entry import _store_bounds
from hickoryplank.entry_settings import load_entry_settings
from hickoryplank.jobs.records import StoreBounds
from tests.test_entry_start import SETTINGS


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
    text = SETTINGS.format(callers="127.0.0.1:1", ports=[1, 2, 3, 4])
    path.write_text(text + lines + "\n")
    assert _store_bounds(load_entry_settings(path).unwrap()) == bounds


def test_a_bound_that_is_no_number_is_an_error(tmp_path):
    path = tmp_path / "entry.ini"
    text = SETTINGS.format(callers="127.0.0.1:1", ports=[1, 2, 3, 4])
    path.write_text(text + "record_bytes = many\n")
    assert "record_bytes" in load_entry_settings(path).unwrap_err()
