"""Specification of submissions: a caller that is refused has no job that may run."""

from enum import Enum
from typing import NamedTuple

from minicheck import Protocol

from spec.base import Mechanism

__all__ = ["SUBMISSIONS", "Defect", "State", "build"]

TERMS = (1, 2)
ENTRIES = (0, 1)
MAX_CALLS = 2


class Defect(Enum):
    """Faults injected into the broken variants."""

    REFUSE_KNOWN = "a coordinator refuses a submission whose record it may have sent"
    ACCEPT_GIVEN_UP = "an attempt takes effect after its entry has given it up"
    ASK_WITHOUT_CALLER = "an entry makes another attempt after the caller has left"
    REFUSE_UNSERVED = "a call is refused because the term that it reached has ended"
    SERVE_UNRESTORED = "a term takes calls before it has read what is stored"
    NO_EPOCH = "the store accepts the record of a term that has been replaced"


class Term(NamedTuple):
    """A coordinator and what it knows of the job.

    :param serving: whether it takes calls.
    :param ended: whether it has stopped taking them, as it is drained or replaced.
    :param key_valid: whether the caller's key is valid in the configuration that it
        has read.
    :param store_away: whether it rejects new jobs, as the store does not answer it.
    :param known: whether it has read or sent the record of the job.
    """

    serving: bool = False
    ended: bool = False
    key_valid: bool = True
    store_away: bool = False
    known: bool = False


class Entry(NamedTuple):
    """An entry and its call of the caller.

    :param calling: whether it has a call.
    :param asked: the term to which the attempt in progress was sent.
    """

    calling: bool = False
    asked: int | None = None


class State(NamedTuple):
    """State of the model.

    :param key_valid: whether the caller's key is valid in the newest configuration.
    :param epoch: highest epoch that the store has seen.
    :param stored: whether the job is stored.
    :param appends: epochs of the appends of the job in flight.
    :param given_up: terms to which an attempt is in flight that its entry gave up.
    :param calls: number of calls that the caller has made.
    :param refused: whether the caller was told that the job never runs.
    """

    key_valid: bool = True
    epoch: int = 1
    stored: bool = False
    appends: frozenset = frozenset()
    given_up: frozenset = frozenset()
    terms: tuple[Term, Term] = (Term(serving=True), Term())
    entries: tuple[Entry, Entry] = (Entry(), Entry())
    calls: int = 0
    refused: bool = False


class _Model:
    """Steps and invariants of one variant.

    A caller submits one job, through one entry after the other, until it is refused.
    It gives a call up before it makes the next one. Entries make attempts of a call at
    the coordinators that they know of, whose answers may be lost or late. The caller's
    key may be withdrawn, and the store may reject the coordinator for a while and carry
    out appends late.

    The second term begins after the first has stopped taking calls, as ``spec.lease``
    shows, and reads what is stored after it has raised the epoch.

    What each one knows: a serving coordinator knows each job that is or may yet be
    stored, so its refusal is true. One that does not serve, and an entry without a
    coordinator, know nothing of what others have accepted, so they refuse nothing.
    """

    def __init__(self, broken: Defect | None):
        self.broken = broken

    def with_term(self, s: State, term: int, **changes) -> State:
        terms = list(s.terms)
        terms[term - 1] = terms[term - 1]._replace(**changes)
        return s._replace(terms=tuple(terms))

    def with_entry(self, s: State, index: int, **changes) -> State:
        entries = list(s.entries)
        entries[index] = entries[index]._replace(**changes)
        return s._replace(entries=tuple(entries))

    def environment_steps(self, s: State):
        if s.key_valid:
            yield "the key is withdrawn", s._replace(key_valid=False)
        for term in TERMS:
            own = s.terms[term - 1]
            if not own.serving:
                continue
            if own.key_valid and not s.key_valid:
                yield f"{term} reads it", self.with_term(s, term, key_valid=False)
            away = not own.store_away
            yield (
                f"store away for {term}: {away}",
                self.with_term(s, term, store_away=away),
            )
        for epoch in s.appends:
            fenced = epoch < s.epoch and self.broken is not Defect.NO_EPOCH
            stored = s.stored or not fenced
            rest = s._replace(appends=s.appends - {epoch})
            yield f"append of {epoch} arrives", rest._replace(stored=stored)

    def term_steps(self, s: State):
        if s.terms[0].serving:
            yield "1 ends", self.with_term(s, 1, serving=False, ended=True)
        elif s.epoch == 1:
            known = s.stored and self.broken is not Defect.SERVE_UNRESTORED
            begun = self.with_term(
                s, 2, serving=True, key_valid=s.key_valid, known=known
            )
            yield "2 begins", begun._replace(epoch=2)

    def call_steps(self, s: State):
        in_progress = any(entry.calling for entry in s.entries)
        for index, entry in enumerate(s.entries):
            if not in_progress and s.calls < MAX_CALLS and not s.refused:
                called = self.with_entry(s, index, calling=True)
                yield f"{index} is called", called._replace(calls=s.calls + 1)
            if not entry.calling:
                continue
            yield f"call of {index} ends unsettled", self.without_call(s, index)
            if entry.asked is not None:
                yield from self.attempt_steps(s, index, entry.asked)
                continue
            for term in TERMS:
                if s.terms[term - 1].serving or s.terms[term - 1].ended:
                    asked = self.with_entry(s, index, asked=term)
                    yield f"{index} asks {term}", asked

    def without_call(self, s: State, index: int) -> State:
        """Return the state after a call has ended without an answer to the caller."""
        asked = s.entries[index].asked
        if asked is None and self.broken is Defect.ASK_WITHOUT_CALLER:
            asked = 1
        given_up = s.given_up | {asked} if asked is not None else s.given_up
        ended = self.with_entry(s, index, calling=False, asked=None)
        return ended._replace(given_up=given_up)

    def attempt_steps(self, s: State, index: int, term: int):
        silent = self.with_entry(s, index, asked=None)
        yield f"attempt of {index} is lost", silent
        late = silent._replace(given_up=s.given_up | {term})
        yield f"{index} gives its attempt up", late
        label, after, refusal = self.handled(s, term)
        unanswered = self.with_entry(after, index, asked=None)
        yield f"{label}, without effect on {index}", unanswered
        if refusal:
            refused = self.with_entry(unanswered, index, calling=False)
            yield f"{label}, through {index}", refused._replace(refused=True)

    def handled(self, s: State, term: int) -> tuple[str, State, bool]:
        """Return label, next state, and whether a term refuses an attempt."""
        own = s.terms[term - 1]
        if not own.serving:
            return f"{term} is not serving", s, self.broken is Defect.REFUSE_UNSERVED
        if own.known and self.broken is not Defect.REFUSE_KNOWN:
            return f"{term} knows the job", s, False
        if own.store_away or not own.key_valid:
            return f"{term} refuses", s, True
        taken = self.with_term(s, term, known=True)
        return f"{term} takes it", taken._replace(appends=s.appends | {term}), False

    def late_steps(self, s: State):
        """An attempt that was given up is read by a process that stood still."""
        for term in s.given_up:
            rest = s._replace(given_up=s.given_up - {term})
            yield f"{term} drops an attempt", rest
            if self.broken in (Defect.ACCEPT_GIVEN_UP, Defect.ASK_WITHOUT_CALLER):
                label, after, _ = self.handled(rest, term)
                yield f"{label}, late", after

    def steps(self, s: State):
        yield from self.environment_steps(s)
        yield from self.term_steps(s)
        yield from self.call_steps(s)
        yield from self.late_steps(s)


def _refusal_is_true(s: dict) -> bool:
    return not (s["refused"] and s["stored"])


def build(broken: Defect | None = None) -> Protocol:
    """Return the protocol of the design, or of a broken variant."""
    model = _Model(broken)
    return Protocol(
        name="submissions",
        candidate=broken is None,
        fields=State._fields,
        initial=State(),
        transitions=lambda state: list(model.steps(State(*state))),
        invariants={"refusal_is_true": _refusal_is_true},
    )


SUBMISSIONS = Mechanism(
    name="submissions",
    bounds="1 job, 2 calls through 2 entries, 2 terms, 1 withdrawal of the key",
    build=build,
    broken=dict.fromkeys(Defect, "refusal_is_true"),
)
