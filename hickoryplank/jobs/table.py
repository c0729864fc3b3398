"""Jobs, steps and tasks, and their state."""

from enum import Enum
from typing import NamedTuple

from hickoryplank.core.ids import EndpointId, JobId
from hickoryplank.jobs.endpoints import Endpoint, Run
from hickoryplank.jobs.model import Job, Step, TaskKey
from hickoryplank.jobs.occurrences import OccurrenceSet

__all__ = [
    "JobRow",
    "JobState",
    "StoredAssignment",
    "PreAssignment",
    "StatePart",
    "StepRow",
    "StoredState",
    "Task",
    "TaskState",
]

#: Tasks of occurrences that have not begun, from which on no further one is opened. It
#: bounds the memory and the work of a tick for a job that has many due occurrences.
MAX_UNBEGUN_TASKS = 1000
#: Tasks of a step whose states share a record, if the state of the job is split: with
#: checkpoints some 3 KB, of which an end writes all again.
TASKS_PER_PART = 64


class JobState(Enum):
    """State of a job as reported to callers."""

    QUEUED = "queued"
    RUNNING = "running"
    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"

    @property
    def final(self) -> bool:
        """Whether the job has ended, so that none of its tasks is started again."""
        return self not in (JobState.QUEUED, JobState.RUNNING)


class TaskState(Enum):
    """State of a task."""

    WAITING = 0
    ACTIVE = 1
    DONE = 2


class StoredAssignment:
    """Assignment of a run, as found in the store.

    :param born_ms: start of the endpoint's incarnation, in Unix milliseconds.
    :param preassigned: the assignment was stored as a pre-assignment; the run may never
        have been started.
    """

    __slots__ = ("born_ms", "endpoint", "preassigned")

    def __init__(self, endpoint: EndpointId, born_ms: int, preassigned: bool = False):
        self.endpoint = endpoint
        self.born_ms = born_ms
        self.preassigned = preassigned


class PreAssignment:
    """Endpoint chosen in advance for the next run of a task.

    :param stored: a record that contains it is stored, so that it may be used.
    """

    __slots__ = ("endpoint", "stored")

    def __init__(self, endpoint: Endpoint):
        self.endpoint = endpoint
        self.stored = False


class Task:
    """One task of a step.

    :param attempt: attempt number of the last run, from 1; 0 before the first.
    :param failures: number of runs that ended ``failed``.
    :param failed_on: endpoints of the runs that failed or stalled during this term.
    :param run: the current run, while one may exist.
    :param stored_assignment: assignment of a former term, until its endpoint is listed.
    :param preassignment: endpoint chosen in advance for the next run.
    :param checkpoint: newest checkpoint; empty if there is none.
    :param not_before: earliest time of the next start, by the local clock, in seconds.
    :param working: whether the run of a lasting task reports a progress of 100 %, which
        means full operation.
    """

    __slots__ = (
        "attempt",
        "failed_on",
        "failures",
        "key",
        "not_before",
        "stored_assignment",
        "preassignment",
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
        self.stored_assignment: StoredAssignment | None = None
        self.preassignment: PreAssignment | None = None
        self.checkpoint = ""
        self.not_before = 0.0
        self.working = False


class StepRow:
    """A step of one occurrence of a job.

    :param number: position of the step in the job, from 0.
    :param waiting: tasks without a run that are not done, by index.
    :param remaining: number of tasks that are not done.
    """

    __slots__ = ("remaining", "number", "occurrence", "step", "tasks", "waiting")

    def __init__(self, job: JobId, occurrence: int, number: int, step: Step):
        self.occurrence = occurrence
        self.number = number
        self.step = step
        self.tasks = [
            Task(TaskKey(job, occurrence, number, index)) for index in range(step.count)
        ]
        self.waiting: dict[int, Task] = dict(enumerate(self.tasks))
        self.remaining = step.count

    def unavailable_count(self) -> int:
        """Return the number of tasks that are not in full operation."""
        return sum(1 for task in self.tasks if not task.working)


class StatePart(NamedTuple):
    """A block of tasks of one step, whose states share a record.

    :param block: number of the block in the step, from 0.
    """

    occurrence: int
    step: int
    block: int


class StoredState:
    """What the store has of the state of a job, and what has changed since.

    :param tasks_per_part: tasks of a step whose states share a record, once the state
        is split.
    :ivar split: the state is stored as a head and parts from the next record on.
    :ivar split_in_store: the head in the store says so. Otherwise the store has all
        tasks in one record, and parts mean nothing.
    :ivar head: newest head that was sent; none if it has to be sent again.
    :ivar parts: parts that the store may have.
    :ivar changed: parts with changes that are in no record yet.
    :ivar sending: parts in the batch that is being stored.
    """

    __slots__ = (
        "changed",
        "deleting",
        "head",
        "parts",
        "sending",
        "split",
        "split_in_store",
        "tasks_per_part",
    )

    def __init__(self, tasks_per_part: int = TASKS_PER_PART):
        self.tasks_per_part = tasks_per_part
        self.split = False
        self.split_in_store = False
        self.head: bytes | None = None
        self.parts: set[StatePart] = set()
        self.changed: set[StatePart] = set()
        self.sending: set[StatePart] = set()
        self.deleting: set[StatePart] = set()

    def part_of(self, key: TaskKey) -> StatePart:
        """Return the part with the state of a task."""
        return StatePart(key.occurrence, key.step, key.index // self.tasks_per_part)

    def confirm(self) -> None:
        """Record that the newest records are stored."""
        self.split_in_store = self.split
        self.parts -= self.deleting
        self.deleting.clear()
        self.sending.clear()

    def refuse(self) -> None:
        """Record that the newest records are not stored, or not all of them.

        Everything that they contained is written again, as a head and parts: these are
        the smallest records there are.
        """
        self.split = True
        self.withdraw()

    def withdraw(self) -> None:
        """Have everything written again that the newest records contained."""
        self.head = None
        self.changed |= self.sending | self.deleting
        self.deleting.clear()
        self.sending.clear()


class JobRow:
    """A job and the state of its tasks.

    :param accepted_at: time of acceptance, by the local clock, in seconds.
    :param over_share: the team had exceeded its share when it submitted the job.
    :param stored_state: state in the newest stored record; an end is reported to
        callers only once it is stored.
    :param steps: steps of each occurrence that is open.
    :param ended_occurrences: occurrences of a timed job whose tasks are done and have
        no runs; nothing else is kept of them.
    :param next_occurrence: all occurrences before this one are open or have ended.
    :param recorded: the job's record is stored.
    :param refusals: number of times in a row that the store has refused its records.
    :param batches_to_skip: number of batches before its records are sent again.
    :param begun: an endpoint has confirmed that it started some task.
    :param lasting: any task runs until the job is cancelled.
    :param returned: it had been refused, and its caller came back when told to.
    :param needs_preassignment: tasks may have started to wait since the last
        pre-assignment.
    """

    def __init__(self, job: Job, accepted_at: float, over_share: bool = False):
        self.job = job
        self.over_share = over_share
        self.accepted_at = accepted_at
        self.state = JobState.QUEUED
        self.stored_state = JobState.QUEUED
        self.steps: dict[int, list[StepRow]] = {}
        self.ended_occurrences = OccurrenceSet()
        self.next_occurrence = 0
        self.recorded = False
        self.stored = StoredState()
        self.refusals = 0
        self.batches_to_skip = 0
        self.begun = False
        self.needs_preassignment = True
        self.lasting = job.lasting
        self.returned = False
        #: Lengths of the critical path in milliseconds, by the steps that are done.
        self.path_ms: dict[frozenset[int], int] = {}

    def note_change(self, *tasks: Task) -> None:
        """Have the states of tasks stored with the next records of the job."""
        self.stored.changed.update(self.stored.part_of(task.key) for task in tasks)

    def open_occurrence(self, occurrence: int) -> list[StepRow]:
        """Return the steps of an occurrence, creating them if necessary."""
        rows = self.steps.get(occurrence)
        if rows is None:
            rows = self.steps[occurrence] = [
                StepRow(self.job.id, occurrence, number, step)
                for number, step in enumerate(self.job.steps)
            ]
        return rows

    def open_due_occurrences(self, wall_ms: int) -> None:
        """Open the occurrences that are due, up to ``MAX_UNBEGUN_TASKS``.

        :param wall_ms: time of day, in Unix milliseconds.
        """
        if self.next_occurrence >= self.job.occurrences:
            return
        due_count = self.job.due_count(wall_ms)
        if self.next_occurrence >= due_count:
            return
        tasks_each = sum(step.count for step in self.job.steps)
        unbegun = sum(
            tasks_each
            for rows in self.steps.values()
            if all(len(row.waiting) == row.step.count for row in rows)
        )
        while True:
            self.next_occurrence = self.ended_occurrences.next_missing(
                self.next_occurrence
            )
            if self.next_occurrence >= due_count:
                return
            if self.next_occurrence not in self.steps:
                if unbegun and unbegun + tasks_each > MAX_UNBEGUN_TASKS:
                    return
                self.open_occurrence(self.next_occurrence)
                unbegun += tasks_each
            self.next_occurrence += 1

    def discard_occurrence_if_ended(self, occurrence: int) -> bool:
        """Discard the steps of an occurrence of a timed job once nothing is left to do.

        A job that runs once keeps them until it is dropped as a whole.

        :return: whether they were discarded.
        """
        rows = self.steps.get(occurrence) if self.job.repeats else None
        if rows is None or any(row.remaining for row in rows):
            return False
        tasks = (task for row in rows for task in row.tasks)
        if any(task.run or task.stored_assignment for task in tasks):
            return False
        del self.steps[occurrence]
        self.ended_occurrences.add(occurrence)
        return True

    def task(self, key: TaskKey) -> Task | None:
        """Return the task with the given key, if the job has one.

        There is none in an occurrence that has ended.
        """
        if self.job.step_of(key) is None or key.occurrence in self.ended_occurrences:
            return None
        return self.open_occurrence(key.occurrence)[key.step].tasks[key.index]

    def step_of(self, key: TaskKey) -> StepRow:
        """Return the step of the task with the given key."""
        return self.steps[key.occurrence][key.step]

    def ready_steps(self, occurrence: int) -> list[StepRow]:
        """Return the steps with waiting tasks whose predecessors are all done."""
        rows = self.steps[occurrence]
        return [
            row
            for row in rows
            if row.waiting and all(not rows[one].remaining for one in row.step.after)
        ]

    @property
    def has_waiting(self) -> bool:
        """Whether any task of an open occurrence waits for a run."""
        return any(row.waiting for rows in self.steps.values() for row in rows)

    def all_tasks(self) -> list[Task]:
        """Return the tasks of all open occurrences."""
        return [
            task for rows in self.steps.values() for row in rows for task in row.tasks
        ]

    @property
    def has_run(self) -> bool:
        """Whether any task of an open occurrence has a run."""
        return any(task.run for task in self.all_tasks())

    @property
    def complete(self) -> bool:
        """Whether every task of every occurrence is done."""
        known = len(self.steps) + len(self.ended_occurrences)
        return known == self.job.occurrences and all(
            not row.remaining for rows in self.steps.values() for row in rows
        )
