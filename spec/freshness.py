"""Specification of freshness: an edit stops work on nodes that cannot read the log."""

from enum import Enum
from typing import NamedTuple

from minicheck import Protocol

from spec.base import Mechanism

__all__ = ["FRESHNESS", "Defect", "State", "build"]

FRESH_TICKS = 1
# Ages stop at the first tick at which a view is stale, to bound the search.
STALE_TICKS = FRESH_TICKS + 1
# ``read_back_age`` stops at the first tick at which no confirmation is needed.
IN_FORCE_TICKS = FRESH_TICKS + 1
EDITOR, NODE, JOINER = "editor", "node", "joiner"
JOIN, GONE = "join", "gone"
EDIT = {EDITOR: "edit by editor", JOINER: "edit by joiner"}


class Defect(Enum):
    """Faults injected into the broken variants."""

    SINGLE_EVIDENCE = "the answer of one quiet peer is taken as sufficient"
    IGNORE_PENDING = "a peer with a pending edit answers that it is quiet"
    IGNORE_OFFSET = "the view of a peer is used before the node has folded as far"
    UNKNOWN_AUTHOR = "a joiner appends edits before all members know of it"
    GONE_AUTHOR = "an edit is accepted although its author is gone"
    NO_WORKER_DEADLINE = "the worker accepts starts after their deadline"
    RECEIVED_AT = "the age of a view is counted from the receipt of the answer"
    CONFIRM_EARLY = "a node confirms an edit while an older start is in flight"
    EARLY_IN_FORCE = "the editor waits for less time than other nodes may be fresh"


class Member(NamedTuple):
    """A member: its offset and the age of its view, at most ``STALE_TICKS``."""

    offset: int = 0
    age: int = 0


class Answer(NamedTuple):
    """Answer of a peer to an inquiry of the node."""

    offset: int
    age: int
    quiet: bool


class State(NamedTuple):
    """State of the model.

    :param author: the member that has sent the edit, whose append can take effect
        at any time.
    :param joiner: the joiner's offset; ``None`` before it joins.
    :param alive: whether the editor is running.
    :param aware: members that have confirmed to the joiner that they know of it.
    :param inquiry_age: ticks since the node sent its inquiry; ``None`` without one.
    :param answers: the answers of the editor and of the joiner to that inquiry.
    :param append_age: ticks since an effective edit was appended to the log.
    :param read_back_age: ticks since the author read the edit back from the log.
    :param in_force: whether the author has reported that the edit is in force.
    :param start_ttl: ticks until the worker refuses the start in flight.
    :param late_start: whether work has started that the edit should have stopped.
    """

    log: tuple[str, ...] = ()
    author: str | None = None
    editor: Member = Member()
    node: Member = Member()
    joiner: int | None = None
    alive: bool = True
    aware: frozenset = frozenset()
    inquiry_age: int | None = None
    answers: tuple[Answer | None, Answer | None] = (None, None)
    append_age: int | None = None
    read_back_age: int | None = None
    in_force: bool = False
    start_ttl: int | None = None
    late_start: bool = False


def _aged(age: int | None) -> int | None:
    return None if age is None else min(age + 1, STALE_TICKS)


def members(log: tuple[str, ...], me: str) -> set[str]:
    """Return the other live members after ``log``."""
    live = {EDITOR, NODE}
    if JOIN in log:
        live.add(JOINER)
    if GONE in log:
        live.discard(EDITOR)
    return live - {me}


class _Model:
    """Steps and invariants of one variant.

    An editor and a node are members that know each other. A joiner may join, and
    the node does not know it until it has folded the join. The editor or the joiner
    appends one edit that withdraws permission for some work. The answer to the
    append may be lost, and the append may take effect late, even after its author
    is gone. Reads, inquiries and answers happen at any time or never, which models
    partitions, outages and paused processes. One tick ages every view by one; a
    view is fresh for ``FRESH_TICKS``.
    """

    def __init__(self, broken: Defect | None):
        self.broken = broken
        self.in_force_wait = FRESH_TICKS - (broken is Defect.EARLY_IN_FORCE)

    def pending(self, s: State, member: str) -> bool:
        return (
            s.author == member
            and EDIT[member] not in s.log[: self.offset_of(s, member)]
        )

    def offset_of(self, s: State, member: str) -> int:
        if member == JOINER:
            return s.joiner or 0
        return s.editor.offset if member == EDITOR else s.node.offset

    def may_edit(self, s: State, member: str) -> bool:
        if s.author is not None:
            return False
        if member == EDITOR:
            return s.alive
        if s.joiner is None:
            return False
        known = members(s.log[: s.joiner], JOINER) <= s.aware
        return known or self.broken is Defect.UNKNOWN_AUTHOR

    def edit_steps(self, s: State):
        for member in (EDITOR, JOINER):
            if self.may_edit(s, member):
                yield (
                    f"{member} sends edit",
                    s._replace(author=member, aware=frozenset()),
                )
        if s.author and EDIT[s.author] not in s.log:
            log = (*s.log, EDIT[s.author])
            is_effective = s.author != EDITOR or GONE not in s.log
            is_effective = is_effective or self.broken is Defect.GONE_AUTHOR
            yield (
                "edit is appended",
                s._replace(log=log, append_age=0 if is_effective else None),
            )
        if s.append_age is not None and s.read_back_age is None:
            behind = EDIT[s.author] not in s.log[: self.offset_of(s, s.author)]
            if not behind and (s.author == JOINER or s.alive):
                yield "author reads back", s._replace(read_back_age=0)
        if s.read_back_age is not None and not s.in_force:
            position = s.log.index(EDIT[s.author]) + 1
            others = members(s.log[: self.offset_of(s, s.author)], s.author)
            done = all(self.confirms(s, member, position) for member in others)
            if done or s.read_back_age > self.in_force_wait:
                yield (
                    "in force",
                    s._replace(in_force=True, read_back_age=IN_FORCE_TICKS),
                )

    def confirms(self, s: State, member: str, position: int) -> bool:
        settled = (
            member != NODE or s.start_ttl is None or self.broken is Defect.CONFIRM_EARLY
        )
        return settled and self.offset_of(s, member) >= position

    def membership_steps(self, s: State):
        if s.joiner is None and JOIN not in s.log:
            log = (*s.log, JOIN)
            yield "joiner joins", s._replace(log=log, joiner=len(log))
        if s.alive:
            editor = s.editor._replace(age=STALE_TICKS)
            yield "editor dies", s._replace(alive=False, editor=editor)
        elif s.joiner is not None and GONE not in s.log:
            yield "editor is proved gone", s._replace(log=(*s.log, GONE))
        if s.joiner is not None and s.author is None:
            position = s.log.index(JOIN) + 1
            for member in {EDITOR, NODE} - s.aware:
                if self.offset_of(s, member) >= position and (
                    member == NODE or s.alive
                ):
                    aware = s.aware | {member}
                    yield f"{member} knows joiner", s._replace(aware=aware)

    def read_steps(self, s: State):
        tail = len(s.log)
        if s.alive:
            yield "editor reads", s._replace(editor=Member(tail, 0))
        if s.joiner is not None:
            yield "joiner reads", s._replace(joiner=tail)
        yield "node reads", s._replace(node=Member(tail, 0))

    def inquiry_steps(self, s: State):
        if s.inquiry_age is None:
            yield "node inquires", s._replace(inquiry_age=0, answers=(None, None))
            return
        for index, member in enumerate((EDITOR, JOINER)):
            present = s.alive if member == EDITOR else s.joiner is not None
            if s.answers[index] is None and present:
                answers = list(s.answers)
                answers[index] = self.view(s, member)
                yield f"{member} answers", s._replace(answers=tuple(answers))
        yield (
            "node evaluates",
            self.evaluate(s)._replace(inquiry_age=None, answers=(None, None)),
        )

    def view(self, s: State, member: str) -> Answer:
        age = s.editor.age if member == EDITOR else STALE_TICKS
        quiet = not self.pending(s, member) or self.broken is Defect.IGNORE_PENDING
        return Answer(self.offset_of(s, member), age, quiet)

    def evaluate(self, s: State) -> State:
        inquiry_age = 0 if self.broken is Defect.RECEIVED_AT else s.inquiry_age
        ages = [s.node.age]
        for answer in s.answers:
            if answer is not None and self.can_use(s, answer.offset):
                ages.append(inquiry_age + answer.age)
        if self.is_outage(s):
            ages.append(inquiry_age)
        return s._replace(node=s.node._replace(age=min(ages)))

    def can_use(self, s: State, offset: int) -> bool:
        return offset <= s.node.offset or self.broken is Defect.IGNORE_OFFSET

    def is_outage(self, s: State) -> bool:
        others = members(s.log[: s.node.offset], NODE)
        answer_of = dict(zip((EDITOR, JOINER), s.answers, strict=True))
        quiet = [
            answer_of[member] is not None
            and answer_of[member].quiet
            and self.can_use(s, answer_of[member].offset)
            for member in others
        ]
        return any(quiet) if self.broken is Defect.SINGLE_EVIDENCE else all(quiet)

    def start_steps(self, s: State):
        knows = any(EDIT[member] in s.log[: s.node.offset] for member in EDIT)
        if s.author and s.start_ttl is None and s.node.age <= FRESH_TICKS and not knows:
            yield "node dispatches", s._replace(start_ttl=FRESH_TICKS - s.node.age)
        if s.start_ttl is not None:
            late = s.in_force or (
                s.append_age is not None and s.append_age > FRESH_TICKS
            )
            started = s._replace(start_ttl=None, late_start=late)
            yield "worker starts", started
            yield "start is lost", s._replace(start_ttl=None)

    def tick(self, s: State) -> State:
        start = s.start_ttl
        if start is not None and self.broken is not Defect.NO_WORKER_DEADLINE:
            start = start - 1 if start > 0 else None
        inquiry_age = _aged(s.inquiry_age)
        if inquiry_age == STALE_TICKS and self.broken is not Defect.RECEIVED_AT:
            inquiry_age = None
        return s._replace(
            editor=s.editor._replace(age=_aged(s.editor.age)),
            node=s.node._replace(age=_aged(s.node.age)),
            inquiry_age=inquiry_age,
            answers=s.answers if inquiry_age is not None else (None, None),
            append_age=_aged(s.append_age),
            read_back_age=None
            if s.read_back_age is None
            else min(s.read_back_age + 1, IN_FORCE_TICKS),
            start_ttl=start,
        )

    def is_settled(self, s: State) -> bool:
        """Return whether no further violation is possible, to bound the search."""
        is_appended = s.author is not None and EDIT[s.author] in s.log
        stopped = is_appended and EDIT[s.author] in s.log[: s.node.offset]
        return is_appended and s.start_ttl is None and (stopped or s.append_age is None)

    def transitions(self, s: State):
        if s.late_start or self.is_settled(s):
            return []
        steps = [
            *self.edit_steps(s),
            *self.membership_steps(s),
            *self.read_steps(s),
            *self.inquiry_steps(s),
            *self.start_steps(s),
        ]
        return [*steps, ("tick", self.tick(s))]

    def protocol(self) -> Protocol:
        return Protocol(
            name="freshness",
            candidate=False,
            fields=State._fields,
            initial=State(),
            transitions=self.transitions,
            invariants={"edit_stops_work": lambda d: not d["late_start"]},
        )


def build(broken: Defect | None = None) -> Protocol:
    """Return the protocol of the design, or of a broken variant."""
    return _Model(broken).protocol()


FRESHNESS = Mechanism(
    name="freshness",
    bounds="2 members and a joiner, 1 edit, 1 inquiry and 1 start at a time,"
    " views fresh for 1 tick",
    build=build,
    broken=dict.fromkeys(Defect, "edit_stops_work"),
)
