"""In-memory fake of ``ReplicatedState``, with the operator API on top of it."""

import hashlib

import anyio
import httpx
from result import Err, Result
from starlette.applications import Starlette

from hickoryplank.client import Session
from hickoryplank.core.errors import Refusal
from hickoryplank.core.fold import fold_batch
from hickoryplank.core.ids import NodeId, Revision
from hickoryplank.core.records import Record
from hickoryplank.core.tables import Tables
from hickoryplank.external.errors import LogError, LogFailure
from hickoryplank.shell.operator_history import OperatorHistory
from hickoryplank.shell.operator_http import OperatorSecurity
from hickoryplank.shell.operator_routes import operator_routes
from hickoryplank.shell.replicated_state import ReplicatedState

TOKEN = "olga-token"
ENTRY = "http://192.0.2.7:8080"
MAX_BODY_BYTES = 65_536


class FakeReplicatedState(ReplicatedState):
    """Folds records locally instead of appending them to the log.

    :param tables: initial state; counts as one record, at offset 0.
    :ivar failure: error of the next call of ``submit``.
    :ivar lose_answer: whether an append that fails takes effect nevertheless.
    :ivar confirmed: next offset that each of the other nodes will fold.
    """

    def __init__(self, tables: Tables) -> None:
        self._tables = tables
        self._tables.next_offset += 1
        self.history = OperatorHistory()
        self.failure: LogError | None = None
        self.lose_answer = False
        self.confirmed: dict[NodeId, int] = {}

    @property
    def tables(self) -> Tables:
        return self._tables

    @property
    def offset(self) -> int:
        return self._tables.next_offset

    async def submit(self, record: Record) -> Result[Revision, Refusal | LogFailure]:
        failure, self.failure = self.failure, None
        if failure and not self.lose_answer:
            return Err(LogFailure(failure))
        offset = self.offset
        (fold_result,) = fold_batch(self._tables, offset, (record,))
        self.history.note(record, fold_result, offset, at=0.0)
        return Err(LogFailure(failure)) if failure else fold_result

    def lagging_nodes(self, offset: int) -> tuple[NodeId, ...]:
        known = {NodeId("entry-1"): self.offset, **self.confirmed}
        return tuple(node for node, folds in known.items() if folds < offset)


def operator_app(replicated_state: FakeReplicatedState) -> Starlette:
    """Return the operator API of ``replicated_state`` for the operator ``olga``."""
    tokens = {"olga": TOKEN, "empty": ""}
    digests = {
        name: hashlib.sha256(token.encode()).hexdigest()
        for name, token in tokens.items()
    }
    security = OperatorSecurity(digests, MAX_BODY_BYTES)
    routes = operator_routes(
        replicated_state, replicated_state.history, security, now=lambda: 0.0
    )
    return Starlette(routes=routes)


class AppTransport(httpx.BaseTransport):
    """Transport that calls applications in memory.

    :param apps: application by host; connections to other hosts fail.
    """

    def __init__(self, apps: dict[str, Starlette]) -> None:
        self._apps = apps

    def handle_request(self, request: httpx.Request) -> httpx.Response:
        """Pass one request to the application of its host."""
        app = self._apps.get(request.url.host)
        if app is None:
            raise httpx.ConnectError("down", request=request)
        return anyio.run(_call, app, request)


async def _call(app: Starlette, request: httpx.Request) -> httpx.Response:
    transport = httpx.ASGITransport(app)
    async with httpx.AsyncClient(transport=transport) as http:
        content = request.read()
        res = await http.request(
            request.method, request.url, content=content, headers=request.headers
        )
    return httpx.Response(res.status_code, headers=res.headers, content=res.content)


def session_on(
    replicated_state: FakeReplicatedState, entries: tuple[str, ...] = (ENTRY,)
) -> Session:
    """Return a client session with the operator API of ``replicated_state``."""
    transport = AppTransport({"192.0.2.7": operator_app(replicated_state)})
    return Session(entries, TOKEN, transport=transport)
