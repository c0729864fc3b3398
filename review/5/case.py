"""A queue is sent to another service, and the executors of the first one leave."""

import asyncio
from pathlib import Path

from deployment import SERVICE, TROUBLE, Deployment, run_case
from standin import Executor, Recorder

OTHER_SERVICE = "rondas-nuevas"
LASTING = "00000000000000d1"
TIMED = "00000000000000d2"
AFTER = "00000000000000d3"
CAPACITY = {"cpu": 16000, "mem_mb": 32768, "gpu": 0}
#: Time that a draining executor goes on; the site's ``drain_ms`` and a little longer.
DRAIN_SECONDS = 4.0
#: Time between two executors that leave.
PAUSE_SECONDS = 3.0
OBSERVED_SECONDS = 20.0
#: LOST holds for each task that lasts from 6 s after its last run, for 3 s.
LASTING_GAP_SECONDS = 9.0


def work_s(task: str, spec: str) -> tuple[float | None, str]:
    """Return the run time of a task, and how it ends."""
    return (None if task.startswith(LASTING) else 0.5), "done"


async def leave(deployment: Deployment, one: Executor) -> None:
    """Drain an executor and take it away."""
    drain_ms = int(DRAIN_SECONDS * 1000)
    deployment.store.write("keyed.servers", one.id, one.listing(drain_ms))
    deployment.recorder.note(f"executor {one.id}: drains")
    await asyncio.sleep(DRAIN_SECONDS + 0.5)
    deployment.store.write("keyed.servers", one.id, b"")
    one.crash()
    deployment.executors.remove(one)


async def play(recorder: Recorder) -> list[str]:
    """Play the case; return the breaches found."""
    deployment = Deployment(recorder, services=(SERVICE, OTHER_SERVICE))
    first = [Executor(f"a-{n}", SERVICE, recorder, work_s, CAPACITY) for n in range(3)]
    other = [
        Executor(f"b-{n}", OTHER_SERVICE, recorder, work_s, CAPACITY) for n in range(3)
    ]
    try:
        await deployment.start([*first, *other])
        step = {"count": 3, "cpu": 1000, "mem_mb": 1000, "estimate_ms": 500}
        lasting = {"spec": "s", "job_stages": [{**step, "perpetual": True}]}
        if not await deployment.submit(LASTING, lasting):
            return [f"LOST: {LASTING} was not accepted"]
        await asyncio.sleep(4.0)
        if TROUBLE:
            deployment.publish(5, OTHER_SERVICE)
            await asyncio.sleep(4.0)
            for one in first:
                await leave(deployment, one)
                await asyncio.sleep(PAUSE_SECONDS)
        found = []
        if not await deployment.submit(AFTER, {"spec": "s", "job_stages": [step]}):
            found.append(f"{AFTER} is not accepted")
        await asyncio.sleep(OBSERVED_SECONDS)
        if not await deployment.await_state(AFTER, "completed", 5.0):
            found.append(f"LOST: {AFTER} is not shown as completed")
        await deployment.state(LASTING)
        now = recorder.now()
        for index in range(3):
            task = f"{LASTING}.0.0.{index}"
            runs = [
                r for one in (*first, *other) for r in one.history if r.task == task
            ]
            ends = [now if run.ended_at is None else run.ended_at for run in runs]
            if now - max(ends, default=0.0) > LASTING_GAP_SECONDS:
                found.append(
                    f"LOST: {task} has no run for {now - max(ends):.1f} s, and three"
                    f" executors of {OTHER_SERVICE} are idle"
                )
        return found
    finally:
        await deployment.close()


run_case(Path(__file__).parent, play)
