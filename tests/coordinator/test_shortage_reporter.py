"""Tests of the log lines about pools that lack room."""

import logging

import pytest

from hickoryplank.coordinator.metrics import EntryMetrics
from hickoryplank.coordinator.shortage_reporter import ShortageReporter
from hickoryplank.core.ids import PoolId
from hickoryplank.jobs.shortage import PoolShortage

SHORT = {PoolId("a"): PoolShortage(30, 12, 4.2)}


@pytest.mark.parametrize(
    "reports, expected",
    [
        pytest.param([(0.0, SHORT)], ["pool lacks room"], id="it begins"),
        pytest.param(
            [(n / 10, SHORT) for n in range(10)], ["pool lacks room"], id="bounded"
        ),
        pytest.param(
            [(0.0, SHORT), (1.0, SHORT)], ["pool lacks room"] * 2, id="it lasts"
        ),
        pytest.param(
            [(0.0, SHORT), (0.1, {})],
            ["pool lacks room", "pool delays no jobs"],
            id="it ends",
        ),
        pytest.param([(0.0, {})], [], id="none"),
    ],
)
def test_a_shortage_is_logged_as_it_begins_lasts_and_ends(reports, expected, caplog):
    caplog.set_level(logging.INFO)
    reporter = ShortageReporter(EntryMetrics())
    for at, shortages in reports:
        reporter.report(shortages, at)
    assert [record.message for record in caplog.records] == expected
