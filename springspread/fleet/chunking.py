"""Splits what names keys into parts that each fit one message and one line. No I/O."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import TypeVar

import msgspec

from springspread.fleet.messages import LINE_BYTES, MAX_KEYS

COUNT_BYTES = 22  # a count, and the signs between a key and the next one
ENTRY_BYTES = 128  # an array of a key and at most four numbers, without the key
PART_BYTES = LINE_BYTES // 4  # a message has at most three lists of keys

Entry = TypeVar("Entry")


def key_bytes(key: str) -> int:
    """The bytes of a key as it is written."""
    return len(msgspec.json.encode(key))


def parts(
    entries: Iterable[Entry], key_of: Callable[[Entry], str], entry_bytes: int = ENTRY_BYTES
) -> list[list[Entry]]:
    """Lists of at most ``MAX_KEYS`` entries and ``PART_BYTES`` bytes; each entry adds ``entry_bytes``."""
    made: list[list[Entry]] = []
    size = 0
    for entry in entries:
        more = key_bytes(key_of(entry)) + entry_bytes
        if not made or len(made[-1]) >= MAX_KEYS or size + more > PART_BYTES:
            made.append([])
            size = 0
        made[-1].append(entry)
        size += more
    return made
