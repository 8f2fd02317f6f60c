"""One polling thread that serves HTTP on many loopback ports and runs scheduled callbacks.

Handlers and callbacks run on that thread, under ``lock``; other threads take it to access shared state. The
lateness of each callback is recorded, so that a driver can tell whether the thread kept up.
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
from springspread.simulator.surplus import AnswerCopier, Copy, CopyMoment

RESET = struct.pack("ii", 1, 0)  # SO_LINGER with 0 s: close sends a reset
LIMITS = replace(Limits(), body_bytes=1 << 20)
SWITCH_INTERVAL_S = 0.0005  # of the interpreter: short, so that the polling thread runs in time
MAX_POLL_S = 0.5
READ_BYTES = 1 << 16
BACKLOG = 256


class AcceptedConnection:
    """An accepted connection. ``port``: the local port; ``copy``: due with the next request."""

    __slots__ = ("sock", "http", "serve", "open", "port", "copy")

    def __init__(self, sock: socket.socket, port: int, serve: Handler) -> None:
        self.sock, self.port, self.serve = sock, port, serve
        self.http = ServerConnection(LIMITS)
        self.open = True
        self.copy: Copy | None = None


Handler = Callable[[AcceptedConnection, Request], None]
"""Handles a request; may call ``PollingServer.answer`` at once, later or never."""


class PollingServer:
    """Serves until ``close``. ``now``: the clock (ms) of scheduled callbacks.

    ``copier`` decides which answers are written twice.
    """

    def __init__(self, now: Callable[[], float], copier: AnswerCopier | None = None) -> None:
        self._now, self._copier = now, copier
        self.lock = threading.RLock()
        self.late_ms: list[float] = []  # of each callback
        self._timers: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []
        self._count = 0
        self._selector = selectors.DefaultSelector()
        self._wake_writer, self._wake_reader = socket.socketpair()
        self._wake_reader.setblocking(False)
        self._selector.register(self._wake_reader, selectors.EVENT_READ, None)
        self._listeners: dict[int, socket.socket] = {}
        self._running = True
        self._old_switch_s = sys.getswitchinterval()
        sys.setswitchinterval(SWITCH_INTERVAL_S)
        self._thread = threading.Thread(target=self._run, name="simulator", daemon=True)
        self._thread.start()

    def schedule(self, when: float, callback: Callable[..., None], *values: Any) -> None:
        """Run a callback at a time, or soon if that has passed. Thread-safe."""
        with self.lock:
            self._count += 1
            heappush(self._timers, (when, self._count, callback, values))
            is_next = self._timers[0][1] == self._count
        if is_next and threading.current_thread() is not self._thread:
            self._wake_writer.send(b"\0")

    def is_scheduled(self, callback: Callable[..., None]) -> bool:
        """Whether a callback is still scheduled."""
        with self.lock:
            return any(scheduled == callback for _, _, scheduled, _ in self._timers)

    def listen(self, serve: Handler, port: int = 0) -> int:
        """Listen on a port; returns its number."""
        sock = socket.create_server(("127.0.0.1", port), backlog=BACKLOG)
        sock.setblocking(False)
        self._selector.register(sock, selectors.EVENT_READ, serve)
        port = sock.getsockname()[1]
        self._listeners[port] = sock
        return port

    def stop_listening(self, port: int) -> None:
        """Stop listening on a port, if it is open."""
        listener = self._listeners.pop(port, None)
        if listener is not None:
            self._selector.unregister(listener)
            listener.close()

    def reset_all_at(self, port: int) -> None:
        """Reset every connection to a port."""
        for key in list(self._selector.get_map().values()):
            if isinstance(key.data, AcceptedConnection) and key.data.port == port:
                self.end(key.data, reset=True)

    def end(self, connection: AcceptedConnection, reset: bool = False) -> None:
        """Close a connection, or reset it."""
        if connection.open:
            connection.open = False
            self._selector.unregister(connection.sock)
            if reset:
                connection.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
            connection.sock.close()

    def answer(
        self, connection: AcceptedConnection, status: int, headers: dict[str, str], body: bytes = b""
    ) -> None:
        """Answer a connection's pending request, if it is still open."""
        if not connection.open:
            return
        length = {} if status == 204 else {"Content-Length": str(len(body))}
        try:
            data = connection.http.answer(status, {**length, **headers}) + body
            connection.sock.send(data)
            self._plan_copy(connection, data)
            request = connection.http.resume()
        except (OSError, Malformed):
            self.end(connection)
            return
        if request is not None:
            connection.serve(connection, request)

    def _plan_copy(self, connection: AcceptedConnection, data: bytes) -> None:
        copy = None if self._copier is None else self._copier.draw(data)
        if copy is None:
            return
        if copy.moment in (CopyMoment.REQUEST_BEGUN, CopyMoment.REQUEST_COMPLETE):
            connection.copy = copy
        else:
            self.schedule(self._now() + copy.delay_ms, self._write_copy, connection, copy)

    def _write_copy(self, connection: AcceptedConnection, copy: Copy) -> None:
        if not connection.open or self._copier is None:
            return
        try:
            connection.sock.send(copy.data)
        except OSError:
            self.end(connection)
            return
        self._copier.count(copy)

    def _write_copy_with_request(self, connection: AcceptedConnection, request: Request | None) -> None:
        """Write the copy that is due when a request has begun, or is complete."""
        copy = connection.copy
        if copy is None or (copy.moment is CopyMoment.REQUEST_COMPLETE and request is None):
            return
        connection.copy = None
        self.schedule(self._now() + copy.delay_ms, self._write_copy, connection, copy)

    def close(self) -> None:
        """Stop the thread and close every socket."""
        self._running = False
        self._wake_writer.send(b"\0")
        self._thread.join()
        for key in list(self._selector.get_map().values()):
            assert isinstance(key.fileobj, socket.socket)  # nothing else is registered
            key.fileobj.close()
        self._selector.close()
        self._wake_writer.close()
        sys.setswitchinterval(self._old_switch_s)

    def _run(self) -> None:
        while self._running:
            with self.lock:
                due = self._timers[0][0] if self._timers else inf
            self._serve_once(min(max(due - self._now(), 0.0) / 1000.0, MAX_POLL_S))
            with self.lock:
                while self._timers and self._timers[0][0] <= self._now():
                    when, _, callback, values = heappop(self._timers)
                    self.late_ms.append(self._now() - when)
                    callback(*values)

    def _serve_once(self, wait_s: float) -> None:
        for key, _ in self._selector.select(wait_s):
            if key.data is None:
                self._wake_reader.recv(4096)
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
        connection = AcceptedConnection(sock, listener.getsockname()[1], serve)
        self._selector.register(sock, selectors.EVENT_READ, connection)

    def _read(self, connection: AcceptedConnection) -> None:
        try:
            data = connection.sock.recv(READ_BYTES)
            request = connection.http.feed(data) if data else None
        except (OSError, Malformed):
            data, request = b"", None
        if not data:
            self.end(connection)
            return
        self._write_copy_with_request(connection, request)
        if request is not None:
            with self.lock:
                connection.serve(connection, request)
