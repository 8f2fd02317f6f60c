"""A thin driver for connections that this program opens: it reads and writes for the machine."""

from __future__ import annotations

import contextlib
import socket
import threading
from collections.abc import Callable, Mapping
from math import inf

from springspread.config import Address, Limits
from springspread.core.types import clock
from springspread.http1.client import Answer, ClientConnection, Phase
from springspread.http1.message import Malformed


class LateError(Exception):
    """The answer did not come in time."""


class ConnectError(OSError):
    """No connection came up; ``errno`` tells why, where the system named a reason."""


class BrokenError(Exception):
    """The connection ended before the answer was whole."""


class MovedError(Exception):
    """The call was cut off as its caller moved to another address: it may be made again there.

    ``answer``: of the address of before, where one came all the same.
    """

    def __init__(self, text: str, answer: Answer | None = None) -> None:
        super().__init__(text)
        self.answer = answer


def seconds(until: float) -> float:
    """A socket's time-out for a point of the clock; never 0, which would not block at all."""
    return max((until - clock()) / 1000.0, 0.001)


class Connection:
    """One connection out."""

    def __init__(
        self, address: Address, until: float, limits: Limits, optional: frozenset[str] = frozenset()
    ) -> None:
        self.address, self._limits = address, limits
        begun = clock()
        self.sock = socket.create_connection(address, timeout=seconds(until))
        self.round_trip_ms = clock() - begun
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._machine = ClientConnection(limits, optional)
        self.idle_since = clock()
        self.idle_ms: float | None = None  # how long it stood idle before the present call; None: it is new
        self.received = False  # whether a byte of the present call's answer has come

    @property
    def reusable(self) -> bool:
        """Whether another request may go over it."""
        return self._machine.phase is Phase.IDLE

    @property
    def status(self) -> int:
        """What the first line of the answer that is being read says; 0 while that is not known."""
        return self._machine.status

    def alive(self) -> bool:
        """Whether nothing has come on an idle connection: no end, and no bytes that nobody asked for."""
        try:
            self.sock.settimeout(0)
            self.sock.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return True
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
        clear: Callable[[], bool] | None = None,
    ) -> None:
        """Write a request, whole; raises ``OSError`` where its last byte was not written.

        With ``clear`` the last byte is held back for a round trip, in which a dead connection says so, and
        is written if ``clear`` still says that it may be.
        """
        data = self._machine.request(method, target, headers, body)
        self.received = False
        until = min(until, clock() + self._limits.endpoint_write_ms)
        self.sock.settimeout(seconds(until))
        if clear is None:
            self.sock.sendall(data)
            return
        self.sock.sendall(data[:-1])
        self._listen(until)
        if not clear():
            raise ConnectionAbortedError("called off before its last byte")
        self.sock.settimeout(seconds(until))
        self.sock.sendall(data[-1:])

    def _listen(self, until: float) -> None:
        # Guards what may run only once: a call begins with its last byte, so whatever breaks before that
        # byte is written proves that it never ran, and only then.
        least, most = self._limits.hold_least_ms, self._limits.hold_most_ms
        hold = min(max(1.5 * self.round_trip_ms, least), most)
        self.sock.settimeout(seconds(min(until, clock() + hold)))
        try:
            if not self.sock.recv(1, socket.MSG_PEEK):
                raise ConnectionResetError("ended before its last byte")
        except TimeoutError:
            pass

    def read(self, until: float) -> Answer:
        """Read the answer. ``LateError`` leaves the connection as it is, for another read."""
        rest = inf
        while True:
            if until <= clock():
                raise LateError
            if self._machine.answer_begun:
                rest = min(rest, clock() + self._limits.answer_rest_ms)
            self.sock.settimeout(seconds(min(until, rest)))
            try:
                data = self.sock.recv(self._limits.read_bytes)
            except TimeoutError:
                data = None
            except OSError as exc:
                raise BrokenError(str(exc)) from exc
            if clock() >= rest:
                # Guards the slot: a head without end, or less of a body than its length says.
                self._machine.abandon()
                raise Malformed("the answer does not end")
            if data is None:
                continue
            self.received = self.received or bool(data)
            answer = self._machine.feed(data) if data else self._machine.end()
            if answer is not None:
                self.idle_since = clock()
                return answer
            if not data:
                raise BrokenError("ended before the answer was whole")

    def cut(self) -> None:
        """End it from another thread: a read that waits on it returns."""
        with contextlib.suppress(OSError):
            self.sock.shutdown(socket.SHUT_RDWR)

    def close(self) -> None:
        """Close it."""
        self.sock.close()


class Caller:
    """One kept connection to one address, opened anew where it is no longer good.

    One thread calls; another may move it to a new address meanwhile.
    """

    def __init__(self, address: Address, limits: Limits) -> None:
        self._address, self._limits = address, limits
        self._connection: Connection | None = None
        self._lock = threading.Lock()

    def move(self, address: Address) -> None:
        """Call another address from now on; a call that is out is cut off."""
        with self._lock:
            self._address = address
            if self._connection is not None:
                self._connection.cut()

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
        """Make a call; whatever goes wrong closes the connection and is raised.

        With ``current`` an answer of an address that it was moved from meanwhile is none.
        """
        address = self._address
        try:
            connection = self._ready(address, until)
            host = f"{address[0]}:{address[1]}"
            connection.write(method, target, {"Host": host, **headers}, body, until)
            answer = connection.read(until)
            if current and address != self._address:
                raise MovedError("answered by the address of before", answer)
            return answer
        except FAILURES as exc:
            self.close()
            if address != self._address and not isinstance(exc, MovedError):
                raise MovedError(repr(exc)) from exc
            raise

    def _ready(self, address: Address, until: float) -> Connection:
        kept = self._connection
        if kept is not None and kept.address == address and kept.reusable and kept.alive():
            return kept
        self.close()
        try:
            made = Connection(address, min(until, clock() + self._limits.connect_ms), self._limits)
        except OSError as exc:
            raise ConnectError(exc.errno, exc.strerror or str(exc)) from exc
        with self._lock:
            self._connection = made
            if address != self._address:  # moved while it connected: nobody else cuts this one off
                made.cut()
        return made

    def close(self) -> None:
        """Close the connection."""
        with self._lock:
            if self._connection is not None:
                self._connection.close()
            self._connection = None


FAILURES = (OSError, BrokenError, LateError, MovedError, Malformed)
"""All that a call may raise."""
