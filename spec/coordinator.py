"""Specification of the coordinator: a task has at most one run at any time."""

from enum import Enum
from typing import NamedTuple

from minicheck import Protocol

from spec.base import Mechanism

__all__ = ["COORDINATOR", "Broken", "State", "build"]

TERMS = (1, 2)
ENDPOINTS = (0, 1)
MAX_TIME = 4
MAX_ATTEMPTS = 2
LEASE = 1
BLIND = 1


class Broken(Enum):
    """Faults injected into the broken variants."""

    NO_EPOCH = "the store accepts assignments of an older term"
    NO_HOLD = "a term starts a task on an endpoint that has not seen its fencing token"
    ACKNOWLEDGE_FIRST = "the end of a run is acknowledged before it is stored"
    NO_LEASE_WAIT = "an unreachable endpoint is treated as idle at once"
    NO_RECORD = "a start is sent before its assignment is stored"
    RENEW_ALWAYS = "a coordinator that lost its lease goes on renewing leases of runs"
    SILENT_RENEWAL = "starts do not carry the end of their lease"
    REPLACE_SENT = "an assignment is replaced although its start was sent"
    REPLACE_FOUND = "a term replaces an assignment of the previous term"
    REPLACE_UNSTORED = "the start of a replaced assignment is sent before it is stored"


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
    :param until: end of the lease of the run.
    :param ended: the attempt that is done but not acknowledged, or 0.
    :param void: whether the lease has expired since that end, so that the result
        need not be taken into account.
    :param highest: the highest attempt that has ended here.
    """

    token: int = 0
    running: int = 0
    until: int = 0
    ended: int = 0
    void: bool = False
    highest: int = 0


class Term(NamedTuple):
    """A coordinator and its knowledge of the task.

    :param begun: when it raised the epoch; ``None`` before.
    :param attempt: the attempt that it assumes to be running, or 0.
    :param where: the endpoint of that attempt.
    :param sent: whether the start of that attempt was sent, or may have been sent
        by the previous term.
    :param last: the last attempt that was assigned.
    :param held: endpoints that have confirmed its fencing token.
    :param done: whether it knows that the task is done.
    """

    begun: int | None = None
    attempt: int = 0
    where: int | None = None
    sent: bool = False
    last: int = 0
    held: frozenset = frozenset()
    done: bool = False


class Start(NamedTuple):
    """A start in flight."""

    endpoint: int
    attempt: int
    token: int
    until: int


class State(NamedTuple):
    """State of the model.

    :param starts: starts in flight.
    :param cut: pairs of term and endpoint that are partitioned.
    :param noted: whether the end of a run was acknowledged under a valid lease.
    :param started_after_done: whether a run started after the task was done.
    """

    time: int = 0
    record: Record = Record()
    terms: tuple[Term, Term] = (Term(begun=0, held=frozenset(ENDPOINTS)), Term())
    endpoints: tuple[Endpoint, Endpoint] = (Endpoint(token=1), Endpoint(token=1))
    starts: frozenset = frozenset()
    cut: frozenset = frozenset()
    noted: bool = False
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

    Time is a count of steps. Leases last ``LEASE`` steps, and the first coordinator
    renews them for ``BLIND`` steps after it last proved that it holds the lease of
    the coordinator.
    """

    def __init__(self, broken: Broken | None):
        self.broken = broken

    def with_term(self, s: State, term: int, **changes) -> State:
        terms = list(s.terms)
        terms[term - 1] = terms[term - 1]._replace(**changes)
        return s._replace(terms=tuple(terms))

    def with_endpoint(self, s: State, at: int, **changes) -> State:
        endpoints = list(s.endpoints)
        endpoints[at] = endpoints[at]._replace(**changes)
        return s._replace(endpoints=tuple(endpoints))

    def reaches(self, s: State, term: int, at: int) -> bool:
        return (term, at) not in s.cut

    def active(self, s: State, term: int) -> bool:
        """Return whether a term has begun; the first may not know that it has ended."""
        return s.terms[term - 1].begun is not None

    def cuts(self, s: State):
        for term in TERMS:
            for at in ENDPOINTS:
                if (term, at) not in s.cut and len(s.cut) < 1:
                    yield f"cut {term} from {at}", s._replace(cut=s.cut | {(term, at)})

    def passes(self, s: State):
        if s.time < MAX_TIME:
            later = s._replace(time=s.time + 1)
            for at in ENDPOINTS:
                one = later.endpoints[at]
                if one.until >= later.time:
                    continue
                if one.running:
                    later = self.with_endpoint(
                        later, at, running=0, highest=one.running
                    )
                if one.ended:
                    later = self.with_endpoint(later, at, void=True)
            yield "time passes", later

    def begins(self, s: State):
        """Begin the second term: raise the epoch and read the task record."""
        if s.terms[1].begun is None:
            record = s.record._replace(epoch=2)
            if self.broken is Broken.NO_EPOCH:
                record = s.record
            begun = self.with_term(
                s._replace(record=record),
                2,
                begun=s.time,
                attempt=record.attempt if record.endpoint is not None else 0,
                where=record.endpoint,
                # The previous term may have sent the start.
                sent=self.broken is not Broken.REPLACE_FOUND,
                last=record.attempt,
                done=record.done,
            )
            yield "2 begins", begun

    def assigns(self, s: State, term: int):
        mine = s.terms[term - 1]
        if mine.done or mine.attempt or mine.last >= MAX_ATTEMPTS:
            return
        for at in ENDPOINTS:
            if at not in mine.held and self.broken is not Broken.NO_HOLD:
                continue
            attempt = mine.last + 1
            known = self.with_term(
                s, term, attempt=attempt, where=at, last=attempt, sent=False
            )
            stored = known._replace(
                record=s.record._replace(attempt=attempt, endpoint=at)
            )
            fenced = s.record.epoch > term and self.broken is not Broken.NO_EPOCH
            if not fenced:
                yield f"{term} assigns {attempt} to {at}", stored
            if self.broken is Broken.NO_RECORD:
                yield f"{term} assigns {attempt} to {at} unstored", known

    def replaces(self, s: State, term: int):
        """Choose another endpoint for an attempt whose start was not sent."""
        mine = s.terms[term - 1]
        if not mine.attempt or mine.where is None:
            return
        if mine.sent and self.broken is not Broken.REPLACE_SENT:
            return
        for at in ENDPOINTS:
            if at == mine.where or at not in mine.held:
                continue
            known = self.with_term(s, term, where=at, sent=False)
            fenced = s.record.epoch > term and self.broken is not Broken.NO_EPOCH
            if not fenced:
                record = s.record._replace(attempt=mine.attempt, endpoint=at)
                yield f"{term} replaces by {at}", known._replace(record=record)
            if self.broken is Broken.REPLACE_UNSTORED:
                yield f"{term} replaces by {at} unstored", known

    def sends(self, s: State, term: int):
        mine = s.terms[term - 1]
        if not mine.attempt or mine.where is None:
            return
        if mine.where not in mine.held and self.broken is not Broken.NO_HOLD:
            return
        if not self.may_renew(s, term):
            return
        start = Start(mine.where, mine.attempt, term, s.time + LEASE)
        if start not in s.starts and len(s.starts) < 1:
            sent = self.with_term(s, term, sent=True)
            yield (
                f"{term} sends {mine.attempt}",
                sent._replace(starts=s.starts | {start}),
            )

    def arrives(self, s: State):
        for start in s.starts:
            rest = s._replace(starts=s.starts - {start})
            yield f"{start} is lost", rest
            # The start may be delivered once, or now and again later.
            for after in (rest, s):
                yield from self.takes(after, start)

    def takes(self, s: State, start: Start):
        one = s.endpoints[start.endpoint]
        if start.token < one.token:
            return
        if one.running or start.attempt <= one.highest:
            return
        late = start.until < s.time
        if late and self.broken is not Broken.SILENT_RENEWAL:
            return
        until = max(start.until, one.until, s.time)
        taken = self.with_endpoint(
            s,
            start.endpoint,
            token=start.token,
            running=start.attempt,
            until=until,
        )
        binding = any(other.ended and not other.void for other in s.endpoints)
        if binding or s.noted:
            taken = taken._replace(started_after_done=True)
        yield f"{start} is taken", taken

    def ends(self, s: State):
        for at in ENDPOINTS:
            one = s.endpoints[at]
            if one.running:
                ended = self.with_endpoint(
                    s, at, running=0, ended=one.running, highest=one.running
                )
                yield f"ends done at {at}", ended

    def may_renew(self, s: State, term: int) -> bool:
        replaced = s.terms[1].begun
        if term == 2 or replaced is None or self.broken is Broken.RENEW_ALWAYS:
            return True
        return s.time <= replaced + BLIND

    def looks(self, s: State, term: int):
        """Poll an endpoint for running and ended attempts, and renew its lease."""
        mine = s.terms[term - 1]
        for at in ENDPOINTS:
            one = s.endpoints[at]
            if not self.reaches(s, term, at) or term < one.token:
                continue
            until = one.until
            if one.running and self.may_renew(s, term):
                until = max(until, s.time + LEASE)
            seen = self.with_endpoint(s, at, token=term, until=until)
            held = mine.held | {at}
            if one.ended:
                yield from self.sees_end(seen, term, at, held)
            elif mine.where == at and not one.running and at not in mine.held:
                # The endpoint no longer accepts a start under an older token.
                yield (
                    f"{term} finds nothing at {at}",
                    self.with_term(seen, term, held=held, attempt=0, where=None),
                )
            else:
                yield f"{term} looks at {at}", self.with_term(seen, term, held=held)

    def sees_end(self, s: State, term: int, at: int, held: frozenset):
        known = self.with_term(s, term, held=held, done=True, attempt=0, where=None)
        known = known._replace(noted=s.noted or not s.endpoints[at].void)
        fenced = s.record.epoch > term and self.broken is not Broken.NO_EPOCH
        if not fenced:
            record = s.record._replace(done=True, endpoint=None)
            stored = known._replace(record=record)
            yield (
                f"{term} stores the end",
                self.with_endpoint(stored, at, ended=0, void=False),
            )
        if self.broken is Broken.ACKNOWLEDGE_FIRST:
            yield (
                f"{term} acknowledges first",
                self.with_endpoint(known, at, ended=0, void=False),
            )

    def gives_up(self, s: State):
        """The second term treats an unreachable endpoint as idle."""
        mine = s.terms[1]
        if mine.begun is None or mine.where is None or mine.where in mine.held:
            return
        lapsed = s.time > mine.begun + BLIND + LEASE
        if lapsed or self.broken is Broken.NO_LEASE_WAIT:
            yield "2 gives up", self.with_term(s, 2, attempt=0, where=None)

    def steps(self, s: State):
        yield from self.passes(s)
        yield from self.cuts(s)
        yield from self.begins(s)
        yield from self.arrives(s)
        yield from self.ends(s)
        yield from self.gives_up(s)
        for term in TERMS:
            if self.active(s, term):
                yield from self.assigns(s, term)
                yield from self.replaces(s, term)
                yield from self.sends(s, term)
                yield from self.looks(s, term)


def _once(s: dict) -> bool:
    return sum(1 for one in s["endpoints"] if one.running) <= 1


def _not_after_done(s: dict) -> bool:
    return not s["started_after_done"]


def build(broken: Broken | None = None) -> Protocol:
    """Return the protocol of the design, or of a broken variant."""
    model = _Model(broken)
    return Protocol(
        name="coordinator",
        candidate=broken is None,
        fields=State._fields,
        initial=State(),
        transitions=lambda state: list(model.steps(State(*state))),
        invariants={"one_run": _once, "not_after_done": _not_after_done},
    )


COORDINATOR = Mechanism(
    name="coordinator",
    bounds="2 terms, 2 endpoints, 1 task, 2 attempts, 4 steps of time, 1 cut,"
    " 1 start in flight",
    build=build,
    broken={
        Broken.NO_EPOCH: "one_run",
        Broken.NO_HOLD: "one_run",
        Broken.ACKNOWLEDGE_FIRST: "not_after_done",
        Broken.NO_LEASE_WAIT: "one_run",
        Broken.NO_RECORD: "one_run",
        Broken.RENEW_ALWAYS: "one_run",
        Broken.SILENT_RENEWAL: "one_run",
        Broken.REPLACE_SENT: "one_run",
        Broken.REPLACE_FOUND: "one_run",
        Broken.REPLACE_UNSTORED: "one_run",
    },
)
