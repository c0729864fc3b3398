"""Simulated callers that submit, retry, query and cancel jobs."""

import asyncio
import itertools
import json
import random
import time

import aiohttp

from hickoryplank.core.ids import JobId, TeamId
from hickoryplank.jobs.model import Step
from hickoryplank.jobs.sizes import Size
from tests.soak.checker import ObservedJob, Timing
from tests.soak.deployment import HOST, KEPT_KEY, POOLS, WITHDRAWN_KEY, Deployment

__all__ = ["Callers"]

#: Timeout of a request of a caller, in seconds.
REQUEST_TIMEOUT_SECONDS = 3.0
#: Longest time for which a submission or cancellation is retried, in seconds.
MAX_RETRY_SECONDS = 12.0
#: Wait between two attempts, in seconds.
RETRY_INTERVAL_SECONDS = 0.15
#: Wait between two queries of the state of a job, in seconds.
QUERY_INTERVAL_SECONDS = 0.4
#: Time after its acceptance from which every entry must know a job, in seconds.
VISIBILITY_SECONDS = 3.0
#: Largest number of lasting jobs in one run, as they use up the limits of their teams.
MAX_LASTING_JOBS = 4
#: Mean rate of new jobs, per second.
JOBS_PER_SECOND = 8.0
#: The same for jobs of given steps, whose tasks are long.
LONG_JOBS_PER_SECOND = 4.0
CANCELLED_FRACTION = 0.12
REPEATED_FRACTION = 0.2
TIMED_FRACTION = 0.1
MANY_OCCURRENCES_FRACTION = 0.02
#: Each minute for ten years.
MANY_OCCURRENCES = 10 * 365 * 24 * 60
MINUTE_MS = 60_000
#: Time after which the first of them is due, in milliseconds; longer than a run.
FAR_MS = 120_000
FINAL = ("completed", "failed", "cancelled")
_TEAM_KEYS = {TeamId("rutas"): KEPT_KEY, TeamId("pagos"): WITHDRAWN_KEY}


def draw_steps(rng: random.Random, lasting: bool) -> tuple[Step, ...]:
    """Return random steps of a new job.

    :param lasting: whether a lasting step is allowed.
    """

    def step(**more) -> Step:
        size = Size(rng.choice((300, 600, 1200)), rng.choice((200, 900)), 0)
        return Step(rng.randint(1, 4), size, estimate_ms=500, **more)

    kind = rng.random()
    if kind < 0.1 and lasting:
        return (Step(2, Size(300, 200), lasting=True, may_miss=1),)
    if kind < 0.5:
        return (step(), step(after=(0,)))
    if kind < 0.6:
        return (step(max_per_endpoint=1),)
    return (step(),)


def draw_timing(rng: random.Random) -> Timing | None:
    """Return the due times of a new job, or none if it runs at once.

    Of a job with very many occurrences none is due within the run.
    """
    now_ms = int(time.time() * 1000)
    kind = rng.random()
    if kind < MANY_OCCURRENCES_FRACTION:
        return Timing(MANY_OCCURRENCES, now_ms + FAR_MS, MINUTE_MS, 0)
    if kind < TIMED_FRACTION:
        repeats = rng.randint(1, 4)
        period_ms = rng.choice((0, 100, 800))
        return Timing(repeats, now_ms + rng.randint(-500, 1500), period_ms, repeats)
    return None


def encode_stage(step: Step) -> dict:
    """Return a step in the format of a request."""
    stage = {
        "count": step.count,
        "cpu": step.size.cpu,
        "mem_mb": step.size.mem_mb,
        "estimate_ms": step.estimate_ms,
    }
    if step.after:
        stage["after"] = list(step.after)
    if step.max_per_endpoint:
        stage["max_per_server"] = step.max_per_endpoint
    if step.lasting:
        stage |= {"perpetual": True, "may_miss": step.may_miss}
    return stage


class Callers:
    """Submits jobs over persistent connections while faults are injected.

    :param steps: steps of every job; random by default.
    """

    def __init__(
        self, deployment: Deployment, seed: int, steps: tuple[Step, ...] | None = None
    ):
        self._steps = steps
        self._jobs_per_second = (
            JOBS_PER_SECOND if steps is None else LONG_JOBS_PER_SECOND
        )
        self._deployment = deployment
        self._checker = deployment.checker
        self._rng = random.Random(f"callers {seed}")
        self._ids = (f"{seed % 2**32:08x}{n:08x}" for n in itertools.count(1))
        timeout = aiohttp.ClientTimeout(total=REQUEST_TIMEOUT_SECONDS)
        self._session = aiohttp.ClientSession(timeout=timeout)
        self._tasks: set[asyncio.Task] = set()
        self._queries_stopped = asyncio.Event()
        self.statuses: dict[int | None, int] = {}

    async def run(self, length_s: float) -> None:
        """Submit jobs for ``length_s`` seconds."""
        until = time.monotonic() + length_s
        while time.monotonic() < until:
            task = asyncio.create_task(self._run_caller())
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
            await asyncio.sleep(self._rng.expovariate(self._jobs_per_second))

    async def finish(self) -> None:
        """Wait until all callers have ended; raise the first of their errors."""
        await asyncio.gather(*self._tasks)

    async def close(self) -> None:
        """Close all connections."""
        await self._session.close()

    def _draw(self) -> ObservedJob:
        rng = self._rng
        team = rng.choice(sorted(_TEAM_KEYS))
        lasting = sum(1 for job in self._checker.jobs.values() if job.lasting)
        job = ObservedJob(
            id=JobId(next(self._ids)),
            team=team,
            payload=f"payload {rng.random()}",
            steps=self._steps or draw_steps(rng, lasting < MAX_LASTING_JOBS),
        )
        if not job.lasting and self._steps is None:
            job.timing = draw_timing(random.Random(f"timing of {job.id}"))
        self._checker.jobs[job.id] = job
        return job

    async def _run_caller(self) -> None:
        job = self._draw()
        rng = random.Random(job.id)
        path = f"/{rng.choice(POOLS)}/{job.id}"
        if not await self._submit(job, path, rng):
            return
        if rng.random() < REPEATED_FRACTION:
            await self._call("POST", path, job, self._body(job), rng)
        if rng.random() < CANCELLED_FRACTION:
            await asyncio.sleep(rng.uniform(0.0, 1.5))
            await self._cancel(job, path, rng)
        if not job.lasting:
            await self._follow(job, path, rng)

    def _body(self, job: ObservedJob) -> bytes:
        stages = [encode_stage(step) for step in job.steps]
        body = {"spec": job.payload, "job_stages": stages}
        if job.timing is not None:
            body |= {
                "repeats": job.timing.repeats,
                "first_ms": job.timing.first_ms,
                "period_ms": job.timing.period_ms,
            }
        return json.dumps(body).encode()

    async def _submit(self, job: ObservedJob, path: str, rng: random.Random) -> bool:
        until = time.monotonic() + MAX_RETRY_SECONDS
        while time.monotonic() < until:
            job.sent += 1
            status = await self._call("POST", path, job, self._body(job), rng)
            if status == 200:
                job.accepted_at = time.monotonic()
                return True
            if status in (429, 503, 401):
                job.refused += 1
            if status == 401:
                return False
            if status in (400, 404):
                self._checker.report_violation(
                    "refused", f"valid job {job.id} got status {status}"
                )
                return False
            await asyncio.sleep(RETRY_INTERVAL_SECONDS)
        return False

    async def _cancel(self, job: ObservedJob, path: str, rng: random.Random) -> None:
        job.cancel_sent = True
        until = time.monotonic() + MAX_RETRY_SECONDS
        while time.monotonic() < until:
            if await self._call("DELETE", path, job, None, rng) in (200, 410):
                job.cancelled_at = time.monotonic()
                return
            await asyncio.sleep(RETRY_INTERVAL_SECONDS)

    async def _follow(self, job: ObservedJob, path: str, rng: random.Random) -> None:
        while job.state not in FINAL and not self._queries_stopped.is_set():
            await asyncio.sleep(QUERY_INTERVAL_SECONDS)
            await self.query(job, path, rng)

    async def query(self, job: ObservedJob, path: str, rng: random.Random) -> None:
        """Query the state of a job, and check the answer."""
        queried_at = time.monotonic()
        status = await self._call("GET", path, job, None, rng)
        assert job.accepted_at is not None
        must_be_known = queried_at - job.accepted_at > VISIBILITY_SECONDS
        if status == 410 and must_be_known and not job.cancel_sent:
            self._checker.report_violation(
                "lost", f"accepted job {job.id} is not known any more"
            )
        if status == 401:
            job.state = "cancelled" if job.cancel_sent else job.state
            self._mark_if_withdrawn(job)

    def _mark_if_withdrawn(self, job: ObservedJob) -> None:
        """Mark a job of unknown state whose key has been withdrawn."""
        if _TEAM_KEYS[job.team] in self._checker.withdrawn_at:
            job.state = job.state or "unasked"

    def stop_queries(self) -> None:
        """Stop the callers that still query states."""
        self._queries_stopped.set()

    async def _call(
        self, method: str, path: str, job: ObservedJob, body, rng: random.Random
    ) -> int | None:
        entry = rng.choice(self._deployment.entries)
        key = _TEAM_KEYS[job.team]
        try:
            async with self._session.request(
                method,
                f"http://{entry.callers}{path}",
                data=body,
                headers={"Host": HOST, "Authorization": f"Bearer {key}"},
            ) as resp:
                text = await resp.text()
                status = resp.status
        except (aiohttp.ClientError, TimeoutError, OSError):
            self.statuses[None] = self.statuses.get(None, 0) + 1
            return None
        self.statuses[status] = self.statuses.get(status, 0) + 1
        if status == 200:
            self._checker.note_served(key)
            if method == "GET":
                self._checker.note_state(job, json.loads(text)["state"])
        return status
