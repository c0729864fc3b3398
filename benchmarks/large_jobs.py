"""A large job: bytes written for each end, its takeover, cancellation and memory.

A job of one step, with checkpoints, runs on a few endpoints; another coordinator takes
over when half of its tasks are done, and the job is cancelled soon after. The store
accepts no record beyond the platform's bound. It and the endpoints are in memory: what
calls take is not included.

Run on its own with ``python -m benchmarks.large_jobs``.
"""

import gc
import tracemalloc
from collections.abc import Callable, Iterator
from time import process_time

from benchmarks.figure import Figure
from hickoryplank.core.ids import JobId
from hickoryplank.jobs.messages import Batch
from hickoryplank.jobs.model import Step
from hickoryplank.jobs.records import StoreBounds, encode_state
from hickoryplank.jobs.sizes import Size
from tests.jobs.driver import Driver, job

__all__ = ["figures"]

COUNTS = (1000, 10_000, 100_000)
LARGE_JOB = JobId("5c0e7a21d94b36f8")
ENDPOINTS = 5
#: 80 tasks run on each endpoint at a time.
TASK = Size(50, 50)
#: Mean run time of a task, and by how much it may be shorter or longer.
RUN_MS = 500.0
RUN_SPREAD_MS = 300.0
STEPS_AFTER_TAKEOVER = 20
#: Bytes of a record in addition to its key and value.
OVERHEAD_BYTES = 5
BOUNDS = StoreBounds()


def _run_ms(index: int) -> float:
    """Return the run time of a task; tasks that begin together end apart."""
    return RUN_MS + RUN_SPREAD_MS * (index * 37 % 101 / 50 - 1)


class _MeasuredDriver(Driver):
    """A driver with checkpoints that measures what is written and what ticks take.

    :ivar written: bytes written, with keys and lengths.
    :ivar batches: batches that were not empty.
    """

    def __init__(self) -> None:
        self.written = 0
        self.batches = 0
        super().__init__(ENDPOINTS, lambda key: _run_ms(key.index))

    def _write(self, batch: Batch) -> None:
        sizes = [
            OVERHEAD_BYTES + len(one.key) + len(one.value) for one in batch.records
        ]
        if any(size > BOUNDS.record_bytes for size in sizes):
            raise ValueError(f"record of {max(sizes)} bytes, expected at most {BOUNDS}")
        self.written += sum(sizes)
        self.batches += bool(sizes)
        super()._write(batch)

    def run_step(self) -> float:
        """Run a step; return its CPU time, in seconds."""
        for fake in self.endpoints.values():
            for run in fake.running.values():
                run.checkpoint = f"{run.percent:08x}{run.key.index:08x}"
        began = process_time()
        self.step()
        return process_time() - began

    @property
    def ends(self) -> int:
        """Number of ends that the endpoints have reported."""
        return sum(one.number for one in self.endpoints.values())


def _memory_mb(work: Callable[[], None]) -> float:
    """Return the memory that some work allocates and keeps, in MB."""
    gc.collect()
    tracemalloc.start()
    work()
    gc.collect()
    kept, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return kept / 1e6


def _play(count: int) -> Iterator[Figure]:
    driver = _MeasuredDriver()
    driver.run_step()
    driver.engine.submit(job(LARGE_JOB, Step(count, TASK, checkpointing=True)), 0.0)
    driver.run_step()
    written, batches, longest = driver.written, driver.batches, 0.0
    yield _figure(count, "submission", written / 1e3, "KB written")
    while driver.ends < count / 2:
        longest = max(longest, driver.run_step())
    written, batches = driver.written - written, driver.batches - batches
    single_bytes = len(encode_state(driver.engine.jobs[LARGE_JOB]).value)
    yield Figure(
        name=f"large_jobs.{count}_tasks.end",
        value=round(written / driver.ends),
        unit="bytes written an end",
        baseline=round(single_bytes * batches / driver.ends),
    )
    yield _figure(count, "step", longest * 1e3, "ms of processor, at most")
    stored = sum(len(key) + len(value) for key, value in driver.store.items())
    yield _figure(count, "stored", stored / 1e3, "KB to read at a takeover")
    began = process_time()
    driver.take_over()
    yield _figure(count, "takeover", (process_time() - began) * 1e3, "ms of processor")
    steps = [driver.run_step() for _ in range(STEPS_AFTER_TAKEOVER)]
    yield _figure(count, "step_after_takeover", max(steps) * 1e3, "ms of processor")
    written = driver.written
    driver.engine.cancel(driver.engine.jobs[LARGE_JOB], driver.now)
    longest = driver.run_step()
    yield _figure(count, "cancellation", (driver.written - written) / 1e3, "KB written")
    yield _figure(count, "step_of_cancellation", longest * 1e3, "ms of processor")
    while any(one.running for one in driver.endpoints.values()):
        driver.run_step()
    if not driver.engine.jobs[LARGE_JOB].stored_state.final:
        raise ValueError("job is not stored as cancelled, expected after its last run")
    yield _figure(count, "memory", _memory_mb(driver.take_over), "MB of a coordinator")


def _figure(count: int, name: str, value: float, unit: str) -> Figure:
    return Figure(
        name=f"large_jobs.{count}_tasks.{name}", value=round(value, 1), unit=unit
    )


def figures() -> Iterator[Figure]:
    """Yield the figures for each number of tasks."""
    for count in COUNTS:
        yield from _play(count)
