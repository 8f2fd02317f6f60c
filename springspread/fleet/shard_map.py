"""Which allocator decides on which limit, by rendezvous hashing. No I/O.

Every process computes the same owner of a key from the map alone. A shard that leaves loses its own keys,
which spread evenly over the others; no other key moves. A map has a number: of two maps the higher one
holds.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from hashlib import blake2b

MAX_KEY_SIZE = blake2b.MAX_KEY_SIZE  # of the hash


class ShardMapError(ValueError):
    """A map that can't be used; the text says why."""


@dataclass(frozen=True, slots=True)
class ShardMap:
    """The shards of one number. Raises ``ShardMapError`` for none, an empty or a doubled name."""

    number: int
    shards: tuple[str, ...]

    def __post_init__(self) -> None:
        if not self.shards:
            raise ShardMapError("a shard map needs a shard")
        if "" in self.shards:
            raise ShardMapError("a shard needs a name")
        if len(set(self.shards)) < len(self.shards):
            raise ShardMapError(f"a shard is named twice: {', '.join(sorted(self.shards))}")

    def owner(self, key: str) -> str:
        """The shard of a key: the one with the highest weight for it (rendezvous hashing)."""
        return max(self.shards, key=lambda shard: (_weight(shard, key), shard))

    def without(self, shard: str) -> ShardMap:
        """The next map, with one shard fewer; raises ``ShardMapError`` where it is not there."""
        if shard not in self.shards:
            raise ShardMapError(f"no such shard: {shard}; there are {', '.join(self.shards)}")
        return ShardMap(self.number + 1, tuple(one for one in self.shards if one != shard))

    def with_shard(self, shard: str) -> ShardMap:
        """The next map, with one shard more."""
        return ShardMap(self.number + 1, (*self.shards, shard))

    def assign(self, keys: Iterable[str]) -> dict[str, list[str]]:
        """The keys of each shard, in the order given."""
        made: dict[str, list[str]] = {shard: [] for shard in self.shards}
        for key in keys:
            made[self.owner(key)].append(key)
        return made


def newer(held: ShardMap, received: ShardMap) -> ShardMap:
    """Which of two maps holds; raises ``ShardMapError`` for two that differ under one number."""
    if held.number == received.number and set(held.shards) != set(received.shards):
        raise ShardMapError(f"two maps have the number {held.number}")
    return received if received.number > held.number else held


def _weight(shard: str, key: str) -> int:
    name = shard.encode()
    if len(name) > MAX_KEY_SIZE:
        name = blake2b(name).digest()
    return int.from_bytes(blake2b(key.encode(), key=name, digest_size=8).digest(), "big")
