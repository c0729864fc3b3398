"""Tests that no renamed field, tag or enum value changes messages or stored records."""

import json
from collections.abc import Callable
from functools import partial
from pathlib import Path
from typing import Any

import msgspec
import pytest

from hickoryplank import operator_api, operator_status
from hickoryplank.coordinator import calls
from hickoryplank.coordinator.lease import LeaseRecord
from hickoryplank.core import snapshots
from hickoryplank.core.messages import Envelope
from hickoryplank.core.records import decode_batch, encode_batch
from hickoryplank.core.tables import decode_tables, encode_tables
from hickoryplank.entry_settings import EntrySettings
from hickoryplank.external import vmlist, wire, worker, worker_simulator
from hickoryplank.jobs import records as job_records
from hickoryplank.platform import advice, endpoints, ingress, store, vms
from hickoryplank.platform import records as platform_records

#: Kind, format and bytes in hexadecimal, written before the code's names changed.
RECORDED = [
    tuple(row)
    for row in json.loads(
        Path(__file__).with_name("recorded_encodings.json").read_text("utf-8")
    )
]

#: What decodes and what encodes each kind that has functions or a decoder of its own.
FUNCTIONS: dict[str, tuple[Callable, Callable]] = {
    "answer": (calls.decode_answer, calls.encode),
    "call": (calls.decode_call, calls.encode),
    "job": (
        lambda data: job_records.decode_job(job_records.Record("j:", data)),
        lambda job: job_records.encode_job(job).value,
    ),
    "job state": (
        job_records._state_decoder.decode,
        job_records._encode_state_record,
    ),
    "platform: advice": (advice._advice_decoder.decode, msgspec.json.encode),
    "platform: clock": (endpoints._clock_decoder.decode, msgspec.json.encode),
    "platform: configuration": (
        platform_records._config_decoder.decode,
        msgspec.json.encode,
    ),
    "platform: items": (store._items_decoder.decode, msgspec.json.encode),
    "platform: machines": (vms._page_decoder.decode, msgspec.json.encode),
    "platform: offsets": (store._offsets_decoder.decode, msgspec.json.encode),
    "platform: server": (platform_records._server_decoder.decode, msgspec.json.encode),
    "platform: submission": (ingress._job_decoder.decode, msgspec.json.encode),
    "platform: task lists": (endpoints._lists_decoder.decode, msgspec.json.encode),
    "platform: wave": (platform_records._wave_decoder.decode, msgspec.json.encode),
    "record batch": (decode_batch, encode_batch),
    "snapshot chunk": (
        lambda data: snapshots.decode_chunk(data).unwrap(),
        snapshots.encode_chunk,
    ),
    "tables": (decode_tables, encode_tables),
}

#: The types of the other kinds, encoded in the format that their rows name.
TYPES: dict[str, Any] = {
    "VM list: ListedVm": vmlist.ListedVm,
    "VM list: RebootRequest": wire.RebootRequest,
    "entry settings": EntrySettings,
    "lease": LeaseRecord,
    "log: Appended": wire.Appended,
    "operator API: Change": operator_api.Change,
    "operator API: EditRequest": operator_api.EditRequest,
    "operator API: FieldChange": operator_api.FieldChange,
    "operator API: HistoryAnswer": operator_api.HistoryAnswer,
    "operator API: HistoryEntry": operator_api.HistoryEntry,
    "operator API: MoveRequest": operator_api.MoveRequest,
    "operator API: ObjectView": operator_api.ObjectView,
    "operator API: ObjectsAnswer": operator_api.ObjectsAnswer,
    "operator API: PlanAnswer": operator_api.PlanAnswer,
    "operator API: PlanRequest": operator_api.PlanRequest,
    "operator API: Problem": operator_api.Problem,
    "operator API: Published": operator_api.Published,
    "operator API: SettleRequest": operator_api.SettleRequest,
    "operator API: VmRequest": operator_api.VmRequest,
    "operator API: WaveRequest": operator_api.WaveRequest,
    "operator status: ClaimView": operator_status.ClaimView,
    "operator status: ClaimsAnswer": operator_status.ClaimsAnswer,
    "operator status: NodeView": operator_status.NodeView,
    "operator status: PoolReport": operator_status.PoolReport,
    "operator status: PoolView": operator_status.PoolView,
    "operator status: ReportAnswer": operator_status.ReportAnswer,
    "operator status: StatusAnswer": operator_status.StatusAnswer,
    "operator status: TeamReport": operator_status.TeamReport,
    "operator status: TeamView": operator_status.TeamView,
    "operator status: VmView": operator_status.VmView,
    "operator status: WaveReport": operator_status.WaveReport,
    "operator status: WaveView": operator_status.WaveView,
    "peer message": Envelope,
    "worker simulator: Work": worker_simulator.Work,
    "worker: Answer": worker.Answer,
    "worker: Renewal": wire.Renewal,
    "worker: TaskReport": worker.TaskReport,
    "worker: WorkerStatus": worker.WorkerStatus,
}


def codec(kind: str, format_name: str) -> tuple[Callable, Callable]:
    """Return what decodes and what encodes a kind."""
    if kind in FUNCTIONS:
        return FUNCTIONS[kind]
    module = getattr(msgspec, format_name)
    return partial(module.decode, type=TYPES[kind]), module.encode


@pytest.mark.parametrize(
    ("kind", "format_name", "encoding"), RECORDED, ids=[row[0] for row in RECORDED]
)
def test_decoded_object_is_encoded_to_the_same_bytes(kind, format_name, encoding):
    data = bytes.fromhex(encoding)
    decode, encode = codec(kind, format_name)
    assert encode(decode(data)) == data


def test_every_kind_has_a_recorded_encoding():
    assert {row[0] for row in RECORDED} == FUNCTIONS.keys() | TYPES.keys()
