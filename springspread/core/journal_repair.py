"""The layout of journal records, and recovery of the readable ones from a damaged file. No I/O.

A file is a sequence of frames: length, checksum, payload. After an unreadable frame, the first matching row
applies:

    condition                                      result
    the start of a record with a plausible length  a tail torn by a kill: it is ignored, and its contents are
    that extends beyond the end of the file        not searched
    its claimed length leads to a readable frame   only this frame is damaged; reading resumes after it
    or to the end of the file
    at a later byte stand two readable frames in   everything before that byte is damaged; reading resumes
    a row, or one that ends the file               there
    none of these                                  the rest of the file is damaged

The body of a torn record is never searched: a client wrote it, and it may contain bytes that look like a
record. The number of bytes that the search may check is bounded.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from struct import Struct
from zlib import crc32

FRAME_HEADER = Struct("<II")
TAKEN = Struct("<cIdiBBHI")
BEGUN = Struct("<cIB")  # also *not run*
ENDING = Struct("<cIBd")
COMPLETED = Struct("<cI")
POLICY = Struct("<I")
HAS_FIELDS = 4  # flag of a *taken* record: optional fields follow the policy
FIELD = Struct("<BH")  # kind and length of an optional field
MAX_FIELDS_BYTES = 1024
RESULT = Struct("<c16s8sB")  # kind, digests of the id and of the content, outcome
FIXED_SIZES = {
    ord("B"): BEGUN.size,
    ord("N"): BEGUN.size,
    ord("E"): ENDING.size,
    ord("O"): COMPLETED.size,
    ord("R"): RESULT.size,
}
MAX_SEARCH_BYTES = 64 << 20


@dataclass(frozen=True, slots=True)
class DamagedRange:
    """An unreadable byte range, and the ids of messages whose *taken* record it appears to contain."""

    start: int
    end: int
    ids: tuple[str, ...] = ()


class RecordReader:
    """Iterates once over a file's bytes: readable payloads with their offsets, and damaged ranges.

    ``end`` is how far it has read; after iteration, only a torn tail lies beyond it.
    """

    def __init__(self, data: bytes) -> None:
        self._data, self._budget = data, [MAX_SEARCH_BYTES]
        self.end = 0

    def __iter__(self) -> Iterator[tuple[int, bytes] | DamagedRange]:
        data, offset = self._data, 0
        while offset < len(data):
            payload = _frame_at(data, offset)
            if payload is not None:
                self.end = offset + FRAME_HEADER.size + len(payload)
                yield offset, payload
            else:
                if _is_torn(data, offset):
                    return
                self.end = _resume_offset(data, offset, self._budget)
                yield DamagedRange(offset, self.end, _recoverable_ids(data[offset : self.end]))
            offset = self.end


def _claimed_length(data: bytes, offset: int) -> int:
    return int.from_bytes(data[offset : offset + 4], "little")


def _frame_at(data: bytes, offset: int) -> bytes | None:
    """The payload of the frame at an offset; ``None`` if it is unreadable."""
    if offset + FRAME_HEADER.size > len(data):
        return None
    size, check = FRAME_HEADER.unpack_from(data, offset)
    payload = data[offset + FRAME_HEADER.size : offset + FRAME_HEADER.size + size]
    return payload if len(payload) == size and size and crc32(payload) == check else None


def _is_torn(data: bytes, offset: int) -> bool:
    """Whether a plausible record starts here and extends beyond the end of the file."""
    if offset + FRAME_HEADER.size + TAKEN.size > len(data) and offset + FRAME_HEADER.size >= len(data):
        return True
    return offset + FRAME_HEADER.size + _claimed_length(data, offset) > len(data) and _has_plausible_length(
        data, offset
    )


def _has_plausible_length(data: bytes, offset: int) -> bool:
    """Whether a frame's length is possible for its kind, as far as its header is present."""
    size, kind = _claimed_length(data, offset), data[offset + FRAME_HEADER.size]
    if kind != ord("T"):
        return size == FIXED_SIZES.get(kind, 0)
    if offset + FRAME_HEADER.size + TAKEN.size > len(data):
        return True
    *_, flags, cls, name, body = TAKEN.unpack_from(data, offset + FRAME_HEADER.size)
    rest = size - TAKEN.size - int(cls) - int(name) - int(body)
    if flags & HAS_FIELDS:
        return POLICY.size + FIELD.size < rest <= POLICY.size + MAX_FIELDS_BYTES
    return rest in (0, POLICY.size)


def _resume_offset(data: bytes, offset: int, budget: list[int]) -> int:
    """Where reading resumes after an unreadable frame."""
    claimed = offset + FRAME_HEADER.size + _claimed_length(data, offset)
    if claimed == len(data) or _frame_at(data, claimed) is not None:
        return claimed
    for candidate in range(offset + 1, len(data) - FRAME_HEADER.size):
        size = _claimed_length(data, candidate)
        if candidate + FRAME_HEADER.size + size > len(data) or not _has_plausible_length(data, candidate):
            continue
        budget[0] -= size
        if budget[0] < 0:
            break
        if _frame_at(data, candidate) is not None:
            after = candidate + FRAME_HEADER.size + size
            if after == len(data) or _frame_at(data, after) is not None:
                return candidate
    return len(data)


def _recoverable_ids(data: bytes) -> tuple[str, ...]:
    """The id in a damaged *taken* record, if it can be recovered."""
    if len(data) < FRAME_HEADER.size + TAKEN.size or data[FRAME_HEADER.size] != ord("T"):
        return ()
    *_, cls, name, _ = TAKEN.unpack_from(data, FRAME_HEADER.size)
    start = FRAME_HEADER.size + TAKEN.size + cls
    text = data[start : start + name].decode("latin-1")
    return (text,) if text and len(text) == name and text.isascii() and text.isprintable() else ()
