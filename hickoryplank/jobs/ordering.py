"""Order in which the jobs of a pool are served.

The order matters while the load of a queue is several times the capacity of its pool,
which lasts for some seconds. Jobs that can still meet their latency objective go
first, by the latest start that meets it. Among late jobs the shortest goes first, so
that as many callers as possible are served. Jobs beyond the share of their team come
after these, and jobs for which no caller is likely to wait any more come last.
"""

from hickoryplank.jobs.configuration import Configuration, QueueTerms
from hickoryplank.jobs.model import Job, Step
from hickoryplank.jobs.table import JobRow

__all__ = [
    "critical_path_ms",
    "objective_s",
    "patience_s",
    "remaining_path_s",
    "sort_jobs",
    "task_ms",
    "worth_serving",
]

#: Run time assumed for a task without an estimate; about the mean over the
#: users' kinds of requests.
DEFAULT_TASK_MS = 1000
#: Multiple of its objective up to which a job is worth serving.
ABANDONMENT_FACTOR = 3.0
#: Least time for which a job is worth serving, whatever its estimate: three times the
#: objective of a job with a critical path of two seconds.
MIN_ABANDONMENT_SECONDS = 10.0


def task_ms(step: Step) -> int:
    """Return the estimated run time of a task of a step, in milliseconds."""
    return step.estimate_ms or DEFAULT_TASK_MS


def critical_path_ms(job: Job, done: frozenset[int] = frozenset()) -> int:
    """Return the estimated length of the critical path, in milliseconds.

    :param done: positions of the steps that are done, which take no time.
    """
    ends: list[int] = []
    for number, step in enumerate(job.steps):
        begin = max((ends[one] for one in step.after), default=0)
        ends.append(begin + (0 if number in done else task_ms(step)))
    return max(ends, default=0)


def _remaining_path_ms(row: JobRow, done: frozenset[int] = frozenset()) -> int:
    """Return the length of the critical path of a job, which is computed only once."""
    length_ms = row.path_ms.get(done)
    if length_ms is None:
        length_ms = row.path_ms[done] = critical_path_ms(row.job, done)
    return length_ms


def objective_s(row: JobRow, terms: QueueTerms) -> float:
    """Return the latency objective of a job, in seconds."""
    return (terms.stretch * _remaining_path_ms(row) + terms.slack_ms) / 1000


def worth_serving(row: JobRow, terms: QueueTerms | None, now: float) -> bool:
    """Return whether a caller is likely to be still waiting for the end of a job.

    Estimates may be far too low. A job is therefore served for some time beyond the
    time that its estimate suggests.
    """
    if row.lasting or row.job.repeats or terms is None:
        return True
    return now < row.accepted_at + patience_s(row, terms)


def patience_s(row: JobRow, terms: QueueTerms) -> float:
    """Return for how long a caller is likely to wait for the end, in seconds."""
    abandonment_s = ABANDONMENT_FACTOR * objective_s(row, terms)
    return max(abandonment_s, MIN_ABANDONMENT_SECONDS)


def _done_steps(row: JobRow) -> frozenset[int]:
    if 0 in row.ended_occurrences:
        return frozenset(range(len(row.job.steps)))
    rows = row.steps.get(0, [])
    return frozenset(one.number for one in rows if not one.remaining)


def remaining_path_s(row: JobRow) -> float:
    """Return the length of the critical path of what is left, in seconds."""
    return _remaining_path_ms(row, _done_steps(row)) / 1000


def sort_jobs(
    rows: list[JobRow], configuration: Configuration, now: float
) -> list[JobRow]:
    """Return the jobs of a pool in the order in which they are served."""
    return sorted(rows, key=lambda row: _rank(row, configuration, now))


def _rank(row: JobRow, configuration: Configuration, now: float) -> tuple[float, ...]:
    terms = row.job.terms_in(configuration)
    if terms is None:
        return (1, 0, 0, row.accepted_at)
    if row.lasting:
        return (0, terms.priority, 0, row.accepted_at)
    objective_at = row.accepted_at + objective_s(row, terms)
    remaining_s = remaining_path_s(row)
    if row.over_share:
        return (2, terms.priority, 0, row.accepted_at)
    if not worth_serving(row, terms, now):
        return (3, terms.priority, 0, row.accepted_at)
    if now + remaining_s <= objective_at:
        return (0, terms.priority, 1, objective_at - remaining_s)
    return (1, terms.priority, remaining_s, row.accepted_at)
