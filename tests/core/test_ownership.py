"""Tests of rendezvous hashing."""

from hypothesis import given
from hypothesis import strategies as st

from hickoryplank.core.ownership import owner

names = st.text(min_size=1, max_size=8)
incarnations = st.integers(1, 10**6)


@given(pools=st.sets(names), members=st.sets(incarnations, min_size=2), data=st.data())
def test_only_the_pools_of_a_leaving_node_change_owner(pools, members, data):
    gone = data.draw(st.sampled_from(sorted(members)))
    stay = sorted(members - {gone}, reverse=True)
    for pool in pools:
        before, after = owner(pool, members), owner(pool, stay)
        assert after in stay
        assert before in (gone, after)


def test_pools_spread_over_the_nodes():
    chosen = [owner(f"pool-{i}", range(100, 109)) for i in range(194)]
    assert all(10 <= chosen.count(node) <= 35 for node in range(100, 109))


def test_pool_has_no_owner_without_members():
    assert owner("pool-1", []) is None
