"""Parsing and encoding of HTTP/1.1 message heads."""

from __future__ import annotations

import re
from collections.abc import Mapping
from dataclasses import dataclass, field

CONTROL = re.compile(rb"[\x00-\x08\x0a-\x1f\x7f]")
TOKEN = re.compile(rb"[!#$%&'*+\-.^_`|~0-9A-Za-z]+\Z")
DIGITS = re.compile(r"[0-9]{1,15}\Z")
HEAD_END = b"\r\n\r\n"
CHUNK_SIZE = re.compile(rb"[0-9A-Fa-f]{1,8}\Z")


class Malformed(Exception):
    """The bytes are not a valid HTTP/1.1 message; ``status`` is the error to answer with."""

    def __init__(self, reason: str, status: int = 400) -> None:
        super().__init__(reason)
        self.status = status


@dataclass(frozen=True, slots=True)
class Headers:
    """Header fields by lower-case name; ``doubled`` names those that occur more than once."""

    values: Mapping[str, str] = field(default_factory=dict)
    doubled: frozenset[str] = frozenset()

    def get(self, name: str, default: str = "") -> str:
        """The value of a field."""
        return self.values.get(name.lower(), default)

    def __contains__(self, name: str) -> bool:
        return name.lower() in self.values

    @property
    def closes(self) -> bool:
        """Whether the message carries ``Connection: close``."""
        return "close" in [part.strip().lower() for part in self.get("connection").split(",")]


def parse_head(head: bytes, optional: frozenset[str] = frozenset()) -> tuple[bytes, Headers]:
    """Split a head, without its closing blank line, into the first line and the fields.

    An ``optional`` field (lower-case name) with an invalid value is dropped; any other raises ``Malformed``.
    """
    first, *lines = head.split(b"\r\n")
    values: dict[str, str] = {}
    doubled: set[str] = set()
    for line in lines:
        name, colon, value = line.partition(b":")
        if not colon or not TOKEN.match(name):
            raise Malformed("header field without a valid name")
        value = value.strip(b" \t")
        key = name.decode("ascii").lower()
        if CONTROL.search(value):
            if key in optional:
                continue
            raise Malformed("control character in a header field")
        if key in values:
            doubled.add(key)
        values[key] = value.decode("latin-1")
    return first, Headers(values, frozenset(doubled))


def content_length(headers: Headers) -> int | None:
    """The Content-Length, if there is one."""
    if "content-length" not in headers:
        return None
    text = headers.get("content-length")
    if "content-length" in headers.doubled or not DIGITS.match(text):
        raise Malformed("invalid Content-Length")
    return int(text)


def write_head(first: str, headers: Mapping[str, str]) -> bytes:
    """Encode a first line and header fields."""
    lines = [first, *(f"{name}: {value}" for name, value in headers.items()), "", ""]
    return "\r\n".join(lines).encode("latin-1")


class HeadBuffer:
    """Collects bytes until a head is complete; it has at most ``limit`` bytes and ``max_fields`` fields."""

    def __init__(self, limit: int, max_fields: int) -> None:
        self.data = bytearray()
        self._limit, self._max_fields = limit, max_fields
        self._searched = 0

    def take_head(self) -> bytes | None:
        """Remove and return the head, without its blank line, once it is complete."""
        end = self.data.find(HEAD_END, max(self._searched - 3, 0))
        if end < 0:
            self._searched = len(self.data)
            # The end may hold part of the blank line: the result must not depend on how data is split.
            partial = next(n for n in (3, 2, 1, 0) if self.data.endswith(HEAD_END[:n]))
            if self._searched - partial > self._limit:
                raise Malformed("head too long", 431)
            return None
        if end > self._limit:
            raise Malformed("head too long", 431)
        head = bytes(self.data[:end])
        if head.count(b"\r\n") > self._max_fields:  # before any of them costs time
            raise Malformed(f"over {self._max_fields} header fields", 431)
        del self.data[: end + 4]
        self._searched = 0
        return head
