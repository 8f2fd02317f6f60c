"""Rendezvous hashing: removing a shard moves only its keys, and keys are evenly distributed."""

from __future__ import annotations

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from springspread.fleet.shard_map import ShardMap, ShardMapError, newer

NAMES = st.lists(st.text("abcdefgh0123", min_size=1, max_size=6), min_size=2, max_size=12, unique=True)
KEYS = [f"g{n}" for n in range(300)]


@given(names=NAMES, data=st.data())
@settings(max_examples=60, deadline=None, derandomize=True, database=None)
def test_removed_shard_moves_only_its_keys(names: list[str], data: st.DataObject) -> None:
    before = ShardMap(1, tuple(names))
    removed = data.draw(st.sampled_from(names))
    after = before.without(removed)
    for key in KEYS:
        assert after.owner(key) != removed
        assert before.owner(key) == removed or after.owner(key) == before.owner(key)
    assert after.number == 2
    restored = after.with_shard(removed)
    assert [restored.owner(key) for key in KEYS] == [before.owner(key) for key in KEYS]


def test_keys_are_evenly_distributed() -> None:
    shards = ShardMap(1, tuple(f"shard-{n}" for n in range(12)))
    keys = [f"g{n}" for n in range(24_000)]
    parts = shards.assign(keys)
    assert all(1_800 <= len(part) <= 2_200 for part in parts.values())
    reassigned = shards.without("shard-3").assign(parts["shard-3"])
    assert all(120 <= len(part) <= 245 for part in reassigned.values())


def test_order_of_shards_does_not_matter() -> None:
    one, other = ShardMap(1, ("a", "b", "c")), ShardMap(1, ("c", "a", "b"))
    assert [one.owner(key) for key in KEYS] == [other.owner(key) for key in KEYS]


def test_map_with_higher_number_is_valid() -> None:
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
def test_invalid_map_is_refused(shards: tuple[str, ...], fault: str) -> None:
    with pytest.raises(ShardMapError, match=fault):
        ShardMap(1, shards)


def test_unknown_shard_cannot_be_removed() -> None:
    with pytest.raises(ShardMapError, match="no such shard: c; there are a, b"):
        ShardMap(1, ("a", "b")).without("c")


def test_long_names_with_common_prefix_share_keys() -> None:
    shards = tuple("s" * 70 + end for end in "abc")
    assigned = ShardMap(1, shards).assign(f"g{n}" for n in range(300))
    assert min(map(len, assigned.values())) >= 60
