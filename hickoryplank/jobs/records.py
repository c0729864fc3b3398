"""Encoding of stored records: jobs and their state, waves, and orders for VMs."""

from collections.abc import Iterable

import msgspec

from hickoryplank.core.ids import EndpointId, JobId, VmId, WaveId
from hickoryplank.jobs.model import Job, TaskKey
from hickoryplank.jobs.occurrences import OccurrenceSet
from hickoryplank.jobs.table import (
    JobRow,
    JobState,
    PreAssignment,
    StatePart,
    StepRow,
    StoredAssignment,
    Task,
    TaskState,
)

__all__ = [
    "Record",
    "RecordFault",
    "StoreBounds",
    "VmOrder",
    "WaveProgress",
    "apply_states",
    "apply_state",
    "decode_job",
    "decode_order",
    "decode_wave",
    "encode_deletion",
    "encode_job",
    "encode_order",
    "encode_state",
    "encode_state_changes",
    "encode_wave",
    "group_of_key",
    "job_fault",
    "job_of_key",
    "is_job_key",
    "is_order_key",
    "is_wave_key",
]

_JOB_PREFIX = "j:"
_STATE_PREFIX = "s:"
_PART_PREFIX = "t:"
_WAVE_PREFIX = "w:"
_ORDER_PREFIX = "v:"
#: Size of a state from which on it is split, in bytes. It bounds what each end of a
#: run writes.
MAX_SINGLE_STATE_BYTES = 16_384
#: Bytes of a record in addition to its key and value.
RECORD_OVERHEAD_BYTES = 5
#: Longest key, in bytes: its length is one byte.
MAX_KEY_BYTES = 255
#: Bytes of the key of a part in addition to the id of the job.
PART_KEY_BYTES = 40
#: Longest checkpoint that is stored in a part, in bytes; a task with a longer one
#: begins anew after a takeover.
MAX_CHECKPOINT_BYTES = 2048
#: Most tasks of one occurrence of a job. Each takes about 0.3 KB of a coordinator's
#: memory.
MAX_TASKS = 200_000


class RecordFault(msgspec.Struct, frozen=True):
    """A record that cannot be decoded."""

    key: str
    detail: str


class Record(msgspec.Struct, frozen=True):
    """A record of a keyed topic; an empty value deletes the key."""

    key: str
    value: bytes


class StoreBounds(msgspec.Struct, frozen=True):
    """Bounds of the store on appends.

    :param record_bytes: largest record, with its key, in bytes.
    :param call_bytes: largest total size of the records of one append, in bytes.
    """

    record_bytes: int = 262_144
    call_bytes: int = 2_097_152


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
    :param endpoint: endpoint that the order ends, if the VM has one; orders of former
        versions don't name it.
    """

    vm: VmId
    at_ms: int
    endpoint: EndpointId | None = None


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

    :param tasks: states of the tasks; or, if they are in parts, the number of tasks
        per part, which a former version takes for a malformed record rather than for
        a job without starts.
    :param ended_occurrences: ranges of the occurrences of a timed job that have ended,
        whose tasks are omitted too; each its first occurrence, and the one after its
        last.
    """

    state: JobState
    tasks: list[_TaskRecord] | int
    ended_occurrences: list[tuple[int, int]] = []


_TASK_STATES = {state.value: state for state in TaskState}
_encoder = msgspec.msgpack.Encoder()
_job_decoder = msgspec.msgpack.Decoder(Job)
_state_decoder = msgspec.msgpack.Decoder(_StateRecord)
_part_decoder = msgspec.msgpack.Decoder(list[_TaskRecord])


def is_job_key(key: str) -> bool:
    """Return whether ``key`` is the key of an accepted job."""
    return key.startswith(_JOB_PREFIX)


def job_of_key(key: str) -> JobId:
    """Return the id of the job to which a job, state or part record belongs."""
    if key.startswith(_PART_PREFIX):
        return JobId(key[2:].rpartition(":")[0])
    return JobId(key[2:])


def group_of_key(key: str) -> str:
    """Return what is the same for the keys of all records of one job.

    Each other key is a group of its own.
    """
    if key.startswith((_JOB_PREFIX, _STATE_PREFIX, _PART_PREFIX)):
        return _JOB_PREFIX + job_of_key(key)
    return key


def encode_job(job: Job) -> Record:
    """Return the record of an accepted job."""
    return Record(_JOB_PREFIX + job.id, _encoder.encode(job))


def job_fault(job: Job, bounds: StoreBounds) -> str:
    """Return why a job can't be stored; empty if it can.

    Its state can, as each of its records is bounded by the number of tasks in it.
    """
    id_bytes = len(job.id.encode())
    if id_bytes + PART_KEY_BYTES > MAX_KEY_BYTES:
        return f"id has {id_bytes} bytes, at most {MAX_KEY_BYTES - PART_KEY_BYTES} fit"
    tasks = sum(step.count for step in job.steps)
    if tasks > MAX_TASKS:
        return f"job has {tasks} tasks, at most {MAX_TASKS} fit"
    size = _record_bytes(encode_job(job))
    if size > bounds.record_bytes:
        return f"job takes {size} bytes in the store, at most {bounds.record_bytes} fit"
    return ""


def _record_bytes(record: Record) -> int:
    """Return the size of a record in an append, in bytes."""
    return RECORD_OVERHEAD_BYTES + len(record.key.encode()) + len(record.value)


def encode_deletion(row: JobRow) -> list[Record]:
    """Return the records that delete a job and its state from the store.

    The job comes before its state, without which it would run again.
    """
    id = row.job.id
    parts = [Record(_part_key(id, part), b"") for part in sorted(row.stored.parts)]
    return [*parts, Record(_JOB_PREFIX + id, b""), Record(_STATE_PREFIX + id, b"")]


def decode_job(record: Record) -> Job | RecordFault:
    """Decode an accepted job."""
    try:
        return _job_decoder.decode(record.value)
    except msgspec.MsgspecError as exc:
        return RecordFault(record.key, str(exc))


def encode_state(row: JobRow) -> Record:
    """Return the record of a job's state."""
    tasks = _task_records(row, row.all_tasks())
    record = _StateRecord(row.state, tasks, row.ended_occurrences.ranges)
    return Record(_STATE_PREFIX + row.job.id, _encode_state_record(record))


def _task_records(row: JobRow, tasks: list[Task]) -> list[_TaskRecord]:
    """Return the states of those tasks that are not in their initial state."""
    records = []
    for task in tasks:
        # A task may be done while it waits, by a run that had been given up.
        may_start = not row.state.final and task.state is TaskState.WAITING
        preassignment = task.preassignment if may_start else None
        if task.attempt or preassignment is not None:
            records.append(_task_record(task, preassignment))
    return records


def encode_state_changes(row: JobRow, bounds: StoreBounds) -> list[Record]:
    """Return the records with what has changed in a job's state.

    A state that is small is one record. A larger one is a head with the state of the
    job, and parts with the states of tasks, of which only the changed ones are written;
    it remains split. A successor may find any first few of the records. The head goes
    first, as none of its states needs the parts: that of a failed job would be lost if
    only the failures were stored. The head that first says that there are parts follows
    them, as it replaces the states of all tasks; until then the parts are ignored, and
    those that an interrupted split has left are deleted. Later, parts are deleted after
    the head that says that their occurrence has ended.
    """
    stored = row.stored
    changed = set(stored.changed)
    if not stored.split:
        record = encode_state(row)
        limit = min(MAX_SINGLE_STATE_BYTES, bounds.record_bytes)
        if _record_bytes(record) <= limit:
            stored.changed.clear()
            return [record]
        stored.split = True
    if not stored.split_in_store:
        changed = stored.parts | _open_parts(row)
    elif row.job.repeats:
        changed |= {
            part for part in stored.parts if part.occurrence in row.ended_occurrences
        }
    head = _StateRecord(row.state, stored.tasks_per_part, row.ended_occurrences.ranges)
    head_value = _encode_state_record(head)
    values = {part: _encode_part(row, part) for part in sorted(changed)}
    # If any of it raises, all of it is written the next time.
    stored.changed.clear()
    written = []
    deleted = []
    for part, value in values.items():
        if value:
            stored.parts.add(part)
            stored.sending.add(part)
            written.append(Record(_part_key(row.job.id, part), value))
        elif part in stored.parts:
            stored.deleting.add(part)
            deleted.append(Record(_part_key(row.job.id, part), b""))
    heads = []
    if head_value != stored.head:
        heads.append(Record(_STATE_PREFIX + row.job.id, head_value))
    stored.head = head_value
    if stored.split_in_store:
        return heads + written + deleted
    return written + deleted + heads


def _open_parts(row: JobRow) -> set[StatePart]:
    """Return the parts of all open occurrences."""
    return {
        StatePart(step.occurrence, step.number, block)
        for steps in row.steps.values()
        for step in steps
        for block in range(-(-step.step.count // row.stored.tasks_per_part))
    }


def _part_key(job: JobId, part: StatePart) -> str:
    return f"{_PART_PREFIX}{job}:{part.occurrence}.{part.step}.{part.block}"


def _part_of_key(key: str) -> StatePart | None:
    """Return the part of a key; none if the key is malformed."""
    numbers = key.rpartition(":")[2].split(".")
    if len(numbers) != len(StatePart._fields):
        return None
    if not all(one.isascii() and one.isdigit() for one in numbers):
        return None
    return StatePart(*map(int, numbers))


def _encode_part(row: JobRow, part: StatePart) -> bytes:
    """Encode the states of the tasks in a part; empty if all are initial."""
    steps = row.steps.get(part.occurrence)
    if steps is None:
        return b""
    first = part.block * row.stored.tasks_per_part
    tasks = steps[part.step].tasks[first : first + row.stored.tasks_per_part]
    records = _task_records(row, tasks)
    for record in records:
        if len(record.checkpoint.encode()) > MAX_CHECKPOINT_BYTES:
            record.checkpoint = ""
    return _encoder.encode(records) if records else b""


def _encode_state_record(record: _StateRecord) -> bytes:
    """Encode the state of a job, in the shorter former format where that suffices."""
    if record.ended_occurrences:
        return _encoder.encode(record)
    return _encoder.encode((record.state, record.tasks))


def _task_record(task: Task, preassignment: PreAssignment | None) -> _TaskRecord:
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
    elif preassignment is not None:
        # The task may be started on that endpoint at any time. The next coordinator
        # must therefore check the endpoint for a run, as for any other assignment.
        record.state = TaskState.ACTIVE.value
        record.attempt = task.attempt + 1
        record.endpoint = preassignment.endpoint.id
        record.born_ms = preassignment.endpoint.listing.born_ms
        record.preassigned = True
    return record


def apply_states(
    rows: dict[JobId, JobRow], records: list[Record]
) -> tuple[list[RecordFault], list[Record]]:
    """Apply stored states and their parts to new rows.

    :param records: records of states and parts, in any order.
    :return: the faults, and the records that belong to none of the jobs.
    """
    parts: dict[JobId, list[Record]] = {}
    heads: list[Record] = []
    unowned: list[Record] = []
    for record in records:
        id = job_of_key(record.key)
        if id not in rows:
            unowned.append(record)
        elif record.key.startswith(_PART_PREFIX):
            parts.setdefault(id, []).append(record)
        else:
            heads.append(record)
    faults = []
    for head in heads:
        id = job_of_key(head.key)
        faults.append(_apply_guarded(rows[id], head, parts.pop(id, [])))
    for id, unused in parts.items():
        faults += [_note_part(rows[id], part) for part in unused]
    return [fault for fault in faults if fault is not None], unowned


def _apply_guarded(
    row: JobRow, record: Record, parts: list[Record]
) -> RecordFault | None:
    """Apply a stored state; an unexpected exception makes it malformed."""
    try:
        return apply_state(row, record, parts)
    except Exception as exc:
        return RecordFault(record.key, f"{type(exc).__name__}: {exc}")


def apply_state(
    row: JobRow, record: Record, parts: Iterable[Record] = ()
) -> RecordFault | None:
    """Apply a stored state to a new row.

    A task with a run is left active, with ``stored_assignment`` set.

    :param parts: the parts that are stored for the job.
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
    fault = None
    if isinstance(stored.tasks, list):
        fault = _apply_tasks(row, record.key, stored.tasks)
        for part in parts:
            fault = fault or _note_part(row, part)
    elif stored.tasks < 1:
        fault = RecordFault(record.key, f"{stored.tasks} tasks per part, expected 1")
    else:
        row.stored.split = row.stored.split_in_store = True
        row.stored.tasks_per_part = stored.tasks
        row.stored.head = record.value
        for part in parts:
            fault = fault or _note_part(row, part) or _apply_part(row, part)
    if fault is not None:
        return fault
    _complete_gangs(row)
    for occurrence in list(row.steps):
        row.discard_occurrence_if_ended(occurrence)
    return None


def _note_part(row: JobRow, record: Record) -> RecordFault | None:
    """Record that the store has a part, to be replaced or deleted some time."""
    part = _part_of_key(record.key)
    if part is None:
        return RecordFault(record.key, "malformed key of a part")
    row.stored.parts.add(part)
    return None


def _apply_part(row: JobRow, record: Record) -> RecordFault | None:
    try:
        tasks = _part_decoder.decode(record.value)
    except msgspec.MsgspecError as exc:
        return RecordFault(record.key, str(exc))
    # The store may still have parts of occurrences that have ended.
    open_tasks = [one for one in tasks if one.occurrence not in row.ended_occurrences]
    return _apply_tasks(row, record.key, open_tasks)


def _apply_tasks(
    row: JobRow, record_key: str, tasks: list[_TaskRecord]
) -> RecordFault | None:
    step: StepRow | None = None
    for one in tasks:
        if step is None or (one.occurrence, one.step) != (step.occurrence, step.number):
            key = TaskKey(row.job.id, one.occurrence, one.step, 0)
            step = row.step_of(key) if row.task(key) is not None else None
        if step is None or not 0 <= one.index < step.step.count:
            place = (one.occurrence, one.step, one.index)
            return RecordFault(record_key, f"the job has no task {place}")
        state = _TASK_STATES.get(one.state)
        if state is None:
            return RecordFault(record_key, f"a task has the state {one.state}")
        task = step.tasks[one.index]
        task.attempt = one.attempt
        task.failures = one.failures
        task.checkpoint = one.checkpoint
        task.state = state
        if task.state is not TaskState.WAITING:
            step.waiting.pop(one.index, None)
        if task.state is TaskState.DONE:
            step.remaining -= 1
        if one.endpoint:
            endpoint = EndpointId(one.endpoint)
            task.stored_assignment = StoredAssignment(
                endpoint, one.born_ms, one.preassigned
            )
    return None


def _complete_gangs(row: JobRow) -> None:
    """Mark all tasks of a gang as done if one is.

    They end together, but their states may be in parts of which only some were stored.
    """
    for steps in row.steps.values():
        for step in steps:
            if step.step.gang and step.remaining < step.step.count:
                step.remaining = 0
                step.waiting.clear()
                for task in step.tasks:
                    task.state = TaskState.DONE


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
    value: int | tuple[int, EndpointId] = order.at_ms
    if order.endpoint is not None:
        value = (order.at_ms, order.endpoint)
    return Record(_ORDER_PREFIX + order.vm, _encoder.encode(value))


def decode_order(record: Record) -> VmOrder | RecordFault:
    """Decode an order for a VM."""
    try:
        value = msgspec.msgpack.decode(record.value, type=int | tuple[int, str])
    except msgspec.MsgspecError as exc:
        return RecordFault(record.key, str(exc))
    vm = VmId(record.key[len(_ORDER_PREFIX) :])
    match value:
        case (at_ms, endpoint):
            return VmOrder(vm, at_ms, EndpointId(endpoint))
        case at_ms:
            return VmOrder(vm, at_ms)
