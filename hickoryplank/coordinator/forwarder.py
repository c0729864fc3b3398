"""Forwards callers' calls to the coordinator, in this process or on a peer."""

import logging

import anyio
import msgspec
from result import Err, Ok

from hickoryplank.coordinator.calls import (
    Answer,
    Call,
    Cancel,
    NotRun,
    NotRunReason,
    Submit,
    Unsettled,
    decode_answer,
    encode,
    is_refusal,
)
from hickoryplank.coordinator.coordinator import Coordinator
from hickoryplank.coordinator.lease import LeaseManager
from hickoryplank.coordinator.ports import CallFault, CallFaultKind
from hickoryplank.http_client import HttpClient, HttpResponse
from hickoryplank.shell.clock import Clock

__all__ = ["CALL_PATH", "CallForwarder"]

logger = logging.getLogger(__name__)

#: Path at which entries accept calls that their peers forward.
CALL_PATH = "/call"
#: Longest wait for the answer of a coordinator, in seconds. It covers several appends,
#: and is less than half of the time that callers wait, so that another coordinator can
#: be tried.
PEER_TIMEOUT_SECONDS = 1.2
#: Shortest timeout of a forwarded call, in seconds.
MIN_TIMEOUT_SECONDS = 0.1
#: How long a call waits for a coordinator if no change of the lease holder is
#: expected, in seconds. A handover from an entry that is being stopped takes less.
ELECTION_WAIT_SECONDS = 0.14
#: How long a call waits while the holder of the lease changes, in seconds. It covers
#: the time until the lease may be taken over, and the restoring of the engine. A caller
#: that is told to retry does so after a second, and only a few times.
HANDOVER_WAIT_SECONDS = 1.1
#: Wait before a call is forwarded again, in seconds. A change of the coordinator ends
#: it early.
RETRY_SECONDS = 0.1
#: Retry-After of a call for which no coordinator was reached, in seconds. A takeover
#: takes about as long.
RETRY_AFTER_SECONDS = 1
#: Longest time for which a call is retried, in seconds.
MAX_CALL_SECONDS = 10.0
#: Fraction of a caller's time for which an entry retries its call while the store does
#: not answer. As much of the rest remains for each further call, at other entries.
CUT_OFF_FRACTION = 0.5
#: Part of the caller's timeout that is reserved for returning the answer, in seconds.
ANSWER_RESERVE_SECONDS = 0.3


class CallForwarder:
    """Forwards calls to the coordinator, and retries them within limits.

    :param lease: tells which entry is the coordinator.
    :param client: HTTP client for calls to peers.
    """

    def __init__(self, lease: LeaseManager, client: HttpClient, clock: Clock):
        self._lease = lease
        self._client = client
        self._clock = clock
        self._open_calls: set[anyio.CancelScope] = set()
        self._abandoning = False
        #: The coordinator in this process; none while this entry is not coordinator.
        self.local_coordinator: Coordinator | None = None

    async def answer(self, call: Call, within_s: float) -> Answer:
        """Forward a call and return its answer.

        A call that is abandoned is answered at once, see :meth:`abandon_calls`.

        :param within_s: timeout of the caller, in seconds.
        """
        if not self._abandoning:
            with anyio.CancelScope() as scope:
                self._open_calls.add(scope)
                try:
                    return await self._retry(call, within_s)
                finally:
                    self._open_calls.discard(scope)
        return _without_answer(call, "the entry is stopping", RETRY_AFTER_SECONDS)

    def abandon_calls(self) -> int:
        """Answer the open calls now, and each later one at once.

        An entry that ends closes its connections. Callers that wait for an answer would
        see them broken, with no time after which to call again.

        :return: the number of open calls.
        """
        self._abandoning = True
        for scope in self._open_calls:
            scope.cancel()
        return len(self._open_calls)

    async def _retry(self, call: Call, within_s: float) -> Answer:
        """Forward a call until it is answered, for as long as this helps its caller.

        A submission or cancellation is retried until the timeout of the caller; both
        are idempotent. One that may have reached a coordinator is not refused any more,
        as its first attempt may still take effect. Neither is one that has reached
        none: an earlier call with its id may have. A caller that is not refused calls
        again at once and only a few times, so that an outage of the store of some
        seconds would use up its calls if this entry did not go on trying. While the
        store does not answer, this entry may be cut off and others not, so that the
        caller keeps a part of its time for them. Other calls are refused soon, with a
        time after which to call again.
        """
        started_at = self._clock.now()
        deadline = started_at + min(within_s, MAX_CALL_SECONDS) - ANSWER_RESERVE_SECONDS
        unsettled: Answer | None = None
        while True:
            changed = self._lease.changed
            answer = await self._attempt(call, deadline - self._clock.now())
            if isinstance(answer, Unsettled):
                unsettled = answer
            elif not _is_no_coordinator(answer):
                return unsettled if unsettled and is_refusal(answer) else answer
            if isinstance(call, Submit | Cancel):
                until = self._settled_by(started_at, deadline)
            else:
                until = min(deadline, started_at + self._max_wait_s())
            wait_s = until - self._clock.now()
            if wait_s <= 0:
                return unsettled or _without_answer(
                    call, "no coordinator was reached", RETRY_AFTER_SECONDS
                )
            with anyio.move_on_after(min(wait_s, RETRY_SECONDS)):
                await changed.wait()

    def _settled_by(self, started_at: float, deadline: float) -> float:
        """Return until when a call that may not be refused is retried."""
        if self._lease.store_answers:
            return deadline
        return started_at + (deadline - started_at) * CUT_OFF_FRACTION

    def _max_wait_s(self) -> float:
        """Return for how long a call that may be refused waits for a coordinator."""
        return (
            HANDOVER_WAIT_SECONDS
            if self._lease.handover_expected()
            else ELECTION_WAIT_SECONDS
        )

    async def _attempt(self, call: Call, remaining_s: float) -> Answer:
        if remaining_s <= 0:
            # The caller may have been answered through another entry meanwhile.
            return NotRun(NotRunReason.NO_COORDINATOR)
        if self.local_coordinator is not None:
            return await self.answer_locally(call)
        address = self._lease.coordinator_address
        if address is None:
            return NotRun(NotRunReason.NO_COORDINATOR)
        return await self._forward(call, address, remaining_s)

    async def answer_locally(self, call: Call) -> Answer:
        """Return the answer of the coordinator in this process, if there is one."""
        if self.local_coordinator is None:
            return NotRun(NotRunReason.NO_COORDINATOR)
        return await self.local_coordinator.answer(call)

    async def _forward(self, call: Call, address: str, remaining_s: float) -> Answer:
        answer = await self._client.call(
            "POST",
            address,
            CALL_PATH,
            body=encode(call),
            timeout_s=max(MIN_TIMEOUT_SECONDS, min(PEER_TIMEOUT_SECONDS, remaining_s)),
        )
        match answer:
            case Ok(HttpResponse(200, body)):
                try:
                    return decode_answer(body)
                except msgspec.MsgspecError as exc:
                    return Unsettled(f"answer of the coordinator is malformed: {exc}")
            case Ok(response):
                return Unsettled(f"coordinator answered with status {response.status}")
            case Err(CallFault(CallFaultKind.NOT_DONE, _)):
                self._lease.mark_holder_unreachable()
                return NotRun(NotRunReason.NO_COORDINATOR)
            case Err(fault):
                logger.info(
                    "coordinator did not answer a forwarded call",
                    extra={"request": call.where.request, "detail": fault.detail},
                )
                return _without_answer(call, fault.detail)


def _without_answer(call: Call, detail: str, again_s: int = 0) -> Answer:
    """Return the answer to a call that no coordinator has answered.

    Only submissions and cancellations have an effect that may be unknown.

    :param again_s: after how long the caller should retry, in seconds.
    """
    if isinstance(call, Submit | Cancel):
        return Unsettled(detail, again_s)
    return NotRun(NotRunReason.NO_COORDINATOR)


def _is_no_coordinator(answer: Answer) -> bool:
    return isinstance(answer, NotRun) and answer.why is NotRunReason.NO_COORDINATOR
