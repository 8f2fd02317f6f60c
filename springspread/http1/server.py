"""A client's connection, seen from here: fed bytes, it tells requests; told answers, it gives bytes."""

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


VISIBLE = re.compile(rb"[!-~]+\Z")  # a control character in a target is how two requests are made of one
BODILESS = (b"GET", b"HEAD", b"DELETE", b"OPTIONS", b"TRACE")
"""The methods whose requests may leave out the length of a body that is not there."""


class Phase(Enum):
    """Where a connection stands."""

    IDLE = "idle"  # nothing of a request has come
    READING = "reading"
    ANSWERING = "answering"
    CLOSED = "closed"


@dataclass(frozen=True, slots=True)
class Request:
    """One request, whole."""

    method: str
    path: str
    headers: Headers
    body: bytes


class ServerConnection:
    """States: idle, reading, answering, closed. Bytes that come early wait for their turn."""

    def __init__(self, limits: Limits) -> None:
        self._limits = limits
        self._buffer = HeadBuffer(limits.head_bytes)
        self._head: tuple[str, str, Headers, int] | None = None
        self._closes = False
        self.phase = Phase.IDLE

    def feed(self, data: bytes) -> Request | None:
        """Take in bytes; a request that is whole comes back. Raises ``Malformed``."""
        if self.phase is Phase.CLOSED:
            return None
        self._buffer.data += data
        if self.phase is Phase.ANSWERING:
            # Guards memory: a client that sends on while it waits is no client of this protocol.
            if len(self._buffer.data) > self._limits.head_bytes + self._limits.body_bytes:
                raise self._broken(Malformed("too much sent ahead"))
            return None
        return self._advance()

    def _advance(self) -> Request | None:
        if self._head is None:
            while self._buffer.data[:2] == b"\r\n":  # RFC 9112, 2.2: blank lines ahead of a request
                del self._buffer.data[:2]
            if self._buffer.data in (bytearray(), bytearray(b"\r")):
                return None  # perhaps the first half of such a line: the verdict must not hang on the cut
            self.phase = Phase.READING
            try:
                if not self._buffer.data[:1].isalpha():
                    raise Malformed("no request line")  # noise shows at once
                head = self._buffer.take_head()
                if head is None:
                    return None
                self._head = self._read(head)
            except Malformed as exc:
                raise self._broken(exc) from None
        method, path, headers, size = self._head
        if len(self._buffer.data) < size:
            return None
        body = bytes(self._buffer.data[:size])
        del self._buffer.data[:size]
        self._head, self.phase = None, Phase.ANSWERING
        return Request(method, path, headers, body)

    def _read(self, head: bytes) -> tuple[str, str, Headers, int]:
        first, headers = parse_head(head)
        parts = first.split(b" ")
        if len(parts) != 3 or not parts[0].isalpha() or not VISIBLE.match(parts[1]):
            raise Malformed("no request line")
        if not parts[2].startswith(b"HTTP/"):
            raise Malformed("no request line")
        if parts[2] not in (b"HTTP/1.1", b"HTTP/1.0"):
            raise Malformed("another version of HTTP", 505)
        if "transfer-encoding" in headers or "host" in headers.doubled:
            raise Malformed("a body of unknown length, or two hosts")
        size = content_length(headers)
        if size is None and parts[0] not in BODILESS and self._limits.length_required:
            raise Malformed("a body of no stated length", 411)
        size = size or 0
        if size > self._limits.body_bytes:
            raise Malformed("the body is too long", 413)
        old = parts[2] == b"HTTP/1.0" and headers.get("connection").lower() != "keep-alive"
        self._closes = headers.closes or old
        return parts[0].decode("ascii"), parts[1].decode("latin-1"), headers, size

    def _broken(self, exc: Malformed) -> Malformed:
        self.phase, self._closes = Phase.ANSWERING, True
        self._buffer.data.clear()
        return exc

    @property
    def kept(self) -> int:
        """How many bytes are kept of a request that is not whole."""
        return len(self._buffer.data)

    def expire(self) -> None:
        """Give up a request that came too slowly; it may still be answered."""
        self._broken(Malformed("too slow", 408))

    def answer(
        self,
        status: int,
        headers: Mapping[str, str] | None = None,
        *,
        close: bool = False,
        body: bytes = b"",
    ) -> bytes:
        """Answer the request that is being answered."""
        if self.phase is not Phase.ANSWERING:
            raise ValueError(f"no request to answer: the connection is {self.phase.value}")
        close = close or self._closes
        fields = {"Content-Length": str(len(body)), **(headers or {})}
        if close:
            fields["Connection"] = "close"
        self.phase = Phase.CLOSED if close else Phase.IDLE
        return write_head(f"HTTP/1.1 {status} {REASONS.get(status, 'Unknown')}", fields) + body

    def resume(self) -> Request | None:
        """Look at what came ahead while the last request was answered."""
        return self._advance() if self.phase is Phase.IDLE and self._buffer.data else None
