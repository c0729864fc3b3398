"""Distance of teams from their entitlements, and time in which lent shares return.

Four teams demand more than their shares of five full pools, and one of them floods
the pools. Mean run times differ by a factor of ten. All teams declare a size of one
unit, but the runs of one team take four.
"""

from collections.abc import Iterator
from random import Random

from benchmarks.dispatcher import Board, Dispatcher, Order, Policy, Report, Team
from benchmarks.fake import SLOTS, Loop, Stream, arrivals, make_workers
from benchmarks.figure import Figure
from hickoryplank.core.objects import WorkClass
from hickoryplank.core.shares import ShareMeter, TeamDemand, entitlements

__all__ = ["figures"]

SEEDS = (20261204, 20261205)
POOLS = ("norte", "claro", "costa", "color", "socios")
VMS_PER_POOL = 6
CAPACITY = float(len(POOLS) * VMS_PER_POOL * SLOTS)
STEADY_SECONDS = 15.0
END_SECONDS = 40.0
DISTANCE_TARGET_PERCENT = 2.0
RETURN_TARGET_SECONDS = 1.6
DEADLINE_SECONDS = 120.0
#: Demand of a team as a multiple of its share of the fleet.
CROWDED, FLOOD = 1.3, 5.0
TEAMS = {
    "rutas": Team(40.0, 200),
    "pagos": Team(30.0, 60),
    "precios": Team(20.0, 40),
    "socios": Team(10.0, 300),
}
#: Work class, mean run time in seconds, true size in units and demand of each team.
WORK = {
    "rutas": (WorkClass.URGENT, 0.3, 1.0, CROWDED),
    "pagos": (WorkClass.BATCH, 3.0, 4.0, CROWDED),
    "precios": (WorkClass.URGENT, 0.5, 1.0, FLOOD),
    "socios": (WorkClass.BATCH, 1.0, 1.0, CROWDED),
}

BASELINE = {"preempt": False, "learn_sizes": False}
ARRIVAL = Policy(order=Order.ARRIVAL, **BASELINE)
PRIORITY = Policy(order=Order.PRIORITY, **BASELINE)


class Fleet:
    """Simulation of all pools, with one dispatcher each, and its measurements."""

    def __init__(
        self, policy: Policy, streams: list[Stream], seed: int = SEEDS[0]
    ) -> None:
        self.loop = Loop()
        self.board = Board(self.loop, TEAMS, CAPACITY)
        self.report = Report()
        self.meter = ShareMeter()
        self.over_limit = 0
        self.distances: list[float] = []
        self._due = _due()
        self.owners = {}
        for number, pool in enumerate(POOLS):
            workers = make_workers(self.loop, pool, VMS_PER_POOL)
            rng = Random(seed + number)
            self.owners[pool] = Dispatcher(
                self.loop, pool, workers, self.board, policy, rng, self.report
            )
        for number, stream in enumerate(streams):
            self._feed(stream, Random(seed + 100 + number))
        self.loop.every(0.05, self._observe)

    def running(self) -> dict[str, float]:
        """Return the true size of the running work of each team, in units."""
        return {t: self.board.runs[t] * WORK[t][2] for t in TEAMS}

    def _feed(self, stream: Stream, rng: Random) -> None:
        top = max(stream.rate(0.0), stream.rate(END_SECONDS / 2))
        owner = self.owners[stream.pool]
        for job in arrivals(stream, rng, top, END_SECONDS):
            self.loop.at(job.item.arrived, lambda job=job: owner.submit(job))

    def _observe(self) -> None:
        self.meter.observe(self.loop.now, self.running(), self._due)
        self.over_limit += sum(
            self.board.runs[name] > team.limit for name, team in TEAMS.items()
        )
        if self.loop.now >= STEADY_SECONDS + 10:
            self.distances.append(100 * self.meter.max_distance() / CAPACITY)


def _due() -> dict[str, float]:
    """Return the entitlement of each team, in units, when demand exceeds them all."""
    rows = (
        TeamDemand(
            team=name,
            weight=team.weight,
            limit=team.limit * WORK[name][2],
            demand=CAPACITY,
        )
        for name, team in TEAMS.items()
    )
    return entitlements(rows, CAPACITY)


def _stream(team: str, pool: str, factor: float, start: float = 0.0) -> Stream:
    work_class, seconds, units, _ = WORK[team]
    part = CAPACITY / len(POOLS) * TEAMS[team].weight / 100
    rate = factor * part / (seconds * units)
    return Stream(
        queue=f"{team}-{pool}",
        pool=pool,
        team=team,
        work_class=work_class,
        rate=lambda now: rate if now >= start else 0.0,
        seconds=seconds,
        deadline=DEADLINE_SECONDS,
        units=units,
    )


def _crowded(policy: Policy, seed: int = SEEDS[0]) -> Fleet:
    streams = [_stream(t, p, WORK[t][3]) for t in TEAMS for p in POOLS]
    fleet = Fleet(policy, streams, seed)
    fleet.loop.run(END_SECONDS)
    return fleet


def _return_seconds(policy: Policy, lender: str, factor: float) -> float:
    """Return the time until a returning team runs 95% of its share, in seconds.

    :param lender: team that runs on the share until then.
    :param factor: demand of that team, as a multiple of its own share.
    """
    back = 20.0
    streams = [_stream(lender, p, factor) for p in POOLS]
    streams += [_stream("rutas", p, 2.0, start=back) for p in POOLS]
    fleet = Fleet(policy, streams)
    share = CAPACITY * TEAMS["rutas"].weight / 100
    fleet.loop.run(back)
    while fleet.loop.now < END_SECONDS:
        fleet.loop.run(fleet.loop.now + 0.02)
        if fleet.running()["rutas"] >= 0.95 * share:
            return fleet.loop.now - back
    return END_SECONDS - back


def figures() -> Iterator[Figure]:
    """Yield distances from entitlements, and times in which lent shares return."""
    fleets = [_crowded(Policy(), seed) for seed in SEEDS]
    ours = fleets[0]
    worst = max(max(fleet.distances) for fleet in fleets)
    for name, baseline in (("arrival", ARRIVAL), ("priority", PRIORITY)):
        yield Figure(
            name=f"shares.distance_worst_10s.vs_{name}",
            value=round(worst, 2),
            unit="% of fleet",
            target=DISTANCE_TARGET_PERCENT,
            baseline=round(max(_crowded(baseline).distances), 2),
        )
    for team in TEAMS:
        yield Figure(
            name=f"shares.distance_at_end.{team}",
            value=round(100 * ours.meter.distance(team) / CAPACITY, 2),
            unit="% of fleet",
        )
    yield Figure(
        name="shares.samples_over_limit",
        value=sum(fleet.over_limit for fleet in fleets),
        unit="samples",
        target=0,
    )
    for lender, factor in (("pagos", 5.0), ("socios", 12.0)):
        seconds = _return_seconds(Policy(), lender, factor)
        for name, baseline in (("arrival", ARRIVAL), ("priority", PRIORITY)):
            yield Figure(
                name=f"shares.return_from_{lender}.vs_{name}",
                value=round(seconds, 2),
                unit="s",
                target=RETURN_TARGET_SECONDS,
                baseline=round(_return_seconds(baseline, lender, factor), 2),
            )
