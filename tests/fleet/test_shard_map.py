"""Rendezvous hashing: the loss of a shard moves its keys alone, and keys spread evenly."""

from __future__ import annotations

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from springspread.fleet.shard_map import ShardMap, ShardMapError, newer

NAMES = st.lists(st.text("abcdefgh0123", min_size=1, max_size=6), min_size=2, max_size=12, unique=True)
KEYS = [f"g{n}" for n in range(300)]


@given(names=NAMES, data=st.data())
@settings(max_examples=60, deadline=None, derandomize=True, database=None)
def test_the_loss_of_a_shard_moves_its_own_keys_alone(names: list[str], data: st.DataObject) -> None:
    before = ShardMap(1, tuple(names))
    lost = data.draw(st.sampled_from(names))
    after = before.without(lost)
    for key in KEYS:
        assert after.owner(key) != lost
        assert before.owner(key) == lost or after.owner(key) == before.owner(key)
    assert after.number == 2
    back = after.with_shard(lost)
    assert [back.owner(key) for key in KEYS] == [before.owner(key) for key in KEYS]


def test_keys_spread_evenly_over_the_shards_and_over_the_rest_after_a_loss() -> None:
    shards = ShardMap(1, tuple(f"shard-{n}" for n in range(12)))
    keys = [f"g{n}" for n in range(24_000)]
    parts = shards.assign(keys)
    assert all(1_800 <= len(part) <= 2_200 for part in parts.values())
    taken_over = shards.without("shard-3").assign(parts["shard-3"])
    assert all(120 <= len(part) <= 245 for part in taken_over.values())


def test_the_order_in_which_shards_are_named_does_not_matter() -> None:
    one, other = ShardMap(1, ("a", "b", "c")), ShardMap(1, ("c", "a", "b"))
    assert [one.owner(key) for key in KEYS] == [other.owner(key) for key in KEYS]


def test_of_two_maps_the_one_with_the_higher_number_holds() -> None:
    first = ShardMap(1, ("a", "b"))
    second = first.without("b")
    assert newer(first, second) is second and newer(second, first) is second
    with pytest.raises(ShardMapError, match="different shard maps with number 1"):
        newer(first, ShardMap(1, ("a", "c")))


@pytest.mark.parametrize(
    ("shards", "fault"),
    [
        ((), "map has no shards"),
        (("a", ""), "empty shard name"),
        (("a", "b", "a"), "duplicate shard name: a, a, b"),
    ],
)
def test_a_map_that_can_not_be_used_is_refused_by_what_is_wrong(shards: tuple[str, ...], fault: str) -> None:
    with pytest.raises(ShardMapError, match=fault):
        ShardMap(1, shards)


def test_a_shard_that_is_not_there_can_not_leave() -> None:
    with pytest.raises(ShardMapError, match="no such shard: c; there are a, b"):
        ShardMap(1, ("a", "b")).without("c")


def test_shards_with_long_names_that_differ_late_share_the_keys() -> None:
    shards = tuple("s" * 70 + end for end in "abc")
    assigned = ShardMap(1, shards).assign(f"g{n}" for n in range(300))
    assert min(map(len, assigned.values())) >= 60
