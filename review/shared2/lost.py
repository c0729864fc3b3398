"""The rule LOST as written, for jobs whose tasks run once a step and occurrence."""

import asyncio

from deployment import Deployment
from standins import now_ms

__all__ = ["FINISH_SECONDS", "Job", "check"]

#: ``finish_s`` of the site: so long after the end of the traffic jobs are asked for.
FINISH_SECONDS = 14.0
#: A job may have nothing running for this long while a task's turn has come.
IDLE_SECONDS = 3.0
SAMPLE_SECONDS = 0.05
#: Times that a job is asked for, each at all entries, before nobody is said to answer.
ASKS = 5


class Job:
    """An accepted job.

    :param stages: its steps as they were handed in.
    :param timing: its occurrences; empty for a job that runs once, at once.
    """

    def __init__(self, service: str, id: str, stages: list[dict], timing: dict):
        self.service = service
        self.id = id
        self.stages = stages
        self.repeats = timing.get("repeats", 0)
        self.first_ms = timing.get("first_ms", 0)
        self.period_ms = timing.get("period_ms", 0)

    def due_step(self, done: set[str]) -> dict | None:
        """Return a step with a task whose turn has come and that has not ended done.

        :param done: the tasks that have ended ``done``.
        """
        for occurrence in range(max(1, self.repeats)):
            due_ms = self.first_ms + occurrence * self.period_ms
            if self.repeats and due_ms > now_ms():
                return None
            left = [
                self._left(f"{self.id}.{occurrence}.{number}", stage, done)
                for number, stage in enumerate(self.stages)
            ]
            for number, stage in enumerate(self.stages):
                if left[number] and not any(
                    left[one] for one in stage.get("after", ())
                ):
                    return stage
        return None

    @staticmethod
    def _left(step: str, stage: dict, done: set[str]) -> bool:
        ended = sum(f"{step}.{index}" in done for index in range(stage["count"]))
        # One such end represents all members of a gang.
        return not ended if stage.get("gang") else ended < stage["count"]


def _has_room_twice(deployment: Deployment, service: str, stage: dict) -> bool:
    """Return whether a step fits twice, and under half of its service is in use."""
    used, total, places = 0, 0, 0
    for one in deployment.executors:
        if one.service != service or one.down:
            continue
        taken = sum(run.cpu for run in one.running.values())
        used, total = used + taken, total + one.capacity["cpu"]
        fit = (one.capacity["cpu"] - taken) // stage["cpu"]
        places += min(fit, stage.get("max_per_server", fit))
    return places >= 2 * stage["count"] and used < total / 2


async def _longest_idle(deployment: Deployment, jobs: list[Job]) -> dict[str, float]:
    """Watch for a second more than ``IDLE_SECONDS``; return idle spells by job."""
    since: dict[str, float] = {}
    longest: dict[str, float] = {}
    until = deployment.now() + IDLE_SECONDS + 1.0
    while (now := deployment.now()) < until:
        running = {
            task.split(".")[0] for one in deployment.executors for task in one.running
        }
        for job in jobs:
            stage = job.due_step(deployment.park.done)
            if (
                stage is None
                or job.id in running
                or not _has_room_twice(deployment, job.service, stage)
            ):
                since.pop(job.id, None)
                continue
            spell = now - since.setdefault(job.id, now)
            longest[job.id] = max(longest.get(job.id, 0.0), spell)
        await asyncio.sleep(SAMPLE_SECONDS)
    return longest


async def _ask(deployment: Deployment, job: Job) -> str:
    state = "0"
    for _ in range(ASKS):
        state = await deployment.state(job.service, job.id)
        if state != "0":
            break
        await asyncio.sleep(0.5)
    return state


async def check(deployment: Deployment, jobs: list[Job]) -> str:
    """Wait ``FINISH_SECONDS`` from the end of the traffic, and check accepted jobs.

    :return: why the rule was broken, or an empty text.
    """
    deployment.note("end of the traffic", accepted=len(jobs))
    await asyncio.sleep(FINISH_SECONDS)
    longest = await _longest_idle(deployment, jobs)
    idle = {id: spell for id, spell in longest.items() if spell >= IDLE_SECONDS}
    states = await asyncio.gather(*(_ask(deployment, job) for job in jobs))
    unknown = [
        job.id for job, state in zip(jobs, states, strict=True) if state in ("0", "410")
    ]
    for id, spell in idle.items():
        deployment.note("nothing running", job=id, seconds=f"{spell:.2f}")
    deployment.note("asked for", idle=len(idle), not_told=len(unknown))
    if not idle and not unknown:
        return ""
    return (
        f"LOST: {len(idle)} of {len(jobs)} accepted jobs had nothing running for "
        f"{IDLE_SECONDS} s, {FINISH_SECONDS} s after the end of the traffic, while a "
        f"task's turn had come; {len(unknown)} aren't known or got no answer"
    )
