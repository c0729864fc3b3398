"""Fault switches of the in-memory platform; the stand-ins set them over HTTP."""

import msgspec

from hickoryplank.external.errors import StartRefusal

__all__ = ["LogFaults", "VmListFaults", "WorkerFaults"]


class LogFaults(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """Faults of the log service.

    :param outage: every call is refused, without effect.
    :param slow_seconds: delay before each call takes effect.
    :param lose_answers: how many of the next appends take effect without an answer.
    :param keep_records: records kept in each stream; ``None`` keeps all.
    :param keep_seconds: age to which records are kept; ``None`` keeps all.
    """

    outage: bool = False
    slow_seconds: float = 0.0
    lose_answers: int = 0
    keep_records: int | None = None
    keep_seconds: float | None = None


class VmListFaults(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """Faults of the VM list.

    :param outage: every call fails, without effect.
    :param lag_seconds: how far the list that is read lies in the past.
    :param lose_answers: how many of the next reboots take effect without an answer.
    """

    outage: bool = False
    lag_seconds: float = 0.0
    lose_answers: int = 0


class WorkerFaults(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """Faults of a worker.

    :param paused: nothing is answered and no task advances; the clock goes on.
    :param refuse: the refusal of every new start.
    :param fail: every task answers with status 500.
    :param late_seconds: delay between the end of a task and its answer.
    :param cross_answers: how many of the next answers belong to another task.
    :param shorten_answers: how many of the next answers lose their end.
    :param lose_answers: how many of the next answers are lost after the effect.
    """

    paused: bool = False
    refuse: StartRefusal | None = None
    fail: bool = False
    late_seconds: float = 0.0
    cross_answers: int = 0
    shorten_answers: int = 0
    lose_answers: int = 0
