"""HTTP interface for callers."""

import logging
import re
import time
from collections.abc import Awaitable, Callable

import msgspec
from aiohttp import web
from result import Err, Ok, Result

from hickoryplank.coordinator.calls import (
    Accepted,
    Answer,
    Ask,
    Call,
    CallContext,
    Cancel,
    Cancelled,
    Count,
    Faulty,
    NoKey,
    NoSuchJob,
    NoSuchQueue,
    NotRun,
    PendingIs,
    StateIs,
    Submission,
    Submit,
    Unsettled,
)
from hickoryplank.coordinator.metrics import EntryMetrics
from hickoryplank.core.ids import JobId
from hickoryplank.jobs.model import Step
from hickoryplank.jobs.sizes import Size
from hickoryplank.platform.decoding import Integer, Natural, decode_json

__all__ = ["Ingress", "decode_submission"]

logger = logging.getLogger(__name__)

#: Timeout of a caller whose request does not state it, in seconds. All kinds of
#: requests of the users have this timeout.
DEFAULT_TIMEOUT_SECONDS = 3.0
_JOB_ID = re.compile(r"[0-9a-fA-F]{16}\Z")
_DEADLINE_MS = re.compile(r"[0-9]{1,9}\Z")
_BEARER = "Bearer "
_STATE_PREFIX = '{"state":"'


class _Stage(msgspec.Struct):
    count: Natural
    #: CPU that each task requests, in thousandths of a core.
    cpu: Natural = 0
    mem_mb: Natural = 0
    gpu: Natural = 0
    estimate_ms: Natural = 0
    after: list[Natural] = []
    #: The tasks store checkpoints, from which they can resume.
    checkpointing: bool = False
    gang: bool = False
    same_rack: bool = False
    required_label: str = ""
    #: The rack near the data; on other racks the task takes longer.
    affinity: str = ""
    max_per_server: Natural = 0
    speculative: bool = False
    #: The tasks run until the job is cancelled.
    perpetual: bool = False
    image: str = ""
    target_ms: Natural = 0
    #: The tasks use idle capacity; their ``cpu`` is not counted.
    fills: bool = False
    may_miss: Natural = 0


class _Job(msgspec.Struct):
    job_stages: list[_Stage]
    spec: str = ""
    #: Number of timed occurrences; 0 for a job that runs once, now.
    repeats: Natural = 0
    first_ms: Integer = 0
    period_ms: Natural = 0


_job_decoder = msgspec.json.Decoder(_Job)


def decode_submission(body: bytes) -> Result[Submission, str]:
    """Decode a job from the body of a request.

    :return: the submission, or why the body is malformed.
    """
    return decode_json(_job_decoder, body).map(_submission)


def _submission(job: _Job) -> Submission:
    return Submission(
        payload=job.spec,
        steps=tuple(_step(stage) for stage in job.job_stages),
        repeats=job.repeats,
        first_ms=job.first_ms,
        period_ms=job.period_ms,
    )


def _step(stage: _Stage) -> Step:
    return Step(
        count=stage.count,
        size=Size(stage.cpu, stage.mem_mb, stage.gpu),
        estimate_ms=stage.estimate_ms,
        after=tuple(stage.after),
        checkpointing=stage.checkpointing,
        gang=stage.gang,
        same_rack=stage.same_rack,
        required_label=stage.required_label,
        affinity=stage.affinity,
        max_per_endpoint=stage.max_per_server,
        speculative=stage.speculative,
        lasting=stage.perpetual,
        image=stage.image,
        target_ms=stage.target_ms,
        fills=stage.fills,
        may_miss=stage.may_miss,
    )


def _response(status: int, body: str = "{}", retry_after_s: int = 0) -> web.Response:
    resp = web.Response(status=status, text=body, content_type="application/json")
    if retry_after_s:
        resp.headers["Retry-After"] = str(retry_after_s)
    return resp


def encode_answer(answer: Answer) -> web.Response:
    """Return the HTTP response for an answer."""
    match answer:
        case Accepted() | Cancelled():
            return _response(200)
        case StateIs(state):
            return _response(200, f'{_STATE_PREFIX}{state.value}"}}')
        case PendingIs(pending):
            return _response(200, f'{{"pending":{pending}}}')
        case NoSuchJob():
            return _response(410)
        case NoSuchQueue():
            return _response(404)
        case NoKey():
            return _response(401)
        case Faulty(detail):
            return _response(400, msgspec.json.encode({"error": detail}).decode())
        case NotRun(_, retry_after_s):
            return _response(503, retry_after_s=retry_after_s)
        case Unsettled(_, retry_after_s):
            return _response(504, retry_after_s=retry_after_s)


def _why_not_served(answer: NotRun | Unsettled | NoKey) -> str:
    match answer:
        case NotRun(why):
            return why.value
        case Unsettled(detail):
            return detail
        case NoKey():
            return ""


def _timeout_s(request: web.BaseRequest) -> float:
    """Return the timeout of the caller, in seconds."""
    header = request.headers.get("Hickoryplank-Deadline-Ms", "")
    if not _DEADLINE_MS.match(header):
        return DEFAULT_TIMEOUT_SECONDS
    return int(header) / 1000


class Ingress:
    """Converts requests to calls, and answers to responses.

    :param answer: handles a call within a timeout in seconds, and returns its answer.
    :param version: returns the version of the configuration that this entry has.
    :param metrics: records the calls.
    :ivar closing: whether connections are closed after the next response.
    :ivar open_requests: number of requests in progress.
    """

    def __init__(
        self,
        answer: Callable[[Call, float], Awaitable[Answer]],
        version: Callable[[], int],
        metrics: EntryMetrics,
    ):
        self._metrics = metrics
        self._answer = answer
        self._version = version
        self.closing = False
        self.open_requests = 0

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Handle a request of a caller."""
        self.open_requests += 1
        try:
            call = await self._decode(request)
            if isinstance(call, Faulty):
                resp = encode_answer(call)
            else:
                resp = encode_answer(await self._handle_call(call, _timeout_s(request)))
        finally:
            self.open_requests -= 1
        if self.closing:
            resp.force_close()
        return resp

    async def _handle_call(self, call: Call, within_s: float) -> Answer:
        started_at = time.monotonic()
        answer = await self._answer(call, within_s)
        self._metrics.call(call, answer, time.monotonic() - started_at)
        if isinstance(answer, NotRun | Unsettled | NoKey):
            logger.info(
                "call not served",
                extra={
                    "request": call.where.request,
                    "call": type(call).__name__,
                    "answer": type(answer).__name__,
                    "why": _why_not_served(answer),
                },
            )
        return answer

    async def _decode(self, request: web.BaseRequest) -> Call | Faulty:
        path = request.path
        auth = request.headers.get("Authorization", "")
        key = auth[len(_BEARER) :] if auth.startswith(_BEARER) else ""
        host = request.host.rsplit(":", 1)[0]
        id_match = _JOB_ID.search(path)
        id = JobId(id_match.group()) if id_match else JobId("")
        where = CallContext(host, path, key, self._version(), id)
        if not id:
            return Count(where)
        match request.method:
            case "GET":
                return Ask(where, id)
            case "DELETE":
                return Cancel(where, id)
            case "POST":
                match decode_submission(await request.read()):
                    case Ok(submission):
                        return Submit(where, id, submission)
                    case Err(detail):
                        return Faulty(detail)
        return Faulty(f"method {request.method} is not supported")
