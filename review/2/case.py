"""A job that repeats each minute for ten years is handed in."""

import asyncio
import time
from pathlib import Path

from deployment import SERVICE, TROUBLE, Deployment, run_case
from rules import held_up
from standin import Executor, Recorder

#: Occurrences of the scheduled job: one a minute, for ten years or for an hour.
REPEATS = 10 * 365 * 24 * 60 if TROUBLE else 60
PERIOD_MS = 60_000
SCHEDULED = "0000000000000100"
#: A job of several steps that is at work when the scheduled one arrives.
BEFORE = "00000000000000c2"
#: A job that is handed in after it.
AFTER = "00000000000000c3"
CAPACITY = {"cpu": 16000, "mem_mb": 32768, "gpu": 0}
FINISH_SECONDS = 14.0
WORK_SECONDS = 1.0


async def play(recorder: Recorder) -> list[str]:
    """Play the case; return the breaches found."""
    deployment = Deployment(recorder)
    executors = [
        Executor(
            f"i-{number}",
            SERVICE,
            recorder,
            lambda task, spec: (WORK_SECONDS, "done"),
            CAPACITY,
        )
        for number in range(4)
    ]
    try:
        await deployment.start(executors)
        step = {"count": 6, "cpu": 880, "mem_mb": 1300, "estimate_ms": 1000}
        chain = [step, *({**step, "after": [number]} for number in range(3))]
        found = []
        if not await deployment.submit(BEFORE, {"spec": "s", "job_stages": chain}):
            return [f"LOST: {BEFORE} was not accepted"]
        accepted = [BEFORE]
        body = {
            "spec": "s",
            "job_stages": [{**step, "count": 1}],
            "repeats": REPEATS,
            "first_ms": int(time.time() * 1000) + 500,
            "period_ms": PERIOD_MS,
        }
        if await deployment.submit(SCHEDULED, body):
            accepted.append(SCHEDULED)
        await asyncio.sleep(6.0)
        if await deployment.submit(AFTER, {"spec": "s", "job_stages": [step]}, tries=4):
            accepted.append(AFTER)
        await asyncio.sleep(FINISH_SECONDS)
        for job in accepted:
            state = await deployment.state(job, tries=5)
            if state is None:
                found.append(f"LOST: no entry tells the state of {job} in five tries")
        found += held_up(executors, BEFORE, 4 * step["count"], recorder.now())
        return found
    finally:
        for entry in deployment.entries:
            text = entry.log.read_text()
            recorder.note(
                f"{entry.name}: took the lease {text.count('lease taken')} times,"
                f" ended {text.count('term ended')} terms"
            )
        await deployment.close()


run_case(Path(__file__).parent, play)
