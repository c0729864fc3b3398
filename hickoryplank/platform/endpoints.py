"""Adapter to the executors of the platform, which hickoryplank calls endpoints."""

import logging

import msgspec
from result import Err, Ok, Result

from hickoryplank.coordinator.ports import (
    CallFault,
    CallFaultKind,
    EndpointPort,
    StartAnswer,
)
from hickoryplank.core.ids import JobId
from hickoryplank.http_client import HttpClient, HttpResponse
from hickoryplank.jobs.endpoints import Run
from hickoryplank.jobs.messages import (
    End,
    EndKind,
    PollReport,
    PollRequest,
    RunningTask,
    StartOutcome,
)
from hickoryplank.jobs.model import TaskKey
from hickoryplank.platform.decoding import Integer, Natural, decode_json

__all__ = ["PlatformEndpoints"]

logger = logging.getLogger(__name__)

#: Timeout of a start, stop or pace change, in seconds: a hundred times its usual
#: duration.
REQUEST_TIMEOUT_SECONDS = 0.4
#: Timeout of a poll, in seconds, added to the time for which it may wait for an end.
POLL_TIMEOUT_SECONDS = 0.5
#: Most ends that an executor lists in one answer, by the platform's protocol.
MAX_ENDS_PER_ANSWER = 500
_BAD_REQUEST = 400
_CONFLICT = 409
_MISDIRECTED = 421
_UNHEALTHY = (429, 503)

_REASONS = {
    "fence": StartOutcome.FENCED,
    "old": StartOutcome.ALREADY_ENDED,
    "late": StartOutcome.LEASE_EXPIRED,
    "room": StartOutcome.NO_ROOM,
    "ticket": StartOutcome.NO_TICKET,
}


class _Start(msgspec.Struct, omit_defaults=True):
    task: str
    attempt: int
    spec: str
    until_ms: int
    fencing_token: int
    saved_state: str = ""
    ticket: str = ""


class _Stop(msgspec.Struct):
    task: str
    attempt: int
    fencing_token: int


class _Pace(msgspec.Struct):
    task: str
    attempt: int
    percent: int
    fencing_token: int


class _Hold(msgspec.Struct, omit_defaults=True):
    fencing_token: int
    last_seen: int
    until_ms: int | None = None
    wait_ms: int = 0


class _Running(msgspec.Struct, array_like=True):
    task: str
    attempt: Natural
    checkpoint: str = ""
    percent: Integer = 0
    load: float = 0


class _Ended(msgspec.Struct, array_like=True):
    number: Natural
    task: str
    attempt: Natural
    how: EndKind
    checkpoint: str = ""


class _Lists(msgspec.Struct):
    clock_ms: Integer
    running: list[_Running]
    ended: list[_Ended]
    born: Natural = 0


class _Clock(msgspec.Struct):
    clock_ms: Integer = 0
    reason: str = ""


_lists_decoder = msgspec.json.Decoder(_Lists)
_clock_decoder = msgspec.json.Decoder(_Clock)
_encoder = msgspec.json.Encoder()


def task_name(key: TaskKey) -> str:
    """Return the name of a task in the protocol of the platform."""
    return f"{key.job}.{key.occurrence}.{key.step}.{key.index}"


def task_key(name: str) -> TaskKey:
    """Parse the name of a task in the protocol of the platform.

    :raises ValueError: if the name is malformed.
    """
    job, occurrence, step, index = name.split(".")
    return TaskKey(JobId(job), int(occurrence), int(step), int(index))


def _decode_clock(body: bytes) -> _Clock:
    # A clock of 0 stands for an unknown one.
    return decode_json(_clock_decoder, body).unwrap_or(_Clock())


class PlatformEndpoints(EndpointPort):
    """Endpoints over HTTP."""

    def __init__(self, client: HttpClient):
        self._client = client

    async def start(self, run: Run, payload: str, token: int) -> StartAnswer:
        """Start a run under a lease until ``run.until_ms``."""
        request = _Start(
            task_name(run.key),
            run.attempt,
            payload,
            run.until_ms,
            token,
            run.checkpoint,
            run.ticket,
        )
        match await self._send(run, "/api/run-start", request):
            case Ok(HttpResponse(200, body)):
                return StartAnswer(StartOutcome.STARTED, _decode_clock(body).clock_ms)
            case Ok(HttpResponse(409, body)):
                clock = _decode_clock(body)
                outcome = _REASONS.get(clock.reason, StartOutcome.REFUSED)
                return StartAnswer(outcome, clock.clock_ms, clock.reason)
            case Ok(response):
                return StartAnswer(
                    _start_outcome(response.status), detail=str(response)
                )
            case Err(CallFault(CallFaultKind.NOT_DONE, detail)):
                return StartAnswer(StartOutcome.NOT_SENT, detail=detail)
            case Err(fault):
                return StartAnswer(StartOutcome.UNKNOWN, detail=fault.detail)

    async def stop(self, run: Run, token: int) -> Result[int, CallFault]:
        """Stop a run; return the clock of the endpoint, in milliseconds."""
        request = _Stop(task_name(run.key), run.attempt, token)
        return _clock_result(await self._send(run, "/api/run-stop", request))

    async def pace(self, run: Run, percent: int, token: int) -> Result[int, CallFault]:
        """Set the pace of a run; return the clock of the endpoint, in milliseconds."""
        request = _Pace(task_name(run.key), run.attempt, percent, token)
        return _clock_result(await self._send(run, "/api/pace", request))

    async def _send(
        self, run: Run, path: str, request: msgspec.Struct
    ) -> Result[HttpResponse, CallFault]:
        listing = run.endpoint.listing
        return await self._client.call(
            "POST",
            listing.address,
            path,
            body=_encoder.encode(request),
            headers={"Hickoryplank-Expect-Instance": listing.id},
            timeout_s=REQUEST_TIMEOUT_SECONDS,
        )

    async def poll(
        self, request: PollRequest, token: int
    ) -> Result[PollReport, CallFault]:
        """Poll the runs and ends of an endpoint, and renew the leases of its runs."""
        body = _Hold(token, request.acknowledged, request.until_ms, request.wait_ms)
        answer = await self._client.call(
            "POST",
            request.address,
            "/api/hold",
            body=_encoder.encode(body),
            headers={"Hickoryplank-Expect-Instance": request.endpoint},
            timeout_s=POLL_TIMEOUT_SECONDS + request.wait_ms / 1000,
        )
        match answer:
            case Ok(HttpResponse(200, data)):
                return _decode_report(data)
            case Ok(response):
                return Err(_call_fault(response))
            case Err(fault):
                return Err(fault)


def _start_outcome(status: int) -> StartOutcome:
    """Return the outcome of a start that was answered by neither 200 nor 409."""
    if status in _UNHEALTHY:
        return StartOutcome.UNHEALTHY
    if status == _MISDIRECTED:
        return StartOutcome.OTHER_INCARNATION
    if status == _BAD_REQUEST:
        return StartOutcome.REFUSED
    return StartOutcome.UNKNOWN


def _call_fault(response: HttpResponse) -> CallFault:
    detail = f"{response.status} {response.body[:200]!r}"
    kinds = {
        _CONFLICT: CallFaultKind.FENCED,
        _MISDIRECTED: CallFaultKind.OTHER_INCARNATION,
        _BAD_REQUEST: CallFaultKind.NOT_DONE,
    } | dict.fromkeys(_UNHEALTHY, CallFaultKind.NOT_DONE)
    return CallFault(kinds.get(response.status, CallFaultKind.UNKNOWN), detail)


def _clock_result(answer: Result[HttpResponse, CallFault]) -> Result[int, CallFault]:
    match answer:
        case Ok(HttpResponse(200, body)):
            return Ok(_decode_clock(body).clock_ms)
        case Ok(response):
            return Err(_call_fault(response))
        case Err(fault):
            return Err(fault)


def _own_task_key(name: str) -> TaskKey | None:
    """Return the key of a task; none, with a log line, if it isn't one of ours."""
    try:
        return task_key(name)
    except ValueError:
        logger.warning("unknown task in a report ignored", extra={"task": name[:100]})
        return None


def _decode_report(data: bytes) -> Result[PollReport, CallFault]:
    match decode_json(_lists_decoder, data):
        case Ok(lists):
            return _report(lists)
        case Err(detail):
            return Err(CallFault(CallFaultKind.INVALID_ANSWER, detail))


def _report(lists: _Lists) -> Result[PollReport, CallFault]:
    try:
        running = tuple(
            RunningTask(key, row.attempt, row.checkpoint, row.percent, int(row.load))
            for row in lists.running
            if (key := _own_task_key(row.task)) is not None
        )
        # The protocol doesn't say in which order they are listed. An acknowledgement of
        # the highest number that was read covers all before it.
        ends = tuple(
            End(row.number, key, row.attempt, row.how, row.checkpoint)
            for row in sorted(lists.ended, key=lambda row: row.number)
            if (key := _own_task_key(row.task)) is not None
        )
    except (ValueError, OverflowError) as exc:
        return Err(CallFault(CallFaultKind.INVALID_ANSWER, str(exc)))
    # Ends of unknown tasks count, as they are in the list of the executor.
    is_full = len(lists.ended) >= MAX_ENDS_PER_ANSWER
    if is_full:
        logger.info("report with a full list of ends", extra={"ends": len(ends)})
    return Ok(PollReport(lists.born, lists.clock_ms, running, ends, is_full))
