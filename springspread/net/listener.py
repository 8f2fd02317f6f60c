"""Where clients connect: one thread accepts, and each connection has one of its own."""

from __future__ import annotations

import contextlib
import socket
import threading
import time
from dataclasses import dataclass
from functools import partial
from math import inf
from typing import Protocol

from springspread.config import Address, Limits
from springspread.core.types import Log, Query, clock
from springspread.http1.message import Malformed
from springspread.http1.server import Phase, Request, ServerConnection
from springspread.net.exchange import seconds
from springspread.net.threads import spawn
from springspread.platform.intake import Reply

TELL_MS = 1000.0
FULL = b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"


class Front(Protocol):
    """What answers requests."""

    def respond(self, request: Request) -> Reply:
        """Answer one request."""

    def gone(self, query: Query) -> None:
        """The client left before it heard that its message was taken on."""


@dataclass(slots=True, eq=False)
class Client:
    """A client's connection, and since when it stands between requests (inf: busy, or told to end)."""

    sock: socket.socket
    opened: float
    since: float
    asked: bool = False  # whether it has brought a whole request


class Listener:
    """Accepts clients until it is closed; then ends their connections between requests."""

    def __init__(self, address: Address, front: Front, limits: Limits, log: Log) -> None:
        self._front, self._limits, self._log = front, limits, log
        self._lock = threading.Lock()
        self._clients: set[Client] = set()
        self._turned = 0  # connections above the cap, told so and about to end
        self._cut, self._told_at = 0, -inf  # those that no thread could tell, since the log's last word on it
        self._closing = False
        self._sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._sock.bind(address)
        self._sock.listen(limits.backlog)
        self.address: Address = self._sock.getsockname()
        spawn("listener", self._accept, log)

    def close(self) -> None:
        """Accept no more, and end the connections that stand between requests."""
        self._closing = True
        _quietly(self._sock, socket.SHUT_RDWR)
        self._sock.close()
        with self._lock:
            for client in self._clients:
                # Only the reading end: a request that has come is still read and answered.
                _quietly(client.sock, socket.SHUT_RD)

    def _accept(self) -> None:
        while not self._closing:
            self._wait_for_room()
            try:
                sock, _ = self._sock.accept()
            except OSError as exc:
                if not self._closing:  # out of descriptors, say: those in use will be freed
                    self._log.warning("accept failed", error=str(exc))
                    time.sleep(0.05)
                continue
            client = Client(sock, clock(), clock())
            with self._lock:
                full = not self._room()
                if not full:
                    self._clients.add(client)
                else:
                    self._turned += 1
            serve = self._turn_away if full else self._client
            try:
                spawn("client", partial(serve, client), self._log, vital=False)
            except RuntimeError:  # no more threads
                self._end(client, full)
                self._tell_cut()

    def _wait_for_room(self) -> None:
        # Guards usual clients in a crowd: whoever waits in the system's line is neither cut off nor turned
        # away while one that asks for nothing is about to make room.
        while not self._closing:
            with self._lock:
                oldest = self._oldest()
                waits = self._turned >= self._limits.client_spares
                if len(self._clients) >= self._limits.client_connections and oldest and not oldest.asked:
                    waits = waits or clock() - oldest.since < self._limits.client_new_ms
            if not waits:
                return
            time.sleep(0.005)

    def _oldest(self) -> Client | None:
        """Who makes room: of those that have asked for nothing the oldest, else the one idle longest."""
        return min(self._clients, key=lambda client: (client.asked, client.since), default=None)

    def _tell_cut(self) -> None:
        # Guards the log: such clients come by the hundred.
        self._cut += 1
        if clock() - self._told_at >= TELL_MS:
            self._log.warning("clients cut off", count=self._cut)
            self._cut, self._told_at = 0, clock()

    def _room(self) -> bool:
        # Guards against clients that open connections and leave them.
        oldest = self._oldest()
        if len(self._clients) < self._limits.client_connections or oldest is None:
            return True
        spare_ms = self._limits.client_spare_ms if oldest.asked else self._limits.client_new_ms
        if clock() - oldest.since < spare_ms:
            return False
        oldest.asked, oldest.since = True, inf
        _quietly(oldest.sock, socket.SHUT_RD)
        return len(self._clients) < self._limits.client_connections + self._limits.client_spares

    def _stands(self, client: Client, since: float) -> None:
        with self._lock:
            client.since = since
            client.asked = client.asked or since == inf

    def _told_to_end(self, client: Client) -> bool:
        with self._lock:
            return self._closing or client.since == inf

    def _end(self, client: Client, turned: bool) -> None:
        with self._lock:
            self._clients.discard(client)
            self._turned -= turned
        client.sock.close()

    def _turn_away(self, client: Client) -> None:
        # Guards the client's message: it must hear the refusal, so what it still writes is read first.
        try:
            self._write(client.sock, FULL)
            self._linger(client.sock)
        except OSError:
            pass
        finally:
            self._end(client, True)

    def _client(self, client: Client) -> None:
        try:
            client.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self._serve(client, ServerConnection(self._limits))
        except OSError:
            pass  # the client is gone; what it was owed has been withdrawn
        finally:
            self._end(client, False)

    def _serve(self, client: Client, machine: ServerConnection) -> None:
        sock = client.sock
        while machine.phase is not Phase.CLOSED:
            try:
                request = machine.resume() or self._read(client, machine)
            except Malformed as exc:
                self._write(sock, machine.answer(exc.status, close=True))
                self._linger(sock)
                return
            if request is None:
                return
            self._stands(client, inf)
            reply = self._front.respond(request)
            try:
                # Also to one that has ended its side: it may still read, and then its message is taken on.
                self._write(sock, machine.answer(reply.status, reply.headers, close=self._closing))
            except OSError:
                if reply.query is not None:
                    self._front.gone(reply.query)
                raise
        self._linger(sock)

    def _read(self, client: Client, machine: ServerConnection) -> Request | None:
        sock, now = client.sock, clock()
        # Guards the time of the whole request, and of the first one from the connection's begin: a client
        # that writes a little now and then gains nothing by it.
        until = now + self._limits.client_read_ms
        if machine.phase is Phase.IDLE:
            until = (now if client.asked else client.opened) + self._limits.client_idle_ms
        self._stands(client, now if client.asked else client.opened)
        while True:
            sock.settimeout(seconds(until))
            try:
                data = sock.recv(self._limits.read_bytes)
            except TimeoutError:
                data = b""
            late = clock() >= until
            if late and machine.phase is Phase.READING:
                machine.expire()
                raise Malformed("the request took too long", 408)
            if not data and machine.phase is Phase.READING:
                # A client that was ended to make room for others hears that it may come again.
                machine.expire()
                raise Malformed("the request was not whole", 503 if self._told_to_end(client) else 400)
            if not data:
                return None
            began = machine.phase is Phase.IDLE
            request = machine.feed(data)
            if request is not None:
                return request
            if began and client.asked:
                until = clock() + self._limits.client_read_ms

    def _write(self, sock: socket.socket, data: bytes) -> None:
        sock.settimeout(self._limits.client_write_ms / 1000.0)
        sock.sendall(data)

    def _linger(self, sock: socket.socket) -> None:
        # Guards the answer: closing with bytes unread would reset the connection before it is read.
        _quietly(sock, socket.SHUT_WR)
        until, left = clock() + self._limits.client_linger_ms, self._limits.linger_bytes
        while left > 0 and clock() < until:
            sock.settimeout(seconds(until))
            data = sock.recv(self._limits.read_bytes)
            if not data:
                return
            left -= len(data)


def _quietly(sock: socket.socket, how: int) -> None:
    with contextlib.suppress(OSError):
        sock.shutdown(how)
