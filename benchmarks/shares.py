"""Distance of teams from their entitlements, and time in which lent shares return.

Four teams demand more than their shares of five full pools, and one of them floods
the pools. Mean run times differ by a factor of ten. All teams declare a size of one
unit, but the runs of one team take four.
"""

from collections.abc import Iterator
from random import Random

from benchmarks.dispatcher import (
    ClusterState,
    Dispatcher,
    DispatchStats,
    Policy,
    StartOrder,
    Team,
)
from benchmarks.fake import SLOTS, EventLoop, Stream, arrivals, make_workers
from benchmarks.figure import Figure
from hickoryplank.core.objects import WorkClass
from hickoryplank.core.shares import ShareMeter, TeamDemand, entitlements

__all__ = ["figures"]

SEEDS = (20261204, 20261205)
POOLS = ("norte", "claro", "costa", "color", "socios")
VMS_PER_POOL = 6
CAPACITY = float(len(POOLS) * VMS_PER_POOL * SLOTS)
WARM_UP_SECONDS = 15.0
END_SECONDS = 40.0
DISTANCE_TARGET_PERCENT = 2.0
RETURN_TARGET_SECONDS = 1.6
DEADLINE_SECONDS = 120.0
#: Demand of a team as a multiple of its share of the fleet.
CROWDED_DEMAND, FLOOD_DEMAND = 1.3, 5.0
TEAMS = {
    "rutas": Team(40.0, 200),
    "pagos": Team(30.0, 60),
    "precios": Team(20.0, 40),
    "socios": Team(10.0, 300),
}
#: Work class, mean run time in seconds, true size in units and demand of each team.
TEAM_WORK = {
    "rutas": (WorkClass.URGENT, 0.3, 1.0, CROWDED_DEMAND),
    "pagos": (WorkClass.BATCH, 3.0, 4.0, CROWDED_DEMAND),
    "precios": (WorkClass.URGENT, 0.5, 1.0, FLOOD_DEMAND),
    "socios": (WorkClass.BATCH, 1.0, 1.0, CROWDED_DEMAND),
}

BASELINE_SWITCHES = {"preempt": False, "learn_sizes": False}
ARRIVAL_POLICY = Policy(order=StartOrder.ARRIVAL, **BASELINE_SWITCHES)
PRIORITY_POLICY = Policy(order=StartOrder.PRIORITY, **BASELINE_SWITCHES)


class FleetSimulation:
    """Simulation of all pools, with one dispatcher each, and its measurements."""

    def __init__(
        self, policy: Policy, streams: list[Stream], seed: int = SEEDS[0]
    ) -> None:
        self.loop = EventLoop()
        self.cluster = ClusterState(self.loop, TEAMS, CAPACITY)
        self.stats = DispatchStats()
        self.meter = ShareMeter()
        self.samples_over_limit = 0
        self.distances: list[float] = []
        self._entitled_units = _entitled_units()
        self.dispatchers = {}
        for number, pool in enumerate(POOLS):
            workers = make_workers(self.loop, pool, VMS_PER_POOL)
            rng = Random(seed + number)
            self.dispatchers[pool] = Dispatcher(
                self.loop, pool, workers, self.cluster, policy, rng, self.stats
            )
        for number, stream in enumerate(streams):
            self._schedule_arrivals(stream, Random(seed + 100 + number))
        self.loop.call_every(0.05, self._observe)

    def running_units(self) -> dict[str, float]:
        """Return the true size of the running work of each team, in units."""
        return {t: self.cluster.runs[t] * TEAM_WORK[t][2] for t in TEAMS}

    def _schedule_arrivals(self, stream: Stream, rng: Random) -> None:
        max_rate = max(stream.rate(0.0), stream.rate(END_SECONDS / 2))
        dispatcher = self.dispatchers[stream.pool]
        for job in arrivals(stream, rng, max_rate, END_SECONDS):
            self.loop.call_at(job.item.arrived, lambda job=job: dispatcher.submit(job))

    def _observe(self) -> None:
        self.meter.observe(self.loop.now, self.running_units(), self._entitled_units)
        self.samples_over_limit += sum(
            self.cluster.runs[name] > team.limit for name, team in TEAMS.items()
        )
        if self.loop.now >= WARM_UP_SECONDS + 10:
            self.distances.append(100 * self.meter.max_distance() / CAPACITY)


def _entitled_units() -> dict[str, float]:
    """Return the entitlements in units when each team demands the whole fleet."""
    rows = (
        TeamDemand(
            team=name,
            weight=team.weight,
            limit=team.limit * TEAM_WORK[name][2],
            demand=CAPACITY,
        )
        for name, team in TEAMS.items()
    )
    return entitlements(rows, CAPACITY)


def _stream(team: str, pool: str, demand_factor: float, start: float = 0.0) -> Stream:
    work_class, seconds, units, _ = TEAM_WORK[team]
    share_units = CAPACITY / len(POOLS) * TEAMS[team].weight / 100
    rate = demand_factor * share_units / (seconds * units)
    return Stream(
        queue=f"{team}-{pool}",
        pool=pool,
        team=team,
        work_class=work_class,
        rate=lambda now: rate if now >= start else 0.0,
        run_seconds=seconds,
        deadline=DEADLINE_SECONDS,
        units=units,
    )


def _simulate_crowded(policy: Policy, seed: int = SEEDS[0]) -> FleetSimulation:
    streams = [_stream(t, p, TEAM_WORK[t][3]) for t in TEAMS for p in POOLS]
    fleet = FleetSimulation(policy, streams, seed)
    fleet.loop.run(END_SECONDS)
    return fleet


def _return_seconds(policy: Policy, borrower: str, demand_factor: float) -> float:
    """Return the time until a returning team runs 95% of its share, in seconds.

    :param borrower: team that runs on the share until then.
    :param demand_factor: demand of that team, as a multiple of its own share.
    """
    return_at = 20.0
    streams = [_stream(borrower, p, demand_factor) for p in POOLS]
    streams += [_stream("rutas", p, 2.0, start=return_at) for p in POOLS]
    fleet = FleetSimulation(policy, streams)
    share = CAPACITY * TEAMS["rutas"].weight / 100
    fleet.loop.run(return_at)
    while fleet.loop.now < END_SECONDS:
        fleet.loop.run(fleet.loop.now + 0.02)
        if fleet.running_units()["rutas"] >= 0.95 * share:
            return fleet.loop.now - return_at
    return END_SECONDS - return_at


def figures() -> Iterator[Figure]:
    """Yield distances from entitlements, and times in which lent shares return."""
    fleets = [_simulate_crowded(Policy(), seed) for seed in SEEDS]
    first_fleet = fleets[0]
    worst = max(max(fleet.distances) for fleet in fleets)
    for name, baseline in (("arrival", ARRIVAL_POLICY), ("priority", PRIORITY_POLICY)):
        yield Figure(
            name=f"shares.distance_worst_10s.vs_{name}",
            value=round(worst, 2),
            unit="% of fleet",
            target=DISTANCE_TARGET_PERCENT,
            baseline=round(max(_simulate_crowded(baseline).distances), 2),
        )
    for team in TEAMS:
        yield Figure(
            name=f"shares.distance_at_end.{team}",
            value=round(100 * first_fleet.meter.distance(team) / CAPACITY, 2),
            unit="% of fleet",
        )
    yield Figure(
        name="shares.samples_over_limit",
        value=sum(fleet.samples_over_limit for fleet in fleets),
        unit="samples",
        target=0,
    )
    for borrower, demand_factor in (("pagos", 5.0), ("socios", 12.0)):
        seconds = _return_seconds(Policy(), borrower, demand_factor)
        for name, baseline in (
            ("arrival", ARRIVAL_POLICY),
            ("priority", PRIORITY_POLICY),
        ):
            yield Figure(
                name=f"shares.return_from_{borrower}.vs_{name}",
                value=round(seconds, 2),
                unit="s",
                target=RETURN_TARGET_SECONDS,
                baseline=round(_return_seconds(baseline, borrower, demand_factor), 2),
            )
