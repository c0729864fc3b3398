"""The caller's entry node: hands requests to the owner of their pool."""

import logging
from dataclasses import dataclass, field

import anyio
import msgspec

from hickoryplank.core.ids import Incarnation, RequestId
from hickoryplank.core.messages import Accepted, Answered, Cancel, Forward
from hickoryplank.core.work import (
    Failed,
    NotRun,
    NotRunReason,
    Unknown,
    WorkAnswer,
    WorkRequest,
)
from hickoryplank.shell.clock import Clock
from hickoryplank.shell.members import Members
from hickoryplank.shell.peers import Peers
from hickoryplank.shell.replica import Replica
from hickoryplank.shell.service import Service, find_queue
from hickoryplank.shell.telemetry import Hop, Telemetry

__all__ = ["Edge"]

logger = logging.getLogger(__name__)

ACCEPT_SECONDS = 0.4
LIVENESS_BEAT_SECONDS = 0.2
ANSWER_GRACE_SECONDS = 0.75
FORWARDS = 2


@dataclass(eq=False)
class _Forwarded:
    """A request in the hands of its pool's owner."""

    owner: Incarnation
    sent: bool = False
    accepted: anyio.Event = field(default_factory=anyio.Event)
    answered: anyio.Event = field(default_factory=anyio.Event)
    answer: WorkAnswer | None = None


class Edge:
    """Finds the node that runs a request, and waits for its answer."""

    def __init__(
        self,
        replica: Replica,
        members: Members,
        peers: Peers,
        service: Service,
        clock: Clock,
        telemetry: Telemetry | None = None,
    ):
        self._telemetry = telemetry or Telemetry()
        self._replica = replica
        self._members = members
        self._peers = peers
        self._service = service
        self._clock = clock
        self._forwarded: dict[RequestId, _Forwarded] = {}
        self._hosted: dict[RequestId, anyio.CancelScope] = {}

    @property
    def hosted(self) -> int:
        """How many requests of other nodes are in hand here."""
        return len(self._hosted)

    async def handle(self, request: WorkRequest) -> WorkAnswer:
        """Return the answer to a caller's request.

        An owner that falls silent is given up, and the request goes to the next
        one: idempotent work may run again, claimed work finds its claim.
        """
        deadline = self._clock.now() + request.patience
        sent = False
        for _ in range(FORWARDS):
            queue = find_queue(self._replica.tables, request.queue)
            owner = self._members.owner_of(queue.pool) if queue else self._members.me
            if owner == self._members.me:
                break
            with self._telemetry.trace_hop(Hop.FORWARD, request) as traced:
                forwarded = await self._forward(owner, traced, deadline)
            if forwarded.answer is not None:
                return _truthful(forwarded.answer, request, sent)
            sent = sent or forwarded.sent
            request = self._renewed(request, deadline)
        return _truthful(await self._service.handle(request), request, sent)

    def _renewed(self, request: WorkRequest, deadline: float) -> WorkRequest:
        patience = max(0.0, deadline - self._clock.now())
        return msgspec.structs.replace(request, patience=patience)

    async def _forward(
        self, owner: Incarnation, request: WorkRequest, deadline: float
    ) -> _Forwarded:
        forwarded = _Forwarded(owner)
        self._forwarded[request.id] = forwarded
        try:
            forwarded.sent = self._peers.send(owner, Forward(request))
            if not forwarded.sent:
                return forwarded
            with anyio.move_on_after(ACCEPT_SECONDS):
                await forwarded.accepted.wait()
            if forwarded.accepted.is_set():
                await self._await_answer(forwarded, deadline)
            return forwarded
        finally:
            del self._forwarded[request.id]
            if forwarded.answer is None:
                self._peers.send(owner, Cancel(request.id))

    async def _await_answer(self, forwarded: _Forwarded, deadline: float) -> None:
        """Wait until the answer is there, the owner is not, or time is up."""
        while self._clock.now() < deadline + ANSWER_GRACE_SECONDS:
            with anyio.move_on_after(LIVENESS_BEAT_SECONDS):
                await forwarded.answered.wait()
                return
            if not self._members.is_alive(forwarded.owner):
                logger.warning("owner %d fell silent", forwarded.owner)
                return

    def note_accepted(self, sender: Incarnation, accepted: Accepted) -> None:
        """Note that the owner has a forwarded request."""
        forwarded = self._forwarded.get(accepted.request)
        if forwarded is not None and forwarded.owner == sender:
            forwarded.accepted.set()

    def note_answered(self, sender: Incarnation, answered: Answered) -> None:
        """Take the owner's answer to the request that it belongs to."""
        forwarded = self._forwarded.get(answered.request)
        if forwarded is not None and forwarded.owner == sender:
            forwarded.answer = answered.answer
            forwarded.accepted.set()
            forwarded.answered.set()

    async def host(self, sender: Incarnation, request: WorkRequest) -> None:
        """Run a request that another node forwarded, and send its answer."""
        if request.id in self._hosted:
            self._peers.send(sender, Accepted(request.id))
            return
        with anyio.CancelScope() as scope:
            self._hosted[request.id] = scope
            self._peers.send(sender, Accepted(request.id))
            try:
                with self._telemetry.trace_hop(Hop.HANDLE_FORWARDED, request) as traced:
                    answer = await self._service.handle(traced)
                self._peers.send(sender, Answered(request.id, answer))
            finally:
                del self._hosted[request.id]

    def note_cancelled(self, cancel: Cancel) -> None:
        """Stop a hosted request that nobody waits for."""
        scope = self._hosted.get(cancel.request)
        if scope is not None:
            scope.cancel()
        else:
            self._service.cancel(cancel.request)

    def cancel(self, holder: Incarnation, request: RequestId) -> None:
        """Withdraw accepted work, wherever it waits."""
        if holder == self._members.me:
            self._service.cancel(request)
        else:
            self._peers.send(holder, Cancel(request))


def _truthful(answer: WorkAnswer, request: WorkRequest, sent: bool) -> WorkAnswer:
    """Return an answer that does not deny what a silent owner may have run.

    :param sent: whether an owner that never answered was sent the request.
    """
    if not sent or not isinstance(answer, NotRun):
        return answer
    if answer.reason is NotRunReason.KEY_REUSED:
        return answer
    detail = f"an entry fell silent; then: {answer.reason.value}"
    return Unknown(detail=detail) if request.claim else Failed(detail=detail)
