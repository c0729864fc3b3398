"""Fault tests of claimed work: it reaches a final state and runs at most once."""

import signal
import time

import pytest

from tests.callers import FINAL_STATES, Caller, run_callers
from tests.fleet import Fleet

BATCHES = 6
SERVICE_SECONDS = 0.6
QUEUES = ("cierre", "pagos")


@pytest.fixture(scope="module")
def fleet(tmp_path_factory):
    with Fleet(tmp_path_factory.mktemp("settlement")) as running:
        running.start(workers=3)
        running.publish(running.objects(budget=1))
        yield running


def kill_owner(fleet):
    owner = fleet.owner()
    fleet.entries[owner].kill()
    time.sleep(0.5)
    fleet.replace(owner)


def pause_owner(fleet):
    owner = fleet.entries[fleet.owner()]
    owner.signal(signal.SIGSTOP)
    time.sleep(2.5)
    owner.signal(signal.SIGCONT)


def lose_log_answers(fleet):
    fleet.log.inject(lose_answers=3)


def log_down(fleet):
    fleet.log.inject(outage=True)
    time.sleep(3)
    fleet.log.inject(outage=False)


def blackhole_log_connections(fleet):
    fleet.client.post(f"http://{fleet.log.address}/silence")


def lose_worker_answers(fleet):
    for worker in fleet.workers:
        worker.inject(lose_answers=1)


def worker_restarts(fleet):
    worker = fleet.workers[0]
    fleet.client.post(f"http://{worker.address}/restart", json={"seconds": 0.5})


def worker_paused(fleet):
    fleet.workers[0].inject(paused=True)
    time.sleep(2)
    fleet.workers[0].inject(paused=False)


def blackhole_worker_connections(fleet):
    for worker in fleet.workers:
        fleet.client.post(f"http://{worker.address}/silence")


def cross_and_truncate_answers(fleet):
    for worker in fleet.workers:
        worker.inject(cross_answers=1, shorten_answers=1)


def rolling_restart(fleet):
    for i, entry in enumerate(fleet.entries):
        assert entry.stop() == 0
        fleet.replace(i)
        fleet.wait_ready()


def simultaneous_restart(fleet):
    for entry in fleet.entries:
        entry.kill()
    for i in range(len(fleet.entries)):
        fleet.replace(i)


FAULTS = [
    kill_owner,
    pause_owner,
    lose_log_answers,
    log_down,
    blackhole_log_connections,
    lose_worker_answers,
    worker_restarts,
    worker_paused,
    blackhole_worker_connections,
    cross_and_truncate_answers,
    rolling_restart,
    simultaneous_restart,
]


@pytest.mark.parametrize("fault", FAULTS, ids=lambda fault: fault.__name__)
def test_settlement_finishes_exactly_once(fleet, fault):
    callers = [
        Caller(fleet, QUEUES[i % 2], f"{fault.__name__}-{i}", SERVICE_SECONDS)
        for i in range(BATCHES)
    ]

    def inject_fault():
        time.sleep(0.3)
        fault(fleet)

    states = run_callers(fleet, callers, inject_fault)
    assert set(states) <= set(FINAL_STATES), states
