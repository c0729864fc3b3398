"""CPU time of the decisions on one request, by number of teams and endpoints.

All teams run on lent units: the choice of the next item takes longest in this case.
The shortest of several repeats is reported, since other processes slow down the rest.
"""

from collections.abc import Iterator
from time import process_time

from benchmarks.figure import Figure
from hickoryplank.core.fleet_counts import FleetCounts
from hickoryplank.core.objects import WorkClass
from hickoryplank.core.placement import EndpointRow, EndpointTable, RunResult
from hickoryplank.core.queues import WorkItem, WorkQueues

__all__ = ["figures"]

REQUESTS = 5000
REPEATS = 3
#: Number of teams with waiting work in the pool, and of endpoints of the pool.
TEAM_AND_ENDPOINT_COUNTS = ((6, 6), (110, 6), (6, 60), (110, 8))
#: Number of items that wait in the pool while the decisions are made.
BACKLOG_ITEMS = 2000


def _item(number: int, teams: int) -> WorkItem:
    return WorkItem(
        request=f"r{number}",
        task=f"t{number}",
        team=f"team-{number % teams}",
        queue="q",
        pool="p",
        work_class=WorkClass.BATCH,
        arrived=0.0,
        deadline=1e6,
    )


def _table(endpoints: int) -> EndpointTable:
    table = EndpointTable()
    for number in range(endpoints):
        zone, rack = f"zone-{number % 3}", f"rack-{number // 4}"
        row = EndpointRow(vm=f"vm-{number}", pool="p", zone=zone, rack=rack, slots=8)
        table.put(row)
        table.note_progress(row.vm)
    return table


def _cpu_us(teams: int, endpoints: int) -> float:
    """Return the CPU time of one request, from its queueing to its end, in us."""
    table, queues, counts = _table(endpoints), WorkQueues(), FleetCounts()
    shares = {f"team-{number}": 100.0 / teams for number in range(teams)}
    entitled_units = dict.fromkeys(shares, 0.0)
    for number in range(BACKLOG_ITEMS):
        queues.push(_item(number, teams), shares)
    items = [_item(BACKLOG_ITEMS + number, teams) for number in range(REQUESTS)]
    began = process_time()
    for new in items:
        queues.push(new, shares)
        item = queues.pop_next(
            "p", shares, counts.running, lambda team: True, 0.0, entitled_units
        )
        vm = table.pick("p", (), 0.0)
        table.note_start(vm, item.task, 0.0)
        counts.change(item.team, 1.0)
        table.note_finish(vm, item.task, "q", RunResult.DONE, 1.0, 1.0)
        counts.change(item.team, -1.0)
    return (process_time() - began) / REQUESTS * 1e6


def figures() -> Iterator[Figure]:
    """Yield the CPU time of the decisions on one request for each of the sizes."""
    for teams, endpoints in TEAM_AND_ENDPOINT_COUNTS:
        yield Figure(
            name=f"decisions.request.{teams}_teams_{endpoints}_endpoints",
            value=round(min(_cpu_us(teams, endpoints) for _ in range(REPEATS)), 1),
            unit="us of processor",
        )
