"""The end of a client's connection: the machine alone, and over loopback with the bad order made."""

from __future__ import annotations

import selectors
import signal
import socket
from collections import deque
from collections.abc import Callable
from pathlib import Path

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from springspread.http1.shutdown import TABLE, Ending, Event, Misuse, State
from tests.peer import WAIT_S, Peer, Program, until
from tests.test_rude import LINES, START


class Wire(RuleBasedStateMachine):
    """Both directions of one connection as bytes in a line, driven as the listener drives its socket."""

    def __init__(self) -> None:
        super().__init__()
        self.ending = Ending()
        self.inbound = 0  # bytes with the system that we have not read
        self.peer_ends = False  # it will send no more
        self.out = 0  # bytes that we have yet to write
        self.answered = 0  # requests whose answer the peer may read
        self.used: list[State] = []  # where it stood as a request was sent on
        self.lost_by_us = False
        self.bound_spent = False

    @precondition(lambda self: not self.peer_ends)
    @rule(much=st.integers(1, 3))
    def peer_sends(self, much: int) -> None:
        self.inbound += much

    @rule()
    def peer_ends_its_side(self) -> None:
        self.peer_ends = True

    def close(self) -> None:
        if self.inbound and not self.bound_spent:
            self.lost_by_us = True

    @precondition(lambda self: self.ending.state is not State.CLOSED and self.inbound)
    @rule()
    def we_read(self) -> None:
        self.inbound -= 1
        if self.ending.state.hears:
            self.used.append(self.ending.state)
            self.out += 1

    @precondition(
        lambda self: (
            self.ending.state not in (State.CLOSED, State.HALF_CLOSED) and self.peer_ends and not self.inbound
        )
    )
    @rule()
    def we_read_its_end(self) -> None:
        if self.ending.step(Event.PEER_ENDED) is State.CLOSED:
            self.close()
        elif not self.out:
            self.last()

    @precondition(lambda self: self.ending.state.speaks and self.out)
    @rule()
    def we_write(self) -> None:
        self.out -= 1
        if not self.out and self.ending.state is not State.OPEN:
            self.written()

    @precondition(lambda self: self.ending.state is State.OPEN)
    @rule(answer=st.booleans())
    def last(self, answer: bool = False) -> None:
        """Idle too long, a stop, a drain, a crowd, or a refusal: the last that we have to say."""
        self.out += answer
        self.ending.step(Event.LAST)
        if not self.out:
            self.written()

    def written(self) -> None:
        if self.ending.step(Event.WRITTEN) is State.CLOSED:
            self.close()

    @precondition(lambda self: self.ending.state in (State.DRAINING, State.LINGERING))
    @rule()
    def spent(self) -> None:
        self.bound_spent = True
        self.ending.step(Event.SPENT)

    @precondition(lambda self: self.ending.state is not State.CLOSED)
    @rule()
    def broke(self) -> None:
        self.bound_spent = True
        self.ending.step(Event.BROKE)

    @invariant()
    def nothing_unread_is_closed_over_but_for_a_spent_bound(self) -> None:
        assert not self.lost_by_us

    @invariant()
    def nothing_is_sent_on_after_our_last(self) -> None:
        assert all(state is State.OPEN for state in self.used)

    @invariant()
    def whoever_lingers_has_been_told_all(self) -> None:
        assert self.ending.state is not State.LINGERING or not self.out


TestWire = Wire.TestCase
TestWire.settings = settings(max_examples=200, deadline=None, derandomize=True, database=None)


def test_the_table_leads_every_state_to_its_end_and_nothing_out_of_it() -> None:
    reached = {State.CLOSED}
    for _ in State:
        reached |= {before for (before, _), after in TABLE.items() if after in reached}
    assert reached == set(State)
    for event in Event:
        ending = Ending()
        ending.step(Event.BROKE)
        with pytest.raises(Misuse):
            ending.step(event)


@pytest.fixture
def program(tmp_path: Path, peer: Peer, ended: Callable[[Program], None]) -> Program:
    made = Program(tmp_path, peer, sockets=192)
    ended(made)
    return made


def message(id: bytes, body: bytes = b"hi") -> bytes:
    return START + LINES % id + b"Content-Length: %d\r\n\r\n%b" % (len(body), body)


def resting(program: Program, id: bytes) -> socket.socket:
    """A connection between requests, after one."""
    sock = socket.create_connection(program.address, timeout=WAIT_S)
    sock.sendall(message(id))
    assert sock.recv(65536).startswith(b"HTTP/1.1 202 ")
    return sock


def ends_without_a_reset(sock: socket.socket) -> bytes:
    """All that still comes; a reset is raised."""
    data = b""
    while part := sock.recv(65536):
        data += part
    return data


@pytest.mark.parametrize("size", [None, 2, 40_000], ids=["half a request", "a request", "a large one"])
@pytest.mark.parametrize("why", ["idle", "stop"])
def test_a_request_that_crosses_our_end_is_never_sent_on_and_resets_nothing(
    program: Program, peer: Peer, why: str, size: int | None
) -> None:
    sock = resting(program, b"first")
    if why == "stop":
        program.process.send_signal(signal.SIGTERM)
    assert sock.recv(1) == b""  # our end, before its next request is on its way
    data = message(b"crossed", b"x" * (size or 2))
    sock.sendall(data if size else data[:-1])
    assert ends_without_a_reset(sock) == b""
    sock.shutdown(socket.SHUT_WR)
    assert sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR) == 0
    if why == "stop":
        assert program.process.wait(WAIT_S) == 0
        program.start()
    assert program.hand_in("after") == 202
    until(lambda: "after" in peer.ids(), "what came later")
    assert sorted(peer.ids()) == ["after", "first"]


def test_a_request_that_came_before_the_stop_is_answered_however_late_it_is_read(
    program: Program, peer: Peer
) -> None:
    socks = [resting(program, b"r%d" % n) for n in range(20)]
    program.process.send_signal(signal.SIGTERM)
    for n, sock in enumerate(socks):  # within the half second in which clients are still taken on
        sock.sendall(message(b"s%d" % n))
    for sock in socks:
        assert ends_without_a_reset(sock).startswith(b"HTTP/1.1 202 ")
    assert program.process.wait(WAIT_S) == 0
    program.start()
    until(lambda: {f"s{n}" for n in range(20)} <= set(peer.ids()), "every message that was taken on")


def test_a_refusal_is_heard_while_the_body_still_arrives(program: Program) -> None:
    sock = socket.create_connection(program.address, timeout=WAIT_S)
    sock.sendall(START + LINES % b"long" + b"Content-Length: 900000\r\n\r\n")
    for _ in range(9):
        sock.sendall(b"x" * 100_000)  # raises where it was reset
    assert ends_without_a_reset(sock).startswith(b"HTTP/1.1 413 ")


def test_a_client_that_ended_its_side_hears_its_answer_and_then_the_end(program: Program, peer: Peer) -> None:
    sock = socket.create_connection(program.address, timeout=WAIT_S)
    sock.sendall(message(b"one"))
    sock.shutdown(socket.SHUT_WR)
    assert ends_without_a_reset(sock).startswith(b"HTTP/1.1 202 ")
    until(lambda: peer.ids() == ["one"], "its message")


def test_one_that_sends_much_and_goes_costs_others_nothing_and_leaks_nothing(
    program: Program, peer: Peer
) -> None:
    def descriptors() -> int:
        return len(list(Path(f"/proc/{program.process.pid}/fd").iterdir()))

    before = descriptors()
    for n in range(40):
        sock = socket.create_connection(program.address, timeout=WAIT_S)
        sock.sendall(b"".join(message(b"m%d-%d" % (n, k), b"y" * 2000) for k in range(20)))
        if n % 2:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")  # goes by a reset
        sock.close()
    until(lambda: program.hand_in("usual") == 202, "room for a usual message")  # theirs were taken on, too
    until(lambda: "usual" in [*peer.ids(), *(line["id"] for line in peer.notices)], "its call, or its end")
    until(lambda: descriptors() <= before + 8, "descriptors as before")
    assert program.process.poll() is None


def test_a_drain_ends_resting_connections_without_a_reset(tmp_path: Path, peer: Peer) -> None:
    """The listener alone, told to let go while a request is on its way."""
    from springspread.config import Limits
    from springspread.net.listener import Listener, listening
    from springspread.platform.intake import Intake
    from tests.test_spoilt import Silent

    listener = Listener(listening(("127.0.0.1", 0), Limits()), Intake(lambda _: None), Limits(), Silent())
    sock = socket.create_connection(listener.address, timeout=WAIT_S)
    sock.sendall(b"GET /_health HTTP/1.1\r\nHost: x\r\n\r\n")
    assert sock.recv(65536).startswith(b"HTTP/1.1 503 ")
    (client,) = listener._clients.values()
    assert client.sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY)  # small writes do not wait
    listener.drain(True)
    assert sock.recv(1) == b""
    sock.sendall(b"GET /_health HTTP/1.1\r\nHost: x\r\n\r\n" * 50)
    assert ends_without_a_reset(sock) == b""
    sock.shutdown(socket.SHUT_WR)
    assert sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR) == 0
    listener.close()
    assert listener.emptied(WAIT_S * 1000.0)


def test_a_listener_that_has_closed_waits_without_end() -> None:
    from springspread.config import Limits
    from springspread.net.listener import Listener, listening
    from springspread.platform.intake import Intake
    from tests.test_spoilt import Silent

    listener = Listener(listening(("127.0.0.1", 0), Limits()), Intake(lambda _: None), Limits(), Silent())
    waits: deque[float | None] = deque(maxlen=1)
    select = listener._selector.select

    def noted(timeout: float | None) -> list[tuple[selectors.SelectorKey, int]]:
        waits.append(timeout)
        return select(timeout)

    listener._selector.select = noted  # type: ignore[method-assign,assignment]
    listener.close()
    assert listener.emptied(WAIT_S * 1000.0)
    until(lambda: waits[-1] is None, "it waits for the next event, however long")


def test_room_made_in_a_crowd_resets_nobody_who_speaks_in_that_moment() -> None:
    from dataclasses import replace

    from springspread.config import Limits
    from springspread.net.listener import Listener, listening
    from springspread.platform.intake import Intake
    from tests.test_spoilt import Silent

    limits = replace(Limits(), client_connections=2, client_spares=4, client_idle_ms=60_000.0)
    listener = Listener(listening(("127.0.0.1", 0), limits), Intake(lambda _: None), limits, Silent())
    health = b"GET /_health HTTP/1.1\r\nHost: x\r\n\r\n"
    resting = []
    for _ in range(2):
        resting.append(socket.create_connection(listener.address, timeout=WAIT_S))
        resting[-1].sendall(health)
        assert resting[-1].recv(65536).startswith(b"HTTP/1.1 503 ")
    newcomer = socket.create_connection(listener.address, timeout=WAIT_S)
    newcomer.sendall(health)
    assert newcomer.recv(65536).startswith(b"HTTP/1.1 503 ")  # it was let in: somebody made room
    assert resting[0].recv(1) == b""  # the one that rested longest
    resting[0].sendall(health * 100)  # on its way in that moment
    assert ends_without_a_reset(resting[0]) == b""
    resting[0].shutdown(socket.SHUT_WR)
    assert resting[0].getsockopt(socket.SOL_SOCKET, socket.SO_ERROR) == 0
    resting[1].sendall(health)
    assert resting[1].recv(65536).startswith(b"HTTP/1.1 503 ")  # the other one rests on
    listener.close()
