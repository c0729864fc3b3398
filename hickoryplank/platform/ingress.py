"""The address that callers reach: their calls, and the answers they get."""

import logging
import re
import time
from collections.abc import Awaitable, Callable

import msgspec
from aiohttp import web

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

__all__ = ["Ingress", "decode_submission"]

logger = logging.getLogger(__name__)

#: How long a caller waits that doesn't say so, in seconds; the users' kinds of
#: request all wait three.
DEFAULT_WAIT_SECONDS = 3.0
_ID = re.compile(r"[0-9a-fA-F]{16}\Z")
_BEARER = "Bearer "
_STATE_PREFIX = '{"state":"'


class _Stage(msgspec.Struct):
    count: int
    #: Thousandths of a core that each task requests.
    cpu: int = 0
    mem_mb: int = 0
    gpu: int = 0
    estimate_ms: int = 0
    after: list[int] = []
    #: The task checkpoints its progress.
    checkpointing: bool = False
    gang: bool = False
    same_rack: bool = False
    required_label: str = ""
    #: The rack near the data; on others the task takes longer.
    affinity: str = ""
    max_per_server: int = 0
    speculative: bool = False
    #: Runs until the job is cancelled.
    perpetual: bool = False
    image: str = ""
    target_ms: int = 0
    #: Uses capacity that others leave; its cpu isn't counted.
    fills: bool = False
    may_miss: int = 0


class _Job(msgspec.Struct):
    job_stages: list[_Stage]
    spec: str = ""
    #: How many times the steps run; 0: once, and now.
    repeats: int = 0
    first_ms: int = 0
    period_ms: int = 0


_jobs = msgspec.json.Decoder(_Job)


def decode_submission(body: bytes) -> Submission:
    """Read a job as a caller sends it.

    :raises msgspec.MsgspecError: it can't be read.
    """
    job = _jobs.decode(body)
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


def _reply(status: int, body: str = "{}", again_s: int = 0) -> web.Response:
    resp = web.Response(status=status, text=body, content_type="application/json")
    if again_s:
        resp.headers["Retry-After"] = str(again_s)
    return resp


def encode_answer(answer: Answer) -> web.Response:
    """Return the response that tells a caller the answer."""
    match answer:
        case Accepted() | Cancelled():
            return _reply(200)
        case StateIs(state):
            return _reply(200, f'{_STATE_PREFIX}{state.value}"}}')
        case PendingIs(pending):
            return _reply(200, f'{{"pending":{pending}}}')
        case NoSuchJob():
            return _reply(410)
        case NoSuchQueue():
            return _reply(404)
        case NoKey():
            return _reply(401)
        case Faulty(detail):
            return _reply(400, msgspec.json.encode({"error": detail}).decode())
        case NotRun(_, again_s):
            return _reply(503, again_s=again_s)
        case Unsettled():
            return _reply(504)


def _wait_s(request: web.BaseRequest) -> float:
    """Return how long the caller waits, in seconds."""
    told = request.headers.get("Hickoryplank-Deadline-Ms", "")
    return int(told) / 1000 if told.isdigit() else DEFAULT_WAIT_SECONDS


class Ingress:
    """Turns requests into calls, and answers into responses.

    :param version: returns the version of the configuration that this entry has.
    """

    def __init__(
        self,
        answer: Callable[[Call, float], Awaitable[Answer]],
        version: Callable[[], int],
        measures: EntryMetrics,
    ):
        self._measures = measures
        self._answer = answer
        self._version = version
        self.closing = False
        self.open_requests = 0

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answer one request."""
        self.open_requests += 1
        try:
            call = await self._decode(request)
            if isinstance(call, Faulty):
                resp = encode_answer(call)
            else:
                resp = encode_answer(await self._ask(call, _wait_s(request)))
        finally:
            self.open_requests -= 1
        if self.closing:
            resp.force_close()
        return resp

    async def _ask(self, call: Call, within_s: float) -> Answer:
        begun = time.monotonic()
        answer = await self._answer(call, within_s)
        self._measures.call(call, answer, time.monotonic() - begun)
        if isinstance(answer, NotRun | Unsettled | NoKey):
            logger.info(
                "call not served",
                extra={
                    "request": call.where.request,
                    "call": type(call).__name__,
                    "answer": type(answer).__name__,
                    "why": answer.why.value if isinstance(answer, NotRun) else "",
                },
            )
        return answer

    async def _decode(self, request: web.BaseRequest) -> Call | Faulty:
        path = request.path
        auth = request.headers.get("Authorization", "")
        key = auth[len(_BEARER) :] if auth.startswith(_BEARER) else ""
        host = request.host.rsplit(":", 1)[0]
        found = _ID.search(path)
        id = JobId(found.group()) if found else JobId("")
        where = CallContext(host, path, key, self._version(), id)
        if not id:
            return Count(where)
        match request.method:
            case "GET":
                return Ask(where, id)
            case "DELETE":
                return Cancel(where, id)
            case "POST":
                try:
                    submission = decode_submission(await request.read())
                except msgspec.MsgspecError as exc:
                    return Faulty(str(exc))
                return Submit(where, id, submission)
        return Faulty(f"method {request.method} isn't known")
