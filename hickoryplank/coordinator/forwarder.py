"""Passes callers' calls to the coordinator, in this process or a peer's."""

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
)
from hickoryplank.coordinator.coordinator import Coordinator
from hickoryplank.coordinator.lease import LeaseManager
from hickoryplank.coordinator.ports import CallFault, CallFaultKind
from hickoryplank.http_client import HttpClient, HttpResponse
from hickoryplank.shell.clock import Clock

__all__ = ["CALL_PATH", "CallForwarder"]

logger = logging.getLogger(__name__)

#: Path at which a coordinator takes calls from its peers.
CALL_PATH = "/call"
#: Longest wait for the coordinator's answer, in seconds: several appends, and less
#: than half of the time that callers wait, so that another coordinator can be asked.
PEER_SECONDS = 1.2
#: Least time for the coordinator's answer, in seconds.
LEAST_SECONDS = 0.1
#: How long a call waits for a coordinator of which nothing shows that it will come,
#: in seconds: a hand-over on a stop is shorter.
ELECTION_SECONDS = 0.14
#: How long a call waits while the lease changes hands, in seconds: the wait until it
#: may be taken, and a restoring. A caller that is told to come back waits a second,
#: and has few tries.
HANDOVER_SECONDS = 1.1
#: Wait before a lost call is handed in again, in seconds, unless the coordinator
#: changes earlier.
AGAIN_SECONDS = 0.1
#: Longest time for which a call is kept open, in seconds.
LONGEST_SECONDS = 10.0
#: Part of the caller's wait that is left for the answer's way back, in seconds.
ANSWER_SECONDS = 0.3


class CallForwarder:
    """The way to the coordinator."""

    def __init__(self, lease: LeaseManager, client: HttpClient, clock: Clock):
        self._lease = lease
        self._client = client
        self._clock = clock
        #: The term of this entry, while it has one.
        self.local_coordinator: Coordinator | None = None

    async def answer(self, call: Call, within_s: float) -> Answer:
        """Answer a call.

        A job or a cancellation that may have reached a coordinator is handed to the
        next one as long as the caller waits; both are idempotent.

        :param within_s: how long the caller waits, in seconds.
        """
        begun = self._clock.now()
        limit = begun + min(within_s, LONGEST_SECONDS) - ANSWER_SECONDS
        lost: Answer | None = None
        while True:
            changed = self._lease.changed
            answer = await self._try(call, limit - self._clock.now())
            if isinstance(answer, Unsettled):
                lost = answer
            elif not _no_coordinator(answer):
                return answer
            until = limit if lost is not None else min(limit, begun + self._patience())
            left = until - self._clock.now()
            if left <= 0:
                return lost or answer
            with anyio.move_on_after(min(left, AGAIN_SECONDS)):
                await changed.wait()

    def _patience(self) -> float:
        return HANDOVER_SECONDS if self._lease.settling() else ELECTION_SECONDS

    async def _try(self, call: Call, left_s: float) -> Answer:
        if self.local_coordinator is not None:
            return await self.local_coordinator.answer(call)
        address = self._lease.coordinator
        if address is None:
            return NotRun(NotRunReason.NO_COORDINATOR)
        return await self._pass(call, address, left_s)

    async def _pass(self, call: Call, address: str, left_s: float) -> Answer:
        answer = await self._client.call(
            "POST",
            address,
            CALL_PATH,
            body=encode(call),
            timeout_s=max(LEAST_SECONDS, min(PEER_SECONDS, left_s)),
        )
        match answer:
            case Ok(HttpResponse(200, body)):
                try:
                    return decode_answer(body)
                except msgspec.MsgspecError as exc:
                    return Unsettled(f"answer can't be read: {exc}")
            case Ok(reply):
                return Unsettled(f"status {reply.status}")
            case Err(CallFault(CallFaultKind.NOT_DONE, _)):
                self._lease.suspect()
                return NotRun(NotRunReason.NO_COORDINATOR)
            case Err(fault):
                logger.info(
                    "coordinator did not answer",
                    extra={"request": call.where.request, "detail": fault.detail},
                )
                return _lost(call, fault.detail)


def _lost(call: Call, detail: str) -> Answer:
    if isinstance(call, Submit | Cancel):
        return Unsettled(detail)
    return NotRun(NotRunReason.NO_COORDINATOR)


def _no_coordinator(answer: Answer) -> bool:
    return isinstance(answer, NotRun) and answer.why is NotRunReason.NO_COORDINATOR
