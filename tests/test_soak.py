"""Short soak runs, seeds of former failures, and tests of the soak's checker."""

import pytest

from hickoryplank.core.ids import EndpointId, JobId, TeamId
from hickoryplank.jobs.messages import StartOutcome
from hickoryplank.jobs.model import Step, TaskKey
from hickoryplank.jobs.sizes import Size
from tests.soak.checker import InvariantChecker, ObservedEndpoint, ObservedJob
from tests.soak.fault_plan import FaultKind, draw_faults
from tests.soak.run import soak

SHORT_SECONDS = 6.0
TEAM = TeamId("rutas")
JOB = JobId("00000000000000aa")


@pytest.mark.parametrize(
    ("seed", "length_s"),
    [
        (20, SHORT_SECONDS),
        (21, SHORT_SECONDS),
        # Guards against two failures. A restarted endpoint accepted a start that was
        # meant for its previous incarnation, while the task was also started
        # elsewhere. An acknowledgement in a poll for the previous incarnation made
        # the restarted endpoint drop a task's end.
        (1007, 10.0),
    ],
)
def test_no_promise_is_broken(seed, length_s, tmp_path):
    report = soak(seed, length_s, tmp_path)
    assert report.violations == [], "\n".join(report.lines())
    assert report.accepted > 0
    assert report.starts > 0


def test_a_seed_decides_what_is_injected():
    assert draw_faults(7) == draw_faults(7)
    drawn = {fault.kind for seed in range(200) for fault in draw_faults(seed)}
    assert drawn == set(FaultKind)


def fresh(limit: int = 9000) -> tuple[InvariantChecker, list[ObservedEndpoint]]:
    checker = InvariantChecker({TEAM: Size(limit)})
    steps = (
        Step(2, Size(1000, 100), max_per_endpoint=1),
        Step(1, Size(3500, 100), after=(0,)),
    )
    checker.jobs[JOB] = ObservedJob(JOB, TEAM, "payload", steps)
    ends = [
        ObservedEndpoint(
            EndpointId(f"i-{n}"), 1, lambda key: 100.0, Size(4000, 8000), 1.0, checker
        )
        for n in range(2)
    ]
    return checker, ends


def start(endpoint: ObservedEndpoint, step: int, index: int, attempt: int = 1, **more):
    key = TaskKey(JOB, 0, step, index)
    payload = more.get("payload", "payload")
    outcome = endpoint.start(key, attempt, payload, more.get("until_ms", 60_000), 1)
    assert outcome is StartOutcome.STARTED


def beside(a, b):
    start(a, 0, 0)
    start(b, 0, 0, 2)


def after_a_noted_end(a, b):
    start(a, 0, 0)
    a.advance(200)
    a.poll(1, 1, None)
    start(b, 0, 0, 2)


def before_its_end_is_noted(a, b):
    start(a, 0, 0)
    a.advance(200)
    start(b, 0, 0, 2)
    a.poll(1, 1, None)


def after_an_end_that_lapsed(a, b):
    start(a, 0, 0, until_ms=2000)
    a.advance(200)
    a.advance(5000)
    start(b, 0, 0, 2)
    a.poll(1, 1, None)


def another_payload(a, b):
    start(a, 0, 0, payload="other")


def out_of_order(a, b):
    start(a, 1, 0)


def too_many_on_one(a, b):
    start(a, 0, 0)
    start(a, 0, 1)


def one_after_the_other(a, b):
    start(a, 0, 0)
    start(b, 0, 1)
    a.advance(200)
    b.advance(200)
    start(a, 1, 0)


@pytest.mark.parametrize(
    ("play", "broken"),
    [
        (beside, ["twice"]),
        (after_a_noted_end, ["twice"]),
        (before_its_end_is_noted, ["twice"]),
        (after_an_end_that_lapsed, []),
        (another_payload, ["unasked"]),
        (out_of_order, ["order"]),
        (too_many_on_one, ["spread"]),
        (one_after_the_other, []),
    ],
)
def test_the_ledger_sees_what_is_broken(play, broken):
    checker, (a, b) = fresh()
    play(a, b)
    assert [line.split(":")[0] for line in checker.violations] == broken


@pytest.mark.parametrize(
    ("limit", "size", "same", "broken"),
    [
        (9000, 2000, True, []),
        (9000, 2001, True, ["capacity"]),
        (9000, 2001, False, []),
        (1000, 2000, False, ["limit"]),
        (2000, 2000, False, []),
    ],
)
def test_the_ledger_sees_room_and_limits_exceeded(limit, size, same, broken):
    """Limits have a tolerance of one tenth plus one task."""
    checker, (a, b) = fresh(limit)
    checker.jobs[JOB] = ObservedJob(JOB, TEAM, "payload", (Step(2, Size(size, 100)),))
    start(a, 0, 0)
    start(a if same else b, 0, 1)
    assert [line.split(":")[0] for line in checker.violations] == broken
