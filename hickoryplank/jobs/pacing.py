"""Slows tasks that fill where they keep serving tasks from their target.

Load that this answers: what fills shares more with its neighbours than their sizes
tell, by amounts that change within seconds. A serving task near its target has the
filling tasks beside it halved, then stopped, until it is well below again.
"""

from hickoryplank.jobs.endpoints import Endpoint, Run, RunState
from hickoryplank.jobs.messages import PaceChange

__all__ = ["pace"]

#: Part of a target above which what fills is slowed.
HIGH_PART = 0.85
#: Part of a target below which what fills may work faster again.
LOW_PART = 0.5
#: Time that a change takes to show in the figures, in seconds: they cover the last
#: half second, and are looked at as often.
SETTLE_SECONDS = 1.0
#: Time below the low part before what fills may work faster, in seconds.
RAISE_SECONDS = 2.0
#: Share by which a pace is raised, in percent; it is lowered by half.
RAISE_PERCENT = 25
#: Shares below this are rounded to nothing, in percent.
LEAST_PERCENT = 30


def pace(endpoint: Endpoint, now: float) -> list[PaceChange]:
    """Return the changes of pace that an endpoint needs now."""
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
