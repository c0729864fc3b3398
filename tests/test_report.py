"""Tests of merged reports and of the Pareto frontier of benchmark results."""

from benchmarks.figure import Figure
from benchmarks.plots import draw, frontier, points
from hickoryplank.core.ids import PoolId, TeamId, Zone
from hickoryplank.operator_status import (
    PoolReport,
    ReportAnswer,
    TeamReport,
    ZonesAnswer,
    ZoneView,
    merge_reports,
    merge_zones,
)


def report(since: float, hours: float, moves: int, distance: float) -> ReportAnswer:
    pool = PoolReport(pool=PoolId("socios"), buffer_vm_hours=hours, moves_in=moves)
    team = TeamReport(team=TeamId("rutas"), running=2, distance=distance)
    return ReportAnswer(since=since, pools=(pool,), waves=(), teams=(team,))


def test_reports_add_up_what_each_entry_serves_and_take_moves_once():
    merged = merge_reports([report(9, 1, 1, -3), report(5, 2, 4, 1)])
    assert merged == ReportAnswer(
        since=5,
        pools=(PoolReport(pool=PoolId("socios"), buffer_vm_hours=3, moves_in=4),),
        waves=(),
        teams=(TeamReport(team=TeamId("rutas"), running=4, distance=-2),),
    )


def zones(offset: int, *rows: tuple[str, int, bool], counted: int = 1) -> ZonesAnswer:
    views = tuple(
        ZoneView(zone=Zone(name), vms=5, running=running, evacuated=evacuated)
        for name, running, evacuated in rows
    )
    return ZonesAnswer(offset=offset, nodes=3, counted=counted, zones=views)


def test_running_work_of_zones_adds_up_and_the_newest_answer_tells_the_rest():
    behind = zones(8, ("near", 2, False), ("gone", 1, False))
    newest = zones(9, ("far", 0, False), ("near", 3, True))
    merged = merge_zones([behind, newest, zones(7, ("far", 4, True))])
    assert merged == zones(9, ("far", 4, False), ("near", 5, True), counted=3)


def test_frontier_holds_the_settings_that_no_other_beats(tmp_path):
    measured = {"a": (1, 9), "b": (2, 5), "c": (3, 6), "d": (4, 1)}
    figures = [
        Figure(name=f"{measure}, {settings}", value=value, unit="VMs")
        for settings, pair in measured.items()
        for measure, value in zip(("buffer", "late"), pair, strict=True)
    ]
    figures.append(Figure(name="late, fixed", value=1, unit="%"))
    found = points(figures, "buffer", "late")
    assert [point.settings for point in found] == ["a", "b", "c", "d"]
    assert [point.settings for point in frontier(found)] == ["a", "b", "d"]
    output = tmp_path / "frontier.png"
    draw(found, "buffer", "late", output)
    assert output.stat().st_size > 0
