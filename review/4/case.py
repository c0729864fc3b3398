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
CAPACITY = {"cpu": 16000, "mem_mb": 32768, "gpu": 0}


async def play(recorder: Recorder) -> list[str]:
    """Play the case; return the breaches found."""
    deployment = Deployment(recorder)
    executor = Executor(
        "i-1", SERVICE, recorder, lambda task, spec: (WORK_SECONDS, "done"), CAPACITY
    )
    try:
        await deployment.start([executor])
        step = {"count": TASKS, "cpu": 20, "mem_mb": 20, "estimate_ms": 2000}
        body = {"spec": "s", "job_stages": [step]}
        if not await deployment.submit(JOB, body):
            return ["LOST: the job was not accepted"]
        until = recorder.now() + 15
        while len(executor.history) < TASKS and recorder.now() < until:
            await asyncio.sleep(0.02)
        recorder.note(f"{len(executor.history)} tasks have started")
        if TROUBLE:
            recorder.note("the executor is cut off")
            deployment.relays["i-1"].cut()
            await asyncio.sleep(CUT_SECONDS)
            deployment.relays["i-1"].heal()
            recorder.note("the cut has healed")
        completed = await deployment.await_state(JOB, "completed", 30.0)
        await asyncio.sleep(6.0)
        found = started_again_after_done([executor]) + at_the_same_time([executor])
        if not completed:
            found.append("LOST: the job is not shown as completed")
        return found
    finally:
        await deployment.close()


run_case(Path(__file__).parent, play)
