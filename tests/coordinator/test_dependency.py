"""Tests of the log lines about the availability of dependencies."""

import logging

import pytest

from hickoryplank.coordinator.dependency import Dependency


class Clock:
    """A clock that the tests set."""

    def __init__(self):
        self.at = 10.0

    def now(self) -> float:
        return self.at


@pytest.mark.parametrize(
    ("calls", "lines"),
    [
        ("", []),
        ("++", []),
        ("-", ["dependency lost"]),
        ("----", ["dependency lost"]),
        ("--+", ["dependency lost", "dependency regained"]),
        ("-+-+", ["dependency lost", "dependency regained"] * 2),
    ],
)
def test_only_changes_leave_a_line(calls, lines, caplog):
    caplog.set_level(logging.INFO)
    dependency = Dependency("configuration", Clock())
    for call in calls:
        if call == "+":
            dependency.answered()
        else:
            dependency.failed("503")
    assert [record.message for record in caplog.records] == lines
    assert dependency.answers == (not calls or calls[-1] == "+")


def test_the_line_tells_how_long_it_was_away(caplog):
    caplog.set_level(logging.INFO)
    clock = Clock()
    dependency = Dependency("lease", clock)
    dependency.failed("no answer in 0.2 s")
    clock.at = 12.5
    dependency.failed("no answer in 0.2 s")
    dependency.answered()
    lost, regained = caplog.records
    assert (lost.dependency, lost.detail) == ("lease", "no answer in 0.2 s")
    assert (regained.failures, regained.seconds) == (2, 2.5)
