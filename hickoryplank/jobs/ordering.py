"""Which job of a pool is served next.

Load that this answers: for some seconds a queue asks several times what its pool
holds. Work that can still meet its objective goes before work that can't, nearest
objective first; among work that is late anyway the shortest goes first, so that
as many callers as possible are served. What a team hands in beyond its share comes
last.
"""

from hickoryplank.jobs.directory import Directory, Queue
from hickoryplank.jobs.model import Job, Step
from hickoryplank.jobs.table import JobRow

__all__ = ["chain_ms", "in_order", "objective_at"]

#: Run time that is assumed of a task without an estimate, in milliseconds; about
#: the mean of the users' kinds of request.
DEFAULT_TASK_MS = 1000


def _step_ms(step: Step) -> int:
    return step.estimate_ms or DEFAULT_TASK_MS


def chain_ms(job: Job, done: frozenset[int] = frozenset()) -> int:
    """Return the estimated time of the longest chain of steps that aren't done."""
    ends: list[int] = []
    for number, step in enumerate(job.steps):
        begin = max((ends[one] for one in step.after), default=0)
        ends.append(begin + (0 if number in done else _step_ms(step)))
    return max(ends, default=0)


def objective_at(row: JobRow, queue: Queue) -> float:
    """Return until when the job is worth most, by our clock."""
    wanted_ms = queue.stretch * chain_ms(row.job) + queue.slack_ms
    return row.accepted_at + wanted_ms / 1000


def _remaining(row: JobRow) -> frozenset[int]:
    rows = row.steps.get(0, [])
    return frozenset(one.number for one in rows if not one.left)


def in_order(rows: list[JobRow], directory: Directory, now: float) -> list[JobRow]:
    """Return jobs of one pool in the order in which they are served."""
    return sorted(rows, key=lambda row: _rank(row, directory, now))


def _rank(row: JobRow, directory: Directory, now: float) -> tuple[float, ...]:
    queue = directory.queues.get(row.job.queue)
    if queue is None:
        return (1, 0, 0, row.accepted_at)
    if row.job.lasting:
        return (0, queue.priority, 0, row.accepted_at)
    objective = objective_at(row, queue)
    left = chain_ms(row.job, _remaining(row)) / 1000
    if row.excess:
        return (2, queue.priority, 0, row.accepted_at)
    if now + left <= objective:
        return (0, queue.priority, 1, objective - left)
    return (1, queue.priority, left, row.accepted_at)
