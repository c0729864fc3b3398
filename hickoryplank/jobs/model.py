"""Jobs as submitted by callers: steps of tasks."""

import msgspec

from hickoryplank.core.ids import JobId, PoolId, QueueId, TeamId
from hickoryplank.jobs.configuration import Configuration, QueueTerms
from hickoryplank.jobs.sizes import Size

__all__ = ["Job", "Step", "TaskKey"]


class TaskKey(msgspec.Struct, frozen=True, array_like=True):
    """Identifies a task.

    :param occurrence: repetition of the job, from 0.
    :param step: position of the step in the job, from 0.
    :param index: position of the task in the step, from 0.
    """

    job: JobId
    occurrence: int
    step: int
    index: int


class Step(msgspec.Struct, frozen=True, omit_defaults=True):
    """A step of a job: ``count`` tasks of the same kind.

    :param size: resources that each task needs.
    :param estimate_ms: the caller's rough estimate of the run time of a task; 0 if
        there is none.
    :param after: positions of the steps that must be done first.
    :param checkpointing: a task can resume from a checkpoint.
    :param gang: the tasks run only all together, and end together.
    :param same_rack: a gang that runs more slowly across racks.
    :param required_label: label that the endpoint must have; empty for any endpoint.
    :param affinity: rack near the data of the tasks; empty if there is none.
    :param max_per_endpoint: most tasks of one occurrence on an endpoint; 0 for no
        limit.
    :param speculative: several copies of a task may run at the same time.
    :param lasting: the tasks run until the job is cancelled.
    :param image: tasks with the same image behave alike.
    :param target_ms: upper bound of the tail of the response times of a serving task;
        0 if there is none.
    :param fills: the tasks use spare processor time: the CPU part of ``size`` is not
        counted against the capacity of the endpoint.
    :param may_miss: disruption budget: number of tasks that the system itself may
        make unavailable at the same time.
    """

    count: int
    size: Size = Size()
    estimate_ms: int = 0
    after: tuple[int, ...] = ()
    checkpointing: bool = False
    gang: bool = False
    same_rack: bool = False
    required_label: str = ""
    affinity: str = ""
    max_per_endpoint: int = 0
    speculative: bool = False
    lasting: bool = False
    image: str = ""
    target_ms: int = 0
    fills: bool = False
    may_miss: int = 0

    @property
    def counted_size(self) -> Size:
        """Resources that a task takes of the capacity of its endpoint."""
        return self.size.without_cpu() if self.fills else self.size


class Job(msgspec.Struct, frozen=True, omit_defaults=True):
    """An accepted job.

    :param payload: text that is passed to each task unchanged.
    :param accepted_ms: time of acceptance, in Unix milliseconds.
    :param repeats: number of timed occurrences; 0 for a job that runs once, at once.
    :param first_ms: due time of occurrence 0, in Unix milliseconds.
    :param period_ms: time from one occurrence to the next, in milliseconds.
    :param terms: terms of the queue at acceptance, which hold while the configuration
        lacks the queue; none in records of former versions.
    """

    id: JobId
    queue: QueueId
    pool: PoolId
    team: TeamId
    payload: str
    steps: tuple[Step, ...]
    accepted_ms: int
    repeats: int = 0
    first_ms: int = 0
    period_ms: int = 0
    terms: QueueTerms | None = None

    def terms_in(self, configuration: Configuration) -> QueueTerms | None:
        """Return the terms of the queue, as configured or else as at acceptance."""
        return configuration.queues.get(self.queue) or self.terms

    @property
    def lasting(self) -> bool:
        """Whether any task runs until the job is cancelled."""
        return any(step.lasting for step in self.steps)

    @property
    def occurrences(self) -> int:
        """Number of times that the steps run."""
        return max(1, self.repeats)

    def due_count(self, wall_ms: int) -> int:
        """Return the number of occurrences that are due.

        :param wall_ms: time of day, in Unix milliseconds.
        """
        if wall_ms < self.due_ms(0):
            return 0
        if not self.repeats or self.period_ms <= 0:
            return self.occurrences
        return min(self.occurrences, (wall_ms - self.first_ms) // self.period_ms + 1)

    def step_of(self, key: TaskKey) -> Step | None:
        """Return the step of the task with the given key, if the job has one."""
        if not 0 <= key.occurrence < self.occurrences:
            return None
        if not 0 <= key.step < len(self.steps):
            return None
        step = self.steps[key.step]
        return step if 0 <= key.index < step.count else None

    def due_ms(self, occurrence: int) -> int:
        """Return the earliest start of an occurrence, in Unix milliseconds."""
        return self.first_ms + occurrence * self.period_ms if self.repeats else 0
