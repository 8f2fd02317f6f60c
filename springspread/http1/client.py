"""A connection that this program calls over: one request at a time, its answer read from bytes fed."""

from __future__ import annotations

import re
from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum

from springspread.config import Limits
from springspread.http1.message import (
    HEX,
    HeadBuffer,
    Headers,
    Malformed,
    content_length,
    parse_head,
    write_head,
)

PROTOCOL = b"HTTP/1."
STATUS_LINE = re.compile(rb"HTTP/1\.[01] [0-9]{3}(?:[ \r]|\Z)")
LONGEST_LINE = 256
ENOUGH = 13  # bytes that tell a status line: its version, its code and what follows


class Phase(Enum):
    """Where a connection stands."""

    IDLE = "idle"
    HEAD = "head"
    BODY = "body"
    CLOSED = "closed"


@dataclass(frozen=True, slots=True)
class Answer:
    """One answer, whole."""

    status: int
    headers: Headers
    body: bytes


class ClientConnection:
    """States: idle, reading a head, reading a body, closed.

    ``optional`` names header fields that are left out where they can't be read.
    """

    def __init__(self, limits: Limits, optional: frozenset[str] = frozenset()) -> None:
        self._limits, self._optional = limits, optional
        self._interim = 0
        self.status = 0  # as the first line of the answer says; 0 while that is not known
        self._buffer = HeadBuffer(limits.head_bytes)
        self._body = bytearray()
        self._answer: tuple[int, Headers] = (0, Headers())
        self._left: int | None = None  # of the body or the chunk; None: until the connection ends
        self._chunked = self._trailer = False
        self._keeps = True
        self.phase = Phase.IDLE

    def request(self, method: str, target: str, headers: Mapping[str, str], body: bytes = b"") -> bytes:
        """Begin a request; the bytes to write come back."""
        if self.phase is not Phase.IDLE:
            raise ValueError(f"no new request: the connection is {self.phase.value}")
        self.phase = Phase.HEAD
        self.status = self._interim = 0
        fields = dict(headers)
        if body or method == "POST":
            fields["Content-Length"] = str(len(body))
        return write_head(f"{method} {target} HTTP/1.1", fields) + body

    @property
    def begun(self) -> bool:
        """Whether some of the answer has come, interim ones apart."""
        return self.phase is Phase.BODY or (self.phase is Phase.HEAD and bool(self._buffer.data))

    def give_up(self) -> None:
        """Read no more of an answer that does not end."""
        self.phase = Phase.CLOSED

    def feed(self, data: bytes) -> Answer | None:
        """Take in bytes; an answer that is whole comes back. Raises ``Malformed``."""
        if self.phase in (Phase.IDLE, Phase.CLOSED):
            self.phase = Phase.CLOSED
            raise Malformed("an answer that nobody asked for")
        self._buffer.data += data
        try:
            while self.phase is Phase.HEAD:
                self._look()
                head = self._buffer.take_head()
                if head is None:
                    return None
                self._begin(head)
            return self._read_body()
        except Malformed:
            self.phase = Phase.CLOSED
            raise

    def end(self) -> Answer | None:
        """The other side has ended the connection: the answer, where that is how its body ends."""
        whole = self.phase is Phase.BODY and self._left is None and not self._chunked
        self.phase = Phase.CLOSED
        return Answer(*self._answer, bytes(self._body)) if whole else None

    def _look(self) -> None:
        """Read the first line's status once the line is whole; noise shows before any line ends."""
        if self.status or not self._buffer.data:
            return
        line, end, _ = bytes(self._buffer.data[:LONGEST_LINE]).partition(b"\r\n")
        if len(line) >= ENOUGH or end:
            if not STATUS_LINE.match(line):
                raise Malformed("no status line")
            # Guards the message: a line that stopped short was not told, whatever its code would have been.
            self.status = int(line[9:12]) if end else 0
        elif not PROTOCOL.startswith(line[: len(PROTOCOL)]):
            raise Malformed("no status line")

    def _begin(self, head: bytes) -> None:
        first, headers = parse_head(head, self._optional)
        if not STATUS_LINE.match(first):
            raise Malformed("no status line")
        version, status = first[:8], int(first[9:12])
        if 100 <= status < 200:
            # Guards the time: interim answers without end, or another protocol from here on, are no answer.
            self._interim += 1
            if status == 101 or self._interim > self._limits.interim_answers:
                raise Malformed("interim answers that lead nowhere")
            self.status = 0
            return
        self._answer = (status, headers)
        self._keeps = version == b"HTTP/1.1" and not headers.closes
        self._body.clear()
        self._chunked = headers.get("transfer-encoding").lower() == "chunked"
        if "transfer-encoding" in headers and (not self._chunked or "content-length" in headers):
            raise Malformed("a transfer encoding that is unknown or beside a length")
        empty = status in (204, 304)
        self._left = 0 if empty or self._chunked else content_length(headers)
        self._chunked = self._chunked and not empty
        self._trailer = False
        if (self._left or 0) > self._limits.answer_bytes:
            raise Malformed("the answer is too long")
        self.phase = Phase.BODY

    def _read_body(self) -> Answer | None:
        if self._chunked:
            if not self._read_chunks():
                return None
        else:
            self._take()
            if self._left is None or self._left:
                return None
        # Bytes behind the answer belong to no request of ours: the connection is not used again.
        reuse = self._keeps and not self._buffer.data
        self.phase = Phase.IDLE if reuse else Phase.CLOSED
        return Answer(*self._answer, bytes(self._body))

    def _take(self) -> None:
        much = len(self._buffer.data) if self._left is None else self._left
        part = self._buffer.data[:much]
        del self._buffer.data[:much]
        self._body += part
        if self._left is not None:
            self._left -= len(part)
        if len(self._body) > self._limits.answer_bytes:
            raise Malformed("the answer is too long")

    def _read_chunks(self) -> bool:
        while True:
            if self._left is not None and self._left > 0:
                self._take()
                if self._left:
                    return False
                self._left = -1  # the line end behind a chunk
            at = self._buffer.data.find(b"\r\n")
            if at < 0:
                if len(self._buffer.data) > self._limits.head_bytes:
                    raise Malformed("a line of a chunk is too long")
                return False
            line = bytes(self._buffer.data[:at])
            del self._buffer.data[: at + 2]
            if self._trailer:
                if not line:
                    return True
            elif self._left == -1:
                if line:
                    raise Malformed("a chunk runs past its length")
                self._left = 0
            else:
                size = line.partition(b";")[0].strip()
                if not HEX.match(size):
                    raise Malformed("no chunk length")
                self._left = int(size, 16)
                self._trailer = self._left == 0
