"""Reading of the stored state when a term begins."""

import logging

import anyio
import msgspec
from result import Err, Ok

from hickoryplank.coordinator.ports import Newest, StorePort, Topic
from hickoryplank.coordinator.vm_controller import VmController
from hickoryplank.core.ids import JobId
from hickoryplank.jobs.model import Job
from hickoryplank.jobs.records import (
    Record,
    RecordFault,
    VmOrder,
    WaveProgress,
    apply_state,
    decode_job,
    decode_order,
    decode_wave,
    is_job_key,
    is_order_key,
    is_wave_key,
    job_of_key,
)
from hickoryplank.jobs.table import JobRow
from hickoryplank.shell.clock import Clock, wall_ms

__all__ = ["StoredJobs", "read_jobs", "read_newest"]

logger = logging.getLogger(__name__)

#: Wait after a failed read, in seconds.
RETRY_SECONDS = 0.1


async def read_newest(store: StorePort, topic: Topic) -> Newest:
    """Return the newest records of a topic; retry until the store answers."""
    while True:
        match await store.newest(topic):
            case Ok(newest):
                return newest
            case Err(fault):
                logger.info(
                    "read of topic failed; retrying",
                    extra={"topic": topic.value, "detail": fault.detail},
                )
                await anyio.sleep(RETRY_SECONDS)


class StoredJobs(msgspec.Struct, frozen=True):
    """The jobs that a new term finds in the store.

    :param rows: jobs with their states.
    :param malformed: ids of jobs with a malformed record. They are neither run nor
        accepted again, as their tasks may be running or done.
    """

    rows: list[JobRow]
    malformed: frozenset[JobId]


async def read_jobs(
    store: StorePort, vm_controller: VmController, clock: Clock
) -> StoredJobs:
    """Return all stored jobs with their states.

    :param vm_controller: is given the progress of waves and the orders for VMs, which
        are stored in the same topic.
    """
    rows: dict[JobId, JobRow] = {}
    malformed: set[JobId] = set()
    states: list[Record] = []
    now_ms = wall_ms()
    for record in (await read_newest(store, Topic.JOBS)).records:
        if is_wave_key(record.key) or is_order_key(record.key):
            _restore_vms(vm_controller, record)
            continue
        if not is_job_key(record.key):
            states.append(record)
            continue
        match decode_job(record):
            case Job() as job:
                age_s = max(0, now_ms - job.accepted_ms) / 1000
                rows[job.id] = JobRow(job, clock.now() - age_s)
            case RecordFault(key, detail):
                malformed.add(job_of_key(key))
                logger.error(
                    "malformed job record; the job is left as it is",
                    extra={"request": job_of_key(key), "detail": detail},
                )
    for record in states:
        row = rows.get(job_of_key(record.key))
        fault = _apply_stored_state(row, record) if row is not None else None
        if fault is not None:
            malformed.add(job_of_key(record.key))
            logger.error(
                "malformed job state record; the job is left as it is",
                extra={"request": job_of_key(record.key), "detail": fault.detail},
            )
    kept = [row for id, row in rows.items() if id not in malformed]
    return StoredJobs(kept, frozenset(malformed))


def _apply_stored_state(row: JobRow, record: Record) -> RecordFault | None:
    """Apply a stored state; an unexpected exception makes it malformed."""
    try:
        return apply_state(row, record)
    except Exception as exc:
        return RecordFault(record.key, f"{type(exc).__name__}: {exc}")


def _restore_vms(vm_controller: VmController, record: Record) -> None:
    decode = decode_wave if is_wave_key(record.key) else decode_order
    match decode(record):
        case WaveProgress() as progress:
            vm_controller.restore_wave(progress)
        case VmOrder() as order:
            vm_controller.restore_order(order)
        case RecordFault(key, detail):
            logger.error(
                "malformed wave or VM order record ignored",
                extra={"key": key, "detail": detail},
            )
