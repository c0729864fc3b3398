"""Refuses jobs that are known to come too late to serve, and says when to return.

Load: a queue asks for so much more than the whole fleet could give that a job handed in
now would end after its caller has stopped waiting. Such a caller is told so at once,
with a time at which room is expected. These times come from the plan by which jobs are
served, so that they are in the order of what waiting costs and spread over the room.

Nothing is refused while that isn't certain: the forecast counts every VM that the pool
could get, and is only made once the VM list has been read and each endpoint of the pool
has reported, or failed to. Lasting and timed jobs are never refused.

A refused job counts towards the share of its team when it is first handed in, and not
again on its return. Beyond the share, callers are told a time too, but no room is kept
for them, and they are newcomers when they come back.
"""

import math

import msgspec

from hickoryplank.core.ids import JobId, PoolId
from hickoryplank.jobs.configuration import QueueTerms
from hickoryplank.jobs.endpoints import Endpoint
from hickoryplank.jobs.engine_tables import EngineTables
from hickoryplank.jobs.model import Job
from hickoryplank.jobs.ordering import patience_s
from hickoryplank.jobs.placement import has_room_for
from hickoryplank.jobs.service_order import (
    JOIN_SECONDS,
    is_planned,
    pool_plan,
    remaining_work,
    waiting_job,
    waiting_work,
)
from hickoryplank.jobs.shortage import PoolSupply, ShortageOrder, WaitingJob
from hickoryplank.jobs.sizes import ZERO, Size
from hickoryplank.jobs.table import JobRow

__all__ = ["Admissions", "Refusal", "refusal"]

#: Longest time after which a caller is told to return, in seconds. A turn of demand
#: takes less, so that the forecast is not of use for longer.
MAX_RETURN_SECONDS = 30
#: Time by which a caller may return before or after the time that it was told, in
#: seconds. Times are told in whole seconds.
RETURN_TOLERANCE_SECONDS = 3.0
#: Callers whose return is expected, at most; further ones are told a time only.
MAX_EXPECTED_RETURNS = 1_000


class Refusal(msgspec.Struct, frozen=True):
    """Why a job was refused, and when its caller should return.

    :param again_s: after how long to return, in seconds.
    :param expected_s: when the job would have ended, in seconds from now.
    :param patience_s: for how long its caller is expected to wait, in seconds.
    :param ahead: jobs that would have been served before it.
    """

    again_s: int
    expected_s: float
    patience_s: float
    ahead: int


class _Return(msgspec.Struct, frozen=True):
    """A refused job whose caller was told to return.

    :param at: the time that it was told, by the local clock, in seconds.
    :param asked_at: when the job was first handed in.
    """

    pool: PoolId
    at: float
    asked_at: float
    job: WaitingJob[JobId]

    def is_due(self, now: float) -> bool:
        """Return whether a caller that returns now has kept its time."""
        return abs(now - self.at) <= RETURN_TOLERANCE_SECONDS

    def has_lapsed(self, now: float) -> bool:
        """Return whether the caller hasn't come."""
        return now > self.at + RETURN_TOLERANCE_SECONDS


class Admissions:
    """The callers whose return is expected."""

    def __init__(self) -> None:
        self._returns: dict[JobId, _Return] = {}

    def returns_in_s(self, job: JobId, now: float) -> float | None:
        """Return when a caller is expected, in seconds from now, if it is at all."""
        known = self._returns.get(job)
        return known.at - now if known is not None else None

    def is_due(self, job: JobId, now: float) -> bool:
        """Return whether a caller that comes now has come back at its time."""
        known = self._returns.get(job)
        return known is not None and known.is_due(now)

    def take_return(self, job: JobId, now: float) -> bool:
        """Return whether a caller has come back at its time, and expect it no more."""
        is_due = self.is_due(job, now)
        self._returns.pop(job, None)
        return is_due

    def expected(self, pool: PoolId, now: float) -> list[WaitingJob[JobId]]:
        """Return the jobs of a pool whose callers are still to return."""
        for id, one in list(self._returns.items()):
            if one.has_lapsed(now):
                del self._returns[id]
        return [
            _aged(one.job, now - one.asked_at)
            for one in self._returns.values()
            if one.pool == pool
        ]

    def note_refusal(
        self, job: WaitingJob[JobId], pool: PoolId, again_s: int, now: float
    ) -> None:
        """Expect a refused job's caller again."""
        known = self._returns.get(job.key)
        if known is None and len(self._returns) >= MAX_EXPECTED_RETURNS:
            return
        asked_at = known.asked_at if known is not None else now
        self._returns[job.key] = _Return(pool, now + again_s, asked_at, job)


def _aged(job: WaitingJob[JobId], waited_s: float) -> WaitingJob[JobId]:
    latest_end_s = job.objective_s - waited_s
    return msgspec.structs.replace(job, latest_end_s=latest_end_s, waited_s=waited_s)


def refusal(
    tables: EngineTables, admissions: Admissions, job: Job, now: float
) -> Refusal | None:
    """Return why a new job is refused; none if it is accepted."""
    terms = job.terms_in(tables.configuration)
    row = JobRow(job, now)
    if terms is None or not _may_be_refused(tables, row, terms):
        return None
    if admissions.is_due(job.id, now):
        return None
    endpoints = [
        one for one in tables.endpoints.values() if one.listing.pool == job.pool
    ]
    if not _is_certain(tables, endpoints):
        return None
    usable = [one for one in endpoints if one.usable(now)]
    row.open_occurrence(0)
    if any(has_room_for(one, step) for one in usable for step in row.ready_steps(0)):
        return None
    return _forecast(tables, admissions, row, terms, usable, now)


def _may_be_refused(tables: EngineTables, row: JobRow, terms: QueueTerms) -> bool:
    return (
        tables.shortage_order is ShortageOrder.LEAST_COST
        and not row.lasting
        and not row.job.repeats
        and terms.advice is None
    )


def _is_certain(tables: EngineTables, endpoints: list[Endpoint]) -> bool:
    """Return whether the room and the work of a pool are known."""
    if tables.vm_supply is None or tables.unlisted_assignments:
        return False
    return all(one.token_confirmed or one.silent_since is not None for one in endpoints)


def _forecast(
    tables: EngineTables,
    admissions: Admissions,
    row: JobRow,
    terms: QueueTerms,
    usable: list[Endpoint],
    now: float,
) -> Refusal | None:
    pool = row.job.pool
    supply = _largest_supply(tables, pool, usable)
    rows = [
        one
        for one in tables.open_jobs.values()
        if one.job.pool == pool
        and not tables.quarantine.has_job(one.job.id)
        and one.has_waiting
        and is_planned(tables, one, now)
    ]
    patience = patience_s(row, terms)
    work = _servable_work([*rows, row], usable, supply)
    if supply.ends_after_s(supply.pool_seconds(work)) <= patience:
        return None
    expected = admissions.expected(pool, now)
    own = waiting_job(tables, row, supply, now)
    others = [one for one in expected if one.key != own.key]
    plan = pool_plan(tables, rows, usable, supply, now, [*others, own])
    end_s = plan.end_s[own.key]
    # Without an end there is no time to tell, as the pool hasn't got what it needs.
    if end_s <= patience or math.isinf(end_s):
        return None
    begin_s = end_s - max(own.path_s, own.pool_seconds)
    again_s = min(MAX_RETURN_SECONDS, max(1, math.ceil(begin_s)))
    told_s = admissions.returns_in_s(row.job.id, now)
    if told_s is not None:
        again_s = max(1, math.ceil(told_s))
    if told_s is not None or _is_within_share(tables, row.job, now):
        admissions.note_refusal(own, pool, again_s, now)
    return Refusal(again_s, end_s, patience, plan.order.index(own.key))


def _servable_work(
    rows: list[JobRow], usable: list[Endpoint], supply: PoolSupply
) -> Size:
    """Return the work of jobs that a pool can serve, and what its runs need yet."""
    total = ZERO
    for work in map(waiting_work, rows):
        if math.isfinite(supply.pool_seconds(work)):
            total = total.plus(work)
    for endpoint in usable:
        for run in endpoint.runs.values():
            total = total.plus(remaining_work(run))
    return total


def _is_within_share(tables: EngineTables, job: Job, now: float) -> bool:
    """Count a job towards the share of its team, and return whether it is within it."""
    return tables.rate_limiter.take_token(job.team, tables.configuration, now)


def _largest_supply(
    tables: EngineTables, pool: PoolId, usable: list[Endpoint]
) -> PoolSupply:
    """Return the room of a pool if it got every VM that no other pool uses.

    Runs on endpoints that are silent or evacuated take nothing from it, as their VMs
    may be down, and are not counted in the supply then.
    """
    present = own = used_elsewhere = ZERO
    for endpoint in usable:
        present = present.plus(endpoint.listing.capacity.minus(endpoint.lasting_used))
        own = own.plus(endpoint.listing.capacity)
    for endpoint in tables.endpoints.values():
        lost = endpoint.silent_since is not None or endpoint.in_evacuated_zone
        if endpoint.listing.pool != pool and not lost:
            used_elsewhere = used_elsewhere.plus(endpoint.used)
    assert tables.vm_supply is not None
    joining = tables.vm_supply.total.minus(own).minus(used_elsewhere)
    return PoolSupply(present, joining.maximum(ZERO), JOIN_SECONDS)
