"""The client side of a connection: one request, its answer parsed from the bytes fed."""

from __future__ import annotations

import re
from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum

from springspread.config import Limits
from springspread.http1.message import (
    CHUNK_SIZE,
    HeadBuffer,
    Headers,
    Malformed,
    content_length,
    parse_head,
    write_head,
)

PROTOCOL = b"HTTP/1."
STATUS_LINE = re.compile(rb"HTTP/1\.[01] [0-9]{3}(?:[ \r]|\Z)")
MAX_STATUS_LINE = 256
STATUS_PREFIX = 13  # bytes: the version, the code and the delimiter


class Phase(Enum):
    """State of a connection."""

    IDLE = "idle"
    HEAD = "head"
    BODY = "body"
    CLOSED = "closed"


@dataclass(frozen=True, slots=True)
class Answer:
    """One complete answer."""

    status: int
    headers: Headers
    body: bytes


class ClientConnection:
    """State machine of one connection: idle, reading a head, reading a body, closed. It takes one request.

    ``optional`` names header fields that are dropped where their value is invalid.
    """

    def __init__(self, limits: Limits, optional: frozenset[str] = frozenset()) -> None:
        self._limits, self._optional = limits, optional
        self._interim_answers = 0
        self.status = 0  # of the answer being read; 0 until its status line is complete
        self._buffer = HeadBuffer(limits.head_bytes, limits.head_fields)
        self._body = bytearray()
        self._answer: tuple[int, Headers] = (0, Headers())
        self._remaining: int | None = None  # bytes of the body or chunk; None: until the connection ends
        self._chunked = self._trailer = False
        self.phase = Phase.IDLE

    def request(self, method: str, target: str, headers: Mapping[str, str], body: bytes = b"") -> bytes:
        """Begin the request and return the bytes to write; raises ``ValueError`` if it was begun before."""
        if self.phase is not Phase.IDLE:
            raise ValueError(f"a connection carries one request, and this one is {self.phase.value}")
        self.phase = Phase.HEAD
        fields = dict(headers)
        if body or method == "POST":
            fields["Content-Length"] = str(len(body))
        return write_head(f"{method} {target} HTTP/1.1", fields) + body

    @property
    def answer_begun(self) -> bool:
        """Whether part of the answer has arrived, not counting interim (1xx) answers."""
        return self.phase is Phase.BODY or (self.phase is Phase.HEAD and bool(self._buffer.data))

    def abandon(self) -> None:
        """Stop reading an answer that does not end."""
        self.phase = Phase.CLOSED

    def feed(self, data: bytes) -> Answer | None:
        """Process received bytes; returns the answer once it is complete. Raises ``Malformed``."""
        if self.phase in (Phase.IDLE, Phase.CLOSED):
            self.phase = Phase.CLOSED
            raise Malformed("unexpected bytes: no request is in progress")
        self._buffer.data += data
        try:
            while self.phase is Phase.HEAD:
                self._read_status()
                head = self._buffer.take_head()
                if head is None:
                    return None
                self._begin_answer(head)
            return self._read_body()
        except Malformed:
            self.phase = Phase.CLOSED
            raise

    def end(self) -> Answer | None:
        """Process the end of the connection; returns the answer if its body ends that way."""
        complete = self.phase is Phase.BODY and self._remaining is None and not self._chunked
        self.phase = Phase.CLOSED
        return Answer(*self._answer, bytes(self._body)) if complete else None

    def _read_status(self) -> None:
        """Read the status once its line is complete; rejects bytes that can't begin a status line at once."""
        if self.status or not self._buffer.data:
            return
        line, end, _ = bytes(self._buffer.data[:MAX_STATUS_LINE]).partition(b"\r\n")
        if len(line) >= STATUS_PREFIX or end:
            if not STATUS_LINE.match(line):
                raise Malformed("invalid status line")
            # An incomplete line carries no status: the message's outcome must not depend on a truncated line.
            self.status = int(line[9:12]) if end else 0
        elif not PROTOCOL.startswith(line[: len(PROTOCOL)]):
            raise Malformed("invalid status line")

    def _begin_answer(self, head: bytes) -> None:
        first, headers = parse_head(head, self._optional)
        if not STATUS_LINE.match(first):
            raise Malformed("invalid status line")
        status = int(first[9:12])
        if 100 <= status < 200:
            # Endless interim answers would occupy the call until its deadline.
            self._interim_answers += 1
            if status == 101 or self._interim_answers > self._limits.interim_answers:
                raise Malformed("protocol switch, or too many interim answers")
            self.status = 0
            return
        self._answer = (status, headers)
        self._chunked = headers.get("transfer-encoding").lower() == "chunked"
        if "transfer-encoding" in headers and (not self._chunked or "content-length" in headers):
            raise Malformed("unsupported Transfer-Encoding, or one beside a Content-Length")
        empty = status in (204, 304)
        self._remaining = 0 if empty or self._chunked else content_length(headers)
        self._chunked = self._chunked and not empty
        self._trailer = False
        self._check_size(self._remaining or 0)
        self.phase = Phase.BODY

    def _read_body(self) -> Answer | None:
        if self._chunked:
            if not self._read_chunks():
                return None
        else:
            self._read_sized()
            if self._remaining is None or self._remaining:
                return None
        # What else arrives belongs to no request.
        self.phase = Phase.CLOSED
        return Answer(*self._answer, bytes(self._body))

    def _check_size(self, size: int) -> None:
        if size > self._limits.answer_bytes:
            raise Malformed(
                f"answer body too long: {size} bytes or more, {self._limits.answer_bytes} at most"
            )

    def _read_sized(self) -> None:
        size = len(self._buffer.data) if self._remaining is None else self._remaining
        data = self._buffer.data[:size]
        del self._buffer.data[:size]
        self._body += data
        if self._remaining is not None:
            self._remaining -= len(data)
        self._check_size(len(self._body))

    def _read_chunks(self) -> bool:
        while True:
            if self._remaining is not None and self._remaining > 0:
                self._read_sized()
                if self._remaining:
                    return False
                self._remaining = -1  # the line end after a chunk's data
            end = self._buffer.data.find(b"\r\n")
            if end < 0:
                if len(self._buffer.data) > self._limits.head_bytes:
                    raise Malformed("chunk size or trailer line too long")
                return False
            line = bytes(self._buffer.data[:end])
            del self._buffer.data[: end + 2]
            if self._trailer:
                if not line:
                    return True
            elif self._remaining == -1:
                if line:
                    raise Malformed("chunk longer than its stated size")
                self._remaining = 0
            else:
                size = line.partition(b";")[0].strip()
                if not CHUNK_SIZE.match(size):
                    raise Malformed("invalid chunk size")
                self._remaining = int(size, 16)
                self._trailer = self._remaining == 0
