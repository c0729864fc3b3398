"""Requests to the entries of a fleet: one after the other until one answers."""

import ssl
import uuid
from typing import TypeVar

import httpx
import msgspec
from result import Err, Ok, Result

from hickoryplank.operator_api import PREFIX, Problem, ProblemOutcome

__all__ = ["ClientError", "Refused", "Session", "Unreachable", "get", "post"]

T = TypeVar("T")

_TIMEOUT_SECONDS = 10.0
_SAFE_TIMEOUT_SECONDS = 3.0
_CONNECT_TIMEOUT_SECONDS = 2.0
_FIRST_SERVER_ERROR = 500
_NEVER_SENT = (
    httpx.ConnectError,
    httpx.ConnectTimeout,
    httpx.InvalidURL,
    httpx.UnsupportedProtocol,
)
_UNKNOWN = ProblemOutcome.UNKNOWN


class Refused(msgspec.Struct, frozen=True):
    """An entry answered that the request does not take effect, or may not."""

    problem: Problem


class Unreachable(msgspec.Struct, frozen=True):
    """No entry gave an answer.

    :param outcome: whether the request may have taken effect all the same.
    """

    detail: str
    outcome: ProblemOutcome


ClientError = Refused | Unreachable


class Session(msgspec.Struct):
    """Which entries to ask, and as whom.

    :param entries: base URLs; the next is tried when one is down, which then goes
        to the end.
    :param ca_file: certificates that vouch for the entries, in PEM.
    :param transport: replaces the network in tests.
    """

    entries: tuple[str, ...]
    token: str
    ca_file: str | None = None
    timeout_seconds: float = _TIMEOUT_SECONDS
    transport: httpx.BaseTransport | None = None

    def __repr__(self) -> str:
        return f"Session(entries={self.entries!r})"

    def put_last(self, entry: str) -> None:
        """Ask ``entry`` after the others from now on."""
        others = tuple(other for other in self.entries if other != entry)
        self.entries = (*others, entry)


def get(session: Session, path: str, cls: type[T]) -> Result[T, ClientError]:
    """Return the answer to a GET of ``path`` under the API's prefix."""
    return _request(session, _Call("GET", path, b"", safe=True), cls)


def post(
    session: Session,
    path: str,
    body: msgspec.Struct,
    cls: type[T],
    safe: bool = False,
) -> Result[T, ClientError]:
    """Return the answer to a POST of ``body`` to ``path``.

    :param safe: whether the request changes nothing.
    """
    data = msgspec.json.encode(body)
    return _request(session, _Call("POST", path, data, safe), cls)


class _Call(msgspec.Struct, frozen=True):
    method: str
    path: str
    body: bytes
    safe: bool


def _request(session: Session, call: _Call, cls: type[T]) -> Result[T, ClientError]:
    """Ask one entry after the other; a repeated request takes effect once.

    A refusal proves nothing about an earlier try whose answer was lost.
    """
    headers = {
        "Authorization": f"Bearer {session.token}",
        "Content-Type": "application/json",
        "Idempotency-Key": uuid.uuid4().hex,
    }
    failures: list[ClientError] = []
    with _open(session, call) as http:
        for entry in session.entries:
            match _ask(http, entry, call, headers, cls):
                case Ok(answer):
                    return Ok(answer)
                case Err(Refused(problem) as error) if _is_final(problem):
                    failures.append(error)
                    break
                case Err(error):
                    failures.append(error)
                    session.put_last(entry)
    return Err(_worst(failures))


def _is_final(problem: Problem) -> bool:
    """Return whether every entry would refuse alike."""
    return problem.status < _FIRST_SERVER_ERROR


def _ask(
    http: httpx.Client, entry: str, call: _Call, headers: dict[str, str], cls: type[T]
) -> Result[T, ClientError]:
    url = f"{entry.rstrip('/')}{PREFIX}/{call.path}"
    try:
        res = http.request(call.method, url, content=call.body, headers=headers)
    except (httpx.TransportError, httpx.InvalidURL) as exc:
        harmless = call.safe or isinstance(exc, _NEVER_SENT)
        outcome = ProblemOutcome.NOT_RUN if harmless else _UNKNOWN
        return Err(Unreachable(f"{entry}: {exc or type(exc).__name__}", outcome))
    return _decode(entry, res, cls)


def _open(session: Session, call: _Call) -> httpx.Client:
    longest = session.timeout_seconds
    answer = min(longest, _SAFE_TIMEOUT_SECONDS) if call.safe else longest
    connect = min(longest, _CONNECT_TIMEOUT_SECONDS)
    return httpx.Client(
        verify=ssl.create_default_context(cafile=session.ca_file),
        timeout=httpx.Timeout(answer, connect=connect),
        transport=session.transport,
        trust_env=False,
    )


def _worst(failures: list[ClientError]) -> ClientError:
    """Return the failure to report; one that may have taken effect goes first."""
    if not failures:
        return Unreachable("no entry is named", ProblemOutcome.NOT_RUN)
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
        detail = f"{entry} answered {res.status_code} without a message of this API"
        outcome = ProblemOutcome.NOT_RUN if res.is_client_error else _UNKNOWN
        problem = Problem(
            title="Not an entry", status=res.status_code, detail=detail, outcome=outcome
        )
        return Err(Refused(problem))
