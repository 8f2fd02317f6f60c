"""One polling thread that serves HTTP on many loopback ports, and does other work at given times.

Handlers and work run on that thread, under ``lock``; other threads take it before they look at what those
change. How late each work began is kept, so that whoever plays a day can tell whether the thread kept up.
"""

from __future__ import annotations

import selectors
import socket
import struct
import sys
import threading
from collections.abc import Callable
from dataclasses import replace
from heapq import heappop, heappush
from math import inf
from typing import Any

from springspread.config import Limits
from springspread.http1.message import Malformed
from springspread.http1.server import Request, ServerConnection

RESET = struct.pack("ii", 1, 0)  # of SO_LINGER: the close resets
LIMITS = replace(Limits(), body_bytes=1 << 20)
SWITCH_S = 0.0005  # of the interpreter while it runs: other threads give way to it ten times as often
LONGEST_WAIT_S = 0.5
READ_BYTES = 1 << 16
BACKLOG = 256


class AcceptedConnection:
    """One connection. ``at``: the port that it came to."""

    __slots__ = ("sock", "machine", "serve", "open", "at")

    def __init__(self, sock: socket.socket, at: int, serve: Handler) -> None:
        self.sock, self.at, self.serve = sock, at, serve
        self.machine = ServerConnection(LIMITS)
        self.open = True


Handler = Callable[[AcceptedConnection, Request], None]
"""Takes a request; it may answer at once, later by ``PollingServer.answer``, or never."""


class PollingServer:
    """Serves from the begin until ``close``. ``now`` tells the time (ms) that work is timed by."""

    def __init__(self, now: Callable[[], float]) -> None:
        self._now = now
        self.lock = threading.RLock()
        self.late_ms: list[float] = []  # of each work that was done
        self._moments: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []
        self._count = 0
        self._selector = selectors.DefaultSelector()
        self._bell, self._ear = socket.socketpair()
        self._ear.setblocking(False)
        self._selector.register(self._ear, selectors.EVENT_READ, None)
        self._listeners: dict[int, socket.socket] = {}
        self._open = True
        self._switch_s = sys.getswitchinterval()
        sys.setswitchinterval(SWITCH_S)
        self._thread = threading.Thread(target=self._run, name="town", daemon=True)
        self._thread.start()

    def at(self, when: float, work: Callable[..., None], *values: Any) -> None:
        """Have work done at a time; one that is over: soon. From any thread."""
        with self.lock:
            self._count += 1
            heappush(self._moments, (when, self._count, work, values))
            sooner = self._moments[0][1] == self._count
        if sooner and threading.current_thread() is not self._thread:
            self._bell.send(b"\0")

    def awaits(self, work: Callable[..., None]) -> bool:
        """Whether this work is still to be done at some time."""
        with self.lock:
            return any(planned == work for _, _, planned, _ in self._moments)

    def listen(self, serve: Handler, port: int = 0) -> int:
        """Serve on a port; returns its number."""
        sock = socket.create_server(("127.0.0.1", port), backlog=BACKLOG)
        sock.setblocking(False)
        self._selector.register(sock, selectors.EVENT_READ, serve)
        port = sock.getsockname()[1]
        self._listeners[port] = sock
        return port

    def stop_listening(self, port: int) -> None:
        """Take no more connections on a port, if it is served."""
        listener = self._listeners.pop(port, None)
        if listener is not None:
            self._selector.unregister(listener)
            listener.close()

    def reset_all_at(self, port: int) -> None:
        """Reset every connection that came to a port."""
        for key in list(self._selector.get_map().values()):
            if isinstance(key.data, AcceptedConnection) and key.data.at == port:
                self.end(key.data, reset=True)

    def end(self, place: AcceptedConnection, reset: bool = False) -> None:
        """Close a connection, or reset it."""
        if place.open:
            place.open = False
            self._selector.unregister(place.sock)
            if reset:
                place.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
            place.sock.close()

    def answer(
        self, place: AcceptedConnection, status: int, headers: dict[str, str], body: bytes = b""
    ) -> None:
        """Answer the request that a connection waits for, if it is still open."""
        if not place.open:
            return
        length = {} if status == 204 else {"Content-Length": str(len(body))}
        try:
            place.sock.send(place.machine.answer(status, {**length, **headers}) + body)
            request = place.machine.resume()
        except (OSError, Malformed):
            self.end(place)
            return
        if request is not None:
            place.serve(place, request)

    def close(self) -> None:
        """End the thread and every socket."""
        self._open = False
        self._bell.send(b"\0")
        self._thread.join()
        for key in list(self._selector.get_map().values()):
            assert isinstance(key.fileobj, socket.socket)  # nothing else is registered
            key.fileobj.close()
        self._selector.close()
        self._bell.close()
        sys.setswitchinterval(self._switch_s)

    def _run(self) -> None:
        while self._open:
            with self.lock:
                due = self._moments[0][0] if self._moments else inf
            self._serve_once(min(max(due - self._now(), 0.0) / 1000.0, LONGEST_WAIT_S))
            with self.lock:
                while self._moments and self._moments[0][0] <= self._now():
                    when, _, work, values = heappop(self._moments)
                    self.late_ms.append(self._now() - when)
                    work(*values)

    def _serve_once(self, wait_s: float) -> None:
        for key, _ in self._selector.select(wait_s):
            if key.data is None:
                self._ear.recv(4096)
            elif isinstance(key.data, AcceptedConnection):
                self._read(key.data)
            else:
                self._accept(key.fileobj, key.data)  # type: ignore[arg-type]

    def _accept(self, listener: socket.socket, serve: Handler) -> None:
        try:
            sock, _ = listener.accept()
        except OSError:
            return
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        place = AcceptedConnection(sock, listener.getsockname()[1], serve)
        self._selector.register(sock, selectors.EVENT_READ, place)

    def _read(self, place: AcceptedConnection) -> None:
        try:
            data = place.sock.recv(READ_BYTES)
            request = place.machine.feed(data) if data else None
        except (OSError, Malformed):
            data, request = b"", None
        if not data:
            self.end(place)
        elif request is not None:
            with self.lock:
                place.serve(place, request)
