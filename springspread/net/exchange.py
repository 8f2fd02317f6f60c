"""Outgoing connections: blocking socket I/O around ``ClientConnection``."""

from __future__ import annotations

import contextlib
import errno
import itertools
import socket
import threading
from collections.abc import Callable, Mapping
from math import inf

from springspread.config import Address, Limits
from springspread.core.types import clock
from springspread.http1.client import Answer, ClientConnection
from springspread.http1.message import Malformed

LOCAL_ERRORS = frozenset(
    {
        errno.EADDRNOTAVAIL,
        errno.EAGAIN,
        errno.ECONNABORTED,
        errno.EMFILE,
        errno.ENETUNREACH,
        errno.ENFILE,
        errno.ENOBUFS,
        errno.ENOMEM,
    }
)
"""System errors on this machine's side: they say nothing about the peer."""


class DeadlineExceededError(Exception):
    """The answer was not complete at the call's deadline."""


class ConnectError(OSError):
    """The connection could not be established; ``errno`` is the system's reason, if it gave one."""


class ConnectionLostError(Exception):
    """The connection ended before the answer was complete."""


class EarlyAnswerError(ConnectionError):
    """An answer began before the request's last byte was written: the call has not begun.

    ``Connection.read`` reads it; it can be a rejection, and can't tell of an execution.
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
    """One outgoing connection; it carries one request. ``number`` identifies it in the log.

    Answers carry no identifier, and a peer may write bytes behind an answer at any later time. On a
    connection that has carried another request, nothing tells them from the answer to the next one.
    """

    def __init__(
        self, address: Address, until: float, limits: Limits, optional: frozenset[str] = frozenset()
    ) -> None:
        self.address, self._limits = address, limits
        self.number = next(_connection_numbers)
        begun = clock()
        self.sock = socket.create_connection(address, timeout=timeout_s(until))
        self.round_trip_ms = clock() - begun  # at most
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._machine = ClientConnection(limits, optional)

    @property
    def status(self) -> int:
        """The status of the answer being read; 0 until its status line is complete."""
        return self._machine.status

    def write(
        self,
        method: str,
        target: str,
        headers: Mapping[str, str],
        body: bytes,
        until: float,
        may_finish: Callable[[], bool] | None = None,
    ) -> None:
        """Write the request; raises ``OSError`` if its last byte was not written.

        With ``may_finish`` the last byte is held back for a round trip, in which a dead connection is reset
        and an early answer arrives (``EarlyAnswerError``). It is then written only if ``may_finish()`` is
        true. Raises ``ValueError`` at a second request.
        """
        data = self._machine.request(method, target, headers, body)
        until = min(until, clock() + self._limits.endpoint_write_ms)
        self.sock.settimeout(timeout_s(until))
        if may_finish is None:
            self.sock.sendall(data)
            return
        self.sock.sendall(data[:-1])
        self._hold_last_byte(until)
        if not may_finish():
            raise ConnectionAbortedError("cancelled before its last byte")
        self.sock.settimeout(timeout_s(until))
        self.sock.sendall(data[-1:])

    def _hold_last_byte(self, until: float) -> None:
        # A call begins with its last byte: a break before that proves that it never ran.
        min_ms, max_ms = self._limits.last_byte_hold_min_ms, self._limits.last_byte_hold_max_ms
        hold_ms = min(max(1.5 * self.round_trip_ms, min_ms), max_ms)
        self.sock.settimeout(timeout_s(min(until, clock() + hold_ms)))
        try:
            early = self.sock.recv(1, socket.MSG_PEEK)
        except TimeoutError as exc:
            if exc.errno is not None:  # ETIMEDOUT is a broken connection, not the end of the wait
                raise
            return
        if early:
            raise EarlyAnswerError("bytes arrived before the last byte")
        raise ConnectionResetError("closed by the peer before the last byte")

    def read(self, until: float) -> Answer:
        """Read the answer. After ``DeadlineExceededError`` the read may be repeated."""
        finish_by = stalled_at = inf
        while True:
            now = clock()
            if until <= now:
                raise DeadlineExceededError
            if self._machine.answer_begun:
                finish_by = min(finish_by, now + self._limits.answer_read_ms)
                stalled_at = min(stalled_at, now + self._limits.answer_stall_ms)
            self.sock.settimeout(timeout_s(min(until, finish_by, stalled_at)))
            try:
                data = self.sock.recv(self._limits.read_bytes)
            except TimeoutError:
                data = None
            except OSError as exc:
                raise ConnectionLostError(str(exc)) from exc
            now = clock()
            if now >= finish_by or (data is None and now >= stalled_at):
                # An answer that has begun but never ends must not occupy the slot until the deadline.
                self._machine.abandon()
                raise Malformed("answer not completed in time")
            if data is None:
                continue
            stalled_at = inf
            answer = self._machine.feed(data) if data else self._machine.end()
            if answer is not None:
                return answer
            if not data:
                raise ConnectionLostError("closed by the peer before the answer was complete")

    def abort(self) -> None:
        """Shut the connection down from another thread: a blocked read returns."""
        with contextlib.suppress(OSError):
            self.sock.shutdown(socket.SHUT_RDWR)

    def close(self) -> None:
        """Close the socket."""
        self.sock.close()


class Caller:
    """Calls one address, each time over a new connection.

    One thread calls; another may change the address meanwhile.
    """

    def __init__(self, address: Address, limits: Limits) -> None:
        self._address, self._limits = address, limits
        self._connection: Connection | None = None  # of the call in progress
        self._lock = threading.Lock()

    def move(self, address: Address) -> None:
        """Call another address from now on; a call in progress is aborted."""
        with self._lock:
            self._address = address
            if self._connection is not None:
                self._connection.abort()

    def abort(self) -> None:
        """Abort the call in progress, if its connection is open."""
        with self._lock:
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
        hold_last_byte: bool = False,
    ) -> Answer:
        """Make a call; raises one of ``FAILURES``.

        With ``current`` an answer from an address that was replaced meanwhile raises ``MovedError``. With
        ``hold_last_byte`` one that comes ahead of its request is a failure.
        """
        address = self._address
        try:
            connection = self._connect(address, until)
            host = f"{address[0]}:{address[1]}"
            may_finish = _always if hold_last_byte else None
            connection.write(method, target, {"Host": host, **headers}, body, until, may_finish)
            answer = connection.read(until)
            if current and address != self._address:
                raise MovedError("answered by the previous address", answer)
            return answer
        except FAILURES as exc:
            if address != self._address and not isinstance(exc, MovedError):
                raise MovedError(repr(exc)) from exc
            raise
        finally:
            self._close()

    def _connect(self, address: Address, until: float) -> Connection:
        try:
            opened = Connection(address, min(until, clock() + self._limits.connect_ms), self._limits)
        except OSError as exc:
            raise ConnectError(exc.errno, exc.strerror or str(exc)) from exc
        with self._lock:
            self._connection = opened
            if address != self._address:  # moved while connecting: ``move`` has not seen this connection
                opened.abort()
        return opened

    def _close(self) -> None:
        with self._lock:
            if self._connection is not None:
                self._connection.close()
            self._connection = None


def _always() -> bool:
    """Nothing stops the request before its last byte."""
    return True


FAILURES = (OSError, ConnectionLostError, DeadlineExceededError, MovedError, Malformed)
"""Everything that a call may raise."""
