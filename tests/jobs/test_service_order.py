"""Plays an overload with both orders of service, and compares what callers get."""

import msgspec
import pytest

from hickoryplank.core.ids import JobId, PoolId, QueueId
from hickoryplank.jobs.configuration import Configuration, QueueTerms
from hickoryplank.jobs.model import Job, Step
from hickoryplank.jobs.service_order import serve_order, waiting_priorities
from hickoryplank.jobs.shortage import ShortageOrder
from hickoryplank.jobs.sizes import Size
from hickoryplank.jobs.table import JobRow
from tests.jobs.driver import POOL, TASK, Driver, configuration, job
from tests.jobs.fleet_play import TEAM, FleetPlay, Turn, play_turns

NORTH, COAST = PoolId("north"), PoolId("coast")
SEEDS = (1, 2, 3)


class Outcome(msgspec.Struct, frozen=True):
    """What callers got.

    :param in_time: share of the jobs that met their objective.
    :param large_in_time: the same among the tenth with the most work.
    :param median_s: time that half of the jobs took at most, in seconds.
    :param all_done: whether every job was completed.
    """

    in_time: float
    large_in_time: float
    median_s: float
    all_done: bool


def play(order: ShortageOrder, jobs_per_s: float, seed: int) -> Outcome:
    """Play two queues that ask for more than the fleet holds, one after the other."""
    fleet = FleetPlay({NORTH: 12, COAST: 12}, standby=4, max_moves=31, order=order)
    turns = [
        Turn(NORTH, 0.0, 1.0, 5.0, jobs_per_s),
        Turn(COAST, 6.0, 1.0, 5.0, jobs_per_s),
    ]
    play_turns(fleet, turns, for_s=14.0, seed=seed)
    met = fleet.in_time()
    rows = sorted(fleet.engine.jobs.values(), key=_work)
    large = [met[row.job.id] for row in rows[-len(rows) // 10 :]]
    took_s = sorted(fleet.took_s(row.job.id) for row in rows)
    return Outcome(
        sum(met.values()) / len(met),
        sum(large) / len(large),
        took_s[len(took_s) // 2],
        all(row.state.final for row in rows),
    )


def _work(row: JobRow) -> int:
    return sum(step.count * step.size.cpu * step.estimate_ms for step in row.job.steps)


@pytest.mark.parametrize("jobs_per_s", [8.0, 16.0])
def test_more_callers_are_in_time_when_the_cheapest_are_delayed(jobs_per_s):
    by_deadline = [play(ShortageOrder.DEADLINE, jobs_per_s, seed) for seed in SEEDS]
    by_cost = [play(ShortageOrder.LEAST_COST, jobs_per_s, seed) for seed in SEEDS]

    def mean(outcomes: list[Outcome], field: str) -> float:
        return sum(getattr(one, field) for one in outcomes) / len(outcomes)

    assert mean(by_cost, "in_time") >= mean(by_deadline, "in_time")
    assert mean(by_cost, "median_s") <= mean(by_deadline, "median_s")
    assert mean(by_cost, "large_in_time") >= 0.5 * mean(by_cost, "in_time")
    assert all(one.all_done for one in by_cost)


def order_of(driver: Driver) -> list[JobId]:
    """Return the order of service of the driver's waiting jobs."""
    engine = driver.engine
    rows = list(engine.open_jobs.values())
    for row in rows:
        row.open_due_occurrences(driver.wall_ms)
    endpoints = [one for one in engine.endpoints.values() if one.usable(driver.now)]
    ordered = serve_order(engine, POOL, rows, endpoints, driver.now)
    return [row.job.id for row in ordered]


@pytest.mark.parametrize(
    "order, expected",
    [
        (ShortageOrder.DEADLINE, ["large", "s0", "s1", "s2"]),
        (ShortageOrder.LEAST_COST, ["s0", "s1", "s2", "large"]),
    ],
)
def test_the_settings_choose_the_order_in_a_shortage(order, expected):
    driver = Driver(count=1, cfg=weighty_configuration())
    driver.step()
    driver.engine.shortage_order = order
    driver.engine.submit(job("large", Step(12, TASK, 1000)), driver.now)
    for number in range(3):
        driver.engine.submit(job(f"s{number}", Step(2, TASK, 1000)), driver.now)
    assert order_of(driver) == expected


@pytest.mark.parametrize("order", list(ShortageOrder))
def test_both_orders_are_the_same_with_enough_room(order):
    driver = Driver(count=8, cfg=weighty_configuration())
    driver.step()
    driver.engine.shortage_order = order
    driver.engine.submit(job("large", Step(12, TASK, 1000)), driver.now)
    driver.engine.submit(job("s", Step(2, TASK, 500)), driver.now)
    assert order_of(driver) == ["large", "s"]


def test_lasting_jobs_come_first_and_those_beyond_the_share_after_the_others():
    driver = Driver(count=1)
    driver.engine.shortage_order = ShortageOrder.LEAST_COST
    driver.step()
    big = Step(12, TASK, 1000)
    for id, step in [("a", big), ("b", big), ("c", Step(1, TASK, lasting=True))]:
        driver.engine.submit(job(id, step), driver.now)
    driver.engine.jobs[JobId("a")].over_share = True
    driver.engine.jobs[JobId("b")].over_share = False
    assert order_of(driver) == ["c", "b", "a"]


@pytest.mark.parametrize(
    "order, first",
    [(ShortageOrder.DEADLINE, NORTH), (ShortageOrder.LEAST_COST, COAST)],
)
def test_the_only_vm_in_standby_goes_to_the_more_urgent_queue(order, first):
    """The less urgent queue lacks more VMs."""
    fleet = FleetPlay({NORTH: 3, COAST: 3}, standby=1, max_moves=1, order=order)
    cfg = fleet.engine.configuration
    queues = [
        msgspec.structs.replace(queue, priority=1 if queue.pool == NORTH else 0)
        for queue in cfg.queues.values()
    ]
    fleet.engine.configuration = Configuration.build(
        2, queues, list(cfg.pools.values()), list(cfg.teams.values())
    )
    fleet.step()
    for pool, count in ((NORTH, 100), (COAST, 60)):
        step = Step(count, Size(2000, 4000, 0), 5000)
        new = msgspec.structs.replace(
            job(pool, step), queue=QueueId(pool), pool=pool, team=TEAM
        )
        fleet.engine.submit(new, fleet.now)
    while not fleet.table.operations():
        fleet.step()
    (operation,) = fleet.table.operations()
    assert operation.pool == first


def weighty_configuration():
    """Return a configuration whose team may submit several jobs at once."""
    cfg = configuration(limit=Size())
    teams = {
        id: msgspec.structs.replace(team, weight=100.0)
        for id, team in cfg.teams.items()
    }
    return msgspec.structs.replace(cfg, teams=teams)


def less_urgent(id: str, step: Step) -> Job:
    return msgspec.structs.replace(
        job(id, step), queue=QueueId("other"), terms=QueueTerms(priority=1)
    )


def test_the_largest_jobs_are_not_spared_at_the_cost_of_more_urgent_ones():
    driver = Driver(count=1, cfg=weighty_configuration())
    driver.step()
    driver.engine.shortage_order = ShortageOrder.LEAST_COST
    terms = QueueTerms(priority=1, slack_ms=600)
    for number in range(2):
        large = less_urgent(f"large{number}", Step(3, TASK, 1000))
        large = msgspec.structs.replace(large, terms=terms)
        driver.engine.submit(large, driver.now)
    urgent = [f"s{number}" for number in range(18)]
    for id in urgent:
        driver.engine.submit(job(id, Step(1, TASK, 1000)), driver.now)
    assert order_of(driver)[: len(urgent)] == urgent


def test_a_caller_that_came_back_is_served_before_newcomers_also_once_it_is_late():
    driver = Driver(count=1, cfg=weighty_configuration())
    driver.step()
    driver.engine.shortage_order = ShortageOrder.LEAST_COST
    back = driver.engine.submit(job("back", Step(12, TASK, 1000)), driver.now)
    back.returned = True
    driver.now += 2.0
    for number in range(6):
        driver.engine.submit(job(f"s{number}", Step(2, TASK, 1000)), driver.now)
    assert order_of(driver)[0] == "back"


def test_pools_with_waiting_lasting_jobs_are_as_urgent_as_these():
    driver = Driver(count=1, cfg=weighty_configuration())
    driver.step()
    driver.engine.shortage_order = ShortageOrder.LEAST_COST
    driver.engine.submit(job("l", Step(12, TASK, lasting=True)), driver.now)
    driver.step()
    assert waiting_priorities(driver.engine, driver.now) == {POOL: 0}
