"""Tests of the list of tests that may fail."""

from pathlib import Path

import pytest

from tests.known_red import KNOWN_RED_PATH, parse_known_red

CASES = [
    ("", set()),
    ("# test: a comment\n", set()),
    ("test: tests/a.py::b[c-0]\nseen: test: once\n", {"tests/a.py::b[c-0]"}),
    ("test: a\ncommand: x\n\ntest:  b \n", {"a", "b"}),
]


@pytest.mark.parametrize("text, named", CASES)
def test_only_what_is_named_as_a_test_is_listed(text, named):
    assert parse_known_red(text) == named


def test_each_listed_test_is_in_a_file_that_exists():
    named = (
        parse_known_red(KNOWN_RED_PATH.read_text())
        if KNOWN_RED_PATH.exists()
        else frozenset()
    )
    for test in named:
        path, _, name = test.partition("::")
        function = name.partition("[")[0]
        assert f"def {function}(" in (Path(KNOWN_RED_PATH).parent / path).read_text()
