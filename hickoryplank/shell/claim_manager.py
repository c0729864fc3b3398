"""Claims, which make a request run at most once whichever node handles it."""

import logging
from collections import Counter

import anyio
import msgspec
from anyio.abc import TaskGroup
from result import Err, Ok, Result

from hickoryplank.core.errors import FaultCode, Refusal
from hickoryplank.core.fold import FoldResult
from hickoryplank.core.ids import ClaimId
from hickoryplank.core.records import (
    Claim,
    Outcome,
    OutcomeKind,
    Record,
)
from hickoryplank.core.tables import ClaimRow
from hickoryplank.core.work import (
    NotRun,
    NotRunReason,
    Queued,
    Unknown,
    WorkAnswer,
    WorkRequest,
)
from hickoryplank.external.errors import (
    LogFailure,
)
from hickoryplank.external.worker import Answer
from hickoryplank.shell.claim_ids import answer_of, digest_of
from hickoryplank.shell.clock import Clock
from hickoryplank.shell.replica import Replica, new_record_id

__all__ = ["CLAIM_LIFETIME_SECONDS", "ClaimManager"]

logger = logging.getLogger(__name__)

CLAIM_LIFETIME_SECONDS = 24 * 3600.0
LOG_RETRY_DELAY_SECONDS = 0.1


class ClaimManager:
    """Manages the claims of this node and awaits the outcomes of other claims."""

    def __init__(self, replica: Replica, group: TaskGroup, clock: Clock):
        self._replica = replica
        self._group = group
        self._clock = clock
        self._open: set[ClaimId] = set()
        self._active: set[ClaimId] = set()
        self._claiming: Counter[ClaimId] = Counter()
        self._settled: dict[ClaimId, anyio.Event] = {}
        self._unsaved = 0
        replica.subscribe(self._note_record)
        replica.subscribe_adoption(self.rebuild)
        self.rebuild()

    @property
    def unsaved(self) -> int:
        """The number of outcomes that are not in the log yet."""
        return self._unsaved

    def rebuild(self) -> None:
        """Recompute the open claims after the tables have been replaced."""
        claims = self._replica.tables.claims
        self._open = {claim for claim, row in claims.items() if row.outcome is None}
        for claim in list(self._settled):
            if claim not in self._open and claim in claims:
                self._settled.pop(claim).set()

    def orphans(self) -> list[ClaimRow]:
        """Return the open claims that no live process works on."""
        tables = self._replica.tables
        rows = [tables.claims[claim] for claim in self._idle()]
        me = self._replica.incarnation
        return [
            row for row in rows if row.holder == me or not tables.is_live(row.holder)
        ]

    def _idle(self) -> set[ClaimId]:
        return self._open - self._active - self._claiming.keys()

    def _note_record(self, record: Record, verdict: FoldResult) -> None:
        if verdict.is_err():
            return
        match record:
            case Claim(claim=claim):
                self._open.add(claim)
            case Outcome(claim=claim):
                self._open.discard(claim)
                event = self._settled.pop(claim, None)
                if event is not None:
                    event.set()

    async def acquire(
        self, request: WorkRequest, expires: float, durable: bool, deadline: float
    ) -> Result[None, WorkAnswer]:
        """Claim a request, or wait for its outcome if it is claimed already.

        :param expires: when the claim may be deleted, in seconds since the epoch.
        :param durable: whether the request runs even if its caller is gone.
        :param deadline: when the caller stops waiting, on this node's clock in
            seconds.
        :return: ``Ok`` if this node is to run the request, otherwise the answer.
        """
        record = Claim(
            id=new_record_id(),
            claim=request.claim,
            team=request.team,
            queue=request.queue,
            holder=self._replica.incarnation,
            request=digest_of(request),
            expires=expires,
            durable=durable,
            content_type=request.content_type,
            body=request.body,
        )
        while True:
            known = await self._wait_for_other(record, deadline)
            if known is not None:
                return Err(known)
            claimed = await self._try_claim(record, deadline)
            if claimed is None or claimed.is_err():
                return claimed or Err(self._not_logged(record))
            if claimed.unwrap():
                return Ok(None)
            record = _renamed(record)

    def _not_logged(self, record: Claim) -> NotRun | Unknown:
        """Return the answer for a claim that was not confirmed by the deadline.

        Durable work runs if its claim is logged later; other work does not run.
        """
        detail = "the claim could not be logged before the deadline"
        if record.durable and self._replica.may_take_effect(record.id):
            return Unknown(detail=detail)
        return NotRun(reason=NotRunReason.LOG_DOWN, detail=detail)

    async def _try_claim(
        self, record: Claim, deadline: float
    ) -> Result[bool, WorkAnswer] | None:
        """Return whether the claim was acquired, or ``None`` at the deadline."""
        claimed = None
        self._claiming[record.claim] += 1
        try:
            with anyio.move_on_after(deadline - self._clock.now()):
                claimed = await self._submit_claim(record)
            if claimed == Ok(True):
                self._active.add(record.claim)
        finally:
            self._claiming[record.claim] -= 1
            self._claiming += Counter()
        return claimed

    async def _submit_claim(self, record: Claim) -> Result[bool, WorkAnswer]:
        while True:
            match await self._replica.submit(record):
                case Ok():
                    return Ok(True)
                case Err(Refusal(faults)):
                    codes = {fault.code for fault in faults}
                    if FaultCode.REQUEST_MISMATCH in codes:
                        return Err(_mismatch())
                    if FaultCode.NOT_LIVE in codes:
                        detail = "this incarnation of the node is gone"
                        return Err(NotRun(reason=NotRunReason.STOPPING, detail=detail))
                    return Ok(False)
                case Err(LogFailure()):
                    await anyio.sleep(LOG_RETRY_DELAY_SECONDS)

    async def _wait_for_other(
        self, record: Claim, deadline: float
    ) -> WorkAnswer | None:
        """Return the answer of a claim that is held, or ``None`` to claim it."""
        while (row := self._replica.tables.claims.get(record.claim)) is not None:
            if row.request != record.request:
                return _mismatch()
            if row.outcome is not None:
                if row.outcome.kind is OutcomeKind.NOT_RUN:
                    return None
                return answer_of(row.outcome)
            held = self._replica.tables.is_live(row.holder)
            if not held and not row.durable and row.attempt == 0:
                return None
            if row.durable:
                return Queued(claim=record.claim)
            if not await self._outcome_by(record.claim, deadline):
                return Unknown(
                    detail="the first request with this key is still in progress"
                )
        return None

    async def _outcome_by(self, claim: ClaimId, deadline: float) -> bool:
        event = self._settled.setdefault(claim, anyio.Event())
        with anyio.move_on_after(deadline - self._clock.now()):
            await event.wait()
            return True
        return False

    def adopt(self, claim: ClaimId) -> None:
        """Mark ``claim`` as worked on by this node."""
        self._active.add(claim)

    def release(self, claim: ClaimId) -> None:
        """Mark ``claim`` as no longer worked on by this node."""
        self._active.discard(claim)

    def settle_not_run(self, claim: ClaimId, detail: str) -> None:
        """Log that a claim of this node did not run."""
        self.save(claim, OutcomeKind.NOT_RUN, detail=detail)

    def save(
        self,
        claim: ClaimId,
        kind: OutcomeKind,
        answer: Answer | None = None,
        detail: str = "",
    ) -> None:
        """Log the outcome of a claim of this node, retrying until the log takes it."""
        record = Outcome(
            id=new_record_id(),
            claim=claim,
            holder=self._replica.incarnation,
            kind=kind,
            status=answer.status if answer else 0,
            content_type=answer.content_type if answer else "",
            body=answer.body if answer else b"",
            detail=detail,
        )
        self._unsaved += 1
        self._group.start_soon(self._save_outcome, record)

    async def _save_outcome(self, record: Outcome) -> None:
        try:
            while isinstance(await self.failure_of(record), LogFailure):
                await anyio.sleep(LOG_RETRY_DELAY_SECONDS)
        finally:
            self._unsaved -= 1
            self.release(record.claim)

    async def failure_of(self, record: Record) -> Refusal | LogFailure | None:
        """Submit a record and return the error if it did not take effect."""
        submitted = await self._replica.submit(record)
        return submitted.err()

    async def take_over(self, row: ClaimRow) -> bool:
        """Claim what a process that is gone left open; return whether it succeeded."""
        record = Claim(
            id=new_record_id(),
            claim=row.claim,
            team=row.team,
            queue=row.queue,
            holder=self._replica.incarnation,
            request=row.request,
            expires=row.expires,
        )
        failure = await self.failure_of(record)
        if failure is not None:
            self.release(row.claim)
        return failure is None


def _mismatch() -> NotRun:
    return NotRun(
        reason=NotRunReason.KEY_REUSED,
        detail="the idempotency key was used before for another request",
    )


def _renamed(record: Claim) -> Claim:
    return msgspec.structs.replace(record, id=new_record_id())
