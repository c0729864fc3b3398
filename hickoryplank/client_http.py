"""HTTP requests to the entries of a fleet, with failover between them."""

import ssl
import uuid
from functools import lru_cache
from typing import TypeVar

import httpx
import msgspec
from result import Err, Ok, Result

from hickoryplank.operator_api import PREFIX, Problem, ProblemOutcome

__all__ = [
    "ClientError",
    "Refused",
    "Session",
    "Unreachable",
    "get",
    "post",
    "tls_context",
]

T = TypeVar("T")

_REQUEST_TIMEOUT_SECONDS = 10.0
_SAFE_REQUEST_TIMEOUT_SECONDS = 3.0
_CONNECT_TIMEOUT_SECONDS = 2.0
_FIRST_SERVER_ERROR = 500
_NOT_SENT_ERRORS = (
    httpx.ConnectError,
    httpx.ConnectTimeout,
    httpx.InvalidURL,
    httpx.UnsupportedProtocol,
)
_UNKNOWN = ProblemOutcome.UNKNOWN


class Refused(msgspec.Struct, frozen=True):
    """An entry responded with an error; ``problem`` states the outcome."""

    problem: Problem


class Unreachable(msgspec.Struct, frozen=True):
    """No entry responded.

    :param detail: the entry and the transport error.
    :param outcome: ``UNKNOWN`` if the request may nevertheless have taken effect.
    """

    detail: str
    outcome: ProblemOutcome


ClientError = Refused | Unreachable


class Session(msgspec.Struct):
    """Addresses of the entries, and the operator's credentials.

    :param entries: base URLs in order of preference; an entry that fails is moved
        to the end.
    :param token: the operator's bearer token.
    :param ca_file: PEM file of the CA certificates that entries are verified
        against; the system's if not given.
    :param timeout_seconds: time allowed for one request to one entry.
    :param transport: replaces the network in tests.
    """

    entries: tuple[str, ...]
    token: str
    ca_file: str | None = None
    timeout_seconds: float = _REQUEST_TIMEOUT_SECONDS
    transport: httpx.BaseTransport | None = None

    def __repr__(self) -> str:
        return f"Session(entries={self.entries!r})"

    def move_to_end(self, entry: str) -> None:
        """Move ``entry`` to the end of the failover order."""
        others = tuple(other for other in self.entries if other != entry)
        self.entries = (*others, entry)


@lru_cache(maxsize=8)
def tls_context(ca_file: str | None) -> ssl.SSLContext:
    """Return the TLS context that verifies entries.

    :param ca_file: PEM file of CA certificates; the system's if ``None``.
    :raises OSError: if the file cannot be read or contains no certificate.
    """
    return ssl.create_default_context(cafile=ca_file)


def get(session: Session, path: str, cls: type[T]) -> Result[T, ClientError]:
    """Send a GET for ``path`` under the API prefix and return the response."""
    return _request_with_failover(session, _Call("GET", path, b"", safe=True), cls)


def post(
    session: Session,
    path: str,
    body: msgspec.Struct,
    cls: type[T],
    safe: bool = False,
) -> Result[T, ClientError]:
    """POST ``body`` to ``path`` under the API prefix and return the response.

    :param safe: whether the request is free of side effects.
    """
    data = msgspec.json.encode(body)
    return _request_with_failover(session, _Call("POST", path, data, safe), cls)


class _Call(msgspec.Struct, frozen=True):
    method: str
    path: str
    body: bytes
    safe: bool


def _request_with_failover(
    session: Session, call: _Call, cls: type[T]
) -> Result[T, ClientError]:
    """Send a request to one entry after another until one gives a final response.

    All attempts carry the same idempotency key, so that the request takes effect at
    most once. A refusal by a later entry does not show that an earlier attempt whose
    response was lost had no effect.
    """
    headers = {
        "Authorization": f"Bearer {session.token}",
        "Content-Type": "application/json",
        "Idempotency-Key": uuid.uuid4().hex,
    }
    failures: list[ClientError] = []
    with _open_client(session, call) as http:
        for entry in session.entries:
            match _send(http, entry, call, headers, cls):
                case Ok(answer):
                    return Ok(answer)
                case Err(Refused(problem) as error) if _is_final(problem):
                    failures.append(error)
                    break
                case Err(error):
                    failures.append(error)
                    session.move_to_end(entry)
    return Err(_failure_to_report(failures))


def _is_final(problem: Problem) -> bool:
    """Return whether every other entry would refuse the request as well."""
    return problem.status < _FIRST_SERVER_ERROR


def _send(
    http: httpx.Client, entry: str, call: _Call, headers: dict[str, str], cls: type[T]
) -> Result[T, ClientError]:
    url = f"{entry.rstrip('/')}{PREFIX}/{call.path}"
    try:
        res = http.request(call.method, url, content=call.body, headers=headers)
    except (httpx.TransportError, httpx.InvalidURL) as exc:
        has_no_effect = call.safe or isinstance(exc, _NOT_SENT_ERRORS)
        outcome = ProblemOutcome.NOT_RUN if has_no_effect else _UNKNOWN
        return Err(Unreachable(f"{entry}: {exc or type(exc).__name__}", outcome))
    return _decode(entry, res, cls)


def _open_client(session: Session, call: _Call) -> httpx.Client:
    timeout_limit = session.timeout_seconds
    response_timeout = (
        min(timeout_limit, _SAFE_REQUEST_TIMEOUT_SECONDS)
        if call.safe
        else timeout_limit
    )
    connect = min(timeout_limit, _CONNECT_TIMEOUT_SECONDS)
    return httpx.Client(
        verify=tls_context(session.ca_file),
        timeout=httpx.Timeout(response_timeout, connect=connect),
        transport=session.transport,
        trust_env=False,
    )


def _failure_to_report(failures: list[ClientError]) -> ClientError:
    """Return the failure to report.

    A failure with an unknown outcome takes precedence, then a refusal.
    """
    if not failures:
        return Unreachable("no entry is configured", ProblemOutcome.NOT_RUN)
    unknown = [failure for failure in failures if _outcome(failure) is _UNKNOWN]
    refused = [failure for failure in failures if isinstance(failure, Refused)]
    return (unknown or refused or failures)[0]


def _outcome(failure: ClientError) -> ProblemOutcome:
    match failure:
        case Refused(problem):
            return problem.outcome
        case Unreachable(_, outcome):
            return outcome


def _decode(entry: str, res: httpx.Response, cls: type[T]) -> Result[T, ClientError]:
    try:
        if res.is_success:
            return Ok(msgspec.json.decode(res.content, type=cls))
        return Err(Refused(msgspec.json.decode(res.content, type=Problem)))
    except msgspec.DecodeError:
        detail = f"{entry} responded with {res.status_code} and no operator API message"
        outcome = ProblemOutcome.NOT_RUN if res.is_client_error else _UNKNOWN
        problem = Problem(
            title="Not an operator API response",
            status=res.status_code,
            detail=detail,
            outcome=outcome,
        )
        return Err(Refused(problem))
