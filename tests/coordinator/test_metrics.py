"""Tests of measurements before and after a meter is attached."""

import subprocess
import sys

import pytest

from hickoryplank.coordinator.metrics import MAX_BUFFERED_MEASUREMENTS, EntryMetrics
from hickoryplank.jobs.messages import StartOutcome
from hickoryplank.meter import Metrics

STARTED = 'hickoryplank_starts_total{outcome="started"}'


def metric_total(metrics: Metrics, name: str) -> float:
    lines = metrics.text().decode().splitlines()
    return sum(float(line.split()[-1]) for line in lines if line.startswith(name))


@pytest.mark.parametrize(
    ("before", "after", "counted"),
    [
        (0, 2, 2),
        (3, 0, 3),
        (3, 2, 5),
        (MAX_BUFFERED_MEASUREMENTS + 1, 0, MAX_BUFFERED_MEASUREMENTS),
    ],
)
def test_measurements_before_the_meter_are_counted(before, after, counted):
    entry_metrics, metrics = EntryMetrics(), Metrics("entry-1")
    for _ in range(before):
        entry_metrics.start(StartOutcome.STARTED)
    entry_metrics.attach(metrics.meter)
    for _ in range(after):
        entry_metrics.start(StartOutcome.STARTED)
    assert metric_total(metrics, STARTED) == counted


def test_buffered_durations_are_in_the_histogram():
    entry_metrics, metrics = EntryMetrics(), Metrics("entry-1")
    entry_metrics.append(0.02)
    entry_metrics.attach(metrics.meter)
    entry_metrics.append(0.04)
    assert metric_total(metrics, "hickoryplank_append_seconds_count") == 2
    assert metric_total(metrics, "hickoryplank_append_seconds_sum") == pytest.approx(
        0.06
    )


@pytest.mark.parametrize("attached_first", [False, True])
def test_gauges_of_evacuated_zones_show_the_last_values(attached_first):
    entry_metrics, metrics = EntryMetrics(), Metrics("entry-1")
    if attached_first:
        entry_metrics.attach(metrics.meter)
    for zones, runs in [(1, 7), (1, 7), (2, 3)]:
        entry_metrics.evacuated_zones(zones, runs)
    if not attached_first:
        entry_metrics.attach(metrics.meter)
    assert metric_total(metrics, "hickoryplank_evacuated_zones ") == 2
    assert metric_total(metrics, "hickoryplank_evacuated_zones_runs") == 3


def test_entry_module_does_not_import_the_meter_library():
    code = (
        "import sys, hickoryplank.entry;"
        "print(any(name.startswith('opentelemetry') for name in sys.modules))"
    )
    ran = subprocess.run(
        [sys.executable, "-c", code], capture_output=True, text=True, check=True
    )
    assert ran.stdout.strip() == "False"


def test_ends_that_were_dropped_unread_are_counted():
    entry_metrics, metrics = EntryMetrics(), Metrics("entry-1")
    entry_metrics.attach(metrics.meter)
    for count in (1, 3):
        entry_metrics.missing_ends(count)
    assert metric_total(metrics, "hickoryplank_ends_missing_total") == 4
