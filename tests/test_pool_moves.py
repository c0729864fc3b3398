"""Test that VMs move between pools with demand, with real processes."""

import json
import threading

import httpx

from tests.fleet import KEY, Fleet, digest, wait_until

SLOTS = 2
CALLERS = 10


def two_pools(fleet: Fleet) -> str:
    """Return objects in INI form: a busy pool of two VMs and a spare pool."""
    text = f"""
[pool rondas-norte]
min_available = 1
[pool socios]
spare = yes
[team rutas]
[share rutas]
percent = 60
[limit rutas]
units = 40
[key rutas-1]
team = rutas
digest = {digest(KEY)}
[queue rondas]
pool = rondas-norte
"""
    for i, worker in enumerate(fleet.workers):
        text += f"""
[endpoint vm-{i}]
address = {worker.address}
pool = {"rondas-norte" if i < 2 else "socios"}
zone = {fleet.zones[i % len(fleet.zones)]}
rack = rack-{i}
slots = {SLOTS}
"""
    return text


def pool_sizes(fleet: Fleet) -> dict[str, int]:
    """Return the number of VMs by pool, and check that no VM is missing."""
    shown = fleet.cli("status", "--format", "json")
    assert shown.returncode == 0, shown.stderr
    sizes = {row["pool"]: row["vms"] for row in json.loads(shown.stdout)["pools"]}
    assert sum(sizes.values()) == len(fleet.workers)
    return sizes


def test_vms_follow_demand_into_the_busy_pool(tmp_path):
    with Fleet(tmp_path) as fleet:
        fleet.start(workers=5, slots=SLOTS, seconds=0.3)
        fleet.publish(two_pools(fleet))
        stop = threading.Event()
        statuses = set()

        def call() -> None:
            with httpx.Client(timeout=60) as client:
                url = f"http://{fleet.entries[0].address}/v1/queues/rondas/work"
                headers = {"Authorization": f"Bearer {KEY}"}
                while not stop.is_set():
                    res = client.post(url, content=b"x", headers=headers)
                    statuses.add(res.status_code)

        threads = [threading.Thread(target=call) for _ in range(CALLERS)]
        for thread in threads:
            thread.start()
        try:
            wait_until(lambda: pool_sizes(fleet)["rondas-norte"] > 2, 30, "a move")
        finally:
            stop.set()
            for thread in threads:
                thread.join()
        assert statuses == {200}
