"""Throttles filling tasks that slow down serving tasks on the same endpoint.

Filling tasks contend with their neighbours for more than the CPU and memory in their
sizes, by amounts that change within seconds. While a serving task is close to its
target response time, the pace of the filling tasks beside it is halved and then set to
0; it is raised in steps once the response time is well below the target.
"""

from hickoryplank.jobs.endpoints import Endpoint, Run, RunState
from hickoryplank.jobs.messages import PaceChange

__all__ = ["adjust_pace"]

#: Fraction of a target above which filling tasks are slowed down.
SLOW_DOWN_FRACTION = 0.85
#: Fraction of a target below which filling tasks may be sped up.
SPEED_UP_FRACTION = 0.5
#: Time until a change of pace shows in the load figures, which cover the last half
#: second and are polled as often.
SETTLE_SECONDS = 1.0
#: Time since the last change of pace before filling tasks are sped up.
SPEED_UP_DELAY_SECONDS = 2.0
#: Increase of a pace; a decrease halves it.
SPEED_UP_STEP_PERCENT = 25
#: Paces below this are rounded down to 0.
MIN_PACE_PERCENT = 30


def adjust_pace(endpoint: Endpoint, now: float) -> list[PaceChange]:
    """Return the changes of pace to be made on an endpoint now."""
    if not endpoint.filling_count:
        return []
    filling = [
        run
        for run in endpoint.runs.values()
        if run.step.fills and run.state is RunState.STARTED
    ]
    if not filling or now - endpoint.pace_changed_at < SETTLE_SECONDS:
        return []
    fraction = _highest_target_fraction(endpoint)
    if fraction > SLOW_DOWN_FRACTION:
        return _apply_pace(endpoint, filling, _slow_down, now)
    if (
        fraction < SPEED_UP_FRACTION
        and now - endpoint.pace_changed_at >= SPEED_UP_DELAY_SECONDS
    ):
        return _apply_pace(endpoint, filling, _speed_up, now)
    return []


def _highest_target_fraction(endpoint: Endpoint) -> float:
    return max(
        (
            run.load / run.step.target_ms
            for run in endpoint.runs.values()
            if run.step.target_ms and run.state is RunState.STARTED
        ),
        default=0.0,
    )


def _slow_down(percent: int) -> int:
    half = percent // 2
    return half if half >= MIN_PACE_PERCENT else 0


def _speed_up(percent: int) -> int:
    return min(100, percent + SPEED_UP_STEP_PERCENT)


def _apply_pace(
    endpoint: Endpoint, filling: list[Run], adjust, now: float
) -> list[PaceChange]:
    changes = [
        PaceChange(run, adjust(run.pace_percent))
        for run in filling
        if adjust(run.pace_percent) != run.pace_percent
    ]
    if changes:
        endpoint.pace_changed_at = now
    for change in changes:
        change.run.pace_percent = change.percent
    return changes
