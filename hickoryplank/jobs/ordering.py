"""Which job of a pool is served next.

Load that this answers: for some seconds a queue asks several times what its pool
holds. Work that can still meet its objective goes before work that can't, nearest
objective first; among work that is late anyway the shortest goes first, so that
as many callers as possible are served. What a team hands in beyond its share comes
last, but for work that nobody waits for any more.
"""

from hickoryplank.jobs.configuration import Configuration, Queue
from hickoryplank.jobs.model import Job, Step
from hickoryplank.jobs.table import JobRow

__all__ = ["chain_ms", "in_order", "objective_s", "task_ms", "worth_serving"]

#: Run time that is assumed of a task without an estimate, in milliseconds; about
#: the mean of the users' kinds of request.
DEFAULT_TASK_MS = 1000
#: A job is worth something up to this many times its objective.
LATE_TIMES = 3.0
#: A job is worth something for this long whatever its estimate, in seconds: three
#: times the objective of a job whose chain takes two seconds.
LEAST_LATE_SECONDS = 10.0


def task_ms(step: Step) -> int:
    """Return the estimated run time of one of a step's tasks."""
    return step.estimate_ms or DEFAULT_TASK_MS


def chain_ms(job: Job, done: frozenset[int] = frozenset()) -> int:
    """Return the estimated time of the longest chain of steps that aren't done."""
    ends: list[int] = []
    for number, step in enumerate(job.steps):
        begin = max((ends[one] for one in step.after), default=0)
        ends.append(begin + (0 if number in done else task_ms(step)))
    return max(ends, default=0)


def objective_s(job: Job, queue: Queue) -> float:
    """Return within how many seconds a job is worth most."""
    return (queue.stretch * chain_ms(job) + queue.slack_ms) / 1000


def worth_serving(row: JobRow, queue: Queue | None, now: float) -> bool:
    """Return whether somebody still waits for a job's end.

    Estimates may be far too low, so a job counts for some while longer than its
    estimate says.
    """
    if row.job.lasting or row.job.repeats or queue is None:
        return True
    late_s = LATE_TIMES * objective_s(row.job, queue)
    return now < row.accepted_at + max(late_s, LEAST_LATE_SECONDS)


def _remaining(row: JobRow) -> frozenset[int]:
    rows = row.steps.get(0, [])
    return frozenset(one.number for one in rows if not one.left)


def in_order(
    rows: list[JobRow], configuration: Configuration, now: float
) -> list[JobRow]:
    """Return jobs of one pool in the order in which they are served."""
    return sorted(rows, key=lambda row: _rank(row, configuration, now))


def _rank(row: JobRow, configuration: Configuration, now: float) -> tuple[float, ...]:
    queue = configuration.queues.get(row.job.queue)
    if queue is None:
        return (1, 0, 0, row.accepted_at)
    if row.job.lasting:
        return (0, queue.priority, 0, row.accepted_at)
    objective = row.accepted_at + objective_s(row.job, queue)
    left = chain_ms(row.job, _remaining(row)) / 1000
    if row.excess:
        return (2, queue.priority, 0, row.accepted_at)
    if not worth_serving(row, queue, now):
        return (3, queue.priority, 0, row.accepted_at)
    if now + left <= objective:
        return (0, queue.priority, 1, objective - left)
    return (1, queue.priority, left, row.accepted_at)
