"""Tests of rendezvous hashing."""

from hypothesis import given
from hypothesis import strategies as st

from hickoryplank.core.ownership import owner, owners

names = st.text(min_size=1, max_size=8)


@given(pools=st.sets(names), members=st.sets(names, min_size=2), data=st.data())
def test_only_the_pools_of_a_leaving_node_change_owner(pools, members, data):
    gone = data.draw(st.sampled_from(sorted(members)))
    before = owners(pools, members)
    after = owners(pools, sorted(members - {gone}, reverse=True))
    assert all(before[p] == after[p] for p in pools if before[p] != gone)
    assert set(after.values()) <= members - {gone}


def test_pools_spread_over_the_nodes():
    nodes = [f"entry-{i}" for i in range(9)]
    chosen = list(owners([f"pool-{i}" for i in range(194)], nodes).values())
    assert all(10 <= chosen.count(node) <= 35 for node in nodes)


def test_no_member_owns_nothing():
    assert owner("pool-1", []) is None
