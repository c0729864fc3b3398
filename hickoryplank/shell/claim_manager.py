"""Claims, which make a request run at most once whichever node handles it."""

import logging
from collections import Counter

import anyio
import msgspec
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
from hickoryplank.shell.claim_ids import answer_from_outcome, request_digest
from hickoryplank.shell.clock import Clock
from hickoryplank.shell.replica import Replica, new_record_id
from hickoryplank.shell.tasks import TaskSpawner

__all__ = ["CLAIM_LIFETIME_SECONDS", "ClaimManager"]

logger = logging.getLogger(__name__)

CLAIM_LIFETIME_SECONDS = 24 * 3600.0
LOG_RETRY_DELAY_SECONDS = 0.1


class ClaimManager:
    """Manages the claims of this node and awaits the outcomes of other claims."""

    def __init__(self, replica: Replica, spawner: TaskSpawner, clock: Clock):
        self._replica = replica
        self._spawner = spawner
        self._clock = clock
        self._open: set[ClaimId] = set()
        self._active: set[ClaimId] = set()
        self._claiming: Counter[ClaimId] = Counter()
        self._outcome_events: dict[ClaimId, anyio.Event] = {}
        self._pending_outcomes = 0
        replica.subscribe(self._note_record)
        replica.subscribe_snapshot_load(self.rebuild)
        self.rebuild()

    @property
    def pending_outcomes(self) -> int:
        """The number of outcomes that are not in the log yet."""
        return self._pending_outcomes

    def rebuild(self) -> None:
        """Recompute the open claims after the tables have been replaced."""
        claims = self._replica.tables.claims
        self._open = {claim for claim, row in claims.items() if row.outcome is None}
        for claim in list(self._outcome_events):
            if claim not in self._open and claim in claims:
                self._outcome_events.pop(claim).set()

    def orphans(self) -> list[ClaimRow]:
        """Return the open claims that no live process works on."""
        tables = self._replica.tables
        rows = [tables.claims[claim] for claim in self._idle_claims()]
        me = self._replica.incarnation
        return [
            row for row in rows if row.holder == me or not tables.is_live(row.holder)
        ]

    def _idle_claims(self) -> set[ClaimId]:
        return self._open - self._active - self._claiming.keys()

    def _note_record(self, record: Record, fold_result: FoldResult) -> None:
        if fold_result.is_err():
            return
        match record:
            case Claim(claim=claim):
                self._open.add(claim)
            case Outcome(claim=claim):
                self._open.discard(claim)
                event = self._outcome_events.pop(claim, None)
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
            request=request_digest(request),
            expires=expires,
            durable=durable,
            content_type=request.content_type,
            body=request.body,
        )
        while True:
            existing_answer = await self._await_holder(record, deadline)
            if existing_answer is not None:
                return Err(existing_answer)
            claimed = await self._try_claim(record, deadline)
            if claimed is None or claimed.is_err():
                return claimed or Err(self._unconfirmed_claim_answer(record))
            if claimed.unwrap():
                return Ok(None)
            record = _with_new_id(record)

    def _unconfirmed_claim_answer(self, record: Claim) -> NotRun | Unknown:
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
            self._claiming += Counter()  # drops entries whose count is 0
        return claimed

    async def _submit_claim(self, record: Claim) -> Result[bool, WorkAnswer]:
        while True:
            match await self._replica.submit(record):
                case Ok():
                    return Ok(True)
                case Err(Refusal(faults)):
                    codes = {fault.code for fault in faults}
                    if FaultCode.REQUEST_MISMATCH in codes:
                        return Err(_request_mismatch())
                    if FaultCode.NOT_LIVE in codes:
                        detail = "this incarnation of the node is gone"
                        return Err(NotRun(reason=NotRunReason.STOPPING, detail=detail))
                    return Ok(False)
                case Err(LogFailure()):
                    await anyio.sleep(LOG_RETRY_DELAY_SECONDS)

    async def _await_holder(self, record: Claim, deadline: float) -> WorkAnswer | None:
        """Return the answer of an existing claim; ``None`` if this node may claim."""
        while (row := self._replica.tables.claims.get(record.claim)) is not None:
            if row.request != record.request:
                return _request_mismatch()
            if row.outcome is not None:
                if row.outcome.kind is OutcomeKind.NOT_RUN:
                    return None
                return answer_from_outcome(row.outcome)
            holder_is_live = self._replica.tables.is_live(row.holder)
            if not holder_is_live and not row.durable and row.attempt == 0:
                return None
            if row.durable:
                return Queued(claim=record.claim)
            if not await self._await_outcome(record.claim, deadline):
                return Unknown(
                    detail="the first request with this key is still in progress"
                )
        return None

    async def _await_outcome(self, claim: ClaimId, deadline: float) -> bool:
        event = self._outcome_events.setdefault(claim, anyio.Event())
        with anyio.move_on_after(deadline - self._clock.now()):
            await event.wait()
            return True
        return False

    def mark_active(self, claim: ClaimId) -> None:
        """Mark ``claim`` as worked on by this node."""
        self._active.add(claim)

    def mark_idle(self, claim: ClaimId) -> None:
        """Mark ``claim`` as no longer worked on by this node."""
        self._active.discard(claim)

    def submit_not_run_outcome(self, claim: ClaimId, detail: str) -> None:
        """Submit the outcome that the request of a claim did not run."""
        self.submit_outcome(claim, OutcomeKind.NOT_RUN, detail=detail)

    def submit_outcome(
        self,
        claim: ClaimId,
        kind: OutcomeKind,
        answer: Answer | None = None,
        detail: str = "",
    ) -> None:
        """Submit the outcome of a claim of this node until the log accepts it."""
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
        self._pending_outcomes += 1
        self._spawner.start_soon(self._submit_until_accepted, record)

    async def _submit_until_accepted(self, record: Outcome) -> None:
        try:
            while isinstance(await self.submit_record(record), LogFailure):
                await anyio.sleep(LOG_RETRY_DELAY_SECONDS)
        finally:
            self._pending_outcomes -= 1
            self.mark_idle(record.claim)

    async def submit_record(self, record: Record) -> Refusal | LogFailure | None:
        """Submit a record and return the error if it did not take effect."""
        submitted = await self._replica.submit(record)
        return submitted.err()

    async def take_over(self, row: ClaimRow) -> bool:
        """Take over the open claim of an incarnation that is gone.

        :return: whether this node holds the claim now.
        """
        record = Claim(
            id=new_record_id(),
            claim=row.claim,
            team=row.team,
            queue=row.queue,
            holder=self._replica.incarnation,
            request=row.request,
            expires=row.expires,
        )
        failure = await self.submit_record(record)
        if failure is not None:
            self.mark_idle(row.claim)
        return failure is None


def _request_mismatch() -> NotRun:
    return NotRun(
        reason=NotRunReason.KEY_REUSED,
        detail="the idempotency key was used before for another request",
    )


def _with_new_id(record: Claim) -> Claim:
    return msgspec.structs.replace(record, id=new_record_id())
