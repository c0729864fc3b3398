"""Plays turns of demand, and compares what callers get with simpler rules."""

import pytest

from hickoryplank.core.ids import PoolId
from hickoryplank.jobs import arrivals, rebalancing
from tests.jobs.fleet_play import FleetPlay, Turn, play_turns

NORTH, COAST = PoolId("north"), PoolId("coast")
#: The demand of one queue falls while that of the other rises, over four seconds.
TURNS = [Turn(NORTH, 0.0, 2.0, 5.0, 26.0), Turn(COAST, 8.0, 4.0, 4.0, 26.0)]


#: Few long jobs of one queue make its demand look larger than it becomes, while that of
#: the other queue rises.
OVERLOAD = [
    Turn(NORTH, 0.0, 1.0, 3.0, 5.0, run_ms=(3000, 5000)),
    Turn(COAST, 1.0, 1.0, 4.0, 20.0),
]


def play(seed: int, max_moves: int, turns: list[Turn] = TURNS) -> float:
    """Return the share of the second queue's jobs that were in time."""
    fleet = FleetPlay({NORTH: 24, COAST: 24}, standby=4, max_moves=max_moves)
    play_turns(fleet, turns, for_s=20.0, seed=seed)
    met = [met for id, met in fleet.in_time().items() if id.startswith(COAST)]
    return sum(met) / len(met)


def use_former_rule(monkeypatch) -> None:
    """Expect jobs as if all came at once, and keep idle VMs for them."""

    def expected_load(rates, pool, present, now, lead_s):
        return present.maximum(rates.offered_load(pool, now, lead_s))

    monkeypatch.setattr(arrivals.ArrivalRates, "expected_load", expected_load)
    monkeypatch.setattr(rebalancing, "_take_idle_vm", lambda *args: None)


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_forecast_and_direct_moves_serve_more_callers_of_a_rising_queue(
    seed, monkeypatch
):
    share = play(seed, max_moves=31)
    use_former_rule(monkeypatch)
    monkeypatch.setattr(arrivals, "ENOUGH_ARRIVALS", 10**6)
    monkeypatch.setattr(rebalancing, "_take_surplus_vm", lambda *args: None)
    former_share = play(seed, max_moves=8)
    assert share > former_share


def test_vms_that_a_queue_only_expects_to_need_serve_the_tasks_that_wait(monkeypatch):
    shares = [play(seed, max_moves=31, turns=OVERLOAD) for seed in range(1, 7)]
    use_former_rule(monkeypatch)
    former_shares = [play(seed, max_moves=31, turns=OVERLOAD) for seed in range(1, 7)]
    assert sum(shares) > sum(former_shares)
