"""HTTP layer of the operator API: authentication, bodies, replies and problems."""

import hashlib
import hmac
import uuid
from collections.abc import Awaitable, Callable, Mapping
from typing import Any, TypeVar

import msgspec
from result import Err, Ok, Result
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from hickoryplank.core.ids import OperatorId, RecordId
from hickoryplank.operator_api import Problem
from hickoryplank.shell.operator_history import operator_record_id

__all__ = [
    "Handler",
    "OperatorRequest",
    "OperatorSecurity",
    "Reply",
    "decode_body",
    "operator_route",
]

T = TypeVar("T")
Reply = Result[msgspec.Struct, Problem]

_MAX_KEY_CHARACTERS = 200
_PROBLEM_HEADERS = {
    401: {"WWW-Authenticate": "Bearer"},
    503: {"Retry-After": "1"},
}


class OperatorSecurity(msgspec.Struct, frozen=True):
    """Credentials of operators, and the limit on their requests' bodies.

    :param operators: SHA-256 of each operator's token, in hexadecimal.
    :param body_bytes: the largest accepted request body, in bytes.
    """

    operators: Mapping[OperatorId, str]
    body_bytes: int

    def operator_of(self, token: str) -> OperatorId | None:
        """Return the operator that ``token`` belongs to, or ``None``.

        Every digest is compared, each in constant time. An empty token is invalid.
        """
        digest = hashlib.sha256(token.encode()).hexdigest()
        found = None
        for operator, expected in self.operators.items():
            if hmac.compare_digest(digest, expected):
                found = operator
        return found if token else None


class OperatorRequest(msgspec.Struct, frozen=True):
    """An authenticated request of an operator.

    :param record_id: id of the record that the request may submit; the same for
        identical requests with the same ``Idempotency-Key``.
    """

    operator: OperatorId
    record_id: RecordId
    path: Mapping[str, str]
    query: Mapping[str, str]
    body: bytes


Handler = Callable[[OperatorRequest], Awaitable[Reply]]


def operator_route(
    path: str, method: str, handler: Handler, security: OperatorSecurity
) -> Route:
    """Return a route that authenticates, reads the body and encodes the reply."""

    async def endpoint(req: Request) -> Response:
        match await _read_request(req, security):
            case Err(problem):
                return _problem_response(problem)
            case Ok(operator_req):
                return _response(await handler(operator_req))

    return Route(path, endpoint, methods=[method])


async def _read_request(
    req: Request, security: OperatorSecurity
) -> Result[OperatorRequest, Problem]:
    scheme, _, token = req.headers.get("authorization", "").partition(" ")
    operator = security.operator_of(token.strip())
    if scheme.lower() != "bearer" or operator is None:
        detail = "send an operator's token as 'Authorization: Bearer TOKEN'"
        return Err(Problem(title="Not an operator", status=401, detail=detail))
    key = req.headers.get("idempotency-key", "")
    if len(key) > _MAX_KEY_CHARACTERS:
        detail = f"Idempotency-Key may have at most {_MAX_KEY_CHARACTERS} characters"
        return Err(Problem(title="Bad header", status=400, detail=detail))
    body = await _read_body(req, security.body_bytes)
    return body.map(
        lambda data: OperatorRequest(
            operator=operator,
            record_id=_record_id(operator, key, req.url.path, data),
            path=req.path_params,
            query=dict(req.query_params),
            body=data,
        )
    )


async def _read_body(req: Request, limit: int) -> Result[bytes, Problem]:
    body = bytearray()
    async for chunk in req.stream():
        body += chunk
        if len(body) > limit:
            detail = f"the body may have at most {limit} bytes"
            return Err(Problem(title="Body too large", status=413, detail=detail))
    return Ok(bytes(body))


def _record_id(operator: OperatorId, key: str, path: str, body: bytes) -> RecordId:
    if not key:
        return operator_record_id(operator, uuid.uuid4().hex)
    digest = hashlib.sha256("\x00".join((operator, key, path)).encode())
    digest.update(body)
    return operator_record_id(operator, digest.hexdigest()[:32])


def decode_body(body: bytes, cls: type[T]) -> Result[T, Problem]:
    """Decode ``body``, or return a problem that locates the fault."""
    try:
        message = msgspec.json.decode(body or b"{}", type=cls)
        unknown = _unknown_field(msgspec.json.decode(body or b"{}"), message)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as exc:
        return Err(_bad_body(str(exc)))
    if unknown:
        return Err(_bad_body(f"unknown field {unknown}"))
    return Ok(message)


def _bad_body(detail: str) -> Problem:
    return Problem(title="Malformed request body", status=400, detail=detail)


def _unknown_field(raw: Any, message: Any) -> str:
    """Return the path of a field that decoding ignored, or an empty string."""
    return _find_unknown(raw, msgspec.to_builtins(message), "$")


def _find_unknown(raw: Any, known: Any, path: str) -> str:
    match raw, known:
        case dict(), dict():
            for key, value in raw.items():
                found = f"{path}.{key}"
                if key in known:
                    found = _find_unknown(value, known[key], f"{path}.{key}")
                if found:
                    return found
        case list(), list() | tuple():
            for index, (value, decoded) in enumerate(zip(raw, known, strict=False)):
                found = _find_unknown(value, decoded, f"{path}[{index}]")
                if found:
                    return found
    return ""


def _response(reply: Reply) -> Response:
    match reply:
        case Ok(message):
            data = msgspec.json.encode(message)
            return Response(data, media_type="application/json")
        case Err(problem):
            return _problem_response(problem)


def _problem_response(problem: Problem) -> Response:
    headers = _PROBLEM_HEADERS.get(problem.status, {})
    return Response(
        msgspec.json.encode(problem),
        status_code=problem.status,
        media_type="application/problem+json",
        headers=headers,
    )
