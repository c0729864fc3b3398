"""Throttles filling tasks that slow down serving tasks on the same endpoint.

Filling tasks contend with their neighbours for more than the CPU and memory in their
sizes, by amounts that change within seconds. While a serving task is close to its
target response time, the pace of the filling tasks beside it is halved and then set to
0; it is raised in steps once the response time is well below the target.
"""

from hickoryplank.jobs.endpoints import Endpoint, Run, RunState
from hickoryplank.jobs.messages import PaceChange

__all__ = ["pace"]

#: Fraction of a target above which filling tasks are slowed down.
HIGH_PART = 0.85
#: Fraction of a target below which filling tasks may be sped up.
LOW_PART = 0.5
#: Time until a change of pace shows in the load figures, which cover the last half
#: second and are polled as often.
SETTLE_SECONDS = 1.0
#: Time since the last change of pace before filling tasks are sped up.
RAISE_SECONDS = 2.0
#: Increase of a pace; a decrease halves it.
RAISE_PERCENT = 25
#: Paces below this are rounded down to 0.
LEAST_PERCENT = 30


def pace(endpoint: Endpoint, now: float) -> list[PaceChange]:
    """Return the changes of pace to be made on an endpoint now."""
    filling = [
        run
        for run in endpoint.runs.values()
        if run.step.fills and run.state is RunState.STARTED
    ]
    if not filling or now - endpoint.paced_at < SETTLE_SECONDS:
        return []
    part = _most_of_target(endpoint)
    if part > HIGH_PART:
        return _change(endpoint, filling, _slower, now)
    if part < LOW_PART and now - endpoint.paced_at >= RAISE_SECONDS:
        return _change(endpoint, filling, _faster, now)
    return []


def _most_of_target(endpoint: Endpoint) -> float:
    return max(
        (
            run.load / run.step.target_ms
            for run in endpoint.runs.values()
            if run.step.target_ms and run.state is RunState.STARTED
        ),
        default=0.0,
    )


def _slower(percent: int) -> int:
    half = percent // 2
    return half if half >= LEAST_PERCENT else 0


def _faster(percent: int) -> int:
    return min(100, percent + RAISE_PERCENT)


def _change(endpoint: Endpoint, filling: list[Run], to, now: float) -> list[PaceChange]:
    changes = [
        PaceChange(run, to(run.paced)) for run in filling if to(run.paced) != run.paced
    ]
    if changes:
        endpoint.paced_at = now
    for change in changes:
        change.run.paced = change.percent
    return changes
