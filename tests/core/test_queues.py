"""Tests of queues: order of starts, load shedding, cancellation and expiry."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from hickoryplank.core.objects import WorkClass
from hickoryplank.core.queues import (
    MAX_BATCH_STARVATION_SECONDS,
    BacklogLimits,
    WorkItem,
    WorkQueues,
)

URGENT, BATCH = WorkClass.URGENT, WorkClass.BATCH
SHARES = {"rutas": 60.0, "precios": 30.0, "pagos": 10.0}
TEAMS = st.sampled_from([*SHARES, "sin-cuota"])


def work(name, team="rutas", work_class=URGENT, deadline=100.0, pool="p"):
    return WorkItem(
        request=name,
        task=f"task-{name}",
        team=team,
        queue="q",
        pool=pool,
        work_class=work_class,
        arrived=0.0,
        deadline=deadline,
    )


def drain(queues, may_start=lambda team: True, running=None, now=0.0):
    running = {} if running is None else running
    picked = []
    while item := queues.pop_next("p", SHARES, running, may_start, now):
        running[item.team] = running.get(item.team, 0) + 1
        picked.append(item)
    return picked


STEPS = st.lists(
    st.one_of(
        st.tuples(
            st.just("push"),
            TEAMS,
            st.sampled_from(WorkClass),
            st.integers(1, 30),
        ),
        st.tuples(st.just("cancel"), st.integers(0, 40)),
        st.tuples(st.just("expire"), st.integers(0, 30)),
        st.tuples(st.just("pick")),
    ),
    max_size=60,
)


@given(STEPS)
def test_each_item_leaves_once_and_never_after_it_was_cancelled(steps):
    queues = WorkQueues(BacklogLimits(urgent=6, batch=6))
    waiting, left, now, names = {}, [], 0.0, iter(range(100))
    for step in steps:
        match step:
            case ("push", team, work_class, deadline):
                item = work(f"r{next(names)}", team, work_class, now + deadline)
                waiting[item.request] = item
                victim = queues.push(item, SHARES)
                gone = [victim] if victim else []
            case ("cancel", number):
                cancelled = queues.cancel(f"r{number}")
                assert (cancelled is not None) == (f"r{number}" in waiting)
                gone = [cancelled] if cancelled else []
            case ("expire", seconds):
                now += seconds
                gone = queues.expire(now)
                late = {r for r, i in waiting.items() if i.deadline <= now}
                assert {item.request for item in gone} == late
            case _:
                item = queues.pop_next("p", SHARES, {}, lambda team: True, now)
                assert (item is None) == (not waiting)
                gone = [item] if item else []
        for item in gone:
            assert waiting.pop(item.request) == item
            left.append(item.request)
        assert len(queues) == len(waiting)
        for work_class in WorkClass:
            assert sum(queues.waiting_counts("p", work_class).values()) <= 6
    assert len(left) == len(set(left))


@given(
    st.lists(TEAMS, min_size=1, max_size=40), st.dictionaries(TEAMS, st.integers(0, 5))
)
def test_no_team_passes_what_it_may_start_and_nothing_else_is_left(teams, units):
    queues, running = WorkQueues(), {}
    for number, team in enumerate(teams):
        queues.push(work(f"r{number}", team), SHARES)
    drain(queues, lambda team: running.get(team, 0) < units.get(team, 0), running)
    for team in set(teams):
        assert running.get(team, 0) == min(teams.count(team), units.get(team, 0))


@given(st.integers(1, 60))
def test_picks_follow_the_shares(picks):
    queues = WorkQueues()
    for number in range(60):
        for team in SHARES:
            queues.push(work(f"{team}-{number}", team), SHARES)
    running = {team: 0 for team in SHARES}
    for _ in range(picks):
        item = queues.pop_next("p", SHARES, running, lambda team: True, 0.0)
        running[item.team] += 1
    for team, share in SHARES.items():
        assert abs(running[team] - picks * share / 100) <= 1.0


@pytest.mark.parametrize(
    ("running", "first"),
    [
        ({"rutas": 5, "pagos": 10}, "rutas"),
        ({"rutas": 10, "pagos": 5}, "pagos"),
        ({"rutas": 5, "pagos": 5}, "rutas"),
        ({"rutas": 10, "pagos": 10}, "rutas"),
    ],
)
def test_team_below_entitlement_precedes_urgent_work_of_borrowing_team(running, first):
    queues, due = WorkQueues(), {"rutas": 10.0, "pagos": 10.0}
    queues.push(work("batch", "pagos", BATCH), SHARES)
    queues.push(work("urgent"), SHARES)
    item = queues.pop_next("p", SHARES, running, lambda team: True, 0.0, due)
    assert item.team == first


def test_items_of_a_team_are_fifo_and_requeue_keeps_the_position():
    queues = WorkQueues()
    for name in "abc":
        queues.push(work(name), SHARES)
    first = queues.pop_next("p", SHARES, {}, lambda team: True, 0.0)
    queues.requeue(first)
    assert [item.request for item in drain(queues)] == ["a", "b", "c"]


@pytest.mark.parametrize(
    ("waited", "first"),
    [
        (0.0, URGENT),
        (MAX_BATCH_STARVATION_SECONDS / 2, URGENT),
        (MAX_BATCH_STARVATION_SECONDS, BATCH),
    ],
)
def test_batch_work_starves_for_a_bounded_time(waited, first):
    queues = WorkQueues()
    queues.push(work("batch", "pagos", BATCH), SHARES)
    for number in range(4):
        queues.push(work(f"urgent-{number}"), SHARES)
    start = queues.pop_next("p", SHARES, {}, lambda team: True, 5.0)
    assert start.work_class is URGENT
    item = queues.pop_next("p", SHARES, {}, lambda team: True, 5.0 + waited)
    assert item.work_class is first


@pytest.mark.parametrize(
    ("waiting", "new", "victim"),
    [
        (["rutas", "pagos"], "rutas", "pagos-1"),
        (["rutas", "rutas"], "rutas", "rutas-2"),
        (["pagos", "pagos"], "rutas", "pagos-1"),
        (["rutas", "rutas"], "pagos", "pagos-2"),
    ],
)
def test_team_with_largest_backlog_relative_to_its_share_is_shed(waiting, new, victim):
    queues = WorkQueues(BacklogLimits(urgent=2, batch=0))
    for number, team in enumerate(waiting):
        assert queues.push(work(f"{team}-{number}", team), SHARES) is None
    assert queues.push(work(f"{new}-2", new), SHARES).request == victim


def test_a_batch_backlog_never_sheds_urgent_work():
    queues = WorkQueues(BacklogLimits(urgent=1, batch=1))
    assert queues.push(work("u"), SHARES) is None
    assert queues.push(work("b1", "pagos", BATCH), SHARES) is None
    assert queues.push(work("b2", "pagos", BATCH), SHARES).request == "b2"


def test_stale_heap_entries_are_dropped():
    queues = WorkQueues()
    for number in range(5000):
        queues.push(work(f"r{number}", deadline=1e6), SHARES)
        queues.cancel(f"r{number}")
    assert queues.next_deadline() is None
