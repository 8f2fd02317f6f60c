"""Splits entries with keys into chunks that each fit one message and one line. No I/O."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import TypeVar

import msgspec

from springspread.fleet.messages import LINE_BYTES, MAX_KEYS

COUNT_BYTES = 22  # a count and the punctuation up to the next key
ENTRY_BYTES = 128  # an array of a key and at most four numbers, without the key
CHUNK_BYTES = LINE_BYTES // 4  # a message has at most three lists of keys

Entry = TypeVar("Entry")


def key_bytes(key: str) -> int:
    """The encoded size of a key."""
    return len(msgspec.json.encode(key))


def chunked(
    entries: Iterable[Entry], key_of: Callable[[Entry], str], entry_bytes: int = ENTRY_BYTES
) -> list[list[Entry]]:
    """Chunks of at most ``MAX_KEYS`` entries and ``CHUNK_BYTES``, adding ``entry_bytes`` to each key."""
    chunks: list[list[Entry]] = []
    size = 0
    for entry in entries:
        entry_size = key_bytes(key_of(entry)) + entry_bytes
        if not chunks or len(chunks[-1]) >= MAX_KEYS or size + entry_size > CHUNK_BYTES:
            chunks.append([])
            size = 0
        chunks[-1].append(entry)
        size += entry_size
    return chunks
