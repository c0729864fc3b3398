"""HTTP API for callers."""

import re
import secrets
from enum import Enum

import anyio
import msgspec
from result import Err, Ok, Result
from starlette.requests import ClientDisconnect, Request
from starlette.responses import Response
from starlette.routing import Route

from hickoryplank.core.ids import ClaimId, RequestId, TaskId, TeamId
from hickoryplank.core.objects import Queue, WorkClass
from hickoryplank.core.records import OutcomeKind
from hickoryplank.core.tables import ClaimRow
from hickoryplank.core.work import (
    Completed,
    Failed,
    NotRun,
    Queued,
    Unknown,
    WorkAnswer,
    WorkRequest,
)
from hickoryplank.shell.caller_problems import OUTCOME_HEADER, problem_response, refusal
from hickoryplank.shell.claim_ids import answer_from_outcome, claim_id_for, task_id_for
from hickoryplank.shell.clock import Clock
from hickoryplank.shell.keys import KeyIndex, may_submit
from hickoryplank.shell.replica import Replica
from hickoryplank.shell.request_executor import find_queue
from hickoryplank.shell.request_router import RequestRouter
from hickoryplank.shell.telemetry import Hop, Telemetry

__all__ = ["CallerLimits", "CallerApi", "WorkState", "WorkStatus"]

MAX_WAIT_SECONDS = 300.0
MAX_KEY_CHARACTERS = 200
_WAIT_PREFERENCE = re.compile(r"(?:^|[,;\s])wait=(\d{1,6}(?:\.\d{1,3})?)(?:$|[,;\s])")
_ID_BYTES = 12


class CallerLimits(msgspec.Struct, frozen=True, kw_only=True):
    """Limits on a single request.

    :param body_bytes: the largest accepted body, in bytes.
    :param wait_seconds: how long a request without ``Prefer: wait=`` waits for
        its answer, in seconds.
    """

    body_bytes: int
    wait_seconds: float


class WorkState(Enum):
    """The states of accepted work."""

    OPEN = "open"
    DONE = "done"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


class WorkStatus(msgspec.Struct, frozen=True, kw_only=True):
    """The status resource of accepted work."""

    id: ClaimId
    queue: str
    state: WorkState
    attempts: int
    detail: str = ""


class CallerApi:
    """Handles callers' requests.

    :ivar open_requests: the number of submitted requests without a response yet.
    :ivar refusing: whether new requests are refused because the node is stopping.
    """

    def __init__(
        self,
        replica: Replica,
        router: RequestRouter,
        limits: CallerLimits,
        clock: Clock,
        telemetry: Telemetry | None = None,
    ):
        self._telemetry = telemetry or Telemetry()
        self._replica = replica
        self._router = router
        self._limits = limits
        self._clock = clock
        self._keys = KeyIndex()
        self.open_requests = 0
        self.refusing = False

    def routes(self) -> list[Route]:
        """Return the routes under ``/v1``."""
        return [
            Route("/v1/queues/{queue}/work", self.submit, methods=["POST"]),
            Route("/v1/work/{claim}", self.status, methods=["GET"]),
            Route("/v1/work/{claim}", self.cancel, methods=["DELETE"]),
            Route("/v1/work/{claim}/answer", self.answer, methods=["GET"]),
        ]

    async def submit(self, req: Request) -> Response:
        """Run a request on a VM of the queue's pool."""
        if self.refusing:
            return _stopping_refusal()
        self.open_requests += 1
        try:
            return await self._submit(req)
        finally:
            self.open_requests -= 1

    async def _submit(self, req: Request) -> Response:
        if not self._replica.freshness.is_fresh(self._clock.now()):
            return _stale_refusal()
        queue = find_queue(self._replica.tables, req.path_params["queue"])
        if queue is None:
            return refusal(404, "there is no such queue")
        team = self._admit(req, queue)
        if isinstance(team, Response):
            return team
        body = await self._read_body(req)
        if body.is_err():
            return body.unwrap_err()
        if not self._replica.freshness.is_fresh(self._clock.now()):
            return _stale_refusal()
        admitted = self._admit(req, queue)
        if admitted != team:
            return (
                admitted if isinstance(admitted, Response) else _key_changed_refusal()
            )
        work = self._work_request(req, queue, team, body.unwrap())
        if work.is_err():
            return work.unwrap_err()
        return await self._run(req, work.unwrap())

    def _admit(self, req: Request, queue: Queue) -> TeamId | Response:
        """Return the team that the request is made for, or the refusal."""
        secret = _bearer_token(req)
        if secret is None:
            if queue.open_team is not None:
                return queue.open_team
            return _unauthorized("this queue requires a team's key")
        team = self._keys.team_of(self._replica.tables, secret)
        if team is None:
            return _unauthorized("the key is unknown or has been withdrawn")
        if not may_submit(queue, team):
            return refusal(403, "the queue does not take this team's work")
        return team

    async def _read_body(self, req: Request) -> Result[bytes, Response]:
        max_bytes = self._limits.body_bytes
        body = bytearray()
        try:
            async for chunk in req.stream():
                body += chunk
                if len(body) > max_bytes:
                    detail = f"a body may have at most {max_bytes} bytes"
                    return Err(refusal(413, "the body is too large", detail))
        except ClientDisconnect:
            return Err(
                refusal(
                    400, "the connection was closed before the whole body was received"
                )
            )
        return Ok(bytes(body))

    def _work_request(
        self, req: Request, queue: Queue, team: TeamId, body: bytes
    ) -> Result[WorkRequest, Response]:
        wait = self._wait_seconds(req)
        if wait is None:
            detail = f"Prefer: wait= must be between 0 and {MAX_WAIT_SECONDS:g} seconds"
            return Err(refusal(400, "invalid wait time", detail))
        durable = queue.work_class is WorkClass.BATCH
        key = req.headers.get("idempotency-key")
        if key is not None and not 0 < len(key) <= MAX_KEY_CHARACTERS:
            detail = f"the key must have 1 to {MAX_KEY_CHARACTERS} characters"
            return Err(refusal(400, "invalid Idempotency-Key", detail))
        if key is None and not queue.idempotent:
            detail = "work of this queue runs at most once for each key"
            return Err(refusal(400, "an Idempotency-Key is required", detail))
        claim = None
        if durable or not queue.idempotent:
            claim = claim_id_for(team, queue.name, key or secrets.token_hex(_ID_BYTES))
        unique = secrets.token_hex(_ID_BYTES)
        task = task_id_for(claim) if claim else TaskId(unique)
        return Ok(
            WorkRequest(
                id=RequestId(unique),
                task=task,
                queue=queue.name,
                team=team,
                patience=wait,
                content_type=req.headers.get("content-type", ""),
                body=body,
                claim=claim,
                durable=durable,
                traceparent=req.headers.get("traceparent", ""),
            )
        )

    def _wait_seconds(self, req: Request) -> float | None:
        prefer = req.headers.get("prefer", "")
        if "wait=" not in prefer:
            return self._limits.wait_seconds
        match = _WAIT_PREFERENCE.search(prefer)
        wait = float(match[1]) if match else None
        return wait if wait is not None and wait <= MAX_WAIT_SECONDS else None

    async def _run(self, req: Request, work: WorkRequest) -> Response:
        """Run the work; cancel it if the caller disconnects."""
        response = None
        began = self._clock.now()
        async with anyio.create_task_group() as group:
            group.start_soon(_cancel_on_disconnect, req, group.cancel_scope)
            with self._telemetry.trace_hop(Hop.API, work) as traced:
                answer = await self._router.handle(traced)
            self._telemetry.note_answer(work, answer, self._clock.now() - began)
            response = _response_to(answer)
            group.cancel_scope.cancel()
        return response or refusal(499, "the caller disconnected")

    async def status(self, req: Request) -> Response:
        """Return the status of accepted work."""
        row = self._find_claim(req)
        if isinstance(row, Response):
            return row
        return _json_response(_work_status(row))

    async def answer(self, req: Request) -> Response:
        """Return the endpoint's answer to accepted work."""
        row = self._find_claim(req)
        if isinstance(row, Response):
            return row
        if row.outcome is None:
            return refusal(409, "the work is not finished", "", 1.0)
        return _response_to(answer_from_outcome(row.outcome))

    async def cancel(self, req: Request) -> Response:
        """Cancel accepted work that has not been dispatched."""
        row = self._find_claim(req)
        if isinstance(row, Response):
            return row
        if row.outcome is None:
            self._router.cancel(row.holder, RequestId(task_id_for(row.claim)))
        return _json_response(_work_status(row), 202)

    def _find_claim(self, req: Request) -> ClaimRow | Response:
        tables = self._replica.tables
        row = tables.claims.get(ClaimId(req.path_params["claim"]))
        queue = find_queue(tables, row.queue) if row else None
        if queue is None:
            return refusal(404, "there is no such work")
        team = self._admit(req, queue)
        if isinstance(team, Response):
            return team
        return row if team == row.team else refusal(404, "there is no such work")


async def _cancel_on_disconnect(req: Request, scope: anyio.CancelScope) -> None:
    while True:
        message = await req.receive()
        if message["type"] == "http.disconnect":
            scope.cancel()
            return


def _bearer_token(req: Request) -> str | None:
    scheme, _, secret = req.headers.get("authorization", "").partition(" ")
    return secret.strip() if scheme.lower() == "bearer" else None


def _stale_refusal() -> Response:
    detail = "this node's view of the configuration is stale"
    return refusal(503, "not run: stale_node", detail, 1.0)


def _stopping_refusal() -> Response:
    response = refusal(503, "not run: stopping", "this entry is shutting down", 1.0)
    response.headers["Connection"] = "close"
    return response


def _key_changed_refusal() -> Response:
    return _unauthorized(
        "the key was assigned to another team while the body was received"
    )


def _unauthorized(detail: str) -> Response:
    response = refusal(401, "no valid key", detail)
    response.headers["WWW-Authenticate"] = "Bearer"
    return response


def _response_to(answer: WorkAnswer) -> Response:
    match answer:
        case Completed(status=status, content_type=content_type, body=body):
            headers = {OUTCOME_HEADER: "completed"}
            if content_type:
                headers["Content-Type"] = content_type
            return Response(body, status, headers=headers)
        case Queued(claim=claim):
            status = WorkStatus(id=claim, queue="", state=WorkState.OPEN, attempts=0)
            response = _json_response(status, 202)
            response.headers["Location"] = f"/v1/work/{claim}"
            return response
        case NotRun() | Failed() | Unknown():
            return problem_response(answer)


def _work_status(row: ClaimRow) -> WorkStatus:
    state, detail = WorkState.OPEN, ""
    if row.outcome is not None:
        state, detail = _WORK_STATES[row.outcome.kind], row.outcome.detail
    return WorkStatus(
        id=row.claim,
        queue=row.queue,
        state=state,
        attempts=row.attempt,
        detail=detail,
    )


_WORK_STATES = {
    OutcomeKind.DONE: WorkState.DONE,
    OutcomeKind.NOT_RUN: WorkState.NOT_RUN,
    OutcomeKind.UNKNOWN: WorkState.UNKNOWN,
}


def _json_response(status: WorkStatus, code: int = 200) -> Response:
    return Response(msgspec.json.encode(status), code, media_type="application/json")
