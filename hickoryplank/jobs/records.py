"""Encoding of stored records: jobs and their state, waves, and orders for VMs."""

import msgspec

from hickoryplank.core.ids import EndpointId, JobId, VmId, WaveId
from hickoryplank.jobs.model import Job, TaskKey
from hickoryplank.jobs.occurrences import OccurrenceSet
from hickoryplank.jobs.table import JobRow, JobState, StoredAssignment, Task, TaskState

__all__ = [
    "Record",
    "RecordFault",
    "VmOrder",
    "WaveProgress",
    "apply_state",
    "decode_job",
    "decode_order",
    "decode_wave",
    "encode_deletion",
    "encode_job",
    "encode_order",
    "encode_state",
    "encode_wave",
    "job_of_key",
    "is_job_key",
    "is_order_key",
    "is_wave_key",
]

_JOB_PREFIX = "j:"
_STATE_PREFIX = "s:"
_WAVE_PREFIX = "w:"
_ORDER_PREFIX = "v:"


class RecordFault(msgspec.Struct, frozen=True):
    """A record that cannot be decoded."""

    key: str
    detail: str


class Record(msgspec.Struct, frozen=True):
    """A record of a keyed topic; an empty value deletes the key."""

    key: str
    value: bytes


class WaveProgress(msgspec.Struct, frozen=True):
    """Stored progress of a maintenance wave.

    :param first_seen_ms: time at which a coordinator first saw the wave, in Unix
        milliseconds; its deadline is counted from that time.
    :param done: VMs that have been maintained.
    """

    wave: WaveId
    first_seen_ms: int
    done: tuple[VmId, ...]


class VmOrder(msgspec.Struct, frozen=True):
    """An order for a VM, stored before it is sent.

    :param at_ms: time of the order, in Unix milliseconds.
    """

    vm: VmId
    at_ms: int


class _TaskRecord(msgspec.Struct, array_like=True):
    """State of a task that has been assigned or pre-assigned."""

    occurrence: int
    step: int
    index: int
    state: int
    attempt: int
    failures: int
    endpoint: str = ""
    born_ms: int = 0
    checkpoint: str = ""
    preassigned: bool = False


class _StateRecord(msgspec.Struct, array_like=True):
    """State of a job; tasks in their initial state are omitted.

    :param ended_occurrences: ranges of the occurrences of a timed job that have ended,
        whose tasks are omitted too; each its first occurrence, and the one after its
        last.
    """

    state: JobState
    tasks: list[_TaskRecord]
    ended_occurrences: list[tuple[int, int]] = []


_encoder = msgspec.msgpack.Encoder()
_job_decoder = msgspec.msgpack.Decoder(Job)
_state_decoder = msgspec.msgpack.Decoder(_StateRecord)


def is_job_key(key: str) -> bool:
    """Return whether ``key`` is the key of an accepted job."""
    return key.startswith(_JOB_PREFIX)


def job_of_key(key: str) -> JobId:
    """Return the id of the job to which a job or state record belongs."""
    return JobId(key[2:])


def encode_job(job: Job) -> Record:
    """Return the record of an accepted job."""
    return Record(_JOB_PREFIX + job.id, _encoder.encode(job))


def encode_deletion(job: JobId) -> list[Record]:
    """Return the records that delete a job and its state from the store."""
    return [Record(_JOB_PREFIX + job, b""), Record(_STATE_PREFIX + job, b"")]


def decode_job(record: Record) -> Job | RecordFault:
    """Decode an accepted job."""
    try:
        return _job_decoder.decode(record.value)
    except msgspec.MsgspecError as exc:
        return RecordFault(record.key, str(exc))


def encode_state(row: JobRow) -> Record:
    """Return the record of a job's state."""
    include_preassignments = not row.state.final
    tasks = [
        _task_record(task, include_preassignments)
        for task in row.all_tasks()
        if task.attempt or (include_preassignments and task.preassignment is not None)
    ]
    record = _StateRecord(row.state, tasks, row.ended_occurrences.ranges)
    return Record(_STATE_PREFIX + row.job.id, _encode_state_record(record))


def _encode_state_record(record: _StateRecord) -> bytes:
    """Encode the state of a job, in the shorter former format where that suffices."""
    if record.ended_occurrences:
        return _encoder.encode(record)
    return _encoder.encode((record.state, record.tasks))


def _task_record(task: Task, include_preassignments: bool) -> _TaskRecord:
    key = task.key
    record = _TaskRecord(
        key.occurrence,
        key.step,
        key.index,
        task.state.value,
        task.attempt,
        task.failures,
        checkpoint=task.checkpoint,
    )
    if task.run is not None:
        record.endpoint = task.run.endpoint.id
        record.born_ms = task.run.endpoint.listing.born_ms
    elif task.stored_assignment is not None:
        record.endpoint = task.stored_assignment.endpoint
        record.born_ms = task.stored_assignment.born_ms
        record.preassigned = task.stored_assignment.preassigned
    elif include_preassignments and task.preassignment is not None:
        # The task may be started on that endpoint at any time. The next coordinator
        # must therefore check the endpoint for a run, as for any other assignment.
        record.state = TaskState.ACTIVE.value
        record.attempt = task.attempt + 1
        record.endpoint = task.preassignment.endpoint.id
        record.born_ms = task.preassignment.endpoint.listing.born_ms
        record.preassigned = True
    return record


def apply_state(row: JobRow, record: Record) -> RecordFault | None:
    """Apply a stored state to a new row.

    A task with a run is left active, with ``stored_assignment`` set.
    """
    try:
        stored = _state_decoder.decode(record.value)
    except msgspec.MsgspecError as exc:
        return RecordFault(record.key, str(exc))
    ranges = stored.ended_occurrences
    if not _is_valid_set(ranges, row.job.occurrences):
        return RecordFault(record.key, f"invalid ended occurrences {ranges}")
    row.state = row.stored_state = stored.state
    row.begun = stored.state is JobState.RUNNING
    row.ended_occurrences = OccurrenceSet(ranges)
    for one in stored.tasks:
        key = TaskKey(row.job.id, one.occurrence, one.step, one.index)
        task = row.task(key)
        if task is None:
            return RecordFault(record.key, f"the job has no task {key}")
        task.attempt = one.attempt
        task.failures = one.failures
        task.checkpoint = one.checkpoint
        task.state = TaskState(one.state)
        step = row.step_of(key)
        if task.state is not TaskState.WAITING:
            step.waiting.pop(one.index, None)
        if task.state is TaskState.DONE:
            step.remaining -= 1
        if one.endpoint:
            endpoint = EndpointId(one.endpoint)
            task.stored_assignment = StoredAssignment(
                endpoint, one.born_ms, one.preassigned
            )
    for occurrence in list(row.steps):
        row.discard_occurrence_if_ended(occurrence)
    return None


def _is_valid_set(ranges: list[tuple[int, int]], occurrences: int) -> bool:
    """Return whether ranges are in order, apart from each other and within a job."""
    after = -1
    for first, end in ranges:
        if not after < first < end <= occurrences:
            return False
        after = end
    return True


def is_wave_key(key: str) -> bool:
    """Return whether ``key`` is the key of the progress of a wave."""
    return key.startswith(_WAVE_PREFIX)


def encode_wave(progress: WaveProgress) -> Record:
    """Return the record of a wave's progress."""
    value = _encoder.encode((progress.first_seen_ms, progress.done))
    return Record(_WAVE_PREFIX + progress.wave, value)


def decode_wave(record: Record) -> WaveProgress | RecordFault:
    """Decode the progress of a wave."""
    try:
        first_seen_ms, done = msgspec.msgpack.decode(
            record.value, type=tuple[int, tuple[str, ...]]
        )
    except msgspec.MsgspecError as exc:
        return RecordFault(record.key, str(exc))
    wave = WaveId(record.key[len(_WAVE_PREFIX) :])
    return WaveProgress(wave, first_seen_ms, tuple(VmId(vm) for vm in done))


def is_order_key(key: str) -> bool:
    """Return whether ``key`` is the key of an order for a VM."""
    return key.startswith(_ORDER_PREFIX)


def encode_order(order: VmOrder) -> Record:
    """Return the record of an order for a VM."""
    return Record(_ORDER_PREFIX + order.vm, _encoder.encode(order.at_ms))


def decode_order(record: Record) -> VmOrder | RecordFault:
    """Decode an order for a VM."""
    try:
        at_ms = msgspec.msgpack.decode(record.value, type=int)
    except msgspec.MsgspecError as exc:
        return RecordFault(record.key, str(exc))
    return VmOrder(VmId(record.key[len(_ORDER_PREFIX) :]), at_ms)
