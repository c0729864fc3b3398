"""Tests of the log lines about the availability of dependencies."""

import logging

import pytest

from hickoryplank.shell.dependency_monitor import DependencyMonitor


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
def test_only_changes_are_logged(calls, lines, caplog):
    caplog.set_level(logging.INFO)
    monitor = DependencyMonitor("configuration", Clock())
    for call in calls:
        if call == "+":
            monitor.note_answer()
        else:
            monitor.note_failure("503")
    assert [record.message for record in caplog.records] == lines
    assert monitor.available == (not calls or calls[-1] == "+")


def test_log_tells_the_duration_of_an_outage(caplog):
    caplog.set_level(logging.INFO)
    clock = Clock()
    monitor = DependencyMonitor("lease", clock)
    monitor.note_failure("no answer in 0.2 s")
    clock.at = 12.5
    monitor.note_failure("no answer in 0.2 s")
    monitor.note_answer()
    lost, regained = caplog.records
    assert (lost.dependency, lost.detail) == ("lease", "no answer in 0.2 s")
    assert (regained.failures, regained.seconds) == (2, 2.5)
