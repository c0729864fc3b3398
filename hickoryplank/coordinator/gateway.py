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
    Submit,
    Unsettled,
    Why,
    decode_answer,
    encode,
)
from hickoryplank.coordinator.coordinator import Coordinator
from hickoryplank.coordinator.lease import LeaseKeeper
from hickoryplank.coordinator.ports import CallFault, Fault
from hickoryplank.http_client import HttpClient, Reply

__all__ = ["CALL_PATH", "Gateway"]

logger = logging.getLogger(__name__)

#: Path at which a coordinator takes calls from its peers.
CALL_PATH = "/call"
#: Longest wait for the coordinator's answer, in seconds: longer than it waits for the
#: store, shorter than callers wait.
PEER_SECONDS = 1.9
#: How long a call waits for a coordinator to be there, in seconds; a caller that is
#: told to come back loses more than this, and a hand-over on a stop is shorter.
ELECTION_SECONDS = 0.14


class Gateway:
    """The way to the coordinator."""

    def __init__(self, lease: LeaseKeeper, client: HttpClient):
        self._lease = lease
        self._client = client
        #: The term of this entry, while it has one.
        self.term: Coordinator | None = None

    async def answer(self, call: Call) -> Answer:
        """Answer a call, waiting briefly where no coordinator is known."""
        with anyio.move_on_after(ELECTION_SECONDS):
            while True:
                changed = self._lease.changed
                answer = await self._try(call)
                if not _no_coordinator(answer):
                    return answer
                await changed.wait()
        return NotRun(Why.NO_COORDINATOR)

    async def _try(self, call: Call) -> Answer:
        with anyio.CancelScope(shield=True):
            if self.term is not None:
                return await self.term.answer(call)
            address = self._lease.coordinator
            if address is None:
                return NotRun(Why.NO_COORDINATOR)
            return await self._pass(call, address)

    async def _pass(self, call: Call, address: str) -> Answer:
        answer = await self._client.call(
            "POST", address, CALL_PATH, body=encode(call), timeout_s=PEER_SECONDS
        )
        match answer:
            case Ok(Reply(200, body)):
                try:
                    return decode_answer(body)
                except msgspec.MsgspecError as exc:
                    return Unsettled(f"answer can't be read: {exc}")
            case Ok(reply):
                return Unsettled(f"status {reply.status}")
            case Err(CallFault(Fault.NOT_DONE, _)):
                self._lease.suspect()
                return NotRun(Why.NO_COORDINATOR)
            case Err(fault):
                logger.info(
                    "coordinator did not answer",
                    extra={"request": call.where.request, "detail": fault.detail},
                )
                return _lost(call, fault.detail)


def _lost(call: Call, detail: str) -> Answer:
    if isinstance(call, Submit | Cancel):
        return Unsettled(detail)
    return NotRun(Why.NO_COORDINATOR)


def _no_coordinator(answer: Answer) -> bool:
    return isinstance(answer, NotRun) and answer.why is Why.NO_COORDINATOR
