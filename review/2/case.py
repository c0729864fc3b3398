"""Jobs that repeat each minute for a year are handed in, one after the other."""

import asyncio
import time
from pathlib import Path

from deployment import SERVICE, TROUBLE, Deployment, run_case
from rules import held_up
from standin import Executor, Recorder

#: Occurrences of each scheduled job: one a minute, for a year or for an hour.
REPEATS = 365 * 24 * 60 if TROUBLE else 60
PERIOD_MS = 60_000
SCHEDULED = [f"00000000000001{number:02x}" for number in range(40)]
#: Time for handing the scheduled jobs in.
HAND_IN_SECONDS = 30.0
#: A job of several steps that is at work when the other arrives.
BEFORE = "00000000000000c2"
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
        hand_in_until = recorder.now() + HAND_IN_SECONDS
        for job in SCHEDULED:
            if recorder.now() > hand_in_until:
                break
            body = {
                "spec": "s",
                "job_stages": [{**step, "count": 1}],
                "repeats": REPEATS,
                "first_ms": int(time.time() * 1000) + 500,
                "period_ms": PERIOD_MS,
            }
            if await deployment.submit(job, body, tries=1):
                accepted.append(job)
        if await deployment.submit(AFTER, {"spec": "s", "job_stages": [step]}, tries=4):
            accepted.append(AFTER)
        await asyncio.sleep(FINISH_SECONDS)
        for job in (BEFORE, accepted[-1]):
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
