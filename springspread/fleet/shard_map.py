"""Assigns limits to allocators by rendezvous hashing. No I/O.

Every process computes the same owner of a key from the map alone. When a shard leaves, its keys spread
evenly over the others; no other key moves. Of two maps the one with the higher number is valid.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from hashlib import blake2b

MAX_KEY_SIZE = blake2b.MAX_KEY_SIZE  # of the hash


class ShardMapError(ValueError):
    """Raised for an invalid map, with the reason."""


@dataclass(frozen=True, slots=True)
class ShardMap:
    """A numbered list of shards. Raises ``ShardMapError`` if it is empty or a name is empty or duplicate."""

    number: int
    shards: tuple[str, ...]

    def __post_init__(self) -> None:
        if not self.shards:
            raise ShardMapError("shard map has no shards")
        if "" in self.shards:
            raise ShardMapError("empty shard name")
        if len(set(self.shards)) < len(self.shards):
            raise ShardMapError(f"duplicate shard name: {', '.join(sorted(self.shards))}")

    def owner(self, key: str) -> str:
        """The shard of a key: the one with the highest weight for it (rendezvous hashing)."""
        return max(self.shards, key=lambda shard: (_weight(shard, key), shard))

    def without(self, shard: str) -> ShardMap:
        """The next map, without a shard; raises ``ShardMapError`` if it is not in this one."""
        if shard not in self.shards:
            raise ShardMapError(f"no such shard: {shard}; there are {', '.join(self.shards)}")
        return ShardMap(self.number + 1, tuple(one for one in self.shards if one != shard))

    def with_shard(self, shard: str) -> ShardMap:
        """The next map, with another shard."""
        return ShardMap(self.number + 1, (*self.shards, shard))

    def assign(self, keys: Iterable[str]) -> dict[str, list[str]]:
        """The keys of each shard, in the given order."""
        assigned: dict[str, list[str]] = {shard: [] for shard in self.shards}
        for key in keys:
            assigned[self.owner(key)].append(key)
        return assigned


def newer(current: ShardMap, received: ShardMap) -> ShardMap:
    """The valid one of two maps; raises ``ShardMapError`` if they differ but have the same number."""
    if current.number == received.number and set(current.shards) != set(received.shards):
        raise ShardMapError(f"different shard maps with number {current.number}")
    return received if received.number > current.number else current


def _weight(shard: str, key: str) -> int:
    name = shard.encode()
    if len(name) > MAX_KEY_SIZE:
        name = blake2b(name).digest()
    return int.from_bytes(blake2b(key.encode(), key=name, digest_size=8).digest(), "big")
