"""Heads and bodies of HTTP/1.1 messages."""

from __future__ import annotations

import re
from collections.abc import Mapping
from dataclasses import dataclass, field

TOKEN = re.compile(rb"[!#$%&'*+\-.^_`|~0-9A-Za-z]+\Z")
DIGITS = re.compile(r"[0-9]{1,15}\Z")
BLANK = b"\r\n\r\n"
HEX = re.compile(rb"[0-9A-Fa-f]{1,8}\Z")


class Malformed(Exception):
    """The bytes are no HTTP/1.1 message; ``status`` is the answer where there is one to give."""

    def __init__(self, reason: str, status: int = 400) -> None:
        super().__init__(reason)
        self.status = status


@dataclass(frozen=True, slots=True)
class Headers:
    """Header fields by lower-case name; ``doubled`` names those that came more than once."""

    values: Mapping[str, str] = field(default_factory=dict)
    doubled: frozenset[str] = frozenset()

    def get(self, name: str, default: str = "") -> str:
        """A field's value."""
        return self.values.get(name.lower(), default)

    def __contains__(self, name: str) -> bool:
        return name.lower() in self.values

    @property
    def closes(self) -> bool:
        """Whether the other side says that it ends the connection after this message."""
        return "close" in [part.strip().lower() for part in self.get("connection").split(",")]


def parse_head(head: bytes, optional: frozenset[str] = frozenset()) -> tuple[bytes, Headers]:
    """Split a head without its closing blank line into the first line and the fields.

    An optional field (named in lower case) whose value can't be read is left out; another one is a fault.
    """
    first, *lines = head.split(b"\r\n")
    values: dict[str, str] = {}
    doubled: set[str] = set()
    for line in lines:
        name, colon, value = line.partition(b":")
        if not colon or not TOKEN.match(name):
            raise Malformed("a header field without a name")
        value = value.strip(b" \t")
        key = name.decode("ascii").lower()
        if any(c < 32 and c != 9 or c == 127 for c in value):
            if key in optional:
                continue
            raise Malformed("a control character in a header field")
        if key in values:
            doubled.add(key)
        values[key] = value.decode("latin-1")
    return first, Headers(values, frozenset(doubled))


def content_length(headers: Headers) -> int | None:
    """The stated length of the body, if any."""
    if "content-length" not in headers:
        return None
    text = headers.get("content-length")
    if "content-length" in headers.doubled or not DIGITS.match(text):
        raise Malformed("no sensible Content-Length")
    return int(text)


def write_head(first: str, headers: Mapping[str, str]) -> bytes:
    """Encode a first line and fields."""
    lines = [first, *(f"{name}: {value}" for name, value in headers.items()), "", ""]
    return "\r\n".join(lines).encode("latin-1")


class HeadBuffer:
    """Gathers bytes until a head is whole."""

    def __init__(self, limit: int) -> None:
        self.data = bytearray()
        self._limit, self._looked = limit, 0

    def take_head(self) -> bytes | None:
        """Cut off the head, without its blank line, once it is there."""
        at = self.data.find(BLANK, max(self._looked - 3, 0))
        if at < 0:
            self._looked = len(self.data)
            # The blank line may have begun in the last bytes: the verdict must not hang on the cut.
            begun = next(n for n in (3, 2, 1, 0) if self.data.endswith(BLANK[:n]))
            if self._looked - begun > self._limit:
                raise Malformed("the head is too long", 431)
            return None
        if at > self._limit:
            raise Malformed("the head is too long", 431)
        head = bytes(self.data[:at])
        del self.data[: at + 4]
        self._looked = 0
        return head
