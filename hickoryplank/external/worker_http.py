"""HTTP clients of workers."""

from collections.abc import Awaitable, Callable
from enum import Enum
from http import HTTPStatus
from typing import TypeVar

import anyio
import msgspec
from result import Err, Ok, Result

from hickoryplank.core.ids import TaskId
from hickoryplank.external import wire
from hickoryplank.external.channel import (
    CallError,
    CallFailure,
    Channel,
    ChannelOptions,
    HttpResponse,
    make_tls_context,
)
from hickoryplank.external.errors import (
    StartNotRun,
    StartOutcomeUnknown,
    StartRefusal,
    WorkerFailure,
)
from hickoryplank.external.worker import (
    Answer,
    StartRequest,
    TaskReport,
    TaskState,
    Worker,
    WorkerDirectory,
    WorkerStatus,
)

__all__ = ["HttpWorker", "HttpWorkerDirectory"]

READ_TIMEOUT_SECONDS = 2.0
PROBE_INTERVAL_SECONDS = 0.5
MAX_PROBE_INTERVAL_SECONDS = 5.0
MAX_MISSED_PROBES = 3
CONFIRMING_PROBES = 2

# A lost start is detected by probes, so its read time-out exceeds any service time.
_START_READ_TIMEOUT_SECONDS = 86_400.0

_T = TypeVar("_T")
_Outcome = Result[Answer, StartNotRun | StartOutcomeUnknown]
_StartCall = Callable[[StartRequest], Awaitable[_Outcome]]


class _Pending(Enum):
    """State of a start that has not ended, as seen in a report of the worker."""

    RUNNING = "running"
    NOT_RECEIVED = "not_arrived"


class HttpWorker(Worker):
    """HTTP client of one worker.

    :param starts: channel for starts, which occupy a connection while the task runs.
    :param calls: channel for all other calls.
    :param probe_interval_seconds: interval at which the worker is probed over another
        connection while a start is unanswered.
    """

    def __init__(
        self,
        starts: Channel,
        calls: Channel,
        probe_interval_seconds: float = PROBE_INTERVAL_SECONDS,
    ) -> None:
        self._starts = starts
        self._calls = calls
        self._probe_interval = probe_interval_seconds

    async def status(self) -> Result[WorkerStatus, WorkerFailure]:
        """Return the worker's boot id, clock and load."""
        response = await self._call("GET", "/status")
        return response.and_then(lambda received: _decode(received, WorkerStatus))

    async def start(self, start: StartRequest) -> _Outcome:
        """Run a task and return its answer; a repeated attempt is run once."""
        return await self._first_outcome(
            start, self._send_start, self._probe_until_known
        )

    async def renew(
        self, task: TaskId, attempt: int, lease: float
    ) -> Result[None, WorkerFailure]:
        """Renew the lease of a running task for ``lease`` seconds from now."""
        body = msgspec.msgpack.encode(wire.Renewal(attempt, lease))
        return (await self._call("POST", "/renew", task, body)).map(_discard)

    async def task_report(self, task: TaskId) -> Result[TaskReport, WorkerFailure]:
        """Return the worker's report on a task."""
        response = await self._call("GET", "/task", task)
        found = response.and_then(lambda received: _decode(received, TaskReport))
        return found.and_then(lambda report: _check_task(report, task))

    async def checkpoint(self, task: TaskId) -> Result[None, WorkerFailure]:
        """Checkpoint and stop a task, so that a later attempt resumes it."""
        return (await self._call("POST", "/checkpoint", task)).map(_discard)

    async def stop(self, task: TaskId) -> Result[None, WorkerFailure]:
        """Stop a task permanently."""
        return (await self._call("POST", "/stop", task)).map(_discard)

    async def aclose(self) -> None:
        """Close all connections."""
        await self._starts.aclose()
        await self._calls.aclose()

    async def _call(
        self, method: str, path: str, task: TaskId | None = None, body: bytes = b""
    ) -> Result[HttpResponse, WorkerFailure]:
        headers = {} if task is None else {wire.TASK_HEADER: wire.to_header(task)}
        called = await self._calls.call(method, path, headers=headers, body=body)
        match called:
            case Ok(HttpResponse(HTTPStatus.OK) as response):
                return Ok(response)
            case Ok(response):
                return Err(WorkerFailure(f"status {response.status}"))
            case Err(failure):
                return Err(WorkerFailure(failure.detail))

    async def _send_start(self, start: StartRequest) -> _Outcome:
        called = await self._starts.call(
            "POST",
            "/start",
            headers=_start_headers(start),
            body=start.body,
            read_seconds=_START_READ_TIMEOUT_SECONDS,
        )
        match called:
            case Ok(response):
                return _parse_answer(response, start)
            case Err(CallFailure(CallError.NOT_SENT, detail)):
                return Err(StartNotRun(None, detail))
            case Err(failure):
                return Err(StartOutcomeUnknown(failure.detail))

    async def _resend_start(self, start: StartRequest) -> _Outcome:
        """Resend a start; a failure does not show that the first one had no effect."""
        sent = await self._send_start(start)
        return sent.map_err(lambda failure: StartOutcomeUnknown(failure.detail))

    async def _probe_until_known(self, start: StartRequest) -> _Outcome:
        """Probe the worker until the outcome of a start is known, and return it.

        Two consecutive probes have to agree, because the answer may be in transit. A
        start that did not arrive is resent over a new connection as the same attempt.
        """
        delay, missed, agreeing, boot = self._probe_interval, 0, 0, start.boot
        while missed < MAX_MISSED_PROBES:
            await anyio.sleep(delay)
            found = await self.task_report(start.task)
            if found.is_err():
                missed, delay = missed + 1, self._probe_interval
                continue
            report, missed = found.unwrap(), 0
            boot = boot or report.boot
            outcome = _outcome_from_report(report, start, boot)
            if outcome is _Pending.RUNNING:
                agreeing, delay = 0, min(2 * delay, MAX_PROBE_INTERVAL_SECONDS)
                continue
            agreeing, delay = agreeing + 1, self._probe_interval
            if agreeing == CONFIRMING_PROBES:
                await self._starts.retire_connections()
                if outcome is _Pending.NOT_RECEIVED:
                    return await self._first_outcome(
                        start, self._resend_start, self._probe_until_known
                    )
                return outcome
        return Err(StartOutcomeUnknown("worker did not respond to consecutive probes"))

    async def _first_outcome(self, start: StartRequest, *calls: _StartCall) -> _Outcome:
        """Run the calls concurrently; return the first outcome and cancel the rest."""
        outcomes: list[_Outcome] = []
        async with anyio.create_task_group() as group:

            async def run(call: _StartCall) -> None:
                outcomes.append(await call(start))
                group.cancel_scope.cancel()

            for call in calls:
                group.start_soon(run, call)
        return outcomes[0]


class HttpWorkerDirectory(WorkerDirectory):
    """Directory of HTTP clients, one per address.

    :param options: time-outs and limits of each of the two channels to a worker.
    :param probe_interval_seconds: interval at which a worker is probed while a start
        is unanswered.
    """

    def __init__(
        self,
        options: ChannelOptions | None = None,
        probe_interval_seconds: float = PROBE_INTERVAL_SECONDS,
    ) -> None:
        self._options = options or ChannelOptions(read_seconds=READ_TIMEOUT_SECONDS)
        self._probe_interval = probe_interval_seconds
        self._context = make_tls_context(self._options.tls)
        self._workers: dict[str, HttpWorker] = {}

    def at(self, address: str) -> Worker:
        """Return the client of the worker at ``address``.

        :param address: ``host:port``.
        """
        if address not in self._workers:
            starts = Channel(address, self._options, self._context)
            calls = Channel(address, self._options, self._context)
            self._workers[address] = HttpWorker(starts, calls, self._probe_interval)
        return self._workers[address]

    async def aclose(self) -> None:
        """Close all connections."""
        for worker in self._workers.values():
            await worker.aclose()
        self._workers.clear()


def _start_headers(start: StartRequest) -> dict[str, str | bytes]:
    headers: dict[str, str | bytes] = {
        wire.TASK_HEADER: wire.to_header(start.task),
        wire.ATTEMPT_HEADER: str(start.attempt),
        wire.BOOT_HEADER: wire.to_header(start.boot),
        wire.START_BY_HEADER: repr(start.start_by),
        wire.LEASE_HEADER: repr(start.lease),
    }
    if start.content_type:
        headers["content-type"] = start.content_type.encode("latin-1", "replace")
    if start.traceparent:
        headers["traceparent"] = start.traceparent.encode("latin-1", "replace")
    return headers


def _parse_answer(response: HttpResponse, start: StartRequest) -> _Outcome:
    headers = response.headers
    if wire.from_header(headers.get(wire.TASK_HEADER, "")) != start.task:
        return Err(StartOutcomeUnknown("answer belongs to another task"))
    if headers.get(wire.ATTEMPT_HEADER) != str(start.attempt):
        return Err(StartOutcomeUnknown("answer belongs to another attempt"))
    if wire.INTERRUPTED_HEADER in headers:
        return Err(StartOutcomeUnknown(headers[wire.INTERRUPTED_HEADER]))
    if wire.REFUSAL_HEADER in headers:
        return _parse_refusal(headers[wire.REFUSAL_HEADER])
    return Ok(
        Answer(
            task=start.task,
            status=response.status,
            content_type=headers.get("content-type", ""),
            body=response.body,
        )
    )


def _parse_refusal(value: str) -> _Outcome:
    try:
        return Err(StartNotRun(StartRefusal(value)))
    except ValueError:
        return Err(
            StartOutcomeUnknown(
                f"worker refused the start for an unknown reason: {value!r}"
            )
        )


def _outcome_from_report(
    report: TaskReport, start: StartRequest, boot: str
) -> _Outcome | _Pending:
    """Return the outcome of a start as shown by a report, or that it is pending."""
    if report.boot != boot:
        return Err(StartOutcomeUnknown("worker restarted"))
    if report.state is TaskState.NEVER_SEEN or report.attempt < start.attempt:
        return _outcome_if_not_received(report, start)
    if report.attempt > start.attempt:
        return Err(StartOutcomeUnknown("superseded"))
    if report.state is TaskState.RUNNING:
        return _Pending.RUNNING
    if report.answer is None:
        return Err(StartOutcomeUnknown(report.state.value))
    return Ok(report.answer)


def _outcome_if_not_received(
    report: TaskReport, start: StartRequest
) -> _Outcome | _Pending:
    if report.clock > start.start_by:
        return Err(
            StartOutcomeUnknown(
                "worker did not receive the start before its start-by time"
            )
        )
    # If the start names no boot id, a worker that restarted would run a resent start
    # as well.
    if start.boot and report.state is TaskState.NEVER_SEEN:
        return _Pending.NOT_RECEIVED
    return _Pending.RUNNING


def _decode(response: HttpResponse, kind: type[_T]) -> Result[_T, WorkerFailure]:
    try:
        return Ok(msgspec.msgpack.decode(response.body, type=kind))
    except msgspec.DecodeError as exc:
        return Err(WorkerFailure(str(exc)))


def _check_task(report: TaskReport, task: TaskId) -> Result[TaskReport, WorkerFailure]:
    answer = report.answer
    if report.task != task or answer is not None and answer.task != task:
        return Err(WorkerFailure("report belongs to another task"))
    return Ok(report)


def _discard(_: HttpResponse) -> None:
    return None
