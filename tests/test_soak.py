"""Short soak runs, seeds of former failures, and tests of the soak's checker."""

import time

import pytest

from hickoryplank.core.ids import EndpointId, JobId, TeamId, Zone
from hickoryplank.jobs.endpoints import TOKENS_PER_TERM, endpoint_token
from hickoryplank.jobs.messages import StartOutcome
from hickoryplank.jobs.model import Step, TaskKey
from hickoryplank.jobs.sizes import Size
from tests.soak.checker import (
    EVACUATION_GRACE_SECONDS,
    Evacuation,
    InvariantChecker,
    ObservedEndpoint,
    ObservedJob,
    Timing,
)
from tests.soak.fault_plan import (
    RESTART_PLAY_SECONDS,
    FaultKind,
    draw_faults,
    draw_late_calls,
    draw_restarts,
)
from tests.soak.run import Play, soak

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
        # Guards against odd entries in the list of endpoints that end each coordinator.
        (3002, SHORT_SECONDS),
        # Guards against ticks that go through all occurrences of a timed job.
        (3020, 10.0),
        # Guards against orders for VMs whose endpoints aren't listed after a takeover.
        (4005, SHORT_SECONDS),
        # Guards against ends of restarted endpoints that an acknowledgement for the
        # former incarnation drops.
        (8106, 10.0),
        (44208, 10.0),
        # Guards against a fault of the soak: of two stops that overlap, the second one
        # waited for the end of the next process, which it had not signalled.
        (2105523503, 10.0),
    ],
)
def test_soak_finds_no_violation(seed, length_s, tmp_path):
    report = soak(seed, length_s, tmp_path)
    assert report.violations == [], "\n".join(report.lines())
    assert report.accepted > 0
    assert report.starts > 0


@pytest.mark.parametrize(
    ("seed", "play"),
    [
        # Guards against starts that were sent while the VM was down and reached the
        # next incarnation, and against leases that a successor expected to end early.
        (11, Play.RESTARTS),
        # Guards against tasks that are given up 5 s after such a start, while an
        # incarnation that was not heard of has them under its longest lease.
        (44001, Play.RESTARTS_UNLISTED),
        # Guards against ends that a late poll for the former incarnation drops.
        (61105, Play.LATE_POLLS),
    ],
)
def test_endpoints_that_restart_run_no_task_twice(seed, play, tmp_path):
    """Guards against second runs of tasks around a restart under the same id."""
    report = soak(seed, RESTART_PLAY_SECONDS, tmp_path, play=play)
    assert report.violations == [], "\n".join(report.lines())
    assert report.starts > 0


def test_seed_determines_the_injected_faults():
    assert draw_faults(7) == draw_faults(7)
    assert draw_restarts(7) == draw_restarts(7)
    assert draw_late_calls(7) == draw_late_calls(7)
    own_kinds = {FaultKind.ENDPOINT_DARK, FaultKind.CALLS_LATE}
    drawn = {fault.kind for seed in range(200) for fault in draw_faults(seed)}
    assert drawn == set(FaultKind) - own_kinds
    late = {fault.kind for seed in range(200) for fault in draw_late_calls(seed)}
    assert late == own_kinds | {FaultKind.KILL_COORDINATOR}


@pytest.mark.parametrize(
    ("zone", "token", "age_s", "found"),
    [
        ("north", 3, 0.0, False),
        ("north", 3, EVACUATION_GRACE_SECONDS + 1, True),
        ("north", 4, 0.0, True),
        ("south", 4, EVACUATION_GRACE_SECONDS + 1, False),
    ],
)
def test_starts_in_an_evacuated_zone_are_found(zone, token, age_s, found):
    checker, _ = new_checker()
    evacuation = Evacuation(time.monotonic() - age_s, epoch=3)
    checker.evacuations[Zone("north")] = evacuation
    endpoint = ObservedEndpoint(
        EndpointId("i"), 1, lambda key: 1.0, Size(4000, 8000), 1.0, checker, Zone(zone)
    )
    endpoint.start(TaskKey(JOB, 0, 0, 0), 1, "payload", 60_000, token)
    assert [one.split(":")[0] for one in checker.violations] == ["evacuated"] * found


@pytest.mark.parametrize(
    ("term", "age_s", "found"),
    [
        (3, 0.0, False),
        (3, EVACUATION_GRACE_SECONDS + 1, True),
        (4, 0.0, True),
    ],
)
def test_term_of_a_start_in_an_evacuated_zone_is_that_of_its_token(term, age_s, found):
    # Tokens of one term differ by the incarnation that a call is meant for.
    checker, _ = new_checker()
    zone = Zone("north")
    requested_at = time.monotonic() - age_s
    checker.evacuations[zone] = Evacuation(requested_at, epoch=3 * TOKENS_PER_TERM)
    endpoint = ObservedEndpoint(
        EndpointId("i"), 1, lambda key: 1.0, Size(4000, 8000), 1.0, checker, zone
    )
    token = endpoint_token(term * TOKENS_PER_TERM, 10)
    endpoint.start(TaskKey(JOB, 0, 0, 0), 1, "payload", 60_000, token)
    assert [one.split(":")[0] for one in checker.violations] == ["evacuated"] * found


def new_checker(limit: int = 9000) -> tuple[InvariantChecker, list[ObservedEndpoint]]:
    checker = InvariantChecker({TEAM: Size(limit)})
    steps = (
        Step(2, Size(1000, 100), max_per_endpoint=1),
        Step(1, Size(3500, 100), after=(0,)),
    )
    checker.jobs[JOB] = ObservedJob(JOB, TEAM, "payload", steps)
    endpoints = [
        ObservedEndpoint(
            EndpointId(f"i-{n}"), 1, lambda key: 100.0, Size(4000, 8000), 1.0, checker
        )
        for n in range(2)
    ]
    return checker, endpoints


def start(endpoint: ObservedEndpoint, step: int, index: int, attempt: int = 1, **more):
    key = TaskKey(JOB, 0, step, index)
    payload = more.get("payload", "payload")
    outcome = endpoint.start(key, attempt, payload, more.get("until_ms", 60_000), 1)
    assert outcome is StartOutcome.STARTED


def concurrent_starts(a, b):
    start(a, 0, 0)
    start(b, 0, 0, 2)


def second_start_after_a_recorded_end(a, b):
    start(a, 0, 0)
    a.advance(200)
    a.poll(1, 1, None)
    start(b, 0, 0, 2)


def second_start_before_the_end_is_recorded(a, b):
    start(a, 0, 0)
    a.advance(200)
    start(b, 0, 0, 2)
    a.poll(1, 1, None)


def second_start_after_an_expired_end(a, b):
    start(a, 0, 0, until_ms=2000)
    a.advance(200)
    a.advance(5000)
    start(b, 0, 0, 2)
    a.poll(1, 1, None)


def wrong_payload(a, b):
    start(a, 0, 0, payload="other")


def dependent_step_first(a, b):
    start(a, 1, 0)


def too_many_on_one_endpoint(a, b):
    start(a, 0, 0)
    start(a, 0, 1)


def steps_in_order(a, b):
    start(a, 0, 0)
    start(b, 0, 1)
    a.advance(200)
    b.advance(200)
    start(a, 1, 0)


@pytest.mark.parametrize(
    ("scenario", "violations"),
    [
        (concurrent_starts, ["twice"]),
        (second_start_after_a_recorded_end, ["twice"]),
        (second_start_before_the_end_is_recorded, ["twice"]),
        (second_start_after_an_expired_end, []),
        (wrong_payload, ["unasked"]),
        (dependent_step_first, ["order"]),
        (too_many_on_one_endpoint, ["spread"]),
        (steps_in_order, []),
    ],
)
def test_checker_detects_violations(scenario, violations):
    checker, (a, b) = new_checker()
    scenario(a, b)
    assert [line.split(":")[0] for line in checker.violations] == violations


@pytest.mark.parametrize(
    ("limit", "size", "same_endpoint", "violations"),
    [
        (9000, 2000, True, []),
        (9000, 2001, True, ["capacity"]),
        (9000, 2001, False, []),
        (1000, 2000, False, ["limit"]),
        (2000, 2000, False, []),
    ],
)
def test_checker_detects_exceeded_capacity_and_limits(
    limit, size, same_endpoint, violations
):
    """Limits have a tolerance of one tenth plus one task."""
    checker, (a, b) = new_checker(limit)
    checker.jobs[JOB] = ObservedJob(JOB, TEAM, "payload", (Step(2, Size(size, 100)),))
    start(a, 0, 0)
    start(a if same_endpoint else b, 0, 1)
    assert [line.split(":")[0] for line in checker.violations] == violations


@pytest.mark.parametrize(
    ("due_in_ms", "occurrence", "violations"),
    [
        (-100, 0, []),
        (200, 0, []),
        (5000, 0, ["order"]),
        (-100, 1, ["order"]),
        (-100, 2, ["unasked"]),
    ],
)
def test_checker_detects_starts_before_their_time(due_in_ms, occurrence, violations):
    checker, (a, _) = new_checker()
    first_ms = int(time.time() * 1000) + due_in_ms
    timing = Timing(repeats=3, first_ms=first_ms, period_ms=5000, due_count=2)
    steps = (Step(1, Size(100, 100)),)
    checker.jobs[JOB] = ObservedJob(JOB, TEAM, "payload", steps, timing)
    a.start(TaskKey(JOB, occurrence, 0, 0), 1, "payload", 60_000, 1)
    assert [line.split(":")[0] for line in checker.violations] == violations


@pytest.mark.parametrize(
    ("ended", "cancel_sent", "violations"),
    [(1, False, []), (2, False, ["budget"]), (2, True, [])],
)
def test_checker_detects_orders_that_overdraw_a_budget(ended, cancel_sent, violations):
    checker, _ = new_checker()
    step = Step(2, Size(1, 1), lasting=True, may_miss=1)
    job = ObservedJob(JOB, TEAM, "payload", (step,), cancel_sent=cancel_sent)
    checker.jobs[JOB] = job
    endpoint = ObservedEndpoint(
        EndpointId("i-9"), 1, lambda key: None, Size(9, 9), 1.0, checker
    )
    for index in range(ended):
        start(endpoint, 0, index)
    endpoint.advance(10)
    checker.note_ordered_away(endpoint)
    assert [line.split(":")[0] for line in checker.violations] == violations


def test_checker_detects_a_timed_job_that_is_completed_too_early():
    checker, _ = new_checker()
    timing = Timing(repeats=3, first_ms=0, period_ms=0, due_count=0)
    job = ObservedJob(JOB, TEAM, "payload", (Step(1, Size(1, 1)),), timing)
    checker.note_state(job, "completed")
    assert [line.split(":")[0] for line in checker.violations] == ["state"]
