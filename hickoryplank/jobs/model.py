"""Jobs as callers hand them in: steps of tasks."""

import msgspec

from hickoryplank.core.ids import JobId, PoolId, QueueId, TeamId
from hickoryplank.jobs.sizes import Size

__all__ = ["Job", "Step", "TaskKey"]


class TaskKey(msgspec.Struct, frozen=True, array_like=True):
    """Name of one task.

    :param occurrence: which repetition of the job, from 0.
    :param step: position of the step in the job, from 0.
    :param index: position of the task in the step, from 0.
    """

    job: JobId
    occurrence: int
    step: int
    index: int


class Step(msgspec.Struct, frozen=True, omit_defaults=True):
    """A step: ``count`` tasks of the same kind.

    :param size: what each task needs.
    :param estimate_ms: the caller's rough guess of a task's run time.
    :param after: positions of steps that must be done first.
    :param checkpointing: tasks can resume from a saved state.
    :param gang: tasks run only all together, and end together.
    :param same_rack: a gang that is slower across racks.
    :param required_label: label that the endpoint must carry; empty for any.
    :param affinity: rack near the data; empty for any.
    :param max_per_endpoint: most tasks of one occurrence on an endpoint; 0: any.
    :param speculative: copies of a task may run beside each other.
    :param lasting: tasks run until the job is cancelled.
    :param image: tasks of one image behave alike.
    :param target_ms: bound of the tail of a serving task's response times; 0: none.
    :param fills: the processor part of ``size`` isn't counted against capacity.
    :param may_miss: tasks that may be away at once by the system's own doing.
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
        """What a task takes of its endpoint's capacity."""
        return self.size.without_cpu() if self.fills else self.size


class Job(msgspec.Struct, frozen=True, omit_defaults=True):
    """An accepted job.

    :param payload: text that is handed to each task unchanged.
    :param accepted_ms: time of day when it was accepted, in Unix milliseconds.
    :param repeats: number of timed occurrences; 0 for a job that runs once, now.
    :param first_ms: due time of occurrence 0, in Unix milliseconds.
    :param period_ms: time from one occurrence to the next.
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

    @property
    def lasting(self) -> bool:
        """Whether some task runs until the job is cancelled."""
        return any(step.lasting for step in self.steps)

    @property
    def occurrences(self) -> int:
        """How often the steps run."""
        return max(1, self.repeats)

    def due_ms(self, occurrence: int) -> int:
        """Return when an occurrence may start, in Unix milliseconds."""
        return self.first_ms + occurrence * self.period_ms if self.repeats else 0
