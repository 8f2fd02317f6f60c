"""Outgoing connections: blocking socket I/O around ``ClientConnection``."""

from __future__ import annotations

import contextlib
import itertools
import socket
import threading
from collections.abc import Callable, Mapping
from math import inf

from springspread.config import Address, Limits
from springspread.core.types import clock
from springspread.http1.client import Answer, ClientConnection, Phase
from springspread.http1.message import Malformed


class DeadlineExceededError(Exception):
    """The answer was not complete at the call's deadline."""


class ConnectError(OSError):
    """The connection could not be established; ``errno`` is the system's reason, if it gave one."""


class ConnectionLostError(Exception):
    """The connection ended before the answer was complete."""


class SurplusInputError(ConnectionError):
    """A reused connection brought bytes before its request was complete: they belong to an earlier answer.

    The request has not begun, and what else arrives on the connection can't be attributed.
    """


class MovedError(Exception):
    """The caller moved to another address during the call, which may be repeated there.

    ``answer``: what the previous address answered, if it did.
    """

    def __init__(self, text: str, answer: Answer | None = None) -> None:
        super().__init__(text)
        self.answer = answer


def timeout_s(until: float) -> float:
    """The socket timeout for a deadline; never 0, which would make the socket non-blocking."""
    return max((until - clock()) / 1000.0, 0.001)


_connection_numbers = itertools.count(1)


class Connection:
    """One outgoing connection. ``number`` identifies it in the log, ``requests`` counts what it carried."""

    def __init__(
        self, address: Address, until: float, limits: Limits, optional: frozenset[str] = frozenset()
    ) -> None:
        self.address, self._limits = address, limits
        self.number = next(_connection_numbers)
        self.requests = 0
        begun = clock()
        self.sock = socket.create_connection(address, timeout=timeout_s(until))
        self.round_trip_ms = clock() - begun  # at most; an exchange that took less lowers it
        self._written_at = begun
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._machine = ClientConnection(limits, optional)
        self.idle_since = clock()
        self.idle_ms: float | None = None  # idle time before the current call; None: the connection is new
        self.received = False  # whether a byte of the current call's answer has arrived

    @property
    def reusable(self) -> bool:
        """Whether another request may be sent over it."""
        return self._machine.phase is Phase.IDLE

    @property
    def status(self) -> int:
        """The status of the answer being read; 0 until its status line is complete."""
        return self._machine.status

    @property
    def settles_at(self) -> float:
        """From when on an idle connection brings no more bytes that were written right behind its answer."""
        return self.idle_since + self._round_trip_bound_ms

    @property
    def _round_trip_bound_ms(self) -> float:
        """A time (ms) within which the peer's reaction to something sent arrives."""
        min_ms, max_ms = self._limits.last_byte_hold_min_ms, self._limits.last_byte_hold_max_ms
        return min(max(1.5 * self.round_trip_ms, min_ms), max_ms)

    def alive(self, until: float = 0.0) -> bool:
        """Whether an idle connection is usable: not closed by the peer, and without unexpected bytes.

        Waits for such bytes until a time.
        """
        try:
            self.sock.settimeout(max(until - clock(), 0.0) / 1000.0)
            self.sock.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return True
        except TimeoutError as exc:
            return exc.errno is None  # ETIMEDOUT is a broken connection, not the end of the wait
        except OSError:
            return False
        return False

    def write(
        self,
        method: str,
        target: str,
        headers: Mapping[str, str],
        body: bytes,
        until: float,
        may_finish: Callable[[], bool] | None = None,
    ) -> None:
        """Write a complete request; raises ``OSError`` if its last byte was not written.

        With ``may_finish`` the last byte is held back for a round trip, in which a dead connection is reset
        and surplus bytes of an earlier answer arrive. It is then written only if ``may_finish()`` is true.
        """
        data = self._machine.request(method, target, headers, body)
        self.requests += 1
        self.received = False
        until = min(until, clock() + self._limits.endpoint_write_ms)
        if may_finish is None:
            if self.idle_ms is not None and not self.alive():
                raise SurplusInputError("closed, or bytes arrived, before the request")
            self.sock.settimeout(timeout_s(until))
            self.sock.sendall(data)
            self._written_at = clock()
            return
        self.sock.settimeout(timeout_s(until))
        self.sock.sendall(data[:-1])
        self._hold_last_byte(until)
        if not may_finish():
            raise ConnectionAbortedError("cancelled before its last byte")
        self.sock.settimeout(timeout_s(until))
        self.sock.sendall(data[-1:])
        self._written_at = clock()

    def _hold_last_byte(self, until: float) -> None:
        # A call begins with its last byte: a break before that proves that it never ran, and no answer to
        # it can have come.
        self.sock.settimeout(timeout_s(min(until, clock() + self._round_trip_bound_ms)))
        try:
            if not self.sock.recv(1, socket.MSG_PEEK):
                raise ConnectionResetError("closed by the peer before the last byte")
        except TimeoutError:
            return
        if self.idle_ms is not None:  # on a new connection it is an early answer, such as a rejection
            raise SurplusInputError("bytes arrived before the last byte")

    def read(self, until: float) -> Answer:
        """Read the answer. After ``DeadlineExceededError`` the read may be repeated."""
        finish_by = inf
        while True:
            if until <= clock():
                raise DeadlineExceededError
            if self._machine.answer_begun:
                finish_by = min(finish_by, clock() + self._limits.answer_read_ms)
            self.sock.settimeout(timeout_s(min(until, finish_by)))
            try:
                data = self.sock.recv(self._limits.read_bytes)
            except TimeoutError:
                data = None
            except OSError as exc:
                raise ConnectionLostError(str(exc)) from exc
            if clock() >= finish_by:
                # An answer that has begun but never ends must not occupy the slot until the deadline.
                self._machine.abandon()
                raise Malformed("answer not completed in time")
            if data is None:
                continue
            if data and not self.received:
                self.received = True
                self.round_trip_ms = min(self.round_trip_ms, clock() - self._written_at)
            answer = self._machine.feed(data) if data else self._machine.end()
            if answer is not None:
                self._acknowledge()
                self.idle_since = clock()
                return answer
            if not data:
                raise ConnectionLostError("closed by the peer before the answer was complete")

    def _acknowledge(self) -> None:
        """Acknowledge the answer now: a peer may hold small writes back until then (Nagle's algorithm).

        With a delayed acknowledgement, bytes right behind the answer would come only with the next request.
        """
        if self.reusable:
            with contextlib.suppress(OSError):
                self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_QUICKACK, 1)

    def abort(self) -> None:
        """Shut the connection down from another thread: a blocked read returns."""
        with contextlib.suppress(OSError):
            self.sock.shutdown(socket.SHUT_RDWR)

    def close(self) -> None:
        """Close the socket."""
        self.sock.close()


class Caller:
    """Calls one address over a persistent connection, which is reopened when it is no longer usable.

    One thread calls; another may change the address meanwhile.
    """

    def __init__(self, address: Address, limits: Limits) -> None:
        self._address, self._limits = address, limits
        self._connection: Connection | None = None
        self._lock = threading.Lock()

    def move(self, address: Address) -> None:
        """Call another address from now on; a call in progress is aborted."""
        with self._lock:
            self._address = address
            if self._connection is not None:
                self._connection.abort()

    def call(
        self,
        method: str,
        target: str,
        headers: Mapping[str, str],
        body: bytes,
        until: float,
        *,
        current: bool = False,
    ) -> Answer:
        """Make a call; any failure closes the connection and is raised.

        With ``current`` an answer from an address that was replaced meanwhile raises ``MovedError``.
        """
        address = self._address
        try:
            connection = self._connected(address, until)
            host = f"{address[0]}:{address[1]}"
            connection.write(method, target, {"Host": host, **headers}, body, until)
            answer = connection.read(until)
            if current and address != self._address:
                raise MovedError("answered by the previous address", answer)
            return answer
        except FAILURES as exc:
            self.close()
            if address != self._address and not isinstance(exc, MovedError):
                raise MovedError(repr(exc)) from exc
            raise

    def _connected(self, address: Address, until: float) -> Connection:
        kept = self._connection
        if kept is not None and kept.address == address and kept.reusable and kept.alive(kept.settles_at):
            return kept
        self.close()
        try:
            opened = Connection(address, min(until, clock() + self._limits.connect_ms), self._limits)
        except OSError as exc:
            raise ConnectError(exc.errno, exc.strerror or str(exc)) from exc
        with self._lock:
            self._connection = opened
            if address != self._address:  # moved while connecting: ``move`` has not seen this connection
                opened.abort()
        return opened

    def close(self) -> None:
        """Close the connection."""
        with self._lock:
            if self._connection is not None:
                self._connection.close()
            self._connection = None


FAILURES = (OSError, ConnectionLostError, DeadlineExceededError, MovedError, Malformed)
"""Everything that a call may raise."""
