"""Adapter to the store of the platform."""

import base64
import struct
import time
from urllib.parse import urlencode

import msgspec
from result import Err, Ok, Result

from hickoryplank.coordinator.ports import (
    Appended,
    CallFault,
    CallFaultKind,
    Condition,
    Fence,
    Newest,
    Page,
    StorePort,
    Topic,
)
from hickoryplank.http_client import HttpClient, HttpResponse
from hickoryplank.jobs.records import Record
from hickoryplank.platform.decoding import Natural, decode_json

__all__ = ["PlatformStore"]

_TOPICS = {
    Topic.LEASE: "keyed.coordinator",
    Topic.JOBS: "keyed.jobs",
    Topic.OPERATOR: "keyed.op",
    Topic.LISTINGS: "keyed.servers",
    Topic.STATUS: "keyed.status",
}
#: Producer id that all coordinators share, as the store keeps epochs per producer.
_PRODUCER = "coordinator"
#: Largest timeout of a write, in seconds. It covers two answers of a store that is 60
#: times slower than its usual 6 ms.
MAX_WRITE_TIMEOUT_SECONDS = 0.75
#: Smallest timeout of a write, in seconds.
MIN_WRITE_TIMEOUT_SECONDS = 0.2
#: The timeout of a write is this multiple of the moving average of the answer times of
#: writes and of reads without records.
WRITE_TIMEOUT_FACTOR = 4.0
#: Weight of the newest answer time in the moving average.
MEAN_ANSWER_GAIN = 0.2
#: Timeout of a read, in seconds, added to its long-poll timeout.
READ_TIMEOUT_SECONDS = 0.8
#: Timeout for a page of newest records, in seconds.
NEWEST_TIMEOUT_SECONDS = 1.5
_LENGTH = struct.Struct(">I")
_PAGE_HEADER = struct.Struct(">QQ")
_REQUEST_TIMEOUT = 408
_TOO_MANY_REQUESTS = 429
_UNAVAILABLE = 503
_CONFLICT = 409


class _Offsets(msgspec.Struct):
    offset: Natural = 0
    end_offset: Natural = 0
    reason: str = ""


class _Item(msgspec.Struct):
    key: str
    value: str
    offset: Natural


class _Items(msgspec.Struct):
    items: list[_Item]
    has_more: bool
    end_offset: Natural


_offsets_decoder = msgspec.json.Decoder(_Offsets)
_items_decoder = msgspec.json.Decoder(_Items)


def _frame(record: Record) -> bytes:
    key = record.key.encode()
    body = bytes((len(key),)) + key + record.value
    return _LENGTH.pack(len(body)) + body


def _unframe(data: bytes, position: int) -> list[Record]:
    records = []
    while position < len(data):
        (length,) = _LENGTH.unpack_from(data, position)
        position += _LENGTH.size
        body = data[position : position + length]
        position += length
        if len(body) < length:
            raise ValueError(f"record of {length} bytes ends after {len(body)}")
        key_end = 1 + body[0]
        if len(body) < key_end:
            raise ValueError(f"key of {body[0]} bytes in a record of {length}")
        key = body[1:key_end].decode(errors="replace")
        records.append(Record(key, body[key_end:]))
    return records


def _call_fault(response: HttpResponse) -> CallFault:
    detail = f"{response.status} {response.body[:200]!r}"
    if response.status in (_TOO_MANY_REQUESTS, _UNAVAILABLE):
        return CallFault(CallFaultKind.NOT_DONE, detail)
    if response.status == _CONFLICT and b'"fenced"' not in response.body:
        return CallFault(CallFaultKind.OUT_OF_ORDER, detail)
    faults = {
        _CONFLICT: CallFaultKind.FENCED,
        410: CallFaultKind.TRIMMED,
        412: CallFaultKind.CONDITION_FAILED,
    }
    return CallFault(faults.get(response.status, CallFaultKind.INVALID_ANSWER), detail)


def _append_fault(response: HttpResponse) -> CallFault:
    """Return the fault of an append.

    A client error without a meaning of its own would be met by each repeat.
    """
    fault = _call_fault(response)
    if fault.kind not in (CallFaultKind.INVALID_ANSWER, CallFaultKind.TRIMMED):
        return fault
    if 400 <= response.status < 500 and response.status != _REQUEST_TIMEOUT:
        return CallFault(CallFaultKind.REFUSED, fault.detail)
    return fault


def _decode_items(body: bytes) -> Result[tuple[_Items, list[Record]], str]:
    """Decode a page of newest records; return it with its records."""
    match decode_json(_items_decoder, body):
        case Ok(page):
            try:
                return Ok((page, [_newest_record(item) for item in page.items]))
            except ValueError as exc:
                return Err(str(exc))
        case Err(detail):
            return Err(detail)


def _newest_record(item: _Item) -> Record:
    """Return the record of an item; ``ValueError`` if its value is not base64."""
    return Record(item.key, base64.b64decode(item.value, validate=True))


class PlatformStore(StorePort):
    """Store over HTTP.

    :param address: host and port of the store.
    """

    def __init__(self, client: HttpClient, address: str):
        self._client = client
        self._address = address
        self._mean_answer_s = 0.0

    def _write_timeout(self) -> float:
        """Return the timeout of a write, by the recent answer times, in seconds."""
        adaptive_s = WRITE_TIMEOUT_FACTOR * self._mean_answer_s
        return min(
            MAX_WRITE_TIMEOUT_SECONDS, max(MIN_WRITE_TIMEOUT_SECONDS, adaptive_s)
        )

    def _note_answer_time(self, answer_s: float) -> None:
        self._mean_answer_s += MEAN_ANSWER_GAIN * (
            max(0.0, answer_s) - self._mean_answer_s
        )

    async def append(
        self, topic: Topic, records: list[Record], guard: Condition | Fence | None
    ) -> Result[Appended, CallFault]:
        """Append records atomically."""
        query: dict[str, str | int] = {"topic": _TOPICS[topic], "part": 0}
        match guard:
            case Condition(end):
                query["at"] = end
            case Fence(epoch, sequence):
                query |= {"producer": _PRODUCER, "epoch": epoch, "seq": sequence}
        started_at = time.monotonic()
        answer = await self._client.call(
            "POST",
            self._address,
            "/api/log-append?" + urlencode(query),
            body=b"".join(_frame(record) for record in records),
            headers={"Content-Type": "application/octet-stream"},
            timeout_s=self._write_timeout(),
        )
        self._note_answer_time(time.monotonic() - started_at)
        match answer:
            case Ok(HttpResponse(200, body)):
                # Whatever the body is, the status says that the records were appended.
                return (
                    decode_json(_offsets_decoder, body)
                    .map(lambda one: Appended(one.offset, one.end_offset))
                    .map_err(lambda detail: CallFault(CallFaultKind.UNKNOWN, detail))
                )
            case Ok(response):
                return Err(_append_fault(response))
            case Err(fault):
                return Err(fault)

    async def read(
        self, topic: Topic, offset: int, wait_ms: int
    ) -> Result[Page, CallFault]:
        """Return records from ``offset`` on; wait for a first one if there is none."""
        query = {"topic": _TOPICS[topic], "part": 0, "from": offset}
        if wait_ms:
            query["wait_ms"] = wait_ms
        started_at = time.monotonic()
        answer = await self._client.call(
            "GET",
            self._address,
            "/api/log-read?" + urlencode(query),
            timeout_s=READ_TIMEOUT_SECONDS + wait_ms / 1000,
        )
        match answer:
            case Ok(HttpResponse(200, body)):
                try:
                    end, _first = _PAGE_HEADER.unpack_from(body)
                    records = tuple(_unframe(body, _PAGE_HEADER.size))
                except (struct.error, IndexError, ValueError) as exc:
                    return Err(CallFault(CallFaultKind.INVALID_ANSWER, str(exc)))
                if not records:
                    # The read waited for all of ``wait_ms``; the rest is answer time.
                    self._note_answer_time(
                        time.monotonic() - started_at - wait_ms / 1000
                    )
                return Ok(Page(records, offset + len(records), end))
            case Ok(response):
                return Err(_call_fault(response))
            case Err(fault):
                return Err(fault)

    async def newest(self, topic: Topic) -> Result[Newest, CallFault]:
        """Return the newest record of each key.

        The pages are not a consistent snapshot. ``end`` is taken from the first page,
        so that records which are appended between pages are read again.
        """
        records: list[Record] = []
        end: int | None = None
        after = ""
        while True:
            query = {"topic": _TOPICS[topic], "part": 0}
            if after:
                query["after"] = after
            answer = await self._client.call(
                "GET",
                self._address,
                "/api/log-newest?" + urlencode(query),
                timeout_s=NEWEST_TIMEOUT_SECONDS,
            )
            match answer:
                case Ok(HttpResponse(200, body)):
                    decoded = _decode_items(body)
                case Ok(response):
                    return Err(_call_fault(response))
                case Err(fault):
                    return Err(fault)
            if isinstance(decoded, Err):
                return Err(CallFault(CallFaultKind.INVALID_ANSWER, decoded.err()))
            page, page_records = decoded.ok()
            records += page_records
            end = page.end_offset if end is None else end
            if not page.has_more:
                return Ok(Newest(tuple(records), end))
            if not page.items or page.items[-1].key == after:
                detail = f"more records are said to follow {after!r}, none is given"
                return Err(CallFault(CallFaultKind.INVALID_ANSWER, detail))
            after = page.items[-1].key
