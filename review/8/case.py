"""Jobs are cancelled while the executor of their task resets connections."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "shared2"))
from deployment import TROUBLE, Deployment, run_case

#: ``cancel_ms`` of the site.
CANCEL_SECONDS = 3.0
EXECUTORS = 9
SERVICES = ("norte", "costa", "sur")
ROUNDS = 14


async def play(deployment: Deployment) -> str:
    """Cancel one job in each service, round after round."""
    acknowledged: dict[str, float] = {}

    async def trial(number: int, service: str, seconds: float) -> None:
        executor = next(
            one
            for one in deployment.executors
            if one.service == service and one.labels[0] == f"k{number % EXECUTORS}"
        )
        id = f"{number + 1:08x}{SERVICES.index(service) + 1:08x}"
        stage = {
            "count": 1,
            "cpu": 500,
            "mem_mb": 128,
            "estimate_ms": 2000,
            "required_label": executor.labels[0],
        }
        if TROUBLE:
            deployment.note("requests are reset", executor=executor.id)
            executor.resets = True
        if await deployment.submit(service, id, {"ms": {"0": 2000}}, [stage]):
            entry = deployment.entries[number % len(deployment.entries)]
            status, _ = await deployment.call(entry, "DELETE", f"/{service}/{id}")
            if 200 <= status < 300:
                acknowledged[id] = deployment.now()
        await asyncio.sleep(seconds)
        deployment.note("requests are answered", executor=executor.id)
        executor.resets = False

    for number in range(ROUNDS):
        seconds = 3.1 + 0.05 * number
        await asyncio.gather(*(trial(number, one, seconds) for one in SERVICES))
        await asyncio.sleep(1.5)
    late = [
        (task, at - acknowledged[task.split(".")[0]])
        for task, at in deployment.park.starts
        if task.split(".")[0] in acknowledged
        and at > acknowledged[task.split(".")[0]] + CANCEL_SECONDS
    ]
    deployment.note("cancels acknowledged", n=len(acknowledged))
    if not late:
        return ""
    some = ", ".join(f"{task} {after:.3f} s after" for task, after in late[:3])
    return (
        f"UNASKED: {len(late)} of {len(acknowledged)} tasks started over "
        f"{CANCEL_SECONDS} s after their job's cancelling was acknowledged ({some})"
    )


run_case(
    dict.fromkeys(SERVICES, EXECUTORS),
    play,
    labels=lambda number: (f"k{number}", "r-1"),
)
