"""Jobs, endpoints, waves and VMs whose input could not be applied.

What the input of one of them raises sets that one aside, and everything else goes on.
It is tried again after a pause, which grows while it fails. The table is kept in
memory: what is set aside has its state in the store and at the endpoints, from which
the next coordinator derives the same again.
"""

from collections.abc import Iterator
from contextlib import contextmanager
from enum import Enum
from types import TracebackType

import msgspec

from hickoryplank.core.ids import EndpointId, JobId, VmId, WaveId

__all__ = [
    "FIRST_PAUSE_SECONDS",
    "FORGET_SECONDS",
    "MAX_PAUSE_SECONDS",
    "Fault",
    "Quarantine",
    "Subject",
    "SubjectKind",
    "endpoint_subject",
    "job_subject",
    "vm_subject",
    "wave_subject",
]

#: Pause before what was set aside is tried again, in seconds; each further failure
#: doubles it.
FIRST_PAUSE_SECONDS = 0.5
#: Longest pause, in seconds.
MAX_PAUSE_SECONDS = 60.0
#: Time without a failure after which the next pause is the first again, in seconds.
FORGET_SECONDS = 120.0
#: End of the pause of what is being tried again.
_BEING_TRIED = float("-inf")


class SubjectKind(Enum):
    """Kind of what is set aside, as shown in logs and metrics."""

    JOB = "job"
    ENDPOINT = "endpoint"
    WAVE = "wave"
    VM = "vm"
    #: The order of service in a pool.
    POOL = "pool"
    #: The planning of moves of VMs between all pools.
    MOVES = "moves"
    #: The pace of filling tasks on an endpoint.
    PACE = "pace"


class Subject(msgspec.Struct, frozen=True):
    """What is set aside.

    :param id: its id; that of an endpoint also names the incarnation.
    """

    kind: SubjectKind
    id: str


class Fault(msgspec.Struct, frozen=True):
    """An unexpected exception, to be logged and counted once.

    :param failures: consecutive failures of the subject, including this one.
    :param pause_s: pause before the next try, in seconds.
    """

    subject: Subject
    exc: Exception
    failures: int
    pause_s: float


class _Entry(msgspec.Struct):
    """Failures of a subject.

    :param next_try_at: end of the pause, by the local clock, in seconds; none until
        the time is next known.
    :param released_at: when it was last tried without a failure; none while it is set
        aside.
    :param places: where the exceptions since it was last released were raised.
    """

    failures: int = 0
    pause_s: float = 0.0
    next_try_at: float | None = None
    released_at: float | None = None
    places: set[tuple[str, int]] = msgspec.field(default_factory=set)


class Quarantine:
    """Table of what is set aside, with the pause before the next try."""

    def __init__(self) -> None:
        self._entries: dict[Subject, _Entry] = {}
        self._faults: list[Fault] = []

    @contextmanager
    def guard(
        self, subject: Subject, *, passes: tuple[type[Exception], ...] = ()
    ) -> Iterator[None]:
        """Set a subject aside if the body raises, and go on after the body.

        Cancellation passes, as it is no ``Exception``.

        :param passes: exceptions that don't come from the subject, and pass.
        """
        try:
            yield
        except passes:
            raise
        except Exception as exc:
            self.set_aside(subject, exc)

    def set_aside(self, subject: Subject, exc: Exception) -> None:
        """Set a subject aside, for longer if it is set aside again.

        What a subject raises within its pause doesn't make that longer, and is reported
        only if it was raised at another place.
        """
        entry = self._entries.get(subject)
        place = _place(exc.__traceback__)
        if entry is not None and entry.released_at is None:
            within_pause = entry.next_try_at != _BEING_TRIED
            if within_pause and place in entry.places:
                return
        else:
            within_pause = False
        if entry is None:
            entry = self._entries[subject] = _Entry()
        if not within_pause:
            entry.failures += 1
            doubled_s = FIRST_PAUSE_SECONDS * 2 ** min(entry.failures - 1, 30)
            entry.pause_s = min(MAX_PAUSE_SECONDS, doubled_s)
            entry.next_try_at = entry.released_at = None
            entry.places.clear()
        entry.places.add(place)
        self._faults.append(Fault(subject, exc, entry.failures, entry.pause_s))

    def is_aside(self, subject: Subject) -> bool:
        """Return whether a subject is set aside, or is being tried again."""
        entry = self._entries.get(subject)
        return entry is not None and entry.released_at is None

    def has_job(self, job: JobId) -> bool:
        """Return whether a job is set aside."""
        return bool(self._entries) and self.is_aside(job_subject(job))

    def is_paused(self, subject: Subject, now: float) -> bool:
        """Return whether a subject is set aside and isn't to be tried yet.

        The pause begins with the first call after the failure. Once it is over, the
        caller has to try, and to report the outcome by ``set_aside`` or ``release``.
        """
        entry = self._entries.get(subject)
        if entry is None or entry.released_at is not None:
            return False
        if entry.next_try_at is None:
            entry.next_try_at = now + entry.pause_s
        if now < entry.next_try_at:
            return True
        entry.next_try_at = _BEING_TRIED
        return False

    def release(self, subject: Subject, now: float) -> bool:
        """Return a subject to service; return whether it was set aside."""
        entry = self._entries.get(subject)
        if entry is None or entry.released_at is not None:
            return False
        entry.released_at = now
        return True

    def due(self, kind: SubjectKind, now: float) -> list[str]:
        """Return the ids of the subjects of a kind that are to be tried now."""
        self._forget(now)
        return [
            subject.id
            for subject, entry in self._entries.items()
            if subject.kind is kind
            and entry.released_at is None
            and not self.is_paused(subject, now)
        ]

    def discard(self, subject: Subject) -> None:
        """Forget a subject that is gone."""
        self._entries.pop(subject, None)

    def _forget(self, now: float) -> None:
        for subject, entry in list(self._entries.items()):
            released_at = entry.released_at
            if released_at is not None and now - released_at > FORGET_SECONDS:
                del self._entries[subject]

    def counts(self) -> dict[SubjectKind, int]:
        """Return how many subjects of each kind are set aside."""
        counts = dict.fromkeys(SubjectKind, 0)
        for subject, entry in self._entries.items():
            counts[subject.kind] += entry.released_at is None
        return counts

    def take_faults(self) -> list[Fault]:
        """Return the exceptions since the last call."""
        faults, self._faults = self._faults, []
        return faults


def _place(traceback: TracebackType | None) -> tuple[str, int]:
    """Return file and line at which an exception was raised."""
    if traceback is None:
        return ("", 0)
    while traceback.tb_next is not None:
        traceback = traceback.tb_next
    return (traceback.tb_frame.f_code.co_filename, traceback.tb_lineno)


def job_subject(id: JobId) -> Subject:
    """Return the subject for a job."""
    return Subject(SubjectKind.JOB, id)


def endpoint_subject(id: EndpointId, born_ms: int) -> Subject:
    """Return the subject for an incarnation of an endpoint.

    :param born_ms: start of the incarnation, in Unix milliseconds.
    """
    return Subject(SubjectKind.ENDPOINT, f"{id} of {born_ms}")


def wave_subject(id: WaveId) -> Subject:
    """Return the subject for a wave."""
    return Subject(SubjectKind.WAVE, id)


def vm_subject(id: VmId) -> Subject:
    """Return the subject for a VM."""
    return Subject(SubjectKind.VM, id)
