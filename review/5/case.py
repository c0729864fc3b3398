"""An executor crashes that runs a lasting task of a queue with advice."""

import asyncio
from pathlib import Path

from deployment import SERVICE, TROUBLE, Deployment, run_case
from standin import Advice, Executor, Recorder

#: A job of tasks that last, at most one of them on an executor.
JOB = "00000000000000c1"
TASKS = 6
#: A small job, handed in after the return, which only the same executor may run.
LAST = "00000000000000c2"
#: One of nine crashes: a share of 0.11, below the 0.14 of the site file.
EXECUTORS = 9
CRASHED = "i-5"
#: The executor of the same machine after the crash.
FRESH = "i-10"
CRASH_SECONDS = 4.5
#: By the rule, 6 s after the task's last run and after 4 s of calm; longer than that.
SETTLE_SECONDS = 10.0
#: Time for which a lasting task may have nothing running, by the rule.
PAUSE_SECONDS = 3.0
#: Time for which it is watched then.
WATCH_SECONDS = 15.0
FINISH_SECONDS = 14.0
CAPACITY = {"cpu": 16000, "mem_mb": 32768, "gpu": 0}


def run_of(task: str, spec: str) -> tuple[float | None, str]:
    """Return the run time of a task and the way in which it ends."""
    return (None, "") if task[:16] == JOB else (0.5, "done")


def tasks_at_work(executors: list[Executor]) -> set[str]:
    """Return the tasks of the lasting job that are at work."""
    return {
        run.task
        for one in executors
        for run in one.running.values()
        if run.task[:16] == JOB
    }


async def longest_pauses(
    executors: list[Executor], recorder: Recorder, for_s: float
) -> dict[str, float]:
    """Watch the lasting job; return for how long at most each task was away."""
    away_since: dict[str, float] = {}
    pauses: dict[str, float] = {}
    until = recorder.now() + for_s
    while recorder.now() < until:
        at_work = tasks_at_work(executors)
        for index in range(TASKS):
            task = f"{JOB}.0.0.{index}"
            if task in at_work:
                away_since.pop(task, None)
            else:
                since = away_since.setdefault(task, recorder.now())
                pauses[task] = max(pauses.get(task, 0.0), recorder.now() - since)
        await asyncio.sleep(0.1)
    return pauses


async def play(recorder: Recorder) -> list[str]:
    """Play the case; return the breaches found."""
    allowed = {JOB: {f"i-{number}" for number in range(1, TASKS + 1)} | {FRESH}}
    allowed[LAST] = {CRASHED, FRESH}
    advice = Advice(recorder, allowed)
    deployment = Deployment(recorder, advice=advice)
    executors = [
        Executor(f"i-{number}", SERVICE, recorder, run_of, CAPACITY)
        for number in range(1, EXECUTORS + 1)
    ]
    for one in executors:
        advice.guard(one)
    crashed = next(one for one in executors if one.id == CRASHED)
    try:
        await deployment.start(executors)
        step = {"count": TASKS, "cpu": 2000, "mem_mb": 500, "max_per_server": 1}
        body = {"spec": "s", "job_stages": [step | {"perpetual": True}]}
        if not await deployment.submit(JOB, body):
            return ["LOST: the lasting job was not accepted"]
        until = recorder.now() + FINISH_SECONDS
        while len(tasks_at_work(executors)) < TASKS and recorder.now() < until:
            await asyncio.sleep(0.1)
        recorder.note(f"{len(tasks_at_work(executors))} of {TASKS} tasks are at work")
        await asyncio.sleep(2.0)
        if TROUBLE:
            crashed.crash()
        await asyncio.sleep(CRASH_SECONDS)
        if TROUBLE:
            fresh = Executor(
                FRESH, SERVICE, recorder, run_of, CAPACITY, machine=crashed.machine
            )
            advice.guard(fresh)
            await deployment.replace(crashed, fresh)
        await asyncio.sleep(SETTLE_SECONDS)
        found = []
        pauses = await longest_pauses(executors, recorder, WATCH_SECONDS)
        for task, pause in pauses.items():
            recorder.note(f"longest pause of {task}: {pause:.1f} s")
            if pause > PAUSE_SECONDS:
                found.append(
                    f"LOST: {task}, which lasts, has nothing running for {pause:.1f} s,"
                    f" though {FRESH} had been there for {SETTLE_SECONDS:.0f} s, idle"
                    " and allowed"
                )
        small = {"count": 1, "cpu": 2000, "mem_mb": 500, "estimate_ms": 500}
        if not await deployment.submit(LAST, {"spec": "s", "job_stages": [small]}):
            found.append(f"LOST: {LAST} was not accepted")
        elif not await deployment.await_state(LAST, "completed", FINISH_SECONDS):
            found.append(f"LOST: {LAST} is not shown as completed")
        return found
    finally:
        await deployment.close()


run_case(Path(__file__).parent, play)
