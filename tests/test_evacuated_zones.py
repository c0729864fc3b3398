"""Test of the evacuation of an availability zone, with real processes."""

import json
from concurrent.futures import ThreadPoolExecutor

from tests.fleet import Fleet

VMS = 6
REQUESTS = 24
ZONE = Fleet.zones[0]


def starts(fleet: Fleet) -> dict[str, int]:
    """Return the number of tasks started on the workers, by zone."""
    found = dict.fromkeys(fleet.zones, 0)
    for i, worker in enumerate(fleet.workers):
        res = fleet.client.get(f"http://{worker.address}/effects")
        found[fleet.zones[i % len(fleet.zones)]] += sum(
            res.json()["did"]["starts"].values()
        )
    return found


def submit_all(fleet: Fleet) -> set[str]:
    """Submit work through every entry at once; return the zones that got some of it."""
    before = starts(fleet)

    def submit(number: int) -> int:
        entry = number % len(fleet.entries)
        if number % 2:
            return fleet.submit(entry, "rondas", b"x").status_code
        key = f"{sum(before.values())}-{number}"
        return fleet.submit(entry, "pagos", b"x", Idempotency_Key=key).status_code

    with ThreadPoolExecutor(REQUESTS) as pool:
        assert set(pool.map(submit, range(REQUESTS))) == {200}
    return {zone for zone, count in starts(fleet).items() if count > before[zone]}


def evacuated(fleet: Fleet, entry: int) -> list[str]:
    shown = fleet.cli("zone", "list", "--format", "json", entry=entry)
    assert shown.returncode == 0, shown.stderr
    zones = json.loads(shown.stdout)["zones"]
    return [view["zone"] for view in zones if view["evacuated"]]


def test_evacuated_zone_gets_no_work_until_it_is_restored(tmp_path):
    with Fleet(tmp_path) as fleet:
        fleet.start(workers=VMS, seconds=0.3)
        fleet.publish(fleet.objects(budget=1))
        assert submit_all(fleet) == set(fleet.zones)
        for _ in range(2):
            done = fleet.cli("zone", "evacuate", ZONE, "--wait")
            assert done.returncode == 0, done.stderr
        assert submit_all(fleet) == set(fleet.zones) - {ZONE}
        fleet.entries[1].kill()
        fleet.replace(1)
        fleet.wait_ready()
        assert all(evacuated(fleet, entry) == [ZONE] for entry in range(3))
        assert submit_all(fleet) == set(fleet.zones) - {ZONE}
        refused = fleet.cli("zone", "evacuate", "penco", "--wait")
        assert (refused.returncode, "'penco' has no VM" in refused.stderr) == (1, True)
        done = fleet.cli("zone", "restore", ZONE, "--wait")
        assert done.returncode == 0, done.stderr
        assert submit_all(fleet) == set(fleet.zones)
