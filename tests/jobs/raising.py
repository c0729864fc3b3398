"""Makes functions of the engine raise for one job, as a fault in them would."""

import sys
from collections.abc import Callable, Iterator
from contextlib import ExitStack, contextmanager
from functools import wraps
from unittest.mock import patch

from hickoryplank.core.ids import JobId
from hickoryplank.jobs import assignment, engine, incarnations, ordering, reports
from hickoryplank.jobs.endpoints import Run
from hickoryplank.jobs.engine_tables import EngineTables
from hickoryplank.jobs.messages import End, RunningTask
from hickoryplank.jobs.model import Job
from hickoryplank.jobs.table import JobRow

__all__ = ["PLACES", "InjectedFault", "Raiser"]

#: Functions that are given something of one job, by a short name.
PLACES: dict[str, tuple[object, str]] = {
    "context of an end": (reports, "_context_of"),
    "apply an end": (reports, "_apply_end"),
    "note an end": (reports, "_note_end"),
    "update progress": (reports, "_update_progress"),
    "look for a stall": (reports, "restart_if_stalled"),
    "settle an unreported run": (reports, "_settle_unreported_run"),
    "answer of a start": (reports, "start_answered"),
    "whether a start is due": (reports, "is_start_due"),
    "adopt an assignment": (incarnations, "_adopt_assignment"),
    "assign a job": (assignment, "_assign_job"),
    "assign a task": (assignment, "_assign_task"),
    "assign a gang": (assignment, "_assign_gang"),
    "order jobs": (ordering, "_rank"),
    "open occurrences": (JobRow, "open_due_occurrences"),
    "discard an occurrence": (JobRow, "discard_occurrence_if_ended"),
    "create a run": (EngineTables, "create_run"),
    "close a run": (EngineTables, "close_run"),
    "give a run up": (EngineTables, "_give_up_run"),
    "requeue a task": (EngineTables, "requeue"),
    "end a job": (EngineTables, "end_job"),
    "rebuild a job": (engine, "rebuild_job"),
    "encode a job": (engine, "encode_job"),
    "encode a state": (engine, "encode_state_changes"),
}


class InjectedFault(Exception):
    """Raised in place of the exception of a fault."""


class Raiser:
    """Raises in some calls for one job.

    :ivar place: function that raises, a key of ``PLACES``; none raises if empty.
    :ivar job: the job for which it raises.
    :ivar left: calls for which it still raises.
    :ivar after: whether it raises when its work is done, not before.
    :ivar raised: calls in which it has raised.
    :ivar jobs: the jobs for which it has raised.
    """

    def __init__(self) -> None:
        self.place = ""
        self.job = JobId("")
        self.left = 0
        self.after = False
        self.raised = 0
        self.jobs: set[JobId] = set()

    def arm(self, place: str, job: JobId, left: int, after: bool) -> None:
        """Raise from now on."""
        self.place, self.job, self.left, self.after = place, job, left, after

    @contextmanager
    def installed(self) -> Iterator[None]:
        """Put the functions that raise in place of those of the engine."""
        with ExitStack() as stack:
            for place, (owner, name) in PLACES.items():
                wrapped = self._wrap(place, getattr(owner, name))
                stack.enter_context(patch.object(owner, name, wrapped))
            yield

    def _wrap(self, place: str, function: Callable) -> Callable:
        @wraps(function)
        def call(*args, **kwargs):
            raises = place == self.place and self.left > 0 and self._concerns(args)
            # That is the driver's part: a record that can't be applied is malformed.
            raises = raises and sys._getframe(1).f_code.co_name != "apply_state"
            if raises and not self.after:
                self._raise()
            result = function(*args, **kwargs)
            if raises and self.after:
                self._raise()
            return result

        return call

    def _concerns(self, args: tuple) -> bool:
        return any(_job_of(one) == self.job for one in args)

    def _raise(self) -> None:
        self.left -= 1
        self.raised += 1
        self.jobs.add(self.job)
        raise InjectedFault(f"{self.place} of {self.job}")


def _job_of(argument: object) -> JobId | None:
    match argument:
        case Job(id=id):
            return id
        case JobRow(job=Job(id=id)):
            return id
        case Run() | End() | RunningTask():
            return argument.key.job
    return None
