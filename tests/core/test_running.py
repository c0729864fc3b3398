"""Tests of the counts of running work that nodes tell each other."""

from hypothesis import given
from hypothesis import strategies as st

from hickoryplank.core.messages import Running
from hickoryplank.core.running import (
    BYTES_A_SECOND,
    RunningTeller,
    merge_running,
)
from hickoryplank.core.seal import Sealer

TEAMS = st.sampled_from([f"team-{i:03}" for i in range(110)])
COUNTS = st.dictionaries(TEAMS, st.integers(1, 9))


@given(st.lists(COUNTS, max_size=12), st.data())
def test_peer_knows_the_counts_once_a_whole_message_came(rounds, data):
    teller, known, now = RunningTeller(), {}, 0.0
    for counts in rounds:
        now += 60.0
        told = teller.tell(counts, 8, now)
        assert told is not None and told.whole
        if data.draw(st.booleans()):
            known = merge_running(known, told)
            assert known == counts


@given(st.lists(COUNTS, min_size=1, max_size=40), st.integers(1, 8))
def test_changes_add_up_and_traffic_stays_bounded(rounds, peers):
    teller, known, sealed = RunningTeller(), {}, 0
    sealer = Sealer(b"s" * 32, 1)
    seconds = 0.5 * len(rounds)
    for step, counts in enumerate(rounds):
        told = teller.tell(counts, peers, 1.0 + 0.5 * step)
        if told is not None:
            known = merge_running(known, told)
            assert known == counts
            sealed += peers * len(sealer.seal(2, told))
    largest = peers * len(sealer.seal(2, all_teams()))
    assert sealed <= BYTES_A_SECOND * seconds + largest + peers * 48 * len(rounds)


def all_teams() -> Running:
    return Running({f"team-{i:03}": 9 for i in range(110)}, True)


def test_nothing_is_told_while_nothing_changes():
    teller = RunningTeller()
    assert teller.tell({"team-001": 1}, 2, 1.0).whole
    assert teller.tell({"team-001": 1}, 2, 2.0) is None
    assert teller.tell({}, 2, 3.0).counts == {"team-001": 0}
