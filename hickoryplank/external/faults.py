"""Fault injection settings of the simulated platform services."""

import msgspec

from hickoryplank.external.errors import StartRefusal

__all__ = ["LogFaults", "VmListFaults", "WorkerFaults"]


class LogFaults(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """Faults of the log service.

    :param outage: every call is refused, without effect.
    :param slow_seconds: delay before each call takes effect.
    :param lose_answers: number of next appends that take effect but whose response is
        lost.
    :param keep_records: retained records per stream; ``None`` retains all.
    :param keep_seconds: retention time of records; ``None`` retains all.
    """

    outage: bool = False
    slow_seconds: float = 0.0
    lose_answers: int = 0
    keep_records: int | None = None
    keep_seconds: float | None = None


class VmListFaults(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """Faults of the VM list.

    :param outage: every call fails, without effect.
    :param lag_seconds: age of the list that is returned.
    :param lose_answers: number of next reboots that take effect but whose response is
        lost.
    """

    outage: bool = False
    lag_seconds: float = 0.0
    lose_answers: int = 0


class WorkerFaults(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """Faults of a worker.

    :param paused: no response is sent and no task progresses, while the worker's
        clock continues.
    :param refuse: reason with which every new start is refused.
    :param fail: every task completes with status 500.
    :param late_seconds: delay between the end of a task and its answer.
    :param cross_answers: number of next answers that name another task.
    :param shorten_answers: number of next answers that are truncated.
    :param lose_answers: number of next answers that are lost after the task took
        effect.
    """

    paused: bool = False
    refuse: StartRefusal | None = None
    fail: bool = False
    late_seconds: float = 0.0
    cross_answers: int = 0
    shorten_answers: int = 0
    lose_answers: int = 0
