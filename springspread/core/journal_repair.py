"""How a journal's records are laid out, and which parts of a damaged file still are some. No I/O.

Theory of operation. A file is frames, one after the other: a length, a checksum, a payload. Reading goes on
from a frame that can't be read by the first of these that holds:

    what is found                                  then
    the beginning of a record that goes on         it is the tail, torn as a process was killed: nothing of it
    beyond the end, of a length that fits it       counts, and it is not looked into
    at the length that it claims stands a frame    that one is damaged, and reading goes on behind it
    that can be read, or the file ends there
    further on, at any byte, two frames in a row   everything up to there is damaged, and reading goes on
    can be read, or one that ends the file
    none of these                                  the rest is damaged

A torn record's own body is never looked into, as a client wrote it: bytes in it that look like a record are
none. The search is bounded by the bytes that it may check.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from struct import Struct
from zlib import crc32

HEAD = Struct("<II")
TAKEN = Struct("<cIdiBBHI")
BEGUN = Struct("<cIB")  # and *not run*
ENDING = Struct("<cIBd")
OVER = Struct("<cI")
POLICY = Struct("<I")
SIZES = {ord("B"): BEGUN.size, ord("N"): BEGUN.size, ord("E"): ENDING.size, ord("O"): OVER.size}
SEARCH_BYTES = 64 << 20


@dataclass(frozen=True, slots=True)
class Range:
    """Bytes of a file that can't be read, and the ids of messages whose *taken* they seem to hold."""

    start: int
    end: int
    ids: tuple[str, ...] = ()


class Reader:
    """Goes through a file's bytes once: payloads that can be read, each with its place, and damaged ranges.

    ``end``, as far as it has come: behind the last of them lies nothing but a torn tail.
    """

    def __init__(self, data: bytes) -> None:
        self._data, self._budget = data, [SEARCH_BYTES]
        self.end = 0

    def __iter__(self) -> Iterator[tuple[int, bytes] | Range]:
        data, at = self._data, 0
        while at < len(data):
            payload = _frame(data, at)
            if payload is not None:
                self.end = at + HEAD.size + len(payload)
                yield at, payload
            else:
                if _torn(data, at):
                    return
                self.end = _behind(data, at, self._budget)
                yield Range(at, self.end, _ids(data[at : self.end]))
            at = self.end


def _size(data: bytes, at: int) -> int:
    return int.from_bytes(data[at : at + 4], "little")


def _frame(data: bytes, at: int) -> bytes | None:
    """The payload of the frame that stands at a place; ``None`` where none can be read."""
    if at + HEAD.size > len(data):
        return None
    size, check = HEAD.unpack_from(data, at)
    payload = data[at + HEAD.size : at + HEAD.size + size]
    return payload if len(payload) == size and size and crc32(payload) == check else None


def _torn(data: bytes, at: int) -> bool:
    """Whether a record begins here, as it was written, and goes on beyond the end."""
    if at + HEAD.size + TAKEN.size > len(data) and at + HEAD.size >= len(data):
        return True
    return at + HEAD.size + _size(data, at) > len(data) and _fits(data, at)


def _fits(data: bytes, at: int) -> bool:
    """Whether a frame's length is one that its kind may have, as far as its beginning is there."""
    size, kind = _size(data, at), data[at + HEAD.size]
    if kind != ord("T"):
        return size == SIZES.get(kind, 0)
    if at + HEAD.size + TAKEN.size > len(data):
        return True
    *_, cls, name, body = TAKEN.unpack_from(data, at + HEAD.size)
    return size - TAKEN.size - int(cls) - int(name) - int(body) in (0, POLICY.size)


def _behind(data: bytes, at: int, budget: list[int]) -> int:
    """Where reading goes on behind a frame that can't be read."""
    claimed = at + HEAD.size + _size(data, at)
    if claimed == len(data) or _frame(data, claimed) is not None:
        return claimed
    for place in range(at + 1, len(data) - HEAD.size):
        size = _size(data, place)
        if place + HEAD.size + size > len(data) or not _fits(data, place):
            continue
        budget[0] -= size
        if budget[0] < 0:
            break
        if _frame(data, place) is not None:
            after = place + HEAD.size + size
            if after == len(data) or _frame(data, after) is not None:
                return place
    return len(data)


def _ids(data: bytes) -> tuple[str, ...]:
    """The id in a damaged *taken*, where it can be made out."""
    if len(data) < HEAD.size + TAKEN.size or data[HEAD.size] != ord("T"):
        return ()
    *_, cls, name, _ = TAKEN.unpack_from(data, HEAD.size)
    begin = HEAD.size + TAKEN.size + cls
    text = data[begin : begin + name].decode("latin-1")
    return (text,) if text and len(text) == name and text.isascii() and text.isprintable() else ()
