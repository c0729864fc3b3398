"""Table of jobs and their tasks."""

from enum import Enum

from hickoryplank.core.ids import EndpointId, JobId
from hickoryplank.jobs.endpoints import Endpoint, Run
from hickoryplank.jobs.model import Job, Step, TaskKey

__all__ = ["JobRow", "JobState", "Place", "Plan", "StepRow", "Task", "TaskState"]


class JobState(Enum):
    """What callers are told of a job."""

    QUEUED = "queued"
    RUNNING = "running"
    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"

    @property
    def final(self) -> bool:
        """Whether nothing of the job starts any more."""
        return self not in (JobState.QUEUED, JobState.RUNNING)


class TaskState(Enum):
    """How far a task has come."""

    WAITING = 0
    ACTIVE = 1
    DONE = 2


class Place:
    """Where a run was assigned, as the store has it.

    :param planned: it was recorded ahead of its turn, and may not have been started.
    """

    __slots__ = ("born_ms", "endpoint", "planned")

    def __init__(self, endpoint: EndpointId, born_ms: int, planned: bool = False):
        self.endpoint = endpoint
        self.born_ms = born_ms
        self.planned = planned


class Plan:
    """Where a task's next run is to be once its turn has come.

    :param stored: a record that names it is stored, so that it may be used.
    """

    __slots__ = ("endpoint", "stored")

    def __init__(self, endpoint: Endpoint):
        self.endpoint = endpoint
        self.stored = False


class Task:
    """One task of a step.

    :param attempt: number of its last run, from 1; 0 before the first.
    :param failures: runs that ended ``failed``.
    :param failed_on: where they ran, as far as this term has seen it.
    :param run: its run, while one may be there.
    :param place: where the store says that its run is, until that is settled.
    :param plan: where it will run, recorded ahead of its turn.
    :param checkpoint: newest checkpoint; empty for none.
    :param working: for a lasting task, whether it is at work.
    """

    __slots__ = (
        "attempt",
        "failed_on",
        "failures",
        "key",
        "not_before",
        "place",
        "plan",
        "run",
        "checkpoint",
        "state",
        "working",
    )

    def __init__(self, key: TaskKey):
        self.key = key
        self.state = TaskState.WAITING
        self.attempt = 0
        self.failures = 0
        self.failed_on: frozenset[EndpointId] = frozenset()
        self.run: Run | None = None
        self.place: Place | None = None
        self.plan: Plan | None = None
        self.checkpoint = ""
        self.not_before = 0.0
        self.working = False


class StepRow:
    """A step of one occurrence.

    :param waiting: tasks that have no run.
    :param left: tasks that aren't done.
    """

    __slots__ = ("left", "number", "occurrence", "step", "tasks", "waiting")

    def __init__(self, job: JobId, occurrence: int, number: int, step: Step):
        self.occurrence = occurrence
        self.number = number
        self.step = step
        self.tasks = [
            Task(TaskKey(job, occurrence, number, index)) for index in range(step.count)
        ]
        self.waiting: dict[int, Task] = dict(enumerate(self.tasks))
        self.left = step.count

    def away(self) -> int:
        """Return how many tasks aren't at work."""
        return sum(1 for task in self.tasks if not task.working)


class JobRow:
    """A job and all that is known of its tasks.

    :param excess: its team had handed in more than its share when it came.
    :param unplanned: tasks may have come to wait since plans were made.
    :param stored: state as the store has it; callers are told no other end.
    """

    def __init__(self, job: Job, accepted_at: float, excess: bool = False):
        self.job = job
        self.excess = excess
        self.accepted_at = accepted_at
        self.state = JobState.QUEUED
        self.stored = JobState.QUEUED
        self.steps: dict[int, list[StepRow]] = {}
        self.begun = False
        self.unplanned = True

    def open_occurrence(self, occurrence: int) -> list[StepRow]:
        """Return the steps of an occurrence; make them if they aren't there."""
        rows = self.steps.get(occurrence)
        if rows is None:
            rows = self.steps[occurrence] = [
                StepRow(self.job.id, occurrence, number, step)
                for number, step in enumerate(self.job.steps)
            ]
        return rows

    def task(self, key: TaskKey) -> Task | None:
        """Return a task, if the job has it."""
        if not 0 <= key.occurrence < self.job.occurrences:
            return None
        rows = self.open_occurrence(key.occurrence)
        if not 0 <= key.step < len(rows):
            return None
        tasks = rows[key.step].tasks
        return tasks[key.index] if 0 <= key.index < len(tasks) else None

    def step_of(self, key: TaskKey) -> StepRow:
        """Return the step that a task belongs to."""
        return self.steps[key.occurrence][key.step]

    def ready_steps(self, occurrence: int) -> list[StepRow]:
        """Return the steps that have waiting tasks and whose turn has come."""
        rows = self.steps[occurrence]
        return [
            row
            for row in rows
            if row.waiting and all(not rows[one].left for one in row.step.after)
        ]

    def all_tasks(self) -> list[Task]:
        """Return every task of every opened occurrence."""
        return [
            task for rows in self.steps.values() for row in rows for task in row.tasks
        ]

    @property
    def complete(self) -> bool:
        """Whether every task of every occurrence is done."""
        return len(self.steps) == self.job.occurrences and all(
            not row.left for rows in self.steps.values() for row in rows
        )
