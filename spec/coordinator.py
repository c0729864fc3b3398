"""Specification of the coordinator: a task has at most one run at any time."""

from enum import Enum
from typing import NamedTuple

from minicheck import Protocol

from spec.base import Mechanism

__all__ = ["COORDINATOR", "Defect", "State", "build"]

TERMS = (1, 2)
ENDPOINTS = (0, 1)
MAX_TIME = 4
MAX_ATTEMPTS = 2
LEASE_STEPS = 1
RENEWAL_GRACE_STEPS = 1


class Defect(Enum):
    """Faults injected into the broken variants."""

    NO_EPOCH = "the store accepts assignments of an older term"
    NO_FENCING = (
        "a term starts a task on an endpoint that has not seen its fencing token"
    )
    ACKNOWLEDGE_FIRST = "the end of a run is acknowledged before it is stored"
    NO_LEASE_WAIT = "an unreachable endpoint is treated as idle at once"
    NO_RECORD = "a start is sent before its assignment is stored"
    RENEW_ALWAYS = "a coordinator that lost its lease keeps renewing leases of runs"
    NO_LEASE_END = "starts do not carry the end of their lease"
    REPLACE_SENT = "an assignment is replaced although its start was sent"
    REPLACE_INHERITED = "a term replaces an assignment of the previous term"
    REPLACE_UNSTORED = "the start of a replaced assignment is sent before it is stored"
    FULL_REPORT = "a run that a full report of ends leaves out is treated as gone"


class Record(NamedTuple):
    """The task record in the store."""

    epoch: int = 0
    attempt: int = 0
    endpoint: int | None = None
    done: bool = False


class Endpoint(NamedTuple):
    """An endpoint.

    :param token: the highest fencing token that it has seen.
    :param running: the attempt that is running, or 0.
    :param lease_end: end of the lease of the run.
    :param ended: the attempt that is done but not acknowledged, or 0.
    :param lease_expired: whether the lease has expired since that end, so that the
        result need not be taken into account.
    :param highest_ended: the highest attempt that has ended here.
    """

    token: int = 0
    running: int = 0
    lease_end: int = 0
    ended: int = 0
    lease_expired: bool = False
    highest_ended: int = 0


class Term(NamedTuple):
    """A coordinator and its knowledge of the task.

    :param begun_at: when it raised the epoch; ``None`` before.
    :param attempt: the attempt that it assumes to be running, or 0.
    :param assigned_to: the endpoint of that attempt.
    :param sent: whether the start of that attempt was sent, or may have been sent
        by the previous term.
    :param last: the last attempt that was assigned.
    :param confirmed: endpoints that have confirmed its fencing token.
    :param done: whether it knows that the task is done.
    """

    begun_at: int | None = None
    attempt: int = 0
    assigned_to: int | None = None
    sent: bool = False
    last: int = 0
    confirmed: frozenset = frozenset()
    done: bool = False


class Start(NamedTuple):
    """A start in flight."""

    endpoint: int
    attempt: int
    token: int
    lease_end: int


class State(NamedTuple):
    """State of the model.

    :param starts: starts in flight.
    :param partitions: pairs of term and endpoint that are partitioned.
    :param end_acknowledged: whether the end of a run was acknowledged under a valid
        lease.
    :param started_after_done: whether a run started after the task was done.
    """

    time: int = 0
    record: Record = Record()
    terms: tuple[Term, Term] = (
        Term(begun_at=0, confirmed=frozenset(ENDPOINTS)),
        Term(),
    )
    endpoints: tuple[Endpoint, Endpoint] = (Endpoint(token=1), Endpoint(token=1))
    starts: frozenset = frozenset()
    partitions: frozenset = frozenset()
    end_acknowledged: bool = False
    started_after_done: bool = False


class _Model:
    """Steps and invariants of one variant.

    There are two terms of coordinators, of which the second may begin at any time,
    and two endpoints that can run one task. A task that is done never starts again.
    Starts may be lost, repeated or late, and either coordinator may be partitioned
    from either endpoint.

    An assignment is stored under the epoch of the term before its start is sent. The
    start may be sent much later, while the store is unavailable. An assignment may be
    replaced before its start is sent, once the new assignment is stored.

    The second term raises the epoch, reads the task record, and polls each endpoint
    under its fencing token before it starts anything there. It treats an unreachable
    endpoint as running the task until the first coordinator must have stopped
    renewing leases and the longest lease has expired.

    Time is a count of steps. Leases last ``LEASE_STEPS``, and the first coordinator
    renews them for ``RENEWAL_GRACE_STEPS`` after it last proved that it holds the
    lease of the coordinator.
    """

    def __init__(self, broken: Defect | None):
        self.broken = broken

    def with_term(self, s: State, term: int, **changes) -> State:
        terms = list(s.terms)
        terms[term - 1] = terms[term - 1]._replace(**changes)
        return s._replace(terms=tuple(terms))

    def with_endpoint(self, s: State, index: int, **changes) -> State:
        endpoints = list(s.endpoints)
        endpoints[index] = endpoints[index]._replace(**changes)
        return s._replace(endpoints=tuple(endpoints))

    def is_reachable(self, s: State, term: int, index: int) -> bool:
        return (term, index) not in s.partitions

    def has_begun(self, s: State, term: int) -> bool:
        """Return whether a term has begun.

        The first term stays active after the second has begun, since its coordinator
        may not know of the second.
        """
        return s.terms[term - 1].begun_at is not None

    def partition_steps(self, s: State):
        for term in TERMS:
            for index in ENDPOINTS:
                if (term, index) not in s.partitions and len(s.partitions) < 1:
                    yield (
                        f"{term} is partitioned from {index}",
                        s._replace(partitions=s.partitions | {(term, index)}),
                    )

    def time_steps(self, s: State):
        if s.time < MAX_TIME:
            later = s._replace(time=s.time + 1)
            for index in ENDPOINTS:
                endpoint = later.endpoints[index]
                if endpoint.lease_end >= later.time:
                    continue
                if endpoint.running:
                    later = self.with_endpoint(
                        later, index, running=0, highest_ended=endpoint.running
                    )
                if endpoint.ended:
                    later = self.with_endpoint(later, index, lease_expired=True)
            yield "time passes", later

    def takeover_steps(self, s: State):
        """Begin the second term: raise the epoch and read the task record."""
        if s.terms[1].begun_at is None:
            record = s.record._replace(epoch=2)
            if self.broken is Defect.NO_EPOCH:
                record = s.record
            begun = self.with_term(
                s._replace(record=record),
                2,
                begun_at=s.time,
                attempt=record.attempt if record.endpoint is not None else 0,
                assigned_to=record.endpoint,
                # The previous term may have sent the start.
                sent=self.broken is not Defect.REPLACE_INHERITED,
                last=record.attempt,
                done=record.done,
            )
            yield "2 begins", begun

    def assignment_steps(self, s: State, term: int):
        own_term = s.terms[term - 1]
        if own_term.done or own_term.attempt or own_term.last >= MAX_ATTEMPTS:
            return
        for index in ENDPOINTS:
            if index not in own_term.confirmed and self.broken is not Defect.NO_FENCING:
                continue
            attempt = own_term.last + 1
            updated = self.with_term(
                s, term, attempt=attempt, assigned_to=index, last=attempt, sent=False
            )
            stored = updated._replace(
                record=s.record._replace(attempt=attempt, endpoint=index)
            )
            fenced = s.record.epoch > term and self.broken is not Defect.NO_EPOCH
            if not fenced:
                yield f"{term} assigns {attempt} to {index}", stored
            if self.broken is Defect.NO_RECORD:
                yield f"{term} assigns {attempt} to {index} unstored", updated

    def replacement_steps(self, s: State, term: int):
        """Choose another endpoint for an attempt whose start was not sent."""
        own_term = s.terms[term - 1]
        if not own_term.attempt or own_term.assigned_to is None:
            return
        if own_term.sent and self.broken is not Defect.REPLACE_SENT:
            return
        for index in ENDPOINTS:
            if index == own_term.assigned_to or index not in own_term.confirmed:
                continue
            updated = self.with_term(s, term, assigned_to=index, sent=False)
            fenced = s.record.epoch > term and self.broken is not Defect.NO_EPOCH
            if not fenced:
                record = s.record._replace(attempt=own_term.attempt, endpoint=index)
                yield f"{term} replaces by {index}", updated._replace(record=record)
            if self.broken is Defect.REPLACE_UNSTORED:
                yield f"{term} replaces by {index} unstored", updated

    def send_steps(self, s: State, term: int):
        own_term = s.terms[term - 1]
        if not own_term.attempt or own_term.assigned_to is None:
            return
        if (
            own_term.assigned_to not in own_term.confirmed
            and self.broken is not Defect.NO_FENCING
        ):
            return
        if not self.may_renew(s, term):
            return
        start = Start(
            own_term.assigned_to, own_term.attempt, term, s.time + LEASE_STEPS
        )
        if start not in s.starts and len(s.starts) < 1:
            sent = self.with_term(s, term, sent=True)
            yield (
                f"{term} sends {own_term.attempt}",
                sent._replace(starts=s.starts | {start}),
            )

    def delivery_steps(self, s: State):
        for start in s.starts:
            rest = s._replace(starts=s.starts - {start})
            yield f"{start} is lost", rest
            # The start may be delivered once, or now and again later.
            for after in (rest, s):
                yield from self.acceptance_steps(after, start)

    def acceptance_steps(self, s: State, start: Start):
        endpoint = s.endpoints[start.endpoint]
        if start.token < endpoint.token:
            return
        if endpoint.running or start.attempt <= endpoint.highest_ended:
            return
        late = start.lease_end < s.time
        if late and self.broken is not Defect.NO_LEASE_END:
            return
        lease_end = max(start.lease_end, endpoint.lease_end, s.time)
        taken = self.with_endpoint(
            s,
            start.endpoint,
            token=start.token,
            running=start.attempt,
            lease_end=lease_end,
        )
        end_counts = any(
            other.ended and not other.lease_expired for other in s.endpoints
        )
        if end_counts or s.end_acknowledged:
            taken = taken._replace(started_after_done=True)
        yield f"{start} is taken", taken

    def end_steps(self, s: State):
        for index in ENDPOINTS:
            endpoint = s.endpoints[index]
            if endpoint.running:
                ended = self.with_endpoint(
                    s,
                    index,
                    running=0,
                    ended=endpoint.running,
                    highest_ended=endpoint.running,
                )
                yield f"ends done at {index}", ended

    def may_renew(self, s: State, term: int) -> bool:
        replaced_at = s.terms[1].begun_at
        if term == 2 or replaced_at is None or self.broken is Defect.RENEW_ALWAYS:
            return True
        return s.time <= replaced_at + RENEWAL_GRACE_STEPS

    def poll_steps(self, s: State, term: int):
        """Poll an endpoint for running and ended attempts, and renew its lease."""
        own_term = s.terms[term - 1]
        for index in ENDPOINTS:
            endpoint = s.endpoints[index]
            if not self.is_reachable(s, term, index) or term < endpoint.token:
                continue
            lease_end = endpoint.lease_end
            if endpoint.running and self.may_renew(s, term):
                lease_end = max(lease_end, s.time + LEASE_STEPS)
            polled = self.with_endpoint(s, index, token=term, lease_end=lease_end)
            confirmed = own_term.confirmed | {index}
            if endpoint.ended:
                yield from self.end_report_steps(polled, term, index, confirmed)
                yield from self.full_report_steps(polled, term, index, confirmed)
            elif (
                own_term.assigned_to == index
                and not endpoint.running
                and index not in own_term.confirmed
            ):
                # The endpoint no longer accepts a start under an older token.
                yield (
                    f"{term} finds nothing at {index}",
                    self.with_term(
                        polled, term, confirmed=confirmed, attempt=0, assigned_to=None
                    ),
                )
            else:
                yield (
                    f"{term} polls {index}",
                    self.with_term(polled, term, confirmed=confirmed),
                )

    def end_report_steps(self, s: State, term: int, index: int, confirmed: frozenset):
        updated = self.with_term(
            s, term, confirmed=confirmed, done=True, attempt=0, assigned_to=None
        )
        updated = updated._replace(
            end_acknowledged=s.end_acknowledged or not s.endpoints[index].lease_expired
        )
        fenced = s.record.epoch > term and self.broken is not Defect.NO_EPOCH
        if not fenced:
            record = s.record._replace(done=True, endpoint=None)
            stored = updated._replace(record=record)
            yield (
                f"{term} stores the end",
                self.with_endpoint(stored, index, ended=0, lease_expired=False),
            )
        if self.broken is Defect.ACKNOWLEDGE_FIRST:
            yield (
                f"{term} acknowledges the end unstored",
                self.with_endpoint(updated, index, ended=0, lease_expired=False),
            )

    def full_report_steps(self, s: State, term: int, index: int, confirmed: frozenset):
        """Report so many ends of other tasks that the end of this one is left out."""
        reported = self.with_term(s, term, confirmed=confirmed)
        is_assigned_here = s.terms[term - 1].assigned_to == index
        if is_assigned_here and self.broken is Defect.FULL_REPORT:
            reported = self.with_term(reported, term, attempt=0, assigned_to=None)
        yield f"{term} gets a full report without the end at {index}", reported

    def presumed_idle_steps(self, s: State):
        """The second term treats an unreachable endpoint as idle."""
        own_term = s.terms[1]
        if (
            own_term.begun_at is None
            or own_term.assigned_to is None
            or own_term.assigned_to in own_term.confirmed
        ):
            return
        leases_expired = s.time > own_term.begun_at + RENEWAL_GRACE_STEPS + LEASE_STEPS
        if leases_expired or self.broken is Defect.NO_LEASE_WAIT:
            yield "2 presumes idle", self.with_term(s, 2, attempt=0, assigned_to=None)

    def steps(self, s: State):
        yield from self.time_steps(s)
        yield from self.partition_steps(s)
        yield from self.takeover_steps(s)
        yield from self.delivery_steps(s)
        yield from self.end_steps(s)
        yield from self.presumed_idle_steps(s)
        for term in TERMS:
            if self.has_begun(s, term):
                yield from self.assignment_steps(s, term)
                yield from self.replacement_steps(s, term)
                yield from self.send_steps(s, term)
                yield from self.poll_steps(s, term)


def _at_most_one_run(s: dict) -> bool:
    return sum(1 for endpoint in s["endpoints"] if endpoint.running) <= 1


def _not_after_done(s: dict) -> bool:
    return not s["started_after_done"]


def build(broken: Defect | None = None) -> Protocol:
    """Return the protocol of the design, or of a broken variant."""
    model = _Model(broken)
    return Protocol(
        name="coordinator",
        candidate=broken is None,
        fields=State._fields,
        initial=State(),
        transitions=lambda state: list(model.steps(State(*state))),
        invariants={"one_run": _at_most_one_run, "not_after_done": _not_after_done},
    )


COORDINATOR = Mechanism(
    name="coordinator",
    bounds="2 terms, 2 endpoints, 1 task, 2 attempts, 4 steps of time, 1 partition,"
    " 1 start in flight",
    build=build,
    broken={
        Defect.NO_EPOCH: "one_run",
        Defect.NO_FENCING: "one_run",
        Defect.ACKNOWLEDGE_FIRST: "not_after_done",
        Defect.NO_LEASE_WAIT: "one_run",
        Defect.NO_RECORD: "one_run",
        Defect.RENEW_ALWAYS: "one_run",
        Defect.NO_LEASE_END: "one_run",
        Defect.REPLACE_SENT: "one_run",
        Defect.REPLACE_INHERITED: "one_run",
        Defect.REPLACE_UNSTORED: "one_run",
    },
)
