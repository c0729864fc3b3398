"""Reading of the stored state when a term begins."""

import logging

import anyio
from result import Err, Ok

from hickoryplank.coordinator.ports import Newest, StorePort, Topic
from hickoryplank.coordinator.vm_controller import VmController
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

__all__ = ["read_jobs", "read_newest"]

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


async def read_jobs(
    store: StorePort, vm_controller: VmController, clock: Clock
) -> list[JobRow]:
    """Return all stored jobs with their states.

    :param vm_controller: is given the progress of waves and the orders for VMs, which
        are stored in the same topic.
    """
    rows: dict[str, JobRow] = {}
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
                logger.error(
                    "malformed job record ignored", extra={"key": key, "detail": detail}
                )
    for record in states:
        row = rows.get(job_of_key(record.key))
        fault = apply_state(row, record) if row is not None else None
        if fault is not None:
            logger.error(
                "malformed job state record; the rest of it is ignored",
                extra={"detail": fault.detail},
            )
    return list(rows.values())


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
