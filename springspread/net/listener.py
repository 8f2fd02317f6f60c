"""Listener for clients: one thread polls all connections and does what ``Admission`` decides."""

from __future__ import annotations

import contextlib
import selectors
import socket
import threading
from collections import deque
from collections.abc import Callable
from functools import partial
from math import inf
from queue import Empty, SimpleQueue
from typing import Protocol

from springspread.admission.admission import Admission, ClientEntry, ClientState
from springspread.config import Address, Limits
from springspread.core.types import Log, Message, clock
from springspread.http1.message import Malformed
from springspread.http1.server import Phase, Request, ServerConnection
from springspread.http1.shutdown import Event, Shutdown, State
from springspread.net.threads import spawn
from springspread.platform.client_api import Reply

EVICTION_LOG_INTERVAL_MS = 1000.0
MAX_ACCEPTS = 64  # per loop iteration, so that connected clients are served in between
ACCEPT_PAUSE_MS = 50.0  # accepting pauses for this long at most
OVERLOADED = b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
NONE, READ, WRITE = 0, selectors.EVENT_READ, selectors.EVENT_WRITE
BETWEEN_REQUESTS = (ClientState.NEW, ClientState.IDLE, ClientState.REUSED)


class RequestHandler(Protocol):
    """Answers the requests of a listener's clients."""

    def respond(
        self, request: Request, begun: float, on_verdict: Callable[[Message], None]
    ) -> Reply | Message:
        """Answer a request, or return its message and call ``on_verdict``, from any thread, at the verdict.

        ``begun``: when the request's first byte arrived (ms).
        """

    def verdict(self, message: Message) -> Reply:
        """The answer to a message after its verdict, or without one after the verdict timeout."""

    def gone(self, message: Message) -> None:
        """The client disconnected before it learnt that its message was accepted."""


class Client:
    """One client's connection."""

    __slots__ = (
        "sock",
        "entry",
        "machine",
        "message",
        "acknowledging",
        "output",
        "interest",
        "linger_bytes",
        "shutdown",
    )

    def __init__(self, sock: socket.socket, entry: ClientEntry, limits: Limits) -> None:
        self.sock, self.entry = sock, entry
        self.machine = ServerConnection(limits)
        self.message: Message | None = None  # awaiting its verdict
        self.acknowledging: Message | None = None  # accepted by the answer being written
        self.output = b""
        self.interest = NONE  # registered with the selector
        self.linger_bytes = limits.linger_bytes
        self.shutdown = Shutdown()

    @property
    def open(self) -> bool:
        """Whether its socket is still open."""
        return self.shutdown.state is not State.CLOSED


def listening_socket(address: Address, limits: Limits) -> socket.socket:
    """A listening socket; raises ``OSError`` if the address can't be used."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)  # inherited by accepted sockets
        sock.bind(address)
        sock.listen(limits.backlog)
    except OSError:
        sock.close()
        raise
    return sock


class Listener:
    """Accepts clients until it is closed, then ends their connections between requests."""

    def __init__(self, sock: socket.socket, handler: RequestHandler, limits: Limits, log: Log) -> None:
        """``sock`` is listening already, and may be shared with other processes."""
        self._handler, self._limits, self._log = handler, limits, log
        self._admission = Admission(limits)
        self._clients: dict[ClientEntry, Client] = {}
        self._verdicts: SimpleQueue[tuple[Client, Message]] = SimpleQueue()
        self._turns: deque[Client] = deque()  # whose next request has arrived, behind one that is answered
        self._woken = self._closing = False
        self._drain_at = inf  # when an operator's drain ends idle connections
        self._closed, self._emptied = threading.Event(), threading.Event()
        self._accepting = False
        self._resume_at = -inf
        self._evicted, self._logged_at = 0, -inf  # evictions since the last log line about them
        self._selector = selectors.DefaultSelector()
        self._wake_sender, self._wake_receiver = socket.socketpair()
        self._wake_receiver.setblocking(False)
        self._selector.register(self._wake_receiver, READ, None)
        self._sock = sock
        self._sock.setblocking(False)
        self.address: Address = self._sock.getsockname()
        self._set_accepting(True)
        spawn("listener", self._run, log)

    def close(self) -> None:
        """Accept the pending connections, then stop accepting, and end connections between requests."""
        self._closing = True
        self._wake()
        self._closed.wait(self._limits.client_write_ms / 1000.0)

    def emptied(self, within_ms: float) -> bool:
        """Wait after ``close`` until every client is answered and disconnected; false after ``within_ms``."""
        return self._emptied.wait(max(within_ms, 0.0) / 1000.0)

    def drain(self, active: bool) -> None:
        """Start or end a drain, which ends idle connections after ``drain_close_ms``."""
        self._drain_at = clock() + self._limits.drain_close_ms if active else inf
        self._wake()

    @property
    def _disconnecting(self) -> bool:
        return self._closing or clock() >= self._drain_at

    def _wake(self) -> None:
        if not self._woken:
            self._woken = True
            with contextlib.suppress(OSError):
                self._wake_sender.send(b"\0")

    def _on_verdict(self, client: Client, message: Message) -> None:
        """Queue a verdict; called from the core's thread."""
        self._verdicts.put((client, message))
        self._wake()

    def _run(self) -> None:
        while True:
            now = clock()
            # A closing listener does not resume accepting: a past resume time would make it spin.
            listens = self._accepting or self._closing
            until = min(self._admission.next_expiry(), inf if listens else self._resume_at)
            if not self._admission.closing:
                until = min(until, self._drain_at)
            if self._turns:
                until = now
            ready = self._selector.select(None if until == inf else max(until - now, 0.0) / 1000.0)
            connecting = False
            for key, events in ready:
                client = key.data
                if client is not None:
                    if client.open:
                        self._on_ready(client, events)
                elif key.fileobj is self._sock:
                    connecting = True
                else:
                    self._wake_receiver.recv(4096)
                    self._woken = False
            self._answer_verdicts()
            self._take_turns()
            self._admission.closing = self._closed.is_set() or clock() >= self._drain_at
            self._expire()
            if connecting:  # last: connected clients are served first
                self._accept(MAX_ACCEPTS)
            if self._closing and not self._closed.is_set():
                self._stop_accepting()
            if self._closed.is_set() and not self._clients:
                self._emptied.set()
            if not self._accepting and not self._closing and clock() >= self._resume_at:
                self._set_accepting(True)

    def _set_accepting(self, active: bool) -> None:
        if active and not self._accepting:
            self._selector.register(self._sock, READ, None)
        elif self._accepting and not active:
            self._selector.unregister(self._sock)
        self._accepting = active

    def _pause_accepting(self, until: float) -> None:
        self._set_accepting(False)
        self._resume_at = min(until, clock() + ACCEPT_PAUSE_MS)

    def _stop_accepting(self) -> None:
        # Closing the socket would reset the connections in its backlog.
        self._accept(self._limits.backlog)
        self._set_accepting(False)
        self._sock.close()
        self._admission.closing = True
        self._closed.set()

    # Accepting and evicting

    def _accept(self, limit: int) -> None:
        for _ in range(limit):
            admit = self._may_accept()
            if admit is None:
                return
            try:
                sock, _ = self._sock.accept()
            except BlockingIOError:
                return
            except ConnectionError:
                continue
            except OSError as exc:  # for example, out of descriptors
                self._log.warning("accept failed", error=str(exc))
                self._evict_one()
                self._pause_accepting(clock() + ACCEPT_PAUSE_MS)
                return
            sock.setblocking(False)
            now = clock()
            entry = self._admission.add(now, ClientState.NEW if admit else ClientState.CLOSING)
            client = self._clients[entry] = Client(sock, entry, self._limits)
            self._watch(client, READ)
            if admit:
                self._read(client)  # its request has usually arrived as well
            else:
                self._finish(client, OVERLOADED)

    def _may_accept(self) -> bool | None:
        """Whether to admit the next connection or to refuse it; ``None``: leave it in the backlog."""
        while True:
            now = clock()
            decision = self._admission.decision(now)
            if decision.admit:
                return True
            if decision.victim is not None:
                if not self._connection_pending():
                    return None  # evict nobody unless a connection is pending
                self._evict(self._clients[decision.victim])
                continue
            if (
                decision.retry_at - now > 2 * self._limits.client_new_evictable_ms
                and self._admission.may_refuse()
            ):
                return False
            if not self._closing:
                self._pause_accepting(decision.retry_at)
                return None
            return False if self._admission.may_refuse() else None

    def _connection_pending(self) -> bool:
        return any(key.fileobj is self._sock for key, _ in self._selector.select(0.0))

    def _evict_one(self) -> None:
        decision = self._admission.decision(clock())
        if decision.victim is not None:
            self._evict(self._clients[decision.victim])

    def _evict(self, client: Client) -> None:
        if client.entry.state in (ClientState.READING, ClientState.SLOW):
            self._refuse(client, 503)
        elif client.entry.state not in BETWEEN_REQUESTS:
            self._close_at_limit(client)
        elif not self._read_pending(client):
            self._finish(client)
            if (
                client.open
                and self._admission.count(ClientState.CLOSING) > self._limits.client_closing_connections
            ):
                self._close_at_limit(client)  # no more descriptors for lingering connections
        self._evicted += 1
        if clock() - self._logged_at >= EVICTION_LOG_INTERVAL_MS:  # at most one line per interval
            self._log.info("connections evicted", count=self._evicted, clients=len(self._admission))
            self._evicted, self._logged_at = 0, clock()

    def _read_pending(self, client: Client) -> bool:
        # A request that has just arrived is read before its connection is closed.
        self._read(client)
        return not client.open or client.entry.state not in BETWEEN_REQUESTS

    # Reading

    def _on_ready(self, client: Client, events: int) -> None:
        if events & WRITE and client.output:
            if client.entry.state is ClientState.CLOSING:
                self._write_last(client)
            else:
                self._flush(client)
        elif events & READ:
            if client.entry.state in (ClientState.WAITING, ClientState.WRITING):
                # Bounds memory: a client is not read while it waits for an answer.
                self._watch(client, client.interest & ~READ)
            else:
                self._read(client)

    def _read(self, client: Client) -> None:
        try:
            data = client.sock.recv(self._limits.read_bytes)
        except BlockingIOError:
            return
        except OSError:
            self._on_broken(client)  # it can't be answered any more
            return
        if not data:
            half = client.entry.state in (ClientState.READING, ClientState.SLOW)
            if client.shutdown.step(Event.PEER_CLOSED) is State.CLOSED:
                self._close(client)
            elif client.entry.state is not ClientState.CLOSING:
                # A half-closed client may still read: it receives the error for its incomplete request.
                self._refuse(client, 400) if half else self._finish(client)
            else:
                self._watch(client, WRITE)  # its last answer is not written yet
        elif client.shutdown.state.accepts_requests:
            self._feed(client, data)
        else:
            client.linger_bytes -= len(data)
            if client.linger_bytes <= 0:
                self._close_at_limit(client)

    def _feed(self, client: Client, data: bytes) -> None:
        try:
            request = client.machine.feed(data)
        except Malformed as exc:
            self._refuse(client, exc.status)
            return
        self._handle(client, request)

    def _handle(self, client: Client, request: Request | None) -> None:
        """Handle one request, or record the progress of an incomplete one."""
        entry = client.entry
        if request is not None:
            if client.sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR):
                self._on_broken(client)  # nobody waits for an answer to this request any more
                return
            begun = self._admission.request_received(entry, clock())
            answer = self._handler.respond(request, begun, partial(self._on_verdict, client))
            if isinstance(answer, Message):
                client.message = answer
            elif self._reply(client, answer):
                self._after_answer(client)
        elif client.machine.phase is Phase.READING:
            if entry.state not in (ClientState.READING, ClientState.SLOW):
                self._admission.step(entry, ClientState.READING, clock())
            self._admission.set_buffered(entry, client.machine.buffered)
            slowest = self._admission.buffer_limit_victim()
            if slowest is not None:
                self._refuse(self._clients[slowest], 503)
        elif entry.state is ClientState.WRITING:
            self._admission.set_idle(entry, clock())

    def _after_answer(self, client: Client) -> None:
        """A client whose answer is written: bytes pipelined behind its request wait for its next turn."""
        if client.machine.buffered:
            self._turns.append(client)
        else:
            self._admission.set_idle(client.entry, clock())

    def _take_turns(self) -> None:
        """Handle the next pipelined request of each client that has one."""
        for _ in range(len(self._turns)):
            client = self._turns.popleft()
            if client.open and client.entry.state is ClientState.WRITING:
                self._watch(client, READ)  # not while it had its answer written: see ``_on_ready``
                self._handle(client, self._next_request(client))

    # Answering

    def _answer_verdicts(self) -> None:
        while True:
            try:
                client, message = self._verdicts.get_nowait()
            except Empty:
                return
            if client.open and client.message is message:
                self._answer_message(client, message)

    def _answer_message(self, client: Client, message: Message) -> None:
        client.message = None
        if self._reply(client, self._handler.verdict(message)):
            self._after_answer(client)

    def _reply(self, client: Client, reply: Reply) -> bool:
        """Write an answer; true if all of it is written and the connection stays open."""
        client.acknowledging = reply.message
        close = self._disconnecting or reply.close
        client.output += client.machine.answer(reply.status, reply.headers, close=close, body=reply.body)
        if client.machine.phase is Phase.CLOSED:
            client.shutdown.step(Event.LAST_ANSWER)
        self._admission.step(client.entry, ClientState.WRITING, clock())
        return self._write(client)

    def _write(self, client: Client) -> bool:
        try:
            # Also to a half-closed client: it may still read, and then its message counts as accepted.
            client.output = client.output[client.sock.send(client.output) :]
        except BlockingIOError:
            pass
        except OSError:
            self._on_broken(client)
            return False
        if client.output:
            self._watch(client, WRITE)
            return False
        client.acknowledging = None
        if client.machine.phase is Phase.CLOSED:
            self._finish(client)
            return False
        self._watch(client, READ)
        return True

    def _flush(self, client: Client) -> None:
        if self._write(client):
            self._after_answer(client)

    def _next_request(self, client: Client) -> Request | None:
        """The next pipelined request, if it is complete."""
        try:
            return client.machine.resume()
        except Malformed as exc:
            self._refuse(client, exc.status)
            return None

    def _refuse(self, client: Client, status: int) -> None:
        """Answer a request that can't be read or is refused with an error, and end the connection."""
        self._log.debug("request refused", status=status, state=client.entry.state.value)
        if client.machine.phase is not Phase.ANSWERING:
            client.machine.expire()
        self._finish(client, client.machine.answer(status, close=True))

    # Shutdown

    def _finish(self, client: Client, last: bytes = b"") -> None:
        """Write the last answer, shut down our side, and drop input until the peer closes its side."""
        if client.entry.state is not ClientState.CLOSING:
            self._admission.step(client.entry, ClientState.CLOSING, clock())
        client.output += last
        client.shutdown.step(Event.LAST_ANSWER)
        self._write_last(client)

    def _write_last(self, client: Client) -> None:
        try:
            client.output = client.output[client.sock.send(client.output) :] if client.output else b""
        except BlockingIOError:
            pass
        except OSError:
            self._on_broken(client)
            return
        if client.output:
            self._watch(client, READ | WRITE if client.shutdown.state is State.DRAINING else WRITE)
            return
        if client.shutdown.step(Event.FLUSHED) is State.CLOSED:
            self._close(client)
            return
        try:
            client.sock.shutdown(socket.SHUT_WR)
        except OSError:
            self._on_broken(client)
            return
        self._watch(client, READ)

    def _expire(self) -> None:
        now = clock()
        while (entry := self._admission.expired(now)) is not None:
            client = self._clients[entry]
            match entry.state:
                case ClientState.READING if not self._admission.below_min_rate(entry):
                    self._admission.step(entry, ClientState.SLOW, now)
                case ClientState.READING | ClientState.SLOW:
                    self._refuse(client, 408)
                case ClientState.WAITING:
                    message, client.message = client.message, None
                    assert message is not None  # a waiting client has sent a message
                    self._answer_message(client, message)
                case state if state in BETWEEN_REQUESTS:
                    if not self._read_pending(client):
                        self._finish(client)
                case _:
                    self._close_at_limit(client)

    def _watch(self, client: Client, interest: int) -> None:
        if interest == client.interest:
            return
        if not client.interest:
            self._selector.register(client.sock, interest, client)
        elif not interest:
            self._selector.unregister(client.sock)
        else:
            self._selector.modify(client.sock, interest, client)
        client.interest = interest

    def _close_at_limit(self, client: Client) -> None:
        """Close a connection that does not read its answer or does not end its side within its limits."""
        if client.shutdown.state is State.OPEN:
            client.shutdown.step(Event.LAST_ANSWER)
        client.shutdown.step(Event.LIMIT_REACHED)
        self._close(client)

    def _on_broken(self, client: Client) -> None:
        pending = client.message or client.acknowledging
        self._log.debug(
            "client connection broken",
            state=client.entry.state.value,
            id=pending.id if pending is not None else None,
        )
        client.shutdown.step(Event.BROKEN)
        self._close(client)

    def _close(self, client: Client) -> None:
        self._log.debug(
            "client closed",
            last=client.shutdown.last.value if client.shutdown.last is not None else None,
            state=client.entry.state.value,
            unanswered=[one.id for one in (client.acknowledging, client.message) if one is not None],
        )
        for message in (client.acknowledging, client.message):
            if message is not None:
                self._handler.gone(message)
        self._watch(client, NONE)
        client.sock.close()
        self._admission.remove(client.entry)
        del self._clients[client.entry]
