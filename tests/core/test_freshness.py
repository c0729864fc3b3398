"""Tests of the evidence for the freshness of a node's view."""

from dataclasses import dataclass, field

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from hickoryplank.core.freshness import (
    IN_FORCE_SECONDS,
    MAX_STALENESS_SECONDS,
    Freshness,
    PeerView,
)


def view(folded=5, known=5, age=None, quiet=True) -> PeerView:
    return PeerView(folded, folded, known, age, quiet)


@pytest.mark.parametrize(
    ("answers", "as_of"),
    [
        ({2: (10.0, view()), 3: (11.0, view())}, 10.0),
        ({2: (10.0, view())}, 1.0),
        ({2: (10.0, view()), 3: (11.0, view(quiet=False))}, 1.0),
        ({2: (10.0, view()), 3: (11.0, view(known=6))}, 1.0),
        ({2: (10.0, view(known=6, age=1.5))}, 8.5),
        ({2: (10.0, view(folded=6, known=6, age=1.5))}, 1.0),
    ],
)
def test_evidence_of_peers(answers, as_of):
    fresh = Freshness()
    fresh.note_tail_read(1.0, 5)
    for member, (sent_at, answer) in answers.items():
        fresh.note_answer(member, sent_at, answer)
    fresh.renew_if_all_quiet(12.0, [2, 3], quiet=True)
    assert fresh.as_of == as_of
    assert fresh.is_fresh(as_of + MAX_STALENESS_SECONDS)
    assert not fresh.is_fresh(as_of + MAX_STALENESS_SECONDS + 0.01)


def test_evidence_waits_until_the_node_has_folded_as_far():
    fresh = Freshness()
    fresh.note_tail_read(1.0, 5)
    fresh.note_answer(2, 10.0, view(folded=6, known=6, age=0.5))
    assert fresh.as_of == 1.0
    fresh.note_folded(6)
    assert fresh.as_of == 9.5


def test_edit_is_in_force_once_confirmed_or_once_others_have_stopped():
    fresh = Freshness()
    fresh.note_tail_read(1.0, 8)
    fresh.note_answer(2, 1.0, view(folded=8))
    assert fresh.lagging_nodes([2, 3], 8, 1.0, 2.0) == [3]
    assert fresh.lagging_nodes([2, 3], 8, 1.0, 1.1 + IN_FORCE_SECONDS) == []


def test_members_that_have_not_folded_the_join_are_unaware():
    fresh = Freshness()
    assert fresh.members_unaware([2, 3]) == [2, 3]
    fresh.joined = 5
    fresh.note_answer(2, 1.0, view(folded=5))
    fresh.note_answer(3, 1.0, view(folded=4))
    assert fresh.members_unaware([2, 3]) == [3]


def test_a_node_confirms_no_edit_while_an_older_start_is_in_flight():
    fresh = Freshness()
    fresh.note_tail_read(1.0, 5)
    for task, start_by in (("answered", 9.0), ("lost", 3.0)):
        fresh.open_start(task, start_by)
    fresh.note_tail_read(2.0, 6)
    assert fresh.view(2.0, quiet=True).confirmed == 5
    fresh.close_start("answered")
    assert fresh.view(2.5, quiet=True).confirmed == 5
    assert fresh.view(3.1, quiet=True).confirmed == 6


def test_a_retry_does_not_close_the_previous_start():
    fresh = Freshness()
    fresh.note_tail_read(1.0, 5)
    fresh.open_start("task", 3.0)
    fresh.note_tail_read(2.0, 6)
    fresh.open_start("task", 4.0)
    fresh.close_start("task")
    assert fresh.confirmed(3.5) == 5
    assert fresh.confirmed(4.5) == 6


@dataclass(frozen=True)
class Entry:
    """A log entry: an edit, a join, or proof that a member is gone.

    :param at: when the entry was appended, in seconds of true time.
    """

    kind: str
    member: int
    at: float


@dataclass
class Member:
    """A member whose clock is ``skew`` seconds ahead of true time.

    :param pending: whether an edit of the member is not folded yet.
    """

    me: int
    skew: float
    fresh: Freshness = field(default_factory=Freshness)
    alive: bool = True
    pending: bool = False


index = st.integers(0, 3)
rarely = st.sampled_from([False, False, False, True])


class FreshnessMachine(RuleBasedStateMachine):
    """Members read, inquire, edit, join and die; answers are delayed or lost."""

    def __init__(self):
        super().__init__()
        self.now = 0.0
        self.log = []
        self.members = []
        self.asked = []
        self.answers = []
        self.reads = []
        for _ in range(3):
            self.add()
        for member in self.members:
            self.read(member.me, late=False)
        self.add()
        self.read(3, late=False)

    def add(self):
        me = len(self.members)
        self.log.append(Entry("join", me, self.now))
        self.members.append(Member(me, skew=100.0 * me))

    def clock(self, member):
        return self.now + member.skew

    def live(self, i):
        alive = [member for member in self.members if member.alive]
        return alive[i % len(alive)]

    def others(self, member):
        """Return the other live members in the log that ``member`` has folded."""
        seen = self.log[: member.fresh.offset]
        gone = {entry.member for entry in seen if entry.kind == "gone"}
        joined = {entry.member for entry in seen if entry.kind == "join"}
        return sorted(joined - gone - {member.me})

    def is_quiet(self, member):
        return not member.pending

    @rule(seconds=st.sampled_from([0.25, 0.75, 1.5]))
    def tick(self, seconds):
        self.now += seconds

    @rule(i=index, late=rarely)
    def read(self, i, late):
        member = self.live(i)
        self.reads.append((member, self.clock(member), len(self.log)))
        if not late:
            self.arrive(len(self.reads) - 1)

    @precondition(lambda self: self.reads)
    @rule(i=index)
    def arrive(self, i):
        member, sent_at, tail = self.reads.pop(i % len(self.reads))
        if member.alive:
            self.fold(member, tail)
            member.fresh.note_tail_read(sent_at, tail)

    def fold(self, member, tail):
        """Fold up to ``tail``, including the member's own join and pending edit."""
        for at in range(member.fresh.offset, tail):
            entry = self.log[at]
            if entry.member == member.me and entry.kind == "edit":
                member.pending = False
            if entry.member == member.me and entry.kind == "join":
                member.fresh.joined = at + 1
        member.fresh.note_folded(tail)

    @rule(i=index, silent=rarely, late=rarely)
    def ask(self, i, silent, late):
        """Send inquiries to the others, which answer at once, later or never."""
        member = self.live(i)
        for other in self.others(member):
            question = (member, self.members[other], self.clock(member))
            self.asked.append(question)
            if not silent or other != i:
                self.answer(len(self.asked) - 1)
        if not late:
            self.receive(len(self.answers))

    @precondition(lambda self: self.asked)
    @rule(i=st.integers(0, 9))
    def answer(self, i):
        member, other, sent_at = self.asked.pop(i % len(self.asked))
        if other.alive:
            view = other.fresh.view(self.clock(other), self.is_quiet(other))
            self.answers.append((member, other.me, sent_at, view))

    @precondition(lambda self: self.answers)
    @rule(count=st.integers(1, 4))
    def receive(self, count):
        for _ in range(min(count, len(self.answers))):
            member, other, sent_at, view = self.answers.pop(0)
            member.fresh.note_answer(other, sent_at, view)
            quiet = self.is_quiet(member)
            member.fresh.renew_if_all_quiet(
                self.clock(member), self.others(member), quiet
            )

    @rule(i=index, late=rarely)
    def edit(self, i, late):
        """Send an edit, whose append may be delayed or lost."""
        member = self.live(i)
        ready = member.fresh.joined and not member.pending
        if ready and not member.fresh.members_unaware(self.others(member)):
            member.pending = True
            if not late:
                self.land(member.me)

    @rule(i=index)
    def land(self, i):
        member = self.members[i % len(self.members)]
        gone = any(e.kind == "gone" and e.member == member.me for e in self.log)
        landed = [e for e in self.log if e.kind == "edit" and e.member == member.me]
        if member.pending and not gone and len(landed) < 2:
            self.log.append(Entry("edit", member.me, self.now))

    @precondition(lambda self: sum(m.alive for m in self.members) > 2)
    @rule(i=index, edits=st.booleans(), proved=st.booleans())
    def die(self, i, edits, proved):
        member = self.live(i)
        if edits:
            self.edit(i, late=True)
        member.alive = False
        if proved:
            self.prove_gone(member.me)
            self.read(i, late=False)

    @rule(i=index)
    def prove_gone(self, i):
        member = self.members[i % len(self.members)]
        if not member.alive:
            self.log.append(Entry("gone", member.me, self.now))

    @invariant()
    def every_edit_before_as_of_is_folded(self):
        for member in self.members:
            if member.fresh.as_of is None:
                continue
            as_of = member.fresh.as_of - member.skew
            unseen = self.log[member.fresh.offset :]
            assert not [e for e in unseen if e.kind == "edit" and e.at < as_of]

    @invariant()
    def confirmed_edits_are_in_force(self):
        for member in self.members:
            others = self.others(member)
            end = member.fresh.offset
            waiting = member.fresh.lagging_nodes(others, end, self.now, self.now)
            for other in set(others) - set(waiting):
                assert self.members[other].fresh.offset >= end


FreshnessMachine.TestCase.settings = settings(max_examples=300, stateful_step_count=50)
test_freshness_machine = FreshnessMachine.TestCase
