"""Shutdown of client connections: the state machine alone, and over loopback with racing requests."""

from __future__ import annotations

import selectors
import signal
import socket
from collections import deque
from pathlib import Path

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from springspread.http1.shutdown import TRANSITIONS, Event, InvalidTransition, Shutdown, State
from tests.peer import WAIT_S, Peer, Program, until
from tests.test_bad_clients import MESSAGE_HEADERS, POST_API


class ConnectionModel(RuleBasedStateMachine):
    """Both directions of one connection as byte counts, driven as the listener drives its socket."""

    def __init__(self) -> None:
        super().__init__()
        self.shutdown = Shutdown()
        self.inbound = 0  # received bytes that we have not read
        self.peer_closed = False  # its sending side is closed
        self.out = 0  # bytes that are still to be flushed
        self.answered = 0  # requests whose answer the peer may read
        self.handled_in: list[State] = []  # the state in which each request was handled
        self.closed_over_unread = False
        self.loss_allowed = False

    @precondition(lambda self: not self.peer_closed)
    @rule(size=st.integers(1, 3))
    def peer_sends(self, size: int) -> None:
        self.inbound += size

    @rule()
    def peer_closes(self) -> None:
        self.peer_closed = True

    def close(self) -> None:
        if self.inbound and not self.loss_allowed:
            self.closed_over_unread = True

    @precondition(lambda self: self.shutdown.state is not State.CLOSED and self.inbound)
    @rule()
    def we_read(self) -> None:
        self.inbound -= 1
        if self.shutdown.state.accepts_requests:
            self.handled_in.append(self.shutdown.state)
            self.out += 1

    @precondition(
        lambda self: (
            self.shutdown.state not in (State.CLOSED, State.HALF_CLOSED)
            and self.peer_closed
            and not self.inbound
        )
    )
    @rule()
    def we_read_its_end(self) -> None:
        if self.shutdown.step(Event.PEER_CLOSED) is State.CLOSED:
            self.close()
        elif not self.out:
            self.last_answer()

    @precondition(lambda self: self.shutdown.state.writable and self.out)
    @rule()
    def we_write(self) -> None:
        self.out -= 1
        if not self.out and self.shutdown.state is not State.OPEN:
            self.flushed()

    @precondition(lambda self: self.shutdown.state is State.OPEN)
    @rule(answer=st.booleans())
    def last_answer(self, answer: bool = False) -> None:
        """Idle timeout, stop, drain, eviction or refusal: the last answer, perhaps nothing."""
        self.out += answer
        self.shutdown.step(Event.LAST_ANSWER)
        if not self.out:
            self.flushed()

    def flushed(self) -> None:
        if self.shutdown.step(Event.FLUSHED) is State.CLOSED:
            self.close()

    @precondition(lambda self: self.shutdown.state in (State.DRAINING, State.LINGERING))
    @rule()
    def reached_limit(self) -> None:
        self.loss_allowed = True
        self.shutdown.step(Event.LIMIT_REACHED)

    @precondition(lambda self: self.shutdown.state is not State.CLOSED)
    @rule()
    def broken(self) -> None:
        self.loss_allowed = True
        self.shutdown.step(Event.BROKEN)

    @invariant()
    def unread_bytes_are_closed_over_only_at_a_limit(self) -> None:
        assert not self.closed_over_unread

    @invariant()
    def no_request_is_handled_after_the_last_answer(self) -> None:
        assert all(state is State.OPEN for state in self.handled_in)

    @invariant()
    def lingering_begins_after_the_last_byte_is_written(self) -> None:
        assert self.shutdown.state is not State.LINGERING or not self.out


TestConnectionModel = ConnectionModel.TestCase
TestConnectionModel.settings = settings(max_examples=200, deadline=None, derandomize=True, database=None)


def test_every_state_can_reach_closed_and_closed_is_final() -> None:
    reached = {State.CLOSED}
    for _ in State:
        reached |= {before for (before, _), after in TRANSITIONS.items() if after in reached}
    assert reached == set(State)
    for event in Event:
        shutdown = Shutdown()
        shutdown.step(Event.BROKEN)
        with pytest.raises(InvalidTransition):
            shutdown.step(event)


@pytest.fixture
def program(tmp_path: Path, peer: Peer) -> Program:
    return Program(tmp_path, peer, sockets=192)


def message(id: bytes, body: bytes = b"hi") -> bytes:
    return POST_API + MESSAGE_HEADERS % id + b"Content-Length: %d\r\n\r\n%b" % (len(body), body)


def idle_connection(program: Program, id: bytes) -> socket.socket:
    """A connection that is idle after one request."""
    sock = socket.create_connection(program.address, timeout=WAIT_S)
    sock.sendall(message(id))
    assert sock.recv(65536).startswith(b"HTTP/1.1 202 ")
    return sock


def read_to_close(sock: socket.socket) -> bytes:
    """Read up to the end of the connection; a reset raises."""
    data = b""
    while chunk := sock.recv(65536):
        data += chunk
    return data


@pytest.mark.parametrize("size", [None, 2, 40_000], ids=["half a request", "a request", "a large one"])
@pytest.mark.parametrize("why", ["idle", "stop"])
def test_a_request_that_races_with_our_shutdown_is_dropped_without_a_reset(
    program: Program, peer: Peer, why: str, size: int | None
) -> None:
    sock = idle_connection(program, b"first")
    if why == "stop":
        program.process.send_signal(signal.SIGTERM)
    assert sock.recv(1) == b""  # our side is shut down before the next request is sent
    data = message(b"crossed", b"x" * (size or 2))
    sock.sendall(data if size else data[:-1])
    assert read_to_close(sock) == b""
    sock.shutdown(socket.SHUT_WR)
    assert sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR) == 0
    if why == "stop":
        assert program.process.wait(WAIT_S) == 0
        program.start()
    assert program.hand_in("after") == 202
    until(lambda: "after" in peer.ids(), "the later message")
    assert sorted(peer.ids()) == ["after", "first"]


def test_a_request_that_arrives_before_the_stop_is_answered_however_late_it_is_read(
    program: Program, peer: Peer
) -> None:
    socks = [idle_connection(program, b"r%d" % n) for n in range(20)]
    program.process.send_signal(signal.SIGTERM)
    for n, sock in enumerate(socks):  # while messages are still accepted after the signal
        sock.sendall(message(b"s%d" % n))
    for sock in socks:
        assert read_to_close(sock).startswith(b"HTTP/1.1 202 ")
    assert program.process.wait(WAIT_S) == 0
    program.start()
    until(lambda: {f"s{n}" for n in range(20)} <= set(peer.ids()), "every accepted message")


def test_a_client_can_read_a_refusal_while_it_still_sends_the_body(program: Program) -> None:
    sock = socket.create_connection(program.address, timeout=WAIT_S)
    sock.sendall(POST_API + MESSAGE_HEADERS % b"long" + b"Content-Length: 900000\r\n\r\n")
    for _ in range(9):
        sock.sendall(b"x" * 100_000)  # raises if the connection was reset
    assert read_to_close(sock).startswith(b"HTTP/1.1 413 ")


def test_a_half_closed_client_receives_its_answer_and_then_the_end(program: Program, peer: Peer) -> None:
    sock = socket.create_connection(program.address, timeout=WAIT_S)
    sock.sendall(message(b"one"))
    sock.shutdown(socket.SHUT_WR)
    assert read_to_close(sock).startswith(b"HTTP/1.1 202 ")
    until(lambda: peer.ids() == ["one"], "its message")


def test_clients_that_send_much_and_disconnect_block_no_others_and_leak_no_descriptors(
    program: Program, peer: Peer
) -> None:
    def descriptors() -> int:
        return len(list(Path(f"/proc/{program.process.pid}/fd").iterdir()))

    before = descriptors()
    for n in range(40):
        sock = socket.create_connection(program.address, timeout=WAIT_S)
        sock.sendall(b"".join(message(b"m%d-%d" % (n, k), b"y" * 2000) for k in range(20)))
        if n % 2:
            sock.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0"
            )  # disconnects with a reset
        sock.close()
    until(lambda: program.hand_in("usual") == 202, "room for another message")  # theirs were accepted, too
    until(lambda: "usual" in [*peer.ids(), *(line["id"] for line in peer.notices)], "its call or notice")
    until(lambda: descriptors() <= before + 8, "all descriptors to be released")
    assert program.process.poll() is None


def test_a_drain_ends_idle_connections_without_a_reset(tmp_path: Path, peer: Peer) -> None:
    """The listener alone, drained while requests are on their way."""
    from springspread.config import Limits
    from springspread.net.listener import Listener, listening_socket
    from springspread.platform.client_api import ClientApi
    from tests.test_malformed_answers import NullLog

    listener = Listener(
        listening_socket(("127.0.0.1", 0), Limits()), ClientApi(lambda _: None), Limits(), NullLog()
    )
    sock = socket.create_connection(listener.address, timeout=WAIT_S)
    sock.sendall(b"GET /_health HTTP/1.1\r\nHost: x\r\n\r\n")
    assert sock.recv(65536).startswith(b"HTTP/1.1 503 ")
    (client,) = listener._clients.values()
    assert client.sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY)  # small writes are not delayed
    listener.drain(True)
    assert sock.recv(1) == b""
    sock.sendall(b"GET /_health HTTP/1.1\r\nHost: x\r\n\r\n" * 50)
    assert read_to_close(sock) == b""
    sock.shutdown(socket.SHUT_WR)
    assert sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR) == 0
    listener.close()
    assert listener.emptied(WAIT_S * 1000.0)


def test_a_closed_listener_waits_without_a_timeout() -> None:
    from springspread.config import Limits
    from springspread.net.listener import Listener, listening_socket
    from springspread.platform.client_api import ClientApi
    from tests.test_malformed_answers import NullLog

    listener = Listener(
        listening_socket(("127.0.0.1", 0), Limits()), ClientApi(lambda _: None), Limits(), NullLog()
    )
    waits: deque[float | None] = deque(maxlen=1)
    select = listener._selector.select

    def recording_select(timeout: float | None) -> list[tuple[selectors.SelectorKey, int]]:
        waits.append(timeout)
        return select(timeout)

    listener._selector.select = recording_select  # type: ignore[method-assign,assignment]
    listener.close()
    assert listener.emptied(WAIT_S * 1000.0)
    until(lambda: waits[-1] is None, "a wait without a timeout")


def test_eviction_does_not_reset_a_client_that_sends_at_that_moment() -> None:
    from dataclasses import replace

    from springspread.config import Limits
    from springspread.net.listener import Listener, listening_socket
    from springspread.platform.client_api import ClientApi
    from tests.test_malformed_answers import NullLog

    limits = replace(Limits(), client_connections=2, client_closing_connections=4, client_idle_ms=60_000.0)
    listener = Listener(
        listening_socket(("127.0.0.1", 0), limits), ClientApi(lambda _: None), limits, NullLog()
    )
    health = b"GET /_health HTTP/1.1\r\nHost: x\r\n\r\n"
    idle = []
    for _ in range(2):
        idle.append(socket.create_connection(listener.address, timeout=WAIT_S))
        idle[-1].sendall(health)
        assert idle[-1].recv(65536).startswith(b"HTTP/1.1 503 ")
    newcomer = socket.create_connection(listener.address, timeout=WAIT_S)
    newcomer.sendall(health)
    assert newcomer.recv(65536).startswith(b"HTTP/1.1 503 ")  # accepted after an eviction
    assert idle[0].recv(1) == b""  # idle for longest
    idle[0].sendall(health * 100)  # sent while its connection is being closed
    assert read_to_close(idle[0]) == b""
    idle[0].shutdown(socket.SHUT_WR)
    assert idle[0].getsockopt(socket.SOL_SOCKET, socket.SO_ERROR) == 0
    idle[1].sendall(health)
    assert idle[1].recv(65536).startswith(b"HTTP/1.1 503 ")  # the other one stays open
    listener.close()
