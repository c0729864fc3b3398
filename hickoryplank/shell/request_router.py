"""Routes callers' requests to the owners of their pools."""

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
from hickoryplank.shell.membership import Membership
from hickoryplank.shell.peer_transport import PeerTransport
from hickoryplank.shell.replica import Replica
from hickoryplank.shell.request_executor import RequestExecutor, find_queue
from hickoryplank.shell.telemetry import Hop, Telemetry

__all__ = ["RequestRouter"]

logger = logging.getLogger(__name__)

ACCEPT_TIMEOUT_SECONDS = 0.4
LIVENESS_CHECK_SECONDS = 0.2
ANSWER_GRACE_SECONDS = 0.75
MAX_FORWARDS = 2


@dataclass(eq=False)
class _ForwardedRequest:
    """A request that was forwarded to the owner of its pool.

    :param sent: whether the message was accepted for sending.
    """

    owner: Incarnation
    sent: bool = False
    accepted: anyio.Event = field(default_factory=anyio.Event)
    answered: anyio.Event = field(default_factory=anyio.Event)
    answer: WorkAnswer | None = None


class RequestRouter:
    """Routes requests to the nodes that run them and awaits their answers."""

    def __init__(
        self,
        replica: Replica,
        membership: Membership,
        transport: PeerTransport,
        executor: RequestExecutor,
        clock: Clock,
        telemetry: Telemetry | None = None,
    ):
        self._telemetry = telemetry or Telemetry()
        self._replica = replica
        self._membership = membership
        self._transport = transport
        self._executor = executor
        self._clock = clock
        self._forwarded: dict[RequestId, _ForwardedRequest] = {}
        self._peer_requests: dict[RequestId, anyio.CancelScope] = {}

    @property
    def peer_requests(self) -> int:
        """The number of requests of other nodes that are running on this node."""
        return len(self._peer_requests)

    async def handle(self, request: WorkRequest) -> WorkAnswer:
        """Return the answer to a caller's request.

        If the owner stops responding, the request is forwarded to the next one.
        Idempotent work may then run again; claimed work is recognized by its claim.
        """
        deadline = self._clock.now() + request.patience
        sent = False
        for _ in range(MAX_FORWARDS):
            queue = find_queue(self._replica.tables, request.queue)
            owner = (
                self._membership.owner_of(queue.pool)
                if queue
                else self._membership.own_incarnation
            )
            if owner == self._membership.own_incarnation:
                break
            with self._telemetry.trace_hop(Hop.FORWARD, request) as traced:
                forwarded = await self._forward(owner, traced, deadline)
            if forwarded.answer is not None:
                return _qualify_not_run(forwarded.answer, request, sent)
            sent = sent or forwarded.sent
            request = self._with_remaining_patience(request, deadline)
        return _qualify_not_run(await self._executor.handle(request), request, sent)

    def _with_remaining_patience(
        self, request: WorkRequest, deadline: float
    ) -> WorkRequest:
        patience = max(0.0, deadline - self._clock.now())
        return msgspec.structs.replace(request, patience=patience)

    async def _forward(
        self, owner: Incarnation, request: WorkRequest, deadline: float
    ) -> _ForwardedRequest:
        forwarded = _ForwardedRequest(owner)
        self._forwarded[request.id] = forwarded
        try:
            forwarded.sent = self._transport.send(owner, Forward(request))
            if not forwarded.sent:
                return forwarded
            with anyio.move_on_after(ACCEPT_TIMEOUT_SECONDS):
                await forwarded.accepted.wait()
            if forwarded.accepted.is_set():
                await self._await_answer(forwarded, deadline)
            return forwarded
        finally:
            del self._forwarded[request.id]
            if forwarded.answer is None:
                self._transport.send(owner, Cancel(request.id))

    async def _await_answer(
        self, forwarded: _ForwardedRequest, deadline: float
    ) -> None:
        """Wait for the answer until the deadline, or until the owner has failed."""
        while self._clock.now() < deadline + ANSWER_GRACE_SECONDS:
            with anyio.move_on_after(LIVENESS_CHECK_SECONDS):
                await forwarded.answered.wait()
                return
            if not self._membership.is_alive(forwarded.owner):
                logger.warning(
                    "owner %d stopped responding before it answered a request",
                    forwarded.owner,
                )
                return

    def note_accepted(self, sender: Incarnation, accepted: Accepted) -> None:
        """Record that the owner has accepted a forwarded request."""
        forwarded = self._forwarded.get(accepted.request)
        if forwarded is not None and forwarded.owner == sender:
            forwarded.accepted.set()

    def note_answered(self, sender: Incarnation, answered: Answered) -> None:
        """Record the owner's answer to a forwarded request."""
        forwarded = self._forwarded.get(answered.request)
        if forwarded is not None and forwarded.owner == sender:
            forwarded.answer = answered.answer
            forwarded.accepted.set()
            forwarded.answered.set()

    async def handle_forwarded(self, sender: Incarnation, request: WorkRequest) -> None:
        """Run a request that another node forwarded, and send the answer back."""
        if request.id in self._peer_requests:
            self._transport.send(sender, Accepted(request.id))
            return
        with anyio.CancelScope() as scope:
            self._peer_requests[request.id] = scope
            self._transport.send(sender, Accepted(request.id))
            try:
                with self._telemetry.trace_hop(Hop.HANDLE_FORWARDED, request) as traced:
                    answer = await self._executor.handle(traced)
                self._transport.send(sender, Answered(request.id, answer))
            finally:
                del self._peer_requests[request.id]

    def note_cancelled(self, cancel: Cancel) -> None:
        """Cancel a forwarded request that nobody waits for any more."""
        scope = self._peer_requests.get(cancel.request)
        if scope is not None:
            scope.cancel()
        else:
            self._executor.cancel(cancel.request)

    def cancel(self, holder: Incarnation, request: RequestId) -> None:
        """Cancel accepted work on the node that holds its claim."""
        if holder == self._membership.own_incarnation:
            self._executor.cancel(request)
        else:
            self._transport.send(holder, Cancel(request))


def _qualify_not_run(
    answer: WorkAnswer, request: WorkRequest, sent: bool
) -> WorkAnswer:
    """Replace ``not_run`` if an owner that failed may have run the request.

    :param sent: whether the request was sent to an owner that never answered.
    """
    if not sent or not isinstance(answer, NotRun):
        return answer
    if answer.reason is NotRunReason.KEY_REUSED:
        return answer
    detail = f"an owner stopped responding; then: {answer.reason.value}"
    return Unknown(detail=detail) if request.claim else Failed(detail=detail)
