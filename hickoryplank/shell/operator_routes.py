"""Routes of the operator HTTP API."""

import time
from collections.abc import Callable, Mapping

from result import Ok
from starlette.routing import Route

from hickoryplank.core.ids import VmId
from hickoryplank.operator_api import PREFIX
from hickoryplank.shell.fleet_statistics import FleetStatistics
from hickoryplank.shell.operator_edits import EditHandlers
from hickoryplank.shell.operator_fleet import FleetHandlers
from hickoryplank.shell.operator_history import OperatorHistory
from hickoryplank.shell.operator_http import (
    Handler,
    OperatorRequest,
    OperatorSecurity,
    Reply,
    operator_route,
)
from hickoryplank.shell.publisher import Publisher
from hickoryplank.shell.replicated_state import ReplicatedState

__all__ = ["operator_routes"]


def operator_routes(
    replicated_state: ReplicatedState,
    history: OperatorHistory,
    security: OperatorSecurity,
    now: Callable[[], float] = time.time,
    statistics: FleetStatistics | None = None,
    tasks_by_vm: Callable[[], Mapping[VmId, int]] = dict,
) -> list[Route]:
    """Return the routes under ``/operator/v1``.

    :param history: the operators' records; updated by the caller on each fold.
    :param now: returns the time in seconds since the epoch.
    :param statistics: the statistics for ``report``; without them that route is
        left out.
    :param tasks_by_vm: returns the number of tasks that this node runs, by VM.
    """
    publisher = Publisher(replicated_state, history)
    edits = EditHandlers(publisher, now)
    fleet = FleetHandlers(publisher, tasks_by_vm)
    routes = (
        ("edits", "POST", edits.edit),
        ("plan", "POST", edits.plan),
        ("objects", "GET", edits.objects),
        ("published", "GET", edits.published),
        ("history", "GET", edits.history),
        ("status", "GET", fleet.status),
        ("vms/{vm}/drain", "POST", fleet.drain),
        ("vms/{vm}/undrain", "POST", fleet.undrain),
        ("vms/{vm}/move", "POST", fleet.move),
        ("zones", "GET", fleet.zones),
        ("zones/{zone}/evacuate", "POST", fleet.evacuate_zone),
        ("zones/{zone}/restore", "POST", fleet.restore_zone),
        ("waves/{wave}", "POST", fleet.wave),
        ("claims", "GET", fleet.claims),
        ("claims/{claim:path}/settle", "POST", fleet.settle),
    )
    found = [
        operator_route(f"{PREFIX}/{path}", method, handler, security)
        for path, method, handler in routes
    ]
    if statistics is not None:
        report = _report_handler(statistics)
        found.append(operator_route(f"{PREFIX}/report", "GET", report, security))
    return found


def _report_handler(statistics: FleetStatistics) -> Handler:
    async def report(_: OperatorRequest) -> Reply:
        return Ok(statistics.report())

    return report
