"""Where clients connect: one thread polls them all, and does what the listener's admission decides."""

from __future__ import annotations

import contextlib
import selectors
import socket
import threading
from collections.abc import Callable
from functools import partial
from math import inf
from queue import Empty, SimpleQueue
from typing import Protocol

from springspread.admission.admission import Admission, Place, Standing
from springspread.config import Address, Limits
from springspread.core.types import Log, Message, clock
from springspread.http1.message import Malformed
from springspread.http1.server import Phase, Request, ServerConnection
from springspread.http1.shutdown import Event, Shutdown, State
from springspread.net.threads import spawn
from springspread.platform.intake import Reply

TELL_MS = 1000.0
ACCEPTS = 64  # a turn, so that those who are here are heard in between
PAUSE_MS = 50.0  # after the system gave no descriptor
FULL = b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
NONE, READ, WRITE = 0, selectors.EVENT_READ, selectors.EVENT_WRITE
SILENT = (Standing.NEW, Standing.IDLE, Standing.KEPT)


class Front(Protocol):
    """What answers requests."""

    def respond(self, request: Request, begun: float, told: Callable[[Message], None]) -> Reply | Message:
        """Answer one request, or name its message: ``told`` is called, from any thread, at the verdict.

        ``begun``: when its first byte was here (ms).
        """

    def verdict(self, message: Message) -> Reply:
        """The answer to a message whose verdict has come; without one, the client's time is up."""

    def gone(self, message: Message) -> None:
        """The client left before it heard that its message was taken on."""


class Client:
    """One client's connection."""

    __slots__ = ("sock", "place", "machine", "message", "telling", "out", "mask", "left", "shutdown")

    def __init__(self, sock: socket.socket, place: Place, limits: Limits) -> None:
        self.sock, self.place = sock, place
        self.machine = ServerConnection(limits)
        self.message: Message | None = None  # what the core is asked
        self.telling: Message | None = None  # what the answer being written takes on
        self.out = b""
        self.mask = NONE  # what the selector looks for
        self.left = limits.linger_bytes
        self.shutdown = Shutdown()

    @property
    def open(self) -> bool:
        """Whether it has a socket still."""
        return self.shutdown.state is not State.CLOSED


def listening_socket(address: Address, limits: Limits) -> socket.socket:
    """A socket that clients connect to; raises ``OSError`` where the address can't be used."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)  # accepted ones have it from here
        sock.bind(address)
        sock.listen(limits.backlog)
    except OSError:
        sock.close()
        raise
    return sock


class Listener:
    """Accepts clients until it is closed; then ends their connections between requests."""

    def __init__(self, sock: socket.socket, front: Front, limits: Limits, log: Log) -> None:
        """``sock`` listens already, for this process alone or for others, too."""
        self._front, self._limits, self._log = front, limits, log
        self._admission = Admission(limits)
        self._clients: dict[Place, Client] = {}
        self._verdicts: SimpleQueue[tuple[Client, Message]] = SimpleQueue()
        self._woken = self._closing = False
        self._let_go_at = inf  # when clients' connections are ended, as an operator sends them away
        self._closed, self._emptied = threading.Event(), threading.Event()
        self._listening = False
        self._listen_at = -inf
        self._ended, self._told_at = 0, -inf  # to make room, since the log's last word on it
        self._selector = selectors.DefaultSelector()
        self._bell, self._ear = socket.socketpair()
        self._ear.setblocking(False)
        self._selector.register(self._ear, READ, None)
        self._sock = sock
        self._sock.setblocking(False)
        self.address: Address = self._sock.getsockname()
        self._listen(True)
        spawn("listener", self._run, log)

    def close(self) -> None:
        """Accept what has connected, then no more, and end the connections that stand between requests."""
        self._closing = True
        self._ring()
        self._closed.wait(self._limits.client_write_ms / 1000.0)

    def emptied(self, within_ms: float) -> bool:
        """Whether, after ``close``, each client has heard what it was owed and its connection has ended."""
        return self._emptied.wait(max(within_ms, 0.0) / 1000.0)

    def drain(self, active: bool) -> None:
        """Send clients away, a while after they have been told at their front, or take them again."""
        self._let_go_at = clock() + self._limits.drain_let_go_ms if active else inf
        self._ring()

    @property
    def _lets_go(self) -> bool:
        return self._closing or clock() >= self._let_go_at

    def _ring(self) -> None:
        if not self._woken:
            self._woken = True
            with contextlib.suppress(OSError):
                self._bell.send(b"\0")

    def _told(self, client: Client, message: Message) -> None:
        """A verdict has come; called from the core's thread."""
        self._verdicts.put((client, message))
        self._ring()

    def _run(self) -> None:
        while True:
            now = clock()
            # Guards a stop: one that has closed its socket never listens again, and would not wait at all.
            listens = self._listening or self._closing
            until = min(self._admission.next_due(), inf if listens else self._listen_at)
            if not self._admission.closing:
                until = min(until, self._let_go_at)
            ready = self._selector.select(None if until == inf else max(until - now, 0.0) / 1000.0)
            knocked = False
            for key, events in ready:
                client = key.data
                if client is not None:
                    if client.open:
                        self._ready(client, events)
                elif key.fileobj is self._sock:
                    knocked = True
                else:
                    self._ear.recv(4096)
                    self._woken = False
            self._answers()
            self._admission.closing = self._closed.is_set() or clock() >= self._let_go_at
            self._due()
            if knocked:  # last: whoever is here has been heard
                self._accept(ACCEPTS)
            if self._closing and not self._closed.is_set():
                self._shut()
            if self._closed.is_set() and not self._clients:
                self._emptied.set()
            if not self._listening and not self._closing and clock() >= self._listen_at:
                self._listen(True)

    def _listen(self, active: bool) -> None:
        if active and not self._listening:
            self._selector.register(self._sock, READ, None)
        elif self._listening and not active:
            self._selector.unregister(self._sock)
        self._listening = active

    def _pause(self, until: float) -> None:
        self._listen(False)
        self._listen_at = min(until, clock() + PAUSE_MS)

    def _shut(self) -> None:
        # Guards what stands in the system's line: closing the socket would reset it.
        self._accept(self._limits.backlog)
        self._listen(False)
        self._sock.close()
        self._admission.closing = True
        self._closed.set()

    # Letting in and making room

    def _accept(self, most: int) -> None:
        for _ in range(most):
            admit = self._room()
            if admit is None:
                return
            try:
                sock, _ = self._sock.accept()
            except BlockingIOError:
                return
            except ConnectionError:
                continue
            except OSError as exc:  # out of descriptors, say
                self._log.warning("accept failed", error=str(exc))
                self._make_room_once()
                self._pause(clock() + PAUSE_MS)
                return
            sock.setblocking(False)
            now = clock()
            place = self._admission.enter(now, Standing.NEW if admit else Standing.LEAVING)
            client = self._clients[place] = Client(sock, place, self._limits)
            self._watch(client, READ)
            if admit:
                self._read(client)  # its request has mostly come with it
            else:
                self._finish(client, FULL)

    def _room(self) -> bool | None:
        """Whether the next newcomer may be let in, or only turned away; ``None``: it waits in line."""
        while True:
            now = clock()
            room = self._admission.room(now)
            if room.admit:
                return True
            if room.ends is not None:
                if not self._knocks():
                    return None  # guards those who rest: the last newcomer has been let in by now
                self._make_room(self._clients[room.ends])
                continue
            if room.at - now > 2 * self._limits.client_speak_ms and self._admission.may_turn_away():
                return False
            if not self._closing:
                self._pause(room.at)
                return None
            return False if self._admission.may_turn_away() else None

    def _knocks(self) -> bool:
        return any(key.fileobj is self._sock for key, _ in self._selector.select(0.0))

    def _make_room_once(self) -> None:
        room = self._admission.room(clock())
        if room.ends is not None:
            self._make_room(self._clients[room.ends])

    def _make_room(self, client: Client) -> None:
        if client.place.standing in (Standing.READING, Standing.LAGGING):
            self._refuse(client, 503)
        elif client.place.standing not in SILENT:
            self._spent(client)
        elif not self._heard_last(client):
            self._finish(client)
            if client.open and self._admission.count(Standing.LEAVING) > self._limits.client_spares:
                self._spent(client)  # the descriptors for those who linger are used up
        self._ended += 1
        if clock() - self._told_at >= TELL_MS:  # guards the log: such clients come by the hundred
            self._log.info("made room", count=self._ended, clients=len(self._admission))
            self._ended, self._told_at = 0, clock()

    def _heard_last(self, client: Client) -> bool:
        # Guards the message of one that speaks just now: what has come is read before it is ended.
        self._read(client)
        return not client.open or client.place.standing not in SILENT

    # Reading

    def _ready(self, client: Client, events: int) -> None:
        if events & WRITE and client.out:
            if client.place.standing is Standing.LEAVING:
                self._write_last(client)
            else:
                self._flush(client)
        elif events & READ:
            if client.place.standing in (Standing.WAITING, Standing.ANSWERED):
                # Guards memory: nothing more is read of a client that is owed an answer.
                self._watch(client, client.mask & ~READ)
            else:
                self._read(client)

    def _read(self, client: Client) -> None:
        try:
            data = client.sock.recv(self._limits.read_bytes)
        except BlockingIOError:
            return
        except OSError:
            self._broke(client)  # what it was owed has been withdrawn
            return
        if not data:
            half = client.place.standing in (Standing.READING, Standing.LAGGING)
            if client.shutdown.step(Event.PEER_CLOSED) is State.CLOSED:
                self._close(client)
            elif client.place.standing is not Standing.LEAVING:
                # One that has ended its side may still read: it receives the error for its half request.
                self._refuse(client, 400) if half else self._finish(client)
            else:
                self._watch(client, WRITE)  # its last answer is not written whole
        elif client.shutdown.state.accepts_requests:
            self._feed(client, data)
        else:
            client.left -= len(data)
            if client.left <= 0:
                self._spent(client)

    def _feed(self, client: Client, data: bytes) -> None:
        try:
            request = client.machine.feed(data)
        except Malformed as exc:
            self._refuse(client, exc.status)
            return
        self._go_on(client, request)

    def _go_on(self, client: Client, request: Request | None) -> None:
        """A request has come whole, or more of one; several may have come at once."""
        place = client.place
        while request is not None:
            begun = self._admission.heard(place, clock())
            answer = self._front.respond(request, begun, partial(self._told, client))
            if isinstance(answer, Message):
                client.message = answer
                return
            if not self._reply(client, answer):
                return
            request = self._next(client)
        if client.machine.phase is Phase.READING:
            if place.standing not in (Standing.READING, Standing.LAGGING):
                self._admission.step(place, Standing.READING, clock())
            self._admission.keep(place, client.machine.buffered)
            slowest = self._admission.too_much()
            if slowest is not None:
                self._refuse(self._clients[slowest], 503)
        elif place.standing is Standing.ANSWERED:
            self._admission.rests(place, clock())

    # Answering

    def _answers(self) -> None:
        while True:
            try:
                client, message = self._verdicts.get_nowait()
            except Empty:
                return
            if client.open and client.message is message:
                self._answer(client, message)

    def _answer(self, client: Client, message: Message) -> None:
        client.message = None
        if self._reply(client, self._front.verdict(message)):
            self._go_on(client, self._next(client))

    def _reply(self, client: Client, reply: Reply) -> bool:
        """Write an answer; whether it is written whole and the connection goes on."""
        client.telling = reply.message
        close = self._lets_go or reply.close
        client.out += client.machine.answer(reply.status, reply.headers, close=close, body=reply.body)
        if client.machine.phase is Phase.CLOSED:
            client.shutdown.step(Event.LAST_ANSWER)
        self._admission.step(client.place, Standing.ANSWERED, clock())
        return self._write(client)

    def _write(self, client: Client) -> bool:
        try:
            # Also to one that has ended its side: it may still read, and then its message is taken on.
            client.out = client.out[client.sock.send(client.out) :]
        except BlockingIOError:
            pass
        except OSError:
            self._broke(client)
            return False
        if client.out:
            self._watch(client, WRITE)
            return False
        client.telling = None
        if client.machine.phase is Phase.CLOSED:
            self._finish(client)
            return False
        self._watch(client, READ)
        return True

    def _flush(self, client: Client) -> None:
        if self._write(client):
            self._go_on(client, self._next(client))

    def _next(self, client: Client) -> Request | None:
        """Look at what came ahead while the last request was answered."""
        try:
            return client.machine.resume()
        except Malformed as exc:
            self._refuse(client, exc.status)
            return None

    def _refuse(self, client: Client, status: int) -> None:
        """Tell an error about a request that could not be read, and end the connection."""
        self._log.debug("request turned away", status=status, standing=client.place.standing.value)
        if client.machine.phase is not Phase.ANSWERING:
            client.machine.expire()
        self._finish(client, client.machine.answer(status, close=True))

    # Shutdown

    def _finish(self, client: Client, last: bytes = b"") -> None:
        """Write the last that it accepts_requests, end our side, and read on for a while."""
        if client.place.standing is not Standing.LEAVING:
            self._admission.step(client.place, Standing.LEAVING, clock())
        client.out += last
        client.shutdown.step(Event.LAST_ANSWER)
        self._write_last(client)

    def _write_last(self, client: Client) -> None:
        try:
            client.out = client.out[client.sock.send(client.out) :] if client.out else b""
        except BlockingIOError:
            pass
        except OSError:
            self._broke(client)
            return
        if client.out:
            self._watch(client, READ | WRITE if client.shutdown.state is State.DRAINING else WRITE)
            return
        if client.shutdown.step(Event.FLUSHED) is State.CLOSED:
            self._close(client)
            return
        try:
            client.sock.shutdown(socket.SHUT_WR)
        except OSError:
            self._broke(client)
            return
        self._watch(client, READ)

    def _due(self) -> None:
        now = clock()
        while (place := self._admission.due(now)) is not None:
            client = self._clients[place]
            match place.standing:
                case Standing.READING if not self._admission.lags(place):
                    self._admission.step(place, Standing.LAGGING, now)
                case Standing.READING | Standing.LAGGING:
                    self._refuse(client, 408)
                case Standing.WAITING:
                    message, client.message = client.message, None
                    assert message is not None  # whoever waits has asked
                    self._answer(client, message)
                case standing if standing in SILENT:
                    if not self._heard_last(client):
                        self._finish(client)
                case _:
                    self._spent(client)

    def _watch(self, client: Client, mask: int) -> None:
        if mask == client.mask:
            return
        if not client.mask:
            self._selector.register(client.sock, mask, client)
        elif not mask:
            self._selector.unregister(client.sock)
        else:
            self._selector.modify(client.sock, mask, client)
        client.mask = mask

    def _spent(self, client: Client) -> None:
        """Its time, bytes or room are used up: it does not read what is written, or does not end its side."""
        if client.shutdown.state is State.OPEN:
            client.shutdown.step(Event.LAST_ANSWER)
        client.shutdown.step(Event.LIMIT_REACHED)
        self._close(client)

    def _broke(self, client: Client) -> None:
        pending = client.message or client.telling
        self._log.debug(
            "client connection broke",
            standing=client.place.standing.value,
            id=pending.id if pending is not None else None,
        )
        client.shutdown.step(Event.BROKEN)
        self._close(client)

    def _close(self, client: Client) -> None:
        self._log.debug(
            "client closed",
            last=client.shutdown.last.value if client.shutdown.last is not None else None,
            standing=client.place.standing.value,
            unanswered=[one.id for one in (client.telling, client.message) if one is not None],
        )
        for message in (client.telling, client.message):
            if message is not None:
                self._front.gone(message)
        self._watch(client, NONE)
        client.sock.close()
        self._admission.leave(client.place)
        del self._clients[client.place]
