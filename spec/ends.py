"""Specification of ends: none is dropped by the acknowledgement of another one."""

from dataclasses import dataclass, replace
from enum import Enum
from functools import partial
from typing import NamedTuple

from minicheck import Protocol

from spec.base import Mechanism

__all__ = [
    "ENDS",
    "ENDS_IN_TIME",
    "ENDS_PER_INCARNATION",
    "AcknowledgedBeside",
    "Defect",
    "Rules",
    "State",
    "build",
]

MAX_TERMS = 2
MAX_INCARNATIONS = 3
MAX_ATTEMPTS = 2
MAX_OTHER_ENDS = 1
MAX_POLLS = 1
MAX_STARTS = 1
MAX_TOKEN_NUMBER = 3
OTHER_TASK = 0


class Defect(Enum):
    """Faults injected into the broken variants."""

    ANY_TIME = "an acknowledgement is sent, and carried out, at any time"
    HELD_UP = "an acknowledgement is sent in time, but held up"
    ACKNOWLEDGE_UNSTORED = "ends are acknowledged before they are stored"
    GIVE_UP_EARLY = "a run is given up while a start of it may still be carried out"
    ONE_TOKEN = "the fencing token is the same for all incarnations"
    CARRIED_OVER = "a start for one incarnation is carried out by the next, too"
    START_BESIDE = "a start has the token of an acknowledgement that is in flight"
    ACKNOWLEDGE_BESIDE = "ends are acknowledged while a start is in flight"
    ACKNOWLEDGE_UNREPORTED = "ends are acknowledged once all starts are carried out"


class AcknowledgedBeside(Enum):
    """Starts that may have been sent when ends are acknowledged."""

    ANY = "any start"
    CARRIED_OUT = "starts that are not in flight any more"
    REPORTED = "starts that no incarnation can have carried out since the last report"


@dataclass(frozen=True)
class Rules:
    """Rules that the coordinator follows, and what is assumed of calls.

    :param sent_in_time: an acknowledgement is sent before a run can have ended in a
        later incarnation than the one that it is meant for.
    :param not_held_up: such an acknowledgement is also carried out before that.
    :param token_per_incarnation: the coordinator raises its fencing token whenever it
        learns of an incarnation.
    :param token_at_any_time: the coordinator may raise it at any time.
    :param start_token_higher: a start is sent only with a token above those of all
        acknowledgements in flight.
    :param acknowledged_beside: starts beside which ends are acknowledged.
    :param stored_first: ends are stored before they are acknowledged.
    :param starts_awaited: a run is given up only once no start of it is in flight.
    """

    sent_in_time: bool = False
    not_held_up: bool = False
    token_per_incarnation: bool = False
    token_at_any_time: bool = False
    start_token_higher: bool = False
    acknowledged_beside: AcknowledgedBeside = AcknowledgedBeside.ANY
    stored_first: bool = True
    starts_awaited: bool = True


class Phase(Enum):
    """What a coordinator knows of its current run."""

    ASSIGNED = "assigned"
    SENT = "sent"
    CONFIRMED = "confirmed"
    REPORTED = "reported"


class Origin(Enum):
    """Whether a run began in the incarnation that its start was sent to."""

    INTENDED = "intended"
    LATER = "later"


class Run(NamedTuple):
    """A run.

    :param attempt: the attempt of the task, or ``OTHER_TASK``.
    """

    attempt: int
    origin: Origin = Origin.INTENDED


class End(NamedTuple):
    """The end of a run, as done; ends are numbered from 1 in each incarnation."""

    number: int
    run: Run


class Endpoint(NamedTuple):
    """The current incarnation of the endpoint.

    :param token: the highest fencing token that it has seen.
    :param ends: ends that were not acknowledged.
    :param end_count: number of the last end.
    :param highest_ended: the highest attempt that has ended here.
    """

    incarnation: int = 1
    token: int = 0
    running: frozenset = frozenset()
    ends: tuple[End, ...] = ()
    end_count: int = 0
    highest_ended: int = 0


class Coordinator(NamedTuple):
    """The coordinator of the current term and its knowledge.

    :param number: number of its fencing token in the term.
    :param known: the incarnation that it knows of; 0 if none.
    :param token_confirmed: whether that one has answered a poll with its token.
    :param attempt: the current run of the task, or 0.
    :param phase: what it knows of that run.
    :param start_open: whether a start may have been carried out since the last report
        of the known incarnation, or may yet be.
    :param read: number of the last end that it has read of the known incarnation.
    :param stored: number of the last such end that is stored.
    :param done: whether it has read that the task is done.
    """

    term: int = 1
    number: int = 1
    known: int = 1
    token_confirmed: bool = False
    attempt: int = 0
    phase: Phase = Phase.ASSIGNED
    start_open: bool = False
    read: int = 0
    stored: int = 0
    done: bool = False

    @property
    def token(self) -> int:
        """Fencing token, which is above those of former terms."""
        return self.term * (MAX_TOKEN_NUMBER + 1) + self.number


class Store(NamedTuple):
    """The stored state of the task: its last assigned attempt, whether it is done."""

    attempt: int = 0
    done: bool = False


class Poll(NamedTuple):
    """A poll with an acknowledgement, in flight.

    :param incarnation: the incarnation that it is meant for, which it does not name.
    :param last_seen: number of the last end that is acknowledged.
    """

    term: int
    token: int
    incarnation: int
    last_seen: int


class Start(NamedTuple):
    """A start of the task, in flight.

    :param incarnation: the incarnation that it is meant for, which it does not name.
    """

    term: int
    token: int
    incarnation: int
    attempt: int


class State(NamedTuple):
    """State of the model.

    :param polls: polls with an acknowledgement, in flight.
    :param starts: starts in flight.
    :param other_ends: number of ends of other tasks.
    :param dropped: origin of a run of the task whose end was acknowledged, but is not
        stored.
    :param started_again: whether the task was started after that.
    """

    endpoint: Endpoint = Endpoint()
    coordinator: Coordinator = Coordinator()
    store: Store = Store()
    polls: frozenset = frozenset()
    starts: frozenset = frozenset()
    other_ends: int = 0
    dropped: Origin | None = None
    started_again: bool = False


class _Model:
    """Steps and invariants of one variant.

    A coordinator runs one task on one endpoint, which may crash and be back under its
    id: the next incarnation runs nothing, has seen no fencing token and numbers its
    ends anew. Runs of other tasks end there, too. The coordinator assigns an attempt
    in the store, starts it, repeats the start until it is answered, reads and stores
    ends, and acknowledges them in a poll. It may be replaced at any time, and sends
    nothing after that, as ``spec.lease`` shows.

    Starts and acknowledgements may be lost, or carried out at any later time, also by
    a later incarnation and after newer calls, and their answers may be lost. A poll
    without an acknowledgement is carried out and answered at once. An acknowledgement
    drops only ends that are there when it is carried out.

    The coordinator learns of an incarnation from its first report or from the list of
    endpoints. It then gives up a run that it has seen in the former one. A run whose
    start may have reached the new one is kept until a later report: if the endpoint
    has confirmed it, and lists neither it nor its end, it is given up.

    What is in flight stands for what has no answer and may still be carried out. In
    the place of the former, which it cannot know, the coordinator awaits the answer or
    the longest time that a call may be late.
    """

    def __init__(self, rules: Rules):
        self.rules = rules

    def environment_steps(self, s: State):
        endpoint = s.endpoint
        if endpoint.incarnation < MAX_INCARNATIONS:
            crashed = Endpoint(incarnation=endpoint.incarnation + 1)
            yield "the endpoint is back anew", s._replace(endpoint=crashed)
        if s.other_ends < MAX_OTHER_ENDS:
            ended = self.after_end(s, Run(OTHER_TASK))
            yield "another task ends", ended._replace(other_ends=s.other_ends + 1)
        for run in endpoint.running:
            yield f"{run.attempt} ends", self.after_end(s, run)
        if s.coordinator.term < MAX_TERMS:
            yield "takeover", s._replace(coordinator=self.successor(s))

    def after_end(self, s: State, run: Run) -> State:
        endpoint = s.endpoint
        number = endpoint.end_count + 1
        ended = endpoint._replace(
            running=endpoint.running - {run},
            ends=(*endpoint.ends, End(number, run)),
            end_count=number,
            highest_ended=max(endpoint.highest_ended, run.attempt),
        )
        polls = s.polls
        if self.rules.not_held_up:
            polls = frozenset(
                poll for poll in polls if poll.incarnation >= endpoint.incarnation
            )
        return s._replace(endpoint=ended, polls=polls)

    def successor(self, s: State) -> Coordinator:
        """Return the next coordinator, which knows what is stored."""
        return Coordinator(
            term=s.coordinator.term + 1,
            known=0,
            attempt=0 if s.store.done else s.store.attempt,
            phase=Phase.CONFIRMED,
            start_open=True,
            done=s.store.done,
        )

    def start_steps(self, s: State):
        own = s.coordinator
        if (
            own.token_confirmed
            and not own.done
            and not own.attempt
            and s.store.attempt < MAX_ATTEMPTS
        ):
            attempt = s.store.attempt + 1
            assigned = own._replace(attempt=attempt, phase=Phase.ASSIGNED)
            stored = s.store._replace(attempt=attempt)
            yield f"assigns {attempt}", s._replace(coordinator=assigned, store=stored)
        if own.attempt and own.phase in (Phase.ASSIGNED, Phase.SENT):
            start = Start(own.term, own.token, own.known, own.attempt)
            if self.may_send_start(s, start):
                sent = own._replace(phase=Phase.SENT, start_open=True)
                yield (
                    f"sends start of {own.attempt}",
                    s._replace(coordinator=sent, starts=s.starts | {start}),
                )

    def may_send_start(self, s: State, start: Start) -> bool:
        if start in s.starts or len(s.starts) >= MAX_STARTS:
            return False
        higher = all(poll.token < start.token for poll in s.polls)
        return higher or not self.rules.start_token_higher

    def store_steps(self, s: State):
        own = s.coordinator
        if own.stored < own.read or own.done != s.store.done:
            stored = own._replace(stored=own.read)
            record = s.store._replace(done=own.done)
            yield "stores ends", s._replace(coordinator=stored, store=record)

    def poll_steps(self, s: State):
        own = s.coordinator
        if s.endpoint.token <= own.token:
            polled = s._replace(endpoint=s.endpoint._replace(token=own.token))
            yield "polls", self.after_report(polled, own.token)
        if own.known < s.endpoint.incarnation:
            yield "lists the endpoint", s._replace(coordinator=self.with_incarnation(s))
        last_seen = own.stored if self.rules.stored_first else own.read
        if last_seen and self.may_acknowledge(s):
            poll = Poll(own.term, own.token, own.known, last_seen)
            if poll not in s.polls and len(s.polls) < MAX_POLLS:
                sent = s._replace(polls=s.polls | {poll})
                yield f"acknowledges {last_seen}", sent

    def may_acknowledge(self, s: State) -> bool:
        match self.rules.acknowledged_beside:
            case AcknowledgedBeside.REPORTED if s.coordinator.start_open:
                return False
            case AcknowledgedBeside.CARRIED_OUT if s.starts:
                return False
        is_in_time = (
            s.endpoint.incarnation == s.coordinator.known or not s.endpoint.end_count
        )
        return is_in_time or not self.rules.sent_in_time

    def token_steps(self, s: State):
        own = s.coordinator
        if self.rules.token_at_any_time and own.number < MAX_TOKEN_NUMBER:
            raised = own._replace(number=own.number + 1)
            yield "raises its token", s._replace(coordinator=raised)

    def after_report(self, s: State, token: int) -> State:
        """Return the state after the coordinator has read a report.

        :param token: the token of the poll.
        """
        own, endpoint = s.coordinator, s.endpoint
        if endpoint.incarnation != own.known:
            return s._replace(coordinator=self.with_incarnation(s))
        confirmed = own.token_confirmed or token == own.token
        ended = {end.run.attempt for end in endpoint.ends} - {OTHER_TASK}
        own = own._replace(
            token_confirmed=confirmed,
            start_open=bool(s.starts),
            read=max(own.read, endpoint.end_count if endpoint.ends else 0),
            done=own.done or bool(ended),
        )
        if own.attempt in {run.attempt for run in endpoint.running}:
            own = own._replace(phase=Phase.REPORTED)
        elif own.done or self.is_given_up(own):
            own = own._replace(attempt=0, phase=Phase.ASSIGNED)
        return s._replace(coordinator=own)

    def with_incarnation(self, s: State) -> Coordinator:
        """Return the coordinator once it has learnt of the current incarnation."""
        own = s.coordinator
        raised = self.rules.token_per_incarnation and own.known > 0
        number = min(own.number + 1, MAX_TOKEN_NUMBER) if raised else own.number
        own = own._replace(
            number=number,
            known=s.endpoint.incarnation,
            token_confirmed=False,
            read=0,
            stored=0,
        )
        if own.phase is not Phase.REPORTED:
            return own
        if self.is_given_up(own):
            return own._replace(attempt=0, phase=Phase.ASSIGNED)
        return own._replace(phase=Phase.CONFIRMED)

    def is_given_up(self, own: Coordinator) -> bool:
        confirmed = own.phase in (Phase.CONFIRMED, Phase.REPORTED)
        return confirmed and not (own.start_open and self.rules.starts_awaited)

    def acknowledgement_steps(self, s: State, poll: Poll):
        """Lose an acknowledgement, or carry it out, with or without an answer."""
        rest = s._replace(polls=s.polls - {poll})
        yield f"acknowledgement of {poll.last_seen} is lost", rest
        if poll.token < s.endpoint.token:
            return
        label = f"acknowledgement of {poll.last_seen} is carried out"
        after = self.after_acknowledgement(rest, poll)
        yield label, after
        if poll.term == s.coordinator.term:
            yield f"{label} and answered", self.after_report(after, poll.token)

    def delivery_steps(self, s: State, start: Start):
        """Lose a start, or carry it out, with or without an answer."""
        rest = s._replace(starts=s.starts - {start})
        yield f"start of {start.attempt} is lost", rest
        if start.token < s.endpoint.token:
            return
        label = f"start of {start.attempt} is carried out"
        after = self.after_start(rest, start)
        yield label, after
        own = s.coordinator
        is_current = own.term == start.term and own.attempt == start.attempt
        if is_current and own.phase is Phase.SENT:
            confirmed = own._replace(phase=Phase.CONFIRMED)
            yield f"{label} and answered", after._replace(coordinator=confirmed)

    def after_acknowledgement(self, s: State, poll: Poll) -> State:
        endpoint = s.endpoint
        kept = tuple(end for end in endpoint.ends if end.number > poll.last_seen)
        dropped = s.dropped
        for end in endpoint.ends[: len(endpoint.ends) - len(kept)]:
            if end.run.attempt != OTHER_TASK and not s.store.done:
                intended = dropped is Origin.INTENDED
                dropped = Origin.INTENDED if intended else end.run.origin
        acknowledged = endpoint._replace(token=poll.token, ends=kept)
        return s._replace(endpoint=acknowledged, dropped=dropped)

    def after_start(self, s: State, start: Start) -> State:
        endpoint = s.endpoint._replace(token=start.token)
        attempts = {run.attempt for run in endpoint.running}
        if start.attempt <= endpoint.highest_ended or start.attempt in attempts:
            return s._replace(endpoint=endpoint)
        intended = start.incarnation == endpoint.incarnation
        run = Run(start.attempt, Origin.INTENDED if intended else Origin.LATER)
        started = endpoint._replace(running=endpoint.running | {run})
        again = s.started_again or s.dropped is not None
        return s._replace(endpoint=started, started_again=again)

    def transitions(self, s: State):
        steps = [
            *self.environment_steps(s),
            *self.start_steps(s),
            *self.store_steps(s),
            *self.poll_steps(s),
            *self.token_steps(s),
        ]
        for poll in s.polls:
            steps.extend(self.acknowledgement_steps(s, poll))
        for start in s.starts:
            steps.extend(self.delivery_steps(s, start))
        return steps


def _is_stored_before_dropped(s: dict) -> bool:
    return s["dropped"] is None


def _is_not_started_again(s: dict) -> bool:
    return not s["started_again"]


def _is_intended_not_started_again(s: dict) -> bool:
    return not (s["started_again"] and s["dropped"] is Origin.INTENDED)


def _has_one_run(s: dict) -> bool:
    return len(s["endpoint"].running) <= 1


#: No end of the task is dropped before the task is stored as done.
STORED_BEFORE_DROPPED = "stored_before_dropped"
#: The task does not start after such an end was dropped.
NOT_AFTER_DROPPED_END = "not_after_dropped_end"
#: The same for ends of runs in the incarnation that their start was meant for.
NOT_AFTER_INTENDED_RUN = "not_after_intended_run"
#: The task has at most one run at any time.
ONE_RUN = "one_run"

INVARIANTS = {
    STORED_BEFORE_DROPPED: _is_stored_before_dropped,
    NOT_AFTER_DROPPED_END: _is_not_started_again,
    NOT_AFTER_INTENDED_RUN: _is_intended_not_started_again,
    ONE_RUN: _has_one_run,
}

#: The rules that each defect changes.
DEFECTIVE_RULES = {
    Defect.ANY_TIME: {"sent_in_time": False, "not_held_up": False},
    Defect.HELD_UP: {"not_held_up": False},
    Defect.ACKNOWLEDGE_UNSTORED: {"stored_first": False},
    Defect.GIVE_UP_EARLY: {"starts_awaited": False},
    Defect.ONE_TOKEN: {"token_per_incarnation": False},
    Defect.CARRIED_OVER: {},
    Defect.START_BESIDE: {"start_token_higher": False},
    Defect.ACKNOWLEDGE_BESIDE: {"acknowledged_beside": AcknowledgedBeside.ANY},
    Defect.ACKNOWLEDGE_UNREPORTED: {
        "acknowledged_beside": AcknowledgedBeside.CARRIED_OUT
    },
}


def build(
    rules: Rules, invariants: tuple[str, ...], broken: Defect | None = None
) -> Protocol:
    """Return the protocol of a design, or of a broken variant of it.

    :param invariants: the invariants that hold in the design; a broken variant is held
        against all.
    """
    if broken is not None:
        rules = replace(rules, **DEFECTIVE_RULES[broken])
        invariants = tuple(INVARIANTS)
    return Protocol(
        name="ends",
        candidate=broken is None,
        fields=State._fields,
        initial=State(),
        transitions=_Model(rules).transitions,
        invariants={name: INVARIANTS[name] for name in invariants},
    )


BOUNDS = (
    f"{MAX_INCARNATIONS} incarnations, {MAX_TERMS} terms, 1 task, {MAX_ATTEMPTS}"
    f" attempts, {MAX_OTHER_ENDS} end of another task, {MAX_POLLS} acknowledgement and"
    f" {MAX_STARTS} start in flight, {MAX_TOKEN_NUMBER} tokens a term"
)

ENDS_IN_TIME = Mechanism(
    name="ends-in-time",
    bounds=BOUNDS,
    build=partial(build, Rules(sent_in_time=True, not_held_up=True), tuple(INVARIANTS)),
    broken={
        Defect.ANY_TIME: NOT_AFTER_INTENDED_RUN,
        Defect.HELD_UP: NOT_AFTER_INTENDED_RUN,
        Defect.ACKNOWLEDGE_UNSTORED: NOT_AFTER_DROPPED_END,
        Defect.GIVE_UP_EARLY: ONE_RUN,
    },
)

ENDS_PER_INCARNATION = Mechanism(
    name="ends-per-incarnation",
    bounds=BOUNDS,
    build=partial(
        build, Rules(token_per_incarnation=True), (NOT_AFTER_INTENDED_RUN, ONE_RUN)
    ),
    broken={
        Defect.ONE_TOKEN: NOT_AFTER_INTENDED_RUN,
        Defect.CARRIED_OVER: NOT_AFTER_DROPPED_END,
    },
)

ENDS = Mechanism(
    name="ends",
    bounds=BOUNDS,
    build=partial(
        build,
        Rules(
            token_at_any_time=True,
            start_token_higher=True,
            acknowledged_beside=AcknowledgedBeside.REPORTED,
        ),
        tuple(INVARIANTS),
    ),
    broken={
        Defect.START_BESIDE: NOT_AFTER_DROPPED_END,
        Defect.ACKNOWLEDGE_BESIDE: NOT_AFTER_DROPPED_END,
        Defect.ACKNOWLEDGE_UNREPORTED: NOT_AFTER_DROPPED_END,
        Defect.ACKNOWLEDGE_UNSTORED: NOT_AFTER_DROPPED_END,
    },
)
