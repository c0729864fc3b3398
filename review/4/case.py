"""Over 500 tasks end on one executor while it is cut off from the system."""

import asyncio
from pathlib import Path

from deployment import SERVICE, TROUBLE, Deployment, run_case
from rules import at_the_same_time, started_again_after_done
from standin import Executor, Recorder

JOB = "00000000000000a1"
TASKS = 700
WORK_SECONDS = 2.0
CUT_SECONDS = 3.0
#: One of six is cut off: the share of 0.17 of the site file.
EXECUTORS = 6
CAPACITY = {"cpu": 16000, "mem_mb": 32768, "gpu": 0}


async def play(recorder: Recorder) -> list[str]:
    """Play the case; return the breaches found."""
    deployment = Deployment(recorder)
    executors = [
        Executor(
            f"i-{number}",
            SERVICE,
            recorder,
            lambda t, s: (WORK_SECONDS, "done"),
            CAPACITY,
        )
        for number in range(EXECUTORS)
    ]
    try:
        await deployment.start(executors)
        step = {"count": TASKS, "cpu": 20, "mem_mb": 20, "estimate_ms": 2000}
        body = {"spec": "s", "job_stages": [step]}
        if not await deployment.submit(JOB, body):
            return ["LOST: the job was not accepted"]
        until = recorder.now() + 15
        while recorder.now() < until:
            executor = max(executors, key=lambda one: len(one.history))
            if sum(len(one.history) for one in executors) >= TASKS:
                break
            await asyncio.sleep(0.02)
        recorder.note(f"{len(executor.history)} tasks have started on {executor.id}")
        if TROUBLE:
            recorder.note("the executor is cut off")
            deployment.relays[executor.id].cut()
            await asyncio.sleep(CUT_SECONDS)
            deployment.relays[executor.id].heal()
            recorder.note("the cut has healed")
        completed = await deployment.await_state(JOB, "completed", 30.0)
        await asyncio.sleep(6.0)
        found = started_again_after_done(executors) + at_the_same_time(executors)
        if not completed:
            found.append("LOST: the job is not shown as completed")
        return found
    finally:
        await deployment.close()


run_case(Path(__file__).parent, play)
