"""The server side of a connection: parses requests from the bytes fed, encodes the answers to them."""

from __future__ import annotations

import re
from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum

from springspread.config import Limits
from springspread.http1.message import HeadBuffer, Headers, Malformed, content_length, parse_head, write_head

REASONS = {
    200: "OK",
    202: "Accepted",
    400: "Bad Request",
    404: "Not Found",
    405: "Method Not Allowed",
    408: "Request Timeout",
    409: "Conflict",
    411: "Length Required",
    413: "Content Too Large",
    431: "Request Header Fields Too Large",
    500: "Internal Server Error",
    503: "Service Unavailable",
    505: "HTTP Version Not Supported",
}


VISIBLE = re.compile(rb"[!-~]+\Z")  # control characters in a target allow request smuggling
BODILESS = (b"GET", b"HEAD", b"DELETE", b"OPTIONS", b"TRACE")
"""Methods whose requests need no Content-Length where they have no body."""


class Phase(Enum):
    """State of a connection."""

    IDLE = "idle"  # no byte of a request has arrived
    READING = "reading"
    ANSWERING = "answering"
    CLOSED = "closed"


@dataclass(frozen=True, slots=True)
class Request:
    """One complete request."""

    method: str
    path: str
    headers: Headers
    body: bytes


class ServerConnection:
    """State machine of one connection: idle, reading, answering, closed. Pipelined bytes are buffered."""

    def __init__(self, limits: Limits) -> None:
        self._limits = limits
        self._buffer = HeadBuffer(limits.head_bytes, limits.head_fields)
        self._head: tuple[str, str, Headers, int] | None = None
        self._close_after = False
        self.phase = Phase.IDLE

    def feed(self, data: bytes) -> Request | None:
        """Process received bytes; returns a request once it is complete. Raises ``Malformed``."""
        if self.phase is Phase.CLOSED:
            return None
        self._buffer.data += data
        if self.phase is Phase.ANSWERING:
            # Bounds the memory that a client can use by pipelining.
            if len(self._buffer.data) > self._limits.head_bytes + self._limits.body_bytes:
                raise self._fail(Malformed("too many bytes pipelined"))
            return None
        return self._advance()

    def _advance(self) -> Request | None:
        if self._head is None:
            while self._buffer.data[:2] == b"\r\n":  # RFC 9112, 2.2: blank lines ahead of a request
                del self._buffer.data[:2]
            if self._buffer.data in (bytearray(), bytearray(b"\r")):
                return None  # a CR may be half of a blank line: wait for the next byte
            self.phase = Phase.READING
            try:
                if not self._buffer.data[:1].isalpha():
                    raise Malformed("invalid request line")  # rejected before a line ends
                head = self._buffer.take_head()
                if head is None:
                    return None
                self._head = self._parse_head(head)
            except Malformed as exc:
                raise self._fail(exc) from None
        method, path, headers, size = self._head
        if len(self._buffer.data) < size:
            return None
        body = bytes(self._buffer.data[:size])
        del self._buffer.data[:size]
        self._head, self.phase = None, Phase.ANSWERING
        return Request(method, path, headers, body)

    def _parse_head(self, head: bytes) -> tuple[str, str, Headers, int]:
        first, headers = parse_head(head)
        parts = first.split(b" ")
        if len(parts) != 3 or not parts[0].isalpha() or not VISIBLE.match(parts[1]):
            raise Malformed("invalid request line")
        if not parts[2].startswith(b"HTTP/"):
            raise Malformed("invalid request line")
        if parts[2] not in (b"HTTP/1.1", b"HTTP/1.0"):
            raise Malformed("unsupported HTTP version", 505)
        if "transfer-encoding" in headers or "host" in headers.doubled:
            raise Malformed("Transfer-Encoding in a request, or more than one Host")
        size = content_length(headers)
        if size is None and parts[0] not in BODILESS and self._limits.length_required:
            raise Malformed("Content-Length required", 411)
        size = size or 0
        if size > self._limits.body_bytes:
            raise Malformed("body too long", 413)
        http_1_0 = parts[2] == b"HTTP/1.0" and headers.get("connection").lower() != "keep-alive"
        self._close_after = headers.closes or http_1_0
        return parts[0].decode("ascii"), parts[1].decode("latin-1"), headers, size

    def _fail(self, exc: Malformed) -> Malformed:
        self.phase, self._close_after = Phase.ANSWERING, True
        self._buffer.data.clear()
        return exc

    @property
    def buffered(self) -> int:
        """How many bytes of an incomplete request are buffered."""
        return len(self._buffer.data)

    def expire(self) -> None:
        """Abandon a request that arrives too slowly; it may still be answered with an error."""
        self._fail(Malformed("request timeout", 408))

    def answer(
        self,
        status: int,
        headers: Mapping[str, str] | None = None,
        *,
        close: bool = False,
        body: bytes = b"",
    ) -> bytes:
        """Encode the answer to the current request."""
        if self.phase is not Phase.ANSWERING:
            raise ValueError(f"no request to answer: the connection is {self.phase.value}")
        close = close or self._close_after
        fields = {"Content-Length": str(len(body)), **(headers or {})}
        if close:
            fields["Connection"] = "close"
        self.phase = Phase.CLOSED if close else Phase.IDLE
        return write_head(f"HTTP/1.1 {status} {REASONS.get(status, 'Unknown')}", fields) + body

    def resume(self) -> Request | None:
        """Process bytes that were pipelined behind the last request."""
        return self._advance() if self.phase is Phase.IDLE and self._buffer.data else None
