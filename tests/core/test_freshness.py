"""Tests of the evidence that keeps a node fresh."""

import pytest

from hickoryplank.core.freshness import (
    FRESH_SECONDS,
    IN_FORCE_SECONDS,
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
    fresh.note_outage(12.0, [2, 3], quiet=True)
    assert fresh.as_of == as_of
    assert fresh.is_fresh(as_of + FRESH_SECONDS)
    assert not fresh.is_fresh(as_of + FRESH_SECONDS + 0.01)


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
    assert fresh.waiting_for([2, 3], 8, 1.0, 2.0) == [3]
    assert fresh.waiting_for([2, 3], 8, 1.0, 1.1 + IN_FORCE_SECONDS) == []


def test_a_node_is_unaware_of_one_that_it_has_not_seen_join():
    fresh = Freshness()
    assert fresh.unaware([2, 3]) == [2, 3]
    fresh.joined = 5
    fresh.note_answer(2, 1.0, view(folded=5))
    fresh.note_answer(3, 1.0, view(folded=4))
    assert fresh.unaware([2, 3]) == [3]


def test_a_node_confirms_no_edit_while_an_older_start_is_under_way():
    fresh = Freshness()
    fresh.note_tail_read(1.0, 5)
    for task, start_by in (("answered", 9.0), ("lost", 3.0)):
        fresh.open_start(task, start_by)
    fresh.note_tail_read(2.0, 6)
    assert fresh.view(2.0, quiet=True).confirmed == 5
    fresh.close_start("answered")
    assert fresh.view(2.5, quiet=True).confirmed == 5
    assert fresh.view(3.1, quiet=True).confirmed == 6
