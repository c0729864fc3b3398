"""Tests of evacuation when the coordinator doesn't know what tasks are doing."""

from hickoryplank.core.ids import EndpointId, VmId, WaveId
from hickoryplank.jobs.evacuation import continue_evacuation
from hickoryplank.jobs.model import Step
from hickoryplank.jobs.vms import OperationPhase, VmOperation
from tests.jobs.driver import TASK, Driver, job

E0, E1, E2, E3 = (EndpointId(f"e{number}") for number in range(4))
#: A lasting step on three of the four endpoints, of which one task may be stopped.
STEP = Step(3, TASK, lasting=True, max_per_endpoint=1, may_miss=1)


def driver_with_lasting_tasks() -> Driver:
    """Return a driver whose endpoints e0 to e2 run one task each."""
    driver = Driver(count=4, work_ms=lambda key: None)
    driver.engine.update_listing(driver.engine.endpoints[E3].listing, driver.now)
    driver.engine.endpoints[E3].cordoned = True
    driver.engine.submit(job("a", STEP), driver.now)
    for _ in range(6):
        driver.step()
    assert [len(one.running) for one in driver.endpoints.values()] == [1, 1, 1, 0]
    driver.engine.endpoints[E3].cordoned = False
    return driver


def evacuate_vm(driver: Driver, id: EndpointId) -> bool:
    driver.engine.cordon(frozenset([id]))
    operation = VmOperation(
        VmId(f"m-{id}"), None, WaveId("1"), OperationPhase.EVACUATING, driver.now
    )
    return continue_evacuation(driver.engine, operation, id, driver.now)


def in_operation(driver: Driver) -> int:
    """Return how many tasks are running and aren't being stopped."""
    return sum(
        1
        for one in driver.endpoints.values()
        for run in one.running.values()
        if run.stopping_ms is None
    )


def test_no_task_is_stopped_while_another_of_its_step_is_on_a_silent_endpoint():
    """Guards against stops beyond a budget while an endpoint doesn't answer.

    What it last reported as in operation may have ended long ago.
    """
    driver = driver_with_lasting_tasks()
    driver.unreachable = {E0}
    driver.step()
    evacuate_vm(driver, E1)
    driver.step()
    assert in_operation(driver) == 3
    driver.unreachable.clear()
    driver.step()
    evacuate_vm(driver, E1)
    driver.step()
    assert in_operation(driver) == 2


def test_no_task_is_stopped_while_stops_of_a_former_coordinator_may_be_under_way():
    """Guards against two coordinators in turn that each use up a step's budget.

    Until a stop has ended a run, its endpoint reports the run as in operation.
    """
    driver = driver_with_lasting_tasks()
    evacuate_vm(driver, E0)
    driver.step(50)
    assert in_operation(driver) == 2
    driver.take_over()
    least = 2
    for _ in range(60):
        driver.step(50)
        evacuate_vm(driver, E1)
        least = min(least, in_operation(driver))
        if not driver.endpoints[E1].running:
            break
    assert least == 2
    assert not driver.endpoints[E1].running
