"""A route is dropped and added again while its jobs run, and one run of each fails."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "shared2"))
from deployment import TROUBLE, Deployment, run_case

SERVICE = "norte"
EXECUTORS = 12
ATTEMPTS = 3
JOBS = 24
#: ``config_apply_ms`` of the site.
CONFIG_APPLY_SECONDS = 2.0


async def play(deployment: Deployment) -> str:
    """Hand jobs in, drop their route for some seconds, and ask for the jobs."""
    failing = deployment.executors[0]
    failing.fails = lambda task, attempt: True
    stage = {"count": 4, "cpu": 1000, "mem_mb": 128, "estimate_ms": 3000}
    ids = [f"{number + 1:016x}" for number in range(JOBS)]
    accepted = [
        id
        for id in ids
        if await deployment.submit(SERVICE, id, {"ms": {"0": 3000}}, [stage])
    ]
    other = deployment.route("costa")
    route = deployment.route(SERVICE, ATTEMPTS)
    if TROUBLE:
        deployment.configure([other])
    await asyncio.sleep(2 * CONFIG_APPLY_SECONDS)
    if TROUBLE:
        deployment.configure([route, other])
    # The executor is sound again some 6 s after it began to fail.
    await asyncio.sleep(2.0)
    failing.fails = lambda task, attempt: False
    wrong = {}
    for id in accepted:
        state = await deployment.wait_state(SERVICE, id, ("completed", "failed"), 20)
        failures = max(deployment.park.failures.get(id, {}).values(), default=0)
        deployment.note("shown", job=id, state=state, most_failures_of_a_task=failures)
        if state == "failed" and failures < ATTEMPTS:
            wrong[id] = failures
    if not wrong:
        return ""
    some = ", ".join(f"{id} after {n}" for id, n in list(wrong.items())[:3])
    return (
        f"LOST: {len(wrong)} of {len(accepted)} accepted jobs are shown as failed, "
        f"though no task of theirs failed {ATTEMPTS} times ({some})"
    )


run_case({SERVICE: EXECUTORS, "costa": 3}, play)
