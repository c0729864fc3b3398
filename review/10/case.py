"""An executor is lost for good while its pool is full, and callers ask what waits."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "shared2"))
from deployment import TROUBLE, Deployment, run_case

SERVICE = "norte"
EXECUTORS = 9
SMALL_JOBS = 12
#: ``visible_ms`` and 2 s more.
VISIBLE_SECONDS = 3.0 + 2.0


async def play(deployment: Deployment) -> str:
    """Fill the pool, lose the executor that is left, and ask for ``pending``."""
    full = {"count": EXECUTORS - 1, "cpu": 16000, "mem_mb": 128, "estimate_ms": 25000}
    small = {"count": 1, "cpu": 1000, "mem_mb": 128, "estimate_ms": 1000}
    await deployment.submit(SERVICE, "f" * 16, {"ms": {"0": 25000}}, [full])
    await asyncio.sleep(1.0)
    spare = next(one for one in deployment.executors if not one.running)
    if TROUBLE:
        await spare.crash(dark=True)
    accepted: dict[str, float] = {}
    for number in range(SMALL_JOBS):
        id = f"{number + 1:016x}"
        if await deployment.submit(SERVICE, id, {"ms": {"0": 1000}}, [small]):
            accepted[id] = deployment.now()
    wrong = []
    for _ in range(24):
        await asyncio.sleep(0.5)
        asked_at = deployment.now()
        for entry in deployment.entries:
            status, answer = await deployment.call(entry, "GET", f"/{SERVICE}/")
            begun = {task.split(".")[0] for task, _ in deployment.park.starts}
            waiting = [
                id
                for id, at in accepted.items()
                if id not in begun and at + VISIBLE_SECONDS < asked_at
            ]
            if status == 200 and answer["pending"] < len(waiting) / 2:
                wrong.append((answer["pending"], len(waiting)))
                deployment.note("wrong count", waiting=len(waiting), **answer)
    if not wrong:
        return ""
    worst = max(wrong, key=lambda one: one[1])
    return (
        f"MIXED: {len(wrong)} answers give as pending under half of the jobs that were "
        f"accepted over {VISIBLE_SECONDS} s before and have not begun: {worst[0]} of "
        f"{worst[1]}"
    )


run_case({SERVICE: EXECUTORS}, play)
