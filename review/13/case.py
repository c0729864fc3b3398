"""Requests get neither answer nor refusal when all entries are stopped at once."""

import asyncio
import signal
import sys
import time

from review.shared3.deployment import Deployment, job, new_id, run_case
from review.shared3.entries import Entry, wait_for

GRACE_SECONDS = 6.0
LOSS_SLACK_SECONDS = 0.2
DEADLINE_SECONDS = 3.0
CLIENTS_PER_ENTRY = 6
ROUNDS = 5


async def use_entry(deployment: Deployment, entry: Entry, ended: list[dict]) -> None:
    """Hand in jobs to an entry one after the other, and ask again without an answer."""
    id = new_id()
    while True:
        sent_at = time.monotonic()
        status, detail = await deployment.call(
            entry, "POST", id, job(2, 300), DEADLINE_SECONDS
        )
        now = time.monotonic()
        ended.append(
            {
                "entry": entry.name,
                "id": id,
                "sent_at": sent_at,
                "ended_at": now,
                "status": status,
                "detail": detail,
            }
        )
        if status == 200:
            id = new_id()
        await asyncio.sleep(0.1)


def cut_requests(ended: list[dict], stopped_at: float) -> list[dict]:
    """Return the requests that were read, and whose connection ended unanswered."""
    return [
        one
        for one in ended
        if one["status"] == -1
        and one["detail"] in ("ServerDisconnectedError", "ClientOSError")
        and stopped_at <= one["ended_at"] <= stopped_at + GRACE_SECONDS + 1
        and LOSS_SLACK_SECONDS < one["ended_at"] - one["sent_at"] < DEADLINE_SECONDS
    ]


async def stop_entries(deployment: Deployment, ended: list[dict]) -> list[str]:
    """Stop all entries at once, start them again, and return what was cut."""
    platform = deployment.platform
    stopped_at = time.monotonic()
    stopped = deployment.entries if deployment.trouble else deployment.entries[:1]
    for entry in stopped:
        platform.note("SIGTERM", name=entry.name)
        entry.signal(signal.SIGTERM)
    await wait_for(
        lambda: not any(one.running for one in stopped), GRACE_SECONDS + 1, "stopped"
    )
    platform.note("stopped", codes=[one.process.returncode for one in stopped])
    for entry in stopped:
        entry.start()
    await asyncio.sleep(7)
    return [
        f"request {one['id']} to {one['entry']}, sent {one['sent_at'] - stopped_at:.2f}"
        f" s after SIGTERM, was cut after {one['ended_at'] - one['sent_at']:.2f} s"
        for one in cut_requests(ended, stopped_at)
    ]


async def case(deployment: Deployment) -> list[str]:
    """Stop all entries at once several times, while clients go on."""
    platform = deployment.platform
    await deployment.open({"kundeside": 10, "smaatt": 4})
    ended: list[dict] = []
    for entry in deployment.entries:
        for _ in range(CLIENTS_PER_ENTRY):
            platform.spawn(use_entry(deployment, entry, ended))
    await asyncio.sleep(5)
    found = []
    for _ in range(ROUNDS):
        found += await stop_entries(deployment, ended)
    return found


if __name__ == "__main__":
    sys.exit(asyncio.run(run_case(case, "13")))
