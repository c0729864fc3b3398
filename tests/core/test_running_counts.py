"""Tests of the exchange of running counts between nodes."""

from hypothesis import given
from hypothesis import strategies as st

from hickoryplank.core.message_auth import MessageSigner
from hickoryplank.core.messages import RunningCounts
from hickoryplank.core.running_counts import (
    BYTES_A_SECOND,
    RunningCountsReporter,
    merge_running_counts,
)

TEAMS = st.sampled_from([f"team-{i:03}" for i in range(110)])
COUNTS = st.dictionaries(TEAMS, st.integers(1, 9))


@given(st.lists(COUNTS, max_size=12), st.data())
def test_peer_knows_the_counts_once_a_whole_message_came(rounds, data):
    teller, known, now = RunningCountsReporter(), {}, 0.0
    for counts in rounds:
        now += 60.0
        told = teller.next_report(counts, 8, now)
        assert told is not None and told.whole
        if data.draw(st.booleans()):
            known = merge_running_counts(known, told)
            assert known == counts


@given(st.lists(COUNTS, min_size=1, max_size=40), st.integers(1, 8))
def test_changes_add_up_and_traffic_stays_bounded(rounds, peers):
    teller, known, sealed = RunningCountsReporter(), {}, 0
    sealer = MessageSigner(b"s" * 32, 1)
    seconds = 0.5 * len(rounds)
    for step, counts in enumerate(rounds):
        told = teller.next_report(counts, peers, 1.0 + 0.5 * step)
        if told is not None:
            known = merge_running_counts(known, told)
            assert known == counts
            sealed += peers * len(sealer.sign(2, told))
    largest = peers * len(sealer.sign(2, all_teams()))
    assert sealed <= BYTES_A_SECOND * seconds + largest + peers * 48 * len(rounds)


def all_teams() -> RunningCounts:
    return RunningCounts({f"team-{i:03}": 9 for i in range(110)}, True)


def test_nothing_is_reported_while_nothing_changes():
    teller = RunningCountsReporter()
    assert teller.next_report({"team-001": 1}, 2, 1.0).whole
    assert teller.next_report({"team-001": 1}, 2, 2.0) is None
    assert teller.next_report({}, 2, 3.0).counts == {"team-001": 0}
